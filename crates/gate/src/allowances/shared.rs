//! Allowances of all workspaces, shared with the other gates.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyweir_allowance::{
    RateLimit,
    estimate::{Lender, LenderEstimates},
    ledger::{Grant, Ledger, ReservationKey, ReserveError, WorkspaceKey},
    token_rate::TokenRateEstimate,
};
use comfreyweir_clock::Clock;
use comfreyweir_config::{catalog::Catalog, settings::GateTiming};
use tokio::time::timeout;

use super::{
    Allowances, Shortage,
    borrower::{Gatherer, Lenders},
    handles::SharedReservation,
    metrics::{AllowanceMetrics, Cause},
    waiting::Waiting,
};

/// Shortest pause before a waiting request looks for tokens again.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Contact periods after which a gate without a share serves with borrowed tokens.
const SHARE_CONTACTS: u32 = 20;
/// When to come back if nothing is known about when tokens will be there.
const UNKNOWN_RETRY: Duration = Duration::from_secs(5);

/// Periods and lapses of allowances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceTiming {
    /// Period of contact.
    pub contact: Duration,
    /// Time that a share may be used after its last renewal.
    pub lapse: Duration,
    /// Longest time that borrowed tokens are held.
    pub loan_hold: Duration,
    /// Longest time that a request waits for tokens.
    pub token_wait: Duration,
}

impl From<&GateTiming> for AllowanceTiming {
    fn from(timing: &GateTiming) -> Self {
        Self {
            contact: Duration::from_millis(timing.contact_ms),
            lapse: Duration::from_millis(timing.share_lapse_ms),
            loan_hold: Duration::from_millis(timing.loan_hold_ms),
            token_wait: Duration::from_millis(timing.token_wait_ms),
        }
    }
}

/// Allowances of all workspaces, shared with the other gates. Clones share the state.
#[derive(Clone)]
pub struct SharedAllowances<C, L> {
    pub(super) state: Rc<State<C>>,
    pub(super) gatherer: Gatherer<C, L>,
}

pub(super) struct State<C> {
    pub(super) clock: C,
    pub(super) timing: AllowanceTiming,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) estimates: RefCell<LenderEstimates>,
    /// Other gates and their weights, by the record as last read.
    pub(super) lenders: RefCell<Vec<Lender>>,
    pub(super) metrics: AllowanceMetrics,
    pub(super) has_had_share: Cell<bool>,
    started: Instant,
    /// Tokens that requests of a workspace wait for.
    pub(super) waiting: RefCell<HashMap<WorkspaceKey, u64>>,
    /// How fast those requests get tokens.
    pub(super) paces: RefCell<HashMap<WorkspaceKey, TokenRateEstimate>>,
}

impl<C> State<C>
where
    C: Clock,
{
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }
}

impl<C, L> SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    /// Allowances without a share: until one is kept, only borrowed tokens can be used.
    pub fn new(clock: C, lenders: L, timing: AllowanceTiming) -> Self {
        let state = Rc::new(State {
            started: clock.now(),
            has_had_share: Cell::new(false),
            clock,
            timing,
            ledger: RefCell::new(Ledger::new(rand::random())),
            estimates: RefCell::default(),
            lenders: RefCell::default(),
            metrics: AllowanceMetrics::default(),
            waiting: RefCell::default(),
            paces: RefCell::default(),
        });
        let gatherer = Gatherer::new(Rc::clone(&state), lenders);
        Self { state, gatherer }
    }

    /// Puts the workspaces of a configuration into force.
    pub fn configure(&self, catalog: &Catalog) {
        let now = self.state.now();
        let workspaces = catalog.workspaces.iter().map(|(name, workspace)| {
            let terms = RateLimit {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            (name.as_str(), terms)
        });
        self.state.ledger.borrow_mut().configure(workspaces, now);
    }

    /// Lends tokens to another gate. Nothing is lent for longer than the own hold time, which a
    /// later process on this address waits out.
    pub fn lend(&self, workspace: &str, wanted: u64, hold: Duration) -> Grant {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        let bounded = hold <= self.state.timing.loan_hold;
        match ledger.workspace(workspace) {
            Some(key) if bounded => ledger.lend(key, wanted, hold, now),
            _ => Grant {
                loan: 0,
                granted: 0,
            },
        }
    }

    /// Ends a loan that this gate has granted.
    pub fn take_back(&self, loan: u64, unused: u64) {
        let now = self.state.now();
        self.state.ledger.borrow_mut().take_back(loan, unused, now);
    }

    /// Ends loans that are not needed any more.
    pub fn end_loans(&self) {
        self.gatherer.end_loans();
    }

    fn known(&self, workspace: &str) -> Result<WorkspaceKey, Shortage> {
        let ledger = self.state.ledger.borrow();
        let key = ledger.workspace(workspace);
        key.ok_or(Shortage::UnknownWorkspace)
    }

    fn reservation(&self, hold: ReservationKey) -> SharedReservation<C> {
        SharedReservation {
            state: Rc::clone(&self.state),
            hold: Some(hold),
        }
    }
}

