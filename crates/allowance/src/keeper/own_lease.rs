//! The lease of this gate's share.

use std::time::{Duration, Instant};

use super::{Outcome, Version};
use crate::lease::{Lease, LeaseRecord};

/// A renewal, which is tried again unchanged while its outcome is not known.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) write_id: String,
    pub(super) record: LeaseRecord,
    started: Instant,
}

pub(super) struct OwnLease {
    lease: Lease,
    renewals: u64,
    version: Option<Version>,
    attempt: Option<Attempt>,
}

impl OwnLease {
    pub(super) fn new(lapse: Duration) -> Self {
        Self {
            lease: Lease::new(lapse),
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

    /// Start of the last confirmed renewal.
    pub(super) fn confirmed(&self) -> Option<Instant> {
        self.lease.confirmed()
    }

    pub(super) fn answer_read(&mut self, outcome: &Outcome) {
        if let Outcome::Found(found) = outcome {
            self.version = Some(found.as_ref().map_or(0, |(version, _)| *version));
        }
    }

    /// The renewal to try. The lease will count from the first try.
    pub(super) fn attempt(&mut self, incarnation: &str, write_id: String, now: Instant) -> Attempt {
        let renewal = self.renewals + 1;
        let attempt = self.attempt.get_or_insert_with(|| Attempt {
            write_id,
            record: LeaseRecord {
                incarnation: incarnation.to_owned(),
                renewal,
                revoked: false,
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
