//! Sudden shifts of demand and rare models, at engines that hold only some of the models: which
//! model is loaded where, and what has to stay.

mod support;

use std::time::Duration;

use comfreyweir_fleet::{load::Load, planner::Order, request::Artifact};
use support::{FakeEngine, Fleet, LARGE_MB, SMALL_MB, artifact, model};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn unloads(fleet: &Fleet) -> Vec<(String, String)> {
    let unload = |(engine, order): &(String, Order)| match order {
        Order::Unload(a) => Some((engine.clone(), a.key())),
        Order::Load(_) => None,
    };
    fleet.sent_orders.iter().filter_map(unload).collect()
}

/// Running requests that receive their answer.
fn set_running(fleet: &mut Fleet, engine: &str, key: &str, running: u32) {
    let load = Load {
        running,
        starting: 0,
        uncached_tokens: 0,
    };
    let models = fleet.loads.entry(engine.to_owned()).or_default();
    models.insert(key.to_owned(), load);
}

/// A busy model has one replica and gets a second one from the weight store. Meanwhile a rare model
/// is asked for.
///
/// Regression: the replica that was still being loaded counted, and the only one that served was
/// unloaded.
#[test]
fn only_loaded_replica_stays_while_another_is_being_loaded() {
    let models = [
        model("busy", LARGE_MB, 0),
        model("idle", SMALL_MB, 0),
        model("rare", LARGE_MB, 0),
    ];
    let mut first = FakeEngine::new("e1", &["busy", "idle"]);
    first.disk_copies.push("rare".to_owned());
    let mut fleet = Fleet::new(&models, vec![first, FakeEngine::new("e2", &[])]);
    fleet.set_load("e1", "busy", 4);
    fleet.run_for(seconds(2.5));
    assert!(fleet.engines[1].loading.is_some(), "a replica is loading");
    fleet.set_load("e1", "busy", 0);
    fleet.add_waiting("rare", 3);
    fleet.run_for(seconds(2.0));
    let busy = ("e1".to_owned(), "busy".to_owned());
    assert!(!unloads(&fleet).contains(&busy), "{:?}", fleet.sent_orders);
}

