//! Keeps a process up to date with the configuration.
//!
//! One task keeps a long poll on the root record. A second one polls peers: one at a time while the
//! service answers, and a whole sample of them when it does not.

mod adopt;
mod gossip;
mod service;
mod state;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::Kv;
use tokio::sync::watch;

pub use self::service::MAX_ANSWER_WAIT;
use self::state::FollowState;
use crate::{
    freshness::Freshness,
    peers::{PeerRevision, Peers},
    snapshot::Snapshot,
};

/// Time limits and intervals of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTiming {
    /// Time without evidence from the service or from peers after which the process counts as cut
    /// off.
    pub cut_off: Duration,
    /// Interval between polls of peers.
    pub poll_interval: Duration,
}

/// Handle of the tasks that follow the configuration. Clones share the tasks, which are aborted
/// when the last clone is dropped.
#[derive(Clone)]
pub struct Follower {
    state: Rc<FollowState>,
    _tasks: Rc<AbortOnDrop>,
}

/// Tasks that are aborted when this is dropped.
struct AbortOnDrop(Vec<JoinHandle<()>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

impl Follower {
    /// Starts the tasks. Revision zero, without any configuration, is in force until the first
    /// revision has been read.
    pub fn spawn<K, C, P>(kv: K, clock: C, timing: FollowTiming, peers: P) -> Self
    where
        K: Kv,
        C: Clock,
        P: Peers,
    {
        let state = Rc::new(FollowState::new(timing.cut_off));
        let follow_loop = Rc::new(FollowLoop {
            kv,
            clock,
            timing,
            peers,
            state: Rc::clone(&state),
        });
        let tasks = vec![
            actix_rt::spawn(Rc::clone(&follow_loop).follow_service()),
            actix_rt::spawn(follow_loop.follow_peers()),
        ];
        Self {
            state,
            _tasks: Rc::new(AbortOnDrop(tasks)),
        }
    }

    /// Creates a follower without tasks, whose configuration never changes or expires.
    pub fn fixed(snapshot: Snapshot) -> Self {
        let state = FollowState::new(Duration::MAX);
        state
            .contacts
            .borrow_mut()
            .record_service_success(Instant::now());
        state.changes.send_replace(snapshot.revision);
        *state.current.borrow_mut() = Rc::new(snapshot);
        Self {
            state: Rc::new(state),
            _tasks: Rc::new(AbortOnDrop(Vec::new())),
        }
    }

    /// Snapshot of the revision in force.
    pub fn current(&self) -> Rc<Snapshot> {
        Rc::clone(&self.state.current.borrow())
    }

    /// Subscribes to the number of the revision in force; a receiver may skip intermediate ones.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.state.changes.subscribe()
    }

    /// Freshness of the revision in force at `now`, by the monotonic clock of the process. Query it
    /// right before every decision that depends on it.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let polled_peers = self.state.polled_peers.borrow();
        self.state
            .contacts
            .borrow_mut()
            .freshness(&polled_peers, now)
    }

    /// Answer to a peer that has revision `known` in force. `None` while this process does not know
    /// whether it can reach the service; the caller then answers the peer with an error.
    pub fn answer_peer(&self, known: u64, now: Instant) -> Option<PeerRevision> {
        let in_contact = self.state.contacts.borrow().report(now)?;
        let number = self.current().revision;
        let root = if number > known {
            self.state.root.borrow().clone()
        } else {
            Bytes::new()
        };
        Some(PeerRevision {
            number,
            in_contact,
            root,
        })
    }

    /// Stored content of a chunk of the revision in force, for a peer that asks for it.
    pub fn chunk(&self, hash: &str) -> Option<Bytes> {
        let chunks = self.state.chunks.borrow();
        chunks.get(hash).map(|loaded| loaded.content.clone())
    }

    /// Highest revision seen in any answer. Higher than the one in force while a newer revision
    /// cannot be read completely.
    pub fn highest_revision_seen(&self) -> u64 {
        self.state.highest_seen.get()
    }

    /// Number of answers of the service that were ignored because their revision was older than the
    /// one in force.
    pub fn stale_reads(&self) -> u64 {
        self.state.stale_reads.get()
    }
}

/// Dependencies and state of the two tasks.
struct FollowLoop<K, C, P> {
    kv: K,
    clock: C,
    timing: FollowTiming,
    peers: P,
    state: Rc<FollowState>,
}
