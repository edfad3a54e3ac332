//! Types of the operator configuration.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// The whole operator configuration at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Catalog {
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Adapters by name. Callers use the name of an adapter as a model name.
    pub adapters: BTreeMap<String, Adapter>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Keys by identifier. The identifier is public, the key itself is never stored.
    pub keys: BTreeMap<String, Key>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Routes to plain services by name.
    pub routes: BTreeMap<String, Route>,
}

/// A model that engines can load.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that serves requests.
    pub version: String,
    /// Memory that one replica occupies on an engine, in MB.
    pub memory_mb: u64,
    /// Maximum number of replicas.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Maximum number of output tokens of one request, and the limit of a request that sets none.
    #[serde(default = "default_output_tokens")]
    pub max_output_tokens: u32,
    /// Bytes of prompt that are counted as one token when a request is charged in advance.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: u32,
    /// Workspaces that may use the model. Empty means all.
    #[serde(default)]
    pub workspaces: Vec<String>,
}

/// An adapter that engines load in addition to a replica of its model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the model it extends.
    pub model: String,
    /// Version that serves requests.
    pub version: String,
    /// Memory that it occupies in addition to its model, in MB.
    pub memory_mb: u64,
    /// Workspaces that may use the adapter. Empty means all.
    #[serde(default)]
    pub workspaces: Vec<String>,
}

/// A tenant and its token allowance.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Tokens per second, summed over all instances.
    pub rate: u64,
    /// Tokens that may be used at once, summed over all instances.
    pub burst: u64,
    /// Weight in fair queuing, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A caller's key, stored as a hash.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Workspace that the key authenticates.
    pub workspace: String,
    /// SHA-256 of the key in lower-case hexadecimal.
    pub sha256: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A server that requests are sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Whether it is a model engine or a plain service.
    pub kind: UpstreamKind,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Cell of upstreams whose placement one planner decides.
    #[serde(default = "default_cell")]
    pub cell: String,
    /// Memory of an engine, in MB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Maximum number of requests that an engine runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engine refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the operator has taken it out of service.
    #[serde(default)]
    pub draining: bool,
}

/// A route from a path prefix to plain services.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, for example `/orders`.
    pub prefix: String,
    /// Names of the upstreams that serve the route.
    pub upstreams: Vec<String>,
    /// Whether a call may be sent again after a failure (idempotent calls).
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// Workspaces that may use the route. Empty means all.
    #[serde(default)]
    pub workspaces: Vec<String>,
    /// Tokens that one call takes from the allowance of its workspace.
    #[serde(default)]
    pub cost: u64,
}

pub(crate) fn default_replicas() -> u32 {
    1
}

pub(crate) fn default_output_tokens() -> u32 {
    256
}

pub(crate) fn default_bytes_per_token() -> u32 {
    4
}

pub(crate) fn default_weight() -> u32 {
    1
}

pub(crate) fn default_cell() -> String {
    "main".to_owned()
}

pub(crate) fn default_slots() -> u32 {
    8
}
