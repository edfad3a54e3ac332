//! Sequences of faults that random interleavings reach too rarely, each written out step by step.

use std::time::Duration;

use crate::fleet::{Fleet, GATES, TIMING, kv_service::CallDelivery};
use comfreyweir_allowance::share_manager::Timing;

/// Long enough for every bucket to fill up, and shorter than the lease of a share.
const FILL_MS: u64 = 1_100;

/// A fleet of two gates that own half of every allowance each, and a third that has just started
/// and waits for its share.
fn fleet_with_new_gate() -> Fleet {
    let mut fleet = Fleet::start([0; GATES], 2, TIMING);
    fleet.advance_with_calls(FILL_MS);
    assert_eq!((fleet.weight(0), fleet.weight(1)), (500_000, 500_000));
    fleet.start_process(2);
    for _ in 0..30 {
        fleet.step_manager(2, CallDelivery::Answered);
    }
    assert_eq!(fleet.weight(2), 0);
    fleet
}

fn advance_one_gate(fleet: &mut Fleet, gate: usize, ms: u64) {
    for _ in 0..10 {
        fleet.advance(ms / 10);
        for _ in 0..30 {
            fleet.step_manager(gate, CallDelivery::Answered);
        }
    }
}

#[test]
fn gate_frozen_after_it_gave_weight_away_uses_less() {
    let mut fleet = fleet_with_new_gate();
    fleet.step_until_share_write(0);
    fleet.step_manager(0, CallDelivery::Answered);
    fleet.gates[0].frozen = true;
    advance_one_gate(&mut fleet, 1, 200);
    advance_one_gate(&mut fleet, 2, FILL_MS);
    assert!(fleet.weight(2) > 330_000, "weight {}", fleet.weight(2));
    fleet.gates[0].frozen = false;
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn weight_given_away_by_a_late_write_is_not_used_again() {
    let mut fleet = fleet_with_new_gate();
    fleet.step_until_share_write(0);
    fleet.step_manager(0, CallDelivery::Late);
    // The share manager gets the unknown outcome and then reads that nothing has changed yet.
    fleet.step_manager(0, CallDelivery::Answered);
    fleet.step_until_share_write(0);
    fleet.advance(FILL_MS / 2);
    fleet.gates[0].frozen = true;
    fleet.service.apply_late_writes();
    advance_one_gate(&mut fleet, 1, 200);
    advance_one_gate(&mut fleet, 2, FILL_MS);
    assert!(fleet.weight(2) > 330_000, "weight {}", fleet.weight(2));
    fleet.gates[0].frozen = false;
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn gate_restarted_with_tokens_lent_does_not_lend_them_twice() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    fleet.lend(0, 1, 100);
    fleet.deliver_message(0, 1);
    fleet.kill(0);
    fleet.start_process(0);
    // Shorter than the loan.
    advance_one_gate(&mut fleet, 0, 400);
    assert_eq!(fleet.weight(0), fleet.weight(1));
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn share_is_taken_only_after_its_last_loan_has_ended() {
    let timing = Timing {
        max_token_hold: Duration::from_millis(1_500),
        ..TIMING
    };
    let mut fleet = Fleet::start([0; GATES], GATES, timing);
    fleet.advance_with_calls(500);
    fleet.gates[0].disconnected = true;
    // Leases of 2 s are renewed every third of a second, so that of gate 0 is close to its end
    // after another 1.6 s.
    fleet.advance_with_calls(1_600);
    fleet.lend(0, 1, 100);
    fleet.deliver_message(0, 1);
    fleet.gates[0].frozen = true;
    fleet.advance_with_calls(1_400);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
    // Eventually the other gates take the share.
    fleet.advance_with_calls(4_000);
    assert!(fleet.weight(1) > 490_000, "weight {}", fleet.weight(1));
}

#[test]
fn reservation_is_not_charged_after_the_share_has_lapsed() {
    let mut fleet = Fleet::start([0; GATES], GATES, TIMING);
    let waiting = fleet.reserve(0, 100).expect("the bucket is full");
    fleet.gates[0].disconnected = true;
    fleet.advance_with_calls(6_000);
    assert!(fleet.weight(1) > 490_000, "weight {}", fleet.weight(1));
    fleet.dispatch(waiting, 100);
    assert_eq!(fleet.running_count(), 0);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn shorter_timing_of_other_gates_ends_no_share_early() {
    let mut fleet = Fleet::start([0; GATES], 1, TIMING);
    fleet.timing.lease_duration = TIMING.lease_duration / 4;
    fleet.timing.max_token_hold = TIMING.max_token_hold / 4;
    fleet.start_process(1);
    fleet.start_process(2);
    fleet.advance_with_calls(2 * FILL_MS);
    let weights = [0, 1, 2].map(|gate| fleet.weight(gate));
    fleet.gates[0].disconnected = true;
    // Far longer than the leases of the other gates, and shorter than that of the first one.
    fleet.advance_with_calls(1_600);
    assert_eq!([0, 1, 2].map(|gate| fleet.weight(gate)), weights);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}

#[test]
fn longer_loans_of_an_earlier_process_are_waited_out() {
    let long = Timing {
        max_token_hold: Duration::from_millis(1_500),
        ..TIMING
    };
    let mut fleet = Fleet::start([0; GATES], GATES, long);
    fleet.lend(0, 1, 100);
    fleet.deliver_message(0, 1);
    fleet.kill(0);
    fleet.timing = TIMING;
    fleet.start_process(0);
    // Longer than the hold of the new process, shorter than the loan.
    advance_one_gate(&mut fleet, 0, 1_400);
    fleet.burst_all();
    assert_eq!(fleet.excess(), 0);
}
