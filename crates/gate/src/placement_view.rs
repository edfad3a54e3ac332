//! What this gate knows of placement: which upstream serves what, and how loaded it is.

use std::time::{Duration, Instant};

mod cell;
mod exchange;
mod holder;
mod leaving;
mod peer_view;
mod usage;
mod waiting;

pub use self::{
    peer_view::{PeerView, PlacementPeers, WaitingRequest},
    usage::InUse,
};

/// A replica that can serve requests, or will.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaView {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether it serves requests now.
    pub ready: bool,
    /// Estimated time until it is ready; zero when it is.
    pub ready_in: Duration,
    /// Requests that run there, as last reported.
    pub running: u32,
    /// Requests that wait there, as last reported.
    pub waiting: u32,
    /// When the load figures were true.
    pub load_at: Instant,
}

/// What the request path asks of the placement.
pub trait PlacementView: Clone + 'static {
    /// Replicas of an artifact on upstreams that take new work.
    fn replicas(&self, served_name: &str) -> Vec<ReplicaView>;

    /// Estimated time until the artifact can be served, if a planner has said so.
    fn ready_in(&self, served_name: &str) -> Option<Duration>;

    /// Whether an upstream takes no new work, according to the platform or the operator.
    fn is_leaving(&self, upstream: &str) -> bool;

    /// Notes that a request waits for an artifact, until the returned value is dropped.
    fn wait_for(&self, served_name: &str, workspace: &str, deadline: Instant) -> Self::Waiting;

    /// A request that waits.
    type Waiting: 'static;

    /// Notes that a request runs on an artifact until the returned value is dropped, so that the
    /// artifact does not count as idle.
    fn begin_use(&self, _served_name: &str) -> InUse {
        InUse::default()
    }

    /// Completes when the view has changed since the last call.
    async fn changed(&self);
}
