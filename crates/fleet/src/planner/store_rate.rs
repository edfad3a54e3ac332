//! Learns how many loads from the weight store may run at a time.
//!
//! A weight store serves some number of loads at full speed; more of them share its bandwidth and
//! only finish later. That number is not configured, so it is learned from how long loads take.

use std::time::{Duration, Instant};

/// Number of concurrent loads before any has completed.
const INITIAL_LIMIT: usize = 4;
/// Number of concurrent loads that is always allowed.
const MIN_LIMIT: usize = 2;
/// Duration of a load, as a multiple of the configured one, above which the loads were too many.
const SLOW_LOAD_FACTOR: f64 = 1.3;

/// Largest slowdown that is expected of later loads.
const MAX_SLOWDOWN: f64 = 4.0;

/// Limit of concurrent loads from the weight store, and the rate limit over all engines.
#[derive(Debug)]
pub(super) struct StoreRate {
    limit: usize,
    started: Vec<Instant>,
    /// Duration of the last load that completed, as a multiple of the configured one.
    slowdown: f64,
}

impl Default for StoreRate {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            started: Vec::new(),
            slowdown: 1.0,
        }
    }
}

/// Fraction of the weight store's rate limit that is used, to stay clear of the limit.
const RATE_FRACTION: f64 = 0.9;
/// Sliding window over which the rate of loads is limited.
const RATE_WINDOW: Duration = Duration::from_secs(5);

impl StoreRate {
    /// Whether another load may begin beside `in_progress` others. `per_s` is the store's rate
    /// limit.
    pub(super) fn may_begin(&mut self, in_progress: usize, per_s: f64, now: Instant) -> bool {
        self.started
            .retain(|at| now.saturating_duration_since(*at) < RATE_WINDOW);
        let rate_limit = per_s * RATE_WINDOW.as_secs_f64() * RATE_FRACTION;
        #[allow(clippy::cast_precision_loss)]
        let started = self.started.len() as f64;
        in_progress < self.limit && started + 1.0 <= rate_limit.max(1.0)
    }

    /// Number of loads that may run at a time.
    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    /// Counts a load that begins.
    pub(super) fn begin(&mut self, now: Instant) {
        self.started.push(now);
    }

    /// Expected duration of a load that takes `nominal` by the configuration.
    pub(super) fn estimate(&self, nominal: Duration) -> Duration {
        nominal.mul_f64(self.slowdown)
    }

    /// Adapts the limit to a load that took `duration`, where `nominal` is configured, while
    /// `concurrent` loads were in progress, including it.
    pub(super) fn complete(&mut self, duration: Duration, nominal: Duration, concurrent: usize) {
        let slowdown = duration.as_secs_f64() / nominal.as_secs_f64().max(f64::MIN_POSITIVE);
        self.slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
        if slowdown > SLOW_LOAD_FACTOR {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let full_speed = (concurrent as f64 / slowdown).round() as usize;
            self.limit = self.limit.min(full_speed.max(MIN_LIMIT));
        } else if concurrent >= self.limit {
            self.limit += 1;
        }
    }
}