/// Both replicas of a busy model run many requests, and there are models without demand.
///
/// Regression: rare models that wait were allowed to evict any replica but the last, so the busiest
/// model lost one replica after the other.
#[test]
fn replicas_that_are_needed_are_not_evicted_for_a_rare_model() {
    let models = [
        model("busy", LARGE_MB, 0),
        model("asked", LARGE_MB, 0),
        model("idle", LARGE_MB, 0),
        model("rare", LARGE_MB, 0),
    ];
    let engines = vec![
        FakeEngine::new("e1", &["busy", "asked"]),
        FakeEngine::new("e2", &["busy", "idle"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.engines[0].disk_copies.push("rare".to_owned());
    set_running(&mut fleet, "e1", "busy", 4);
    set_running(&mut fleet, "e2", "busy", 4);
    set_running(&mut fleet, "e1", "asked", 1);
    fleet.run_for(seconds(4.0));
    fleet.add_waiting("rare", 1);
    fleet.run_for(seconds(9.0));
    assert_eq!(fleet.replicas("busy"), 2, "{:?}", fleet.sent_orders);
    assert_eq!(fleet.replicas("rare"), 1, "{:?}", fleet.sent_orders);
}

/// Every replica is needed, and a rare model waits: it must not starve.
#[test]
fn rare_model_gets_a_place_where_every_replica_is_needed() {
    let models = [model("busy", LARGE_MB, 0), model("rare", LARGE_MB, 0)];
    let engines = vec![
        FakeEngine::new("e1", &["busy"]),
        FakeEngine::new("e2", &["busy"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.spec.weights_mb = LARGE_MB + 5.0;
    set_running(&mut fleet, "e1", "busy", 4);
    set_running(&mut fleet, "e2", "busy", 3);
    fleet.run_for(seconds(4.0));
    fleet.add_waiting("rare", 1);
    for _ in 0..180 {
        fleet.step();
        assert!(fleet.replicas("busy") >= 1, "{:?}", fleet.sent_orders);
    }
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.sent_orders);
}

/// Demand moves to a model that no engine holds, for more requests than one engine runs well.
#[test]
fn several_replicas_are_loaded_at_once_for_demand_that_is_known() {
    let models = [model("new", LARGE_MB, 0)];
    let engines = (0..4).map(|i| FakeEngine::new(&format!("e{i}"), &[]));
    let mut fleet = Fleet::new(&models, engines.collect());
    fleet.add_waiting("new", 30);
    fleet.run_for(seconds(3.0));
    let loading = fleet.engines.iter().filter(|e| e.loading.is_some()).count();
    assert!(loading >= 3, "{loading} loads, engines of 8 slots each");
}

/// The only engine with a local copy is busy with another load, which ends soon.
///
/// Regression: the model was loaded from the weight store at a free engine, which takes ten times
/// as long.
#[test]
fn busy_engine_with_a_copy_is_better_than_the_weight_store() {
    let models = [
        model("a", SMALL_MB, 0),
        model("b", SMALL_MB, 0),
        model("idle", LARGE_MB, 0),
    ];
    let mut with_copies = FakeEngine::new("e1", &["idle"]);
    with_copies
        .disk_copies
        .extend(["a".to_owned(), "b".to_owned()]);
    let mut fleet = Fleet::new(&models, vec![with_copies, FakeEngine::new("e2", &[])]);
    fleet.run_for(seconds(1.0));
    fleet.add_waiting("a", 1);
    fleet.run_for(seconds(0.1));
    fleet.add_waiting("b", 1);
    fleet.step();
    let ready_in = fleet.planner.ready_in(&artifact("b"), fleet.now);
    assert!(
        ready_in.is_some_and(|time| time < seconds(3.0)),
        "waiting requests learn when the model will be loaded: {ready_in:?}"
    );
    fleet.run_for(seconds(3.0));
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.sent_orders);
    assert_eq!(fleet.engines[1].store_loads, 0);
}

/// An adapter of a loaded model is asked for while a further replica of the model is loaded.
///
/// Regression: the time of that load was told, so requests for the adapter were rejected.
#[test]
fn adapter_of_a_loaded_model_does_not_wait_for_a_further_replica() {
    let models = [model("m", LARGE_MB, 8)];
    let engines = vec![FakeEngine::new("e1", &["m"]), FakeEngine::new("e2", &[])];
    let mut fleet = Fleet::new(&models, engines);
    fleet.set_load("e1", "m", 6);
    fleet.run_for(seconds(2.5));
    assert!(fleet.engines[1].loading.is_some(), "a replica is loading");
    let adapter = Artifact::parse("m/a1");
    assert_eq!(fleet.planner.ready_in(&adapter, fleet.now), None);
}

/// Loads from the weight store that ran at a time, at most, in the second half of a run in which
/// many models are asked for. The store serves `full_speed` of them at full speed.
fn concurrent_store_loads(full_speed: usize) -> usize {
    let names: Vec<_> = (0..40).map(|i| format!("m{i}")).collect();
    let models: Vec<_> = names.iter().map(|n| model(n, LARGE_MB, 0)).collect();
    let engines = (0..40).map(|i| FakeEngine::new(&format!("e{i}"), &[]));
    let mut fleet = Fleet::new(&models, engines.collect());
    fleet.spec.loads_per_s = 20.0;
    fleet.store_full_speed = full_speed;
    for name in &names {
        fleet.add_waiting(name, 1);
    }
    let mut most = 0;
    for step in 0..1_200 {
        fleet.step();
        let loading = fleet.engines.iter().filter(|e| e.loading.is_some()).count();
        if step > 500 {
            most = most.max(loading);
        }
    }
    most
}

#[test]
fn number_of_store_loads_follows_what_the_weight_store_serves() {
    let slow = concurrent_store_loads(2);
    assert!((2..=3).contains(&slow), "{slow} at a store that serves 2");
    let fast = concurrent_store_loads(8);
    assert!((7..=11).contains(&fast), "{fast} at a store that serves 8");
}

/// Demand moves to a model that no engine holds. Its requests cannot wait for the load and are
/// rejected at once, so that none is waiting.
///
/// Regression: only waiting requests counted, and rare models with patient requests were loaded
/// first, for ten seconds.
#[test]
fn model_whose_requests_are_rejected_at_once_is_still_loaded() {
    let models = [model("held", LARGE_MB, 0), model("new", LARGE_MB, 0)];
    let engines = vec![FakeEngine::new("e1", &["held"]), FakeEngine::new("e2", &[])];
    let mut fleet = Fleet::new(&models, engines);
    fleet.run_for(seconds(1.0));
    for _ in 0..20 {
        *fleet.arrivals.entry("new".to_owned()).or_default() += 1;
        fleet.run_for(seconds(0.1));
    }
    let is_loading = |e: &FakeEngine| e.loading.as_ref().is_some_and(|(m, _)| m == "new");
    assert!(fleet.engines.iter().any(is_loading));
}

/// The engine with a local copy runs some requests of another model, which would have to move. Many
/// requests want the model, and the weight store would delay all of them.
#[test]
fn delay_of_many_requests_weighs_more_than_moving_a_few() {
    let models = [model("other", LARGE_MB, 0), model("new", LARGE_MB, 0)];
    let mut with_copy = FakeEngine::new("e1", &["other"]);
    with_copy.disk_copies.push("new".to_owned());
    let engines = vec![
        with_copy,
        FakeEngine::new("e2", &["other"]),
        FakeEngine::new("e3", &[]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.spec.weights_mb = LARGE_MB + 5.0;
    set_running(&mut fleet, "e1", "other", 3);
    set_running(&mut fleet, "e2", "other", 3);
    fleet.run_for(seconds(3.0));
    fleet.add_waiting("new", 12);
    fleet.run_for(seconds(2.0));
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.sent_orders);
}
