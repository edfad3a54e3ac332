//! This gate's view of the placement: which upstream serves which artifact, and its load.

use std::time::{Duration, Instant};

mod cell;
mod exchange;
mod holder;
mod listed_instances;
mod peer_view;
mod usage;
mod waiting;

pub use self::{
    peer_view::{PeerView, PeerViewConfig, WaitingRequest},
    usage::ArtifactUse,
};

/// A replica that is ready or is being loaded.
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
    /// Time at which the load figures were taken.
    pub load_at: Instant,
}

/// The placement as the request path sees it.
pub trait PlacementView: Clone + 'static {
    /// Replicas of an artifact on upstreams that accept new requests.
    fn replicas(&self, served_name: &str) -> Vec<ReplicaView>;

    /// Estimated time until the artifact can be served; zero if a replica is ready, `None` if there
    /// is no estimate.
    fn ready_in(&self, served_name: &str) -> Option<Duration>;

    /// Whether an upstream accepts no new requests, according to the platform or the operator.
    fn is_leaving(&self, upstream: &str) -> bool;

    /// Counts a request as waiting for an artifact until the returned value is dropped.
    fn wait_for(&self, served_name: &str, workspace: &str, deadline: Instant) -> Self::Waiting;

    /// Handle of a waiting request.
    type Waiting: 'static;

    /// Counts a request as running on an artifact until the returned value is dropped, so that the
    /// artifact does not count as idle.
    fn begin_use(&self, _served_name: &str) -> ArtifactUse {
        ArtifactUse::default()
    }

    /// Completes at the next change of the view.
    async fn changed(&self);
}
