//! The daemons and stand-ins of a soak.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    ops::Range,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_platform_standins::{
    caller::{
        self, Call, Caller, Outcome, RequestKind, configuration_with_changes, padded_configuration,
        padding_routes,
    },
    server::{Server, ServerRecord, ServerSpec, StreamFault},
    store::Store,
};
use comfreyweir_standins::proxy::{self, Proxy};
use comfreyweir_testbed::{LoopbackBlock, Process, until};
use tempfile::TempDir;

use crate::{ServerCounts, SoakError, SoakSettings};

/// Time limit of all routes.
pub(crate) const ROUTE_TIME_LIMIT: Duration = Duration::from_millis(2_500);
/// Within this time after the start, and after the last fault, every instance must serve all kinds
/// of requests.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Interval at which servers renew their entries in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// An instance under test.
pub(crate) struct Instance {
    pub(crate) process: RefCell<Process>,
    pub(crate) caller_addr: SocketAddr,
    ready_addr: SocketAddr,
    /// Proxy between the instance and the store.
    pub(crate) store_proxy: Proxy,
    /// Set while a fault restarts the process, so that no second fault does the same.
    pub(crate) is_restarting: Cell<bool>,
    /// Set while a fault keeps the process from running.
    pub(crate) is_halted: Cell<bool>,
    /// When the process was started, was sent a signal that ends it, or was paused or resumed.
    pub(crate) disturbances: RefCell<Vec<Instant>>,
    /// Times in which the store or the link to it was in trouble.
    pub(crate) store_troubles: RefCell<Vec<Range<Instant>>>,
    /// Times in which the store turned this instance away.
    pub(crate) turned_away: RefCell<Vec<Range<Instant>>>,
}

/// An address at which one server after the other runs. The address and the proxy stay when a fault
/// replaces the server.
pub(crate) struct ServerSlot {
    pub(crate) server: RefCell<Option<Server>>,
    /// Set while a fault replaces the server, so that no second fault does the same.
    pub(crate) is_being_replaced: Cell<bool>,
    /// Proxy between all instances and the server.
    pub(crate) link: Proxy,
    addr: SocketAddr,
    pub(crate) service: &'static str,
    zone: &'static str,
    start_count: Cell<u32>,
    /// Number of the software version that servers start with, shared by all slots.
    software: Rc<Cell<u32>>,
    /// Times in which the proxy disturbed the connections to the server.
    pub(crate) link_troubles: RefCell<Vec<Range<Instant>>>,
}

/// The instances under test with their store and servers.
pub(crate) struct SoakCluster {
    pub(crate) instances: Vec<Instance>,
    pub(crate) slots: Rc<Vec<ServerSlot>>,
    /// Numbers of servers at the start.
    pub(crate) servers: ServerCounts,
    /// Time within which a configuration must be in force.
    pub(crate) config_limit: Duration,
    /// Routes that all configurations have besides, as text.
    padding: String,
    pub(crate) store: Rc<Store>,
    /// Times in which the store was in trouble for all instances.
    pub(crate) store_troubles: RefCell<Vec<Range<Instant>>>,
    pub(crate) ledger: Rc<ServerRecord>,
    /// Number of the software version that servers start with.
    pub(crate) software: Rc<Cell<u32>>,
    /// All callers' keys published so far, oldest first. Only the last one is valid.
    pub(crate) keys: RefCell<Vec<String>>,
    /// Version of the configuration that was published last.
    version: Cell<u64>,
    /// Versions that changed routes, and when the store accepted each.
    pub(crate) accepted: RefCell<Vec<(u64, Instant)>>,
    heartbeats: JoinHandle<()>,
    folder: RefCell<Option<TempDir>>,
    _block: LoopbackBlock,
}

