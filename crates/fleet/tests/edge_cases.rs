//! Deployments at the edges: decisions there are refusals, not failures.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_fleet::{
    config::{Allowance, Config, Unit},
    quota::InstanceQuotas,
    upstream_choice::choose,
};
use support::{FakeEngine, Fleet, LARGE_MB, ROOM_MB, SMALL_MB, model};

fn second() -> Duration {
    Duration::from_secs(1)
}

#[test]
fn model_larger_than_an_engine_is_never_ordered() {
    let models = [model("huge", ROOM_MB + 1.0, 0), model("a", SMALL_MB, 0)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["a"])]);
    fleet.wait_for("huge", 3);
    fleet.run_for(second() * 5);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
    assert!(fleet.planner.placement()["e1"].contains_key("a"));
}

#[test]
fn model_that_the_configuration_does_not_know_is_never_ordered() {
    let mut fleet = Fleet::new(
        &[model("a", SMALL_MB, 0)],
        vec![FakeEngine::new("e1", &["a"])],
    );
    fleet.wait_for("unknown", 1);
    fleet.wait_for("unknown/a1", 1);
    fleet.run_for(second() * 2);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
}

#[test]
fn adapters_without_places_are_never_ordered() {
    let mut fleet = Fleet::new(
        &[model("a", LARGE_MB, 5)],
        vec![FakeEngine::new("e1", &["a"])],
    );
    fleet.spec.adapter_slots = 0;
    fleet.wait_for("a/a1", 1);
    fleet.run_for(second() * 2);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
}

#[test]
fn fleet_without_engines_decides_nothing() {
    let mut fleet = Fleet::new(&[model("a", LARGE_MB, 0)], Vec::new());
    fleet.wait_for("a", 1);
    fleet.run_for(second());
    assert!(fleet.planner.placement().is_empty());
}

#[test]
fn more_models_than_room_take_turns() {
    let names: Vec<_> = (0..7).map(|i| format!("m{i}")).collect();
    let models: Vec<_> = names.iter().map(|n| model(n, LARGE_MB, 0)).collect();
    let mut engine = FakeEngine::new("e1", &["m0", "m1"]);
    engine.copies = names.clone();
    let mut fleet = Fleet::new(&models, vec![engine]);
    for name in names.iter().chain(&names) {
        fleet.wait_for(name, 1);
        fleet.run_for(second() * 2);
        assert!(fleet.waiting.is_empty(), "{name} waits: {:?}", fleet.given);
    }
    assert!(fleet.overloads().is_empty());
}

#[test]
fn nothing_to_choose_from_is_no_choice() {
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
        "a request cannot be asked to wait for what can never be saved up"
    );
}
