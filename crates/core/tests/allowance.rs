//! Workspaces stay within their allowances across several gate processes, checked against the
//! engines' records.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_rt::{task::JoinHandle, time::interval};
use comfreyweir_standins::{kv, proxy};
use support::{Cluster, ClusterSpec, Link, gate_name, record_checks, start, until};
use tokio::sync::Mutex;

const GATES: usize = 8;
/// Workspace that sends several times its allowed rate.
const LARGE_WORKSPACE: &str = "lodz";
const LARGE_RATE: u64 = 2_000;
const LARGE_BURST: u64 = 4_000;
/// Workspace that stays within its allowed rate.
const SMALL_WORKSPACE: &str = "poznan";
const SMALL_RATE: u64 = 1_000;
/// Large enough for all concurrent requests even when answers take seconds on a busy machine:
/// tokens that are charged but not used yet count against the burst.
const SMALL_BURST: u64 = 10_000;
const PROMPT: &str = "Summarize the faults of the forklift with the number 17.";
/// Output limit of a request; the engine always generates this many tokens.
const MAX_TOKENS: u32 = 16;
const LARGE_SEND_INTERVAL: Duration = Duration::from_millis(4);
const SMALL_SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Serializes the tests of this file: with several clusters at once, the machine's load instead of
/// the gates would decide the results.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

fn spec() -> ClusterSpec {
    let mut spec = ClusterSpec::new(GATES)
        .proxied()
        .engines(3, 1_000)
        .model("assistant", 400, 3)
        .workspace(LARGE_WORKSPACE, LARGE_RATE, LARGE_BURST)
        .workspace(SMALL_WORKSPACE, SMALL_RATE, SMALL_BURST);
    spec.planners = 2;
    spec.gate_timing.share_lapse_ms = 3_000;
    spec.gate_timing.loan_hold_ms = 1_000;
    // Short, so that requests above the rate are refused while a test runs.
    spec.gate_timing.token_wait_ms = 500;
    spec
}

/// Answers to the requests of one workspace.
#[derive(Default)]
struct AnswerCounts {
    served: Cell<u32>,
    refused: Cell<u32>,
    /// Error codes and call errors other than `rate_limited`.
    unexpected: RefCell<Vec<String>>,
}

/// Sends requests at a fixed rate, without waiting for answers.
struct LoadGenerator {
    task: JoinHandle<()>,
    counts: Rc<AnswerCounts>,
}

impl LoadGenerator {
    /// Sends to the gates in turn; a gate that is listed twice gets twice as many requests.
    fn spawn(cluster: &Cluster, workspace: &str, gates: &[usize], period: Duration) -> Self {
        let callers: Vec<_> = gates
            .iter()
            .map(|gate| Rc::new(cluster.caller(*gate, workspace)))
            .collect();
        let counts = Rc::new(AnswerCounts::default());
        let task_counts = Rc::clone(&counts);
        let task = actix_rt::spawn(async move {
            let mut ticks = interval(period);
            for caller in callers.iter().cycle() {
                ticks.tick().await;
                actix_rt::spawn(send_and_count(Rc::clone(caller), Rc::clone(&task_counts)));
            }
        });
        Self { task, counts }
    }

    fn stop(self) -> Rc<AnswerCounts> {
        self.task.abort();
        self.counts
    }
}

async fn send_and_count(caller: Rc<support::Caller>, counts: Rc<AnswerCounts>) {
    match caller.chat("assistant", PROMPT, MAX_TOKENS).await {
        Ok(resp) if resp.status.is_success() => counts.served.set(counts.served.get() + 1),
        Ok(resp) if resp.code() == "rate_limited" => counts.refused.set(counts.refused.get() + 1),
        Ok(resp) => counts.unexpected.borrow_mut().push(resp.code()),
        Err(e) => counts.unexpected.borrow_mut().push(e.to_string()),
    }
}

/// Asserts that no workspace used more tokens in any interval than its rate and burst allow.
#[allow(clippy::cast_precision_loss)]
async fn assert_usage_within_bounds(cluster: &Cluster) {
    let records = cluster.engine_records().await.unwrap();
    for (workspace, rate, burst) in [
        (LARGE_WORKSPACE, LARGE_RATE, LARGE_BURST),
        (SMALL_WORKSPACE, SMALL_RATE, SMALL_BURST),
    ] {
        let excess = record_checks::max_excess_over_rate(&records, workspace, rate);
        eprintln!("{workspace}: {excess} tokens beyond the rate, burst {burst}");
        assert!(excess <= burst as f64, "{workspace}: {excess} over {burst}");
    }
}

