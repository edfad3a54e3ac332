//! No workspace receives more than its rate and burst over all gates together, in any interval,
//! under random interleavings of faults.

use crate::fleet::{Fleet, GATES, RATE_LIMIT, TIMING, kv_service::CallDelivery};
use comfreyweir_allowance::share_manager::{Key, Value};
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Clone, Debug)]
enum FleetOp {
    Advance(u64),
    AdvanceWithCalls(u64),
    StepManager(usize, CallDelivery),
    ApplyLateWrites,
    Burst(usize),
    BurstAll,
    Reserve(usize, u64),
    Dispatch(usize, u64),
    Generate(usize, u64),
    Finish(usize),
    Lend(usize, usize, u64),
    EndLoans(usize),
    DeliverMessage(usize, usize),
    Freeze(usize),
    Resume(usize),
    KillProcess(usize),
    StartProcess(usize),
    Disconnect(usize),
    Reconnect(usize),
    Leave(usize),
}

fn gate() -> impl Strategy<Value = usize> {
    0..GATES
}

fn percent() -> impl Strategy<Value = u64> {
    prop_oneof![Just(100_u64), 1..=100_u64]
}

fn delivery() -> impl Strategy<Value = CallDelivery> {
    prop_oneof![
        6 => Just(CallDelivery::Answered),
        1 => Just(CallDelivery::RequestLost),
        1 => Just(CallDelivery::AnswerLost),
        1 => Just(CallDelivery::Late),
        1 => Just(CallDelivery::StaleRead),
    ]
}

fn fleet_op() -> impl Strategy<Value = FleetOp> {
    prop_oneof![
        8 => (1..200_u64).prop_map(FleetOp::Advance),
        4 => (100..4_000_u64).prop_map(FleetOp::AdvanceWithCalls),
        12 => (gate(), delivery()).prop_map(|(g, d)| FleetOp::StepManager(g, d)),
        1 => Just(FleetOp::ApplyLateWrites),
        2 => gate().prop_map(FleetOp::Burst),
        3 => Just(FleetOp::BurstAll),
        4 => (gate(), percent()).prop_map(|(g, p)| FleetOp::Reserve(g, p)),
        6 => (any::<usize>(), percent()).prop_map(|(w, p)| FleetOp::Dispatch(w, p)),
        6 => (any::<usize>(), percent()).prop_map(|(r, p)| FleetOp::Generate(r, p)),
        4 => any::<usize>().prop_map(FleetOp::Finish),
        6 => (gate(), gate(), percent()).prop_map(|(f, t, p)| FleetOp::Lend(f, t, p)),
        3 => gate().prop_map(FleetOp::EndLoans),
        8 => (any::<usize>(), 0..3_usize).prop_map(|(m, n)| FleetOp::DeliverMessage(m, n)),
        1 => gate().prop_map(FleetOp::Freeze),
        2 => gate().prop_map(FleetOp::Resume),
        1 => gate().prop_map(FleetOp::KillProcess),
        3 => gate().prop_map(FleetOp::StartProcess),
        1 => gate().prop_map(FleetOp::Disconnect),
        2 => gate().prop_map(FleetOp::Reconnect),
        2 => gate().prop_map(FleetOp::Leave),
    ]
}

fn pick(index: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| index % len)
}

fn apply(fleet: &mut Fleet, op: &FleetOp) {
    match *op {
        FleetOp::Advance(ms) => fleet.advance(ms),
        FleetOp::AdvanceWithCalls(ms) => fleet.advance_with_calls(ms),
        FleetOp::StepManager(gate, delivery) => fleet.step_manager(gate, delivery),
        FleetOp::ApplyLateWrites => fleet.service.apply_late_writes(),
        FleetOp::Burst(gate) => fleet.burst(gate),
        FleetOp::BurstAll => fleet.burst_all(),
        FleetOp::Reserve(gate, percent) => drop(fleet.reserve(gate, percent)),
        FleetOp::Dispatch(index, percent) => {
            if let Some(wait) = pick(index, fleet.waiting_count()) {
                fleet.dispatch(wait, percent);
            }
        }
        FleetOp::Generate(index, percent) => {
            if let Some(run) = pick(index, fleet.running_count()) {
                fleet.generate(run, percent);
            }
        }
        FleetOp::Finish(index) => {
            if let Some(run) = pick(index, fleet.running_count()) {
                fleet.finish(run);
            }
        }
        FleetOp::Lend(from, to, percent) => fleet.lend(from, to, percent),
        FleetOp::EndLoans(gate) => fleet.end_loans(gate),
        FleetOp::DeliverMessage(index, times) => {
            if let Some(message) = pick(index, fleet.message_count()) {
                fleet.deliver_message(message, times);
            }
        }
        FleetOp::Freeze(gate) => fleet.gates[gate].frozen = fleet.gates[gate].process.is_some(),
        FleetOp::Resume(gate) => fleet.gates[gate].frozen = false,
        FleetOp::KillProcess(gate) => fleet.kill(gate),
        FleetOp::StartProcess(gate) => fleet.start_process(gate),
        FleetOp::Disconnect(gate) => fleet.gates[gate].disconnected = true,
        FleetOp::Reconnect(gate) => fleet.gates[gate].disconnected = false,
        FleetOp::Leave(gate) => fleet.leave(gate),
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(500, 41))]

    #[test]
    fn no_interval_exceeds_rate_and_burst(
        drifts in prop::array::uniform3(-1_000..=1_000_i64),
        started in 1..=GATES,
        ops in prop::collection::vec(fleet_op(), 1..250),
    ) {
        let mut fleet = Fleet::start(drifts, started, TIMING);
        for op in &ops {
            apply(&mut fleet, op);
            if let Some(Value::Shares(table)) = fleet.service.value(Key::Shares) {
                prop_assert!(table.assigned() <= 1_000_000);
            }
        }
        let excess = fleet.excess();
        prop_assert!(excess == 0, "an interval was exceeded by {excess} tokens");
    }
}

/// Without a fault the whole burst can be used at once: the bound does not hold merely because the
/// gates admit too little.
#[test]
fn whole_burst_is_usable_without_faults() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    fleet.burst_all();
    let used: u64 = fleet.generated.iter().map(|(_, tokens)| tokens).sum();
    // Each gate loses a third of a token to rounding.
    let lost = u64::try_from(GATES).expect("few gates");
    assert!(used >= RATE_LIMIT.burst - lost, "used {used}");
}
