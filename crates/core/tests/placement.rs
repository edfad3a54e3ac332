//! Placement under failure with real processes: never more replicas than decided, never more
//! memory than there is, and every waiting request is answered once the fault has passed.

mod support;

use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::http::StatusCode;
use comfreyweir_external::{engine::CheckpointTier, instances::InstanceState, kv};
use comfreyweir_standins::{engine, kv::Faults as KvFaults, proxy, weights};
use serde_json::Value;
use support::{
    Answer, Cluster, ClusterSpec, Link, TestbedError, instance_name, judge, planner_name, until,
    until_some,
};

const LIMIT: Duration = Duration::from_secs(15);
const INSTANCES: usize = 3;
/// Longest time until a leaving upstream receives no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn spec(instances: usize, checks_fencing: bool) -> ClusterSpec {
    let mut spec = ClusterSpec::new(instances)
        .engines(2, 100)
        .model("m", 60, 1)
        .model("n", 60, 1)
        .model("warm", 10, 1)
        .workspace("w", 1_000_000, 1_000_000);
    spec.planner_timing.lease_ms = 700;
    spec.planner_timing.margin_ms = 100;
    for engine in &mut spec.engines {
        engine.settings.checks_fencing = checks_fencing;
        // The judge wants to see what an engine would do that trusts its planner.
        engine.settings.checks_memory = false;
    }
    spec
}

/// Starts a cluster and waits until each gate serves. By then the gates have their shares of the
/// allowance, and the holder has fenced the engines and has their reports.
async fn start(spec: ClusterSpec) -> Cluster {
    let cluster = support::start(spec).await;
    for gate in 0..cluster.spec().gates {
        let serves = async || {
            let answer = ask(&cluster, gate, "warm").await.unwrap();
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        };
        until(LIMIT, "a gate that serves", serves).await.unwrap();
    }
    cluster
}

async fn cell(cluster: &Cluster) -> Option<Value> {
    let found = kv::get_recorded::<_, Value>(&cluster.kv(), "cell/main").await;
    found.ok().flatten().map(|(_, recorded)| recorded.body)
}

/// Number of the instance that holds the cell.
async fn holder(cluster: &Cluster) -> usize {
    let look = async || {
        let record = cell(cluster).await?;
        (0..INSTANCES).find(|index| record["holder"] == instance_name(*index).as_str())
    };
    until_some(LIMIT, "a holder", look).await.unwrap()
}

/// Waits until a load of the model is recorded.
async fn decided(cluster: &Cluster, model: &str) {
    let look = async || {
        let Some(record) = cell(cluster).await else {
            return false;
        };
        let plan = record["plan"]["reservations"].as_array().cloned();
        let mut plan = plan.unwrap_or_default().into_iter();
        plan.any(|r| r["artifact"]["name"] == model)
    };
    until(LIMIT, "a decision", look).await.unwrap();
}

async fn successor(cluster: &Cluster, predecessor: usize) -> usize {
    let look = async || {
        let now = holder(cluster).await;
        (now != predecessor).then_some(now)
    };
    until_some(LIMIT, "a successor", look).await.unwrap()
}

fn ask(cluster: &Cluster, gate: usize, model: &str) -> JoinHandle<Result<Answer, TestbedError>> {
    let caller = cluster.caller(gate, "w");
    let model = model.to_owned();
    actix_rt::spawn(async move { caller.chat(&model, "a fault summary", 4).await })
}

async fn answered(asked: JoinHandle<Result<Answer, TestbedError>>) {
    let answer = asked.await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
}

async fn set_engine_links(cluster: &Cluster, mode: proxy::Mode) {
    let faults = proxy::Faults {
        mode,
        ..proxy::Faults::default()
    };
    for engine in 0..cluster.spec().engines.len() {
        let link = Link::Engine(engine);
        cluster.set_link(&link, &faults).await.unwrap();
    }
}

async fn set_order_delay(cluster: &Cluster, delay_orders_ms: u64) {
    let faults = engine::Faults {
        delay_orders_ms,
        ..engine::Faults::default()
    };
    for engine in &cluster.spec().engines {
        let name = &engine.settings.name;
        cluster.set_engine_faults(name, &faults).await.unwrap();
    }
}

async fn loads(cluster: &Cluster, model: &str) -> usize {
    let records = cluster.engine_records().await.unwrap();
    judge::loads(&records, &format!("{model}@1"))
}

async fn until_loaded(cluster: &Cluster, model: &str) {
    let ordered = async || loads(cluster, model).await > 0;
    until(LIMIT, "a load", ordered).await.unwrap();
}

/// What the engines saw: replicas within what was decided, and memory within its limit.
async fn judge_all(cluster: &Cluster, replicas: &[(&str, u32)]) {
    let records = cluster.engine_records().await.unwrap();
    for (model, decided) in replicas {
        let most = judge::most_replicas(&records, &format!("{model}@1"));
        assert!(most <= *decided, "{most} replicas of {model}");
    }
    for record in &records {
        assert!(record.most_used_mb <= record.memory_mb, "{record:?}");
    }
    let over = judge::breaks(&records)
        .into_iter()
        .filter(|b| b.kind == engine::BreakKind::MemoryOverLimit);
    assert_eq!(over.count(), 0);
}

