//! Limits what engines take at a time, and orders the requests that wait for that.
//!
//! An engine reads prompts between the tokens of the requests that it runs, so a crowd of new
//! requests stalls all streams at the engine. Such a crowd appears when a model is loaded for which
//! many requests wait. They are sent a few at a time, as fast as the engine reads them without
//! long pauses in its streams, and those first that can still meet their goal.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::load::Load;

/// Prompt tokens that an engine may have left to read, before any experience.
const INITIAL_TOKENS: f64 = 2_000.0;
/// Lower bound of that limit. One request is always allowed.
const MIN_TOKENS: f64 = 500.0;
/// Upper bound of that limit.
const MAX_TOKENS: f64 = 50_000.0;
/// Factor of the limit after a pause that was too long.
const DECREASE: f64 = 0.7;
/// Increase of the limit, in tokens, by a stream without long pauses while the limit held requests
/// back.
const INCREASE: f64 = 25.0;
/// Shortest time between two decreases: streams at one engine see the same pause.
const DECREASE_PERIOD: Duration = Duration::from_millis(300);
/// Time before its goal at which a request has to be sent to meet it.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(50);

/// Prompts below this number of uncached tokens tell little of the speed of reading.
const MIN_MEASURED_TOKENS: u64 = 500;
/// Fraction of prompts that are read more slowly than the measured speed. Most prompts wait at the
/// engine before they are read.
const SLOWER_FRACTION: f64 = 0.9;
/// Relative step by which the measured speed follows a prompt.
const SPEED_STEP: f64 = 0.2;
/// Weight of a stream in the mean time of an event.
const EVENT_WEIGHT: f64 = 0.1;
/// Fraction of the time to a first event that reading the prompt takes at least, since the mean time
/// of an event can exceed that of a single one.
const MIN_READ_FRACTION: f64 = 0.3;

/// Limit of the prompt tokens that each engine of a service may have left to read. It follows the
/// pauses that streams show.
#[derive(Clone, Copy, Debug)]
pub struct IntakeLimit {
    tokens: f64,
    decreased_at: Option<Instant>,
    /// Whether the limit has held a request back since it was last increased.
    has_held_back: bool,
    /// Measured speed of reading prompts in tokens per ms; 0 before the first prompt.
    tokens_per_ms: f64,
    /// Mean time between two events of a stream in ms; 0 before the first stream.
    event_ms: f64,
}

impl Default for IntakeLimit {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            decreased_at: None,
            has_held_back: false,
            tokens_per_ms: 0.0,
            event_ms: 0.0,
        }
    }
}

impl IntakeLimit {
    /// Whether an engine with `slots` slots and the load `load`, from all instances, may take a
    /// request with `uncached_tokens` prompt tokens to read.
    pub fn allows(&self, load: Load, slots: u32, uncached_tokens: u64) -> bool {
        self.allows_within(load, slots, uncached_tokens, Duration::ZERO)
    }

    /// As [`Self::allows`], for a service whose streams have a goal for pauses, zero if they have
    /// none. An engine may always have as many tokens left to read as it reads within the goal at
    /// the measured speed. Fewer would make prompts wait, and go where less of them is cached,
    /// without a gain for the streams.
    pub fn allows_within(
        &self,
        load: Load,
        slots: u32,
        uncached_tokens: u64,
        pause_goal: Duration,
    ) -> bool {
        if load.running >= slots.max(1) {
            return false;
        }
        #[allow(clippy::cast_precision_loss)]
        let unread = (load.uncached_tokens + uncached_tokens) as f64;
        load.starting == 0 || unread <= self.tokens.max(self.readable(pause_goal))
    }

    /// Tokens that an engine reads in a pause of the length of the goal.
    fn readable(&self, pause_goal: Duration) -> f64 {
        let ms = pause_goal.as_secs_f64() * 1e3;
        (self.tokens_per_ms * ms).min(MAX_TOKENS)
    }

