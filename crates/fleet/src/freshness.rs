//! How old known data is, and which of two sources of it is fresher.
//!
//! The list of upstreams, the configuration and the placement reach an instance from the store and from
//! the holder of the planning duty. Each has a version that rises with every change, over all holders
//! and all eras of the store. Data of an older version never replaces newer data. The age counts from
//! when the version was last known to be the newest, whichever source said so.

use std::time::{Duration, Instant};

/// Version and age of known data.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness<V> {
    version: V,
    confirmed_at: Option<Instant>,
    /// The newest version that was heard of, and since when one newer than the known data has been.
    newer: Option<(V, Instant)>,
}

impl<V> Freshness<V>
where
    V: Copy + Ord,
{
    /// Version of the known data.
    pub fn version(&self) -> V {
        self.version
    }

    /// Whether data of a version may replace the known data: it is not older.
    pub fn accepts(&self, version: V) -> bool {
        version >= self.version
    }

    /// Like [`Self::accepts`], but data that was not confirmed for `max_age` may be replaced by any.
    pub fn accepts_after(&self, version: V, max_age: Duration, now: Instant) -> bool {
        self.accepts(version) || !self.is_younger(max_age, now)
    }

    /// Records that data of a version is known from `now` on, and that it was the newest at `at`; `None`
    /// if that is not known.
    pub fn take(&mut self, version: V, at: Option<Instant>, now: Instant) {
        self.version = version;
        self.confirm(at);
        self.newer = self.newer.filter(|(newer, _)| *newer > version);
        if let Some((_, since)) = &mut self.newer {
            *since = now;
        }
    }

    /// Records that the known data was the newest at `at`. `None` has no effect, and neither has a time
    /// before the last confirmation.
    pub fn confirm(&mut self, at: Option<Instant>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that a source had a version as the newest at `at`. Returns whether a newer one than ever
    /// before was heard of.
    pub fn hear_of(&mut self, version: V, at: Option<Instant>, now: Instant) -> bool {
        if version <= self.version {
            self.confirm(at);
            return false;
        }
        let is_news = self.newer.is_none_or(|(newer, _)| newer < version);
        if is_news {
            let since = self.newer.map_or(now, |(_, since)| since);
            self.newer = Some((version, since));
        }
        is_news
    }

    /// Time since a version was heard of that is newer than the known data; none if there is none.
    /// Further versions that are heard of do not begin it anew.
    pub fn newer_age(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.newer?;
        Some(now.saturating_duration_since(since))
    }

    /// When the known data was last confirmed to be the newest; none if it never was.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Time since the known data was last confirmed to be the newest; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Whether the known data was confirmed to be the newest less than `max_age` ago.
    pub fn is_younger(&self, max_age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < max_age)
    }
}
