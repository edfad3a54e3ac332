//! Following the configuration.
//!
//! One task keeps a long poll on the root record, a second one asks peers: a single peer at a time
//! while the service answers, and all of a sample when it does not.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use comfreyweir_clock::Clock;
use comfreyweir_config::catalog::Catalog;
use comfreyweir_platform::kv::{self, Kv, Recorded, Version, Versioned};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use snafu::{OptionExt, ResultExt};
use tokio::sync::watch;

use crate::{
    chunk::{self, ROOT_KEY, Root},
    error::{ChunkSnafu, DecodeSnafu, ReadError, ServiceSnafu, StaleSnafu},
    freshness::{Contacts, Freshness, Heard},
    peers::{Peer, PeerRevision, PeerSilence, Peers},
    snapshot::Snapshot,
};

/// Peers that are asked when the service is out of reach. Bounds the calls of a large fleet.
const ASKED_PEERS: usize = 16;
/// Pause after a failed call to the service.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Periods of following.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTiming {
    /// Time without service and peers after which the process is cut off.
    pub cut_off: Duration,
    /// Period of asking peers.
    pub contact: Duration,
}

/// Handle of the tasks that follow the configuration. Clones share them; the last one that is
/// dropped ends them.
#[derive(Clone)]
pub struct Follower {
    state: Rc<State>,
    _tasks: Rc<Tasks>,
}

struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

struct State {
    current: RefCell<Rc<Snapshot>>,
    /// Root record of the revision in force, as stored.
    root: RefCell<Bytes>,
    /// Chunks of the revision in force, by hash.
    chunks: RefCell<HashMap<String, Part>>,
    /// Highest revision heard of, in force or not.
    seen: Cell<u64>,
    contacts: RefCell<Contacts>,
    asked: RefCell<Vec<Peer>>,
    changes: watch::Sender<u64>,
    /// Revision that the service offered last.
    offered: Cell<u64>,
    rejected: Cell<u64>,
}

#[derive(Clone)]
struct Part {
    content: Bytes,
    catalog: Rc<Catalog>,
}

impl Follower {
    /// Starts following. There is no revision in force until the first one was read.
    pub fn spawn<K, C, P>(kv: K, clock: C, timing: FollowTiming, peers: P) -> Self
    where
        K: Kv,
        C: Clock,
        P: Peers,
    {
        let state = Rc::new(State::new(timing.cut_off));
        let follow = Rc::new(Follow {
            kv,
            clock,
            timing,
            peers,
            state: Rc::clone(&state),
        });
        let tasks = vec![
            actix_rt::spawn(Rc::clone(&follow).follow_service()),
            actix_rt::spawn(follow.follow_peers()),
        ];
        Self {
            state,
            _tasks: Rc::new(Tasks(tasks)),
        }
    }

    /// A configuration that never changes and never ages.
    pub fn fixed(snapshot: Snapshot) -> Self {
        let state = State::new(Duration::MAX);
        state.contacts.borrow_mut().note_service(Instant::now());
        state.changes.send_replace(snapshot.revision);
        *state.current.borrow_mut() = Rc::new(snapshot);
        Self {
            state: Rc::new(state),
            _tasks: Rc::new(Tasks(Vec::new())),
        }
    }

    /// The revision in force.
    pub fn current(&self) -> Rc<Snapshot> {
        Rc::clone(&self.state.current.borrow())
    }

    /// Notifies of every revision that comes into force.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.state.changes.subscribe()
    }

    /// Whether the revision in force can be trusted at `now`, by the monotonic clock of the
    /// process. To be asked right before every decision that rests on it.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let asked = self.state.asked.borrow();
        self.state.contacts.borrow().freshness(&asked, now)
    }

    /// Answer to a peer that knows the revision `known`.
    pub fn report(&self, known: u64, now: Instant) -> PeerRevision {
        let number = self.current().revision;
        let root = if number > known {
            self.state.root.borrow().clone()
        } else {
            Bytes::new()
        };
        PeerRevision {
            number,
            in_contact: self.state.contacts.borrow().in_contact(now),
            root,
        }
    }

    /// A chunk of the revision in force, for a peer.
    pub fn chunk(&self, hash: &str) -> Option<Bytes> {
        let chunks = self.state.chunks.borrow();
        chunks.get(hash).map(|part| part.content.clone())
    }

    /// Highest revision heard of. Above the one in force while that cannot be read completely.
    pub fn seen(&self) -> u64 {
        self.state.seen.get()
    }

    /// Older revisions that were offered and not taken.
    pub fn rejected(&self) -> u64 {
        self.state.rejected.get()
    }
}

