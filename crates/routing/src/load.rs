//! Estimates the load of an upstream: its last report, which lags, corrected by this gate's own
//! calls.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// How long ended calls are kept. Reports that lag by more are not corrected for them.
const ENDED_CALL_RETENTION: Duration = Duration::from_secs(5);

/// Identifies a running call among this gate's calls to one upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(u64);

/// This gate's calls to one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCalls {
    next_id: u64,
    running: BTreeMap<CallId, Instant>,
    /// Begin and end of recently ended calls, in the order in which they ended.
    ended: VecDeque<(Instant, Instant)>,
    paused_until: Option<Instant>,
}

impl UpstreamCalls {
    /// Records the start of a call.
    pub fn begin(&mut self, now: Instant) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.running.insert(id, now);
        id
    }

    /// Records the end of a call.
    pub fn end(&mut self, id: CallId, now: Instant) {
        if let Some(begun) = self.running.remove(&id) {
            self.ended.push_back((begun, now));
        }
        while let Some((_, ended)) = self.ended.front()
            && now.duration_since(*ended) > ENDED_CALL_RETENTION
        {
            self.ended.pop_front();
        }
    }

    /// Stops new calls to the upstream until `until`, after a call has failed. Never shortens a
    /// pause.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Whether new calls to the upstream are stopped.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Number of calls that are running.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Estimates the number of requests now on the upstream, which reported `reported` at time
    /// `at`.
    pub fn estimate(&self, reported: u32, at: Instant) -> u32 {
        let others = reported.saturating_sub(self.running_at(at));
        others.saturating_add(self.running())
    }

    fn running_at(&self, at: Instant) -> u32 {
        let still_running = self.running.values().filter(|begun| **begun <= at);
        let ended_since = self.ended.iter();
        let ended_since = ended_since.filter(|(begun, ended)| *begun <= at && at < *ended);
        u32::try_from(still_running.count() + ended_since.count()).unwrap_or(u32::MAX)
    }
}
