//! Logs entries in the store that cannot be used. Their writers may write them again with every
//! heartbeat, and under any number of keys.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use crate::platform::StoreItem;

/// Longest key and longest reason in a line, in bytes.
const MAX_TEXT_BYTES: usize = 400;
/// Most lines in one period.
const MAX_LINES_PER_PERIOD: u32 = 20;
/// Length of a period.
const PERIOD: Duration = Duration::from_mins(1);

/// Logs the entries of one list that are ignored: each once while it stays so.
#[derive(Debug, Default)]
pub(super) struct IgnoredLog {
    /// Keys of the entries that are ignored.
    ignored: HashSet<String>,
    period_start: Option<Instant>,
    lines: u32,
    left_out: u32,
}

impl IgnoredLog {
    /// Records an entry that is ignored.
    pub(super) fn record(&mut self, item: &StoreItem, reason: &str, now: Instant) {
        if self.ignored.contains(&item.key) {
            return;
        }
        self.ignored.insert(item.key.clone());
        if self.try_acquire(now) {
            log_ignored(item, reason);
        }
    }

    /// Forgets entries that `is_ignored` does not name any more.
    pub(super) fn retain<F>(&mut self, is_ignored: F)
    where
        F: Fn(&str) -> bool,
    {
        self.ignored.retain(|key| is_ignored(key));
    }

    fn try_acquire(&mut self, now: Instant) -> bool {
        let has_ended = |start: Instant| now.saturating_duration_since(start) >= PERIOD;
        if self.period_start.is_none_or(has_ended) {
            self.period_start = Some(now);
            self.lines = 0;
            let left_out = std::mem::take(&mut self.left_out);
            if left_out > 0 {
                spdlog::warn!("lines on ignored entries left out", kv: { left_out });
            }
        }
        self.lines += 1;
        if self.lines > MAX_LINES_PER_PERIOD {
            self.left_out += 1;
            return false;
        }
        true
    }
}

/// Logs an entry that is ignored.
pub(super) fn log_ignored(item: &StoreItem, reason: &str) {
    spdlog::warn!("entry in the store is ignored", kv: {
        key = shorten(&item.key), revision = item.revision, reason = shorten(reason)
    });
}

fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
