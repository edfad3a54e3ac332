//! What gates are told of a cell.

use std::time::Duration;

/// A replica that serves requests or will.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Name of the upstream.
    pub upstream: String,
    /// Served name of the artifact.
    pub artifact: String,
    /// Whether it serves requests now.
    pub ready: bool,
    /// Estimated time until it is ready.
    pub ready_in: Duration,
}

/// Load of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: String,
    /// Requests running there.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Age of the figures.
    pub age: Duration,
    /// Whether it has reported lately.
    pub reachable: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// An artifact that cannot be served before this time has passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Served name of the artifact.
    pub artifact: String,
    /// Estimated time until it can be served.
    pub ready_in: Duration,
    /// Why it takes so long.
    pub reason: String,
}

/// What gates are told of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Replicas on upstreams that take new work.
    pub replicas: Vec<Replica>,
    /// All upstreams of the cell.
    pub loads: Vec<UpstreamLoad>,
    /// Artifacts that are wanted and cannot be served in time.
    pub refusals: Vec<Refusal>,
}
