//! A planner, stand-ins and the view of gates in one process.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_gate::placement_view::PlacementView;
use support::{Cluster, EngineSpec, LIMIT, adapter, model, served, until};

const CHECKING: EngineSpec = EngineSpec {
    memory_mb: 100,
    checks_fencing: true,
};

/// Waiting after which a further replica is loaded.
const SCALE_OUT_AFTER: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn a_cold_model_and_its_adapter_are_loaded_once_for_all_gates() {
    let cluster = Cluster::start(&[CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.adapters.insert("a".to_owned(), adapter("m"));
    })
    .await;
    let planner = cluster.planner(0).await;
    let views: Vec<_> = (0..8).map(|index| cluster.view(index, &planner)).collect();
    let waiting: Vec<_> = views
        .iter()
        .map(|view| view.wait_for("a@1", "w", Instant::now() + LIMIT))
        .collect();
    for view in &views {
        until("adapter", || view.replicas("a@1").iter().any(|r| r.ready)).await;
    }
    drop(waiting);
    assert_eq!(cluster.loads("m@1"), 1);
    assert_eq!(cluster.loads("a@1"), 1);
    planner.stop().await;
}

#[actix_rt::test]
async fn memory_is_freed_for_what_is_waited_for() {
    let cluster = Cluster::start(&[CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.planner(0).await;
    let view = cluster.view(0, &planner);
    served(&view, "m@1").await;
    served(&view, "n@1").await;
    assert!(cluster.engines["e0"].record().breaks.is_empty());
    planner.stop().await;
}

#[actix_rt::test]
async fn a_stopped_planner_hands_its_cell_over() {
    let cluster = Cluster::start(&[CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let first = cluster.planner(0).await;
    let second = cluster.planner(1).await;
    let view = cluster.view(0, &first);
    served(&view, "m@1").await;
    first.stop().await;
    let view = cluster.view(0, &second);
    served(&view, "n@1").await;
    until("adopted", || view.replicas("m@1").iter().any(|r| r.ready)).await;
    assert_eq!(cluster.loads("m@1"), 1);
    second.stop().await;
}

#[actix_rt::test]
async fn a_leaving_upstream_is_given_up_and_replaced() {
    let cluster = Cluster::start(&[CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.planner(0).await;
    let view = cluster.view(0, &planner);
    served(&view, "m@1").await;
    let upstream = view.replicas("m@1")[0].upstream.clone();
    cluster.set_leaving(&[&upstream]);
    until("leaving", || view.is_leaving(&upstream)).await;
    assert!(view.replicas("m@1").iter().all(|r| r.upstream != upstream));
    served(&view, "m@1").await;
    planner.stop().await;
}

#[actix_rt::test]
async fn a_new_version_is_loaded_before_the_old_one_goes() {
    let mut cluster = Cluster::start(&[CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.planner(0).await;
    let view = cluster.view(0, &planner);
    served(&view, "m@1").await;
    cluster.catalog.models.get_mut("m").unwrap().version = "2".to_owned();
    cluster.publish().await;
    until("new version", || {
        view.replicas("m@2").iter().any(|r| r.ready)
    })
    .await;
    until("old version gone", || view.replicas("m@1").is_empty()).await;
    let records: Vec<_> = cluster
        .engines
        .values()
        .map(comfreyweir_standins::engine::Engine::record)
        .collect();
    let at = |name: &str, change| {
        let mut changes = records.iter().flat_map(|r| &r.changes);
        changes
            .find(|c| c.artifact == name && c.change == change)
            .map(|c| c.at_us)
    };
    let ready = at("m@2", comfreyweir_standins::engine::Change::Ready);
    let gone = at("m@1", comfreyweir_standins::engine::Change::Gone);
    assert!(gone.is_none() || ready < gone);
    planner.stop().await;
}

#[actix_rt::test]
async fn a_slowed_store_shows_in_the_estimate_before_the_deadline() {
    let cluster = Cluster::start(&[CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 1));
        catalog.models.insert("n".to_owned(), model(60, 1));
    })
    .await;
    let planner = cluster.planner(0).await;
    let view = cluster.view(0, &planner);
    served(&view, "m@1").await;
    cluster.slow_store(100.0);
    let deadline = Instant::now() + Duration::from_secs(2);
    let waiting = view.wait_for("n@1", "w", deadline);
    let is_late = || {
        let ready_in = view.ready_in("n@1");
        ready_in.is_some_and(|ready_in| Instant::now() + ready_in > deadline)
    };
    until("estimate beyond the deadline", is_late).await;
    assert!(Instant::now() < deadline);
    drop(waiting);
    planner.stop().await;
}

#[actix_rt::test]
async fn a_further_replica_is_loaded_only_under_sustained_waiting() {
    let cluster = Cluster::start(&[CHECKING, CHECKING, CHECKING], |catalog| {
        catalog.models.insert("m".to_owned(), model(60, 2));
    })
    .await;
    let planner = cluster.planner(0).await;
    let view = cluster.view(0, &planner);
    let begun = Instant::now();
    let waiting = view.wait_for("m@1", "w", begun + LIMIT);
    until("first replica", || {
        view.replicas("m@1").iter().any(|r| r.ready)
    })
    .await;
    assert_eq!(cluster.loads("m@1"), 1);
    until("second replica", || cluster.loads("m@1") == 2).await;
    assert!(begun.elapsed() >= SCALE_OUT_AFTER);
    let both_ready = || view.replicas("m@1").iter().filter(|r| r.ready).count() == 2;
    until("both ready", both_ready).await;
    actix_rt::time::sleep(SCALE_OUT_AFTER * 2).await;
    assert_eq!(cluster.loads("m@1"), 2);
    drop(waiting);
    planner.stop().await;
}
