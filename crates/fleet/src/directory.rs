//! Directory of the upstreams that this instance knows.
//!
//! Entries come from the platform's store. Leases may expire while the store is unavailable, so
//! entries of live upstreams may be missing right after an outage. Missing entries are therefore
//! kept for a grace period.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::upstream::{Phase, Upstream};

/// Time without a read after which entries of live upstreams may have expired.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Grace period after an outage in which missing entries are kept. The platform promises that live
/// upstreams are listed again within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// The known upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Rc<Upstream>>,
    revision: u64,
    read_at: Option<Instant>,
    grace_until: Option<Instant>,
}

/// Identifiers of the upstreams that a new list changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Upstreams that are new or were restarted under the same identifier.
    pub added: Vec<String>,
    /// Upstreams that were removed.
    pub removed: Vec<String>,
    /// Upstreams that stopped taking new requests.
    pub draining: Vec<String>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.draining.is_empty()
    }
}

impl Directory {
    /// Replaces the entries by a full list that was read at a store revision. A list of an older
    /// revision is ignored.
    pub fn replace(&mut self, list: Vec<Upstream>, revision: u64, now: Instant) -> Changes {
        let mut changes = Changes::default();
        if revision < self.revision {
            return changes;
        }
        self.record_read(revision, now);
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let mut old = std::mem::take(&mut self.entries);
        for upstream in list {
            let before = old.remove(&upstream.id);
            record_change(&mut changes, before.as_deref(), &upstream);
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

    /// Records that the list is unchanged at a later store revision.
    pub fn confirm(&mut self, revision: u64, now: Instant) {
        if revision >= self.revision {
            self.record_read(revision, now);
        }
    }

    fn record_read(&mut self, revision: u64, now: Instant) {
        let since_last_read = self.read_at.map(|at| now.saturating_duration_since(at));
        if since_last_read.is_some_and(|elapsed| elapsed > OUTAGE_THRESHOLD) {
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

    /// Store revision at which the list was last read or confirmed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the list was last read or confirmed; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_duration_since(at))
    }
}

fn record_change(changes: &mut Changes, old: Option<&Upstream>, new: &Upstream) {
    match old {
        Some(old) if old.born_ms == new.born_ms => {
            if old.phase == Phase::Ready && new.phase != Phase::Ready {
                changes.draining.push(new.id.clone());
            }
        }
        _ => changes.added.push(new.id.clone()),
    }
}
