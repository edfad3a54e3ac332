//! No workspace receives more than its rate and burst over all gates together, in any interval,
//! under random interleavings of faults.

use crate::fleet::{Fleet, GATES, TERMS, TIMING, kv_service::Fate};
use comfreyweir_allowance::share_manager::{Key, Value};
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Pass(u64),
    Keep(usize, Fate),
    ApplyLate,
    Burst(usize),
    BurstAll,
    Reserve(usize, u64),
    Dispatch(usize, u64),
    Generate(usize, u64),
    Finish(usize),
    Lend(usize, usize, u64),
    EndLoans(usize),
    Deliver(usize, usize),
    Freeze(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Cut(usize),
    Mend(usize),
    Leave(usize),
}

fn gate() -> impl Strategy<Value = usize> {
    0..GATES
}

fn percent() -> impl Strategy<Value = u64> {
    prop_oneof![Just(100_u64), 1..=100_u64]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
        1 => Just(Fate::Stale),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (1..200_u64).prop_map(Op::Advance),
        4 => (100..4_000_u64).prop_map(Op::Pass),
        12 => (gate(), fate()).prop_map(|(g, f)| Op::Keep(g, f)),
        1 => Just(Op::ApplyLate),
        2 => gate().prop_map(Op::Burst),
        3 => Just(Op::BurstAll),
        4 => (gate(), percent()).prop_map(|(g, p)| Op::Reserve(g, p)),
        6 => (any::<usize>(), percent()).prop_map(|(w, p)| Op::Dispatch(w, p)),
        6 => (any::<usize>(), percent()).prop_map(|(r, p)| Op::Generate(r, p)),
        4 => any::<usize>().prop_map(Op::Finish),
        6 => (gate(), gate(), percent()).prop_map(|(f, t, p)| Op::Lend(f, t, p)),
        3 => gate().prop_map(Op::EndLoans),
        8 => (any::<usize>(), 0..3_usize).prop_map(|(m, n)| Op::Deliver(m, n)),
        1 => gate().prop_map(Op::Freeze),
        2 => gate().prop_map(Op::Resume),
        1 => gate().prop_map(Op::Kill),
        3 => gate().prop_map(Op::Start),
        1 => gate().prop_map(Op::Cut),
        2 => gate().prop_map(Op::Mend),
        2 => gate().prop_map(Op::Leave),
    ]
}

fn pick(index: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| index % len)
}

fn apply(fleet: &mut Fleet, op: &Op) {
    match *op {
        Op::Advance(ms) => fleet.advance(ms),
        Op::Pass(ms) => fleet.pass(ms),
        Op::Keep(gate, fate) => fleet.keep(gate, fate),
        Op::ApplyLate => fleet.service.apply_late(),
        Op::Burst(gate) => fleet.burst(gate),
        Op::BurstAll => fleet.burst_all(),
        Op::Reserve(gate, percent) => drop(fleet.reserve(gate, percent)),
        Op::Dispatch(index, percent) => {
            if let Some(wait) = pick(index, fleet.waiting()) {
                fleet.dispatch(wait, percent);
            }
        }
        Op::Generate(index, percent) => {
            if let Some(run) = pick(index, fleet.running()) {
                fleet.generate(run, percent);
            }
        }
        Op::Finish(index) => {
            if let Some(run) = pick(index, fleet.running()) {
                fleet.finish(run);
            }
        }
        Op::Lend(from, to, percent) => fleet.lend(from, to, percent),
        Op::EndLoans(gate) => fleet.end_loans(gate),
        Op::Deliver(index, times) => {
            if let Some(mail) = pick(index, fleet.mail()) {
                fleet.deliver(mail, times);
            }
        }
        Op::Freeze(gate) => fleet.gates[gate].frozen = fleet.gates[gate].process.is_some(),
        Op::Resume(gate) => fleet.gates[gate].frozen = false,
        Op::Kill(gate) => fleet.kill(gate),
        Op::Start(gate) => fleet.start_process(gate),
        Op::Cut(gate) => fleet.gates[gate].cut = true,
        Op::Mend(gate) => fleet.gates[gate].cut = false,
        Op::Leave(gate) => fleet.leave(gate),
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
        ops in prop::collection::vec(op(), 1..250),
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

/// Without a fault the whole burst can be used at once, so the bound is not kept by idleness.
#[test]
fn whole_burst_is_usable_at_first() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    fleet.burst_all();
    let used: u64 = fleet.generated.iter().map(|(_, tokens)| tokens).sum();
    // A third of a token a gate is lost to rounding.
    let lost = u64::try_from(GATES).expect("few gates");
    assert!(used >= TERMS.burst - lost, "used {used}");
}
