//! Enforces the allowance of each workspace across all instances.
//!
//! The holder of the planning duty sums up the usage that all instances report. It grants each
//! instance a share of every workspace's token bucket in proportion to recent demand there. An
//! instance admits requests against its grant, less what it has spent since. An instance whose
//! grant is too small for a request, while the bucket holds enough, asks for a larger grant at
//! once. In a large fleet nearly each request needs that, so an instance asks only for what it needs,
//! beside its reports. Without a fresh grant, an instance admits against an equal share of the allowance.
//!
//! A request that the bucket can cover within the time that it may wait, waits for its units. A process
//! tells the holder its most urgent waiting requests with each call, and the holder covers the waiting
//! requests of a workspace in the order of their urgency, each of them whole or not at all. While requests
//! wait, nothing is granted in advance, so that what is not used returns to the bucket with the next
//! report. A request is refused at once if the bucket cannot cover it in time, beside the more urgent
//! requests that wait.
//!
//! The allowance holds for any number of instances, whatever is cut off, killed or replaced,
//! because at any time each unit of it can be spent by one instance only:
//!
//! - The holder never grants more than the bucket holds beyond what all other instances may have
//!   spent unreported. While the answer to a report is on its way, an instance still spends its
//!   previous grant, so the larger of the two counts.
//! - A grant expires [`GRANT_TTL`] after the report that asked for it. If the instance has not
//!   reported by then, it counts as having spent the whole grant.
//! - An equal share begins empty, is used for at most [`EQUAL_SHARE_TIME`] after the last contact
//!   with a holder, and the holder reserves it for that time. Each holder tells all instances which
//!   ones are silent, so that a successor reserves the shares of instances it has never heard of.
//! - A new holder grants nothing until all instances that may hold a grant of its predecessor have
//!   reported or that grant has expired.

mod holder;
mod instance;
mod issued_grant;
mod shared_bucket;
mod waiting;
mod waiting_index;

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use self::{
    holder::{GrantAllocator, SILENT_INSTANCE_RESERVE_TIME},
    instance::{InstanceQuotas, OverQuota},
    waiting::{Claim, DESCRIBED_REQUESTS, WaitingRequest, wait_until},
};

/// Age after which an instance no longer uses a grant, and the holder no longer counts it.
pub const GRANT_TTL: Duration = Duration::from_millis(1_500);
/// Time after the last contact with a holder for which an instance admits requests against its
/// equal share. Longer than usual outages; without a limit, holders would have to reserve the
/// shares of lost instances for ever.
pub const EQUAL_SHARE_TIME: Duration = Duration::from_secs(30);

/// A token bucket. Its level, in units of the allowance, may be negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    updated_at: Instant,
}

impl Bucket {
    /// A bucket that has `level` units at the time `updated_at`.
    pub fn new(level: f64, updated_at: Instant) -> Self {
        Self { level, updated_at }
    }

    /// Refills the bucket at `per_s` units per second up to `burst`, and returns its level.
    pub fn refill(&mut self, per_s: f64, burst: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.level = (self.level + per_s * elapsed.as_secs_f64()).min(burst);
        self.updated_at = now.max(self.updated_at);
        self.level
    }

    /// Takes `amount` units, even if the level becomes negative.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}

/// Usage of one workspace's allowance by one process, counted in units since the process start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UsageTotals {
    /// Units of admitted requests.
    pub spent: f64,
    /// Units of all requests that arrived, whether admitted or refused.
    pub asked: f64,
    /// Number of these requests.
    pub requests: f64,
    /// Units of the requests that currently wait for a larger grant.
    pub awaited: f64,
    /// The most urgent of these requests, in the order of their urgency.
    pub waiting: [Option<WaitingRequest>; DESCRIBED_REQUESTS],
    /// Bucket state in the last grant that the process received.
    pub last_grant: Option<LastGrant>,
}

/// Identifies a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantId {
    /// Fencing token of the holder that issued it.
    pub fence: u64,
    /// Number of the grant in the holder's tenure; the first one is 1.
    pub number: u64,
}

/// Bucket state in the last grant that a process received. A new holder restores the shared
/// bucket from it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LastGrant {
    /// Identifier of the grant.
    pub id: GrantId,
    /// Level of the bucket shared by all instances.
    pub bucket_level: f64,
    /// Time since the process received the grant.
    pub age: Duration,
    /// The process's `spent` total that the level already accounts for.
    pub included: f64,
}

/// Share of a workspace's allowance that the holder grants to one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Identifier, by which the holder learns from a report whether the grant arrived.
    pub id: GrantId,
    /// Level of the bucket shared by all instances.
    pub bucket_level: f64,
    /// Units that the process may take now; negative while the allowance is overdrawn.
    pub level: f64,
    /// Fraction of the refill rate that the process may take, from 0 to 1.
    pub share: f64,
    /// The process's `spent` total that the level already accounts for.
    pub included: f64,
    /// Units left in the bucket that the holder can still grant on request.
    pub spare: f64,
    /// Units of more urgent requests that wait at other processes before the first one that waits at this
    /// process and is not covered by the grant.
    pub ahead: f64,
    /// Time after which the process should ask again for requests that still wait.
    pub ask_again_in: Duration,
}
