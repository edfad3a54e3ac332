//! Load of an upstream: its lagging report, corrected by the gate's own calls.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Time for which ended calls are remembered. Reports that lag more are taken as they are.
const MEMORY: Duration = Duration::from_secs(5);

/// A call that runs on an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(u64);

/// The gate's own calls of one upstream.
#[derive(Clone, Debug, Default)]
pub struct OwnCalls {
    next: u64,
    running: BTreeMap<CallId, Instant>,
    ended: VecDeque<(Instant, Instant)>,
    paused_until: Option<Instant>,
}

impl OwnCalls {
    /// Notes the begin of a call.
    pub fn begin(&mut self, now: Instant) -> CallId {
        let id = CallId(self.next);
        self.next += 1;
        self.running.insert(id, now);
        id
    }

    /// Notes the end of a call.
    pub fn end(&mut self, id: CallId, now: Instant) {
        if let Some(begun) = self.running.remove(&id) {
            self.ended.push_back((begun, now));
        }
        while let Some((_, ended)) = self.ended.front()
            && now.duration_since(*ended) > MEMORY
        {
            self.ended.pop_front();
        }
    }

    /// Gives the upstream no new call until `until`, because a call has failed.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Whether the upstream gets no new call.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Calls that run now.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Estimates the requests on the upstream now, when `reported` were there at `at`.
    pub fn estimate(&self, reported: u32, at: Instant) -> u32 {
        let others = reported.saturating_sub(self.running_at(at));
        others.saturating_add(self.running())
    }

    fn running_at(&self, at: Instant) -> u32 {
        let still = self.running.values().filter(|begun| **begun <= at);
        let since = self.ended.iter();
        let since = since.filter(|(begun, ended)| *begun <= at && at < *ended);
        u32::try_from(still.count() + since.count()).unwrap_or(u32::MAX)
    }
}
