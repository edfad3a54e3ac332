//! An accepted configuration takes effect on all gates within seconds and is never replaced by an
//! older revision.

mod operator;
mod support;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use awc::http::StatusCode;
use comfreyweir_standins::{kv, proxy};
use operator::{Operator, wait_for_output};
use support::{Cluster, ClusterSpec, Link, start, until};

const PROMPT: &str = "Which sizes are in stock?";
/// Time within which an accepted revision has to be in force on all gates.
const EFFECT_LIMIT: Duration = Duration::from_secs(5);
/// Time for a gate to notice an outage, or to recover after a fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

fn spec(gates: usize) -> ClusterSpec {
    ClusterSpec::new(gates)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .workspace("school", 100_000, 100_000)
}

/// Reads the revisions that gates report as in force, and panics if one of them decreases.
struct RevisionWatcher<'a> {
    cluster: &'a Cluster,
    highest: BTreeMap<usize, u64>,
}

impl<'a> RevisionWatcher<'a> {
    fn new(cluster: &'a Cluster) -> Self {
        Self {
            cluster,
            highest: BTreeMap::new(),
        }
    }

    /// Revision in force at a gate; `None` if it does not answer.
    async fn revision(&mut self, gate: usize) -> Option<u64> {
        let answer = self.cluster.admin(gate).get("/status").await.ok()?;
        let revision = answer.json()["configuration"]["revision"].as_u64()?;
        let highest = self.highest.entry(gate).or_default();
        assert!(
            revision >= *highest,
            "gate {gate} went from {highest} to {revision}"
        );
        *highest = revision;
        Some(revision)
    }

    async fn wait_for_revision(&mut self, gate: usize, revision: u64, limit: Duration) {
        let what = format!("gate {gate} has revision {revision}");
        let reached = async || self.revision(gate).await.is_some_and(|r| r >= revision);
        until(limit, &what, reached).await.unwrap();
    }

    async fn wait_for_all_gates(&mut self, revision: u64) {
        let end = Instant::now() + EFFECT_LIMIT;
        for gate in 0..self.cluster.spec().gates {
            let remaining = end.saturating_duration_since(Instant::now());
            self.wait_for_revision(gate, revision, remaining).await;
        }
    }
}

fn weight_settings(weight: u32) -> String {
    format!("[workspaces.school]\nweight = {weight}\n")
}

/// Sets the mode of all links of a gate, to the key-value service and to and from all other gates.
async fn set_gate_links(cluster: &Cluster, gate: usize, mode: proxy::Mode) {
    let faults = proxy::Faults {
        mode,
        ..proxy::Faults::default()
    };
    cluster
        .set_link(&Link::GateKv(gate), &faults)
        .await
        .unwrap();
    for other in (0..cluster.spec().gates).filter(|o| *o != gate) {
        for (from, to) in [(gate, other), (other, gate)] {
            let link = Link::Gate { from, to };
            cluster.set_link(&link, &faults).await.unwrap();
        }
    }
}

#[actix_rt::test]
async fn racing_operators_lose_nothing_that_was_accepted() {
    const ROUNDS: u32 = 6;
    let cluster = start(spec(8)).await;
    let mut watcher = RevisionWatcher::new(&cluster);
    let operators = [Operator::new(&cluster), Operator::new(&cluster)];
    let mut accepted = Vec::new();
    for round in 1..=ROUNDS {
        // Each operator adds a workspace of its own in each round.
        let name = |operator: usize| format!("w{operator}-{round}");
        for (i, operator) in operators.iter().enumerate() {
            let text = format!("[workspaces.{}]\nrate = 10\nburst = 1000\n", name(i));
            operator.write(&format!("20-{}.toml", name(i)), &text);
        }
        let started = operators.each_ref().map(|o| o.start(&["apply", "DIR"]));
        let done = started.map(wait_for_output);
        let winner = done.iter().position(|d| d.code == 0);
        let winner = winner.unwrap_or_else(|| panic!("no apply was accepted: {done:?}"));
        let loser = 1 - winner;
        assert_eq!(done[loser].code, 3, "{done:?}");
        let conflict = done[loser].json();
        let change = format!("workspaces.{}", name(winner));
        assert_eq!(conflict["changes"][0]["item"], change, "{conflict}");
        accepted.push(name(winner));
        // The loser adds the winner's change to its folder and applies over the current revision.
        let text = format!("[workspaces.{}]\nrate = 10\nburst = 1000\n", name(winner));
        operators[loser].write(&format!("20-{}.toml", name(winner)), &text);
        let current = conflict["current"].to_string();
        let done = operators[loser].run(&["apply", "DIR", "--over", &current]);
        assert_eq!(done.code, 0, "{done:?}");
        accepted.push(name(loser));
        let revision = done.json()["revision"].as_u64().unwrap();
        watcher.wait_for_all_gates(revision).await;
        let text = format!("[workspaces.{}]\nrate = 10\nburst = 1000\n", name(loser));
        operators[winner].write(&format!("20-{}.toml", name(loser)), &text);
        let done = operators[winner].run(&["apply", "DIR"]);
        assert_eq!(done.json()["changes"], serde_json::json!([]), "{done:?}");
    }
    let stored = comfreyweir_store::read(&cluster.kv()).await.unwrap();
    for name in accepted {
        assert!(
            stored.catalog.workspaces.contains_key(&name),
            "{name} is lost"
        );
    }
}

