//! How fast a gate gets tokens of a workspace while requests wait for them, to tell when more
//! will be there.

use std::time::{Duration, Instant};

use crate::{Terms, bucket::WHOLE, shares::Weight};

/// Time for which the full pace is assumed, until enough was seen.
const ASSUMED: Duration = Duration::from_secs(2);
/// Time after which what was seen counts half.
const WINDOW: Duration = Duration::from_secs(10);

/// Tokens that were had since requests began to wait.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    tokens: f64,
    since: Instant,
}

impl Pace {
    /// Requests begin to wait.
    pub fn begin(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            since: now,
        }
    }

    /// Notes tokens that were reserved.
    #[allow(clippy::cast_precision_loss)]
    pub fn note(&mut self, tokens: u64, now: Instant) {
        self.tokens += tokens as f64;
        if now.saturating_duration_since(self.since) > WINDOW {
            self.since = now.checked_sub(WINDOW / 2).unwrap_or(now);
            self.tokens /= 2.0;
        }
    }

    /// Time until so many more tokens can be expected. The gate gets at least the refill of its
    /// own weight, and at most that of all weights in reach, which is assumed at first: when
    /// other gates are busy with the workspace too, it gets less.
    #[allow(clippy::cast_precision_loss)]
    pub fn time_for(
        &self,
        tokens: u64,
        own: Weight,
        reach: Weight,
        terms: Terms,
        now: Instant,
    ) -> Option<Duration> {
        let part = |weight: Weight| f64::from(weight) / f64::from(WHOLE) * terms.rate as f64;
        let assumed = ASSUMED.as_secs_f64();
        let seen = now.saturating_duration_since(self.since).as_secs_f64();
        let pace = (self.tokens + part(reach) * assumed) / (seen + assumed);
        let per_second = pace.max(part(own)).min(part(reach));
        Duration::try_from_secs_f64(tokens as f64 / per_second).ok()
    }
}
