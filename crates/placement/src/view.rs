//! The view of a cell that is published to the gates.

use std::time::Duration;

/// A replica that serves requests or will once it is loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Name of the upstream.
    pub upstream: String,
    /// Served name of the artifact.
    pub artifact: String,
    /// Whether it serves requests now.
    pub ready: bool,
    /// Estimated time until it is ready; zero if it is ready or the time is not known.
    pub ready_in: Duration,
}

/// Load of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: String,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Age of the figures.
    pub age: Duration,
    /// Whether it has reported recently; always true for upstreams that are not engines.
    pub reachable: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// An artifact that cannot be served by the deadline of some waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Served name of the artifact.
    pub artifact: String,
    /// Estimated time until it can be served.
    pub ready_in: Duration,
    /// Reason, as text for callers.
    pub reason: String,
}

/// Snapshot of a cell for the gates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Replicas on upstreams that take new work.
    pub replicas: Vec<Replica>,
    /// All upstreams of the cell.
    pub loads: Vec<UpstreamLoad>,
    /// Artifacts in demand that cannot be served in time.
    pub refusals: Vec<Refusal>,
}
