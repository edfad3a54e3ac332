//! Borrows tokens from other gates for requests that cost more than is free at this gate.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use comfreyweir_allowance::{
    estimate::{Lender, LoanAnswer},
    ledger::{BorrowedLoan, Grant, LoanReturn, ReservationKey, WorkspaceKey},
};
use comfreyweir_clock::Clock;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::{Mutex, oneshot},
    time::timeout,
};

use super::{metrics::RefusalCause, shared::AllowanceState};

/// How long a request waits for another gate to answer a loan request.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// A request for a loan from another gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Workspace that the tokens are for.
    pub workspace: String,
    /// Tokens wanted.
    pub wanted: u64,
    /// Maximum duration of the loan.
    pub hold: Duration,
}

/// Client for borrowing tokens from the other gates.
pub trait Lenders: Clone + 'static {
    /// Asks another gate for a loan. The call is bounded in time; `None` if there was no answer.
    async fn borrow(&self, lender: SocketAddr, request: LoanRequest) -> Option<Grant>;

    /// Notifies another gate, without waiting, that a loan has ended.
    fn end_loan(&self, loan_return: LoanReturn);

    /// Sets the names of the instances that own shares, by their addresses in the share table. The
    /// platform may list other addresses at which the instances can be reached.
    fn set_lender_names(&self, instances: BTreeMap<SocketAddr, String>);

    /// Number of gates in the platform's list, including this one; `None` until it was first read.
    fn listed_gates(&self) -> Option<usize>;
}

/// Tokens that could not be reserved, and why.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortfall {
    pub(super) tokens: u64,
    pub(super) cause: RefusalCause,
}

#[derive(Clone)]
pub(super) struct Borrower<C, L> {
    state: Rc<AllowanceState<C>>,
    lenders: L,
    /// One lock per workspace, so that only one of its requests borrows at a time: two large ones
    /// could each hold half of what one of them needs.
    workspace_locks: Rc<RefCell<HashMap<WorkspaceKey, Rc<Mutex<()>>>>>,
}

