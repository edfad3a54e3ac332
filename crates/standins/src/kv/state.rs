//! Keys, versions and leases.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

/// Old versions of a key that are kept for stale reads.
const HISTORY: usize = 64;

/// What was called so far.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Writes, conflicts included.
    pub writes: u64,
    /// Watches, each one call however long it waits.
    pub watches: u64,
    /// Calls that concern leases.
    pub leases: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Most watches that waited at once.
    pub most_waiting: u64,
    /// Writes that met another version.
    pub conflicts: u64,
    /// Calls refused for the rate.
    pub limited: u64,
    /// Calls that met an outage.
    pub failed: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Calls by the first part of the key.
    pub by_prefix: BTreeMap<String, u64>,
}

#[derive(Default)]
pub(super) struct Entry {
    pub(super) version: u64,
    pub(super) value: Option<Bytes>,
    lease: Option<u64>,
    history: VecDeque<(u64, Bytes)>,
    pub(super) changed: Rc<Notify>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

/// Outcome of a compare-and-swap.
pub(super) enum Written {
    At(u64),
    Conflict(u64),
    NoLease,
}

#[derive(Default)]
pub(super) struct State {
    entries: HashMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    pub(super) counts: Counts,
}

impl State {
    /// The key's newest version and value.
    pub(super) fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let entry = self.entries.get(key)?;
        Some((entry.version, entry.value.clone()?))
    }

    /// The key as it stood some versions ago.
    pub(super) fn read_stale(&self, key: &str, versions: usize) -> Option<(u64, Bytes)> {
        let entry = self.entries.get(key)?;
        let oldest = entry.history.front().cloned();
        let back = entry.history.iter().rev().nth(versions);
        back.cloned().or(oldest)
    }

    /// Notifies of changes of the key.
    pub(super) fn changed(&mut self, key: &str) -> Rc<Notify> {
        let entry = self.entries.entry(key.to_owned()).or_default();
        Rc::clone(&entry.changed)
    }

    pub(super) fn swap(
        &mut self,
        key: &str,
        expected: Option<u64>,
        value: Option<Bytes>,
        lease: Option<u64>,
    ) -> Written {
        self.lapse();
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Written::NoLease;
        }
        let entry = self.entries.entry(key.to_owned()).or_default();
        let stands_at = entry.value.as_ref().map_or(0, |_| entry.version);
        if expected.is_some_and(|expected| expected != stands_at) {
            return Written::Conflict(stands_at);
        }
        entry.set(value, lease);
        Written::At(entry.version)
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let until = Instant::now() + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, until });
        self.last_lease
    }

    /// Renews a lease; false when it has lapsed.
    pub(super) fn renew(&mut self, id: u64) -> bool {
        self.lapse();
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.until = Instant::now() + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; false when it has lapsed already.
    pub(super) fn revoke(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let bound = self.entries.values_mut().filter(|e| e.lease == Some(id));
        bound.for_each(|entry| entry.set(None, None));
        known
    }

    /// Removes what was bound to leases that have lapsed.
    pub(super) fn lapse(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    /// All keys with their versions and sizes, for the control address.
    pub(super) fn keys(&self) -> BTreeMap<String, (u64, usize)> {
        let living = self.entries.iter().filter_map(|(key, entry)| {
            let bytes = entry.value.as_ref()?.len();
            Some((key.clone(), (entry.version, bytes)))
        });
        living.collect()
    }
}

impl Entry {
    /// Versions go on rising over deletions, so that no old expectation is ever met again.
    fn set(&mut self, value: Option<Bytes>, lease: Option<u64>) {
        self.version += 1;
        if let Some(value) = &value {
            self.history.push_back((self.version, value.clone()));
        }
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        self.value = value;
        self.lease = lease;
        self.changed.notify_waiters();
    }
}
