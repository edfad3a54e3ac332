//! The planning duty: one process at a time gives orders.
//!
//! The duty is a key in the platform's store that is bound to a lease. Its fencing token is the
//! store revision at which the key was created, which only rises. A holder stops by a clock that
//! counts the time that its machine was suspended; a successor waits until the previous holder's
//! last order is old enough.

use std::time::Duration;

/// Part of the lease after which a holder that could not renew stops giving orders.
const SAFE_PART: f64 = 0.6;

/// A holder's right to give orders. All times are of one clock that counts suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token.
    pub fence: u64,
    /// Lease that the duty is bound to.
    pub lease: u64,
    /// Lifetime of the lease.
    ttl: Duration,
    /// Start of the last call that renewed the lease.
    renewed: Duration,
    /// When the first order may be given.
    orders_from: Duration,
}

impl Tenure {
    /// A tenure whose lease was granted or renewed by a call that began at `called`. Its first
    /// order is given `rest` after `now`.
    pub fn begin(
        fence: u64,
        lease: u64,
        ttl: Duration,
        called: Duration,
        now: Duration,
        rest: Duration,
    ) -> Self {
        Self {
            fence,
            lease,
            ttl,
            renewed: called,
            orders_from: now + rest,
        }
    }

    /// Time for which the last orders of a holder are past when its lease of length `ttl` ends.
    pub fn quiet(ttl: Duration) -> Duration {
        ttl.mul_f64(1.0 - SAFE_PART)
    }

    /// Notes a renewal by a call that began at `called`.
    pub fn renew(&mut self, called: Duration) {
        self.renewed = self.renewed.max(called);
    }

    /// Whether the holder may still act, as far as the lease goes.
    fn is_held(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed) < self.ttl.mul_f64(SAFE_PART)
    }

    /// Whether an order may be given now.
    pub fn may_order(&self, now: Duration) -> bool {
        self.is_held(now) && now >= self.orders_from
    }

    /// Whether the lease has surely ended.
    pub fn has_lapsed(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed) > self.ttl
    }
}
