//! Records when the store answers this instance and others, which tells an outage of the store from one
//! of this instance's own path to it.

use std::time::{Duration, Instant};

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::store_contact::StoreReachAge;

use crate::{
    platform::{Platform, PlatformError},
    state::EntryContext,
};

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// Records that the store has answered a call. After an outage, upstreams that are missing from
    /// the list are kept for a while.
    pub(crate) fn record_store_answer(&self) {
        let heartbeat = self.settings().timing.upstream_heartbeat();
        let now = self.now();
        let outage = self
            .directory
            .borrow_mut()
            .record_store_answer(heartbeat, now);
        if let Some(outage) = outage {
            spdlog::warn!("the store answers again after an outage", kv: {
                ms = whole_millis(outage)
            });
        }
    }

    /// Records that a call to the store has failed.
    pub(crate) fn record_store_failure(&self, e: &PlatformError) {
        if !e.is_rate_limit() {
            self.directory.borrow_mut().record_store_failure();
        }
    }

    /// Records when another instance reached the store, by a message that was sent after `sent_after`. If
    /// an outage was one of this instance's own path, upstreams that were kept after it are removed.
    pub(crate) fn record_store_reach(&self, reach: Option<StoreReachAge>, sent_after: Instant) {
        let now = self.now();
        let Some(reach) = reach.and_then(|reach| reach.reach(sent_after, now)) else {
            return;
        };
        let heartbeat = self.settings().timing.upstream_heartbeat();
        let mut directory = self.directory.borrow_mut();
        let Some(changes) = directory.record_store_reach(heartbeat, reach) else {
            return;
        };
        let (revision, age) = (directory.revision(), directory.age(now));
        drop(directory);
        self.metrics.count_path_outage();
        spdlog::info!("the outage was one of the path to the store", kv: {
            removed = changes.removed.len()
        });
        self.announce_upstreams(&changes, revision, age, "reach");
    }

    /// Records that the store has come back from a copy. Entries of upstreams may be missing until
    /// they are written again.
    pub(crate) fn record_store_copy(&self) {
        self.store_copied_at.set(Some(self.clock.since_boot()));
        self.directory.borrow_mut().begin_copy_grace(self.now());
    }

    /// Time since the store has come back from a copy; none if it has not, as far as is known.
    pub(crate) fn time_since_store_copy(&self) -> Option<Duration> {
        let at = self.store_copied_at.get()?;
        Some(self.clock.since_boot().saturating_sub(at))
    }
}
