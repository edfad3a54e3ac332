//! Starting and controlling a cluster.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use awc::Client;
use comfreyweir_config::{
    catalog::{Catalog, Upstream, UpstreamKind},
    settings::{GateSettings, InstanceSettings, PlannerSettings},
};
use comfreyweir_external::{
    instances::{InstanceInfo, InstanceList, InstanceState, Role},
    kv_http::HttpKv,
};
use comfreyweir_standins::{engine, instances, kv, program, proxy, service, weights};
use rustix::process::Signal;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tempfile::TempDir;

use crate::{
    caller::Caller,
    error::{CallSnafu, EndedSnafu, FileSnafu, PublishSnafu, TestbedError, UnknownSnafu},
    layout::{Layout, Link},
    loopback_block::LoopbackBlock,
    metrics::Metrics,
    process::Process,
    spec::{ClusterSpec, Programs},
    wait::until_some,
};

/// Time limit for a started process to listen, and for a gate to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of a call to a stand-in's control address or to the key-value service.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_CONTROL_ANSWER_BYTES: usize = 256 << 20;
const PEER_SECRET: &str = "a secret of the testbed, long enough";

/// Name of the process that runs the key-value service and the lists of instances.
pub const PLATFORM: &str = "platform";
/// Name of the process that runs the engines and plain services.
pub const UPSTREAMS: &str = "upstreams";
/// Name of the process that runs the fault proxies; only in clusters with proxies.
pub const NETWORK: &str = "network";

/// A cluster of processes. Dropping it kills them and deletes the folder with settings and logs.
pub struct Cluster {
    spec: ClusterSpec,
    layout: Layout,
    processes: BTreeMap<String, Process>,
    http: Client,
    folder: TempDir,
    revision: u64,
}

impl Cluster {
    /// Starts all processes, publishes the catalog and waits until all gates are ready.
    pub async fn start(spec: ClusterSpec, programs: &Programs) -> Result<Self, TestbedError> {
        let mut cluster = Self::prepare(spec, programs)?;
        cluster.start_all().await?;
        Ok(cluster)
    }

    /// Claims addresses and writes all settings files, without starting a process.
    pub fn prepare(spec: ClusterSpec, programs: &Programs) -> Result<Self, TestbedError> {
        let folder = tempfile::tempdir().context(FileSnafu { path: "." })?;
        let mut cluster = Self {
            layout: Layout::new(LoopbackBlock::claim()?),
            processes: BTreeMap::new(),
            http: Client::builder().timeout(CONTROL_TIMEOUT).finish(),
            folder,
            revision: 0,
            spec,
        };
        let secret = cluster.folder().join("peer.secret");
        fs::write(&secret, PEER_SECRET).context(FileSnafu { path: &secret })?;
        cluster.add_process(PLATFORM, &programs.standins, &cluster.platform_settings())?;
        cluster.add_process(UPSTREAMS, &programs.standins, &cluster.upstreams_settings())?;
        if cluster.spec.proxied {
            cluster.add_process(NETWORK, &programs.standins, &cluster.network_settings())?;
        }
        for i in 0..cluster.spec.gates {
            cluster.add_process(&gate_name(i), &programs.gate, &cluster.gate_settings(i))?;
        }
        for i in 0..cluster.spec.planners {
            let settings = cluster.planner_settings(i);
            cluster.add_process(&planner_name(i), &programs.planner, &settings)?;
        }
        Ok(cluster)
    }

    /// Starts all processes of a prepared cluster, publishes the catalog and waits until all gates
    /// are ready.
    pub async fn start_all(&mut self) -> Result<(), TestbedError> {
        for name in [PLATFORM, UPSTREAMS, NETWORK] {
            if self.processes.contains_key(name) {
                self.spawn(name)?;
                self.wait_until_listening(name).await?;
            }
        }
        let catalog = self.full_catalog();
        self.publish(&catalog).await?;
        for i in 0..self.spec.planners {
            self.spawn(&planner_name(i))?;
        }
        for i in 0..self.spec.gates {
            self.spawn(&gate_name(i))?;
        }
        for i in 0..self.spec.planners {
            self.wait_until_listening(&planner_name(i)).await?;
        }
        for i in 0..self.spec.gates {
            self.wait_ready(i).await?;
        }
        Ok(())
    }

