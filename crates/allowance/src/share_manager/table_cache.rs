//! This gate's copy of the share table.

use std::time::Instant;

use super::{Outcome, Value, Version};
use crate::shares::ShareTable;

/// The latest version of the share table that was read or written. An older version never replaces
/// it, even if the key-value service returns one.
pub(super) struct TableCache {
    version: Version,
    table: ShareTable,
    /// Whether the table must be read again before it is edited.
    stale: bool,
    changed_at: Instant,
}

impl TableCache {
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

    /// When this gate last got a newer version.
    pub(super) fn changed_at(&self) -> Instant {
        self.changed_at
    }

    pub(super) fn set_stale(&mut self) {
        self.stale = true;
    }

    /// Replaces the table, unless `version` is not newer. Marks the table as read in any case.
    pub(super) fn set(&mut self, version: Version, table: ShareTable, now: Instant) {
        self.stale = false;
        if version > self.version {
            self.version = version;
            self.table = table;
            self.changed_at = now;
        }
    }

    pub(super) fn handle_read(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Found(Some((version, Value::Shares(table)))) => self.set(version, table, now),
            Outcome::Found(None) => self.stale = false,
            _ => {}
        }
    }

    pub(super) fn handle_watch(&mut self, outcome: Outcome, now: Instant) {
        if let Outcome::Found(Some((version, Value::Shares(table)))) = outcome {
            self.set(version, table, now);
        }
    }
}
