//! The lease of this gate's share.

use std::time::{Duration, Instant};

use super::{Outcome, Timing, Value, Version};
use crate::lease::{Lease, LeaseRecord};

/// A renewal, which is tried again unchanged while its outcome is not known.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) write_id: String,
    pub(super) record: LeaseRecord,
    started: Instant,
}

pub(super) struct OwnLease {
    timing: Timing,
    lease: Lease,
    /// Longest loans that an earlier process may have granted.
    earlier_hold: Duration,
    renewals: u64,
    version: Option<Version>,
    attempt: Option<Attempt>,
}

impl OwnLease {
    pub(super) fn new(timing: Timing) -> Self {
        Self {
            timing,
            lease: Lease::new(timing.lapse),
            earlier_hold: timing.hold,
            renewals: 0,
            version: None,
            attempt: None,
        }
    }

    /// Version that the key must stand at for the next renewal, if it is known.
    pub(super) fn version(&self) -> Option<Version> {
        self.version
    }

    pub(super) fn valid_until(&self) -> Option<Instant> {
        self.lease.valid_until()
    }

    /// Longest loans that an earlier process on this address may have granted.
    pub(super) fn earlier_hold(&self) -> Duration {
        self.earlier_hold
    }

    /// Start of the last confirmed renewal.
    pub(super) fn confirmed(&self) -> Option<Instant> {
        self.lease.confirmed()
    }

    pub(super) fn answer_read(&mut self, outcome: &Outcome) {
        if let Outcome::Found(found) = outcome {
            self.version = Some(found.as_ref().map_or(0, |(version, _)| *version));
            if let Some((_, Value::Lease(earlier))) = found {
                self.earlier_hold = earlier.hold(self.earlier_hold);
            }
        }
    }

    /// The renewal to try. The lease will count from the first try.
    pub(super) fn attempt(&mut self, incarnation: &str, write_id: String, now: Instant) -> Attempt {
        let renewal = self.renewals + 1;
        // Kept from process to process: none of them knows what the ones before have lent.
        let (lapse, hold) = (self.timing.lapse, self.earlier_hold);
        let attempt = self.attempt.get_or_insert_with(|| Attempt {
            write_id,
            record: LeaseRecord {
                incarnation: incarnation.to_owned(),
                renewal,
                revoked: false,
                lapse_ms: millis(lapse),
                hold_ms: millis(hold),
            },
            started: now,
        });
        attempt.clone()
    }

    /// Takes the outcome of a renewal, and tells whether the lease was revoked.
    pub(super) fn answer_swap(&mut self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Written(version) => {
                self.version = Some(*version);
                self.renewals += 1;
                if let Some(attempt) = self.attempt.take() {
                    self.lease.confirm(attempt.started);
                }
                false
            }
            Outcome::Conflict => {
                self.version = None;
                self.attempt = None;
                // A lease that was never held is only read again.
                self.lease.valid_until().is_some()
            }
            _ => false,
        }
    }
}

fn millis(time: Duration) -> u64 {
    // Rounded up, so that nobody counts less.
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
