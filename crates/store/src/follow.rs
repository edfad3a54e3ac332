//! Following the configuration.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::watch;

use crate::snapshot::Snapshot;

/// How far a process can trust the configuration it has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// In contact with the service, or with a peer that is.
    Current,
    /// The service is down for all peers: no change can be accepted, so the last revision stands.
    ServiceDown,
    /// Neither the service nor any peer was reached within the cut-off time.
    CutOff,
}

/// Handle of a task that follows the configuration.
#[derive(Clone)]
pub struct Follower {
    current: Rc<RefCell<Rc<Snapshot>>>,
    changes: watch::Receiver<u64>,
    freshness: Rc<RefCell<Freshness>>,
}

impl Follower {
    /// A configuration that never changes.
    pub fn fixed(snapshot: Snapshot) -> Self {
        let (_, changes) = watch::channel(snapshot.revision);
        Self {
            current: Rc::new(RefCell::new(Rc::new(snapshot))),
            changes,
            freshness: Rc::new(RefCell::new(Freshness::Current)),
        }
    }

    /// The revision in force.
    pub fn current(&self) -> Rc<Snapshot> {
        Rc::clone(&self.current.borrow())
    }

    /// Notifies of every revision that comes into force.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Whether the revision in force can be trusted.
    pub fn freshness(&self) -> Freshness {
        *self.freshness.borrow()
    }
}
