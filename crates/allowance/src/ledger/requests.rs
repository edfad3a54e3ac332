//! Reservations and charges of requests.

use std::time::Instant;

use super::{ChargeKey, Charged, Hold, HoldKey, Lack, Ledger, WorkspaceKey, micro, whole_up};

impl Ledger {
    /// Reserves tokens for a request that waits.
    pub fn reserve(
        &mut self,
        workspace: WorkspaceKey,
        cost: u64,
        now: Instant,
    ) -> Result<HoldKey, Lack> {
        self.advance(now);
        self.check(workspace, cost)?;
        self.bucket(workspace, now);
        let missing = self.missing(workspace, micro(cost));
        if missing > 0 {
            return Err(Lack::Tokens(missing));
        }
        Ok(self.hold(workspace, micro(cost)))
    }

    /// Reserves what there is of `cost`, to be extended by [`Ledger::extend`].
    pub fn reserve_part(
        &mut self,
        workspace: WorkspaceKey,
        cost: u64,
        now: Instant,
    ) -> Result<HoldKey, Lack> {
        self.advance(now);
        self.check(workspace, cost)?;
        self.bucket(workspace, now);
        let level = self.accounts[workspace].bucket.level();
        let amount = level.clamp(0, micro(cost));
        Ok(self.hold(workspace, amount))
    }

    /// Extends a reservation up to `cost`, and tells how many tokens are still missing.
    pub fn extend(&mut self, hold: HoldKey, cost: u64, now: Instant) -> u64 {
        self.advance(now);
        let Some(reservation) = self.holds.get_mut(hold) else {
            return cost;
        };
        let bucket = &mut self.accounts[reservation.workspace].bucket;
        bucket.advance(now);
        let wanted = (micro(cost) - reservation.amount).max(0);
        let amount = wanted.min(bucket.level().max(0));
        bucket.hold(amount);
        reservation.amount += amount;
        whole_up(wanted - amount)
    }

    /// Gives a reservation up.
    pub fn release(&mut self, hold: HoldKey, now: Instant) {
        self.advance(now);
        if let Some(reservation) = self.holds.remove(hold) {
            let bucket = self.bucket(reservation.workspace, now);
            bucket.release(reservation.amount);
        }
    }

    /// Charges a reservation, right before the request is sent. Fails, and gives the reservation
    /// up, when it is no longer covered: the share has lapsed, a loan has expired, or the
    /// allowance was lowered.
    pub fn charge(&mut self, hold: HoldKey, now: Instant) -> Result<ChargeKey, Lack> {
        self.advance(now);
        let reservation = self.holds.remove(hold).ok_or(Lack::UnknownWorkspace)?;
        let Hold { workspace, amount } = reservation;
        let configured = self.accounts[workspace].configured;
        let bucket = self.bucket(workspace, now);
        if !configured {
            bucket.release(amount);
            return Err(Lack::UnknownWorkspace);
        }
        if !bucket.covers_committed() {
            bucket.release(amount);
            return Err(Lack::Tokens(whole_up(amount)));
        }
        bucket.charge(amount);
        Ok(self.charges.insert(Charged {
            workspace,
            remaining: amount,
            used: 0,
        }))
    }

    /// Notes how many tokens of a charge are used so far. A lower number than before is ignored.
    ///
    /// The refill is brought up to `now` first: while the tokens were outstanding there was no
    /// room for it.
    pub fn progress(&mut self, charge: ChargeKey, used: u64, now: Instant) {
        self.advance(now);
        let Some(charged) = self.charges.get_mut(charge) else {
            return;
        };
        let more = micro(used.saturating_sub(charged.used));
        let covered = more.min(charged.remaining);
        charged.remaining -= covered;
        charged.used = charged.used.max(used);
        let bucket = &mut self.accounts[charged.workspace].bucket;
        bucket.advance(now);
        bucket.consume(covered);
        bucket.overuse(more - covered);
    }

    /// Ends a charge with the tokens that were used; the rest returns.
    pub fn settle(&mut self, charge: ChargeKey, used: u64, now: Instant) {
        self.advance(now);
        self.progress(charge, used, now);
        if let Some(charged) = self.charges.remove(charge) {
            let bucket = self.bucket(charged.workspace, now);
            bucket.refund(charged.remaining);
        }
    }

    /// Ends a charge as wholly used.
    pub fn forfeit(&mut self, charge: ChargeKey, now: Instant) {
        self.advance(now);
        if let Some(charged) = self.charges.remove(charge) {
            let bucket = self.bucket(charged.workspace, now);
            bucket.consume(charged.remaining);
        }
    }

    fn check(&self, workspace: WorkspaceKey, cost: u64) -> Result<(), Lack> {
        let account = self.accounts.get(workspace);
        let account = account.filter(|account| account.configured);
        let account = account.ok_or(Lack::UnknownWorkspace)?;
        if cost > account.bucket.terms().burst {
            return Err(Lack::ExceedsBurst);
        }
        Ok(())
    }

    fn missing(&self, workspace: WorkspaceKey, amount: i64) -> u64 {
        whole_up((amount - self.accounts[workspace].bucket.level()).min(amount))
    }

    fn hold(&mut self, workspace: WorkspaceKey, amount: i64) -> HoldKey {
        self.accounts[workspace].bucket.hold(amount);
        self.holds.insert(Hold { workspace, amount })
    }
}
