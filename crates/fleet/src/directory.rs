//! Directory of the upstreams that this instance knows.
//!
//! Entries come from the platform's store. Leases may expire while the store is unavailable, so
//! entries of live upstreams may be missing right after an outage. An instance that has seen one
//! keeps missing entries for a grace period, unless their upstreams have written them since: those
//! were removed. The period ends at once if other instances reached the store meanwhile, so that only
//! the path of this instance was interrupted.
//!
//! Lists of other instances hold as they are, since their readers have decided, except for the entries
//! that they only keep. Such an entry is not taken back after a later list lacked it, and it is dropped
//! if this instance knows that there was no outage.
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
    freshness::Freshness,
    store_contact::{StoreContact, StoreReach, StoreReachAge},
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
    /// Store revision and age of the list.
    freshness: Freshness<u64>,
    contact: StoreContact,
    grace: Option<Grace>,
    /// Upstreams that are kept though they are missing from the last list, with the store revision of the
    /// last list that had them.
    missing: BTreeMap<String, u64>,
    /// When the last list that had one of them was read; none if there are none.
    missing_since: Option<Instant>,
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
    /// Whether the store has come back from a copy, whatever other instances reached meanwhile.
    is_after_copy: bool,
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
    ///
    /// Entries that the other instance keeps are kept here too, if this instance lists the same process
    /// or has no later list that lacks it, and if an outage may have made them lapse.
    pub fn replace(&mut self, copy: &ListCopy, revision: u64, now: Instant) -> Changes {
        if !self.freshness.accepts(revision) {
            return Changes::default();
        }
        let listed_at = self.missing_since.or(self.freshness.confirmed_at());
        let may_have_lapsed = self.may_have_lapsed(listed_at.unwrap_or(now), now);
        if self.is_copy(copy) && (may_have_lapsed || self.missing.is_empty()) {
            self.freshness.take(revision, Some(now), now);
            return Changes::default();
        }
        self.copied = Some(copy.version());
        let known_revision = self.freshness.version();
        let kept = copy.kept().filter(|_| may_have_lapsed);
        let kept = kept.map(|(u, listed_at)| (&u.id, (u, listed_at)));
        let kept: BTreeMap<_, _> = kept.collect();
        let is_kept = |known: &Upstream| {
            let kept = kept.get(&known.id);
            kept.is_some_and(|(upstream, _)| upstream.born_ms == known.born_ms)
        };
        let mut changes = self.apply(copy.listed().cloned().collect(), is_kept, revision, now);
        for (id, (upstream, listed_at)) in kept {
            if listed_at > known_revision && !self.entries.contains_key(id) {
                let mut upstream = upstream.clone();
                self.apply_drained(&mut upstream, now);
                self.apply_leaving(&mut upstream, now);
                changes.removed.retain(|removed| removed != id);
                changes.added.push(id.clone());
                self.entries.insert(id.clone(), Rc::new(upstream));
                self.missing.insert(id.clone(), listed_at);
                self.missing_since.get_or_insert(now);
            }
        }
        changes
    }

    /// Whether entries that were listed at a time, and are missing from a list that was read at `now`, may
    /// have lapsed with the store.
    fn may_have_lapsed(&self, listed_at: Instant, now: Instant) -> bool {
        let has_grace = self.grace.as_ref().is_some_and(|grace| now < grace.until);
        // Entries may lapse until the end of the grace period that follows an outage.
        let from = listed_at.checked_sub(RETURN_GRACE);
        has_grace || from.is_none_or(|from| !self.contact.is_steady(from, now))
    }

    /// Replaces the entries by a full list that this instance has read from the store, at a revision
    /// and by a call that began at `now`. A list of an older revision is ignored.
    pub fn replace_read(
        &mut self,
        list: Vec<StoredUpstream>,
        revision: u64,
        now: Instant,
    ) -> Changes {
        if !self.freshness.accepts(revision) {
            return Changes::default();
        }
        self.copied = None;
        let mut grace = self.grace.take().filter(|grace| now < grace.until);
        if let Some(grace) = &mut grace {
            grace.record_list(&list, revision);
        }
        let list = list.into_iter().map(|entry| entry.upstream).collect();
        let is_kept = |u: &Upstream| grace.as_ref().is_some_and(|g| g.may_have_lapsed(&u.id));
        let changes = self.apply(list, is_kept, revision, now);
        self.grace = grace;
        changes
    }

    /// Replaces the entries by a full list, and keeps missing ones that `is_kept` names.
    fn apply<F>(&mut self, list: Vec<Upstream>, is_kept: F, revision: u64, now: Instant) -> Changes
    where
        F: Fn(&Upstream) -> bool,
    {
        let mut changes = Changes::default();
        let (listed_revision, listed_at) =
            (self.freshness.version(), self.freshness.confirmed_at());
        self.freshness.take(revision, Some(now), now);
        let mut old = std::mem::take(&mut self.entries);
        let missing_before = std::mem::take(&mut self.missing);
        let missing_since = self.missing_since.take().or(listed_at);
        for mut upstream in list {
            self.apply_drained(&mut upstream, now);
            self.apply_leaving(&mut upstream, now);
            let before = old.remove(&upstream.id);
            record_change(&mut changes, before.as_deref(), &upstream);
            self.entries.insert(upstream.id.clone(), Rc::new(upstream));
        }
        for (id, upstream) in old {
            if is_kept(&upstream) {
                let known = missing_before.get(&id).copied();
                if known.is_none() {
                    changes.kept.push(id.clone());
                }
                let last_listed = known.unwrap_or(listed_revision);
                self.missing.insert(id.clone(), last_listed);
                self.missing_since = missing_since;
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

    /// Begins the grace period in which missing entries are kept: the store has come back from a copy,
    /// seen at `now`, and may have lost some.
    pub fn begin_copy_grace(&mut self, now: Instant) {
        self.begin_grace(now);
        if let Some(grace) = &mut self.grace {
            grace.is_after_copy = true;
        }
    }

    /// Begins the grace period in which missing entries are kept: the store answers again at `now` after
    /// an outage, and may have lost some.
    pub fn begin_grace(&mut self, now: Instant) {
        let before = self.grace.take().filter(|grace| now < grace.until);
        self.grace = Some(Grace {
            until: now + RETURN_GRACE,
            is_after_copy: before.is_some_and(|grace| grace.is_after_copy),
            first_revision: None,
            rewritten: BTreeSet::new(),
        });
    }

    /// Records that the store has answered a call of this instance at `now`; upstreams write their entries
    /// each `heartbeat`. If this ends an outage, the grace period begins, and the time without an answer
    /// is returned.
    pub fn record_store_answer(&mut self, heartbeat: Duration, now: Instant) -> Option<Duration> {
        let outage = self.contact.record_answer(heartbeat, now);
        if outage.is_some() {
            self.begin_grace(now);
        }
        outage
    }

    /// Records that the store has not answered a call of this instance.
    pub fn record_store_failure(&mut self) {
        self.contact.record_failure();
    }

    /// Records when another instance reached the store; upstreams write each `heartbeat`. If the store was not out of reach for it while
    /// it was for this one, the grace period is over, the entries that are kept are removed, and the
    /// changes are returned.
    pub fn record_store_reach(
        &mut self,
        heartbeat: Duration,
        reach: StoreReach,
    ) -> Option<Changes> {
        if !self.contact.record_reach(heartbeat, reach) {
            return None;
        }
        let mut changes = Changes::default();
        if self.grace.take_if(|grace| !grace.is_after_copy).is_some() {
            changes.removed = std::mem::take(&mut self.missing).into_keys().collect();
            self.missing_since = None;
            for id in &changes.removed {
                self.entries.remove(id);
            }
        }
        Some(changes)
    }

    /// When instances reached the store last, to be sent to others.
    pub fn store_reach(&self, now: Instant) -> Option<StoreReachAge> {
        self.contact.reach_age(now)
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

    /// Upstreams that are kept though they are missing from the last list, with the store revision of the
    /// last list that had them.
    pub fn missing(&self) -> &BTreeMap<String, u64> {
        &self.missing
    }

    /// Number of upstreams that are kept though they are missing from the last list.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Store revision at which the list was last read or confirmed.
    pub fn revision(&self) -> u64 {
        self.freshness.version()
    }

    /// Store revision at which the list was last read or confirmed, and when; none if it never was.
    pub fn read(&self) -> Option<(u64, Instant)> {
        Some((self.freshness.version(), self.freshness.confirmed_at()?))
    }

    /// Time since the list was last read or confirmed; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.age(now)
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