impl SoakCluster {
    /// Starts all stand-ins and daemons and publishes the first configuration. Does not wait until
    /// the daemons are ready.
    pub(crate) fn start(settings: &SoakSettings) -> Result<Self, SoakError> {
        let block = LoopbackBlock::claim()?;
        let folder = tempfile::tempdir()?;
        let store = Rc::new(Store::bind(block.addr(2, 7_000))?);
        let ledger = Rc::<ServerRecord>::default();
        let software = Rc::new(Cell::new(1));
        let mut slots = Vec::new();
        for index in 0..settings.servers.slots() {
            let port = u16::try_from(index).unwrap_or_default();
            let addr = block.addr(3, 7_000 + port);
            let link = start_proxy(block.addr(4, 7_000 + port), addr)?;
            let slot = ServerSlot {
                server: RefCell::default(),
                is_being_replaced: Cell::default(),
                link,
                addr,
                service: settings.servers.service(index),
                zone: ZONES[index % ZONES.len()],
                start_count: Cell::default(),
                software: Rc::clone(&software),
                link_troubles: RefCell::default(),
            };
            if settings.servers.is_started(index) {
                slot.start_server(&ledger)?;
            } else {
                slot.link.refuse();
            }
            slots.push(slot);
        }
        let mut instances = Vec::new();
        for index in 0..settings.instances {
            let host = 10 + u8::try_from(index).unwrap_or_default();
            instances.push(start_instance(
                settings,
                &block,
                &folder,
                (index, host),
                &store,
            )?);
        }
        let slots = Rc::new(slots);
        let heartbeat_loop = write_heartbeats(Rc::clone(&slots), Rc::clone(&store));
        let cluster = Self {
            instances,
            slots,
            servers: settings.servers,
            config_limit: settings.config_limit(),
            padding: padding_routes(settings.config_bytes),
            store,
            store_troubles: RefCell::default(),
            ledger,
            software,
            keys: RefCell::default(),
            version: Cell::default(),
            accepted: RefCell::default(),
            heartbeats: actix_rt::spawn(heartbeat_loop),
            folder: RefCell::new(Some(folder)),
            _block: block,
        };
        cluster.replace_key();
        Ok(cluster)
    }

    /// Publishes a configuration in which a new key replaces the valid one.
    pub(crate) fn replace_key(&self) {
        let mut keys = self.keys.borrow_mut();
        let key = format!("key-{}", keys.len() + 1);
        keys.push(key);
        drop(keys);
        self.version.set(self.version.get() + 1);
        self.write_config();
    }

    /// Publishes a configuration that adds a route and removes one.
    pub(crate) fn change_routes(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.write_config();
        self.accepted.borrow_mut().push((version, Instant::now()));
    }

    /// Writes the configuration that was published last.
    pub(crate) fn write_config(&self) {
        let keys = self.keys.borrow();
        let (version, key) = (self.version.get(), &keys[keys.len() - 1..]);
        let config = configuration_with_changes(version, key, ROUTE_TIME_LIMIT);
        let text = padded_configuration(&config, &self.padding);
        self.store.put_bytes("op/config", text);
    }

    /// Records for all instances that the store was in trouble from `began_at` until now.
    pub(crate) fn record_store_trouble(&self, began_at: Instant) {
        let trouble = began_at..Instant::now();
        for instance in &self.instances {
            instance.store_troubles.borrow_mut().push(trouble.clone());
        }
        self.store_troubles.borrow_mut().push(trouble);
    }

    /// When the store was last in trouble for all instances, as of `at`.
    pub(crate) fn store_trouble_end(&self, at: Instant) -> Option<Instant> {
        let troubles = self.store_troubles.borrow();
        let before = troubles.iter().filter(|t| t.start < at);
        before.map(|t| t.end).max()
    }

    /// Index of the instance that holds the planning duty, according to the store.
    pub(crate) fn holder(&self) -> Option<usize> {
        let value = self.store.value("comfreyweir/duty")?;
        let text = String::from_utf8(value).ok()?;
        let is_named = |i: &Instance| text.contains(&format!("\"{}/", i.process.borrow().name()));
        self.instances.iter().position(is_named)
    }

    /// The valid key.
    pub(crate) fn key(&self) -> String {
        self.keys.borrow().last().cloned().unwrap_or_default()
    }

