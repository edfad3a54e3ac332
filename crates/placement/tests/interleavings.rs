//! Random interleavings of crashes, pauses, lost answers, late orders and engine restarts.

mod support;

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestCaseError, TestRunner},
};
use support::{ENGINES, MODELS, PLANNERS, Without, World};

/// Rounds without faults after which a wanted model must be served.
const CALM_ROUNDS: usize = 200;
const SEED: u64 = 20_260_101;

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u8),
    Planner(usize),
    Write(usize, u8),
    LandLateWrite,
    Order(usize, usize),
    Deliver(u8, bool),
    GiveUp(usize, usize),
    AskReport(usize, usize),
    ReadReport(usize, usize, bool),
    Want(usize, bool),
    Pause(usize, bool),
    Crash(usize),
    Release(usize),
    RestartEngine(usize),
    ProgressEngine(usize),
    Outage(bool),
    Calm(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let p = 0..PLANNERS;
    let e = 0..ENGINES;
    let m = 0..MODELS;
    prop_oneof![
        6 => any::<u8>().prop_map(Step::Advance),
        8 => p.clone().prop_map(Step::Planner),
        8 => (p.clone(), any::<u8>()).prop_map(|(p, fate)| Step::Write(p, fate)),
        1 => Just(Step::LandLateWrite),
        12 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::Order(p, e)),
        8 => (any::<u8>(), prop::bool::weighted(0.7)).prop_map(|(n, a)| Step::Deliver(n, a)),
        3 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::GiveUp(p, e)),
        12 => (p.clone(), e.clone()).prop_map(|(p, e)| Step::AskReport(p, e)),
        12 => (p.clone(), e.clone(), prop::bool::weighted(0.1))
            .prop_map(|(p, e, lost)| Step::ReadReport(p, e, lost)),
        6 => (m.clone(), prop::bool::weighted(0.8)).prop_map(|(m, w)| Step::Want(m, w)),
        2 => (p.clone(), any::<bool>()).prop_map(|(p, paused)| Step::Pause(p, paused)),
        1 => p.clone().prop_map(Step::Crash),
        1 => p.prop_map(Step::Release),
        1 => e.clone().prop_map(Step::RestartEngine),
        6 => e.prop_map(Step::ProgressEngine),
        1 => any::<bool>().prop_map(Step::Outage),
        6 => m.prop_map(Step::Calm),
    ]
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Advance(ms) => world.advance(ms),
        Step::Planner(p) => world.step(p),
        Step::Write(p, fate) => world.write(p, fate),
        Step::LandLateWrite => world.land_late_write(),
        Step::Order(p, e) => world.order(p, e),
        Step::Deliver(pick, answered) => world.deliver(pick, answered),
        Step::GiveUp(p, e) => world.give_up(p, e),
        Step::AskReport(p, e) => world.ask_report(p, e),
        Step::ReadReport(p, e, lost) => world.read_report(p, e, lost),
        Step::Want(m, wanted) => world.want(m, wanted),
        Step::Pause(p, paused) => world.set_paused(p, paused),
        Step::Crash(p) => world.crash(p),
        Step::Release(p) => world.release(p),
        Step::RestartEngine(e) => world.restart_engine(e),
        Step::ProgressEngine(e) => world.progress_engine(e),
        Step::Outage(outage) => world.set_outage(outage),
        Step::Calm(m) => world.calm_round(m),
    }
}

fn run(checks: [bool; ENGINES], without: Without, steps: &[Step]) -> Result<World, TestCaseError> {
    let mut world = World::new(checks, without);
    for step in steps {
        take(&mut world, *step);
        world.check().map_err(TestCaseError::fail)?;
    }
    Ok(world)
}

fn end_faults(world: &mut World) {
    world.set_outage(false);
    for planner in 0..PLANNERS {
        world.set_paused(planner, false);
    }
    for engine in 0..ENGINES {
        // Memory there may stay charged for orders that could still arrive.
        if !world.engines[engine].checks {
            world.restart_engine(engine);
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

/// Runs many interleavings and returns the first violation.
fn violation(cases: u32, without: Without) -> Option<String> {
    let mut runner = TestRunner::new(config(cases));
    let input = (
        any::<[bool; ENGINES]>(),
        prop::collection::vec(step(), 1..500),
    );
    let outcome = runner.run(&input, |(checks, steps)| {
        run(checks, without, &steps).map(|_| ())
    });
    outcome.err().map(|e| e.to_string())
}

#[test]
fn replicas_and_memory_stay_within_what_was_decided() {
    assert_eq!(violation(600, Without::Nothing), None);
}

#[test]
fn a_wanted_model_is_served_once_faults_end() {
    let mut runner = TestRunner::new(config(300));
    let steps = prop::collection::vec(step(), 1..300);
    let input = (any::<[bool; ENGINES]>(), steps, 0..MODELS);
    let outcome = runner.run(&input, |(checks, steps, wanted)| {
        let mut world = run(checks, Without::Nothing, &steps)?;
        end_faults(&mut world);
        for _ in 0..CALM_ROUNDS {
            world.calm_round(wanted);
            world.check().map_err(TestCaseError::fail)?;
            if world.is_served(wanted) {
                return Ok(());
            }
        }
        Err(TestCaseError::fail("not served"))
    });
    outcome.unwrap();
}

#[test]
fn the_checks_notice_orders_before_their_record() {
    assert!(violation(600, Without::RecordFirst).is_some());
}

/// A planner is frozen while its load order is on its way to an engine that ignores fencing, and
/// the order arrives after its successor has loaded and unloaded the model there.
fn late_order_of_a_predecessor(without: Without) -> Result<(), String> {
    const FIRST: usize = 0;
    const SECOND: usize = 1;
    const MODEL: usize = 1;
    const OTHER: usize = 2;
    let mut world = World::new([false; ENGINES], without);
    for _ in 0..5 {
        world.round_of(FIRST, None);
    }
    world.want(MODEL, true);
    world.step(FIRST);
    world.write(FIRST, 0);
    (0..ENGINES).for_each(|engine| world.order(FIRST, engine));
    world.set_paused(FIRST, true);
    let rounds = |world: &mut World, wanted| -> Result<(), String> {
        for _ in 0..30 {
            world.round_of(SECOND, wanted);
            world.check()?;
        }
        Ok(())
    };
    rounds(&mut world, Some(MODEL))?;
    assert!(world.is_served(MODEL));
    rounds(&mut world, None)?;
    assert!(!world.is_served(MODEL));
    rounds(&mut world, Some(OTHER))?;
    rounds(&mut world, Some(MODEL))?;
    world.deliver(0, true);
    world.check()
}

#[test]
fn a_late_order_of_a_predecessor_finds_its_replica_charged() {
    assert_eq!(late_order_of_a_predecessor(Without::Nothing), Ok(()));
}

#[test]
fn the_checks_notice_forgotten_orders_of_a_predecessor() {
    assert!(late_order_of_a_predecessor(Without::Strays).is_err());
}
