//! Directory of the upstreams that this instance knows.
//!
//! Entries come from the platform's store. Leases may expire while the store is unavailable, so
//! entries of live upstreams may be missing right after an outage. An instance that has seen one
//! keeps missing entries for a grace period, unless their upstreams have written them since: those
//! were removed. Lists of other instances hold as they are, since their readers have decided.
//!
//! An upstream that leaves also says so in its answers, at times before its entry does, or without
//! an entry that does. It then takes no new requests from this instance, whatever later lists say,
//! until another process is listed under its identifier. The same holds for one whose entry once
//! said so: the store may come back from a copy of before.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    upstream::{Phase, Upstream},
    versioned_list::{ListCopy, ListVersion},
};

/// Grace period after an outage in which missing entries are kept. The platform promises that live
/// upstreams are listed again within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which an upstream that leaves is remembered after it was last listed. Its entry may come
/// back after an outage of the store.
const LEAVING_MEMORY: Duration = Duration::from_mins(10);

/// The known upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Rc<Upstream>>,
    /// Version of the other instance's list that the entries are; none if this instance has read
    /// them itself.
    copied: Option<ListVersion>,
    revision: u64,
    read_at: Option<Instant>,
    grace: Option<Grace>,
    /// Upstreams that are kept though they are missing from the last list.
    missing: BTreeSet<String>,
    /// Processes that entries had as draining, by identifier: their start time in ms of Unix time, and
    /// when an entry last said so.
    drained: HashMap<String, (u64, Instant)>,
    /// Processes that said in an answer to this instance that they leave, with the time when they
    /// said so or were last listed.
    leaving: HashMap<UpstreamProcess, Instant>,
    /// Processes that said so to other instances, as of their last reports.
    leaving_elsewhere: BTreeSet<UpstreamProcess>,
}

/// An upstream's entry as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredUpstream {
    /// The upstream.
    pub upstream: Upstream,
    /// Store revision at which the entry was last written.
    pub written_at: u64,
}

/// Period after an outage of the store in which entries that may have lapsed are kept.
#[derive(Debug)]
struct Grace {
    until: Instant,
    /// Store revision of the first list that was read in this period.
    first_revision: Option<u64>,
    /// Upstreams that have written their entries after that list. They reach the store again.
    rewritten: BTreeSet<String>,
}

impl Grace {
    /// Records a list that was read from the store.
    fn record_list(&mut self, list: &[StoredUpstream], revision: u64) {
        let first_revision = *self.first_revision.get_or_insert(revision);
        let rewritten = list.iter().filter(|e| e.written_at > first_revision);
        self.rewritten
            .extend(rewritten.map(|e| e.upstream.id.clone()));
    }

    /// Whether the entry of an upstream that is missing from a list may have lapsed.
    fn may_have_lapsed(&self, upstream: &str) -> bool {
        !self.rewritten.contains(upstream)
    }
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
    /// Whether the entries are this copy of another instance's list.
    pub fn is_copy(&self, copy: &ListCopy) -> bool {
        self.copied == Some(copy.version())
    }

    /// Whether the entries are a copy of another instance's list. What engines hold in it may be old.
    pub fn is_any_copy(&self) -> bool {
        self.copied.is_some()
    }

    /// Replaces the entries by the copy of a list that another instance read at a store revision, or
    /// confirms them if they are that copy already. A list of an older revision is ignored.
    pub fn replace(&mut self, copy: &ListCopy, revision: u64, now: Instant) -> Changes {
        if revision < self.revision {
            return Changes::default();
        }
        if self.is_copy(copy) {
            self.record_read(revision, now);
            return Changes::default();
        }
        self.copied = Some(copy.version());
        self.apply(copy.list(), |_| false, revision, now)
    }

    /// Replaces the entries by a full list that this instance has read from the store, at a revision
    /// and by a call that began at `now`. A list of an older revision is ignored.
    pub fn replace_read(
        &mut self,
        list: Vec<StoredUpstream>,
        revision: u64,
        now: Instant,
    ) -> Changes {
        if revision < self.revision {
            return Changes::default();
        }
        self.copied = None;
        let mut grace = self.grace.take().filter(|grace| now < grace.until);
        if let Some(grace) = &mut grace {
            grace.record_list(&list, revision);
        }
        let list = list.into_iter().map(|entry| entry.upstream).collect();
        let is_kept = |id: &str| grace.as_ref().is_some_and(|g| g.may_have_lapsed(id));
        let changes = self.apply(list, is_kept, revision, now);
        self.grace = grace;
        changes
    }

    /// Replaces the entries by a full list, and keeps missing ones that `is_kept` names.
    fn apply<F>(&mut self, list: Vec<Upstream>, is_kept: F, revision: u64, now: Instant) -> Changes
    where
        F: Fn(&str) -> bool,
    {
        let mut changes = Changes::default();
        self.record_read(revision, now);
        let mut old = std::mem::take(&mut self.entries);
        let missing_before = std::mem::take(&mut self.missing);
        for mut upstream in list {
            self.apply_drained(&mut upstream, now);
            self.apply_leaving(&mut upstream, now);
            let before = old.remove(&upstream.id);
            record_change(&mut changes, before.as_deref(), &upstream);
            self.entries.insert(upstream.id.clone(), Rc::new(upstream));
        }
        for (id, upstream) in old {
            if is_kept(&id) {
                if !missing_before.contains(&id) {
                    changes.kept.push(id.clone());
                }
                self.missing.insert(id.clone());
                self.entries.insert(id, upstream);
            } else {
                changes.removed.push(id);
            }
        }
        let is_remembered = |at: Instant| now.saturating_duration_since(at) < LEAVING_MEMORY;
        self.leaving.retain(|_, at| is_remembered(*at));
        self.drained.retain(|_, (_, at)| is_remembered(*at));
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

    /// Marks an entry as draining if an entry had its process so before: the store may have come back
    /// from an older copy. A process without a start time cannot be told from the next one.
    fn apply_drained(&mut self, upstream: &mut Upstream, now: Instant) {
        let Some(born_ms) = upstream.born_ms else {
            return;
        };
        if upstream.phase != Phase::Ready {
            self.drained.insert(upstream.id.clone(), (born_ms, now));
        } else if let Some((drained_ms, _)) = self.drained.get(&upstream.id)
            && *drained_ms == born_ms
        {
            upstream.phase = Phase::Draining(None);
        }
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

    /// Begins the grace period in which missing entries are kept: the store answers again at `now`
    /// and may have lost some.
    pub fn begin_grace(&mut self, now: Instant) {
        self.grace = Some(Grace {
            until: now + RETURN_GRACE,
            first_revision: None,
            rewritten: BTreeSet::new(),
        });
    }

    fn record_read(&mut self, revision: u64, now: Instant) {
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
