//! Stand-in services, planners and placement views of gates in one process, on a loopback address
//! that each test has to itself.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use comfreyweir_clock::SystemClock;
use comfreyweir_config::{
    catalog::{Adapter, Catalog, Model, Upstream, UpstreamKind},
    settings::{InstanceSettings, PlannerSettings, PlannerTiming},
};
use comfreyweir_external::{
    instances::{InstanceInfo, InstanceList, InstanceListClient, InstanceState, Role},
    kv_http::HttpKv,
};
use comfreyweir_gate::placement_view::{PeerView, PeerViewConfig, PlacementView};
use comfreyweir_peer::PeerSecret;
use comfreyweir_planner::Planner;
use comfreyweir_standins::{
    engine::{self, Engine, ReplicaChangeKind},
    instances, kv,
    weights::{self, WeightStore},
};
use comfreyweir_store::{FollowTiming, Follower, NoPeers};

pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
const SECRET: &str = "a secret for tests only";
const RESERVATION_PORT: u16 = 7_999;
const KV_PORT: u16 = 7_000;
const INSTANCE_LIST_PORT: u16 = 7_001;
const PLANNER_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_200;
const ENGINE_PORT: u16 = 7_300;

static NEXT_ADDR: AtomicU32 = AtomicU32::new(0);

/// The loopback address 127.a.b.1, which no other test uses while the reservation port is bound.
struct ReservedAddr {
    a: u8,
    b: u8,
    _reservation: TcpListener,
}

fn reserve_addr() -> ReservedAddr {
    let start = std::process::id().wrapping_mul(13);
    loop {
        let next = start.wrapping_add(NEXT_ADDR.fetch_add(1, Ordering::Relaxed));
        let a = u8::try_from(1 + next / 250 % 250).unwrap();
        let b = u8::try_from(1 + next % 250).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::new(127, a, b, 1), RESERVATION_PORT));
        if let Ok(listener) = listener {
            return ReservedAddr {
                a,
                b,
                _reservation: listener,
            };
        }
    }
}

impl ReservedAddr {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, 1], port))
    }
}

pub struct Cluster {
    reserved_addr: ReservedAddr,
    pub kv: kv::KvService,
    pub instance_list: instances::InstanceListService,
    pub engines: BTreeMap<String, Engine>,
    weight_store: WeightStore,
    pub catalog: Catalog,
    pub revision: u64,
    secret: tempfile::TempDir,
}

pub struct EngineSpec {
    pub memory_mb: u64,
    pub checks_fencing: bool,
}

impl Cluster {
    /// Starts the key-value service, the instance list and the engines, and publishes a catalog
    /// that lists the engines as upstreams.
    pub async fn start(engines: &[EngineSpec], change_catalog: impl FnOnce(&mut Catalog)) -> Self {
        let reserved_addr = reserve_addr();
        let secret = tempfile::tempdir().unwrap();
        std::fs::write(secret.path().join("secret"), SECRET).unwrap();
        let kv = kv::spawn(kv::Settings {
            listen: reserved_addr.at(KV_PORT),
            control: None,
            faults: kv::Faults::default(),
        });
        let weight_store = WeightStore::open(weight_store_settings(1.0));
        let mut running = BTreeMap::new();
        let mut catalog = Catalog::default();
        for (index, spec) in (0..).zip(engines) {
            let name = format!("e{index}");
            let address = reserved_addr.at(ENGINE_PORT + index);
            let engine = engine::spawn(engine_settings(&name, address, spec), weight_store.clone());
            running.insert(name.clone(), engine.unwrap());
            catalog.upstreams.insert(name, upstream(address, spec));
        }
        change_catalog(&mut catalog);
        let instance_list = instances::spawn(instances::Settings {
            listen: reserved_addr.at(INSTANCE_LIST_PORT),
            control: None,
            lag_ms: 0,
            instances: instance_list_of(&catalog, &[]).instances,
        });
        let mut cluster = Self {
            reserved_addr,
            kv: kv.unwrap(),
            instance_list: instance_list.unwrap(),
            engines: running,
            weight_store,
            catalog,
            revision: 0,
            secret,
        };
        cluster.publish().await;
        cluster
    }

    pub async fn publish(&mut self) {
        let kv = self.kv_client();
        let id = comfreyweir_store::new_write_id();
        let published = comfreyweir_store::publish(&kv, &self.catalog, self.revision, &id).await;
        self.revision = published.unwrap().revision;
    }

    pub fn kv_client(&self) -> HttpKv {
        let http = awc::Client::default();
        HttpKv::new(http, self.kv.addr(), Duration::from_secs(1))
    }

