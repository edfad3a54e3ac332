//! The allowance of a workspace with real gates, judged from the engines' own records.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_rt::{task::JoinHandle, time::interval};
use comfreyweir_standins::{kv, proxy};
use support::{Cluster, ClusterSpec, Link, gate_name, judge, start, until};
use tokio::sync::Mutex;

const GATES: usize = 8;
/// Workspace that sends several times its rate.
const BIG: &str = "lodz";
const BIG_RATE: u64 = 2_000;
const BIG_BURST: u64 = 4_000;
/// Workspace that stays inside its rate.
const SMALL: &str = "poznan";
const SMALL_RATE: u64 = 1_000;
/// Holds what runs at once even when a busy machine makes answers take seconds: tokens that are
/// charged and not used yet count against the burst.
const SMALL_BURST: u64 = 10_000;
const PROMPT: &str = "Summarize the faults of the forklift with the number 17.";
/// Output limit of a request; the engine writes as much.
const OUTPUT: u32 = 16;
const BIG_PERIOD: Duration = Duration::from_millis(4);
const SMALL_PERIOD: Duration = Duration::from_millis(100);

/// One cluster at a time: several of them would make the machine, not the gates, decide.
static CLUSTERS: Mutex<()> = Mutex::const_new(());

fn spec() -> ClusterSpec {
    let mut spec = ClusterSpec::new(GATES)
        .proxied()
        .engines(3, 1_000)
        .model("assistant", 400, 3)
        .workspace(BIG, BIG_RATE, BIG_BURST)
        .workspace(SMALL, SMALL_RATE, SMALL_BURST);
    spec.planners = 2;
    spec.gate_timing.share_lapse_ms = 3_000;
    spec.gate_timing.loan_hold_ms = 1_000;
    // Short, so that requests above the rate are refused while a test runs.
    spec.gate_timing.token_wait_ms = 500;
    spec
}

/// Answers that callers of one workspace have seen.
#[derive(Default)]
struct Seen {
    served: Cell<u32>,
    refused: Cell<u32>,
    other: RefCell<Vec<String>>,
}

/// A caller that sends at a fixed rate, whatever the answers.
struct Sender {
    task: JoinHandle<()>,
    seen: Rc<Seen>,
}

impl Sender {
    /// Sends to the gates in turn; a gate that is named twice gets twice as much.
    fn spawn(cluster: &Cluster, workspace: &str, gates: &[usize], period: Duration) -> Self {
        let callers: Vec<_> = gates
            .iter()
            .map(|gate| Rc::new(cluster.caller(*gate, workspace)))
            .collect();
        let seen = Rc::new(Seen::default());
        let sent = Rc::clone(&seen);
        let task = actix_rt::spawn(async move {
            let mut ticks = interval(period);
            for caller in callers.iter().cycle() {
                ticks.tick().await;
                actix_rt::spawn(send(Rc::clone(caller), Rc::clone(&sent)));
            }
        });
        Self { task, seen }
    }

    fn stop(self) -> Rc<Seen> {
        self.task.abort();
        self.seen
    }
}

async fn send(caller: Rc<support::Caller>, seen: Rc<Seen>) {
    match caller.chat("assistant", PROMPT, OUTPUT).await {
        Ok(answer) if answer.status.is_success() => seen.served.set(seen.served.get() + 1),
        Ok(answer) if answer.code() == "rate_limited" => seen.refused.set(seen.refused.get() + 1),
        Ok(answer) => seen.other.borrow_mut().push(answer.code()),
        Err(e) => seen.other.borrow_mut().push(e.to_string()),
    }
}

/// Asserts that no interval holds more tokens than rate and burst allow.
#[allow(clippy::cast_precision_loss)]
async fn assert_bound(cluster: &Cluster) {
    let records = cluster.engine_records().await.unwrap();
    for (workspace, rate, burst) in [(BIG, BIG_RATE, BIG_BURST), (SMALL, SMALL_RATE, SMALL_BURST)] {
        let most = judge::most_beyond_rate(&records, workspace, rate);
        eprintln!("{workspace}: {most} tokens beyond the rate, burst {burst}");
        assert!(most <= burst as f64, "{workspace}: {most} over {burst}");
    }
}

