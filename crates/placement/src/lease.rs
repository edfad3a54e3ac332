//! The lease of a cell, and when a successor may take over.
//!
//! The holder counts its lease from the start of the write that renewed it; a successor counts
//! from the end of the read that first showed the renewal. The successor's wait therefore ends
//! later on any pair of monotonic clocks that run at the same rate; the margin covers clocks that
//! do not.

use std::time::{Duration, Instant};

use crate::record::CellRecord;

/// Periods of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time that the holder may decide after the start of its last confirmed renewal.
    pub lease: Duration,
    /// Margin between a lapsed lease and its successor; the holder stops this much earlier.
    pub margin: Duration,
}

impl LeaseTimes {
    /// When a holder stops to order at upstreams that ignore fencing.
    pub fn order_until(&self, renewed: Instant) -> Instant {
        renewed + self.lease.saturating_sub(self.margin)
    }

    /// Period of renewals.
    pub fn renew_every(&self) -> Duration {
        self.lease / 3
    }
}

/// What a standby knows of the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sighting {
    version: u64,
    first_seen: Instant,
}

/// Decides for a standby when it may take over.
#[derive(Clone, Debug, Default)]
pub struct Standby {
    sighting: Option<Sighting>,
}

impl Standby {
    /// Notes a read of the record that ended at `now`, and tells whether the cell may be taken
    /// over. `own_address` is the address that this process listens on: its earlier holder
    /// has ended.
    pub fn may_take_over(
        &mut self,
        version: u64,
        record: Option<&CellRecord>,
        own_address: std::net::SocketAddr,
        times: LeaseTimes,
        now: Instant,
    ) -> bool {
        let Some(record) = record else {
            return true;
        };
        if record.released || record.address == Some(own_address) {
            return true;
        }
        match self.sighting {
            Some(seen) if seen.version == version => {
                now.duration_since(seen.first_seen) >= times.lease + times.margin
            }
            _ => {
                self.sighting = Some(Sighting {
                    version,
                    first_seen: now,
                });
                false
            }
        }
    }
}