    pub fn slow_weight_store(&self, slowdown: f64) {
        self.weight_store.set(weight_store_settings(slowdown));
    }

    pub fn set_leaving(&self, leaving: &[&str]) {
        self.instance_list
            .set(instance_list_of(&self.catalog, leaving));
    }

    pub async fn start_planner(&self, index: u16) -> Planner {
        comfreyweir_planner::spawn(PlannerSettings {
            instance: InstanceSettings {
                name: format!("entry-{index}"),
                zone: "zone-a".to_owned(),
                kv: self.kv.addr(),
                instances: self.instance_list.addr(),
                peer_secret_file: self.secret_file(),
            },
            admin: self.reserved_addr.at(ADMIN_PORT + index),
            peer: self.reserved_addr.at(PLANNER_PORT + index),
            timing: PlannerTiming {
                lease_ms: 600,
                margin_ms: 100,
                report_ms: 50,
                keep_idle_ms: 60_000,
            },
        })
        .await
        .unwrap()
    }

    pub fn start_view(&self, index: u16, planner: &Planner) -> PeerView {
        let http = awc::Client::default();
        let timing = FollowTiming {
            cut_off: Duration::from_secs(4),
            poll_interval: Duration::from_mins(1),
        };
        PeerView::spawn(PeerViewConfig {
            gate: format!("gate-{index}"),
            planner: planner.addr(),
            secret: PeerSecret::read(&self.secret_file()).unwrap(),
            instances: InstanceListClient::new(http, self.instance_list.addr()),
            follower: Follower::spawn(self.kv_client(), SystemClock, timing, NoPeers),
            max_exchange_wait: Duration::from_millis(200),
        })
    }

    /// Number of load orders for an artifact, over all engines.
    pub fn load_order_count(&self, served_name: &str) -> usize {
        let records = self.engines.values().map(Engine::record);
        let changes = records.flat_map(|r| r.changes);
        changes
            .filter(|c| c.change == ReplicaChangeKind::LoadOrdered && c.artifact == served_name)
            .count()
    }

    fn secret_file(&self) -> PathBuf {
        self.secret.path().join("secret")
    }
}

fn weight_store_settings(slowdown: f64) -> weights::Settings {
    weights::Settings {
        loads_per_second: 100.0,
        slowdown,
        ..weights::Settings::default()
    }
}

fn engine_settings(name: &str, listen: SocketAddr, spec: &EngineSpec) -> engine::Settings {
    let text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nmemory_mb = {}\nchecks_fencing = {}\n\
         checks_memory = false\n[times]\nload_remote_ms = 100\n",
        spec.memory_mb, spec.checks_fencing
    );
    toml::from_str(&text).unwrap()
}

fn upstream(address: SocketAddr, spec: &EngineSpec) -> Upstream {
    Upstream {
        kind: UpstreamKind::Engine,
        address,
        zone: "zone-a".to_owned(),
        cell: "main".to_owned(),
        memory_mb: spec.memory_mb,
        slots: 8,
        checks_fencing: spec.checks_fencing,
        draining: false,
    }
}

fn instance_list_of(catalog: &Catalog, leaving: &[&str]) -> InstanceList {
    let upstreams = catalog.upstreams.iter();
    let instances = upstreams.map(|(name, upstream)| InstanceInfo {
        name: name.clone(),
        role: Role::Upstream,
        zone: upstream.zone.clone(),
        state: if leaving.contains(&name.as_str()) {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        },
        gate: None,
        planner: None,
    });
    InstanceList {
        instances: instances.collect(),
    }
}

pub fn model(memory_mb: u64, replicas: u32) -> Model {
    Model {
        version: "1".to_owned(),
        memory_mb,
        replicas,
        max_output_tokens: 64,
        bytes_per_token: 4,
        workspaces: Vec::new(),
    }
}

pub fn adapter(model: &str) -> Adapter {
    Adapter {
        model: model.to_owned(),
        version: "1".to_owned(),
        memory_mb: 1,
        workspaces: Vec::new(),
    }
}

/// Waits until a condition holds; panics after [`WAIT_LIMIT`].
pub async fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Registers a waiting request for an artifact until a replica is ready.
pub async fn request_until_ready(view: &PeerView, name: &str) {
    let pending_wait = view.wait_for(name, "w", Instant::now() + WAIT_LIMIT);
    wait_until(name, || view.replicas(name).iter().any(|r| r.ready)).await;
    drop(pending_wait);
}
