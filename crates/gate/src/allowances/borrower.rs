//! Gathering tokens from other gates for a request that costs more than is free here.

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

use super::{metrics::Cause, shared::State};

/// How long a request waits for the answer of another gate.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// What another gate is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Workspace.
    pub workspace: String,
    /// Tokens wanted.
    pub wanted: u64,
    /// Longest time that they are held.
    pub hold: Duration,
}

/// The other gates, as far as tokens are concerned.
pub trait Lenders: Clone + 'static {
    /// Asks another gate for tokens. Bounded in time; `None` when there was no answer.
    async fn borrow(&self, lender: SocketAddr, ask: Ask) -> Option<Grant>;

    /// Tells another gate that a loan has ended, without waiting.
    fn end_loan(&self, end: LoanReturn);

    /// Takes the names of the instances that own shares, by the addresses in the record. The
    /// platform may list other addresses, at which they can be reached.
    fn set_instances(&self, instances: BTreeMap<SocketAddr, String>);

    /// Number of gates that the platform lists, with this one; `None` before the first look.
    fn listed(&self) -> Option<usize>;
}

/// Tokens that could not be had.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missing {
    pub(super) tokens: u64,
    pub(super) cause: Cause,
}

#[derive(Clone)]
pub(super) struct Gatherer<C, L> {
    state: Rc<State<C>>,
    lenders: L,
    /// One request of a workspace gathers at a time, so that two large ones do not each hold
    /// half of what one of them needs.
    turns: Rc<RefCell<HashMap<WorkspaceKey, Rc<Mutex<()>>>>>,
}

