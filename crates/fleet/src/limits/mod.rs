//! Limits that upstreams in need name in their answers: how many requests a second they take from all
//! instances together.
//!
//! Whole requests are shared out, since a limit is often less than one request a second for each
//! instance. The holder of the planning duty keeps a bucket for each limited upstream and gives
//! permits from it, one for each request that an instance asks for. A permit counts as used when it
//! is given, so that none is spent twice, whatever is lost, cut off or restarted.
//!
//! The rate that an upstream tolerates while it is cold is a limit of the same kind, which holds over
//! each second.
//!
//! An instance without a holder sends one request when it is its turn among all instances; the holder
//! gives out so much less for each instance that does not report.

mod cold;
mod holder;
mod instance;
mod statements;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    cold::{Cold, MAX_COLD_TIME, ToldCold},
    holder::PermitLedger,
    instance::{InstanceLimits, Room, Ticket},
    statements::{LimitChange, NamedLimit, ToldLimit},
};
use crate::directory::UpstreamProcess;

/// Lowest rate, in requests a second, at which something is sent. Without an answer now and then,
/// nothing would show that a limit has ended.
const MIN_RATE: f64 = 0.2;
/// The rate at which requests are sent to an upstream that has named a limit, in requests a second.
fn rate(limit: f64) -> f64 {
    limit.max(MIN_RATE)
}

/// A request of an instance for permits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAsk {
    /// The upstream.
    pub process: UpstreamProcess,
    /// Number of requests that wait for it; 0 if others could run them too, so that a permit is given
    /// only if nobody else needs it.
    pub waiting: u32,
    /// That it is cold, as the instance knows. The holder may not know it yet.
    pub cold: Option<ToldCold>,
}

/// Answer to a [`PermitAsk`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The upstream.
    pub process: UpstreamProcess,
    /// The permits: the time from which each is valid.
    pub valid_in: Vec<Duration>,
    /// Time until there is room for another request, if one was asked for in vain.
    pub room_in: Option<Duration>,
}
