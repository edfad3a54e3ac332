//! The platform's list of live and leaving instances. The list may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Daemons of this system, such as a gate or a planner.
    Entry,
    /// An upstream.
    Upstream,
}

/// State of an instance as the platform sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop; receives no new work.
    Leaving,
}

/// An instance, as the list describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InstanceInfo {
    /// Name of the instance; for an upstream, its name in the catalog.
    pub name: String,
    /// What runs on it.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Whether it is in service or about to stop.
    pub state: InstanceState,
    /// Peer address of its gate.
    #[serde(default)]
    pub gate: Option<SocketAddr>,
    /// Peer address of its planner.
    #[serde(default)]
    pub planner: Option<SocketAddr>,
}

/// Body of the response that holds the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<InstanceInfo>,
}

/// Why the list could not be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("list of instances at {addr} cannot be read: {reason}"))]
pub struct InstancesError {
    addr: SocketAddr,
    reason: String,
}

/// Client of the platform's list of instances.
#[derive(Clone)]
pub struct InstanceListClient {
    http: awc::Client,
    addr: SocketAddr,
}

impl InstanceListClient {
    /// Creates a client for the list at `addr`.
    pub fn new(http: awc::Client, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Reads the current list. Fails on any status other than success.
    pub async fn read(&self) -> Result<InstanceList, InstancesError> {
        let url = format!("http://{}/v1/instances", self.addr);
        let mut res = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|e| self.read_error(&e))?;
        if !res.status().is_success() {
            return Err(self.read_error(&res.status()));
        }
        res.json::<InstanceList>()
            .await
            .map_err(|e| self.read_error(&e))
    }

    fn read_error<E>(&self, e: &E) -> InstancesError
    where
        E: ToString,
    {
        InstancesError {
            addr: self.addr,
            reason: e.to_string(),
        }
    }
}
