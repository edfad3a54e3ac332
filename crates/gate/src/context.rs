//! State shared by all requests of a gate.

use std::rc::Rc;

use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::GateSettings;
use comfreyweir_external::{kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_store::Follower;

use crate::{
    metrics::Metrics,
    queue::Queues,
    services::{balancer::UpstreamBalancer, claims::Claims},
    shutdown::ShutdownState,
    status::StatusPage,
    upstream::UpstreamClient,
};

/// Client of the key-value service that counts its calls.
pub type GateKv = CountedKv<HttpKv>;

/// State shared by all requests of a gate, with allowances `A` and placement view `V`.
pub struct GateContext<A, V> {
    /// Settings of the process.
    pub settings: GateSettings,
    /// Follower of the configuration; holds the revision in force.
    pub follower: Follower,
    /// Allowances of the workspaces.
    pub allowances: A,
    /// Which upstream serves which artifact.
    pub view: V,
    /// Connections to upstreams.
    pub upstreams: UpstreamClient,
    /// Requests that wait for a replica.
    pub(crate) queues: Queues,
    /// Claims of idempotency keys.
    pub claims: Claims<GateKv, SystemClock>,
    /// Load counts of the upstreams of plain services, for load balancing.
    pub balancer: UpstreamBalancer,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Status page of the admin port.
    pub status: StatusPage,
    /// Requests in flight, and the phase of a stop.
    pub stopping: Rc<ShutdownState>,
}
