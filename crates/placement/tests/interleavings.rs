//! Random interleavings of crashes, pauses, lost answers, late orders and engine restarts.

mod support;

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestCaseError, TestRunner},
};
use support::{DisabledMechanism, ENGINES, MODELS, PLANNERS, SimulatedCell};

/// Rounds without faults within which a requested model must be served.
const FAULT_FREE_ROUNDS: usize = 200;
const SEED: u64 = 20_260_101;

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u8),
    RunPlanner(usize),
    AttemptWrite(usize, u8),
    ApplyLateWrite,
    SendOrder(usize, usize),
    DeliverOrder(u8, bool),
    TimeOutOrder(usize, usize),
    RequestReport(usize, usize),
    DeliverReport(usize, usize, bool),
    SetDemand(usize, bool),
    SetPaused(usize, bool),
    Crash(usize),
    Release(usize),
    RestartEngine(usize),
    ProgressEngine(usize),
    SetOutage(bool),
    FaultFreeRound(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let p = 0..PLANNERS;
    let e = 0..ENGINES;
    let m = 0..MODELS;
    prop_oneof![
        6 => any::<u8>().prop_map(Step::Advance),
        8 => p.clone().prop_map(Step::RunPlanner),
        8 => (p.clone(), any::<u8>()).prop_map(|(p, delivery)| Step::AttemptWrite(p, delivery)),
        1 => Just(Step::ApplyLateWrite),
        12 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::SendOrder(p, e)),
        8 => (any::<u8>(), prop::bool::weighted(0.7)).prop_map(|(n, a)| Step::DeliverOrder(n, a)),
        3 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::TimeOutOrder(p, e)),
        12 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::RequestReport(p, e)),
        12 => (p.clone(), e.clone(), prop::bool::weighted(0.1))
            .prop_map(|(p, e, lost)| Step::DeliverReport(p, e, lost)),
        6 => (m.clone(), prop::bool::weighted(0.8)).prop_map(|(m, w)| Step::SetDemand(m, w)),
        2 => (p.clone(), any::<bool>()).prop_map(|(p, paused)| Step::SetPaused(p, paused)),
        1 => p.clone().prop_map(Step::Crash),
        1 => p.prop_map(Step::Release),
        1 => e.clone().prop_map(Step::RestartEngine),
        6 => e.prop_map(Step::ProgressEngine),
        1 => any::<bool>().prop_map(Step::SetOutage),
        6 => m.prop_map(Step::FaultFreeRound),
    ]
}

fn apply_step(cell: &mut SimulatedCell, step: Step) {
    match step {
        Step::Advance(ticks) => cell.advance(ticks),
        Step::RunPlanner(p) => cell.run_planner(p),
        Step::AttemptWrite(p, delivery) => cell.attempt_write(p, delivery),
        Step::ApplyLateWrite => cell.apply_late_write(),
        Step::SendOrder(p, e) => cell.send_order(p, e),
        Step::DeliverOrder(pick, answered) => cell.deliver_order(pick, answered),
        Step::TimeOutOrder(p, e) => cell.time_out_order(p, e),
        Step::RequestReport(p, e) => cell.request_report(p, e),
        Step::DeliverReport(p, e, lost) => cell.deliver_report(p, e, lost),
        Step::SetDemand(m, wanted) => cell.set_demand(m, wanted),
        Step::SetPaused(p, paused) => cell.set_paused(p, paused),
        Step::Crash(p) => cell.crash(p),
        Step::Release(p) => cell.release(p),
        Step::RestartEngine(e) => cell.restart_engine(e),
        Step::ProgressEngine(e) => cell.progress_engine(e),
        Step::SetOutage(outage) => cell.set_outage(outage),
        Step::FaultFreeRound(m) => cell.fault_free_round(m),
    }
}

fn run(
    checks_fencing: [bool; ENGINES],
    disabled: DisabledMechanism,
    steps: &[Step],
) -> Result<SimulatedCell, TestCaseError> {
    let mut cell = SimulatedCell::new(checks_fencing, disabled);
    for step in steps {
        apply_step(&mut cell, *step);
        cell.check_invariants().map_err(TestCaseError::fail)?;
    }
    Ok(cell)
}

