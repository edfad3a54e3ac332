//! Placement under faults with real processes: a model never has more replicas than planned, no
//! engine exceeds its memory, and every waiting request is answered once the fault has ended.

mod support;

use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::http::StatusCode;
use comfreyweir_external::{engine::CheckpointTier, instances::InstanceState, kv};
use comfreyweir_standins::{engine, kv::Faults as KvFaults, proxy, weights};
use serde_json::Value;
use support::{
    Answer, Cluster, ClusterSpec, Link, TestbedError, instance_name, planner_name, record_checks,
    until, until_some,
};

const LIMIT: Duration = Duration::from_secs(15);
const INSTANCES: usize = 3;
/// Time after which a leaving upstream receives no new requests.
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
        // Without checks of their own the engines obey the planner, so that its accounting errors
        // show in their records.
        engine.settings.checks_memory = false;
    }
    spec
}

/// Starts a cluster and waits until each gate serves requests. By then the gates have their shares
/// of the allowance, and the holder has fenced the engines and received their reports.
async fn start(spec: ClusterSpec) -> Cluster {
    let cluster = support::start(spec).await;
    for gate in 0..cluster.spec().gates {
        let serves = async || {
            let answer = send_request(&cluster, gate, "warm").await.unwrap();
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        };
        until(LIMIT, "a gate that serves", serves).await.unwrap();
    }
    cluster
}

/// The record of the cell `main` in the key-value service, which holds the placement plan.
async fn placement_record(cluster: &Cluster) -> Option<Value> {
    let found = kv::get_recorded::<_, Value>(&cluster.kv(), "cell/main").await;
    found.ok().flatten().map(|(_, recorded)| recorded.body)
}

/// Waits for a holder of the cell and returns the index of its instance.
async fn wait_for_holder(cluster: &Cluster) -> usize {
    let probe = async || {
        let record = placement_record(cluster).await?;
        (0..INSTANCES).find(|index| record["holder"] == instance_name(*index).as_str())
    };
    until_some(LIMIT, "a holder", probe).await.unwrap()
}

/// Waits until the recorded plan has a reservation for the model.
async fn wait_until_load_planned(cluster: &Cluster, model: &str) {
    let probe = async || {
        let Some(record) = placement_record(cluster).await else {
            return false;
        };
        let plan = record["plan"]["reservations"].as_array().cloned();
        let mut plan = plan.unwrap_or_default().into_iter();
        plan.any(|r| r["artifact"]["name"] == model)
    };
    until(LIMIT, "a reservation for the model", probe)
        .await
        .unwrap();
}

/// Waits until another instance holds the cell and returns its index.
async fn wait_for_successor(cluster: &Cluster, predecessor: usize) -> usize {
    let probe = async || {
        let current = wait_for_holder(cluster).await;
        (current != predecessor).then_some(current)
    };
    until_some(LIMIT, "a successor", probe).await.unwrap()
}

fn send_request(
    cluster: &Cluster,
    gate: usize,
    model: &str,
) -> JoinHandle<Result<Answer, TestbedError>> {
    let caller = cluster.caller(gate, "w");
    let model = model.to_owned();
    actix_rt::spawn(async move { caller.chat(&model, "a fault summary", 4).await })
}

