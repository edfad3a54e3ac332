//! The processes and stand-ins of a soak.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_platform_standins::{
    caller::{self, Call, Caller, Kind, Outcome, configuration},
    server::{Ledger, Server, Spec},
    store::Store,
};
use comfreyweir_standins::proxy::{self, Proxy};
use comfreyweir_testbed::{Block, Process, until};
use tempfile::TempDir;

use crate::{Settings, SoakError};

/// Time limit of all routes.
pub(crate) const TIME_LIMIT: Duration = Duration::from_millis(2_500);
/// Time within which everything is served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Period at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Servers of engines and of the plain service.
const ENGINES: usize = 3;
const PLAIN: usize = 2;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// An instance under test.
pub(crate) struct Instance {
    pub(crate) process: RefCell<Process>,
    pub(crate) callers: SocketAddr,
    ready: SocketAddr,
    /// Its way to the store.
    pub(crate) store: Proxy,
    /// Whether a fault ends its process and will start it again.
    pub(crate) is_restarting: Cell<bool>,
    /// When its process was last paused, ended or started.
    pub(crate) disturbed: Cell<Instant>,
}

/// A place for a server, whose address stays while servers come and go.
pub(crate) struct Place {
    pub(crate) server: RefCell<Option<Server>>,
    /// Whether a fault replaces the server.
    pub(crate) is_changing: Cell<bool>,
    /// The way of all instances to it.
    pub(crate) link: Proxy,
    addr: SocketAddr,
    service: &'static str,
    zone: &'static str,
    starts: Cell<u32>,
}

/// Everything that a soak runs.
pub(crate) struct World {
    pub(crate) instances: Vec<Instance>,
    pub(crate) places: Rc<Vec<Place>>,
    pub(crate) store: Rc<Store>,
    pub(crate) ledger: Rc<Ledger>,
    /// Keys that were in force, the present one last.
    pub(crate) keys: RefCell<Vec<String>>,
    heartbeats: JoinHandle<()>,
    folder: RefCell<Option<TempDir>>,
    _block: Block,
}

impl World {
    /// Starts everything, without waiting for it.
    pub(crate) fn start(settings: &Settings) -> Result<Self, SoakError> {
        let block = Block::claim()?;
        let folder = tempfile::tempdir()?;
        let store = Rc::new(Store::bind(block.addr(2, 7_000))?);
        let ledger = Rc::<Ledger>::default();
        let mut places = Vec::new();
        for at in 0..ENGINES + PLAIN {
            let port = u16::try_from(at).unwrap_or_default();
            let addr = block.addr(3, 7_000 + port);
            let link = link(block.addr(4, 7_000 + port), addr)?;
            let place = Place {
                server: RefCell::default(),
                is_changing: Cell::default(),
                link,
                addr,
                service: if at < ENGINES { "llm" } else { "plain" },
                zone: ZONES[at % ZONES.len()],
                starts: Cell::default(),
            };
            place.start(&ledger)?;
            places.push(place);
        }
        let mut instances = Vec::new();
        for at in 0..settings.instances {
            let host = 10 + u8::try_from(at).unwrap_or_default();
            instances.push(instance(settings, &block, &folder, (at, host), &store)?);
        }
        let places = Rc::new(places);
        let beat = beat(Rc::clone(&places), Rc::clone(&store));
        let world = Self {
            instances,
            places,
            store,
            ledger,
            keys: RefCell::default(),
            heartbeats: actix_rt::spawn(beat),
            folder: RefCell::new(Some(folder)),
            _block: block,
        };
        world.replace_key();
        Ok(world)
    }

    /// Publishes a configuration with a new key instead of the one in force.
    pub(crate) fn replace_key(&self) {
        let mut keys = self.keys.borrow_mut();
        let version = keys.len() + 1;
        keys.push(format!("key-{version}"));
        let version = u64::try_from(version).unwrap_or_default();
        let config = configuration(version, &keys[keys.len() - 1..], TIME_LIMIT);
        self.store.put("op/config", &config);
    }

    /// The key in force.
    pub(crate) fn key(&self) -> String {
        self.keys.borrow().last().cloned().unwrap_or_default()
    }

