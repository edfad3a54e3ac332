//! The bucket of one workspace, as the holder keeps it.

use std::time::{Duration, Instant};

use super::{Bucket, UsageTotals};
use crate::config::Allowance;

/// A new bucket starts with the refill of this time if no instance reports an earlier grant: all
/// instances may have been lost at once, after spending the whole allowance.
const INITIAL_REFILL_TIME: Duration = Duration::from_millis(500);

/// The bucket of one workspace, shared by all instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedBucket {
    bucket: Bucket,
    /// When a process received the previous holder's grant from which this bucket was restored.
    restored_grant_at: Option<Instant>,
    /// Units spent by all processes since the grants of the previous holder.
    spent_since_grants: f64,
    /// Refill that was reserved for silent instances. What they have spent is taken from it when
    /// they report again.
    withheld: f64,
}

impl SharedBucket {
    /// A bucket of which nothing is known.
    pub(super) fn new(Allowance { per_s, burst, .. }: Allowance, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(burst.min(per_s * INITIAL_REFILL_TIME.as_secs_f64()), now),
            restored_grant_at: None,
            spent_since_grants: 0.0,
            withheld: 0.0,
        }
    }

    /// Refills the bucket, without the part of the refill that is reserved for silent instances,
    /// of which there are `silent_ratio` per reporting instance. Returns its level.
    pub(super) fn refill(&mut self, allowance: Allowance, silent_ratio: f64, now: Instant) -> f64 {
        let Allowance { per_s, burst, .. } = allowance;
        let usable_per_s = per_s / (1.0 + silent_ratio);
        let elapsed = now.saturating_duration_since(self.bucket.updated_at);
        self.withheld = if silent_ratio > 0.0 {
            self.withheld + (per_s - usable_per_s) * elapsed.as_secs_f64()
        } else {
            0.0
        };
        self.bucket.refill(usable_per_s, burst, now)
    }

    /// Charges what a process has spent. `was_silent` tells whether it was silent meanwhile, so
    /// that a part of the refill was reserved for it.
    pub(super) fn charge(&mut self, spent: f64, was_silent: bool) {
        let from_reserve = if was_silent {
            spent.clamp(0.0, self.withheld)
        } else {
            0.0
        };
        self.withheld -= from_reserve;
        self.take(spent - from_reserve);
    }

    /// Takes `amount` units, even if the level becomes negative.
    pub(super) fn take(&mut self, amount: f64) {
        self.bucket.take(amount);
    }

    /// Restores the level from the last grant that a process received from the previous holder, if
    /// no other process had a later one, and charges what the process has spent since. The time
    /// since that grant is added by the next refill.
    pub(super) fn restore(&mut self, totals: &UsageTotals, was_silent: bool, now: Instant) {
        let Some(last_grant) = totals.last_grant else {
            return;
        };
        let at = now.checked_sub(last_grant.age).unwrap_or(now);
        let spent = totals.spent - last_grant.included;
        if !was_silent && self.restored_grant_at.is_none_or(|before| before < at) {
            self.restored_grant_at = Some(at);
            self.bucket = Bucket::new(last_grant.bucket_level, at);
            self.bucket.take(self.spent_since_grants);
        }
        self.spent_since_grants += spent;
        self.charge(spent, was_silent);
    }
}
