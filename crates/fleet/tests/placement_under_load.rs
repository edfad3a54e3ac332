//! What engines hold, under the loads that the planner is meant for.

mod support;

use std::time::Duration;

use comfreyweir_fleet::planner::Order;
use proptest::prelude::*;
use support::{ADAPTER_SLOTS, FakeEngine, Fate, Fleet, LARGE_MB, SMALL_MB, artifact, model};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Pattern: a rare model is asked for that only has a copy on a disk.
#[test]
fn rare_model_comes_back_where_its_copy_is() {
    let models = [
        model("busy", LARGE_MB, 0),
        model("idle", LARGE_MB, 0),
        model("rare", LARGE_MB, 0),
    ];
    let mut with_copy = FakeEngine::new("e2", &["busy", "idle"]);
    with_copy.copies.push("rare".to_owned());
    let engines = vec![FakeEngine::new("e1", &["busy", "idle"]), with_copy];
    let mut fleet = Fleet::new(&models, engines);
    fleet.wait_for("rare", 1);
    fleet.run_for(seconds(1.5));
    assert!(
        fleet.waiting.is_empty(),
        "usable within the time of a disk load and a swap"
    );
    assert!(fleet.engines[1].models.contains_key("rare"));
    assert_eq!(
        fleet.engines[0].store_loads + fleet.engines[1].store_loads,
        0
    );
}

/// Pattern: a rare model displaces one that is not asked for, not one that is.
#[test]
fn rare_model_displaces_what_is_not_asked_for() {
    let models = [
        model("asked", LARGE_MB, 0),
        model("idle", LARGE_MB, 0),
        model("rare", LARGE_MB, 0),
    ];
    let mut engine = FakeEngine::new("e1", &["asked", "idle"]);
    engine.copies.push("rare".to_owned());
    let mut fleet = Fleet::new(&models, vec![engine]);
    for _ in 0..20 {
        *fleet.arrivals.entry("asked".to_owned()).or_default() += 1;
        fleet.run_for(seconds(0.2));
    }
    fleet.wait_for("rare", 1);
    fleet.run_for(seconds(2.0));
    assert!(fleet.engines[0].models.contains_key("asked"));
    assert!(fleet.engines[0].models.contains_key("rare"));
}

/// Pattern: demand moves to a model with one replica, whose requests queue.
#[test]
fn crowded_model_gets_another_replica() {
    let models = [
        model("old", LARGE_MB, 0),
        model("new", LARGE_MB, 0),
        model("other", LARGE_MB, 0),
    ];
    let engines = vec![
        FakeEngine::new("e1", &["new", "other"]),
        FakeEngine::new("e2", &["old"]),
        FakeEngine::new("e3", &["old"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.load("e1", "new", 6);
    fleet.run_for(seconds(12.0));
    assert!(fleet.replicas("new") >= 2, "{:?}", fleet.engines);
    assert!(
        fleet.replicas("other") >= 1,
        "the only replica of another model stays"
    );
    assert!(fleet.replicas("old") >= 1);
}

/// Pattern: many models are asked for at once that have to come from the weight store.
#[test]
fn weight_store_is_not_asked_for_more_than_it_serves_well() {
    let names: Vec<_> = (0..12).map(|i| format!("m{i}")).collect();
    let models: Vec<_> = names.iter().map(|n| model(n, LARGE_MB, 0)).collect();
    let engines = (0..12)
        .map(|i| FakeEngine::new(&format!("e{i}"), &[]))
        .collect();
    let mut fleet = Fleet::new(&models, engines);
    for name in &names {
        fleet.wait_for(name, 1);
    }
    for _ in 0..40 {
        fleet.step();
        let loading = fleet.engines.iter().filter(|e| e.loading.is_some()).count();
        assert!(loading <= 4, "{loading} loads at once");
    }
}

/// Pattern: more adapters of a model are asked for than its engine has places.
///
/// Regression: an unload that was planned and on its way was subtracted twice, so that an engine
/// was told to load one adapter too many and failed.
#[test]
fn adapters_never_exceed_their_places() {
    let models = [model("m", LARGE_MB, 20)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["m"])]);
    for round in 0..8 {
        for i in 0..5 {
            fleet.wait_for(&format!("m/a{}", (round * 3 + i) % 11), 1);
        }
        fleet.run_for(seconds(1.0));
    }
    assert_eq!(fleet.overloads(), Vec::<String>::new());
    let places: usize = fleet.engines[0].models.values().map(Vec::len).sum();
    assert!(places <= ADAPTER_SLOTS);
}

/// Pattern: adapters with running requests, and another one is asked for.
#[test]
fn adapter_in_use_is_not_replaced() {
    let models = [model("m", LARGE_MB, 20)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["m"])]);
    for name in ["m/a1", "m/a2", "m/a3"] {
        fleet.wait_for(name, 1);
    }
    fleet.run_for(seconds(1.0));
    for name in ["m/a1", "m/a3"] {
        fleet.load("e1", name, 1);
        fleet.engines[0].in_use.push(artifact(name));
    }
    fleet.run_for(seconds(1.0));
    fleet.wait_for("m/a4", 1);
    fleet.run_for(seconds(1.0));
    let unloaded = fleet.given.iter().filter_map(|(_, order)| match order {
        Order::Unload(a) => Some(a.key()),
        Order::Load(_) => None,
    });
    assert_eq!(unloaded.collect::<Vec<_>>(), ["m/a2"]);
    assert!(fleet.waiting.is_empty());
}

