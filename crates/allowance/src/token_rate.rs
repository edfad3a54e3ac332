//! Estimates the rate at which a gate obtains tokens of a workspace while requests wait for them,
//! to predict when enough tokens will be available.

use std::time::{Duration, Instant};

use crate::{RateLimit, bucket::FULL_WEIGHT, shares::Weight};

/// Every estimate starts as if the highest possible rate had been observed for this time.
const PRIOR_DURATION: Duration = Duration::from_secs(2);
/// Length of the observation after which it is halved, so that recent tokens count more.
const AVERAGING_WINDOW: Duration = Duration::from_secs(10);

/// Tokens reserved since requests began to wait.
#[derive(Clone, Copy, Debug)]
pub struct TokenRateEstimate {
    tokens: f64,
    since: Instant,
}

impl TokenRateEstimate {
    /// Starts an estimate, when requests begin to wait.
    pub fn begin(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            since: now,
        }
    }

    /// Records tokens that were reserved.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_reserved(&mut self, tokens: u64, now: Instant) {
        self.tokens += tokens as f64;
        if now.saturating_duration_since(self.since) > AVERAGING_WINDOW {
            self.since = now.checked_sub(AVERAGING_WINDOW / 2).unwrap_or(now);
            self.tokens /= 2.0;
        }
    }

    /// Expected time until `tokens` more tokens can be reserved; `None` if that is infinite or
    /// longer than a [`Duration`] can hold. The rate is at least the refill of `own_weight`, the
    /// weight of this gate, and at most that of `reachable_weight`, its weight and those of all
    /// gates that it can borrow from. The estimate starts at the latter and falls when other gates
    /// use the workspace too.
    #[allow(clippy::cast_precision_loss)]
    pub fn time_for(
        &self,
        tokens: u64,
        own_weight: Weight,
        reachable_weight: Weight,
        rate_limit: RateLimit,
        now: Instant,
    ) -> Option<Duration> {
        let rate_of =
            |weight: Weight| f64::from(weight) / f64::from(FULL_WEIGHT) * rate_limit.rate as f64;
        let prior = PRIOR_DURATION.as_secs_f64();
        let observed = now.saturating_duration_since(self.since).as_secs_f64();
        let rate = (self.tokens + rate_of(reachable_weight) * prior) / (observed + prior);
        let expected_rate = rate.max(rate_of(own_weight)).min(rate_of(reachable_weight));
        Duration::try_from_secs_f64(tokens as f64 / expected_rate).ok()
    }
}