async fn wait_until_warm(cluster: &Cluster) {
    until(Duration::from_secs(20), "a warm model", async || {
        let answer = cluster
            .caller(0, SMALL_WORKSPACE)
            .chat("assistant", "warm", 1)
            .await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await
    .unwrap();
}

/// Sends requests of both workspaces for `duration` and returns the answer counts of the large and
/// the small one. The large workspace sends six times as many requests to the first gate as to any
/// other.
async fn run_load(
    cluster: &Cluster,
    gates: &[usize],
    duration: Duration,
) -> (Rc<AnswerCounts>, Rc<AnswerCounts>) {
    let mut weighted_gates = gates.to_vec();
    weighted_gates.extend([gates[0]; 5]);
    let large = LoadGenerator::spawn(
        cluster,
        LARGE_WORKSPACE,
        &weighted_gates,
        LARGE_SEND_INTERVAL,
    );
    let small = LoadGenerator::spawn(cluster, SMALL_WORKSPACE, gates, SMALL_SEND_INTERVAL);
    actix_rt::time::sleep(duration).await;
    (large.stop(), small.stop())
}

fn assert_small_workspace_served(fault: &str, small: &AnswerCounts) {
    let (served, refused) = (small.served.get(), small.refused.get());
    eprintln!("{fault}: small workspace served {served}, refused {refused}");
    assert!(served > 0, "{fault}: {:?}", small.unexpected.borrow());
    assert_eq!(refused, 0, "{fault}: refused although within the rate");
}

/// Prints why a gate refused the small workspace's requests.
async fn print_refusal_causes(cluster: &Cluster, gate: usize) {
    let metrics = cluster.metrics(gate).await.unwrap();
    for cause in ["OverRate", "PeerSilent", "ShareUnassigned", "ShareLapsed"] {
        let labels = [
            format!("cause=\"{cause}\""),
            format!("\"{SMALL_WORKSPACE}\""),
        ];
        let labels = labels.each_ref().map(String::as_str);
        let refused = metrics.sum("comfreyweir_gate_allowance_refused_total", &labels);
        eprintln!("gate {gate}: {cause} {refused}");
    }
    let lost = metrics.sum("comfreyweir_gate_allowance_reservations_lost_total", &[]);
    eprintln!("gate {gate}: reservations lost {lost}");
}

fn gates_except(gates: &[usize]) -> Vec<usize> {
    (0..GATES).filter(|gate| !gates.contains(gate)).collect()
}

#[actix_rt::test]
async fn eight_gates_keep_the_bound_through_faults() {
    let _cluster = CLUSTER_LOCK.lock().await;
    let mut cluster = start(spec()).await;
    wait_until_warm(&cluster).await;
    let duration = Duration::from_secs(2);

    let (large, small) = run_load(&cluster, &gates_except(&[]), duration).await;
    assert_small_workspace_served("no fault", &small);
    assert!(
        large.refused.get() > 0,
        "the large workspace sends too little"
    );

    cluster.kill(&gate_name(7)).unwrap();
    let (_, small) = run_load(&cluster, &gates_except(&[7]), duration).await;
    assert_small_workspace_served("one gate killed", &small);
    cluster.restart(&gate_name(7)).await.unwrap();
    let (_, small) = run_load(&cluster, &gates_except(&[]), duration).await;
    assert_small_workspace_served("gate restarted", &small);

    cluster.freeze(&gate_name(6)).unwrap();
    let (_, small) = run_load(&cluster, &gates_except(&[6]), duration).await;
    assert_small_workspace_served("one gate frozen", &small);
    cluster.thaw(&gate_name(6)).unwrap();
    let (_, small) = run_load(&cluster, &gates_except(&[]), duration).await;
    assert_small_workspace_served("gate resumed", &small);

    let cut = proxy::Faults {
        mode: proxy::Mode::Cut,
        ..proxy::Faults::default()
    };
    for to in 0..GATES {
        for (from, to) in [(0, to), (to, 0)] {
            if from != to {
                let link = Link::Gate { from, to };
                cluster.set_link(&link, &cut).await.unwrap();
            }
        }
    }
    let (_, small) = run_load(&cluster, &gates_except(&[]), duration).await;
    assert_small_workspace_served("peers of the busiest gate cut", &small);
    assert_usage_within_bounds(&cluster).await;
}

#[actix_rt::test]
async fn outage_of_the_service_shorter_than_the_lapse_stops_nothing() {
    let _cluster = CLUSTER_LOCK.lock().await;
    let mut spec = spec();
    spec.gate_timing.share_lapse_ms = 20_000;
    let cluster = start(spec).await;
    wait_until_warm(&cluster).await;
    let down = kv::Faults {
        outage: kv::Outage::Unavailable,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    let (large, small) = run_load(&cluster, &gates_except(&[]), Duration::from_secs(5)).await;
    assert_small_workspace_served("key-value service down", &small);
    assert!(large.served.get() > 0);
    assert_usage_within_bounds(&cluster).await;
}

#[actix_rt::test]
async fn share_of_a_frozen_gate_is_taken_and_not_used_twice() {
    let _cluster = CLUSTER_LOCK.lock().await;
    let cluster = start(spec()).await;
    wait_until_warm(&cluster).await;
    cluster.freeze(&gate_name(5)).unwrap();
    let others = gates_except(&[5]);
    // The share lapses after 3 s and loans are held for 1 s: after these 4 s the other gates divide
    // the share.
    until(Duration::from_secs(20), "a larger share", async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_allowance_weight_ppm", &[]) > 140_000.0
    })
    .await
    .unwrap();
    let (_, small) = run_load(&cluster, &others, Duration::from_secs(2)).await;
    assert_small_workspace_served("share taken over", &small);
    cluster.thaw(&gate_name(5)).unwrap();
    // The resumed gate, listed first, gets most of the load.
    let (_, _) = run_load(&cluster, &[5, 0, 1, 2, 3, 4, 6, 7], Duration::from_secs(2)).await;
    assert_usage_within_bounds(&cluster).await;
}

#[actix_rt::test]
async fn workspace_inside_its_rate_may_send_all_to_one_gate() {
    let _cluster = CLUSTER_LOCK.lock().await;
    let mut cluster = start(spec()).await;
    wait_until_warm(&cluster).await;
    // 20 requests per second of 30 tokens each: 60% of the rate, and nearly five times the share of
    // one gate.
    let period = Duration::from_millis(50);
    let duration = Duration::from_secs(3);
    let single_gate = [2];
    let small = LoadGenerator::spawn(&cluster, SMALL_WORKSPACE, &single_gate, period);
    actix_rt::time::sleep(duration).await;
    print_refusal_causes(&cluster, single_gate[0]).await;
    assert_small_workspace_served("all at one gate", &small.stop());
    cluster.kill(&gate_name(7)).unwrap();
    let small = LoadGenerator::spawn(&cluster, SMALL_WORKSPACE, &single_gate, period);
    actix_rt::time::sleep(duration).await;
    assert_small_workspace_served("all at one gate, another killed", &small.stop());
    assert_usage_within_bounds(&cluster).await;
}

#[actix_rt::test]
async fn request_above_one_gates_share_is_served() {
    let _cluster = CLUSTER_LOCK.lock().await;
    let cluster = start(spec()).await;
    wait_until_warm(&cluster).await;
    // A gate's share of the burst is 500 tokens; four bytes count as one token.
    let prompt = "fork".repeat(2_500);
    for gate in [0, 3, 7] {
        until(Duration::from_secs(10), "a large request", async || {
            let caller = cluster.caller(gate, LARGE_WORKSPACE);
            let answer = caller.chat("assistant", &prompt, MAX_TOKENS);
            answer.await.is_ok_and(|answer| answer.status.is_success())
        })
        .await
        .unwrap();
    }
    let prompt = "fork".repeat(4_000);
    let caller = cluster.caller(0, LARGE_WORKSPACE);
    let answer = caller.chat("assistant", &prompt, MAX_TOKENS);
    assert_eq!(answer.await.unwrap().code(), "exceeds_burst");
    assert_usage_within_bounds(&cluster).await;
}
