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
    borrower::{Borrower, Lenders},
    handles::SharedReservation,
    metrics::{AllowanceMetrics, RefusalCause},
    waiting::TokenWaiter,
};

/// Minimum pause before a waiting request tries again to reserve tokens.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Contact periods after which a gate that never had a share reports itself ready and serves with
/// borrowed tokens only.
const MAX_SHARE_WAIT_CONTACTS: u32 = 20;
/// Retry time given to callers if it is unknown when tokens will be available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Periods and time limits of allowances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceTiming {
    /// Period of contact with the key-value service and the other gates.
    pub contact_interval: Duration,
    /// Time that a share may be used after its last renewal.
    pub lease_duration: Duration,
    /// Maximum duration of a loan.
    pub loan_hold: Duration,
    /// Maximum time that a request waits for tokens.
    pub token_wait: Duration,
}

impl From<&GateTiming> for AllowanceTiming {
    fn from(timing: &GateTiming) -> Self {
        Self {
            contact_interval: Duration::from_millis(timing.contact_ms),
            lease_duration: Duration::from_millis(timing.share_lapse_ms),
            loan_hold: Duration::from_millis(timing.loan_hold_ms),
            token_wait: Duration::from_millis(timing.token_wait_ms),
        }
    }
}

/// Allowances of all workspaces, shared with the other gates. Clones share the state.
#[derive(Clone)]
pub struct SharedAllowances<C, L> {
    pub(super) state: Rc<AllowanceState<C>>,
    pub(super) borrower: Borrower<C, L>,
}

pub(super) struct AllowanceState<C> {
    pub(super) clock: C,
    pub(super) timing: AllowanceTiming,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) estimates: RefCell<LenderEstimates>,
    /// Other gates and their weights, from the share table as last read.
    pub(super) lenders: RefCell<Vec<Lender>>,
    pub(super) metrics: AllowanceMetrics,
    /// Whether this gate has had a share at any time since it started.
    pub(super) has_had_share: Cell<bool>,
    started: Instant,
    /// Total tokens that the waiting requests of a workspace need.
    pub(super) waiting_tokens: RefCell<HashMap<WorkspaceKey, u64>>,
    /// Rate at which the waiting requests of a workspace get tokens.
    pub(super) token_rates: RefCell<HashMap<WorkspaceKey, TokenRateEstimate>>,
}