impl<C, L> Allowances for SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    type Reservation = SharedReservation<C>;

    async fn reserve(
        &self,
        workspace: &str,
        cost: u64,
        deadline: Instant,
    ) -> Result<SharedReservation<C>, Shortage> {
        let key = self.known(workspace)?;
        if cost == 0 || self.ahead(key) == 0 {
            match self.reserve_free(key, cost) {
                Ok(hold) => return Ok(self.reservation(hold)),
                Err(ReserveError::Tokens(_)) => {}
                Err(lack) => return Err(shortage(lack)),
            }
        }
        let waiting = Waiting::new(&self.state, key, cost);
        let reserved = self.reserve_in_turn(key, &waiting, deadline).await;
        match reserved {
            Ok(hold) => {
                self.note_reserved(key, cost);
                Ok(self.reservation(hold))
            }
            Err((shortage, cause)) => {
                self.state.metrics.refused(workspace, cause);
                Err(shortage)
            }
        }
    }

    fn is_ready(&self) -> bool {
        let state = &self.state;
        let waited = state.now().saturating_duration_since(state.started);
        state.has_had_share.get() || waited >= state.timing.contact * SHARE_CONTACTS
    }
}

impl<C, L> SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    fn reserve_free(&self, key: WorkspaceKey, cost: u64) -> Result<ReservationKey, ReserveError> {
        let now = self.state.now();
        self.state.ledger.borrow_mut().reserve(key, cost, now)
    }

    /// Tokens that requests of a workspace wait for. A new request lines up behind them: small
    /// ones that overtake would keep a large one waiting for ever.
    fn ahead(&self, key: WorkspaceKey) -> u64 {
        let waiting = self.state.waiting.borrow();
        waiting.get(&key).copied().unwrap_or_default()
    }

    /// Waits for the requests before this one, and then for tokens; refuses as soon as it is
    /// known that they will not be there in time.
    async fn reserve_in_turn(
        &self,
        key: WorkspaceKey,
        waiting: &Waiting<'_, C>,
        deadline: Instant,
    ) -> Result<ReservationKey, (Shortage, Cause)> {
        let give_up = self.give_up_at(deadline);
        if waiting.ahead > 0 {
            let after = self.tokens_after(key, waiting.ahead + waiting.cost);
            self.check_in_time(after, give_up, Cause::OverRate)?;
        }
        let turn = self.gatherer.turn(key);
        let left = give_up.saturating_duration_since(self.state.now());
        let Ok(_guard) = timeout(left, turn.lock()).await else {
            let after = self.tokens_after(key, waiting.cost);
            return Err((Shortage::RetryAfter(after), Cause::OverRate));
        };
        loop {
            let missing = match self.gatherer.gather(key, waiting.cost).await {
                Ok(hold) => return Ok(hold),
                Err(missing) => missing,
            };
            let after = self.tokens_after(key, missing.tokens);
            self.check_in_time(after, give_up, missing.cause)?;
            sleep(after.max(MIN_WAIT)).await;
        }
    }

    /// A request waits for tokens at most the configured time, and leaves half of its own time
    /// for what comes after.
    fn give_up_at(&self, deadline: Instant) -> Instant {
        let now = self.state.now();
        let half = deadline.saturating_duration_since(now) / 2;
        now + half.min(self.state.timing.token_wait)
    }

    fn check_in_time(
        &self,
        after: Duration,
        give_up: Instant,
        cause: Cause,
    ) -> Result<(), (Shortage, Cause)> {
        if self.state.now() + after <= give_up {
            return Ok(());
        }
        Err((Shortage::RetryAfter(after), cause))
    }

    /// Time until so many more tokens can be expected here.
    fn tokens_after(&self, key: WorkspaceKey, tokens: u64) -> Duration {
        let now = self.state.now();
        let ledger = self.state.ledger.borrow();
        let lenders = self.state.lenders.borrow();
        let own = ledger.weight();
        let reach = own + lenders.iter().map(|lender| lender.weight).sum::<u32>();
        let paces = self.state.paces.borrow();
        let pace = paces
            .get(&key)
            .copied()
            .unwrap_or(TokenRateEstimate::begin(now));
        let after = pace.time_for(tokens, own, reach, ledger.terms(key), now);
        after.unwrap_or(UNKNOWN_RETRY)
    }

    fn note_reserved(&self, key: WorkspaceKey, cost: u64) {
        let now = self.state.now();
        if let Some(pace) = self.state.paces.borrow_mut().get_mut(&key) {
            pace.record_reserved(cost, now);
        }
    }
}

pub(super) fn shortage(lack: ReserveError) -> Shortage {
    match lack {
        ReserveError::Tokens(_) => Shortage::RetryAfter(UNKNOWN_RETRY),
        ReserveError::ExceedsBurst => Shortage::ExceedsBurst,
        ReserveError::UnknownWorkspace => Shortage::UnknownWorkspace,
    }
}
