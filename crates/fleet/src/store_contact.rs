//! Tells an outage of the store from a pause in this instance's own calls.
//!
//! A long time without an answer proves nothing by itself: nobody may have called. An outage has
//! ended only if calls failed and none was answered for as long as entries of live upstreams need
//! to lapse.

use std::time::{Duration, Instant};

/// Heartbeats of an upstream that must fail before its entry lapses. Entries lapse after three
/// heartbeats of silence, and the last one may have been written just before the first that failed.
const FAILED_HEARTBEATS: u32 = 2;

/// This instance's calls to the store, of all kinds.
#[derive(Debug, Default)]
pub struct StoreContact {
    answered_at: Option<Instant>,
    has_failed: bool,
}

impl StoreContact {
    /// Records an answered call. Returns the time without an answer if this one ends an outage in
    /// which entries of upstreams that write each `heartbeat` may have lapsed.
    pub fn record_answer(&mut self, heartbeat: Duration, now: Instant) -> Option<Duration> {
        let has_failed = std::mem::take(&mut self.has_failed);
        let before = self.answered_at.replace(now)?;
        let silence = now.saturating_duration_since(before);
        (has_failed && silence >= heartbeat * FAILED_HEARTBEATS).then_some(silence)
    }

    /// Records a call that the store did not answer.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }
}
