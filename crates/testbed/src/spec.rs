//! Specification of a cluster.

use std::{
    env,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use comfreyweir_config::{
    catalog::{Adapter, Catalog, Key, Model, Route, Workspace},
    keys,
    settings::{GateTiming, PlannerTiming, RequestLimits},
};
use comfreyweir_standins::{engine, kv, weights};

/// Placeholder for an address that the cluster replaces by one of its block.
const PLACEHOLDER_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Paths of the programs that a cluster starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The gate.
    pub gate: PathBuf,
    /// The planner.
    pub planner: PathBuf,
    /// The stand-ins.
    pub standins: PathBuf,
}

impl Programs {
    /// The programs under their usual names in a folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            gate: folder.join("comfreyweir-gate"),
            planner: folder.join("comfreyweir-planner"),
            standins: folder.join("comfreyweir-standins"),
        }
    }

    /// The programs in the folder of the running executable.
    pub fn beside_current_exe() -> Self {
        let current_exe = env::current_exe().unwrap_or_default();
        Self::in_folder(current_exe.parent().unwrap_or(Path::new(".")))
    }
}

/// An engine of a cluster.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Availability zone.
    pub zone: String,
    /// Cell that the engine belongs to.
    pub cell: String,
    /// Settings of the engine; the cluster sets the addresses.
    pub settings: engine::Settings,
}

impl EngineSpec {
    /// An engine with short default times that checks fencing tokens and memory.
    pub fn new(name: &str, zone: &str, memory_mb: u64) -> Self {
        let settings = engine::Settings {
            name: name.to_owned(),
            listen: PLACEHOLDER_ADDR,
            control: None,
            memory_mb,
            slots: 8,
            queue: 64,
            checks_fencing: true,
            checks_memory: true,
            checkpoints: std::collections::BTreeMap::new(),
            memory_checkpoints: 4,
            times: engine::Times::default(),
            output_tokens: 16,
            cache_blocks: 4_096,
            cache_event_gap: 0,
            record: true,
        };
        Self {
            zone: zone.to_owned(),
            cell: "main".to_owned(),
            settings,
        }
    }
}

/// A plain service of a cluster.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// Processes, stand-ins and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Availability zones; instances are spread over them round-robin.
    pub zones: Vec<String>,
    /// Number of instances with a gate.
    pub gates: usize,
    /// Number of instances with a planner, counted from the first.
    pub planners: usize,
    /// Engines of the cluster.
    pub engines: Vec<EngineSpec>,
    /// Plain services of the cluster.
    pub services: Vec<ServiceSpec>,
    /// Catalog without the upstreams, which the cluster adds.
    pub catalog: Catalog,
    /// Request limits of the gates.
    pub limits: RequestLimits,
    /// Intervals and time limits of the gates.
    pub gate_timing: GateTiming,
    /// Intervals and time limits of the planners.
    pub planner_timing: PlannerTiming,
    /// Settings of the weight store that all engines share.
    pub weights: weights::Settings,
    /// Initial faults and limits of the key-value service.
    pub kv_faults: kv::Faults,
    /// Delay after which a change of the list of instances can be read, in ms.
    pub list_lag_ms: u64,
    /// Whether every link goes through a fault proxy.
    pub proxied: bool,
}

impl ClusterSpec {
    /// Instances in three zones, each with a gate and a planner, and intervals short enough for a
    /// test to take seconds.
    pub fn new(instances: usize) -> Self {
        Self {
            zones: ["zone-a", "zone-b", "zone-c"].map(str::to_owned).into(),
            gates: instances,
            planners: instances,
            engines: Vec::new(),
            services: Vec::new(),
            catalog: Catalog::default(),
            limits: RequestLimits {
                deadline_ms: 10_000,
                ..RequestLimits::default()
            },
            gate_timing: GateTiming {
                contact_ms: 100,
                cut_off_ms: 1_500,
                stop_notice_ms: 200,
                ..GateTiming::default()
            },
            planner_timing: PlannerTiming {
                lease_ms: 1_000,
                margin_ms: 300,
                report_ms: 50,
                ..PlannerTiming::default()
            },
            weights: weights::Settings {
                loads_per_second: 20.0,
                ..weights::Settings::default()
            },
            kv_faults: kv::Faults::default(),
            list_lag_ms: 0,
            proxied: false,
        }
    }

    /// Sends every link through a fault proxy.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Zone of the instance with this index.
    pub fn zone(&self, instance: usize) -> &str {
        &self.zones[instance % self.zones.len()]
    }

    /// Adds engines named `engine-0` and so on, spread over the zones round-robin.
    #[must_use]
    pub fn engines(mut self, number: usize, memory_mb: u64) -> Self {
        for _ in 0..number {
            let index = self.engines.len();
            let engine = EngineSpec::new(&format!("engine-{index}"), self.zone(index), memory_mb);
            self.engines.push(engine);
        }
        self
    }

    /// Adds a plain service; services are spread over the zones round-robin.
    #[must_use]
    pub fn service(mut self, name: &str) -> Self {
        self.services.push(ServiceSpec {
            name: name.to_owned(),
            zone: self.zone(self.services.len()).to_owned(),
        });
        self
    }

    /// Adds version 1 of a model that all workspaces may use.
    #[must_use]
    pub fn model(mut self, name: &str, memory_mb: u64, replicas: u32) -> Self {
        let model = Model {
            version: "1".to_owned(),
            memory_mb,
            replicas,
            max_output_tokens: 64,
            bytes_per_token: 4,
            workspaces: Vec::new(),
        };
        self.catalog.models.insert(name.to_owned(), model);
        self
    }

    /// Adds version 1 of an adapter that all workspaces may use.
    #[must_use]
    pub fn adapter(mut self, name: &str, model: &str, memory_mb: u64) -> Self {
        let adapter = Adapter {
            model: model.to_owned(),
            version: "1".to_owned(),
            memory_mb,
            workspaces: Vec::new(),
        };
        self.catalog.adapters.insert(name.to_owned(), adapter);
        self
    }

    /// Adds a workspace with one key, given by [`Self::key_of`]. `rate` is in tokens per second,
    /// `burst` in tokens.
    #[must_use]
    pub fn workspace(mut self, name: &str, rate: u64, burst: u64) -> Self {
        let workspace = Workspace {
            rate,
            burst,
            weight: 1,
        };
        self.catalog.workspaces.insert(name.to_owned(), workspace);
        let key = Key {
            workspace: name.to_owned(),
            sha256: keys::hex(&keys::hash(&Self::key_of(name))),
            withdrawn: false,
        };
        self.catalog.keys.insert(format!("key-{name}"), key);
        self
    }

    /// Key of a workspace that [`Self::workspace`] added: `cw-` and the workspace's name.
    pub fn key_of(workspace: &str) -> String {
        format!("cw-{workspace}")
    }

    /// Adds a route from a path prefix to plain services. The route's name is the prefix with its
    /// inner slashes replaced by hyphens.
    #[must_use]
    pub fn route(mut self, prefix: &str, services: &[&str], repeatable: bool) -> Self {
        let route = Route {
            prefix: prefix.to_owned(),
            upstreams: services.iter().map(|name| (*name).to_owned()).collect(),
            repeatable,
            open: false,
            workspaces: Vec::new(),
            cost: 0,
        };
        let name = prefix.trim_matches('/').replace('/', "-");
        self.catalog.routes.insert(name, route);
        self
    }
}
