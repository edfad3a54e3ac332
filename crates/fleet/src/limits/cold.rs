//! Until when a process of an upstream counts as cold, and how much it may get meanwhile.
//!
//! What is known of one process only puts its end off: an entry in the list may be as old as its last
//! heartbeat, and an answer may overtake another one. Each statement gives the time left when it was
//! made, so that counting from when it was read ends no earlier than the process is warm.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::rate;
use crate::{directory::UpstreamProcess, upstream::Upstream};

/// Longest time for which one statement makes an upstream count as cold.
pub const MAX_COLD_TIME: Duration = Duration::from_mins(10);

/// Time for which a permit for a cold upstream is valid. With [`COLD_MAX_ADVANCE`] and [`COLD_BURST`],
/// it bounds what one second can bring: permits of 1.4 s are used in it, 1.5 times the rate and one.
const COLD_PERMIT_TTL: Duration = Duration::from_millis(300);
/// Time until the bucket has room, up to which a permit for a cold upstream is given.
const COLD_MAX_ADVANCE: Duration = Duration::from_millis(100);
/// Requests that the bucket of a cold upstream holds beside the refill of [`COLD_BURST_TIME`].
const COLD_BURST: f64 = 1.0;
/// Time whose refill the bucket of a cold upstream holds.
const COLD_BURST_TIME: Duration = Duration::from_millis(100);
/// Fraction of a cold upstream's rate that instances without a holder use together.
const COLD_TURN_FRACTION: f64 = 0.5;
/// Number of instances up to which they send to a cold upstream without a holder. Turns of instances
/// that lost the holder at different times may coincide: each adds a request to one second, and the
/// bound leaves room for three beside what the holder gives.
const MAX_COLD_TURN_INSTANCES: u32 = 3;

/// Time for which a permit is valid.
const PERMIT_TTL: Duration = Duration::from_millis(500);
/// Time until the bucket has room for a request, up to which a permit is given that is valid from then
/// on.
const MAX_ADVANCE: Duration = Duration::from_millis(300);
/// Requests that a bucket holds beside the refill of [`BURST_TIME`].
const BURST: f64 = 2.0;
/// Time whose refill a bucket holds.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Level from which a permit is given to a request that other upstreams can run too.
const SPARE_LEVEL: f64 = 2.0;

/// That a process is cold. Times are since boot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second that it tolerates from all instances together.
    pub per_s: f64,
    /// Until when it counts as cold.
    pub until: Duration,
}

impl Cold {
    /// What holds of two statements of one process.
    fn combine(self, other: Self) -> Self {
        Self {
            per_s: self.per_s.min(other.per_s),
            until: self.until.max(other.until),
        }
    }

    pub(super) fn combine_any(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) => Some(a.combine(b)),
            (a, b) => a.or(b),
        }
    }

    pub(super) fn told(self, now: Duration) -> ToldCold {
        ToldCold {
            per_s: self.per_s,
            left: self.until.saturating_sub(now),
        }
    }
}

/// What one instance tells another of a cold process.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ToldCold {
    /// Requests a second that it tolerates from all instances together.
    pub per_s: f64,
    /// Time for which it still counts as cold.
    pub left: Duration,
}

impl ToldCold {
    pub(super) fn cold(self, now: Duration) -> Cold {
        Cold {
            per_s: self.per_s,
            until: now + self.left.min(MAX_COLD_TIME),
        }
    }
}

/// Cold processes.
#[derive(Debug, Default)]
pub(super) struct ColdProcesses {
    by_process: HashMap<UpstreamProcess, Cold>,
}

impl ColdProcesses {
    pub(super) fn get(&self, process: &UpstreamProcess, now: Duration) -> Option<Cold> {
        let cold = self.by_process.get(process).copied();
        cold.filter(|cold| now < cold.until)
    }

