//! The lease of this gate's share.

use std::time::{Duration, Instant};

use super::{Outcome, Timing, Value, Version};
use crate::lease::{Lease, LeaseRecord};

/// A renewal. It is retried unchanged while its outcome is unknown.
#[derive(Clone)]
pub(super) struct RenewalAttempt {
    pub(super) write_id: String,
    pub(super) record: LeaseRecord,
    started: Instant,
}

pub(super) struct OwnLease {
    timing: Timing,
    lease: Lease,
    /// Longest duration of loans that an earlier process on this address may have granted.
    previous_hold: Duration,
    renewals: u64,
    version: Option<Version>,
    attempt: Option<RenewalAttempt>,
}

impl OwnLease {
    pub(super) fn new(timing: Timing) -> Self {
        Self {
            timing,
            lease: Lease::new(timing.lease_duration),
            previous_hold: timing.max_token_hold,
            renewals: 0,
            version: None,
            attempt: None,
        }
    }

    /// Version of the lease key that the next renewal expects; `None` when it has to be read first.
    pub(super) fn version(&self) -> Option<Version> {
        self.version
    }

    pub(super) fn valid_until(&self) -> Option<Instant> {
        self.lease.valid_until()
    }

    /// Longest duration of loans that an earlier process on this address may have granted.
    pub(super) fn previous_hold(&self) -> Duration {
        self.previous_hold
    }

    /// Start of the last confirmed renewal.
    pub(super) fn confirmed(&self) -> Option<Instant> {
        self.lease.confirmed()
    }

    pub(super) fn handle_read(&mut self, outcome: &Outcome) {
        if let Outcome::Found(found) = outcome {
            self.version = Some(found.as_ref().map_or(0, |(version, _)| *version));
            if let Some((_, Value::Lease(previous))) = found {
                self.previous_hold = previous.max_token_hold(self.previous_hold);
            }
        }
    }

    /// The renewal to send. While the outcome of one is unknown, it is returned again and the
    /// arguments are ignored. The lease counts from the first attempt.
    pub(super) fn attempt(
        &mut self,
        incarnation: &str,
        write_id: String,
        now: Instant,
    ) -> RenewalAttempt {
        let renewal = self.renewals + 1;
        // The longest hold time of all processes on this address is kept in the record, since no
        // process knows the loans of those before it.
        let (lease_duration, max_token_hold) = (self.timing.lease_duration, self.previous_hold);
        let attempt = self.attempt.get_or_insert_with(|| RenewalAttempt {
            write_id,
            record: LeaseRecord {
                incarnation: incarnation.to_owned(),
                renewal,
                revoked: false,
                lapse_ms: millis(lease_duration),
                hold_ms: millis(max_token_hold),
            },
            started: now,
        });
        attempt.clone()
    }

    /// Handles the outcome of a renewal. Returns whether a lease that was held has been revoked.
    pub(super) fn handle_swap(&mut self, outcome: &Outcome) -> bool {
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
                // Without a confirmed renewal nothing was revoked: the key is only read again.
                self.lease.valid_until().is_some()
            }
            _ => false,
        }
    }
}

fn millis(time: Duration) -> u64 {
    // Rounded up, so that other gates never assume a shorter time.
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
