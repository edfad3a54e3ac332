//! Stand-ins, planners and views of gates in one process, on a loopback block of their own.

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
    settings::{Instance, PlannerSettings, PlannerTiming},
};
use comfreyweir_external::{
    instances::{InstanceInfo, InstanceList, InstanceListClient, InstanceState, Role},
    kv_http::HttpKv,
};
use comfreyweir_gate::placement_view::{PeerView, PeerViewConfig, PlacementView};
use comfreyweir_peer::Secret;
use comfreyweir_planner::Planner;
use comfreyweir_standins::{
    engine::{self, Change, Engine},
    instances, kv,
    weights::{self, WeightStore},
};
use comfreyweir_store::{FollowTiming, Follower, NoPeers};

pub const LIMIT: Duration = Duration::from_secs(10);
const SECRET: &str = "a secret for tests only";
const CLAIM_PORT: u16 = 7_999;
const KV_PORT: u16 = 7_000;
const LIST_PORT: u16 = 7_001;
const PLANNER_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_200;
const ENGINE_PORT: u16 = 7_300;

static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// A loopback block that no other test uses.
struct Block {
    a: u8,
    b: u8,
    _claim: TcpListener,
}

fn claim_block() -> Block {
    let start = std::process::id().wrapping_mul(13);
    loop {
        let next = start.wrapping_add(NEXT_BLOCK.fetch_add(1, Ordering::Relaxed));
        let a = u8::try_from(1 + next / 250 % 250).unwrap();
        let b = u8::try_from(1 + next % 250).unwrap();
        let claim = TcpListener::bind((Ipv4Addr::new(127, a, b, 1), CLAIM_PORT));
        if let Ok(claim) = claim {
            return Block {
                a,
                b,
                _claim: claim,
            };
        }
    }
}

impl Block {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, 1], port))
    }
}

pub struct Cluster {
    block: Block,
    pub kv: kv::KvService,
    pub list: instances::Instances,
    pub engines: BTreeMap<String, Engine>,
    store: WeightStore,
    pub catalog: Catalog,
    pub revision: u64,
    secret: tempfile::TempDir,
}

pub struct EngineSpec {
    pub memory_mb: u64,
    pub checks_fencing: bool,
}

impl Cluster {
    /// Runs a service, a list and engines, and publishes a catalog of their upstreams.
    pub async fn start(engines: &[EngineSpec], change: impl FnOnce(&mut Catalog)) -> Self {
        let block = claim_block();
        let secret = tempfile::tempdir().unwrap();
        std::fs::write(secret.path().join("secret"), SECRET).unwrap();
        let kv = kv::spawn(kv::Settings {
            listen: block.at(KV_PORT),
            control: None,
            faults: kv::Faults::default(),
        });
        let store = WeightStore::open(store_settings(1.0));
        let mut running = BTreeMap::new();
        let mut catalog = Catalog::default();
        for (index, spec) in (0..).zip(engines) {
            let name = format!("e{index}");
            let address = block.at(ENGINE_PORT + index);
            let engine = engine::spawn(engine_settings(&name, address, spec), store.clone());
            running.insert(name.clone(), engine.unwrap());
            catalog.upstreams.insert(name, upstream(address, spec));
        }
        change(&mut catalog);
        let list = instances::spawn(instances::Settings {
            listen: block.at(LIST_PORT),
            control: None,
            lag_ms: 0,
            instances: listed(&catalog, &[]).instances,
        });
        let mut cluster = Self {
            block,
            kv: kv.unwrap(),
            list: list.unwrap(),
            engines: running,
            store,
            catalog,
            revision: 0,
            secret,
        };
        cluster.publish().await;
        cluster
    }

    pub async fn publish(&mut self) {
        let kv = self.client();
        let id = comfreyweir_store::new_write_id();
        let published = comfreyweir_store::publish(&kv, &self.catalog, self.revision, &id).await;
        self.revision = published.unwrap().revision;
    }

    pub fn client(&self) -> HttpKv {
        let http = awc::Client::default();
        HttpKv::new(http, self.kv.addr(), Duration::from_secs(1))
    }

    pub fn slow_store(&self, slowdown: f64) {
        self.store.set(store_settings(slowdown));
    }

    pub fn set_leaving(&self, leaving: &[&str]) {
        self.list.set(listed(&self.catalog, leaving));
    }

    pub async fn planner(&self, index: u16) -> Planner {
        comfreyweir_planner::spawn(PlannerSettings {
            instance: Instance {
                name: format!("entry-{index}"),
                zone: "zone-a".to_owned(),
                kv: self.kv.addr(),
                instances: self.list.addr(),
                peer_secret_file: self.secret_file(),
            },
            admin: self.block.at(ADMIN_PORT + index),
            peer: self.block.at(PLANNER_PORT + index),
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

    pub fn view(&self, index: u16, planner: &Planner) -> PeerView {
        let http = awc::Client::default();
        let timing = FollowTiming {
            cut_off: Duration::from_secs(4),
            poll_interval: Duration::from_mins(1),
        };
        PeerView::spawn(PeerViewConfig {
            gate: format!("gate-{index}"),
            planner: planner.addr(),
            secret: Secret::read(&self.secret_file()).unwrap(),
            instances: InstanceListClient::new(http, self.list.addr()),
            follower: Follower::spawn(self.client(), SystemClock, timing, NoPeers),
            contact: Duration::from_millis(200),
        })
    }

    /// Loads of an artifact that all engines were ordered.
    pub fn loads(&self, served_name: &str) -> usize {
        let records = self.engines.values().map(Engine::record);
        let changes = records.flat_map(|r| r.changes);
        changes
            .filter(|c| c.change == Change::LoadOrdered && c.artifact == served_name)
            .count()
    }

    fn secret_file(&self) -> PathBuf {
        self.secret.path().join("secret")
    }
}

fn store_settings(slowdown: f64) -> weights::Settings {
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

fn listed(catalog: &Catalog, leaving: &[&str]) -> InstanceList {
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

/// Waits for a condition, bounded.
pub async fn until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Waits until an artifact can be served.
pub async fn served(view: &PeerView, name: &str) {
    let waiting = view.wait_for(name, "w", Instant::now() + LIMIT);
    until(name, || view.replicas(name).iter().any(|r| r.ready)).await;
    drop(waiting);
}
