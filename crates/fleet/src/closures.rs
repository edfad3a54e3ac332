//! Upstreams that asked this instance for no more requests for a time.
//!
//! An upstream that turns a request away with 503 and `Retry-After` gets nothing from this instance
//! until then. Instances that were turned away together come back spread over a while, and each
//! sends one request first: further ones follow once the upstream has answered it otherwise.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Longest time for which an upstream gets nothing, whatever it asks for. A wrong value must not
/// take it out of use for good.
const MAX_CLOSED_TIME: Duration = Duration::from_mins(10);
/// Time over which instances come back, as a fraction of the time that the upstream asked for.
const SPREAD_FRACTION: f64 = 0.1;
/// Longest time over which instances come back.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Time without an answer to the first request after which another one may be sent.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Closed upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Closures {
    by_upstream: HashMap<String, Closure>,
}

#[derive(Clone, Copy, Debug)]
struct Closure {
    until: Instant,
    /// When the first request after `until` was sent.
    tried_at: Option<Instant>,
}

impl Closures {
    /// Closes an upstream for the time that it asked for at `now`. If it is closed already, the later
    /// end holds. `spread`, from 0 to 1, is drawn anew for each call. Returns the end; none if the
    /// time is zero.
    pub fn close(
        &mut self,
        upstream: &str,
        time: Duration,
        spread: f64,
        now: Instant,
    ) -> Option<Instant> {
        if time.is_zero() {
            return None;
        }
        let time = time.min(MAX_CLOSED_TIME);
        let max_spread = time.mul_f64(SPREAD_FRACTION).min(MAX_SPREAD);
        let until = now + time + max_spread.mul_f64(spread.clamp(0.0, 1.0));
        let known = self.by_upstream.get(upstream).map(|c| c.until);
        let until = known.map_or(until, |known| known.max(until));
        let closure = Closure {
            until,
            tried_at: None,
        };
        self.by_upstream.insert(upstream.to_owned(), closure);
        Some(until)
    }

    /// Whether a request may be sent to an upstream.
    pub fn allows(&self, upstream: &str, now: Instant) -> bool {
        let Some(closure) = self.by_upstream.get(upstream) else {
            return true;
        };
        let is_trying = closure
            .tried_at
            .is_some_and(|at| now.saturating_duration_since(at) < TRIAL_TIMEOUT);
        now >= closure.until && !is_trying
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, upstream: &str, now: Instant) {
        if let Some(closure) = self.by_upstream.get_mut(upstream) {
            closure.tried_at = Some(now);
        }
    }

    /// Records that an upstream has answered without asking for no more requests. An answer that
    /// was under way before it asked changes nothing.
    pub fn record_answer(&mut self, upstream: &str, now: Instant) {
        let closure = self.by_upstream.get(upstream);
        if closure.is_some_and(|c| now >= c.until && c.tried_at.is_some()) {
            self.by_upstream.remove(upstream);
        }
    }

    /// Time until an upstream is open again; zero if it is open.
    pub fn time_closed(&self, upstream: &str, now: Instant) -> Duration {
        let closure = self.by_upstream.get(upstream);
        closure.map_or(Duration::ZERO, |c| c.until.saturating_duration_since(now))
    }

    /// The closed upstreams with the ends of their times.
    pub fn ends(&self, now: Instant) -> HashMap<String, Instant> {
        let closed = self.by_upstream.iter().filter(|(_, c)| now < c.until);
        closed.map(|(id, c)| (id.clone(), c.until)).collect()
    }

    /// Removes the state of an upstream that no longer exists or was started anew.
    pub fn forget(&mut self, upstream: &str) {
        self.by_upstream.remove(upstream);
    }
}
