//! Unusual configurations: the fleet refuses what cannot be served instead of failing.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_fleet::{
    config::{Allowance, Config, Unit},
    quota::InstanceQuotas,
    upstream_choice::choose,
};
use support::{ENGINE_MB, FakeEngine, Fleet, LARGE_MB, SMALL_MB, model};

fn second() -> Duration {
    Duration::from_secs(1)
}

#[test]
fn model_larger_than_an_engine_is_never_ordered() {
    let models = [model("huge", ENGINE_MB + 1.0, 0), model("a", SMALL_MB, 0)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["a"])]);
    fleet.add_waiting("huge", 3);
    fleet.run_for(second() * 5);
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
    assert!(fleet.planner.placement()["e1"].contains_key("a"));
}

#[test]
fn unconfigured_model_is_never_ordered() {
    let mut fleet = Fleet::new(
        &[model("a", SMALL_MB, 0)],
        vec![FakeEngine::new("e1", &["a"])],
    );
    fleet.add_waiting("unknown", 1);
    fleet.add_waiting("unknown/a1", 1);
    fleet.run_for(second() * 2);
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
}

#[test]
fn adapters_without_slots_are_never_ordered() {
    let mut fleet = Fleet::new(
        &[model("a", LARGE_MB, 5)],
        vec![FakeEngine::new("e1", &["a"])],
    );
    fleet.spec.adapter_slots = 0;
    fleet.add_waiting("a/a1", 1);
    fleet.run_for(second() * 2);
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
}

#[test]
fn fleet_without_engines_decides_nothing() {
    let mut fleet = Fleet::new(&[model("a", LARGE_MB, 0)], Vec::new());
    fleet.add_waiting("a", 1);
    fleet.run_for(second());
    assert!(fleet.planner.placement().is_empty());
}

#[test]
fn models_that_exceed_the_memory_are_swapped_on_demand() {
    let names: Vec<_> = (0..7).map(|i| format!("m{i}")).collect();
    let models: Vec<_> = names.iter().map(|n| model(n, LARGE_MB, 0)).collect();
    let mut engine = FakeEngine::new("e1", &["m0", "m1"]);
    engine.disk_copies = names.clone();
    let mut fleet = Fleet::new(&models, vec![engine]);
    for name in names.iter().chain(&names) {
        fleet.add_waiting(name, 1);
        fleet.run_for(second() * 2);
        assert!(
            fleet.waiting.is_empty(),
            "{name} waits: {:?}",
            fleet.sent_orders
        );
    }
    assert!(fleet.overloads().is_empty());
}

#[test]
fn lookups_without_candidates_return_none() {
    assert_eq!(choose(&[], Some(1)), None);
    assert!(Config::default().route("h", "/").is_none());
    assert!(Config::default().workspace_of("k").is_none());
}

#[test]
fn allowance_without_burst_still_lets_its_rate_through() {
    let allowance = Allowance {
        per_s: 10.0,
        burst: 0.0,
        unit: Unit::Requests,
    };
    let mut quotas = InstanceQuotas::default();
    let taken = quotas.take("w", allowance, 1, 1, Instant::now());
    assert!(
        taken.is_ok(),
        "without a burst nothing accumulates, so a refused request could wait forever"
    );
}
