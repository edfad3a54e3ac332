//! Artifacts that this gate uses.

use std::collections::BTreeMap;

/// Requests that run through this gate, by served name.
#[derive(Default)]
pub(super) struct UsageTable {
    running: BTreeMap<String, u32>,
}

impl UsageTable {
    pub(super) fn started(&mut self, served_name: &str) {
        *self.running.entry(served_name.to_owned()).or_default() += 1;
    }

    pub(super) fn ended(&mut self, served_name: &str) {
        if let Some(running) = self.running.get_mut(served_name) {
            *running = running.saturating_sub(1);
        }
    }

    /// What runs now, and what has ended since the last call with zero.
    pub(super) fn report(&mut self) -> BTreeMap<String, u32> {
        let report = self.running.clone();
        self.running.retain(|_, running| *running > 0);
        report
    }
}