async fn expect_success(pending: JoinHandle<Result<Answer, TestbedError>>) {
    let answer = pending.await.unwrap().unwrap();
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

async fn count_loads(cluster: &Cluster, model: &str) -> usize {
    let records = cluster.engine_records().await.unwrap();
    record_checks::count_load_orders(&records, &format!("{model}@1"))
}

async fn wait_until_load_ordered(cluster: &Cluster, model: &str) {
    let ordered = async || count_loads(cluster, model).await > 0;
    until(LIMIT, "a load", ordered).await.unwrap();
}

/// Asserts from the engines' records that no model had more replicas than given here and that no
/// engine exceeded its memory.
async fn assert_limits_kept(cluster: &Cluster, replicas: &[(&str, u32)]) {
    let records = cluster.engine_records().await.unwrap();
    for (model, planned) in replicas {
        let most = record_checks::max_concurrent_replicas(&records, &format!("{model}@1"));
        assert!(most <= *planned, "{most} replicas of {model}");
    }
    for record in &records {
        assert!(record.most_used_mb <= record.memory_mb, "{record:?}");
    }
    let memory_breaks = record_checks::broken_invariants(&records)
        .into_iter()
        .filter(|b| b.kind == engine::ViolationKind::MemoryOverLimit);
    assert_eq!(memory_breaks.count(), 0);
}

#[actix_rt::test]
async fn a_burst_at_eight_gates_makes_one_load_per_replica() {
    let spec = spec(8, true).model("wide", 30, 2);
    let cluster = start(spec).await;
    let mut requests = Vec::new();
    for _ in 0..3 {
        for gate in 0..8 {
            requests.push(send_request(&cluster, gate, "m"));
            requests.push(send_request(&cluster, gate, "wide"));
        }
    }
    for request in requests {
        expect_success(request).await;
    }
    assert_eq!(count_loads(&cluster, "m").await, 1);
    assert!(count_loads(&cluster, "wide").await <= 2);
    assert_limits_kept(&cluster, &[("m", 1), ("wide", 2)]).await;
}

/// Kills the holder while orders, or only their answers, are dropped, and checks that its successor
/// completes the load without a second one.
async fn check_holder_killed_after_decision(dropped: proxy::Mode) {
    let mut spec = spec(INSTANCES, true).proxied();
    for engine in &mut spec.engines {
        engine.settings.times.load_remote_ms = 2_000;
    }
    let mut cluster = start(spec).await;
    let first = wait_for_holder(&cluster).await;
    let gate = (first + 1) % INSTANCES;
    set_engine_links(&cluster, dropped).await;
    let pending = send_request(&cluster, gate, "m");
    wait_until_load_planned(&cluster, "m").await;
    if dropped == proxy::Mode::DropToCaller {
        wait_until_load_ordered(&cluster, "m").await;
    } else {
        assert_eq!(count_loads(&cluster, "m").await, 0);
    }
    cluster.kill(&planner_name(first)).unwrap();
    set_engine_links(&cluster, proxy::Mode::Cut).await;
    set_engine_links(&cluster, proxy::Mode::Forward).await;
    expect_success(pending).await;
    assert_eq!(count_loads(&cluster, "m").await, 1);
    assert_limits_kept(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_planner_killed_between_decision_and_order_is_completed() {
    check_holder_killed_after_decision(proxy::Mode::DropToUpstream).await;
}

#[actix_rt::test]
async fn a_planner_killed_between_order_and_report_is_completed() {
    check_holder_killed_after_decision(proxy::Mode::DropToCaller).await;
}

#[actix_rt::test]
async fn a_planner_killed_while_a_model_loads_is_completed() {
    let mut spec = spec(INSTANCES, true);
    for engine in &mut spec.engines {
        engine.settings.times.load_remote_ms = 3_000;
    }
    let mut cluster = start(spec).await;
    let first = wait_for_holder(&cluster).await;
    let pending = send_request(&cluster, (first + 1) % INSTANCES, "m");
    wait_until_load_ordered(&cluster, "m").await;
    cluster.kill(&planner_name(first)).unwrap();
    wait_for_successor(&cluster, first).await;
    expect_success(pending).await;
    assert_eq!(count_loads(&cluster, "m").await, 1);
    assert_limits_kept(&cluster, &[("m", 1)]).await;
}

/// Freezes the holder past its lease while its order is delayed. Its successor loads the model,
/// unloads it and loads another one; then the delayed order arrives and the holder resumes.
async fn check_holder_frozen_past_its_lease(checks_fencing: bool) {
    const ORDER_DELAY: Duration = Duration::from_secs(6);
    let mut spec = spec(INSTANCES, checks_fencing);
    spec.planner_timing.keep_idle_ms = 1_000;
    // Both models prefer the engine that has their checkpoints.
    let checkpoints = ["m@1", "n@1"].map(|name| (name.to_owned(), CheckpointTier::Disk));
    spec.engines[1].settings.checkpoints = checkpoints.into();
    let cluster = start(spec).await;
    let first = wait_for_holder(&cluster).await;
    let gate = (first + 1) % INSTANCES;
    let delay_ms = u64::try_from(ORDER_DELAY.as_millis()).unwrap();
    // An engine that checks fencing tokens refuses the late order; one that does not executes it
    // and records its old term.
    let late_order_arrived = async || {
        let records = cluster.engine_records().await.unwrap();
        let is_old = |b: &&engine::Violation| b.kind == engine::ViolationKind::OldTermObeyed;
        if checks_fencing {
            records.iter().any(|r| r.fenced > 0)
        } else {
            record_checks::broken_invariants(&records)
                .iter()
                .any(is_old)
        }
    };
    set_order_delay(&cluster, delay_ms).await;
    let sent_at = std::time::Instant::now();
    let pending = send_request(&cluster, gate, "m");
    wait_until_load_planned(&cluster, "m").await;
    // The order is sent within milliseconds of the decision and can't be observed until it arrives.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    cluster.freeze(&planner_name(first)).unwrap();
    set_order_delay(&cluster, 0).await;
    wait_for_successor(&cluster, first).await;
    expect_success(pending).await;
    let unloaded = async || {
        let records = cluster.engine_records().await.unwrap();
        let last =
            |r: &engine::EngineRecord| r.changes.iter().rfind(|c| c.artifact == "m@1").cloned();
        let held = records.iter().filter_map(last);
        held.map(|c| c.replicas).sum::<u32>() == 0
    };
    until(LIMIT, "idle model unloaded", unloaded).await.unwrap();
    expect_success(send_request(&cluster, gate, "n")).await;
    assert!(
        sent_at.elapsed() < ORDER_DELAY,
        "the order may have arrived before the other model was loaded"
    );
    // Keeps the other model in use until the late order arrives.
    let keep_used_until_arrival = async || {
        expect_success(send_request(&cluster, gate, "n")).await;
        late_order_arrived().await
    };
    let arrival = until(LIMIT, "late order", keep_used_until_arrival).await;
    arrival.unwrap();
    cluster.thaw(&planner_name(first)).unwrap();
    expect_success(send_request(&cluster, gate, "m")).await;
    assert_limits_kept(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_planner_frozen_past_its_lease_is_refused_by_engines_that_check() {
    check_holder_frozen_past_its_lease(true).await;
}

#[actix_rt::test]
async fn a_planner_frozen_past_its_lease_finds_its_memory_charged_elsewhere() {
    check_holder_frozen_past_its_lease(false).await;
}

#[actix_rt::test]
async fn a_decision_whose_answer_is_lost_is_carried_out_once() {
    let cluster = start(spec(INSTANCES, true)).await;
    let before = placement_record(&cluster).await.unwrap();
    let lost = KvFaults {
        lose_answers: 3,
        lose_answers_prefix: "cell/".to_owned(),
        ..KvFaults::default()
    };
    cluster.set_kv_faults(&lost).await.unwrap();
    expect_success(send_request(&cluster, 0, "m")).await;
    assert_eq!(count_loads(&cluster, "m").await, 1);
    // The holder recognized its own writes and did not conclude that it had been replaced.
    let after = placement_record(&cluster).await.unwrap();
    assert_eq!(after["holder"], before["holder"]);
    assert_eq!(after["term"], before["term"]);
    assert_limits_kept(&cluster, &[("m", 1)]).await;
}

#[actix_rt::test]
async fn loaded_models_are_served_while_the_key_value_service_is_down() {
    let cluster = start(spec(INSTANCES, true)).await;
    for gate in 0..INSTANCES {
        expect_success(send_request(&cluster, gate, "m")).await;
    }
    let down = KvFaults {
        outage: comfreyweir_standins::kv::Outage::Unavailable,
        ..KvFaults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    // Once the lease has expired no holder may plan, so the cold model waits for the service.
    let cold = send_request(&cluster, 1, "n");
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    expect_success(send_request(&cluster, 2, "m")).await;
    cluster.set_kv_faults(&KvFaults::default()).await.unwrap();
    expect_success(cold).await;
    assert_limits_kept(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn planners_stopped_in_turn_cut_no_request() {
    let mut cluster = start(spec(INSTANCES, true)).await;
    for stopped in 0..INSTANCES {
        let gate = (stopped + 1) % INSTANCES;
        let requests = [
            send_request(&cluster, gate, "m"),
            send_request(&cluster, gate, "n"),
        ];
        let process = cluster.process_mut(&planner_name(stopped)).unwrap();
        let status = process.terminate(LIMIT).await.unwrap();
        assert!(status.success(), "{status}");
        for request in requests {
            expect_success(request).await;
        }
        cluster.restart(&planner_name(stopped)).await.unwrap();
    }
    assert_limits_kept(&cluster, &[("m", 1), ("n", 1)]).await;
}

#[actix_rt::test]
async fn a_leaving_engine_receives_no_new_work_although_the_list_lags() {
    let mut spec = spec(INSTANCES, true);
    spec.list_lag_ms = 1_500;
    let cluster = start(spec).await;
    expect_success(send_request(&cluster, 0, "m")).await;
    let records = cluster.engine_records().await.unwrap();
    let served_model = |r: &engine::EngineRecord| r.requests.iter().any(|run| run.model == "m@1");
    let leaving_index = records.iter().position(served_model).unwrap();
    let name = cluster.spec().engines[leaving_index].settings.name.clone();
    cluster
        .set_state(&name, InstanceState::Leaving)
        .await
        .unwrap();
    let marked = std::time::Instant::now();
    let mut before = None;
    while marked.elapsed() < LEAVING_LIMIT * 2 {
        expect_success(send_request(&cluster, 1, "m")).await;
        if marked.elapsed() >= LEAVING_LIMIT && before.is_none() {
            let record = cluster.engine_record(&name).await.unwrap();
            before = Some(record.requests.len());
        }
    }
    let record = cluster.engine_record(&name).await.unwrap();
    assert_eq!(Some(record.requests.len()), before);
    assert_limits_kept(&cluster, &[("m", 1)]).await;
}
#[actix_rt::test]
async fn a_cold_model_behind_a_slowed_store_is_refused_before_its_deadline() {
    let mut spec = spec(INSTANCES, true);
    spec.limits.deadline_ms = 3_000;
    let cluster = start(spec).await;
    expect_success(send_request(&cluster, 0, "n")).await;
    let slow = weights::Settings {
        loads_per_second: 20.0,
        slowdown: 10.0,
        ..weights::Settings::default()
    };
    cluster.set_weights(&slow).await.unwrap();
    let answer = send_request(&cluster, 0, "m").await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.run_status(), "no");
    assert!(answer.took < Duration::from_millis(2_900), "{answer:?}");
}
