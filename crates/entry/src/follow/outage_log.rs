//! Logs the start and the end of a dependency's outage, with one line each instead of one for every
//! failed call.

use std::time::Instant;

use comfreyweir_clock::whole_millis;

/// Tracks whether a dependency answers, and logs changes.
#[derive(Debug)]
pub(crate) struct OutageLog {
    name: &'static str,
    since: Option<Instant>,
    failures: u32,
}

impl OutageLog {
    /// Starts with the dependency considered available.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failures: 0,
        }
    }

    /// Records a failed call; the first failure of an outage is logged.
    pub(crate) fn record_failure<E>(&mut self, e: &E, now: Instant)
    where
        E: std::fmt::Display,
    {
        self.failures += 1;
        if self.since.is_none() {
            self.since = Some(now);
            let reason = e.to_string();
            spdlog::warn!("dependency lost", kv: {
                dependency = self.name, reason = reason.as_str()
            });
        }
    }

    /// Records an answered call; the end of an outage is logged.
    pub(crate) fn record_success(&mut self, now: Instant) {
        if let Some(since) = self.since.take() {
            let ms = whole_millis(now.saturating_duration_since(since));
            spdlog::info!("dependency regained", kv: {
                dependency = self.name, ms, failures = self.failures
            });
        }
        self.failures = 0;
    }
}
