//! The planning duty: leader election that lets one process at a time give orders to engines.
//!
//! The duty is a key in the platform's store that is bound to a lease. Its fencing token is the
//! store revision at which the key was created, which only increases, also when the store comes back
//! from a copy. A holder that cannot renew
//! its lease stops before the lease expires, by a clock that also runs while the machine is
//! suspended. A successor gives its first order only a set time after the previous holder's last
//! possible one.

use std::time::Duration;

/// Fraction of the lease's lifetime after which a holder that could not renew it stops giving
/// orders.
const SAFE_LEASE_FRACTION: f64 = 0.6;

/// Number of a lease of the store. It is valid only in the era of the store that issued it: after the
/// store has come back from a copy, it issues the numbers of lost leases again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// Era of the store that issued the number; none if the store names no eras.
    pub era: Option<u64>,
    /// Number of the lease in that era.
    pub number: u64,
}

/// One holder's term of the planning duty. All times are readings of one clock that also runs while
/// the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token.
    pub fence: u64,
    /// Lease that the duty is bound to.
    pub lease: LeaseId,
    /// Lifetime of the lease.
    ttl: Duration,
    /// Start of the latest call that granted or renewed the lease.
    renewed_at: Duration,
    /// Time from which orders may be given.
    may_order_from: Duration,
    /// When the term began.
    began_at: Duration,
}

impl Tenure {
    /// Begins a term whose lease was granted or renewed by a call that started at `called_at`.
    /// Orders may be given from `order_delay` after `now`.
    pub fn begin(
        fence: u64,
        lease: LeaseId,
        ttl: Duration,
        called_at: Duration,
        now: Duration,
        order_delay: Duration,
    ) -> Self {
        Self {
            fence,
            lease,
            ttl,
            renewed_at: called_at,
            may_order_from: now + order_delay,
            began_at: now,
        }
    }

    /// Time since the term began.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began_at)
    }

    /// Time from a renewal of a lease of length `ttl` to the last possible order.
    pub fn order_time(ttl: Duration) -> Duration {
        ttl.mul_f64(SAFE_LEASE_FRACTION)
    }

    /// Time between a holder's last possible order and the end of its lease of length `ttl`.
    pub fn order_free_time(ttl: Duration) -> Duration {
        ttl.mul_f64(1.0 - SAFE_LEASE_FRACTION)
    }

    /// Records a renewal by a call that started at `called_at`. The lease counts from then, not
    /// from the answer.
    pub fn renew(&mut self, called_at: Duration) {
        self.renewed_at = self.renewed_at.max(called_at);
    }

    /// Whether the lease was renewed recently enough to give orders.
    fn is_lease_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed_at) < self.ttl.mul_f64(SAFE_LEASE_FRACTION)
    }

    /// Whether an order may be given now: the lease is recent and the initial wait is over.
    pub fn may_order(&self, now: Duration) -> bool {
        self.is_lease_recent(now) && now >= self.may_order_from
    }

    /// Whether the lease has certainly expired.
    pub fn has_lapsed(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed_at) > self.ttl
    }
}
