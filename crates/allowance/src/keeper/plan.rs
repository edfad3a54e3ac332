//! What a keeper wants to change in the record of shares.

use std::time::Instant;

use super::{Keeper, LIST_CONTACTS};
use crate::{ledger::Ledger, shares::Edit};

impl Keeper {
    /// The next change, if there is one to make.
    pub(super) fn plan(
        &self,
        ledger: &Ledger,
        listed: Option<usize>,
        now: Instant,
    ) -> Option<Edit> {
        let table = self.seen.table();
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
        let settled = self.is_settled(now);
        table.plan_grow(&self.me).filter(|_| settled)
    }

    fn plan_join(&self, listed: Option<usize>, now: Instant) -> Option<Edit> {
        self.lease.valid_until()?;
        let waited = now.saturating_duration_since(self.started);
        let enough = self.timing.contact * LIST_CONTACTS;
        if self.is_leaving() || listed.is_none() && waited < enough {
            return None;
        }
        let table = self.seen.table();
        table.plan_join(&self.me, listed.unwrap_or(1))
    }
}