impl<C, L> Borrower<C, L>
where
    C: Clock,
    L: Lenders,
{
    pub(super) fn new(state: Rc<AllowanceState<C>>, lenders: L) -> Self {
        Self {
            state,
            lenders,
            workspace_locks: Rc::default(),
        }
    }

    /// Lock that a request of the workspace holds while it borrows. It is fair: requests get it in
    /// the order in which they wait for it.
    pub(super) fn workspace_lock(&self, key: WorkspaceKey) -> Rc<Mutex<()>> {
        Rc::clone(self.workspace_locks.borrow_mut().entry(key).or_default())
    }

    /// Reserves `cost`, borrowing what is missing from other gates. The caller must hold the
    /// workspace's lock.
    pub(super) async fn reserve_with_loans(
        &self,
        key: WorkspaceKey,
        cost: u64,
    ) -> Result<ReservationKey, Shortfall> {
        let outcome = self.reserve_parts(key, cost).await;
        self.end_loans();
        outcome
    }

    /// See [`Lenders::set_lender_names`].
    pub(super) fn set_lender_names(&self, instances: BTreeMap<SocketAddr, String>) {
        self.lenders.set_lender_names(instances);
    }

    /// See [`Lenders::listed_gates`].
    pub(super) fn listed_gates(&self) -> Option<usize> {
        self.lenders.listed_gates()
    }

    /// Ends the loans that are no longer needed and notifies the lenders.
    pub(super) fn end_loans(&self) {
        let now = self.state.now();
        let ended = self.state.ledger.borrow_mut().end_loans(now);
        for loan_return in ended {
            self.lenders.end_loan(loan_return);
        }
    }

    async fn reserve_parts(
        &self,
        key: WorkspaceKey,
        cost: u64,
    ) -> Result<ReservationKey, Shortfall> {
        let now = self.state.now();
        let reserved = self
            .state
            .ledger
            .borrow_mut()
            .reserve_available(key, cost, now);
        let Ok(reserved) = reserved else {
            return Err(self.shortfall(cost, RefusalCause::OverRate));
        };
        let partial = PartialReservation {
            state: &self.state,
            reservation: Some(reserved),
        };
        let missing = partial.extend(cost);
        if missing == 0 {
            return Ok(partial.into_key());
        }
        let unanswered = self.borrow_from_all(key, &partial, cost).await;
        let missing = partial.extend(cost);
        if missing == 0 {
            return Ok(partial.into_key());
        }
        let cause = if unanswered {
            RefusalCause::PeerSilent
        } else {
            RefusalCause::OverRate
        };
        Err(self.shortfall(missing, cause))
    }

    /// Asks the gate with the highest estimate first, then all others at once. Returns whether some
    /// gate did not answer.
    async fn borrow_from_all(
        &self,
        key: WorkspaceKey,
        partial: &PartialReservation<'_, C>,
        cost: u64,
    ) -> bool {
        let lenders = self.lenders_by_estimate(key);
        let Some((first, others)) = lenders.split_first() else {
            return false;
        };
        let mut unanswered = !self.borrow_from(&[*first], key, partial, cost).await;
        if partial.extend(cost) > 0 {
            unanswered |= !self.borrow_from(others, key, partial, cost).await;
        }
        unanswered
    }

    /// Asks several gates at once until enough is granted. Returns true if enough was granted, and
    /// otherwise whether all answered.
    async fn borrow_from(
        &self,
        lenders: &[Lender],
        key: WorkspaceKey,
        partial: &PartialReservation<'_, C>,
        cost: u64,
    ) -> bool {
        let missing = partial.extend(cost);
        let requests = lenders.iter().map(|lender| {
            let answer = self.spawn_loan_request(*lender, key, missing);
            async move { (*lender, timeout(LOAN_REQUEST_TIMEOUT, answer).await) }
        });
        let mut answers: FuturesUnordered<_> = requests.collect();
        let mut all_answered = true;
        while let Some((_, answer)) = answers.next().await {
            match answer {
                Ok(Ok(loan)) => {
                    let now = self.state.now();
                    self.state.ledger.borrow_mut().borrow(key, loan, now);
                }
                Ok(Err(_)) | Err(_) => all_answered = false,
            }
            if partial.extend(cost) == 0 {
                return true;
            }
        }
        all_answered
    }

    /// Asks one gate in a task of its own. A loan that arrives after the receiver was dropped is
    /// returned to the lender.
    fn spawn_loan_request(
        &self,
        lender: Lender,
        key: WorkspaceKey,
        wanted: u64,
    ) -> oneshot::Receiver<BorrowedLoan> {
        let (tx, rx) = oneshot::channel();
        let this = self.clone();
        actix_rt::spawn(async move {
            let Some(loan) = this.request_loan(lender, key, wanted).await else {
                return;
            };
            if let Err(loan) = tx.send(loan) {
                this.lenders.end_loan(LoanReturn {
                    lender: loan.lender,
                    loan: loan.loan,
                    unused: loan.granted,
                });
            }
        });
        rx
    }

    async fn request_loan(
        &self,
        lender: Lender,
        key: WorkspaceKey,
        wanted: u64,
    ) -> Option<BorrowedLoan> {
        // A loan is ended as soon as it is no longer needed; the hold time limits it only if the
        // message that ends it is lost.
        let hold = self.state.timing.loan_hold;
        let (workspace, rate_limit) = {
            let ledger = self.state.ledger.borrow();
            (ledger.name(key).to_owned(), ledger.rate_limit(key))
        };
        let request = LoanRequest {
            workspace,
            wanted,
            hold,
        };
        let requested_at = self.state.now();
        let grant = self.lenders.borrow(lender.addr, request).await?;
        let answer = LoanAnswer {
            wanted,
            granted: grant.granted,
        };
        let now = self.state.now();
        let mut estimates = self.state.estimates.borrow_mut();
        estimates.record_answer(lender, key, rate_limit, answer, now);
        Some(BorrowedLoan {
            lender: lender.addr,
            loan: grant.loan,
            granted: grant.granted,
            expires: requested_at + hold,
        })
    }

    /// Other gates with a share, by estimated free tokens, highest first.
    fn lenders_by_estimate(&self, key: WorkspaceKey) -> Vec<Lender> {
        let rate_limit = self.state.ledger.borrow().rate_limit(key);
        let estimates = self.state.estimates.borrow();
        let now = self.state.now();
        let mut lenders = self.state.lenders.borrow().clone();
        lenders.retain(|lender| lender.weight > 0);
        lenders.sort_by_cached_key(|lender| {
            std::cmp::Reverse(estimates.tokens(*lender, key, rate_limit, now))
        });
        lenders
    }

    /// Refines the cause `OverRate`: if this gate has no share, or a part of the share table is not
    /// assigned, the workspace may be within its rate.
    fn shortfall(&self, tokens: u64, cause: RefusalCause) -> Shortfall {
        let own = self.state.ledger.borrow().weight();
        let others = self.state.lenders.borrow();
        let others: u32 = others.iter().map(|lender| lender.weight).sum();
        let assigned = own + others;
        let cause = match cause {
            RefusalCause::OverRate if own == 0 => RefusalCause::ShareLapsed,
            RefusalCause::OverRate if assigned < FULLY_ASSIGNED_PPM => {
                RefusalCause::ShareUnassigned
            }
            cause => cause,
        };
        Shortfall { tokens, cause }
    }
}

/// Total weight, in parts per million, from which the share table counts as fully assigned. The
/// rest is due to rounding.
const FULLY_ASSIGNED_PPM: u32 = 999_000;

/// A reservation of a part of the cost. Dropping it releases the tokens.
struct PartialReservation<'a, C>
where
    C: Clock,
{
    state: &'a AllowanceState<C>,
    reservation: Option<ReservationKey>,
}

impl<C> PartialReservation<'_, C>
where
    C: Clock,
{
    /// Adds tokens that are free by now, up to `cost`. Returns how many are still missing.
    fn extend(&self, cost: u64) -> u64 {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        self.reservation
            .map_or(cost, |reservation| ledger.extend(reservation, cost, now))
    }

    fn into_key(mut self) -> ReservationKey {
        self.reservation
            .take()
            .expect("partial reservation was already taken")
    }
}

impl<C> Drop for PartialReservation<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().release(reservation, now);
        }
    }
}