    /// Waits until every instance is ready, serves each kind of request with the key in force, and
    /// refuses the one before.
    pub(crate) async fn until_all_serve(&self) -> Result<(), SoakError> {
        let until_all = Instant::now() + RECOVERY;
        for (at, instance) in self.instances.iter().enumerate() {
            for kind in Kind::ALL {
                let what = format!("instance {at} serves {kind:?}");
                let left = until_all.saturating_duration_since(Instant::now());
                until(left, &what, async || {
                    caller::is_ready(instance.ready).await
                        && probe(instance, kind, &self.key()).await == served()
                })
                .await?;
            }
            let before = self.keys.borrow().iter().rev().nth(1).cloned();
            if let Some(key) = before {
                let what = format!("instance {at} refuses a key that was withdrawn");
                let left = until_all.saturating_duration_since(Instant::now());
                let refused = Outcome::Answered(StatusCode::UNAUTHORIZED);
                until(left, &what, async || {
                    probe(instance, Kind::Read, &key).await == refused
                })
                .await?;
            }
        }
        Ok(())
    }

    /// What servers saw broken, and processes that ended by themselves.
    pub(crate) fn broken(&self) -> Vec<String> {
        let mut broken = self.ledger.broken();
        for instance in &self.instances {
            let mut process = instance.process.borrow_mut();
            if let Some(status) = process.ended() {
                broken.push(format!("{} ended by itself: {status}", process.name()));
            }
        }
        broken
    }

    /// Keeps the folder with the logs.
    pub(crate) fn keep_logs(&self) -> Option<PathBuf> {
        self.folder.borrow_mut().take().map(TempDir::keep)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

async fn probe(instance: &Instance, kind: Kind, key: &str) -> Outcome {
    let call = Call {
        id: format!("probe-{:016x}", rand::random::<u64>()),
        kind,
        key: key.to_owned(),
        model: "m1".to_owned(),
        deadline: Duration::from_secs(3),
    };
    Caller::default().send(instance.callers, &call).await
}

fn served() -> Outcome {
    Outcome::Answered(StatusCode::OK)
}

impl Place {
    /// Starts a new server here.
    pub(crate) fn start(&self, ledger: &Rc<Ledger>) -> Result<(), SoakError> {
        self.starts.set(self.starts.get() + 1);
        let is_engine = self.service == "llm";
        let models = ["m1", "m2", "m3"].map(|m| (m.to_owned(), 10));
        let spec = Spec {
            id: format!("s{}-{}", self.addr.port(), self.starts.get()),
            service: self.service.to_owned(),
            zone: self.zone.to_owned(),
            models: if is_engine {
                BTreeMap::from(models)
            } else {
                BTreeMap::new()
            },
            room_mb: if is_engine { 25 } else { 0 },
        };
        let server = Server::bind(self.addr, spec, Rc::clone(ledger))?;
        *self.server.borrow_mut() = Some(server);
        Ok(())
    }

    /// Writes the server's entry.
    pub(crate) fn announce(&self, store: &Store, heartbeat: u64) {
        if let Some(server) = &*self.server.borrow() {
            store.put(&server.key(), &server.entry(self.link.addr(), heartbeat));
        }
    }

    /// Ends the server. Its entry stays.
    pub(crate) fn end(&self) -> Option<String> {
        let server = self.server.borrow_mut().take()?;
        Some(server.key())
    }
}

async fn beat(places: Rc<Vec<Place>>, store: Rc<Store>) {
    for heartbeat in 1.. {
        if !store.faults().is_down {
            for place in places.iter() {
                place.announce(&store, heartbeat);
            }
        }
        sleep(HEARTBEAT).await;
    }
}

fn link(listen: SocketAddr, upstream: SocketAddr) -> Result<Proxy, SoakError> {
    let settings = proxy::Settings {
        listen,
        upstream,
        control: None,
        faults: proxy::Faults::default(),
    };
    Ok(proxy::spawn(&settings)?)
}

fn instance(
    settings: &Settings,
    block: &Block,
    folder: &TempDir,
    (at, host): (usize, u8),
    store: &Store,
) -> Result<Instance, SoakError> {
    let name = format!("entry-{at}");
    let store = link(block.addr(host, 7_000), store.addr())?;
    let (callers, ready) = (block.addr(host, 8_080), block.addr(host, 8_081));
    let mut process = Process::new(&name, &settings.program, folder.path());
    let text = format!(
        "[instance]\nname = \"{name}\"\nzone = \"{}\"\n\n[listen]\ncallers = \"{callers}\"\n\
         ready = \"{ready}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n[store]\naddr = \"{}\"\n\n\
         [timing]\ngrace_s = 5.0\n",
        ZONES[at % ZONES.len()],
        block.addr(host, 8_082),
        block.addr(host, 8_083),
        store.addr(),
    );
    fs::write(process.config(), text)?;
    process.start()?;
    Ok(Instance {
        process: RefCell::new(process),
        callers,
        ready,
        store,
        is_restarting: Cell::default(),
        disturbed: Cell::new(Instant::now()),
    })
}