#[actix_rt::test]
async fn apply_tells_the_truth_when_answers_are_lost_or_the_service_is_down() {
    let cluster = start(spec(2)).await;
    let operator = Operator::new(&cluster);
    let mut watcher = RevisionWatcher::new(&cluster);
    let lost = kv::Faults {
        lose_answers: 1,
        lose_answers_prefix: "config/root".to_owned(),
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&lost).await.unwrap();
    operator.write("20.toml", &weight_settings(2));
    let done = operator.run(&["apply", "DIR"]);
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(done.json()["revision"], 2);
    watcher.wait_for_all_gates(2).await;

    for outage in [kv::Outage::Unavailable, kv::Outage::Silent] {
        let down = kv::Faults {
            outage,
            ..kv::Faults::default()
        };
        cluster.set_kv_faults(&down).await.unwrap();
        operator.write("20.toml", &weight_settings(3));
        let done = operator.run(&["apply", "DIR"]);
        assert_eq!(done.code, 1, "{done:?}");
        assert_eq!(done.json()["outcome"], "not accepted");
        cluster.set_kv_faults(&kv::Faults::default()).await.unwrap();
        let stored = comfreyweir_store::read(&cluster.kv()).await.unwrap();
        assert_eq!(stored.revision, 2, "nothing was written");
    }
    let done = operator.run(&["apply", "DIR", "--wait"]);
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(done.json()["revision"], 3);
}

#[actix_rt::test]
async fn gate_that_was_cut_off_refuses_and_returns_to_the_latest_revision() {
    let cluster = start(spec(3).proxied()).await;
    let operator = Operator::new(&cluster);
    let mut watcher = RevisionWatcher::new(&cluster);
    let modes = [
        proxy::Mode::Cut,
        proxy::Mode::Freeze,
        proxy::Mode::DropToCaller,
    ];
    for (weight, mode) in (2..).zip(modes) {
        set_gate_links(&cluster, 0, mode).await;
        let unready = async || {
            let answer = cluster.admin(0).get("/readyz").await.unwrap();
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        };
        until(EFFECT_LIMIT, "the cut gate is unready", unready)
            .await
            .unwrap();
        let refused = cluster
            .caller(0, "school")
            .chat("assistant", PROMPT, 4)
            .await;
        let refused = refused.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.run_status(), "no");
        assert!(refused.header("retry-after").is_some());

        operator.write("20.toml", &weight_settings(weight));
        let done = operator.run(&["apply", "DIR"]);
        let revision = done.json()["revision"].as_u64().unwrap();
        watcher.wait_for_revision(1, revision, EFFECT_LIMIT).await;
        watcher.wait_for_revision(2, revision, EFFECT_LIMIT).await;
        let behind = watcher.revision(0).await.unwrap();
        assert!(
            behind < revision,
            "{mode:?}: the cut gate received the revision"
        );
        set_gate_links(&cluster, 0, proxy::Mode::Forward).await;
        watcher.wait_for_revision(0, revision, RECOVERY_LIMIT).await;
        let ready = async || !unready().await;
        until(RECOVERY_LIMIT, "the gate is ready again", ready)
            .await
            .unwrap();
    }
}

#[actix_rt::test]
async fn revision_passes_between_gates_when_one_has_lost_the_service() {
    let cluster = start(spec(3).proxied()).await;
    let operator = Operator::new(&cluster);
    let mut watcher = RevisionWatcher::new(&cluster);
    let one_way = proxy::Faults {
        mode: proxy::Mode::DropToCaller,
        ..proxy::Faults::default()
    };
    cluster.set_link(&Link::GateKv(0), &one_way).await.unwrap();
    operator.write("20.toml", &weight_settings(2));
    assert_eq!(operator.run(&["apply", "DIR"]).code, 0);
    watcher.wait_for_all_gates(2).await;
    let end = Instant::now() + 3 * Duration::from_millis(cluster.spec().gate_timing.cut_off_ms);
    while Instant::now() < end {
        let answer = cluster.admin(0).get("/readyz").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "its peers reach the service");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_rt::test]
async fn older_revision_offered_by_the_service_is_never_in_force() {
    let mut cluster = start(spec(3)).await;
    let operator = Operator::new(&cluster);
    for weight in [2, 3] {
        operator.write("20.toml", &weight_settings(weight));
        assert_eq!(operator.run(&["apply", "DIR", "--wait"]).code, 0);
    }
    let stale = kv::Faults {
        stale: Some(kv::StaleReads {
            prefix: "config/root".to_owned(),
            versions: 1,
        }),
        ..kv::Faults::default()
    };
    // After an outage the gates read the revision instead of resuming their watch, so they receive
    // the stale one.
    let down = kv::Faults {
        outage: kv::Outage::Unavailable,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    for gate in 0..3 {
        until(RECOVERY_LIMIT, "the gate notices the outage", async || {
            let status = cluster.admin(gate).get("/status").await.unwrap().json();
            status["configuration"]["freshness"] == "service_down"
        })
        .await
        .unwrap();
    }
    cluster.set_kv_faults(&stale).await.unwrap();
    // A new process has seen no revision: the service offers revision 2, its peers have 3.
    cluster.restart("gate-1").await.unwrap();
    let mut watcher = RevisionWatcher::new(&cluster);
    watcher.wait_for_all_gates(3).await;
    let end = Instant::now() + EFFECT_LIMIT;
    while Instant::now() < end {
        for gate in 0..3 {
            watcher.revision(gate).await;
        }
    }
    let offered = comfreyweir_store::read(&cluster.kv()).await.unwrap();
    assert_eq!(
        offered.revision, 2,
        "the service does not offer the older revision"
    );
}