impl State {
    fn new(cut_off: Duration) -> Self {
        Self {
            current: RefCell::default(),
            root: RefCell::default(),
            chunks: RefCell::default(),
            seen: Cell::default(),
            contacts: RefCell::new(Contacts::new(cut_off)),
            asked: RefCell::default(),
            changes: watch::Sender::new(0),
            offered: Cell::default(),
            rejected: Cell::default(),
        }
    }

    fn revision(&self) -> u64 {
        self.current.borrow().revision
    }

    fn see(&self, revision: u64) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Notes a revision that the service offered. One below the revision in force is a stale
    /// read, which is no evidence of contact.
    fn offer(&self, revision: u64) -> Result<(), ReadError> {
        self.see(revision);
        self.offered.set(revision);
        let in_force = self.revision();
        if revision < in_force {
            self.rejected.set(self.rejected.get() + 1);
            return StaleSnafu { revision, in_force }.fail();
        }
        Ok(())
    }

    /// Whether no higher revision than the one in force is known.
    fn is_latest(&self) -> bool {
        self.revision() >= self.seen.get()
    }

    /// Puts a revision in force, unless a higher one came into force meanwhile.
    fn install(&self, root: &Root, stored: Bytes, parts: HashMap<String, Part>) {
        if root.revision <= self.revision() {
            return;
        }
        let catalog = chunk::join(root.chunks.iter().map(|hash| &*parts[hash].catalog));
        let snapshot = Snapshot::new(root.revision, catalog);
        *self.current.borrow_mut() = Rc::new(snapshot);
        *self.root.borrow_mut() = stored;
        *self.chunks.borrow_mut() = parts;
        self.changes.send_replace(root.revision);
    }
}

struct Follow<K, C, P> {
    kv: K,
    clock: C,
    timing: FollowTiming,
    peers: P,
    state: Rc<State>,
}

impl<K, C, P> Follow<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    async fn follow_service(self: Rc<Self>) {
        // A read starts the watch over after every failure, because the version of the last
        // answer may be above that of a service that was restored.
        let mut version = None;
        let mut wait = self.watch_wait();
        loop {
            let began = self.clock.now();
            let read = match version {
                None => self.kv.get(ROOT_KEY).await,
                Some(after) => self.kv.watch(ROOT_KEY, after, wait).await,
            };
            let adopted = match read {
                Ok(found) => self.take(version, found).await,
                Err(source) => Err(ReadError::Service { source }),
            };
            let Ok(now_at) = adopted else {
                version = None;
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            // A peer may have brought a revision that the service does not show yet.
            if self.state.offered.get() < self.state.revision() {
                version = None;
                continue;
            }
            // After a change the evidence is as old as the watch, so the next wait is shorter.
            wait = if version == Some(now_at) {
                self.watch_wait()
            } else {
                self.watch_wait() / 2
            };
            version = Some(now_at);
            if self.state.is_latest() {
                self.state.contacts.borrow_mut().note_service(began);
            }
        }
    }

    /// Takes the answer of a read or of a watch after `version`; returns the version of the key.
    async fn take(
        &self,
        version: Option<Version>,
        found: Option<Versioned>,
    ) -> Result<Version, ReadError> {
        let Some(found) = found else {
            if version.is_none() {
                self.state.offer(0)?;
            }
            return Ok(version.unwrap_or_default());
        };
        let record = decode_root(&found.value)?;
        self.state.offer(record.revision)?;
        self.adopt(record, found.value, None).await?;
        Ok(found.version)
    }

