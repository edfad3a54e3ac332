//! Directory of the upstreams that this instance knows.
//!
//! Entries come from the platform's store. Leases may expire while the store is unavailable, so
//! entries of live upstreams may be missing right after an outage. Missing entries are therefore
//! kept for a grace period.
//!
//! An upstream that leaves also says so in its answers, at times before its entry does, or without
//! an entry that does. It then takes no new requests from this instance, whatever later lists say,
//! until another process is listed under its identifier.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::upstream::{Phase, Upstream};

/// Time without a read after which entries of live upstreams may have expired.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Grace period after an outage in which missing entries are kept. The platform promises that live
/// upstreams are listed again within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which an upstream that leaves is remembered after it was last listed. Its entry may come
/// back after an outage of the store.
const LEAVING_MEMORY: Duration = Duration::from_mins(10);

/// The known upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Rc<Upstream>>,
    revision: u64,
    read_at: Option<Instant>,
    grace_until: Option<Instant>,
    /// Upstreams that are kept though they are missing from the last list.
    missing: BTreeSet<String>,
    /// Processes that said in an answer to this instance that they leave, with the time when they
    /// said so or were last listed.
    leaving: HashMap<UpstreamProcess, Instant>,
    /// Processes that said so to other instances, as of their last reports.
    leaving_elsewhere: BTreeSet<UpstreamProcess>,
}

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct UpstreamProcess {
    /// Identifier of the upstream.
    pub id: String,
    /// Start time of the process, in ms of Unix time, if reported.
    pub born_ms: Option<u64>,
}

impl UpstreamProcess {
    /// The process that an entry describes.
    pub fn of(upstream: &Upstream) -> Self {
        Self {
            id: upstream.id.clone(),
            born_ms: upstream.born_ms,
        }
    }
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
    /// Upstreams that are missing from this list for the first time and are kept.
    pub kept: Vec<String>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        let changed = [&self.added, &self.removed, &self.draining, &self.kept];
        changed.into_iter().all(Vec::is_empty)
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
        let missing_before = std::mem::take(&mut self.missing);
        for mut upstream in list {
            self.apply_leaving(&mut upstream, now);
            let before = old.remove(&upstream.id);
            record_change(&mut changes, before.as_deref(), &upstream);
            self.entries.insert(upstream.id.clone(), Rc::new(upstream));
        }
        for (id, upstream) in old {
            if in_grace {
                if !missing_before.contains(&id) {
                    changes.kept.push(id.clone());
                }
                self.missing.insert(id.clone());
                self.entries.insert(id, upstream);
            } else {
                changes.removed.push(id);
            }
        }
        self.leaving
            .retain(|_, at| now.saturating_duration_since(*at) < LEAVING_MEMORY);
        changes
    }

    /// Records that an upstream's process has said in an answer that it leaves. Returns whether this
    /// is new.
    pub fn record_leaving(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let process = UpstreamProcess::of(upstream);
        mark_draining(&mut self.entries, &process);
        self.leaving.insert(process, now).is_none()
    }

    /// Takes over that a listed upstream drains, from an entry that was read after the list. Returns
    /// whether it was ready.
    pub fn record_draining(&mut self, upstream: &Upstream) -> bool {
        let Some(entry) = self.entries.get_mut(&upstream.id) else {
            return false;
        };
        let starts_draining = entry.born_ms == upstream.born_ms
            && entry.phase == Phase::Ready
            && upstream.phase != Phase::Ready;
        if starts_draining {
            Rc::make_mut(entry).phase = upstream.phase;
        }
        starts_draining
    }

    /// Listed processes that have said in an answer to this instance that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamProcess> {
        self.leaving.keys().filter(|process| {
            let entry = self.entries.get(&process.id);
            entry.is_some_and(|entry| entry.born_ms == process.born_ms)
        })
    }

    /// Sets which processes have said to other instances that they leave. One that is no longer among
    /// them is ready again with the next list that has it as ready.
    pub fn set_leaving_elsewhere(&mut self, processes: BTreeSet<UpstreamProcess>) {
        for process in processes.difference(&self.leaving_elsewhere) {
            mark_draining(&mut self.entries, process);
        }
        self.leaving_elsewhere = processes;
    }

    /// Marks an entry as draining if its process is known to leave.
    fn apply_leaving(&mut self, upstream: &mut Upstream, now: Instant) {
        if self.leaving.is_empty() && self.leaving_elsewhere.is_empty() {
            return;
        }
        let process = UpstreamProcess::of(upstream);
        let heard_at = self.leaving.get_mut(&process);
        let is_leaving = heard_at.is_some() || self.leaving_elsewhere.contains(&process);
        if let Some(at) = heard_at {
            *at = now.max(*at);
        }
        if is_leaving && upstream.phase == Phase::Ready {
            upstream.phase = Phase::Draining(None);
        }
    }

    /// Records that the list is unchanged at a later store revision.
    pub fn confirm(&mut self, revision: u64, now: Instant) {
        if revision >= self.revision {
            self.record_read(revision, now);
        }
    }

    /// Begins the grace period in which missing entries are kept, because the store may have lost
    /// some.
    pub fn begin_grace(&mut self, now: Instant) {
        self.grace_until = Some(now + RETURN_GRACE);
    }

    fn record_read(&mut self, revision: u64, now: Instant) {
        let since_last_read = self.read_at.map(|at| now.saturating_duration_since(at));
        if since_last_read.is_some_and(|elapsed| elapsed > OUTAGE_THRESHOLD) {
            self.begin_grace(now);
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

    /// Number of upstreams that are kept though they are missing from the last list.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
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

fn mark_draining(entries: &mut BTreeMap<String, Rc<Upstream>>, process: &UpstreamProcess) {
    if let Some(entry) = entries.get_mut(&process.id)
        && entry.born_ms == process.born_ms
        && entry.phase == Phase::Ready
    {
        Rc::make_mut(entry).phase = Phase::Draining(None);
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
