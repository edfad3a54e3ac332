//! Tells an outage of the store from an outage of this instance's own path to it, and from a pause in
//! its calls.
//!
//! A long time without an answer proves nothing by itself: nobody may have called, or only this
//! instance may have been cut off. An outage of the store has ended only if calls failed, none was
//! answered for as long as entries of live upstreams need to lapse, and no other instance is known to
//! have reached the store meanwhile.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Heartbeats of an upstream that must fail before its entry lapses. Entries lapse after three
/// heartbeats of silence, and the last one may have been written just before the first that failed.
const FAILED_HEARTBEATS: u32 = 2;

/// Time in which the store answered instances without a gap in which entries lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReach {
    /// First answer.
    pub since: Instant,
    /// Last answer.
    pub until: Instant,
}

/// A [`StoreReach`] as instances send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreReachAge {
    /// Time in ms since the first answer.
    pub since_ms: u64,
    /// Time in ms since the last answer.
    pub until_ms: u64,
}

impl StoreReachAge {
    /// The times, by a message that was sent after `sent_after` and arrives at `now`. The result is not
    /// longer than the time that is meant, however long the message took.
    pub fn reach(self, sent_after: Instant, now: Instant) -> Option<StoreReach> {
        let since = now.checked_sub(Duration::from_millis(self.since_ms))?;
        let until = sent_after.checked_sub(Duration::from_millis(self.until_ms))?;
        (since <= until).then_some(StoreReach { since, until })
    }
}

/// Answers of the store to this instance's calls of all kinds, and to those of others.
#[derive(Debug, Default)]
pub struct StoreContact {
    answered_at: Option<Instant>,
    has_failed: bool,
    /// Longest time without an answer in which no entry lapses.
    max_gap: Duration,
    /// Last time in which any instance reached the store, as far as is known.
    reach: Option<StoreReach>,
    /// End of the time before, which a longer gap separates from `reach`.
    reached_before: Option<Instant>,
    /// Last time without an answer to this instance that may have been an outage of the store.
    outage: Option<StoreReach>,
}

impl StoreContact {
    /// Records an answered call. Returns the time without an answer if this one ends an outage in
    /// which entries of upstreams that write each `heartbeat` may have lapsed.
    pub fn record_answer(&mut self, heartbeat: Duration, now: Instant) -> Option<Duration> {
        self.max_gap = heartbeat * FAILED_HEARTBEATS;
        let has_failed = std::mem::take(&mut self.has_failed);
        // An instance that has not reached the store itself goes by what others have said.
        let reached_before = self.reached_before.or(self.reach.map(|reach| reach.until));
        self.extend_reach(StoreReach {
            since: now,
            until: now,
        });
        let before = self.answered_at.replace(now).or(reached_before)?;
        let silence = now.saturating_duration_since(before);
        if !has_failed || silence < self.max_gap || self.covers(before, now) {
            return None;
        }
        self.outage = Some(StoreReach {
            since: before,
            until: now,
        });
        Some(silence)
    }

    /// Records a call that the store did not answer.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records when another instance reached the store; upstreams write each `heartbeat`. Returns whether
    /// this shows that the last outage was one of this instance's own path.
    pub fn record_reach(&mut self, heartbeat: Duration, reach: StoreReach) -> bool {
        self.max_gap = heartbeat * FAILED_HEARTBEATS;
        self.extend_reach(reach);
        let is_own = self.outage.is_some_and(|o| self.covers(o.since, o.until));
        if is_own {
            self.outage = None;
        }
        is_own
    }

    /// When instances reached the store last, to be sent to others.
    pub fn reach_age(&self, now: Instant) -> Option<StoreReachAge> {
        let age = |at| {
            let ms = now.saturating_duration_since(at).as_millis();
            u64::try_from(ms).unwrap_or(u64::MAX)
        };
        let StoreReach { since, until } = self.reach?;
        Some(StoreReachAge {
            since_ms: age(since),
            until_ms: age(until),
        })
    }

    /// Whether no outage in which entries lapse has ended since `from`, up to `to`.
    pub fn is_steady(&self, from: Instant, to: Instant) -> bool {
        self.reach
            .is_some_and(|reach| reach.since <= from && to < reach.until + self.max_gap)
    }

    /// Whether no outage in which entries lapse lies between two answers of the store.
    fn covers(&self, from: Instant, to: Instant) -> bool {
        self.reach.is_some_and(|reach| {
            reach.since < from + self.max_gap && to < reach.until + self.max_gap
        })
    }

    /// Joins a time in which the store was reached to the known one, or keeps the later one.
    fn extend_reach(&mut self, other: StoreReach) {
        let known = self.reach.unwrap_or(other);
        let (first, mut last) = if known.until <= other.until {
            (known, other)
        } else {
            (other, known)
        };
        if last.since < first.until + self.max_gap {
            last.since = last.since.min(first.since);
        } else {
            self.reached_before = Some(first.until);
        }
        self.reach = Some(last);
    }
}
