//! The operator's configuration as decisions use it.

use std::{collections::HashMap, rc::Rc, time::Duration};

use rand::Rng;

/// One version of the operator's configuration. Versions only rise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Number of the version.
    pub version: u64,
    /// Routes by host.
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Rc<Service>>,
    /// Workspaces by name.
    pub workspaces: HashMap<String, Rc<Workspace>>,
    /// Name of the workspace that holds each key.
    pub keys: HashMap<String, String>,
    /// Limits of what callers may send.
    pub limits: CallerLimits,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head: Duration,
    /// Longest time that a connection may stay open between requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits before any configuration is known: those of the product's own interface.
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            head: Duration::from_secs(5),
            idle: Duration::from_secs(75),
        }
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Start of the paths that take the route. Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that share the requests, with their weights.
    pub targets: Vec<Target>,
    /// Longest time that a request may take from its arrival to the end of its answer.
    pub time_limit: Duration,
    /// Time to the first byte of the answer within which callers are served well.
    pub goal: Duration,
    /// Time without an event after which callers give a stream up, also before its first event.
    pub patience: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Upstreams that may run one request, at most.
    pub max_upstreams: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a stream may be continued at another upstream.
    pub is_resumable: bool,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a series of events. Runs at most once, unless it may be resumed.
    Stream,
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Part of the requests, relative to the other targets.
    pub weight: f64,
}

/// Upstreams that serve the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// What its model engines hold; none for plain services.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the KV memory of an engine.
    pub kv_tokens: u64,
    /// Memory of an engine for weights of models and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters that an engine holds at once.
    pub adapter_slots: u32,
    /// Loads from the weight store that may begin each second, over all engines.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<String, Rc<Model>>,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory that its weights take, in MB.
    pub weights_mb: f64,
    /// Memory that each of its adapters takes, in MB.
    pub adapter_mb: f64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from an engine's own disk.
    pub disk_load: Duration,
    /// Time of a load from an engine's own main memory.
    pub memory_load: Duration,
}

/// A workspace and its allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Urgency of its requests; goes before that of the route.
    pub rank: Option<u8>,
    /// Allowance; none if it is not limited.
    pub allowance: Option<Allowance>,
}

/// What a workspace may have, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units that flow in each second.
    pub per_s: f64,
    /// Units that can be saved up.
    pub burst: f64,
    /// What a request counts.
    pub unit: Unit,
}

/// How requests count against an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts one.
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// Tokens of a request that declares none.
        plain: u64,
    },
}

impl Allowance {
    /// What a request with `tokens` declared tokens counts.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

impl Config {
    /// Route of a request: the longest prefix of the host's routes that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.workspaces.get(self.keys.get(key)?)
    }
}

impl Route {
    /// Draws the service of one request by the weights of the targets.
    pub fn draw_service<R>(&self, rng: &mut R) -> Option<&str>
    where
        R: Rng + ?Sized,
    {
        use rand::RngExt;

        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut at = rng.random::<f64>() * total;
        for target in &self.targets {
            at -= target.weight;
            if at < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| t.service.as_str())
    }

    /// Whether one request may run more than once.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}
