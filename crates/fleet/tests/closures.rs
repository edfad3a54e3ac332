//! Upstreams that ask for no more requests for a time, while many requests want to go there.

use std::time::{Duration, Instant};

use comfreyweir_fleet::closures::Closures;
use proptest::prelude::*;

const S: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn closed_upstream_gets_nothing_until_the_time_that_it_named() {
    let start = Instant::now();
    let mut closures = Closures::default();
    closures.close("a", ms(2_500), 0.0, start);
    assert!(!closures.allows("a", start + ms(2_499)));
    assert!(closures.allows("a", start + ms(2_500)));
    assert!(closures.allows("b", start));
    assert_eq!(closures.time_closed("a", start + ms(500)), S * 2);
    assert_eq!(closures.time_closed("b", start), Duration::ZERO);
}

#[test]
fn later_of_several_ends_holds() {
    let start = Instant::now();
    let mut closures = Closures::default();
    closures.close("a", S * 3, 0.0, start);
    closures.close("a", S, 0.0, start + S);
    assert!(!closures.allows("a", start + ms(2_999)));
    closures.close("a", S * 3, 0.0, start + S);
    assert!(!closures.allows("a", start + ms(3_999)));
    assert!(closures.allows("a", start + S * 4));
}

/// A zero closes nothing, and an absurd time does not take the upstream out of use for good.
#[test]
fn times_are_bounded() {
    let start = Instant::now();
    let mut closures = Closures::default();
    assert_eq!(closures.close("a", Duration::ZERO, 1.0, start), None);
    assert!(closures.allows("a", start));
    let until = closures.close("a", Duration::MAX, 1.0, start);
    assert_eq!(until, Some(start + S * 601));
}

/// Of 200 requests that wait for the end, one goes first; the rest follow its answer.
#[test]
fn one_request_goes_first_when_the_time_is_over() {
    let start = Instant::now();
    let mut closures = Closures::default();
    closures.close("a", S, 0.0, start);
    let over = start + S;
    let mut sent = 0;
    for _ in 0..200 {
        if closures.allows("a", over) {
            closures.record_sent("a", over);
            sent += 1;
        }
    }
    assert_eq!(sent, 1);
    closures.record_answer("a", over + ms(20));
    assert!(closures.allows("a", over + ms(20)));
}

/// The first request after the end gets no answer: another may follow, also one at a time.
#[test]
fn unanswered_first_request_does_not_close_the_upstream_for_good() {
    let start = Instant::now();
    let mut closures = Closures::default();
    closures.close("a", S, 0.0, start);
    closures.record_sent("a", start + S);
    assert!(!closures.allows("a", start + ms(1_999)));
    assert!(closures.allows("a", start + S * 2));
    closures.record_sent("a", start + S * 2);
    assert!(!closures.allows("a", start + ms(2_001)));
}

/// An upstream under load answers requests that it took before with success, and turns others away.
#[test]
fn answers_to_earlier_requests_do_not_open_it() {
    let start = Instant::now();
    let mut closures = Closures::default();
    closures.close("a", S, 0.0, start);
    closures.record_answer("a", start + ms(100));
    assert!(!closures.allows("a", start + ms(200)));
}

/// Fifty instances that were turned away at once do not come back at once.
#[test]
fn instances_come_back_spread_over_time() {
    let start = Instant::now();
    let ends = (0..50).map(|i| {
        let spread = f64::from(i) / 50.0;
        let end = Closures::default().close("a", S * 5, spread, start);
        end.unwrap().duration_since(start)
    });
    let ends: Vec<_> = ends.collect();
    let first_ms = ends[0] + ms(100);
    assert!(ends.iter().filter(|end| **end < first_ms).count() <= 11);
    assert!(ends.iter().all(|end| (S * 5..=S * 6).contains(end)));
}

proptest! {
    /// Whatever answers, sends and refusals interleave, nothing is sent after a refusal before the
    /// end that it named.
    #[test]
    fn nothing_is_sent_while_an_upstream_is_closed(
        steps in prop::collection::vec((0_u64..700, 0_u8..3, 0_u64..5_000), 1..200),
    ) {
        let start = Instant::now();
        let mut closures = Closures::default();
        let mut now = start;
        let mut closed_until = start;
        for (pause, step, closed_ms) in steps {
            now += ms(pause);
            match step {
                0 => {
                    if closures.allows("a", now) {
                        prop_assert!(now >= closed_until);
                        closures.record_sent("a", now);
                    }
                }
                1 => closures.record_answer("a", now),
                _ => {
                    closures.close("a", ms(closed_ms), 0.3, now);
                    closed_until = closed_until.max(now + ms(closed_ms));
                }
            }
        }
    }
}
