//! What a follower knows.

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
    chunk::{self, Root},
    error::{ReadError, StaleSnafu},
    freshness::{Contacts, Freshness},
    peers::Peer,
    snapshot::Snapshot,
};

/// A fault of the service, as it is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// It offers an older revision than the one in force.
    Older,
    /// A call failed.
    Failed,
    /// A revision cannot be read.
    Unreadable,
}

/// State of following, shared by its tasks and the handle.
pub(super) struct State {
    pub(super) current: RefCell<Rc<Snapshot>>,
    /// Root record of the revision in force, as stored.
    pub(super) root: RefCell<Bytes>,
    /// Chunks of the revision in force, by hash.
    pub(super) chunks: RefCell<HashMap<String, Part>>,
    /// Highest revision heard of, in force or not.
    pub(super) seen: Cell<u64>,
    pub(super) contacts: RefCell<Contacts>,
    pub(super) asked: RefCell<Vec<Peer>>,
    pub(super) changes: watch::Sender<u64>,
    /// Start of the latest call that the service answered.
    pub(super) answered: Cell<Option<Instant>>,
    /// Fault of the service that was logged last; `None` after an answer.
    pub(super) fault: Cell<Option<Fault>>,
    /// Freshness that was logged last.
    pub(super) freshness: Cell<Freshness>,
    /// Revision that the service offered last.
    pub(super) offered: Cell<u64>,
    pub(super) rejected: Cell<u64>,
}

#[derive(Clone)]
pub(super) struct Part {
    pub(super) content: Bytes,
    pub(super) catalog: Rc<Catalog>,
}

impl State {
    pub(super) fn new(cut_off: Duration) -> Self {
        Self {
            current: RefCell::default(),
            root: RefCell::default(),
            chunks: RefCell::default(),
            seen: Cell::default(),
            contacts: RefCell::new(Contacts::new(cut_off)),
            asked: RefCell::default(),
            changes: watch::Sender::new(0),
            answered: Cell::default(),
            fault: Cell::default(),
            freshness: Cell::new(Freshness::CutOff),
            offered: Cell::default(),
            rejected: Cell::default(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.current.borrow().revision
    }

    pub(super) fn see(&self, revision: u64) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Notes a revision that the service offered. One below the revision in force is a stale
    /// read, which is no evidence of contact.
    pub(super) fn offer(&self, revision: u64) -> Result<(), ReadError> {
        self.see(revision);
        self.offered.set(revision);
        let in_force = self.revision();
        if revision < in_force {
            if self.is_news(Some(Fault::Older)) {
                spdlog::warn!(
                    "configuration: the service offers revision {revision}, older than {in_force} \
                     in force"
                );
            }
            self.rejected.set(self.rejected.get() + 1);
            return StaleSnafu { revision, in_force }.fail();
        }
        Ok(())
    }

    /// Whether a fault differs from the last one; each is logged once, and not with every call.
    pub(super) fn is_news(&self, fault: Option<Fault>) -> bool {
        self.fault.replace(fault) != fault
    }

    /// Whether no higher revision than the one in force is known.
    pub(super) fn is_latest(&self) -> bool {
        self.revision() >= self.seen.get()
    }

    /// Puts a revision in force, unless a higher one came into force meanwhile.
    pub(super) fn install(&self, root: &Root, stored: Bytes, parts: HashMap<String, Part>) {
        if root.revision <= self.revision() {
            return;
        }
        let catalog = chunk::join(root.chunks.iter().map(|hash| &*parts[hash].catalog));
        let snapshot = Snapshot::new(root.revision, catalog);
        *self.current.borrow_mut() = Rc::new(snapshot);
        *self.root.borrow_mut() = stored;
        *self.chunks.borrow_mut() = parts;
        self.changes.send_replace(root.revision);
        spdlog::info!("configuration: revision {} is in force", root.revision);
    }
}
