//! The operator's configuration, in the form that the decisions use.

use std::{collections::HashMap, rc::Rc, time::Duration};

use rand::Rng;

/// One version of the operator's configuration. Version numbers only increase.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number.
    pub version: u64,
    /// Routes by host.
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Rc<Service>>,
    /// Workspaces by name.
    pub workspaces: HashMap<String, Rc<Workspace>>,
    /// Workspace names by API key.
    pub keys: HashMap<String, String>,
    /// Limits on connections and requests of callers.
    pub limits: CallerLimits,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving the head of a request.
    pub head: Duration,
    /// Longest time for which a connection may stay open between requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known: those of the product's own interface.
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
    /// Path prefix of the route. Begins and ends with a slash.
    pub prefix: String,
    /// Kind of the requests, which determines whether they may be retried.
    pub kind: RouteKind,
    /// Services among which the requests are split by weight.
    pub targets: Vec<Target>,
    /// Longest time that a request may take from its arrival to the end of its answer.
    pub time_limit: Duration,
    /// Service goal for the time to the first byte of the answer.
    pub first_byte_goal: Duration,
    /// Service goal for the longest time between two events of a stream.
    pub pause_goal: Duration,
    /// Time without an event, also before the first one, after which callers abandon a stream.
    pub stream_idle_timeout: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of upstreams that may run one request.
    pub max_upstreams: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Whether another upstream may continue a stream.
    pub is_resumable: bool,
    /// Regions to whose upstreams requests are sent; all if empty.
    pub home_regions: Vec<String>,
}

/// Kind of the requests of a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is an event stream. A request may run at most once, unless the route is
    /// resumable.
    Stream,
}

/// A service that gets a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets.
    pub weight: f64,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one upstream, from all its clients together.
    pub max_connections: u32,
    /// Properties of its model engines; none for services without model engines.
    pub engine: Option<Engine>,
    /// What its upstreams tolerate while they are cold; none if they need no care.
    pub cold: Option<ColdStart>,
}

/// What upstreams of a service tolerate after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream stays cold after a start.
    pub time: Duration,
    /// Requests a second that a cold upstream tolerates from all instances together.
    pub per_s: f64,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's KV memory in tokens.
    pub kv_tokens: u64,
    /// Memory of an engine for weights of models and adapters, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters that an engine holds.
    pub adapter_slots: u32,
    /// Rate limit of loads from the weight store, per second over all engines.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<String, Rc<Model>>,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory for the weights, in MB.
    pub weights_mb: f64,
    /// Memory for each adapter, in MB.
    pub adapter_mb: f64,
    /// Number of adapters that exist for the model.
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
    /// Priority of its requests, which overrides that of the route.
    pub rank: Option<u8>,
    /// Allowance; none if the workspace is unlimited.
    pub allowance: Option<Allowance>,
    /// Regions to whose upstreams its requests are sent; all if empty.
    pub home_regions: Vec<String>,
}

/// Rate limit of a workspace, as a token bucket over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Refill rate in units per second.
    pub per_s: f64,
    /// Capacity of the bucket in units.
    pub burst: f64,
    /// How many units a request costs.
    pub unit: Unit,
}

/// Unit of an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs one unit.
    Requests,
    /// Each request costs one unit per declared token.
    Tokens {
        /// Cost of a request that declares no tokens.
        plain: u64,
    },
}

impl Allowance {
    /// Cost in units of a request that declares `tokens` tokens, if any.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

impl Config {
    /// Route of a request: the one of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// The shortest goal for pauses of the routes to a service; none if no route has one.
    pub fn pause_goal(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let routes = routes.filter(|r| r.targets.iter().any(|t| t.service == service));
        routes.map(|r| r.pause_goal).filter(|g| !g.is_zero()).min()
    }

    /// Workspace to which an API key belongs.
    pub fn workspace_of(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.workspaces.get(self.keys.get(key)?)
    }
}

impl Route {
    /// Chooses the service of one request at random by the weights of the targets; none if there
    /// are no targets.
    pub fn draw_service<R>(&self, rng: &mut R) -> Option<&str>
    where
        R: Rng + ?Sized,
    {
        use rand::RngExt;

        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = rng.random::<f64>() * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| t.service.as_str())
    }

    /// Whether one request may run more than once.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}