    async fn follow_peers(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let in_contact = self.state.contacts.borrow().in_contact(now);
            self.choose_peers(in_contact);
            let asked = self.state.asked.borrow().clone();
            if in_contact {
                if let Some(peer) = asked.choose(&mut rand::rng()) {
                    self.ask(peer).await;
                }
            } else {
                join_all(asked.iter().map(|peer| self.ask(peer))).await;
            }
            actix_rt::time::sleep(self.timing.contact).await;
        }
    }

    /// Chooses whom to ask. The sample stays the same while the service is out of reach, so that
    /// its answers add up.
    fn choose_peers(&self, in_contact: bool) {
        let listed = self.peers.list();
        let mut asked = self.state.asked.borrow_mut();
        asked.retain(|p| listed.contains(p));
        if in_contact || asked.len() < listed.len().min(ASKED_PEERS) {
            *asked = sample(&listed);
        }
        self.state.contacts.borrow_mut().retain(&asked);
    }

    async fn ask(&self, peer: &Peer) {
        let began = self.clock.now();
        let known = self.state.revision();
        let heard = match self.peers.revision(peer.addr, known).await {
            Ok(answer) => match self.take_from_peer(peer.addr, answer).await {
                Some(heard) => heard,
                None => return,
            },
            Err(PeerSilence::NotRunning) => Heard::NotRunning,
            Err(PeerSilence::NoAnswer) => return,
        };
        let mut contacts = self.state.contacts.borrow_mut();
        contacts.note_peer(peer.addr, began, heard);
    }

    /// Takes a peer's revision if it is higher. `None` when the answer is no evidence: the peer is
    /// behind, or its revision cannot be read.
    async fn take_from_peer(&self, peer: SocketAddr, answer: PeerRevision) -> Option<Heard> {
        self.state.see(answer.number);
        if answer.number > self.state.revision() {
            let root = decode_root(&answer.root).ok()?;
            self.adopt(root, answer.root, Some(peer)).await.ok()?;
        }
        if !answer.in_contact {
            return Some(Heard::NoContact);
        }
        let peer_is_latest = answer.number >= self.state.seen.get();
        (peer_is_latest && self.state.is_latest()).then_some(Heard::InContact)
    }

    /// Puts a revision in force if it is higher than the present one. The peer that offered it is
    /// asked first for its chunks, because the service may be down.
    async fn adopt(
        &self,
        root: Root,
        stored: Bytes,
        peer: Option<SocketAddr>,
    ) -> Result<(), ReadError> {
        if root.revision <= self.state.revision() {
            return Ok(());
        }
        let mut parts = HashMap::with_capacity(root.chunks.len());
        for hash in &root.chunks {
            let part = self.part(hash, root.revision, peer).await?;
            parts.insert(hash.clone(), part);
        }
        self.state.install(&root, stored, parts);
        Ok(())
    }

    async fn part(
        &self,
        hash: &str,
        revision: u64,
        peer: Option<SocketAddr>,
    ) -> Result<Part, ReadError> {
        if let Some(part) = self.state.chunks.borrow().get(hash) {
            return Ok(part.clone());
        }
        let content = self.content(hash, peer).await;
        let content = content.context(ChunkSnafu { revision, hash })?;
        let catalog = chunk::decode(&content).context(DecodeSnafu)?;
        Ok(Part {
            content,
            catalog: Rc::new(catalog),
        })
    }

    async fn content(&self, hash: &str, peer: Option<SocketAddr>) -> Option<Bytes> {
        if let Some(addr) = peer
            && let Some(content) = self.content_of_peer(addr, hash).await
        {
            return Some(content);
        }
        if let Some(content) = self.content_of_service(hash).await {
            return Some(content);
        }
        let asked = self.state.asked.borrow().clone();
        for other in asked.iter().filter(|p| Some(p.addr) != peer) {
            if let Some(content) = self.content_of_peer(other.addr, hash).await {
                return Some(content);
            }
        }
        None
    }

    async fn content_of_service(&self, hash: &str) -> Option<Bytes> {
        let found = self.kv.get(&chunk::chunk_key(hash)).await.ok()??;
        verified(found.value, hash)
    }

    async fn content_of_peer(&self, addr: SocketAddr, hash: &str) -> Option<Bytes> {
        let content = self.peers.chunk(addr, hash).await?;
        verified(content, hash)
    }

    /// Longest wait of one watch. Two of them fit into the contact period.
    fn watch_wait(&self) -> Duration {
        self.timing.cut_off / 4
    }
}

fn verified(content: Bytes, hash: &str) -> Option<Bytes> {
    (chunk::content_hash(&content) == hash).then_some(content)
}

fn decode_root(stored: &[u8]) -> Result<Root, ReadError> {
    let record: Recorded<Root> = kv::decode(ROOT_KEY, stored).context(ServiceSnafu)?;
    Ok(record.body)
}

/// Peers to ask: all of a small fleet; of a large one a random sample with every zone in it.
fn sample(listed: &[Peer]) -> Vec<Peer> {
    if listed.len() <= ASKED_PEERS {
        return listed.to_vec();
    }
    let mut shuffled: Vec<&Peer> = listed.sample(&mut rand::rng(), listed.len()).collect();
    // One peer of each zone goes first.
    let mut zones = std::collections::BTreeSet::new();
    shuffled.sort_by_key(|p| !zones.insert(p.zone.as_str()));
    shuffled.into_iter().take(ASKED_PEERS).cloned().collect()
}
