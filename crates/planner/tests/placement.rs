//! Planners, stand-in services and the placement views of gates in one process.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_gate::placement_view::PlacementView;
use support::{Cluster, EngineSpec, WAIT_LIMIT, adapter, model, request_until_ready, wait_until};

const FENCED_ENGINE: EngineSpec = EngineSpec {
    memory_mb: 100,
    checks_fencing: true,
};

/// Time that requests must keep waiting before a further replica is loaded.
const SCALE_OUT_DELAY: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn cold_model_and_its_adapter_are_loaded_once_for_all_gates() {
    let cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.adapters.insert("a".to_owned(), adapter("m"));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let views: Vec<_> = (0..8)
        .map(|index| cluster.start_view(index, &planner))
        .collect();
    let pending_wait: Vec<_> = views
        .iter()
        .map(|view| view.wait_for("a@1", "w", Instant::now() + WAIT_LIMIT))
        .collect();
    for view in &views {
        wait_until("adapter", || view.replicas("a@1").iter().any(|r| r.ready)).await;
    }
    drop(pending_wait);
    assert_eq!(cluster.load_order_count("m@1"), 1);
    assert_eq!(cluster.load_order_count("a@1"), 1);
    planner.stop().await;
}

#[actix_rt::test]
async fn memory_is_freed_for_what_is_waited_for() {
    let cluster = Cluster::start(&[FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let view = cluster.start_view(0, &planner);
    request_until_ready(&view, "m@1").await;
    request_until_ready(&view, "n@1").await;
    assert!(cluster.engines["e0"].record().breaks.is_empty());
    planner.stop().await;
}

#[actix_rt::test]
async fn a_stopped_planner_hands_its_cell_over() {
    let cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let first = cluster.start_planner(0).await;
    let second = cluster.start_planner(1).await;
    let view = cluster.start_view(0, &first);
    request_until_ready(&view, "m@1").await;
    first.stop().await;
    let view = cluster.start_view(0, &second);
    request_until_ready(&view, "n@1").await;
    wait_until("first replica in the view of the second planner", || {
        view.replicas("m@1").iter().any(|r| r.ready)
    })
    .await;
    assert_eq!(cluster.load_order_count("m@1"), 1);
    second.stop().await;
}

#[actix_rt::test]
async fn a_leaving_upstream_is_given_up_and_replaced() {
    let cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let view = cluster.start_view(0, &planner);
    request_until_ready(&view, "m@1").await;
    let upstream = view.replicas("m@1")[0].upstream.clone();
    cluster.set_leaving(&[&upstream]);
    wait_until("upstream marked as leaving", || view.is_leaving(&upstream)).await;
    assert!(view.replicas("m@1").iter().all(|r| r.upstream != upstream));
    request_until_ready(&view, "m@1").await;
    planner.stop().await;
}

#[actix_rt::test]
async fn new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let view = cluster.start_view(0, &planner);
    request_until_ready(&view, "m@1").await;
    cluster.catalog.models.get_mut("m").unwrap().version = "2".to_owned();
    cluster.publish().await;
    wait_until("new version", || {
        view.replicas("m@2").iter().any(|r| r.ready)
    })
    .await;
    wait_until("old version gone", || view.replicas("m@1").is_empty()).await;
    let records: Vec<_> = cluster
        .engines
        .values()
        .map(comfreyweir_standins::engine::Engine::record)
        .collect();
    let changed_at_us = |name: &str, change| {
        let mut changes = records.iter().flat_map(|r| &r.changes);
        changes
            .find(|c| c.artifact == name && c.change == change)
            .map(|c| c.at_us)
    };
    let ready_at = changed_at_us(
        "m@2",
        comfreyweir_standins::engine::ReplicaChangeKind::Ready,
    );
    let unloaded_at = changed_at_us("m@1", comfreyweir_standins::engine::ReplicaChangeKind::Gone);
    assert!(unloaded_at.is_none() || ready_at < unloaded_at);
    planner.stop().await;
}

#[actix_rt::test]
async fn estimate_reflects_a_slow_weight_store_before_the_deadline() {
    let cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let view = cluster.start_view(0, &planner);
    request_until_ready(&view, "m@1").await;
    cluster.slow_weight_store(100.0);
    let deadline = Instant::now() + Duration::from_secs(2);
    let pending_wait = view.wait_for("n@1", "w", deadline);
    let exceeds_deadline = || {
        let ready_in = view.ready_in("n@1");
        ready_in.is_some_and(|ready_in| Instant::now() + ready_in > deadline)
    };
    wait_until("estimate beyond the deadline", exceeds_deadline).await;
    assert!(Instant::now() < deadline);
    drop(pending_wait);
    planner.stop().await;
}

#[actix_rt::test]
async fn a_further_replica_is_loaded_only_under_sustained_waiting() {
    let cluster = Cluster::start(&[FENCED_ENGINE, FENCED_ENGINE, FENCED_ENGINE], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 2));
    })
    .await;
    let planner = cluster.start_planner(0).await;
    let view = cluster.start_view(0, &planner);
    let started = Instant::now();
    let pending_wait = view.wait_for("m@1", "w", started + WAIT_LIMIT);
    wait_until("first replica", || {
        view.replicas("m@1").iter().any(|r| r.ready)
    })
    .await;
    assert_eq!(cluster.load_order_count("m@1"), 1);
    wait_until("second replica", || cluster.load_order_count("m@1") == 2).await;
    assert!(started.elapsed() >= SCALE_OUT_DELAY);
    let both_ready = || view.replicas("m@1").iter().filter(|r| r.ready).count() == 2;
    wait_until("both ready", both_ready).await;
    actix_rt::time::sleep(SCALE_OUT_DELAY * 2).await;
    assert_eq!(cluster.load_order_count("m@1"), 2);
    drop(pending_wait);
    planner.stop().await;
}