impl<C, L> Gatherer<C, L>
where
    C: Clock,
    L: Lenders,
{
    pub(super) fn new(state: Rc<State<C>>, lenders: L) -> Self {
        Self {
            state,
            lenders,
            turns: Rc::default(),
        }
    }

    /// The turn of requests of a workspace, in the order in which they ask for it.
    pub(super) fn turn(&self, key: WorkspaceKey) -> Rc<Mutex<()>> {
        Rc::clone(self.turns.borrow_mut().entry(key).or_default())
    }

    /// Reserves `cost` with the help of other gates. To be called by the request whose turn it is.
    pub(super) async fn gather(
        &self,
        key: WorkspaceKey,
        cost: u64,
    ) -> Result<ReservationKey, Missing> {
        let outcome = self.gather_parts(key, cost).await;
        self.end_loans();
        outcome
    }

    /// Takes the names of the instances that own shares.
    pub(super) fn set_instances(&self, instances: BTreeMap<SocketAddr, String>) {
        self.lenders.set_instances(instances);
    }

    /// Number of gates that the platform lists.
    pub(super) fn listed(&self) -> Option<usize> {
        self.lenders.listed()
    }

    /// Ends the loans that can end, and tells the lenders.
    pub(super) fn end_loans(&self) {
        let now = self.state.now();
        let ended = self.state.ledger.borrow_mut().end_loans(now);
        for end in ended {
            self.lenders.end_loan(end);
        }
    }

    async fn gather_parts(&self, key: WorkspaceKey, cost: u64) -> Result<ReservationKey, Missing> {
        let now = self.state.now();
        let reserved = self
            .state
            .ledger
            .borrow_mut()
            .reserve_available(key, cost, now);
        let Ok(reserved) = reserved else {
            return Err(self.missing(cost, Cause::OverRate));
        };
        let part = PartHold {
            state: &self.state,
            hold: Some(reserved),
        };
        let missing = part.extend(cost);
        if missing == 0 {
            return Ok(part.keep());
        }
        let silent = self.ask_all(key, &part, cost).await;
        let missing = part.extend(cost);
        if missing == 0 {
            return Ok(part.keep());
        }
        let cause = if silent {
            Cause::PeerSilent
        } else {
            Cause::OverRate
        };
        Err(self.missing(missing, cause))
    }

    /// Asks the most promising gate first, then all others at once.
    async fn ask_all(&self, key: WorkspaceKey, part: &PartHold<'_, C>, cost: u64) -> bool {
        let lenders = self.by_promise(key);
        let Some((first, others)) = lenders.split_first() else {
            return false;
        };
        let mut silent = !self.ask_some(&[*first], key, part, cost).await;
        if part.extend(cost) > 0 {
            silent |= !self.ask_some(others, key, part, cost).await;
        }
        silent
    }

    /// Asks several gates at once, until enough was granted. Tells whether all answered.
    async fn ask_some(
        &self,
        lenders: &[Lender],
        key: WorkspaceKey,
        part: &PartHold<'_, C>,
        cost: u64,
    ) -> bool {
        let missing = part.extend(cost);
        let asks = lenders.iter().map(|lender| {
            let answer = self.ask(*lender, key, missing);
            async move { (*lender, timeout(ASK_TIMEOUT, answer).await) }
        });
        let mut answers: FuturesUnordered<_> = asks.collect();
        let mut all = true;
        while let Some((_, answer)) = answers.next().await {
            match answer {
                Ok(Ok(loan)) => {
                    let now = self.state.now();
                    self.state.ledger.borrow_mut().borrow(key, loan, now);
                }
                Ok(Err(_)) | Err(_) => all = false,
            }
            if part.extend(cost) == 0 {
                return true;
            }
        }
        all
    }

    /// Asks one gate. An answer that nobody waits for any more is given back.
    fn ask(
        &self,
        lender: Lender,
        key: WorkspaceKey,
        wanted: u64,
    ) -> oneshot::Receiver<BorrowedLoan> {
        let (tx, rx) = oneshot::channel();
        let this = self.clone();
        actix_rt::spawn(async move {
            let Some(loan) = this.ask_once(lender, key, wanted).await else {
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

    async fn ask_once(
        &self,
        lender: Lender,
        key: WorkspaceKey,
        wanted: u64,
    ) -> Option<BorrowedLoan> {
        // A loan ends as soon as it is not needed; the time only counts when that gets lost.
        let hold = self.state.timing.loan_hold;
        let (workspace, terms) = {
            let ledger = self.state.ledger.borrow();
            (ledger.name(key).to_owned(), ledger.terms(key))
        };
        let ask = Ask {
            workspace,
            wanted,
            hold,
        };
        let asked = self.state.now();
        let grant = self.lenders.borrow(lender.addr, ask).await?;
        let answer = LoanAnswer {
            wanted,
            granted: grant.granted,
        };
        let now = self.state.now();
        let mut estimates = self.state.estimates.borrow_mut();
        estimates.record_answer(lender, key, terms, answer, now);
        Some(BorrowedLoan {
            lender: lender.addr,
            loan: grant.loan,
            granted: grant.granted,
            expires: asked + hold,
        })
    }

    /// Other gates, the one with the most tokens first.
    fn by_promise(&self, key: WorkspaceKey) -> Vec<Lender> {
        let terms = self.state.ledger.borrow().terms(key);
        let estimates = self.state.estimates.borrow();
        let now = self.state.now();
        let mut lenders = self.state.lenders.borrow().clone();
        lenders.retain(|lender| lender.weight > 0);
        lenders.sort_by_cached_key(|lender| {
            std::cmp::Reverse(estimates.tokens(*lender, key, terms, now))
        });
        lenders
    }

    /// Refines the cause: a gate without a share, or a record with free parts, lacks tokens that
    /// the workspace is due.
    fn missing(&self, tokens: u64, cause: Cause) -> Missing {
        let own = self.state.ledger.borrow().weight();
        let others = self.state.lenders.borrow();
        let others: u32 = others.iter().map(|lender| lender.weight).sum();
        let assigned = own + others;
        let cause = match cause {
            Cause::OverRate if own == 0 => Cause::ShareLapsed,
            Cause::OverRate if assigned < WHOLE_ENOUGH => Cause::ShareUnassigned,
            cause => cause,
        };
        Missing { tokens, cause }
    }
}

/// Assigned weight from which rounding alone explains the rest, in parts per million.
const WHOLE_ENOUGH: u32 = 999_000;

/// A reservation of a part of the cost, released when it is dropped.
struct PartHold<'a, C>
where
    C: Clock,
{
    state: &'a State<C>,
    hold: Option<ReservationKey>,
}

impl<C> PartHold<'_, C>
where
    C: Clock,
{
    /// Takes what is free by now, and tells how much is still missing.
    fn extend(&self, cost: u64) -> u64 {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        self.hold
            .map_or(cost, |hold| ledger.extend(hold, cost, now))
    }

    fn keep(mut self) -> ReservationKey {
        self.hold.take().expect("a part is kept once")
    }
}

impl<C> Drop for PartHold<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().release(hold, now);
        }
    }
}
