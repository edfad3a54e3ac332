//! Faults that random interleavings meet too seldom, each step by step.

use std::time::Duration;

use crate::fleet::{Fleet, GATES, TIMING, kv_service::Fate};
use comfreyweir_allowance::share_manager::Timing;

/// Time in which every bucket fills up, below the lapse.
const FILL_MS: u64 = 1_100;

/// Two gates that own half of everything each, and a newcomer that waits for its part.
fn newcomer() -> Fleet {
    let mut fleet = Fleet::start([0; GATES], 2, TIMING);
    fleet.pass(FILL_MS);
    assert_eq!((fleet.weight(0), fleet.weight(1)), (500_000, 500_000));
    fleet.start_process(2);
    for _ in 0..30 {
        fleet.keep(2, Fate::Answered);
    }
    assert_eq!(fleet.weight(2), 0);
    fleet
}

fn keep(fleet: &mut Fleet, gate: usize, ms: u64) {
    for _ in 0..10 {
        fleet.advance(ms / 10);
        for _ in 0..30 {
            fleet.keep(gate, Fate::Answered);
        }
    }
}

#[test]
fn gate_frozen_after_it_gave_weight_away_uses_less() {
    let mut fleet = newcomer();
    fleet.keep_until_write(0);
    fleet.keep(0, Fate::Answered);
    fleet.gates[0].frozen = true;
    keep(&mut fleet, 1, 200);
    keep(&mut fleet, 2, FILL_MS);
    assert!(fleet.weight(2) > 330_000, "weight {}", fleet.weight(2));
    fleet.gates[0].frozen = false;
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn weight_given_away_by_a_late_write_is_not_used_again() {
    let mut fleet = newcomer();
    fleet.keep_until_write(0);
    fleet.keep(0, Fate::Late);
    // Takes the unknown outcome, and reads that nothing has changed yet.
    fleet.keep(0, Fate::Answered);
    fleet.keep_until_write(0);
    fleet.advance(FILL_MS / 2);
    fleet.gates[0].frozen = true;
    fleet.service.apply_late();
    keep(&mut fleet, 1, 200);
    keep(&mut fleet, 2, FILL_MS);
    assert!(fleet.weight(2) > 330_000, "weight {}", fleet.weight(2));
    fleet.gates[0].frozen = false;
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn gate_restarted_with_tokens_lent_does_not_lend_them_twice() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    fleet.lend(0, 1, 100);
    fleet.deliver(0, 1);
    fleet.kill(0);
    fleet.start_process(0);
    // Shorter than the loan.
    keep(&mut fleet, 0, 400);
    assert_eq!(fleet.weight(0), fleet.weight(1));
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn share_is_taken_only_after_its_last_loan_has_ended() {
    let timing = Timing {
        hold: Duration::from_millis(1_500),
        ..TIMING
    };
    let mut fleet = Fleet::start([0; GATES], GATES, timing);
    fleet.pass(500);
    fleet.gates[0].cut = true;
    // The lease of gate 0 is renewed every third of a second at most.
    fleet.pass(1_600);
    fleet.lend(0, 1, 100);
    fleet.deliver(0, 1);
    fleet.gates[0].frozen = true;
    fleet.pass(1_400);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
    // In the end the share is taken.
    fleet.pass(4_000);
    assert!(fleet.weight(1) > 490_000, "weight {}", fleet.weight(1));
}

#[test]
fn reservation_is_not_charged_after_the_share_has_lapsed() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    let waiting = fleet.reserve(0, 100).expect("the bucket is full");
    fleet.gates[0].cut = true;
    fleet.pass(6_000);
    assert!(fleet.weight(1) > 490_000, "weight {}", fleet.weight(1));
    fleet.dispatch(waiting, 100);
    assert_eq!(fleet.running(), 0);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn shorter_settings_of_other_gates_end_no_share_too_early() {
    let mut fleet = Fleet::start([0; GATES], 1, TIMING);
    fleet.timing.lapse = TIMING.lapse / 4;
    fleet.timing.hold = TIMING.hold / 4;
    fleet.start_process(1);
    fleet.start_process(2);
    fleet.pass(2 * FILL_MS);
    let weights = [0, 1, 2].map(|gate| fleet.weight(gate));
    fleet.gates[0].cut = true;
    // Far above the lapse of the other gates, and below that of the first one.
    fleet.pass(1_600);
    assert_eq!([0, 1, 2].map(|gate| fleet.weight(gate)), weights);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn longer_loans_of_an_earlier_process_are_waited_out() {
    let long = Timing {
        hold: Duration::from_millis(1_500),
        ..TIMING
    };
    let mut fleet = Fleet::start([0; GATES], GATES, long);
    fleet.lend(0, 1, 100);
    fleet.deliver(0, 1);
    fleet.kill(0);
    fleet.timing = TIMING;
    fleet.start_process(0);
    // Longer than the hold of the new process, shorter than the loan.
    keep(&mut fleet, 0, 1_400);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}
