//! An in-memory key-value service and in-memory peers.

// Each test binary uses only some of these items.
#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_config::{
    catalog::{Adapter, Catalog, Key, Workspace},
    keys,
};
use comfreyweir_external::kv::{Kv, KvError, SwapOutcome, Version, VersionedValue};
use comfreyweir_store::{Follower, Peer, PeerCallError, PeerRevision, Peers};
use tokio::sync::watch;

/// Faults of the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Calls fail at once.
    Outage,
    /// Calls are not answered at all.
    Silence,
    /// Calls are answered late.
    Slow(Duration),
}

/// Fault of one write of the root record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RootFault {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write does not take effect, and there is no answer.
    RequestLost,
}

#[derive(Default)]
struct StoredState {
    values: HashMap<String, VersionedValue>,
    root_history: Vec<VersionedValue>,
    root_faults: Vec<RootFault>,
}

/// The service. Clones share all state; [`FakeKv::with_own_faults`] shares the values and the
/// faults of the root record only.
#[derive(Clone)]
pub struct FakeKv {
    stored: Rc<RefCell<StoredState>>,
    changed: Rc<watch::Sender<u64>>,
    fault: Rc<Cell<Fault>>,
    /// Number of revisions by which the root record that is read lags behind the current one.
    pub stale_by: Rc<Cell<usize>>,
}

impl FakeKv {
    pub fn new() -> Self {
        Self {
            stored: Rc::default(),
            changed: Rc::new(watch::Sender::new(0)),
            fault: Rc::new(Cell::new(Fault::None)),
            stale_by: Rc::default(),
        }
    }

