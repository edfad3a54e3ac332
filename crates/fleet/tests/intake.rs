//! A crowd of requests is released when a model is loaded: what engines take in at a time, and who
//! goes first.

use std::time::{Duration, Instant};

use comfreyweir_fleet::{
    intake::{IntakeLimit, Urgency, WaitingLines},
    load::{Load, LoadTracker, Loads},
};

const PAUSE_GOAL: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine that reads prompts at a fixed rate, in chunks between the steps of its streams. Each
/// event of a stream needs several steps.
struct Engine {
    tokens_per_ms: f64,
    chunk: f64,
    step_ms: f64,
    steps_per_event: u32,
    unread: f64,
}

impl Engine {
    /// Time that one event of a stream takes now, while prompts are read.
    fn event(&mut self) -> Duration {
        let mut time_ms = 0.0;
        for _ in 0..self.steps_per_event {
            let read = self.unread.min(self.chunk);
            self.unread -= read;
            time_ms += self.step_ms + read / self.tokens_per_ms;
        }
        Duration::from_secs_f64(time_ms / 1e3)
    }
}

/// Sends prompts of 500 tokens, of which many wait, as fast as the limit allows. Returns the number
/// of pauses over the goal, and the tokens sent, in the second half of a run of 400 events.
fn send_crowd(mut engine: Engine) -> (u32, f64) {
    let mut limit = IntakeLimit::default();
    let mut now = Instant::now();
    let (mut long_pauses, mut sent) = (0, 0.0);
    for event in 0..400 {
        loop {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let unread = engine.unread as u64;
            let load = Load {
                running: 10,
                starting: u32::from(unread > 0),
                uncached_tokens: unread,
            };
            if !limit.allows(load, 96, 500) {
                limit.record_held_back();
                break;
            }
            engine.unread += 500.0;
            sent += 500.0;
        }
        let pause = engine.event();
        now += pause;
        limit.record_stream(pause, PAUSE_GOAL, now);
        if event == 200 {
            (long_pauses, sent) = (0, 0.0);
        }
        long_pauses += u32::from(pause > PAUSE_GOAL);
    }
    (long_pauses, sent)
}

#[test]
fn crowd_is_taken_in_with_few_long_pauses() {
    let engine = Engine {
        tokens_per_ms: 10.0,
        chunk: 1_000.0,
        step_ms: 8.0,
        steps_per_event: 6,
        unread: 0.0,
    };
    let (long_pauses, sent) = send_crowd(engine);
    assert!(long_pauses <= 20, "{long_pauses} of 200 events");
    assert!(sent >= 100_000.0, "{sent} tokens in 200 events");
}

#[test]
fn fast_engine_takes_in_more_than_a_slow_one() {
    let engine = |tokens_per_ms| Engine {
        tokens_per_ms,
        chunk: 2_000.0,
        step_ms: 5.0,
        steps_per_event: 6,
        unread: 0.0,
    };
    let (_, slow) = send_crowd(engine(5.0));
    let (_, fast) = send_crowd(engine(40.0));
    assert!(fast > 3.0 * slow, "{fast} and {slow}");
}

#[test]
fn engine_takes_one_request_of_any_size_but_none_beyond_its_slots() {
    let limit = IntakeLimit::default();
    assert!(limit.allows(Load::default(), 8, 1_000_000));
    let full = Load {
        running: 8,
        ..Load::default()
    };
    assert!(!limit.allows(full, 8, 1));
}

fn urgency(rank: u8, goal: Instant, gives_up: Instant) -> Urgency {
    Urgency {
        rank,
        goal,
        gives_up,
    }
}

/// Requests that have waited for a load are late already; requests that arrive now can still be on
/// time if they go first.
#[test]
fn request_that_can_meet_its_goal_goes_before_late_ones() {
    let now = Instant::now();
    let mut lines = WaitingLines::default();
    let late = urgency(0, now, now + ms(1_000));
    let ticket = lines.join("m", late);
    let fresh = urgency(1, now + ms(400), now + ms(2_000));
    assert!(lines.is_first("m", None, fresh, now));
    lines.join("m", fresh);
    assert!(!lines.is_first("m", Some(ticket), late, now));
    assert!(lines.is_first("m", Some(ticket), late, now + ms(400)));
}

#[test]
fn line_is_ordered_by_rank_then_time_left_then_arrival() {
    let now = Instant::now();
    let mut lines = WaitingLines::default();
    let (soon, later) = (now + ms(400), now + ms(800));
    let give_up = now + ms(2_000);
    let first = lines.join("m", urgency(1, later, give_up));
    let second = lines.join("m", urgency(1, soon, give_up));
    let third = lines.join("m", urgency(0, later, give_up));
    let fourth = lines.join("m", urgency(0, later, give_up));
    let is_first = |lines: &WaitingLines, ticket, rank, goal| {
        lines.is_first("m", Some(ticket), urgency(rank, goal, give_up), now)
    };
    assert!(is_first(&lines, third, 0, later));
    assert!(!is_first(&lines, fourth, 0, later));
    lines.leave("m", third);
    assert!(is_first(&lines, fourth, 0, later));
    lines.leave("m", fourth);
    assert!(is_first(&lines, second, 1, soon));
    lines.leave("m", second);
    assert!(is_first(&lines, first, 1, later));
    assert!(lines.is_first("other", None, urgency(9, later, give_up), now));
}

/// What other instances had sent when they reported is read soon after, so it must not hold requests
/// back until the next report.
#[test]
fn prompts_of_other_instances_count_less_with_time() {
    let now = Instant::now();
    let load = Load {
        running: 4,
        starting: 4,
        uncached_tokens: 4_000,
    };
    let mut tracker = LoadTracker::default();
    tracker.set_totals([("u".to_owned(), load)], &Loads::new(), now);
    assert_eq!(tracker.total("u", now), load);
    let later = tracker.total("u", now + ms(200));
    assert_eq!(later.running, 4);
    assert!(later.uncached_tokens < 1_000, "{later:?}");
}