#[actix_rt::test]
async fn a_burst_at_eight_gates_makes_one_load_per_replica() {
    let spec = spec(8, true).model("wide", 30, 2);
    let cluster = start(spec).await;
    let mut asked = Vec::new();
    for _ in 0..3 {
        for gate in 0..8 {
            asked.push(ask(&cluster, gate, "m"));
            asked.push(ask(&cluster, gate, "wide"));
        }
    }
    for asked in asked {
        answered(asked).await;
    }
    assert_eq!(loads(&cluster, "m").await, 1);
    assert!(loads(&cluster, "wide").await <= 2);
    judge_all(&cluster, &[("m", 1), ("wide", 2)]).await;
}

/// The holder is killed while orders, or only their answers, are dropped.
async fn killed_after_decision(dropped: proxy::Mode) {
    let mut spec = spec(INSTANCES, true).proxied();
    for engine in &mut spec.engines {
        engine.settings.times.load_remote_ms = 2_000;
    }
    let mut cluster = start(spec).await;
    let first = holder(&cluster).await;
    let gate = (first + 1) % INSTANCES;
    set_engine_links(&cluster, dropped).await;
    let asked = ask(&cluster, gate, "m");
    decided(&cluster, "m").await;
    if dropped == proxy::Mode::DropToCaller {
        until_loaded(&cluster, "m").await;
    } else {
        assert_eq!(loads(&cluster, "m").await, 0);
    }
    cluster.kill(&planner_name(first)).unwrap();
    set_engine_links(&cluster, proxy::Mode::Cut).await;
    set_engine_links(&cluster, proxy::Mode::Forward).await;
    answered(asked).await;
    assert_eq!(loads(&cluster, "m").await, 1);
    judge_all(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_planner_killed_between_decision_and_order_is_completed() {
    killed_after_decision(proxy::Mode::DropToUpstream).await;
}

#[actix_rt::test]
async fn a_planner_killed_between_order_and_report_is_completed() {
    killed_after_decision(proxy::Mode::DropToCaller).await;
}

#[actix_rt::test]
async fn a_planner_killed_while_a_model_loads_is_completed() {
    let mut spec = spec(INSTANCES, true);
    for engine in &mut spec.engines {
        engine.settings.times.load_remote_ms = 3_000;
    }
    let mut cluster = start(spec).await;
    let first = holder(&cluster).await;
    let asked = ask(&cluster, (first + 1) % INSTANCES, "m");
    until_loaded(&cluster, "m").await;
    cluster.kill(&planner_name(first)).unwrap();
    successor(&cluster, first).await;
    answered(asked).await;
    assert_eq!(loads(&cluster, "m").await, 1);
    judge_all(&cluster, &[("m", 1)]).await;
}

/// The holder is frozen past its lease while its order is on its way. Its successor loads the
/// model, unloads it and loads another one; then the order arrives and the holder resumes.
async fn frozen_past_its_lease(checks_fencing: bool) {
    const ON_ITS_WAY: Duration = Duration::from_secs(6);
    let mut spec = spec(INSTANCES, checks_fencing);
    spec.planner_timing.keep_idle_ms = 1_000;
    // Both models would rather go to the same engine.
    let checkpoints = ["m@1", "n@1"].map(|name| (name.to_owned(), CheckpointTier::Disk));
    spec.engines[1].settings.checkpoints = checkpoints.into();
    let cluster = start(spec).await;
    let first = holder(&cluster).await;
    let gate = (first + 1) % INSTANCES;
    let delay_ms = u64::try_from(ON_ITS_WAY.as_millis()).unwrap();
    // An engine that checks refuses the late order, the others obey it and note its old term.
    let arrived = async || {
        let records = cluster.engine_records().await.unwrap();
        let is_old = |b: &&engine::Break| b.kind == engine::BreakKind::OldTermObeyed;
        if checks_fencing {
            records.iter().any(|r| r.fenced > 0)
        } else {
            judge::breaks(&records).iter().any(is_old)
        }
    };
    set_order_delay(&cluster, delay_ms).await;
    let sent_at = std::time::Instant::now();
    let asked = ask(&cluster, gate, "m");
    decided(&cluster, "m").await;
    // The order leaves within milliseconds of its decision; nothing shows it before it arrives.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    cluster.freeze(&planner_name(first)).unwrap();
    set_order_delay(&cluster, 0).await;
    successor(&cluster, first).await;
    answered(asked).await;
    let unloaded = async || {
        let records = cluster.engine_records().await.unwrap();
        let last = |r: &engine::Record| r.changes.iter().rfind(|c| c.artifact == "m@1").cloned();
        let held = records.iter().filter_map(last);
        held.map(|c| c.replicas).sum::<u32>() == 0
    };
    until(LIMIT, "idle model unloaded", unloaded).await.unwrap();
    answered(ask(&cluster, gate, "n")).await;
    assert!(
        sent_at.elapsed() < ON_ITS_WAY,
        "the order arrived too early"
    );
    // The other model stays in use until then.
    let used_and_arrived = async || {
        answered(ask(&cluster, gate, "n")).await;
        arrived().await
    };
    let late = until(LIMIT, "late order", used_and_arrived).await;
    late.unwrap();
    cluster.thaw(&planner_name(first)).unwrap();
    answered(ask(&cluster, gate, "m")).await;
    judge_all(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_planner_frozen_past_its_lease_is_refused_by_engines_that_check() {
    frozen_past_its_lease(true).await;
}

#[actix_rt::test]
async fn a_planner_frozen_past_its_lease_finds_its_memory_charged_elsewhere() {
    frozen_past_its_lease(false).await;
}

#[actix_rt::test]
async fn a_decision_whose_answer_is_lost_is_carried_out_once() {
    let cluster = start(spec(INSTANCES, true)).await;
    let before = cell(&cluster).await.unwrap();
    let lost = KvFaults {
        lose_answers: 3,
        lose_answers_prefix: "cell/".to_owned(),
        ..KvFaults::default()
    };
    cluster.set_kv_faults(&lost).await.unwrap();
    answered(ask(&cluster, 0, "m")).await;
    assert_eq!(loads(&cluster, "m").await, 1);
    // The holder has found its own writes, and was not taken for deposed.
    let after = cell(&cluster).await.unwrap();
    assert_eq!(after["holder"], before["holder"]);
    assert_eq!(after["term"], before["term"]);
    judge_all(&cluster, &[("m", 1)]).await;
}

#[actix_rt::test]
async fn placed_models_are_served_while_the_service_is_down() {
    let cluster = start(spec(INSTANCES, true)).await;
    for gate in 0..INSTANCES {
        answered(ask(&cluster, gate, "m")).await;
    }
    let down = KvFaults {
        outage: comfreyweir_standins::kv::Outage::Unavailable,
        ..KvFaults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    // Past the lease, no holder may decide: the cold model has to wait for the service.
    let cold = ask(&cluster, 1, "n");
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    answered(ask(&cluster, 2, "m")).await;
    cluster.set_kv_faults(&KvFaults::default()).await.unwrap();
    answered(cold).await;
    judge_all(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn planners_stopped_in_turn_cut_no_request() {
    let mut cluster = start(spec(INSTANCES, true)).await;
    for stopped in 0..INSTANCES {
        let gate = (stopped + 1) % INSTANCES;
        let asked = [ask(&cluster, gate, "m"), ask(&cluster, gate, "n")];
        let process = cluster.process_mut(&planner_name(stopped)).unwrap();
        let status = process.terminate(LIMIT).await.unwrap();
        assert!(status.success(), "{status}");
        for asked in asked {
            answered(asked).await;
        }
        cluster.restart(&planner_name(stopped)).await.unwrap();
    }
    judge_all(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_leaving_engine_receives_no_new_work_although_the_list_lags() {
    let mut spec = spec(INSTANCES, true);
    spec.list_lag_ms = 1_500;
    let cluster = start(spec).await;
    answered(ask(&cluster, 0, "m")).await;
    let records = cluster.engine_records().await.unwrap();
    let serves = |r: &engine::Record| r.requests.iter().any(|run| run.model == "m@1");
    let left = records.iter().position(serves).unwrap();
    let name = cluster.spec().engines[left].settings.name.clone();
    cluster
        .set_state(&name, InstanceState::Leaving)
        .await
        .unwrap();
    let marked = std::time::Instant::now();
    let mut before = None;
    while marked.elapsed() < LEAVING_LIMIT * 2 {
        answered(ask(&cluster, 1, "m")).await;
        if marked.elapsed() >= LEAVING_LIMIT && before.is_none() {
            let record = cluster.engine_record(&name).await.unwrap();
            before = Some(record.requests.len());
        }
    }
    let record = cluster.engine_record(&name).await.unwrap();
    assert_eq!(Some(record.requests.len()), before);
    judge_all(&cluster, &[("m", 1)]).await;
}
#[actix_rt::test]
async fn a_cold_model_behind_a_slowed_store_is_refused_before_its_deadline() {
    let mut spec = spec(INSTANCES, true);
    spec.limits.deadline_ms = 3_000;
    let cluster = start(spec).await;
    answered(ask(&cluster, 0, "n")).await;
    let slow = weights::Settings {
        loads_per_second: 20.0,
        slowdown: 10.0,
        ..weights::Settings::default()
    };
    cluster.set_weights(&slow).await.unwrap();
    let answer = ask(&cluster, 0, "m").await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.run(), "no");
    assert!(answer.took < Duration::from_millis(2_900), "{answer:?}");
}
