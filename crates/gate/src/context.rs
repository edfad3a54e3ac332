//! What every request of a gate shares.

use std::rc::Rc;

use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::GateSettings;
use comfreyweir_external::{kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_store::Follower;

use crate::{
    metrics::Metrics,
    queue::Queues,
    services::{balance::Balance, claims::Claims},
    status::Status,
    stopping::Stopping,
    upstream::Upstreams,
};

/// Client of the key-value service.
pub type GateKv = CountedKv<HttpKv>;

/// What every request of a gate shares.
pub struct Cx<A, V> {
    /// Settings of the process.
    pub settings: GateSettings,
    /// Configuration in force.
    pub follower: Follower,
    /// Allowances of the workspaces.
    pub allowances: A,
    /// What is known of placement.
    pub view: V,
    /// Connections to upstreams.
    pub upstreams: Upstreams,
    /// Requests that wait for a replica.
    pub(crate) queues: Queues,
    /// Claims of idempotency keys.
    pub claims: Claims<GateKv, SystemClock>,
    /// Load of the upstreams of plain services.
    pub balance: Balance,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Sections of the status page.
    pub status: Status,
    /// Requests in flight, and whether the gate stops.
    pub stopping: Rc<Stopping>,
}