    /// The specification that the cluster was prepared from.
    pub fn spec(&self) -> &ClusterSpec {
        &self.spec
    }

    /// Addresses of the cluster's processes.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Folder with the settings and logs of all processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Adds a process, not yet started, and writes its settings file.
    fn add_process<S>(
        &mut self,
        name: &str,
        program: &Path,
        settings: &S,
    ) -> Result<(), TestbedError>
    where
        S: Serialize,
    {
        let process = Process::new(name, program, self.folder.path());
        let text = toml::to_string(settings).expect("settings are serializable");
        let path = process.config().to_owned();
        fs::write(&path, text).context(FileSnafu { path })?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    // Settings.

    fn platform_settings(&self) -> program::Settings {
        let kv = kv::Settings {
            listen: self.layout.kv(),
            control: Some(Layout::control(self.layout.kv())),
            faults: self.spec.kv_faults.clone(),
        };
        let lists = (0..self.instance_count()).map(|i| instances::Settings {
            listen: self.layout.instance_list(i),
            control: Some(Layout::control(self.layout.instance_list(i))),
            lag_ms: self.spec.list_lag_ms,
            instances: self.instance_list(i).instances,
        });
        program::Settings {
            kv: Some(kv),
            instances: lists.collect(),
            ..program::Settings::default()
        }
    }

    fn upstreams_settings(&self) -> program::Settings {
        let engines = self.spec.engines.iter().enumerate().map(|(i, spec)| {
            let listen = self.layout.engine(i);
            engine::Settings {
                listen,
                control: Some(Layout::control(listen)),
                ..spec.settings.clone()
            }
        });
        let services = self.spec.services.iter().enumerate().map(|(i, spec)| {
            let listen = self.layout.service(i);
            service::Settings {
                name: spec.name.clone(),
                listen,
                control: Some(Layout::control(listen)),
                faults: service::Faults::default(),
            }
        });
        program::Settings {
            weights: self.spec.weights,
            engine: engines.collect(),
            service: services.collect(),
            ..program::Settings::default()
        }
    }

    fn network_settings(&self) -> program::Settings {
        let proxies = self.links().into_iter().map(|link| {
            let listen = self.layout.proxy(&link);
            proxy::Settings {
                listen,
                upstream: self.layout.target(&link),
                control: Some(Layout::control(listen)),
                faults: proxy::Faults::default(),
            }
        });
        program::Settings {
            proxy: proxies.collect(),
            ..program::Settings::default()
        }
    }

    fn instance_count(&self) -> usize {
        self.spec.gates.max(self.spec.planners)
    }

    /// All links between processes of the cluster on which a proxy can run.
    pub fn links(&self) -> Vec<Link> {
        let indices = 0..self.instance_count();
        let mut links = Vec::new();
        for from in indices.clone() {
            links.push(Link::GateKv(from));
            links.push(Link::PlannerKv(from));
            for to in indices.clone().filter(|to| *to != from) {
                links.push(Link::Gate { from, to });
                links.push(Link::Planner { from, to });
            }
        }
        links.extend((0..self.spec.engines.len()).map(Link::Engine));
        links.extend((0..self.spec.services.len()).map(Link::Service));
        links
    }

    /// Address that the calling side of a link uses: the proxy's in a cluster with proxies, the
    /// target's otherwise.
    pub fn address(&self, link: &Link) -> SocketAddr {
        if self.spec.proxied {
            self.layout.proxy(link)
        } else {
            self.layout.target(link)
        }
    }

    /// The list of instances that instance `from` reads: other instances at the addresses of its
    /// links to them, then the upstreams.
    fn instance_list(&self, from: usize) -> InstanceList {
        let entries = (0..self.instance_count()).map(|to| {
            let mut gate = self.layout.gate_peer(to);
            let mut planner = self.layout.planner_peer(to);
            if to != from {
                gate = self.address(&Link::Gate { from, to });
                planner = self.address(&Link::Planner { from, to });
            }
            InstanceInfo {
                name: instance_name(to),
                role: Role::Entry,
                zone: self.spec.zone(to).to_owned(),
                state: InstanceState::Live,
                gate: (to < self.spec.gates).then_some(gate),
                planner: (to < self.spec.planners).then_some(planner),
            }
        });
        let mut instances: Vec<_> = entries.collect();
        for (name, upstream) in self.full_catalog().upstreams {
            instances.push(InstanceInfo {
                name,
                role: Role::Upstream,
                zone: upstream.zone,
                state: InstanceState::Live,
                gate: None,
                planner: None,
            });
        }
        InstanceList { instances }
    }

    /// The catalog of the specification, with the engines and services added as upstreams.
    pub fn full_catalog(&self) -> Catalog {
        let mut catalog = self.spec.catalog.clone();
        for (i, spec) in self.spec.engines.iter().enumerate() {
            let upstream = Upstream {
                kind: UpstreamKind::Engine,
                address: self.address(&Link::Engine(i)),
                zone: spec.zone.clone(),
                cell: spec.cell.clone(),
                memory_mb: spec.settings.memory_mb,
                slots: spec.settings.slots,
                checks_fencing: spec.settings.checks_fencing,
                draining: false,
            };
            catalog
                .upstreams
                .insert(spec.settings.name.clone(), upstream);
        }
        for (i, spec) in self.spec.services.iter().enumerate() {
            let upstream = Upstream {
                kind: UpstreamKind::Service,
                address: self.address(&Link::Service(i)),
                zone: spec.zone.clone(),
                cell: "main".to_owned(),
                memory_mb: 0,
                slots: 0,
                checks_fencing: false,
                draining: false,
            };
            catalog.upstreams.insert(spec.name.clone(), upstream);
        }
        catalog
    }

    fn instance_settings(&self, index: usize, kv: &Link) -> InstanceSettings {
        InstanceSettings {
            name: instance_name(index),
            zone: self.spec.zone(index).to_owned(),
            kv: self.address(kv),
            instances: self.layout.instance_list(index),
            peer_secret_file: self.folder().join("peer.secret"),
        }
    }

    fn gate_settings(&self, index: usize) -> GateSettings {
        GateSettings {
            instance: self.instance_settings(index, &Link::GateKv(index)),
            listen: self.layout.gate(index),
            admin: self.layout.gate_admin(index),
            peer: self.layout.gate_peer(index),
            planner: self.layout.planner_peer(index),
            limits: self.spec.limits.clone(),
            timing: self.spec.gate_timing.clone(),
        }
    }

    fn planner_settings(&self, index: usize) -> PlannerSettings {
        PlannerSettings {
            instance: self.instance_settings(index, &Link::PlannerKv(index)),
            admin: self.layout.planner_admin(index),
            peer: self.layout.planner_peer(index),
            timing: self.spec.planner_timing.clone(),
        }
    }

    // Processes.

    /// A process by its name: `gate-0`, `planner-0`, `platform`, `upstreams` or `network`.
    pub fn process(&self, name: &str) -> Result<&Process, TestbedError> {
        let found = self.processes.get(name);
        found.ok_or_else(|| UnknownSnafu { name }.build())
    }

    /// A process by its name, as in [`Self::process`].
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, TestbedError> {
        let found = self.processes.get_mut(name);
        found.ok_or_else(|| UnknownSnafu { name }.build())
    }

    /// Starts a process without waiting until it listens.
    pub fn spawn(&mut self, name: &str) -> Result<(), TestbedError> {
        self.process_mut(name)?.start()
    }

    /// Kills a process with SIGKILL and waits for its exit.
    pub fn kill(&mut self, name: &str) -> Result<(), TestbedError> {
        self.process_mut(name)?.kill();
        Ok(())
    }

    /// Kills a process, starts it again and waits until it listens.
    pub async fn restart(&mut self, name: &str) -> Result<(), TestbedError> {
        self.kill(name)?;
        self.spawn(name)?;
        self.wait_until_listening(name).await
    }

    /// Pauses a process with SIGSTOP, and waits until it has stopped.
    pub fn freeze(&self, name: &str) -> Result<(), TestbedError> {
        self.process(name)?.freeze()
    }

    /// Resumes a paused process with SIGCONT.
    pub fn thaw(&self, name: &str) -> Result<(), TestbedError> {
        self.process(name)?.signal(Signal::CONT)
    }

    /// Waits until a process accepts connections. Fails at once, with the end of its log, if it
    /// exits.
    pub async fn wait_until_listening(&mut self, name: &str) -> Result<(), TestbedError> {
        let addr = self.probe_addr(name)?;
        let process = self.process_mut(name)?;
        let what = format!("{name} listens on {addr}");
        let probe = async || {
            if let Some(status) = process.exit_status() {
                let log = process.log_tail();
                let status = status.to_string();
                return Some(EndedSnafu { name, status, log }.fail());
            }
            let connected = tokio::net::TcpStream::connect(addr).await;
            connected.is_ok().then_some(Ok(()))
        };
        until_some(START_TIMEOUT, &what, probe).await?
    }

    /// Address that shows whether a process listens. Stand-ins of one process open their ports in
    /// the order of its settings, so this is the control address of the last one.
    fn probe_addr(&self, name: &str) -> Result<SocketAddr, TestbedError> {
        let index = |prefix: &str| -> Option<usize> { name.strip_prefix(prefix)?.parse().ok() };
        if let Some(i) = index("gate-") {
            return Ok(self.layout.gate_admin(i));
        }
        if let Some(i) = index("planner-") {
            return Ok(self.layout.planner_peer(i));
        }
        let last_link = self.links().pop();
        match (name, last_link) {
            (PLATFORM, _) => Ok(Layout::control(
                self.layout.instance_list(self.instance_count() - 1),
            )),
            (NETWORK, Some(link)) => Ok(Layout::control(self.layout.proxy(&link))),
            (UPSTREAMS, _) => Ok(self.last_upstream_control()),
            _ => UnknownSnafu { name }.fail(),
        }
    }

    fn last_upstream_control(&self) -> SocketAddr {
        let services = self.spec.services.len();
        let engines = self.spec.engines.len();
        let last = match (services, engines) {
            (0, 0) => self.layout.kv(),
            (0, engines) => self.layout.engine(engines - 1),
            (services, _) => self.layout.service(services - 1),
        };
        Layout::control(last)
    }

    /// Waits until a gate listens and `/readyz` answers with success.
    pub async fn wait_ready(&mut self, gate: usize) -> Result<(), TestbedError> {
        self.wait_until_listening(&gate_name(gate)).await?;
        let admin = self.admin(gate);
        let what = format!("gate-{gate} is ready");
        let ready = async || {
            let answer = admin.get("/readyz").await.ok()?;
            answer.status.is_success().then_some(())
        };
        until_some(START_TIMEOUT, &what, ready).await
    }

    // Callers.

    /// A caller of a gate that sends the key of a workspace.
    pub fn caller(&self, gate: usize, workspace: &str) -> Caller {
        let key = ClusterSpec::key_of(workspace);
        Caller::new(self.layout.gate(gate), Some(&key))
    }

    /// A caller of a gate that sends no key.
    pub fn caller_without_key(&self, gate: usize) -> Caller {
        Caller::new(self.layout.gate(gate), None)
    }

    /// A caller of a gate's admin address.
    pub fn admin(&self, gate: usize) -> Caller {
        Caller::new(self.layout.gate_admin(gate), None)
    }

    /// A caller of a planner's admin address.
    pub fn planner_admin(&self, planner: usize) -> Caller {
        Caller::new(self.layout.planner_admin(planner), None)
    }

    /// Reads the metrics of a gate.
    pub async fn metrics(&self, gate: usize) -> Result<Metrics, TestbedError> {
        let answer = self.admin(gate).get("/metrics").await?;
        Ok(Metrics::parse(&String::from_utf8_lossy(&answer.body)))
    }

    // Configuration.

    /// A client that calls the key-value service directly, not through a fault proxy.
    pub fn kv(&self) -> HttpKv {
        HttpKv::new(self.http.clone(), self.layout.kv(), CONTROL_TIMEOUT)
    }

    /// Publishes a catalog and returns its revision. Fails if the current revision in the store is
    /// not the last one that this cluster published.
    pub async fn publish(&mut self, catalog: &Catalog) -> Result<u64, TestbedError> {
        let write_id = comfreyweir_store::new_write_id();
        let published =
            comfreyweir_store::publish(&self.kv(), catalog, self.revision, &write_id).await;
        match published {
            Ok(published) => {
                self.revision = published.revision;
                Ok(published.revision)
            }
            Err(e) => PublishSnafu {
                reason: e.to_string(),
            }
            .fail(),
        }
    }

    /// Sets the state of an instance or an upstream in the lists that all instances read.
    pub async fn set_state(&self, name: &str, state: InstanceState) -> Result<(), TestbedError> {
        for i in 0..self.instance_count() {
            let control = Layout::control(self.layout.instance_list(i));
            let mut list: InstanceList = self.get_json(control, "/test/instances").await?;
            for entry in list.instances.iter_mut().filter(|e| e.name == name) {
                entry.state = state;
            }
            self.post_json(control, "/test/instances", &list).await?;
        }
        Ok(())
    }

    // Stand-ins.

    /// Replaces the faults of the key-value service.
    pub async fn set_kv_faults(&self, faults: &kv::Faults) -> Result<(), TestbedError> {
        let control = Layout::control(self.layout.kv());
        self.post_json(control, "/test/faults", faults).await
    }

    /// Counts of the calls to the key-value service so far.
    pub async fn kv_counts(&self) -> Result<kv::Counts, TestbedError> {
        self.get_json(Layout::control(self.layout.kv()), "/test/counts")
            .await
    }

    /// Sets the faults of a link's proxy. Works only in a cluster with proxies.
    pub async fn set_link(&self, link: &Link, faults: &proxy::Faults) -> Result<(), TestbedError> {
        let control = Layout::control(self.layout.proxy(link));
        self.post_json(control, "/test/faults", faults).await
    }

    /// Counts of the traffic through a link's proxy so far. Works only in a cluster with proxies.
    pub async fn link_counts(&self, link: &Link) -> Result<proxy::Counts, TestbedError> {
        self.get_json(Layout::control(self.layout.proxy(link)), "/test/counts")
            .await
    }

    fn engine_control(&self, name: &str) -> Result<SocketAddr, TestbedError> {
        let mut engines = self.spec.engines.iter();
        let index = engines.position(|spec| spec.settings.name == name);
        let index = index.ok_or_else(|| UnknownSnafu { name }.build())?;
        Ok(Layout::control(self.layout.engine(index)))
    }

    fn service_control(&self, name: &str) -> Result<SocketAddr, TestbedError> {
        let index = self.spec.services.iter().position(|s| s.name == name);
        let index = index.ok_or_else(|| UnknownSnafu { name }.build())?;
        Ok(Layout::control(self.layout.service(index)))
    }

    /// Reads what an engine recorded so far.
    pub async fn engine_record(&self, name: &str) -> Result<engine::EngineRecord, TestbedError> {
        self.get_json(self.engine_control(name)?, "/test/record")
            .await
    }

    /// Reads the records of all engines, in the order of the specification.
    pub async fn engine_records(&self) -> Result<Vec<engine::EngineRecord>, TestbedError> {
        let mut records = Vec::new();
        for spec in &self.spec.engines {
            records.push(self.engine_record(&spec.settings.name).await?);
        }
        Ok(records)
    }

    /// Replaces the faults of an engine.
    pub async fn set_engine_faults(
        &self,
        name: &str,
        faults: &engine::Faults,
    ) -> Result<(), TestbedError> {
        self.post_json(self.engine_control(name)?, "/test/faults", faults)
            .await
    }

    /// Simulates the crash of an engine: its connections are closed, and everything loaded is lost.
    pub async fn crash_engine(&self, name: &str) -> Result<(), TestbedError> {
        self.post_json(self.engine_control(name)?, "/test/crash", &())
            .await
    }

    /// Starts an engine again after [`Self::crash_engine`].
    pub async fn start_engine(&self, name: &str) -> Result<(), TestbedError> {
        self.post_json(self.engine_control(name)?, "/test/start", &())
            .await
    }

    /// Replaces the settings of the weight store that all engines share. The cluster must have an
    /// engine.
    pub async fn set_weights(&self, settings: &weights::Settings) -> Result<(), TestbedError> {
        let name = &self.spec.engines[0].settings.name;
        self.post_json(self.engine_control(name)?, "/test/weights", settings)
            .await
    }

    /// Reads what a plain service recorded so far.
    pub async fn service_record(&self, name: &str) -> Result<service::Record, TestbedError> {
        self.get_json(self.service_control(name)?, "/test/record")
            .await
    }

    /// Replaces the faults of a plain service.
    pub async fn set_service_faults(
        &self,
        name: &str,
        faults: &service::Faults,
    ) -> Result<(), TestbedError> {
        self.post_json(self.service_control(name)?, "/test/faults", faults)
            .await
    }

    /// Number of connections, over all engines and plain services, on which `text` was received
    /// anywhere in a request.
    pub async fn count_connections_receiving(&self, text: &str) -> Result<u64, TestbedError> {
        let engines = self.spec.engines.iter();
        let engines = engines.map(|spec| self.engine_control(&spec.settings.name));
        let services = self.spec.services.iter();
        let services = services.map(|spec| self.service_control(&spec.name));
        let mut connections = 0;
        for control in engines.chain(services) {
            let path = format!("/test/inbound?contains={text}");
            let found: serde_json::Value = self.get_json(control?, &path).await?;
            connections += found["connections"].as_u64().unwrap_or(0);
        }
        Ok(connections)
    }

    async fn get_json<T>(&self, control: SocketAddr, path: &str) -> Result<T, TestbedError>
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{control}{path}");
        let call_error = |reason: String| {
            CallSnafu {
                url: url.clone(),
                reason,
            }
            .build()
        };
        let mut res = self
            .http
            .get(&url)
            .send()
            .await
            .map_err(|e| call_error(e.to_string()))?;
        let body = res.body().limit(MAX_CONTROL_ANSWER_BYTES).await;
        let body = body.map_err(|e| call_error(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| call_error(format!("{}: {e}", res.status())))
    }

    async fn post_json<T>(
        &self,
        control: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), TestbedError>
    where
        T: Serialize,
    {
        let url = format!("http://{control}{path}");
        let call_error = |reason: String| {
            CallSnafu {
                url: url.clone(),
                reason,
            }
            .build()
        };
        let res = self
            .http
            .post(&url)
            .send_json(value)
            .await
            .map_err(|e| call_error(e.to_string()))?;
        if !res.status().is_success() {
            return Err(call_error(res.status().to_string()));
        }
        Ok(())
    }
}

/// Name of the instance with this index in the list of instances.
pub fn instance_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Process name of the gate with this index.
pub fn gate_name(index: usize) -> String {
    format!("gate-{index}")
}

/// Process name of the planner with this index.
pub fn planner_name(index: usize) -> String {
    format!("planner-{index}")
}