    /// The same service over another connection, whose fault and lag are set separately.
    pub fn with_own_faults(&self) -> Self {
        Self {
            fault: Rc::new(Cell::new(Fault::None)),
            stale_by: Rc::default(),
            ..self.clone()
        }
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn set_root_faults(&self, faults: &[RootFault]) {
        self.stored.borrow_mut().root_faults = faults.to_vec();
    }

    /// Number of keys with a value that is not empty.
    pub fn non_empty_key_count(&self) -> usize {
        let stored = self.stored.borrow();
        stored
            .values
            .values()
            .filter(|v| !v.value.is_empty())
            .count()
    }

    /// Largest and total size of the chunks.
    pub fn chunk_bytes(&self) -> (usize, usize) {
        let stored = self.stored.borrow();
        let sizes = stored.values.iter().filter(|(k, _)| k.contains("chunk"));
        let sizes: Vec<usize> = sizes.map(|(_, v)| v.value.len()).collect();
        (sizes.iter().copied().max().unwrap_or(0), sizes.iter().sum())
    }

    /// Replaces the content of every chunk by an empty object.
    pub fn corrupt_chunks(&self) {
        for (key, stored) in &mut self.stored.borrow_mut().values {
            if key.contains("chunk") {
                stored.value = Bytes::from_static(b"{}");
            }
        }
    }

    async fn apply_fault(&self, key: &str) -> Result<(), KvError> {
        match self.fault.get() {
            Fault::None => Ok(()),
            Fault::Outage => Err(unavailable(key)),
            Fault::Silence => std::future::pending().await,
            Fault::Slow(delay) => {
                actix_rt::time::sleep(delay).await;
                Ok(())
            }
        }
    }

    fn value(&self, key: &str) -> Option<VersionedValue> {
        let stored = self.stored.borrow();
        if key == comfreyweir_store::ROOT_KEY && self.stale_by.get() > 0 {
            let last = stored
                .root_history
                .len()
                .checked_sub(1 + self.stale_by.get())?;
            return stored.root_history.get(last).cloned();
        }
        stored.values.get(key).cloned()
    }

    fn write(&self, key: &str, expected: Version, value: Bytes) -> SwapOutcome {
        let mut stored = self.stored.borrow_mut();
        let version = stored.values.get(key).map_or(0, |v| v.version);
        if version != expected {
            return SwapOutcome::Conflict;
        }
        let written = VersionedValue {
            version: version + 1,
            value,
        };
        if key == comfreyweir_store::ROOT_KEY {
            stored.root_history.push(written.clone());
        }
        stored.values.insert(key.to_owned(), written);
        drop(stored);
        self.changed.send_modify(|n| *n += 1);
        SwapOutcome::Written(version + 1)
    }

    fn next_root_fault(&self, key: &str) -> Option<RootFault> {
        let mut stored = self.stored.borrow_mut();
        let has_fault = key == comfreyweir_store::ROOT_KEY && !stored.root_faults.is_empty();
        has_fault.then(|| stored.root_faults.remove(0))
    }
}

impl Kv for FakeKv {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KvError> {
        self.apply_fault(key).await?;
        Ok(self.value(key))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<SwapOutcome, KvError> {
        self.apply_fault(key).await?;
        match self.next_root_fault(key) {
            None => Ok(self.write(key, expected, value)),
            Some(RootFault::RequestLost) => Err(unavailable(key)),
            Some(RootFault::AnswerLost) => {
                self.write(key, expected, value);
                Err(unavailable(key))
            }
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<VersionedValue>, KvError> {
        let mut changed = self.changed.subscribe();
        let newer_value = async {
            loop {
                self.apply_fault(key).await?;
                let value = self.value(key);
                if value.as_ref().is_some_and(|v| v.version > after) {
                    return Ok(value);
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match tokio::time::timeout(wait, newer_value).await {
            Ok(answer) => answer,
            // A service that gives no answers does not answer the end of the wait either.
            Err(_) => self.apply_fault(key).await.map(|()| None),
        }
    }
}

fn unavailable(key: &str) -> KvError {
    KvError::Unavailable {
        key: key.to_owned(),
        reason: "fault of the test".to_owned(),
    }
}

/// Peers of one process: the followers of the other processes.
#[derive(Clone, Default)]
pub struct FakePeers {
    listed: Rc<RefCell<Vec<Peer>>>,
    running: Rc<RefCell<HashMap<SocketAddr, Follower>>>,
    /// Peers that cannot be reached.
    unreachable: Rc<RefCell<Vec<SocketAddr>>>,
}

impl FakePeers {
    pub fn add(&self, addr: SocketAddr, zone: &str, follower: Follower) {
        let zone = zone.to_owned();
        self.listed.borrow_mut().push(Peer { addr, zone });
        self.running.borrow_mut().insert(addr, follower);
    }

    pub fn disconnect(&self, addr: SocketAddr) {
        self.unreachable.borrow_mut().push(addr);
    }

    pub fn restore_all(&self) {
        self.unreachable.borrow_mut().clear();
    }

    fn reachable_follower(&self, peer: SocketAddr) -> Option<Follower> {
        if self.unreachable.borrow().contains(&peer) {
            return None;
        }
        self.running.borrow().get(&peer).cloned()
    }
}

impl Peers for FakePeers {
    fn list(&self) -> Vec<Peer> {
        self.listed.borrow().clone()
    }

    async fn revision(&self, peer: SocketAddr, known: u64) -> Result<PeerRevision, PeerCallError> {
        let follower = self
            .reachable_follower(peer)
            .ok_or(PeerCallError::NoAnswer)?;
        let report = follower.answer_peer(known, Instant::now());
        report.ok_or(PeerCallError::NoAnswer)
    }

    async fn chunk(&self, peer: SocketAddr, hash: &str) -> Option<Bytes> {
        self.reachable_follower(peer)?.chunk(hash)
    }
}

/// A catalog with one workspace, one key and some adapters.
pub fn catalog(key: &str, withdrawn: bool, adapters: usize) -> Catalog {
    let mut catalog = Catalog::default();
    let workspace = Workspace {
        rate: 10,
        burst: 100,
        weight: 1,
    };
    catalog.workspaces.insert("school".to_owned(), workspace);
    let hash = keys::hex(&keys::hash(key));
    let entry = Key {
        workspace: "school".to_owned(),
        sha256: hash,
        withdrawn,
    };
    catalog.keys.insert("k1".to_owned(), entry);
    for n in 0..adapters {
        let adapter = Adapter {
            model: "summary".to_owned(),
            version: "1".to_owned(),
            memory_mb: 100,
            workspaces: vec!["school".to_owned()],
        };
        catalog.adapters.insert(format!("adapter-{n}"), adapter);
    }
    catalog
}

/// Waits until a condition holds.
pub async fn wait_until<F>(within: Duration, what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + within;
    while !condition() {
        assert!(Instant::now() < end, "timed out after {within:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}