fn end_faults(cell: &mut SimulatedCell) {
    cell.set_outage(false);
    for planner in 0..PLANNERS {
        cell.set_paused(planner, false);
    }
    for engine in 0..ENGINES {
        // An engine that does not check fencing tokens keeps memory charged for orders that could
        // still arrive until it restarts.
        if !cell.engines[engine].checks_fencing {
            cell.restart_engine(engine);
        }
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    }
}

/// Runs random interleavings and returns the first violation of an invariant, if any.
fn first_violation(cases: u32, disabled: DisabledMechanism) -> Option<String> {
    let mut runner = TestRunner::new(config(cases));
    let input = (
        any::<[bool; ENGINES]>(),
        prop::collection::vec(step(), 1..500),
    );
    let outcome = runner.run(&input, |(checks_fencing, steps)| {
        run(checks_fencing, disabled, &steps).map(|_| ())
    });
    outcome.err().map(|e| e.to_string())
}

#[test]
fn replicas_and_memory_stay_within_what_was_decided() {
    assert_eq!(first_violation(600, DisabledMechanism::Nothing), None);
}

#[test]
fn a_requested_model_is_served_once_faults_end() {
    let mut runner = TestRunner::new(config(300));
    let steps = prop::collection::vec(step(), 1..300);
    let input = (any::<[bool; ENGINES]>(), steps, 0..MODELS);
    let outcome = runner.run(&input, |(checks_fencing, steps, wanted)| {
        let mut cell = run(checks_fencing, DisabledMechanism::Nothing, &steps)?;
        end_faults(&mut cell);
        for _ in 0..FAULT_FREE_ROUNDS {
            cell.fault_free_round(wanted);
            cell.check_invariants().map_err(TestCaseError::fail)?;
            if cell.is_served(wanted) {
                return Ok(());
            }
        }
        Err(TestCaseError::fail("not served"))
    });
    outcome.unwrap();
}

#[test]
fn invariants_break_if_orders_precede_their_record() {
    assert!(first_violation(600, DisabledMechanism::RecordBeforeOrder).is_some());
}

/// A planner freezes while its load order is in transit to an engine that does not check fencing
/// tokens. The order arrives after the successor has loaded and unloaded the model there.
fn late_order_of_a_predecessor(disabled: DisabledMechanism) -> Result<(), String> {
    const FIRST: usize = 0;
    const SECOND: usize = 1;
    const MODEL: usize = 1;
    const OTHER: usize = 2;
    let mut cell = SimulatedCell::new([false; ENGINES], disabled);
    for _ in 0..5 {
        cell.planner_round(FIRST, None);
    }
    cell.set_demand(MODEL, true);
    cell.run_planner(FIRST);
    cell.attempt_write(FIRST, 0);
    (0..ENGINES).for_each(|engine| cell.send_order(FIRST, engine));
    cell.set_paused(FIRST, true);
    let rounds = |cell: &mut SimulatedCell, wanted| -> Result<(), String> {
        for _ in 0..30 {
            cell.planner_round(SECOND, wanted);
            cell.check_invariants()?;
        }
        Ok(())
    };
    rounds(&mut cell, Some(MODEL))?;
    assert!(cell.is_served(MODEL));
    rounds(&mut cell, None)?;
    assert!(!cell.is_served(MODEL));
    rounds(&mut cell, Some(OTHER))?;
    rounds(&mut cell, Some(MODEL))?;
    cell.deliver_order(0, true);
    cell.check_invariants()
}

#[test]
fn a_late_order_of_a_predecessor_finds_its_replica_charged() {
    assert_eq!(
        late_order_of_a_predecessor(DisabledMechanism::Nothing),
        Ok(())
    );
}

#[test]
fn invariants_break_if_orders_of_a_predecessor_are_forgotten() {
    assert!(late_order_of_a_predecessor(DisabledMechanism::PredecessorOrders).is_err());
}