    /// Records that a process is cold. A later end holds, and the rate that was named last.
    pub(super) fn record(&mut self, process: &UpstreamProcess, cold: Cold, now: Duration) {
        if now >= cold.until {
            return;
        }
        match self.by_process.get_mut(process) {
            Some(known) => {
                known.until = known.until.max(cold.until);
                known.per_s = cold.per_s;
            }
            None => {
                self.by_process.insert(process.clone(), cold);
            }
        }
    }

    /// Removes processes that are no longer cold.
    pub(super) fn forget_old(&mut self, now: Duration) {
        self.by_process.retain(|_, cold| now < cold.until);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_process.is_empty()
    }

    pub(super) fn iter(&self, now: Duration) -> impl Iterator<Item = (&UpstreamProcess, Cold)> {
        let cold = self.by_process.iter().map(|(p, cold)| (p, *cold));
        cold.filter(move |(_, cold)| now < cold.until)
    }
}

/// Zones whose upstreams may be cold though their entries do not say so.
#[derive(Debug, Default)]
pub(super) struct PresumedZones {
    until: HashMap<String, Duration>,
}

impl PresumedZones {
    pub(super) fn presume(&mut self, zone: &str, until: Duration, now: Duration) {
        self.until.retain(|_, until| now < *until);
        let end = self.until.entry(zone.to_owned()).or_default();
        *end = until.max(*end);
    }

    /// Until when a listed upstream counts as cold: for as long as its entry, which was read at `read_at`
    /// or before, says so, or its zone is presumed to be cold.
    pub(super) fn end(&self, upstream: &Upstream, read_at: Duration) -> Duration {
        let listed = if upstream.cold_for.is_zero() {
            Duration::ZERO
        } else {
            read_at + upstream.cold_for.min(MAX_COLD_TIME)
        };
        let presumed = self.until.get(&upstream.zone).copied();
        listed.max(presumed.unwrap_or_default())
    }
}

/// The limit that takes effect for a process: the lower of the one that it names and of the rate that
/// it tolerates while it is cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct EffectiveLimit {
    limit: f64,
    is_cold: bool,
}

impl EffectiveLimit {
    /// None if nothing limits the process.
    pub(super) fn of(named: Option<f64>, cold: Option<Cold>) -> Option<Self> {
        let cold_rate = cold.map(|cold| cold.per_s);
        let limit = [named, cold_rate].into_iter().flatten().reduce(f64::min)?;
        Some(Self {
            limit,
            is_cold: cold.is_some(),
        })
    }

    /// Requests a second that all instances may send together.
    pub(super) fn rate(self) -> f64 {
        rate(self.limit)
    }

    /// Rate at which instances send without a holder, in requests a second of all together; none if
    /// they may not.
    pub(super) fn turn_rate(self, instances: u32, has_had_holder: bool) -> Option<f64> {
        if !self.is_cold {
            return Some(self.rate());
        }
        // An instance that no holder has answered yet may know too few of the others.
        let is_safe = has_had_holder && instances <= MAX_COLD_TURN_INSTANCES;
        is_safe.then_some(self.rate() * COLD_TURN_FRACTION)
    }

    /// Requests that a bucket holds.
    pub(super) fn capacity(self) -> f64 {
        let (burst, time) = if self.is_cold {
            (COLD_BURST, COLD_BURST_TIME)
        } else {
            (BURST, BURST_TIME)
        };
        burst + self.rate() * time.as_secs_f64()
    }

    /// Level from which a permit is given to a request that other upstreams can run too.
    pub(super) fn spare_level(self) -> f64 {
        if self.is_cold {
            self.capacity()
        } else {
            SPARE_LEVEL
        }
    }

    /// Time until the bucket has room, up to which a permit is given.
    pub(super) fn max_advance(self) -> Duration {
        if self.is_cold {
            COLD_MAX_ADVANCE
        } else {
            MAX_ADVANCE
        }
    }

    /// Time for which a permit is valid.
    pub(super) fn permit_ttl(self) -> Duration {
        if self.is_cold {
            COLD_PERMIT_TTL
        } else {
            PERMIT_TTL
        }
    }
}
