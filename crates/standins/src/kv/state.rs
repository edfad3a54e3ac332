//! Stored keys with their versions, and leases.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

/// Number of versions of a key, the newest included, that are kept for stale reads.
const HISTORY_VERSIONS: usize = 64;

/// Counts of calls since the start.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Reads of keys.
    pub reads: u64,
    /// Writes and deletions, conflicts included.
    pub writes: u64,
    /// Watches; each call counts once, however long it waits.
    pub watches: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Highest number of watches waiting at the same time.
    pub most_waiting: u64,
    /// Writes refused because the key was not at the expected version.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
    /// Calls that failed because of an outage.
    pub failed: u64,
    /// Bytes of values returned by reads and watches.
    pub read_bytes: u64,
    /// Bytes of values stored by successful writes.
    pub written_bytes: u64,
    /// Calls by the third segment of their path, which is the first one of the key for reads,
    /// writes and watches.
    pub by_prefix: BTreeMap<String, u64>,
}

#[derive(Default)]
pub(super) struct KeyEntry {
    pub(super) version: u64,
    /// `None` if the key does not exist: it was deleted, or only watched so far.
    pub(super) value: Option<Bytes>,
    lease: Option<u64>,
    /// Stored versions with their values, oldest first; deletions are left out.
    history: VecDeque<(u64, Bytes)>,
    pub(super) changed: Rc<Notify>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Outcome of a compare-and-swap.
pub(super) enum WriteOutcome {
    /// The key is now at this version.
    Applied(u64),
    /// Not applied: the key is at this version and not at the expected one.
    Conflict(u64),
    /// Not applied: the lease is unknown or has expired.
    LeaseNotFound,
}

#[derive(Default)]
pub(super) struct KvState {
    entries: HashMap<String, KeyEntry>,
    leases: HashMap<u64, Lease>,
    last_lease_id: u64,
    pub(super) counts: Counts,
}

impl KvState {
    /// The key's newest version and value; `None` if it does not exist.
    pub(super) fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let entry = self.entries.get(key)?;
        Some((entry.version, entry.value.clone()?))
    }

    /// The key as it was `versions` versions ago, or the oldest stored version.
    pub(super) fn read_stale(&self, key: &str, versions: usize) -> Option<(u64, Bytes)> {
        let entry = self.entries.get(key)?;
        let oldest = entry.history.front().cloned();
        let stale = entry.history.iter().rev().nth(versions);
        stale.cloned().or(oldest)
    }

    /// Signals every later change of the key, which need not exist yet.
    pub(super) fn change_notify(&mut self, key: &str) -> Rc<Notify> {
        let entry = self.entries.entry(key.to_owned()).or_default();
        Rc::clone(&entry.changed)
    }

    /// Writes the value, or deletes the key when `value` is `None`, if the key is at the `expected`
    /// version; a key that does not exist is at version 0, and without an expectation the write is
    /// unconditional. The key is then bound to `lease` only.
    pub(super) fn compare_and_swap(
        &mut self,
        key: &str,
        expected: Option<u64>,
        value: Option<Bytes>,
        lease: Option<u64>,
    ) -> WriteOutcome {
        self.expire_leases();
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return WriteOutcome::LeaseNotFound;
        }
        let entry = self.entries.entry(key.to_owned()).or_default();
        let current_version = entry.value.as_ref().map_or(0, |_| entry.version);
        if expected.is_some_and(|expected| expected != current_version) {
            return WriteOutcome::Conflict(current_version);
        }
        entry.set(value, lease);
        WriteOutcome::Applied(entry.version)
    }

    /// Grants a lease and returns its identifier.
    pub(super) fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease_id += 1;
        let expires_at = Instant::now() + ttl;
        self.leases
            .insert(self.last_lease_id, Lease { ttl, expires_at });
        self.last_lease_id
    }

    /// Renews a lease for its whole TTL; false if it is unknown or has expired.
    pub(super) fn renew_lease(&mut self, id: u64) -> bool {
        self.expire_leases();
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = Instant::now() + lease.ttl;
        true
    }

    /// Ends a lease and deletes the keys bound to it; false if it is unknown or has expired.
    pub(super) fn revoke_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let bound = self.entries.values_mut().filter(|e| e.lease == Some(id));
        bound.for_each(|entry| entry.set(None, None));
        known
    }

    /// Ends the leases that have expired and deletes the keys bound to them.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// All existing keys with their versions and sizes in bytes, for the control address.
    pub(super) fn keys(&self) -> BTreeMap<String, (u64, usize)> {
        let existing = self.entries.iter().filter_map(|(key, entry)| {
            let bytes = entry.value.as_ref()?.len();
            Some((key.clone(), (entry.version, bytes)))
        });
        existing.collect()
    }
}

impl KeyEntry {
    /// Sets or deletes the value and notifies watches. The version rises with deletions too, so
    /// that a compare-and-swap that expects a version from before a deletion can't succeed.
    fn set(&mut self, value: Option<Bytes>, lease: Option<u64>) {
        self.version += 1;
        if let Some(value) = &value {
            self.history.push_back((self.version, value.clone()));
        }
        if self.history.len() > HISTORY_VERSIONS {
            self.history.pop_front();
        }
        self.value = value;
        self.lease = lease;
        self.changed.notify_waiters();
    }
}
