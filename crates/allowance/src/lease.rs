//! Leases of shares: how long a gate may use its share, and when another may revoke it.
//!
//! A gate renews its lease by compare-and-swap on a key of its own. Another gate that has seen
//! the key unchanged for longer than the lapse revokes the lease by compare-and-swap on the
//! version it saw, and only then removes the share. A renewal that comes first makes the
//! revocation fail; a renewal that comes later fails itself, and tells the gate that its share
//! is gone.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::drift;

/// Value of a lease key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the process that holds the lease.
    pub incarnation: String,
    /// Count of renewals, so that each of them changes the key.
    pub renewal: u64,
    /// Whether another gate has ended the lease.
    pub revoked: bool,
    /// Lapse of the holder, in ms. Settings may differ between gates while they are changed.
    #[serde(default)]
    pub lapse_ms: u64,
    /// Longest time of the holder's loans, in ms.
    #[serde(default)]
    pub hold_ms: u64,
}

impl LeaseRecord {
    /// A lapse that is at least the holder's.
    pub fn lapse(&self, own: Duration) -> Duration {
        own.max(Duration::from_millis(self.lapse_ms))
    }

    /// A hold that is at least the holder's.
    pub fn hold(&self, own: Duration) -> Duration {
        own.max(Duration::from_millis(self.hold_ms))
    }
}

/// The lease of this gate.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    lapse: Duration,
    confirmed: Option<Instant>,
}

impl Lease {
    /// A lease that has not been confirmed yet.
    pub fn new(lapse: Duration) -> Self {
        Self {
            lapse,
            confirmed: None,
        }
    }

    /// Notes a confirmed renewal whose first attempt began at `started`.
    pub fn confirm(&mut self, started: Instant) {
        self.confirmed = Some(started);
    }

    /// Start of the last confirmed renewal.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// When the share may no longer be used; `None` when it may not be used at all.
    pub fn valid_until(&self) -> Option<Instant> {
        self.confirmed.map(|confirmed| confirmed + self.lapse)
    }
}

/// What this gate has seen of the lease of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sighting {
    version: u64,
    first_seen: Instant,
}

impl Sighting {
    /// The first look at a lease key.
    pub fn new(version: u64, now: Instant) -> Self {
        Self {
            version,
            first_seen: now,
        }
    }

    /// Another look at the key.
    pub fn look(&mut self, version: u64, now: Instant) {
        if version != self.version {
            *self = Self::new(version, now);
        }
    }

    /// Version of the key that was seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the holder has surely stopped using its share by its own clock, and whatever it
    /// sent or lent before is used up: that takes at most `hold` after the lapse.
    pub fn has_lapsed(&self, lapse: Duration, hold: Duration, now: Instant) -> bool {
        let wait = drift::guarded(lapse + drift::guarded(hold));
        now.saturating_duration_since(self.first_seen) >= wait
    }
}