/// Pattern: an order's answer is lost, and the engine has carried it out.
#[test]
fn lost_answer_is_found_in_the_report() {
    let models = [
        model("a", LARGE_MB, 0),
        model("b", LARGE_MB, 0),
        model("c", LARGE_MB, 0),
    ];
    let mut engine = FakeEngine::new("e1", &["a", "b"]);
    engine.copies.push("c".to_owned());
    let mut fleet = Fleet::new(&models, vec![engine]);
    fleet.fates = vec![Fate::Answered, Fate::LostAndDone];
    fleet.wait_for("c", 1);
    fleet.run_for(seconds(3.0));
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.given);
    assert_eq!(fleet.overloads(), Vec::<String>::new());
}

/// Pattern: models are swapped while reports are a little old.
///
/// Regression: a report from before an accepted unload brought the model back into the placement,
/// and requests went to an engine that had dropped it.
#[test]
fn old_report_does_not_bring_a_dropped_model_back() {
    let models = [
        model("a", LARGE_MB, 0),
        model("b", LARGE_MB, 0),
        model("c", LARGE_MB, 0),
        model("d", LARGE_MB, 0),
    ];
    let mut engine = FakeEngine::new("e1", &["a", "b"]);
    engine.copies.extend(["c".to_owned(), "d".to_owned()]);
    engine.unload_time = Duration::from_millis(150);
    let mut fleet = Fleet::new(&models, vec![engine]);
    for name in ["c", "d", "a", "b", "c"] {
        fleet.wait_for(name, 1);
        for _ in 0..60 {
            fleet.step();
            for told in fleet.planner.placement()["e1"].keys() {
                assert!(
                    fleet.engines[0].models.contains_key(told),
                    "{told} was dropped"
                );
            }
        }
        assert!(fleet.waiting.is_empty(), "{name}: {:?}", fleet.given);
    }
}

/// Pattern: an engine crashes, and requests wait for the models that only it held. Its entry stays
/// in the list for seconds.
#[test]
fn models_of_a_crashed_engine_are_loaded_elsewhere_before_it_leaves_the_list() {
    let models = [model("a", LARGE_MB, 0), model("b", LARGE_MB, 0)];
    let mut other = FakeEngine::new("e2", &["b"]);
    other.copies.push("a".to_owned());
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["a"]), other]);
    fleet.run_for(seconds(1.0));
    fleet.crashed.insert("e1".to_owned());
    fleet.suspects.insert("e1".to_owned());
    fleet.run_for(seconds(0.5));
    fleet.wait_for("a", 1);
    fleet.run_for(seconds(1.5));
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.given);
    assert!(fleet.planner.placement()["e1"].is_empty());
}

/// Pattern: one instance cannot reach an engine that is sound.
#[test]
fn engine_that_gives_its_report_keeps_its_requests() {
    let models = [model("a", LARGE_MB, 0)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["a"])]);
    fleet.run_for(seconds(1.0));
    fleet.suspects.insert("e1".to_owned());
    for _ in 0..20 {
        fleet.step();
        assert!(fleet.planner.placement()["e1"].contains_key("a"));
    }
}

/// Pattern: the holder changes while an order of the earlier one is being carried out.
///
/// Regression: a plan that was made before that order showed was kept after it did, and the engine
/// was told to load a third model into room for two.
#[test]
fn plan_does_not_outlive_an_order_of_another_holder() {
    let models = [
        model("a", LARGE_MB, 0),
        model("b", LARGE_MB, 0),
        model("c", LARGE_MB, 0),
    ];
    let mut engine = FakeEngine::new("e1", &["a"]);
    engine.copies.push("c".to_owned());
    let mut fleet = Fleet::new(&models, vec![engine]);
    fleet.run_for(seconds(1.0));
    let foreign = Order::Load(artifact("b"));
    let spec = fleet.spec.clone();
    let now = fleet.now;
    fleet.engines[0].order(&spec, &foreign, 0, now);
    fleet.wait_for("c", 1);
    fleet.run_for(seconds(12.0));
    assert_eq!(fleet.overloads(), Vec::<String>::new());
    assert!(fleet.waiting.is_empty(), "{:?}", fleet.given);
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::LostAndDone),
        1 => (1_000_u64..8_000).prop_map(|ms| Fate::LostAndLate(Duration::from_millis(ms))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever is asked for, and whatever becomes of orders, no engine is told to hold more than
    /// it has room for.
    #[test]
    fn engines_are_never_overloaded(
        wanted in prop::collection::vec((0_usize..9, 0_usize..6, 1_u32..4), 10..60),
        fates in prop::collection::vec(fate(), 0..80),
    ) {
        let names: Vec<_> = (0..9).map(|i| format!("m{i}")).collect();
        let models: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(i, n)| model(n, if i % 2 == 0 { LARGE_MB } else { SMALL_MB }, 6))
            .collect();
        let engines = vec![
            FakeEngine::new("e0", &["m0", "m2"]),
            FakeEngine::new("e1", &["m1", "m3", "m4"]),
            FakeEngine::new("e2", &["m6", "m1"]),
        ];
        let mut fleet = Fleet::new(&models, engines);
        fleet.fates = fates;
        for (m, a, requests) in wanted {
            let key = if a < 3 { format!("m{m}") } else { format!("m{m}/a{a}") };
            fleet.wait_for(&key, requests);
            fleet.run_for(Duration::from_millis(300));
            prop_assert_eq!(fleet.overloads(), Vec::<String>::new());
        }
        fleet.fates.clear();
        fleet.run_for(seconds(10.0));
        prop_assert_eq!(fleet.overloads(), Vec::<String>::new());
    }
}
