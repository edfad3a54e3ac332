//! Decides the next edit of the share table.

use std::time::Instant;

use super::{LIST_WAIT_CONTACT_INTERVALS, ShareManager};
use crate::{ledger::Ledger, shares::Edit};

impl ShareManager {
    /// The next edit of the share table, if one is due.
    pub(super) fn plan(
        &self,
        ledger: &Ledger,
        listed: Option<usize>,
        now: Instant,
    ) -> Option<Edit> {
        let table = self.table_cache.table();
        let Some(own) = table.weight_of(&self.me) else {
            return self.plan_join(listed, now);
        };
        if self.is_leaving() {
            let weight = ledger.least_weight();
            return (weight == 0).then_some(Edit::Leave);
        }
        if let Some(Edit::Shrink { weight }) = table.plan_shrink(&self.me) {
            let weight = weight.max(ledger.least_weight());
            return (weight < own).then_some(Edit::Shrink { weight });
        }
        let stable = self.is_stable(now);
        table.plan_grow(&self.me).filter(|_| stable)
    }

    fn plan_join(&self, listed: Option<usize>, now: Instant) -> Option<Edit> {
        self.lease.valid_until()?;
        let waited = now.saturating_duration_since(self.started);
        let max_wait = self.timing.contact_interval * LIST_WAIT_CONTACT_INTERVALS;
        if self.is_leaving() || listed.is_none() && waited < max_wait {
            return None;
        }
        let table = self.table_cache.table();
        table.plan_join(&self.me, listed.unwrap_or(1))
    }
}
