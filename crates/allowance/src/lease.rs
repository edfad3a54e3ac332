//! Leases of shares: how long a gate may use its share, and when another gate may revoke it.
//!
//! A gate renews its lease by compare-and-swap on its own key. Another gate that has seen the key
//! unchanged for longer than the lease duration plus the hold time of loans and charges revokes the
//! lease by compare-and-swap on the version it saw, and only then removes the share. A renewal
//! before that makes the revocation fail. A renewal after it fails itself, which tells the gate
//! that its share was revoked.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::drift;

/// Value of a lease key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the process that holds the lease.
    pub incarnation: String,
    /// Number of the renewal, so that each renewal changes the value.
    pub renewal: u64,
    /// Whether another gate has ended the lease.
    pub revoked: bool,
    /// Lease duration of the holder, in ms. Gates may have different settings while a change of
    /// settings is rolled out.
    #[serde(default)]
    pub lapse_ms: u64,
    /// Longest time, in ms, for which tokens may still be used after the holder, or an earlier
    /// process on its address, lent or charged them.
    #[serde(default)]
    pub hold_ms: u64,
}

impl LeaseRecord {
    /// The longer of the holder's lease duration and `own`, the setting of this gate.
    pub fn lease_duration(&self, own: Duration) -> Duration {
        own.max(Duration::from_millis(self.lapse_ms))
    }

    /// The longer of the holder's hold time and `own`, the setting of this gate.
    pub fn max_token_hold(&self, own: Duration) -> Duration {
        own.max(Duration::from_millis(self.hold_ms))
    }
}

/// The lease of this gate.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    lease_duration: Duration,
    confirmed: Option<Instant>,
}

impl Lease {
    /// A lease that has not been confirmed yet.
    pub fn new(lease_duration: Duration) -> Self {
        Self {
            lease_duration,
            confirmed: None,
        }
    }

    /// Records a successful renewal whose first attempt began at `started`.
    pub fn confirm(&mut self, started: Instant) {
        self.confirmed = Some(started);
    }

    /// Start of the first attempt of the last successful renewal.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// When the share may no longer be used; `None` when it may not be used at all.
    pub fn valid_until(&self) -> Option<Instant> {
        self.confirmed
            .map(|confirmed| confirmed + self.lease_duration)
    }
}

/// Lease key of another gate: its last observed version, and since when it has not changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedLease {
    version: u64,
    unchanged_since: Instant,
}

impl ObservedLease {
    /// Records the first read of a lease key.
    pub fn new(version: u64, now: Instant) -> Self {
        Self {
            version,
            unchanged_since: now,
        }
    }

    /// Records another read of the key.
    pub fn observe(&mut self, version: u64, now: Instant) {
        if version != self.version {
            *self = Self::new(version, now);
        }
    }

    /// Version of the key at the last read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether another gate may revoke the lease: the holder has certainly stopped using its share
    /// by its own clock, and all tokens that it charged or lent before have been used or returned,
    /// which takes at most `max_token_hold` after the end of the lease.
    pub fn is_revocable(
        &self,
        lease_duration: Duration,
        max_token_hold: Duration,
        now: Instant,
    ) -> bool {
        let wait = drift::guarded(lease_duration + drift::guarded(max_token_hold));
        now.saturating_duration_since(self.unchanged_since) >= wait
    }
}
