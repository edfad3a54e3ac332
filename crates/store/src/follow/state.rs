//! State of following the configuration.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_config::catalog::Catalog;
use tokio::sync::watch;

use crate::{
    chunk::{self, RootRecord},
    error::{ReadError, StaleSnafu},
    freshness::{ContactRecord, Freshness},
    peers::Peer,
    snapshot::Snapshot,
};

/// A fault of the service; each is logged when it first occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServiceFault {
    /// The service returned an older revision than the one in force.
    Stale,
    /// A call failed.
    Failed,
    /// A revision cannot be read.
    Unreadable,
}

/// State that the tasks and the handle of a follower share.
pub(super) struct FollowState {
    pub(super) current: RefCell<Rc<Snapshot>>,
    /// Root record of the revision in force, as stored.
    pub(super) root: RefCell<Bytes>,
    /// Chunks of the revision in force, by hash.
    pub(super) chunks: RefCell<HashMap<String, LoadedChunk>>,
    /// Highest revision number seen in an answer of the service or a peer, whether in force or not.
    pub(super) highest_seen: Cell<u64>,
    pub(super) contacts: RefCell<ContactRecord>,
    /// Peers that are polled at present: all of them or a sample.
    pub(super) polled_peers: RefCell<Vec<Peer>>,
    pub(super) changes: watch::Sender<u64>,
    /// Start of the latest call that the service answered.
    pub(super) latest_answered_call: Cell<Option<Instant>>,
    /// Fault of the latest call to the service; `None` after a valid answer.
    pub(super) last_fault: Cell<Option<ServiceFault>>,
    /// Freshness that was logged last, to log only changes.
    pub(super) logged_freshness: Cell<Freshness>,
    /// Revision in the latest answer of the service.
    pub(super) last_service_revision: Cell<u64>,
    /// Number of answers of the service with a revision older than the one in force.
    pub(super) stale_reads: Cell<u64>,
}

/// A chunk as stored and decoded.
#[derive(Clone)]
pub(super) struct LoadedChunk {
    pub(super) content: Bytes,
    pub(super) catalog: Rc<Catalog>,
}

impl FollowState {
    pub(super) fn new(cut_off: Duration) -> Self {
        Self {
            current: RefCell::default(),
            root: RefCell::default(),
            chunks: RefCell::default(),
            highest_seen: Cell::default(),
            contacts: RefCell::new(ContactRecord::new(cut_off)),
            polled_peers: RefCell::default(),
            changes: watch::Sender::new(0),
            latest_answered_call: Cell::default(),
            last_fault: Cell::default(),
            logged_freshness: Cell::new(Freshness::CutOff),
            last_service_revision: Cell::default(),
            stale_reads: Cell::default(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.current.borrow().revision
    }

    pub(super) fn record_seen(&self, revision: u64) {
        self.highest_seen.set(self.highest_seen.get().max(revision));
    }

    /// Records the revision in an answer of the service. A revision lower than the one in force is
    /// a stale read: it returns an error, because it is no evidence of contact.
    pub(super) fn record_service_revision(&self, revision: u64) -> Result<(), ReadError> {
        self.record_seen(revision);
        self.last_service_revision.set(revision);
        let in_force = self.revision();
        if revision < in_force {
            if self.record_fault(Some(ServiceFault::Stale)) {
                spdlog::warn!(
                    "configuration: the service offers revision {revision}, older than {in_force} \
                     in force"
                );
            }
            self.stale_reads.set(self.stale_reads.get() + 1);
            return StaleSnafu { revision, in_force }.fail();
        }
        Ok(())
    }

    /// Records a fault, or `None` after a valid answer. Returns whether it differs from the last
    /// one, so that a fault that persists is logged once.
    pub(super) fn record_fault(&self, fault: Option<ServiceFault>) -> bool {
        self.last_fault.replace(fault) != fault
    }

    /// Whether no revision higher than the one in force has been seen.
    pub(super) fn is_latest(&self) -> bool {
        self.revision() >= self.highest_seen.get()
    }

    /// Puts a revision in force, unless it or a higher one came into force in the meantime.
    pub(super) fn install(
        &self,
        root: &RootRecord,
        stored: Bytes,
        loaded_chunks: HashMap<String, LoadedChunk>,
    ) {
        if root.revision <= self.revision() {
            return;
        }
        let catalog = chunk::join(root.chunks.iter().map(|hash| &*loaded_chunks[hash].catalog));
        let snapshot = Snapshot::new(root.revision, catalog);
        *self.current.borrow_mut() = Rc::new(snapshot);
        *self.root.borrow_mut() = stored;
        *self.chunks.borrow_mut() = loaded_chunks;
        self.changes.send_replace(root.revision);
        spdlog::info!("configuration: revision {} is in force", root.revision);
    }
}
