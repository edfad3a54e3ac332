//! Engines that have named a limit on the requests a second that they take: what they hold is asked for
//! more often than that, and another engine has to serve it.

mod support;

use std::time::Duration;

use comfreyweir_fleet::planner::Order;
use support::{FakeEngine, Fleet, LARGE_MB, SMALL_MB, STEP, model};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Lets requests for a model arrive that are refused at once, `per_s` a second.
fn ask(fleet: &mut Fleet, model: &str, per_s: f64, time: Duration) {
    let until = fleet.now + time;
    let mut due = 0.0;
    while fleet.now < until {
        due += per_s * STEP.as_secs_f64();
        if due >= 1.0 {
            due -= 1.0;
            *fleet.arrivals.entry(model.to_owned()).or_default() += 1;
        }
        fleet.step();
    }
}

fn orders_to(fleet: &Fleet, engine: &str) -> usize {
    let orders = fleet.sent_orders.iter();
    orders.filter(|(id, _)| id == engine).count()
}

/// Names the load: a model that only the limited engine holds, asked for more often than it takes.
///
/// Guards against a limited engine that counts as holding the model, so that nothing is loaded and
/// most requests are refused for as long as the engine is in need.
#[test]
fn model_at_a_limited_engine_is_loaded_elsewhere_if_it_is_asked_for_more_often() {
    let models = [model("asked", LARGE_MB, 2), model("other", SMALL_MB, 0)];
    let engines = vec![
        FakeEngine::new("e1", &["asked"]),
        FakeEngine::new("e2", &["other"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    ask(&mut fleet, "asked", 3.0, seconds(3.0));
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
    fleet.limits.insert("e1".to_owned(), 1.0);
    ask(&mut fleet, "asked", 3.0, seconds(9.0));
    assert!(fleet.engines[1].models.contains_key("asked"));
    assert!(
        fleet.engines[0].models.contains_key("asked"),
        "it serves too"
    );
    // Adapters are loaded where requests for them can be served.
    fleet.add_waiting("asked/a1", 1);
    ask(&mut fleet, "asked", 3.0, seconds(1.0));
    assert_eq!(orders_to(&fleet, "e1"), 0, "{:?}", fleet.sent_orders);
    assert!(!fleet.engines[1].models["asked"].is_empty());
}

/// Guards against needless loads: the limit suffices for what the engine is asked for.
#[test]
fn model_stays_at_a_limited_engine_that_takes_all_that_is_asked_of_it() {
    let models = [model("asked", LARGE_MB, 0), model("other", SMALL_MB, 0)];
    let engines = vec![
        FakeEngine::new("e1", &["asked"]),
        FakeEngine::new("e2", &["other"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.limits.insert("e1".to_owned(), 5.0);
    ask(&mut fleet, "asked", 1.0, seconds(10.0));
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
}

/// Guards against models that are loaded at a limited engine, which has free memory and little to do.
#[test]
fn limited_engine_gets_no_model_while_another_engine_can() {
    let models = [
        model("asked", LARGE_MB, 0),
        model("held", LARGE_MB, 0),
        model("idle", LARGE_MB, 0),
    ];
    let mut empty = FakeEngine::new("e1", &[]);
    empty.disk_copies.push("asked".to_owned());
    let full = FakeEngine::new("e2", &["held", "idle"]);
    let mut fleet = Fleet::new(&models, vec![empty, full]);
    fleet.limits.insert("e1".to_owned(), 0.5);
    fleet.add_waiting("asked", 3);
    ask(&mut fleet, "asked", 2.0, seconds(9.0));
    assert!(fleet.engines[1].models.contains_key("asked"));
    assert_eq!(orders_to(&fleet, "e1"), 0, "{:?}", fleet.sent_orders);
    // If all are limited, it is better than none.
    fleet.limits.insert("e2".to_owned(), 0.5);
    fleet.engines[1].models.remove("asked");
    fleet.engines[1].disk_copies.retain(|m| m != "asked");
    fleet.add_waiting("idle", 3);
    let is_load = |order: &(String, Order)| matches!(&order.1, Order::Load(_));
    let before = fleet.sent_orders.iter().filter(|o| is_load(o)).count();
    ask(&mut fleet, "asked", 3.0, seconds(9.0));
    let after = fleet.sent_orders.iter().filter(|o| is_load(o)).count();
    assert!(after > before);
}

/// Guards against an engine that gets no requests any more, and whose limit no answer could end.
#[test]
fn limited_engine_is_asked_for_a_report_now_and_then() {
    let models = [model("asked", LARGE_MB, 0)];
    let mut fleet = Fleet::new(&models, vec![FakeEngine::new("e1", &["asked"])]);
    fleet.run_for(seconds(2.0));
    let before = fleet.report_count;
    fleet.run_for(seconds(10.0));
    assert_eq!(fleet.report_count, before, "nothing changes");
    fleet.limits.insert("e1".to_owned(), 0.5);
    fleet.run_for(seconds(20.0));
    let asked = fleet.report_count - before;
    assert!((5..=11).contains(&asked), "{asked}");
}
