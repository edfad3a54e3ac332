//! Log lines of a dependency that is lost and regained: one line each, not one a failed call.

use std::time::Instant;

use comfreyweir_clock::whole_millis;

/// Whether a dependency answers.
#[derive(Debug)]
pub(crate) struct Outage {
    name: &'static str,
    since: Option<Instant>,
    failures: u32,
}

impl Outage {
    /// A dependency that answers, as far as known.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            failures: 0,
        }
    }

    /// Notes a failed call.
    pub(crate) fn failed<E>(&mut self, e: &E, now: Instant)
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

    /// Notes an answered call.
    pub(crate) fn answered(&mut self, now: Instant) {
        if let Some(since) = self.since.take() {
            let ms = whole_millis(now.saturating_duration_since(since));
            spdlog::info!("dependency regained", kv: {
                dependency = self.name, ms, failures = self.failures
            });
        }
        self.failures = 0;
    }
}
