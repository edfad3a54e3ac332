//! Sends a list of upstreams as differences.
//!
//! Each change goes to all instances. As a whole, the list would take most of the holder's bandwidth
//! in large fleets. What engines hold changes all the time and is not sent as a change: instances get
//! it with the placement.
//!
//! Entries that the sender keeps though they are missing from the list that it has read are marked, with
//! the store revision of the last list that had them. A receiver may know better that they are gone.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::upstream::Upstream;

/// Version of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListVersion {
    /// Number drawn at random for each list, so that versions of different holders differ.
    pub list: u64,
    /// Number of changes of that list; 0 if none is known.
    pub number: u64,
}

/// Changes from one version of a list to another, but for those of what engines hold.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListChanges {
    /// Version after the changes.
    pub version: ListVersion,
    /// Whether `upstreams` is the complete list.
    pub is_whole: bool,
    /// Upstreams that are new or changed.
    pub upstreams: Vec<Upstream>,
    /// Identifiers of upstreams that were removed.
    pub removed: Vec<String>,
    /// Upstreams that the sender now keeps though they are missing from the list that it has read, with
    /// the store revision of the last list that had them.
    pub kept: Vec<(String, u64)>,
    /// Upstreams that were kept and are in the list again.
    pub listed: Vec<String>,
}

/// The sender's side: a list that remembers when each entry last changed.
#[derive(Debug, Default)]
pub struct VersionedList {
    version: ListVersion,
    entries: BTreeMap<String, Rc<Upstream>>,
    /// Number of the change that last concerned each upstream, also of removed ones.
    changed_at: HashMap<String, u64>,
    /// Upstreams that are kept though they are missing, as in [`ListChanges::kept`].
    kept: BTreeMap<String, u64>,
    /// Number of the change that last concerned the mark of each upstream.
    kept_changed_at: HashMap<String, u64>,
}

impl VersionedList {
    /// Creates an empty list. `list` identifies it.
    pub fn new(list: u64) -> Self {
        Self {
            version: ListVersion { list, number: 0 },
            ..Self::default()
        }
    }

    /// Replaces the entries. `kept` names those that are kept though they are missing from the last list,
    /// with the store revision of the last one that had them.
    pub fn update(&mut self, upstreams: &[Rc<Upstream>], kept: &BTreeMap<String, u64>) {
        let number = self.version.number + 1;
        let mut before = std::mem::take(&mut self.entries);
        let mut has_changed = self.version.number == 0;
        for upstream in upstreams {
            let old = before.remove(&upstream.id);
            // Entries are the same `Rc` until the list is read again, which saves comparing
            // contents.
            let is_same = old.is_some_and(|old| {
                Rc::ptr_eq(&old, upstream) || old.is_same_but_for_holding(upstream)
            });
            if !is_same {
                has_changed = true;
                self.changed_at.insert(upstream.id.clone(), number);
            }
            self.entries
                .insert(upstream.id.clone(), Rc::clone(upstream));
        }
        for id in before.into_keys() {
            has_changed = true;
            self.changed_at.insert(id, number);
        }
        if self.kept != *kept {
            has_changed = true;
            let begins = kept
                .iter()
                .filter(|(id, at)| self.kept.get(*id) != Some(at));
            let begins = begins.map(|(id, _)| id);
            let ends = self.kept.keys().filter(|id| !kept.contains_key(*id));
            let changed = begins.chain(ends).map(|id| (id.clone(), number));
            self.kept_changed_at.extend(changed);
            self.kept.clone_from(kept);
        }
        if has_changed {
            self.version.number = number;
        }
    }

    /// Changes since a version that a receiver knows; none if it knows the current one.
    pub fn changes_since(&self, known: ListVersion) -> Option<ListChanges> {
        if known == self.version {
            return None;
        }
        let is_whole = known.list != self.version.list || known.number > self.version.number;
        let is_new = |id: &String| is_whole || self.changed_at[id] > known.number;
        let upstreams = self.entries.values().filter(|u| is_new(&u.id));
        let removed = self.changed_at.keys();
        let removed =
            removed.filter(|id| !is_whole && is_new(id) && !self.entries.contains_key(*id));
        let has_new_mark = |id: &String| is_whole || self.kept_changed_at[id] > known.number;
        let kept = self.kept.iter().filter(|(id, _)| has_new_mark(id));
        let is_listed = |id: &String| !self.kept.contains_key(id) && self.entries.contains_key(id);
        let listed = self.kept_changed_at.keys();
        let listed = listed.filter(|id| !is_whole && has_new_mark(id) && is_listed(id));
        Some(ListChanges {
            version: self.version,
            is_whole,
            upstreams: upstreams.map(|u| (**u).clone()).collect(),
            removed: removed.cloned().collect(),
            kept: kept.map(|(id, at)| (id.clone(), *at)).collect(),
            listed: listed.cloned().collect(),
        })
    }
}

/// The receiver's side: a copy of a list.
#[derive(Debug, Default)]
pub struct ListCopy {
    version: ListVersion,
    entries: BTreeMap<String, Upstream>,
    /// Entries that the sender keeps, as in [`ListChanges::kept`].
    kept: BTreeMap<String, u64>,
}

impl ListCopy {
    /// Version that the copy has.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Applies changes.
    pub fn apply(&mut self, changes: ListChanges) {
        if changes.is_whole {
            self.entries.clear();
            self.kept.clear();
        }
        for id in &changes.removed {
            self.entries.remove(id);
        }
        for id in changes.removed.iter().chain(&changes.listed) {
            self.kept.remove(id);
        }
        self.kept.extend(changes.kept);
        let upstreams = changes.upstreams.into_iter();
        self.entries.extend(upstreams.map(|u| (u.id.clone(), u)));
        self.version = changes.version;
    }

    /// All entries.
    pub fn list(&self) -> Vec<Upstream> {
        self.entries.values().cloned().collect()
    }

    /// Entries that the sender keeps though they are missing from the list that it has read, with the
    /// store revision of the last list that had them.
    pub fn kept(&self) -> impl Iterator<Item = (&Upstream, u64)> {
        let kept = self.kept.iter();
        kept.filter_map(|(id, listed_at)| Some((self.entries.get(id)?, *listed_at)))
    }

    /// The other entries.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        let is_kept = |upstream: &&Upstream| self.kept.contains_key(&upstream.id);
        self.entries.values().filter(move |u| !is_kept(u))
    }
}
