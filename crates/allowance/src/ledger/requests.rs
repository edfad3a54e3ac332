//! Reservations and charges of requests.

use std::time::Instant;

use super::{
    Charge, ChargeKey, Ledger, Reservation, ReservationKey, ReserveError, WorkspaceKey,
    round_up_to_tokens, to_microtokens,
};

impl Ledger {
    /// Reserves `cost` tokens for a waiting request, or none if they are not all free.
    pub fn reserve(
        &mut self,
        workspace: WorkspaceKey,
        cost: u64,
        now: Instant,
    ) -> Result<ReservationKey, ReserveError> {
        self.advance(now);
        self.check_cost(workspace, cost)?;
        self.refill_bucket(workspace, now);
        let missing = self.missing(workspace, to_microtokens(cost));
        if missing > 0 {
            return Err(ReserveError::MissingTokens(missing));
        }
        Ok(self.insert_reservation(workspace, to_microtokens(cost)))
    }

    /// Reserves as much of `cost` as is free; [`Ledger::extend`] adds the rest.
    pub fn reserve_available(
        &mut self,
        workspace: WorkspaceKey,
        cost: u64,
        now: Instant,
    ) -> Result<ReservationKey, ReserveError> {
        self.advance(now);
        self.check_cost(workspace, cost)?;
        self.refill_bucket(workspace, now);
        let level = self.accounts[workspace].bucket.level();
        let amount = level.clamp(0, to_microtokens(cost));
        Ok(self.insert_reservation(workspace, amount))
    }

    /// Extends a reservation towards `cost`, and returns how many tokens are still missing.
    pub fn extend(&mut self, key: ReservationKey, cost: u64, now: Instant) -> u64 {
        self.advance(now);
        let Some(reservation) = self.reservations.get_mut(key) else {
            return cost;
        };
        let bucket = &mut self.accounts[reservation.workspace].bucket;
        bucket.advance(now);
        let wanted = (to_microtokens(cost) - reservation.amount).max(0);
        let amount = wanted.min(bucket.level().max(0));
        bucket.reserve(amount);
        reservation.amount += amount;
        round_up_to_tokens(wanted - amount)
    }

    /// Cancels a reservation and returns its tokens.
    pub fn release(&mut self, key: ReservationKey, now: Instant) {
        self.advance(now);
        if let Some(reservation) = self.reservations.remove(key) {
            let bucket = self.refill_bucket(reservation.workspace, now);
            bucket.release(reservation.amount);
        }
    }

    /// Turns a reservation into a charge, right before the request is sent. Fails and cancels the
    /// reservation when the workspace is no longer configured, or the cap no longer covers the
    /// committed tokens because the share lapsed, a loan expired or the allowance was lowered.
    pub fn charge(&mut self, key: ReservationKey, now: Instant) -> Result<ChargeKey, ReserveError> {
        self.advance(now);
        let reservation = self
            .reservations
            .remove(key)
            .ok_or(ReserveError::UnknownWorkspace)?;
        let Reservation { workspace, amount } = reservation;
        let configured = self.accounts[workspace].configured;
        let bucket = self.refill_bucket(workspace, now);
        if !configured {
            bucket.release(amount);
            return Err(ReserveError::UnknownWorkspace);
        }
        if !bucket.covers_committed() {
            bucket.release(amount);
            return Err(ReserveError::MissingTokens(round_up_to_tokens(amount)));
        }
        bucket.charge(amount);
        Ok(self.charges.insert(Charge {
            workspace,
            remaining: amount,
            used: 0,
        }))
    }

    /// Records how many tokens of a charge have been used in total so far. A lower number than
    /// before is ignored.
    ///
    /// The bucket is refilled up to `now` first: until now the outstanding tokens counted against
    /// the cap and left no room for that refill.
    pub fn record_usage(&mut self, charge: ChargeKey, used: u64, now: Instant) {
        self.advance(now);
        let Some(charged) = self.charges.get_mut(charge) else {
            return;
        };
        let more = to_microtokens(used.saturating_sub(charged.used));
        let covered = more.min(charged.remaining);
        charged.remaining -= covered;
        charged.used = charged.used.max(used);
        let bucket = &mut self.accounts[charged.workspace].bucket;
        bucket.advance(now);
        bucket.consume(covered);
        bucket.consume_uncharged(more - covered);
    }

    /// Ends a charge with the tokens used in total; the rest is refunded.
    pub fn settle(&mut self, charge: ChargeKey, used: u64, now: Instant) {
        self.advance(now);
        self.record_usage(charge, used, now);
        if let Some(charged) = self.charges.remove(charge) {
            let bucket = self.refill_bucket(charged.workspace, now);
            bucket.refund(charged.remaining);
        }
    }

    /// Ends a charge and counts all of it as used, with no refund.
    pub fn forfeit(&mut self, charge: ChargeKey, now: Instant) {
        self.advance(now);
        if let Some(charged) = self.charges.remove(charge) {
            let bucket = self.refill_bucket(charged.workspace, now);
            bucket.consume(charged.remaining);
        }
    }

    fn check_cost(&self, workspace: WorkspaceKey, cost: u64) -> Result<(), ReserveError> {
        let account = self.accounts.get(workspace);
        let account = account.filter(|account| account.configured);
        let account = account.ok_or(ReserveError::UnknownWorkspace)?;
        if cost > account.bucket.rate_limit().burst {
            return Err(ReserveError::ExceedsBurst);
        }
        Ok(())
    }

    /// Tokens that are missing for `amount`. A negative level counts as zero.
    fn missing(&self, workspace: WorkspaceKey, amount: i64) -> u64 {
        round_up_to_tokens((amount - self.accounts[workspace].bucket.level()).min(amount))
    }

    fn insert_reservation(&mut self, workspace: WorkspaceKey, amount: i64) -> ReservationKey {
        self.accounts[workspace].bucket.reserve(amount);
        self.reservations.insert(Reservation { workspace, amount })
    }
}