async fn warm(cluster: &Cluster) {
    until(Duration::from_secs(20), "a warm model", async || {
        let answer = cluster.caller(0, SMALL).chat("assistant", "warm", 1).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await
    .unwrap();
}

/// Sends both workspaces' requests while a fault lasts, and returns what they saw.
async fn load(cluster: &Cluster, gates: &[usize], length: Duration) -> (Rc<Seen>, Rc<Seen>) {
    let mut uneven = gates.to_vec();
    uneven.extend([gates[0]; 5]);
    let big = Sender::spawn(cluster, BIG, &uneven, BIG_PERIOD);
    let small = Sender::spawn(cluster, SMALL, gates, SMALL_PERIOD);
    actix_rt::time::sleep(length).await;
    (big.stop(), small.stop())
}

fn assert_small_is_served(fault: &str, small: &Seen) {
    let (served, refused) = (small.served.get(), small.refused.get());
    eprintln!("{fault}: small workspace served {served}, refused {refused}");
    assert!(served > 0, "{fault}: {:?}", small.other.borrow());
    assert_eq!(refused, 0, "{fault}: refused although inside the rate");
}

/// Prints why a gate refused the small workspace's requests.
async fn report_causes(cluster: &Cluster, gate: usize) {
    let metrics = cluster.metrics(gate).await.unwrap();
    for cause in ["OverRate", "PeerSilent", "ShareUnassigned", "ShareLapsed"] {
        let labels = [format!("cause=\"{cause}\""), format!("\"{SMALL}\"")];
        let labels = labels.each_ref().map(String::as_str);
        let refused = metrics.sum("comfreyweir_gate_allowance_refused_total", &labels);
        eprintln!("gate {gate}: {cause} {refused}");
    }
    let lost = metrics.sum("comfreyweir_gate_allowance_reservations_lost_total", &[]);
    eprintln!("gate {gate}: reservations lost {lost}");
}

fn all_but(gates: &[usize]) -> Vec<usize> {
    (0..GATES).filter(|gate| !gates.contains(gate)).collect()
}

#[actix_rt::test]
async fn eight_gates_keep_the_bound_through_faults() {
    let _cluster = CLUSTERS.lock().await;
    let mut cluster = start(spec()).await;
    warm(&cluster).await;
    let length = Duration::from_secs(2);

    let (big, small) = load(&cluster, &all_but(&[]), length).await;
    assert_small_is_served("no fault", &small);
    assert!(
        big.refused.get() > 0,
        "the large workspace sends too little"
    );

    cluster.kill(&gate_name(7)).unwrap();
    let (_, small) = load(&cluster, &all_but(&[7]), length).await;
    assert_small_is_served("one gate killed", &small);
    cluster.restart(&gate_name(7)).await.unwrap();
    let (_, small) = load(&cluster, &all_but(&[]), length).await;
    assert_small_is_served("gate restarted", &small);

    cluster.freeze(&gate_name(6)).unwrap();
    let (_, small) = load(&cluster, &all_but(&[6]), length).await;
    assert_small_is_served("one gate frozen", &small);
    cluster.thaw(&gate_name(6)).unwrap();
    let (_, small) = load(&cluster, &all_but(&[]), length).await;
    assert_small_is_served("gate resumed", &small);

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
    let (_, small) = load(&cluster, &all_but(&[]), length).await;
    assert_small_is_served("peers of the busiest gate cut", &small);
    assert_bound(&cluster).await;
}

#[actix_rt::test]
async fn outage_of_the_service_shorter_than_the_lapse_stops_nothing() {
    let _cluster = CLUSTERS.lock().await;
    let mut spec = spec();
    spec.gate_timing.share_lapse_ms = 20_000;
    let cluster = start(spec).await;
    warm(&cluster).await;
    let down = kv::Faults {
        outage: kv::Outage::Unavailable,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    let (big, small) = load(&cluster, &all_but(&[]), Duration::from_secs(5)).await;
    assert_small_is_served("key-value service down", &small);
    assert!(big.served.get() > 0);
    assert_bound(&cluster).await;
}

#[actix_rt::test]
async fn share_of_a_frozen_gate_is_taken_and_not_used_twice() {
    let _cluster = CLUSTERS.lock().await;
    let cluster = start(spec()).await;
    warm(&cluster).await;
    cluster.freeze(&gate_name(5)).unwrap();
    let others = all_but(&[5]);
    // Lapse and hold are 4 s together; then the others divide the share.
    until(Duration::from_secs(20), "a larger share", async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_allowance_weight_ppm", &[]) > 140_000.0
    })
    .await
    .unwrap();
    let (_, small) = load(&cluster, &others, Duration::from_secs(2)).await;
    assert_small_is_served("share taken over", &small);
    cluster.thaw(&gate_name(5)).unwrap();
    // The resumed gate gets most of the load.
    let (_, _) = load(&cluster, &[5, 0, 1, 2, 3, 4, 6, 7], Duration::from_secs(2)).await;
    assert_bound(&cluster).await;
}

#[actix_rt::test]
async fn workspace_inside_its_rate_may_send_all_to_one_gate() {
    let _cluster = CLUSTERS.lock().await;
    let mut cluster = start(spec()).await;
    warm(&cluster).await;
    // 20 requests of 30 tokens a second: 60% of the rate, and nearly five times the gate's share.
    let period = Duration::from_millis(50);
    let length = Duration::from_secs(3);
    let one = [2];
    let small = Sender::spawn(&cluster, SMALL, &one, period);
    actix_rt::time::sleep(length).await;
    report_causes(&cluster, one[0]).await;
    assert_small_is_served("all at one gate", &small.stop());
    cluster.kill(&gate_name(7)).unwrap();
    let small = Sender::spawn(&cluster, SMALL, &one, period);
    actix_rt::time::sleep(length).await;
    assert_small_is_served("all at one gate, another killed", &small.stop());
    assert_bound(&cluster).await;
}

#[actix_rt::test]
async fn request_above_one_gates_share_is_served() {
    let _cluster = CLUSTERS.lock().await;
    let cluster = start(spec()).await;
    warm(&cluster).await;
    // A gate's share of the burst is 500 tokens; four bytes are one token.
    let prompt = "fork".repeat(2_500);
    for gate in [0, 3, 7] {
        until(Duration::from_secs(10), "a large request", async || {
            let caller = cluster.caller(gate, BIG);
            let answer = caller.chat("assistant", &prompt, OUTPUT);
            answer.await.is_ok_and(|answer| answer.status.is_success())
        })
        .await
        .unwrap();
    }
    let prompt = "fork".repeat(4_000);
    let caller = cluster.caller(0, BIG);
    let answer = caller.chat("assistant", &prompt, OUTPUT);
    assert_eq!(answer.await.unwrap().code(), "exceeds_burst");
    assert_bound(&cluster).await;
}
