//! Evacuated availability zones, and home regions: whether an upstream may be used by its zone.
//!
//! The operator evacuates a zone by a key in the platform's store. An instance learns of it from its own
//! reads or from other instances. What it knows has the store revision of the read that it comes from,
//! and revisions increase over all eras of the store, so that an older state never replaces a newer one.
//! A known state stays in force however old it is: an evacuation ends only by a newer read that lacks
//! the key.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Age of what is known at which an instance reads the store itself, as a fraction of the time within
/// which an evacuation must be in force. The rest is for the read, and for another one if it fails.
const OWN_READ_AGE_RATIO: f64 = 0.65;
/// Time for which the end of an evacuation is remembered. Far longer than upstreams stay cold after a
/// start.
const END_MEMORY: Duration = Duration::from_mins(10);

/// Where the evacuations were learned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationSource {
    /// From a read or watch of the store.
    Store,
    /// From the holder of the planning duty.
    Holder,
    /// From another instance.
    Instance,
}

impl EvacuationSource {
    /// Name in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Holder => "holder",
            Self::Instance => "instance",
        }
    }
}

/// An evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuated {
    /// When the first of the instances that it was learned through learned of it.
    pub since: Instant,
    /// Where this instance learned of it.
    pub source: EvacuationSource,
}

/// The end of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationEnd {
    /// When it was learned that the evacuation had ended.
    pub learned_at: Instant,
    /// Store revision of the read that lacked the key. Entries that were written at a higher revision
    /// were written after the end.
    pub revision: u64,
}

/// The evacuations that an instance knows, as it sends them to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationNews {
    /// Store revision of the read that it comes from.
    pub revision: u64,
    /// Time in ms since the state was last confirmed to be the newest; none if that is not known.
    pub age_ms: Option<u64>,
    /// Evacuated zones, with the time in ms since when that is known.
    pub zones: Vec<(String, u64)>,
    /// Zones whose evacuation has ended: the revision, and the time in ms since when that is known.
    pub ended: Vec<(String, u64, u64)>,
}

/// What a newer state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Zones that are evacuated now and were not before.
    pub begun: Vec<String>,
    /// Zones that were evacuated before.
    pub ended: Vec<String>,
    /// Whether no state was known before.
    pub is_first: bool,
}

impl EvacuationChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty() && !self.is_first
    }
}

/// The evacuations that this instance knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: Option<Known>,
    ended: BTreeMap<String, EvacuationEnd>,
}

#[derive(Debug)]
struct Known {
    revision: u64,
    zones: BTreeMap<String, Evacuated>,
    /// Time at which the state was certainly the newest.
    confirmed_at: Option<Instant>,
}

