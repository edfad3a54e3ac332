//! The record of shares as this gate has seen it.

use std::time::Instant;

use super::{Outcome, Value, Version};
use crate::shares::ShareTable;

/// The latest version of the record that was seen. Older versions are never taken, whatever the
/// service offers.
pub(super) struct Seen {
    version: Version,
    table: ShareTable,
    /// Whether the record has to be read before it is changed.
    stale: bool,
    changed_at: Instant,
}

impl Seen {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            version: 0,
            table: ShareTable::default(),
            stale: true,
            changed_at: now,
        }
    }

    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn table(&self) -> &ShareTable {
        &self.table
    }

    pub(super) fn is_stale(&self) -> bool {
        self.stale
    }

    /// When this gate last saw the record change.
    pub(super) fn changed_at(&self) -> Instant {
        self.changed_at
    }

    pub(super) fn set_stale(&mut self) {
        self.stale = true;
    }

    pub(super) fn take(&mut self, version: Version, table: ShareTable, now: Instant) {
        self.stale = false;
        if version > self.version {
            self.version = version;
            self.table = table;
            self.changed_at = now;
        }
    }

    pub(super) fn answer_read(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Found(Some((version, Value::Shares(table)))) => self.take(version, table, now),
            Outcome::Found(None) => self.stale = false,
            _ => {}
        }
    }

    pub(super) fn answer_watch(&mut self, outcome: Outcome, now: Instant) {
        if let Outcome::Found(Some((version, Value::Shares(table)))) = outcome {
            self.take(version, table, now);
        }
    }
}