    /// Measured speed at which engines of the service read prompts, in tokens per ms; 0 before the
    /// first prompt that was long enough.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Records the time from sending a prompt with `uncached_tokens` tokens to the first event of its
    /// answer.
    pub fn record_first_event(&mut self, uncached_tokens: u64, time: Duration) {
        if uncached_tokens < MIN_MEASURED_TOKENS || time.is_zero() {
            return;
        }
        let ms = time.as_secs_f64() * 1e3;
        let read_ms = (ms - self.event_ms).max(ms * MIN_READ_FRACTION);
        #[allow(clippy::cast_precision_loss)]
        let speed = uncached_tokens as f64 / read_ms;
        if self.tokens_per_ms == 0.0 {
            self.tokens_per_ms = speed;
        } else if speed > self.tokens_per_ms {
            self.tokens_per_ms *= 1.0 + SPEED_STEP * SLOWER_FRACTION;
        } else {
            self.tokens_per_ms *= 1.0 - SPEED_STEP * (1.0 - SLOWER_FRACTION);
        }
    }

    /// Records the mean time between two events of a stream that has ended. A first event takes as
    /// long after its prompt is read.
    pub fn record_event_time(&mut self, mean: Duration) {
        let ms = mean.as_secs_f64() * 1e3;
        if self.event_ms == 0.0 {
            self.event_ms = ms;
        } else {
            self.event_ms += EVENT_WEIGHT * (ms - self.event_ms);
        }
    }

    /// Records that a request was held back by the limit.
    pub fn record_held_back(&mut self) {
        self.has_held_back = true;
    }

    /// Adapts the limit to a stream that has ended. `longest_pause` is the longest time between two
    /// of its events, and `goal` the longest one that is on time.
    pub fn record_stream(&mut self, longest_pause: Duration, goal: Duration, now: Instant) {
        if longest_pause > goal {
            let may_decrease = self
                .decreased_at
                .is_none_or(|at| now.saturating_duration_since(at) >= DECREASE_PERIOD);
            if may_decrease {
                self.tokens = (self.tokens * DECREASE).max(MIN_TOKENS);
                self.decreased_at = Some(now);
            }
        } else if std::mem::take(&mut self.has_held_back) {
            self.tokens = (self.tokens + INCREASE).min(MAX_TOKENS);
        }
    }
}

/// Urgency of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Time by which its answer should begin.
    pub goal: Instant,
    /// Time at which its caller gives up.
    pub gives_up: Instant,
}

impl Urgency {
    /// Key by which waiting requests are sorted at `now`, the first to be sent first. Requests that
    /// can still meet their goal come first, so that a crowd that is late anyway does not make all
    /// that follow late too.
    pub(crate) fn order(&self, now: Instant) -> (bool, u8, Instant) {
        let is_late = now + FIRST_BYTE_TIME > self.goal;
        let by = if is_late { self.gives_up } else { self.goal };
        (is_late, self.rank, by)
    }
}

/// Requests that wait until an engine takes them, by what they wait for.
#[derive(Debug, Default)]
pub struct WaitingLines {
    lines: HashMap<String, Vec<(u64, Urgency)>>,
    next_ticket: u64,
}

impl WaitingLines {
    /// Adds a request to a line and returns its ticket.
    pub fn join(&mut self, line: &str, urgency: Urgency) -> u64 {
        self.next_ticket += 1;
        let waiting = self.lines.entry(line.to_owned()).or_default();
        waiting.push((self.next_ticket, urgency));
        self.next_ticket
    }

    /// Removes a request from a line.
    pub fn leave(&mut self, line: &str, ticket: u64) {
        if let Some(waiting) = self.lines.get_mut(line) {
            waiting.retain(|(t, _)| *t != ticket);
            if waiting.is_empty() {
                self.lines.remove(line);
            }
        }
    }

    /// Whether a request comes before all others in its line. A request that has not joined yet
    /// has no ticket.
    pub fn is_first(
        &self,
        line: &str,
        ticket: Option<u64>,
        urgency: Urgency,
        now: Instant,
    ) -> bool {
        let Some(waiting) = self.lines.get(line) else {
            return true;
        };
        let own = (urgency.order(now), ticket.unwrap_or(u64::MAX));
        waiting
            .iter()
            .filter(|(t, _)| Some(*t) != ticket)
            .all(|(t, other)| own < (other.order(now), *t))
    }
}