impl Evacuations {
    /// Takes over the zones that a read of the store at `revision` has found, unless a newer state is
    /// known. `confirmed_at` is a time at which the state was the newest, none if that is not known.
    pub fn learn(
        &mut self,
        zones: &BTreeSet<String>,
        revision: u64,
        source: EvacuationSource,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        match &mut self.known {
            Some(known) if revision < known.revision => return changes,
            Some(known) if revision == known.revision => {
                known.confirmed_at = known.confirmed_at.max(confirmed_at);
                return changes;
            }
            _ => {}
        }
        let before = self.known.take();
        changes.is_first = before.is_none();
        let (old, old_confirmed_at) = before
            .map(|known| (known.zones, known.confirmed_at))
            .unwrap_or_default();
        let mut new = BTreeMap::new();
        for zone in zones {
            let evacuated = old.get(zone).copied().unwrap_or_else(|| {
                changes.begun.push(zone.clone());
                self.ended.remove(zone);
                Evacuated { since: now, source }
            });
            new.insert(zone.clone(), evacuated);
        }
        for zone in old.into_keys().filter(|zone| !new.contains_key(zone)) {
            let end = EvacuationEnd {
                learned_at: now,
                revision,
            };
            self.ended.insert(zone.clone(), end);
            changes.ended.push(zone);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < END_MEMORY;
        self.ended.retain(|_, end| is_recent(end.learned_at));
        self.known = Some(Known {
            revision,
            zones: new,
            confirmed_at: old_confirmed_at.max(confirmed_at),
        });
        changes
    }

    /// Takes over what another instance knows. `sent_after` is a time before which it was certainly not
    /// sent; without it the age of the state says nothing.
    pub fn learn_news(
        &mut self,
        news: &EvacuationNews,
        source: EvacuationSource,
        sent_after: Option<Instant>,
        now: Instant,
    ) -> EvacuationChanges {
        let confirmed_at = sent_after.zip(news.age_ms);
        let confirmed_at =
            confirmed_at.and_then(|(at, ms)| at.checked_sub(Duration::from_millis(ms)));
        // Too late by the time on the way: an end then counts as more recent, which is the safe side.
        let before = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        let zones = news.zones.iter().map(|(zone, _)| zone.clone()).collect();
        let changes = self.learn(&zones, news.revision, source, confirmed_at, now);
        let is_outdated = self.revision() > Some(news.revision);
        for (zone, ms) in &news.zones {
            let known = self.known.as_mut().and_then(|k| k.zones.get_mut(zone));
            if let (Some(known), Some(since), false) = (known, before(*ms), is_outdated) {
                known.since = known.since.min(since);
            }
        }
        for (zone, revision, ms) in &news.ended {
            let is_newer = self.ended.get(zone).is_none_or(|e| e.revision < *revision);
            // The end of an earlier evacuation says nothing of the present one.
            if is_newer && !self.is_evacuated(zone) {
                let end = EvacuationEnd {
                    learned_at: before(*ms).unwrap_or(now),
                    revision: *revision,
                };
                self.ended.insert(zone.clone(), end);
            }
        }
        changes
    }

    /// What this instance knows, for another one; none if it knows no state.
    pub fn news(&self, now: Instant) -> Option<EvacuationNews> {
        let known = self.known.as_ref()?;
        let ms = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        let zones = known.zones.iter();
        let ended = self.ended.iter();
        Some(EvacuationNews {
            revision: known.revision,
            age_ms: known.confirmed_at.map(ms),
            zones: zones.map(|(zone, e)| (zone.clone(), ms(e.since))).collect(),
            ended: ended
                .map(|(zone, e)| (zone.clone(), e.revision, ms(e.learned_at)))
                .collect(),
        })
    }

    /// Whether this instance has to read the store itself. `bound` is the time within which an
    /// evacuation must be in force.
    pub fn is_read_due(&self, bound: Duration, now: Instant) -> bool {
        self.age(now)
            .is_none_or(|age| age >= bound.mul_f64(OWN_READ_AGE_RATIO))
    }

    /// Time since the state was last confirmed to be the newest; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.known.as_ref()?.confirmed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Whether any state is known.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Store revision of the known state; none if no state is known.
    pub fn revision(&self) -> Option<u64> {
        self.known.as_ref().map(|known| known.revision)
    }

    /// Whether a zone is known to be evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.zones.contains_key(zone))
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = (&str, &Evacuated)> {
        let known = self.known.iter().flat_map(|known| &known.zones);
        known.map(|(zone, evacuated)| (zone.as_str(), evacuated))
    }

    /// When the last evacuation of a zone ended; none if it is still evacuated, was not evacuated in the
    /// last 10 minutes, or its end is not known here.
    pub fn ended_at(&self, zone: &str) -> Option<EvacuationEnd> {
        self.ended.get(zone).copied()
    }
}

/// Why nothing may be sent to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneRefusal {
    /// It is not known yet which zones are evacuated.
    Unknown,
    /// The zone is evacuated.
    Evacuated,
    /// The zone is not in a home region.
    NotHome,
}

/// What decides whether an upstream may be used by its zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneRules<'a> {
    /// The evacuations; none if they are not followed.
    pub evacuations: Option<&'a Evacuations>,
    /// Regions by zone.
    pub regions: Option<&'a BTreeMap<String, String>>,
    /// Home regions of the route and of the workspace. All lists apply that are not empty.
    pub homes: [&'a [String]; 2],
}

impl ZoneRules<'_> {
    /// Whether something may be sent to an upstream in this zone, and if not, why.
    ///
    /// # Errors
    ///
    /// The first reason that speaks against it: home regions, then evacuations.
    pub fn check(&self, zone: &str) -> Result<(), ZoneRefusal> {
        if !self.is_home(zone) {
            return Err(ZoneRefusal::NotHome);
        }
        match self.evacuations {
            Some(evacuations) if !evacuations.is_known() => Err(ZoneRefusal::Unknown),
            Some(evacuations) if evacuations.is_evacuated(zone) => Err(ZoneRefusal::Evacuated),
            _ => Ok(()),
        }
    }

    /// Whether there are home regions at all.
    pub fn has_homes(&self) -> bool {
        self.homes.iter().any(|home| !home.is_empty())
    }

    /// Whether a zone is in all home regions. One without a known region is in none.
    pub fn is_home(&self, zone: &str) -> bool {
        if !self.has_homes() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(zone));
        let is_in = |home: &[String]| region.is_some_and(|region| home.contains(region));
        self.homes.iter().all(|home| home.is_empty() || is_in(home))
    }
}
