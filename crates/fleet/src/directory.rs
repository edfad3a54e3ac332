//! The upstreams that exist, as far as this instance knows.
//!
//! Entries come from the platform's store. While the store is away its leases may lapse, so that
//! entries of live upstreams are missing right after its return; they are kept for a grace time.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::upstream::{Phase, Upstream};

/// Time without a read after which entries may have lapsed although their upstreams live.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Time after an outage within which live upstreams are back in the list.
///
/// The platform promises about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// The upstreams that exist.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Rc<Upstream>>,
    revision: u64,
    read_at: Option<Instant>,
    grace_until: Option<Instant>,
}

/// What a new list changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Upstreams that are new, or whose process was started anew.
    pub added: Vec<String>,
    /// Upstreams that were removed.
    pub removed: Vec<String>,
    /// Upstreams that no longer take requests.
    pub draining: Vec<String>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.draining.is_empty()
    }
}

impl Directory {
    /// Takes over a whole list that was read at a store revision. An older list is ignored.
    pub fn replace(&mut self, list: Vec<Upstream>, revision: u64, now: Instant) -> Changes {
        let mut changes = Changes::default();
        if revision < self.revision {
            return changes;
        }
        self.note_read(revision, now);
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let mut old = std::mem::take(&mut self.entries);
        for upstream in list {
            let before = old.remove(&upstream.id);
            note(&mut changes, before.as_deref(), &upstream);
            self.entries.insert(upstream.id.clone(), Rc::new(upstream));
        }
        for (id, upstream) in old {
            if in_grace {
                self.entries.insert(id, upstream);
            } else {
                changes.removed.push(id);
            }
        }
        changes
    }

    /// Notes that the list is still the same at a later store revision.
    pub fn confirm(&mut self, revision: u64, now: Instant) {
        if revision >= self.revision {
            self.note_read(revision, now);
        }
    }

    fn note_read(&mut self, revision: u64, now: Instant) {
        let silence = self.read_at.map(|at| now.saturating_duration_since(at));
        if silence.is_some_and(|silence| silence > OUTAGE) {
            self.grace_until = Some(now + RETURN_GRACE);
        }
        self.revision = revision;
        self.read_at = Some(self.read_at.map_or(now, |at| at.max(now)));
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.entries.values()
    }

    /// An upstream by identifier.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.entries.get(id)
    }

    /// Upstreams of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Upstream>> {
        self.iter()
            .filter(move |u| u.service == service && u.phase == Phase::Ready)
    }

    /// Store revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the list was read; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_duration_since(at))
    }
}

fn note(changes: &mut Changes, before: Option<&Upstream>, now: &Upstream) {
    match before {
        Some(before) if before.born_ms == now.born_ms => {
            if before.phase == Phase::Ready && now.phase != Phase::Ready {
                changes.draining.push(now.id.clone());
            }
        }
        _ => changes.added.push(now.id.clone()),
    }
}
