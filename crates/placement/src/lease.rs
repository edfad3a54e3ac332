//! Timing of a cell's lease, and the rule for when a standby may take over.
//!
//! The holder counts its lease from the start of the write that renewed it; a successor counts
//! from the end of the read that first showed the renewal. The successor's wait therefore ends
//! after the lease for any two monotonic clocks that run at the same rate; the margin covers
//! differences in rate.

use std::time::{Duration, Instant};

use crate::record::CellRecord;

/// Duration and safety margin of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Duration of the lease, counted from the start of the last confirmed renewal.
    pub lease: Duration,
    /// Safety margin: the holder stops this long before its lease expires, and a standby waits
    /// this long after.
    pub margin: Duration,
}

impl LeaseTimes {
    /// When the holder must stop deciding, and sending orders to upstreams that do not check
    /// fencing.
    pub fn ordering_deadline(&self, renewed_at: Instant) -> Instant {
        renewed_at + self.lease.saturating_sub(self.margin)
    }

    /// Time from one renewal to the next.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// Version of the record that a standby last read, and when it first read it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ObservedVersion {
    version: u64,
    first_seen: Instant,
}

/// Tracks the record for a standby and decides when it may take over.
#[derive(Clone, Debug, Default)]
pub struct Standby {
    observed: Option<ObservedVersion>,
}

impl Standby {
    /// Records a read of the cell record that ended at `now`, and returns whether the cell may be
    /// taken over. `own_address` is the address that this process listens on: a record with that
    /// address is from an earlier process, which has ended, so there is no lease to wait for.
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
        match self.observed {
            Some(seen) if seen.version == version => {
                now.duration_since(seen.first_seen) >= times.lease + times.margin
            }
            _ => {
                self.observed = Some(ObservedVersion {
                    version,
                    first_seen: now,
                });
                false
            }
        }
    }
}