    /// Waits until every instance is ready, serves each kind of request with the valid key, and
    /// refuses the key before it. All instances together have [`RECOVERY_LIMIT`] for it.
    pub(crate) async fn wait_until_all_serve(&self) -> Result<(), SoakError> {
        let deadline = Instant::now() + RECOVERY_LIMIT;
        for (index, instance) in self.instances.iter().enumerate() {
            for kind in RequestKind::ALL {
                let what = format!("instance {index} serves {kind:?}");
                let remaining = deadline.saturating_duration_since(Instant::now());
                until(remaining, &what, async || {
                    caller::is_ready(instance.ready_addr).await
                        && probe(instance, kind, &self.key()).await == answered_ok()
                })
                .await?;
            }
            let previous_key = self.keys.borrow().iter().rev().nth(1).cloned();
            if let Some(key) = previous_key {
                let what = format!("instance {index} refuses a key that was withdrawn");
                let remaining = deadline.saturating_duration_since(Instant::now());
                let refused = Outcome::Answered(StatusCode::UNAUTHORIZED);
                until(remaining, &what, async || {
                    probe(instance, RequestKind::Read, &key).await == refused
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Whether the connections to a server were not disturbed for `time` before `at`.
    pub(crate) fn was_link_steady(&self, server: &str, at: Instant, time: Duration) -> bool {
        let slot = self.slots.iter().find(|slot| slot.has_started(server));
        slot.is_none_or(|slot| {
            let troubles = slot.link_troubles.borrow();
            !troubles
                .iter()
                .any(|t| (t.start..t.end + time).contains(&at))
        })
    }

    /// Broken promises that servers recorded, and daemons that exited on their own.
    pub(crate) fn broken_promises(&self) -> Vec<String> {
        let mut broken = self.ledger.violations();
        for instance in &self.instances {
            let mut process = instance.process.borrow_mut();
            if let Some(status) = process.exit_status() {
                broken.push(format!("{} ended by itself: {status}", process.name()));
            }
        }
        broken
    }

    /// Keeps the folder with the logs on disk and returns its path; `None` after the first call.
    pub(crate) fn keep_logs(&self) -> Option<PathBuf> {
        self.folder.borrow_mut().take().map(TempDir::keep)
    }
}

impl Drop for SoakCluster {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

/// Sends one request on a connection of its own.
async fn probe(instance: &Instance, kind: RequestKind, key: &str) -> Outcome {
    let call = Call {
        id: format!("probe-{:016x}", rand::random::<u64>()),
        kind,
        key: key.to_owned(),
        model: "m1".to_owned(),
        prompt: Vec::new(),
        deadline: Duration::from_secs(3),
        resumes: None,
    };
    Caller::default().send(instance.caller_addr, &call).await
}

fn answered_ok() -> Outcome {
    Outcome::Answered(StatusCode::OK)
}

impl Instance {
    /// Records that the process was started, sent a signal or resumed.
    pub(crate) fn record_disturbance(&self) {
        self.disturbances.borrow_mut().push(Instant::now());
    }

    /// When the process was last disturbed before `at`.
    pub(crate) fn disturbed_before(&self, at: Instant) -> Option<Instant> {
        let disturbances = self.disturbances.borrow();
        disturbances.iter().copied().filter(|d| *d <= at).max()
    }

    /// Whether the process was disturbed in a span of time.
    pub(crate) fn is_disturbed_in(&self, span: &Range<Instant>) -> bool {
        let disturbances = self.disturbances.borrow();
        disturbances.iter().any(|d| span.contains(d))
    }

    /// Whether the process and its store were undisturbed for `time` before `at`.
    pub(crate) fn was_in_touch(&self, at: Instant, time: Duration) -> bool {
        let disturbances = self.disturbances.borrow();
        let troubles = self.store_troubles.borrow();
        !disturbances.iter().any(|d| (*d..*d + time).contains(&at))
            && !troubles
                .iter()
                .any(|t| (t.start..t.end + time).contains(&at))
    }
}

impl Instance {
    /// Whether the store turned this instance away at some time within `time` before `at`.
    pub(crate) fn was_turned_away(&self, at: Instant, time: Duration) -> bool {
        let turned_away = self.turned_away.borrow();
        let mut spans = turned_away.iter();
        spans.any(|t| (t.start..t.end + time).contains(&at))
    }
}

impl ServerSlot {
    /// Starts a server under a new id at the slot's address.
    pub(crate) fn start_server(&self, ledger: &Rc<ServerRecord>) -> Result<(), SoakError> {
        self.start_count.set(self.start_count.get() + 1);
        let is_engine = self.service == "llm";
        let models = ["m1", "m2", "m3"].map(|m| (m.to_owned(), 10));
        let spec = ServerSpec {
            id: format!("s{}-{}", self.addr.port(), self.start_count.get()),
            service: self.service.to_owned(),
            zone: self.zone.to_owned(),
            software: format!("v{}", self.software.get()),
            models: if is_engine {
                BTreeMap::from(models)
            } else {
                BTreeMap::new()
            },
            model_memory_mb: if is_engine { 25 } else { 0 },
        };
        let server = Server::bind(self.addr, spec, Rc::clone(ledger))?;
        self.link.accept_again()?;
        *self.server.borrow_mut() = Some(server);
        Ok(())
    }

    /// Whether the server with this id was started at this slot's address.
    fn has_started(&self, id: &str) -> bool {
        id.split('-').next() == Some(&format!("s{}", self.addr.port()))
    }

    /// Sets how the running server, if any, fails the streams that begin.
    pub(crate) fn set_stream_fault(&self, fault: StreamFault) {
        if let Some(server) = &*self.server.borrow() {
            server.set_stream_fault(fault);
        }
    }

    /// Sets whether the running server, if any, writes refusals in front of its answers.
    pub(crate) fn set_repeats_refusals(&self, repeats: bool) {
        if let Some(server) = &*self.server.borrow() {
            server.set_repeats_refusals(repeats);
        }
    }

    /// Announces in the entry of the running server, if any, that it drains.
    pub(crate) fn drain(&self, store: &Store) {
        if let Some(server) = &*self.server.borrow() {
            server.drain();
        }
        self.write_entry(store, u64::MAX / 2);
    }

    /// Removes the entry of the running server for good. Returns whether one runs.
    pub(crate) fn unlist(&self, store: &Store) -> bool {
        let server = self.server.borrow();
        if let Some(server) = &*server {
            server.unlist();
            store.remove(&server.key());
        }
        server.is_some()
    }

    /// Removes the entry of the running server if it was removed for good.
    pub(crate) fn remove_entry_if_unlisted(&self, store: &Store) {
        if let Some(server) = &*self.server.borrow()
            && server.is_unlisted()
        {
            store.remove(&server.key());
        }
    }

    /// Writes the entry of the running server, if any, to the store.
    pub(crate) fn write_entry(&self, store: &Store, heartbeat: u64) {
        if let Some(server) = &*self.server.borrow()
            && !server.is_unlisted()
        {
            store.put(&server.key(), &server.entry(self.link.addr(), heartbeat));
            if server.is_draining() {
                server.record_left();
            }
        }
    }

    /// Stops the server, if one runs, so that its address refuses connections, and returns the key of its entry, which stays in the store.
    pub(crate) fn stop(&self) -> Option<String> {
        let server = self.server.borrow_mut().take()?;
        self.link.refuse();
        Some(server.key())
    }
}

/// Renews the entries of all servers while the store is up.
async fn write_heartbeats(slots: Rc<Vec<ServerSlot>>, store: Rc<Store>) {
    for heartbeat in 1.. {
        if !store.faults().is_down {
            for slot in slots.iter() {
                slot.write_entry(&store, heartbeat);
            }
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn start_proxy(listen: SocketAddr, upstream: SocketAddr) -> Result<Proxy, SoakError> {
    let settings = proxy::Settings {
        listen,
        upstream,
        control: None,
        faults: proxy::Faults::default(),
    };
    Ok(proxy::spawn(&settings)?)
}

/// Writes the settings file of an instance and starts its daemon.
fn start_instance(
    settings: &SoakSettings,
    block: &LoopbackBlock,
    folder: &TempDir,
    (index, host): (usize, u8),
    store: &Store,
) -> Result<Instance, SoakError> {
    let name = format!("entry-{index}");
    let store_proxy = start_proxy(block.addr(host, 7_000), store.addr())?;
    let link_mbps = settings.link_mbps(index);
    store_proxy.set_bandwidth(link_mbps);
    let link = link_mbps.map_or_else(String::new, |mbps| format!("link_mbps = {mbps:.1}\n"));
    let config_ms = settings.config_limit().as_millis();
    let (caller_addr, ready_addr) = (block.addr(host, 8_080), block.addr(host, 8_081));
    let mut process = Process::new(&name, &settings.program, folder.path());
    let text = format!(
        "[instance]\nname = \"{name}\"\nzone = \"{}\"\n{link}\n[listen]\ncallers = \"{caller_addr}\"\n\
         ready = \"{ready_addr}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n[store]\naddr = \"{}\"\n\n\
         [timing]\ngrace_s = 5.0\nconfig_ms = {config_ms}\n",
        ZONES[index % ZONES.len()],
        block.addr(host, 8_082),
        block.addr(host, 8_083),
        store_proxy.addr(),
    );
    fs::write(process.config(), text)?;
    process.start()?;
    Ok(Instance {
        process: RefCell::new(process),
        caller_addr,
        ready_addr,
        store_proxy,
        is_restarting: Cell::default(),
        is_halted: Cell::default(),
        disturbances: RefCell::new(vec![Instant::now()]),
        store_troubles: RefCell::default(),
        turned_away: RefCell::default(),
    })
}