impl<C> AllowanceState<C>
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
    /// Creates allowances without a share: until a share is acquired, only borrowed tokens can be
    /// used.
    pub fn new(clock: C, lenders: L, timing: AllowanceTiming) -> Self {
        let state = Rc::new(AllowanceState {
            started: clock.now(),
            has_had_share: Cell::new(false),
            clock,
            timing,
            ledger: RefCell::new(Ledger::new(rand::random())),
            estimates: RefCell::default(),
            lenders: RefCell::default(),
            metrics: AllowanceMetrics::default(),
            waiting_tokens: RefCell::default(),
            token_rates: RefCell::default(),
        });
        let borrower = Borrower::new(Rc::clone(&state), lenders);
        Self { state, borrower }
    }

    /// Applies the rate limits of the workspaces in a configuration.
    pub fn configure(&self, catalog: &Catalog) {
        let now = self.state.now();
        let workspaces = catalog.workspaces.iter().map(|(name, workspace)| {
            let rate_limit = RateLimit {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            (name.as_str(), rate_limit)
        });
        self.state.ledger.borrow_mut().configure(workspaces, now);
    }

    /// Lends tokens to another gate. Grants no tokens if `hold` exceeds this gate's own
    /// `loan_hold`, because a later process on this address waits only that long for loans to end.
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

    /// Ends loans from other gates that are no longer needed.
    pub fn end_loans(&self) {
        self.borrower.end_loans();
    }

    fn workspace_key(&self, workspace: &str) -> Result<WorkspaceKey, Shortage> {
        let ledger = self.state.ledger.borrow();
        let key = ledger.workspace(workspace);
        key.ok_or(Shortage::UnknownWorkspace)
    }

    fn reservation(&self, key: ReservationKey) -> SharedReservation<C> {
        SharedReservation {
            state: Rc::clone(&self.state),
            reservation: Some(key),
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
        let key = self.workspace_key(workspace)?;
        if cost == 0 || self.waiting_tokens(key) == 0 {
            match self.reserve_local(key, cost) {
                Ok(reservation) => return Ok(self.reservation(reservation)),
                Err(ReserveError::MissingTokens(_)) => {}
                Err(error) => return Err(shortage(error)),
            }
        }
        let waiter = TokenWaiter::new(&self.state, key, cost);
        let reserved = self.reserve_in_turn(key, &waiter, deadline).await;
        match reserved {
            Ok(reservation) => {
                self.record_reserved(key, cost);
                Ok(self.reservation(reservation))
            }
            Err((shortage, cause)) => {
                self.state.metrics.count_refusal(workspace, cause);
                Err(shortage)
            }
        }
    }

    fn is_ready(&self) -> bool {
        let state = &self.state;
        let uptime = state.now().saturating_duration_since(state.started);
        state.has_had_share.get()
            || uptime >= state.timing.contact_interval * MAX_SHARE_WAIT_CONTACTS
    }
}

impl<C, L> SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    fn reserve_local(&self, key: WorkspaceKey, cost: u64) -> Result<ReservationKey, ReserveError> {
        let now = self.state.now();
        self.state.ledger.borrow_mut().reserve(key, cost, now)
    }

    /// Total tokens that the waiting requests of a workspace need. A new request queues behind
    /// them: otherwise a steady flow of small requests would starve a large one.
    fn waiting_tokens(&self, key: WorkspaceKey) -> u64 {
        let waiting = self.state.waiting_tokens.borrow();
        waiting.get(&key).copied().unwrap_or_default()
    }

    /// Waits for the requests before this one, then for tokens. Refuses as soon as the tokens are
    /// not expected in time.
    async fn reserve_in_turn(
        &self,
        key: WorkspaceKey,
        waiter: &TokenWaiter<'_, C>,
        deadline: Instant,
    ) -> Result<ReservationKey, (Shortage, RefusalCause)> {
        let wait_until = self.wait_limit(deadline);
        if waiter.tokens_ahead > 0 {
            let expected_wait = self.time_until_tokens(key, waiter.tokens_ahead + waiter.cost);
            self.check_wait(expected_wait, wait_until, RefusalCause::OverRate)?;
        }
        let lock = self.borrower.workspace_lock(key);
        let remaining = wait_until.saturating_duration_since(self.state.now());
        let Ok(_guard) = timeout(remaining, lock.lock()).await else {
            let expected_wait = self.time_until_tokens(key, waiter.cost);
            return Err((Shortage::RetryAfter(expected_wait), RefusalCause::OverRate));
        };
        loop {
            let shortfall = match self.borrower.reserve_with_loans(key, waiter.cost).await {
                Ok(reservation) => return Ok(reservation),
                Err(shortfall) => shortfall,
            };
            let expected_wait = self.time_until_tokens(key, shortfall.tokens);
            self.check_wait(expected_wait, wait_until, shortfall.cause)?;
            sleep(expected_wait.max(MIN_WAIT)).await;
        }
    }

    /// Time until which a request waits for tokens: at most `token_wait`, and at most half of the
    /// time to its deadline, so that the other half is left for running it.
    fn wait_limit(&self, deadline: Instant) -> Instant {
        let now = self.state.now();
        let half = deadline.saturating_duration_since(now) / 2;
        now + half.min(self.state.timing.token_wait)
    }

    /// Refuses if tokens that are expected after `expected_wait` come later than `wait_until`.
    fn check_wait(
        &self,
        expected_wait: Duration,
        wait_until: Instant,
        cause: RefusalCause,
    ) -> Result<(), (Shortage, RefusalCause)> {
        if self.state.now() + expected_wait <= wait_until {
            return Ok(());
        }
        Err((Shortage::RetryAfter(expected_wait), cause))
    }

    /// Estimated time until this gate can reserve this many more tokens, including by loans.
    fn time_until_tokens(&self, key: WorkspaceKey, tokens: u64) -> Duration {
        let now = self.state.now();
        let ledger = self.state.ledger.borrow();
        let lenders = self.state.lenders.borrow();
        let own_weight = ledger.weight();
        let reachable_weight = own_weight + lenders.iter().map(|lender| lender.weight).sum::<u32>();
        let token_rates = self.state.token_rates.borrow();
        let token_rate = token_rates
            .get(&key)
            .copied()
            .unwrap_or(TokenRateEstimate::begin(now));
        let expected_wait = token_rate.time_for(
            tokens,
            own_weight,
            reachable_weight,
            ledger.rate_limit(key),
            now,
        );
        expected_wait.unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn record_reserved(&self, key: WorkspaceKey, cost: u64) {
        let now = self.state.now();
        if let Some(token_rate) = self.state.token_rates.borrow_mut().get_mut(&key) {
            token_rate.record_reserved(cost, now);
        }
    }
}

pub(super) fn shortage(error: ReserveError) -> Shortage {
    match error {
        ReserveError::MissingTokens(_) => Shortage::RetryAfter(DEFAULT_RETRY_AFTER),
        ReserveError::ExceedsBurst => Shortage::ExceedsBurst,
        ReserveError::UnknownWorkspace => Shortage::UnknownWorkspace,
    }
}
