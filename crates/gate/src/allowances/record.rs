//! The record of shares in the key-value service, as this gate has seen it.

use std::time::{Duration, Instant};

use comfreyweir_allowance::shares::ShareTable;
use comfreyweir_platform::kv::{self, Kv, KvError, Recorded, Swap, Version};

/// Key of the record.
const SHARES_KEY: &str = "shares";

/// Whether a change was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Written {
    /// The record stands as it was meant to.
    Yes,
    /// Another gate was first; the record has to be read again.
    No,
}

/// The latest version of the record that was seen. Older versions are never taken, whatever the
/// service offers.
pub(super) struct Record<K> {
    kv: K,
    version: Version,
    table: ShareTable,
    /// Whether the table has to be read before it is changed.
    stale: bool,
    changed_at: Instant,
}

impl<K> Record<K>
where
    K: Kv,
{
    pub(super) fn new(kv: K, now: Instant) -> Self {
        Self {
            kv,
            version: 0,
            table: ShareTable::default(),
            stale: true,
            changed_at: now,
        }
    }

    pub(super) fn table(&self) -> &ShareTable {
        &self.table
    }

    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// When this gate last saw the record change.
    pub(super) fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Reads the record if it may have changed since it was seen.
    pub(super) async fn refresh(&mut self, now: Instant) -> Result<(), KvError> {
        if !self.stale {
            return Ok(());
        }
        if let Some((version, found)) = kv::get_recorded(&self.kv, SHARES_KEY).await? {
            self.take(version, found, now);
        }
        self.stale = false;
        Ok(())
    }

    /// Waits until the record changes, at most `wait`.
    pub(super) async fn watch<F>(&mut self, wait: Duration, clock: F) -> Result<(), KvError>
    where
        F: Fn() -> Instant,
    {
        let found = self.kv.watch(SHARES_KEY, self.version, wait).await?;
        if let Some(found) = found {
            let record = kv::decode(SHARES_KEY, &found.value)?;
            self.take(found.version, record, clock());
        }
        Ok(())
    }

    /// Writes the next state of the record.
    pub(super) async fn write(
        &mut self,
        table: ShareTable,
        now: Instant,
    ) -> Result<Written, KvError> {
        let record = Recorded {
            write_id: write_id(),
            body: table,
        };
        // Until the outcome is known the record may be in either state.
        self.stale = true;
        match kv::swap_recorded(&self.kv, SHARES_KEY, self.version, &record).await? {
            Swap::Written(version) => {
                self.take(version, record, now);
                self.stale = false;
                Ok(Written::Yes)
            }
            Swap::Conflict => Ok(Written::No),
        }
    }

    fn take(&mut self, version: Version, record: Recorded<ShareTable>, now: Instant) {
        if version > self.version {
            self.version = version;
            self.table = record.body;
            self.changed_at = now;
        }
    }
}

/// An identifier that no other write has.
pub(super) fn write_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
