//! The gates of a trial, with an allowance ledger for each gate and workspace.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_allowance::{
    estimate::{Lender, LenderEstimates, LoanAnswer},
    ledger::{BorrowedLoan, ChargeKey, Ledger, ReservationKey, WorkspaceKey},
    token_rate::TokenRateEstimate,
};

use super::{
    GATES,
    workload::{self, WORKSPACES},
};

/// Sum of the share weights of all gates.
const FULL_WEIGHT: u32 = 1_000_000;
/// Time after which a loan expires.
const LOAN_HOLD: Duration = Duration::from_mins(1);
/// Interval at which [`SharePolicy::Demand`] adjusts the shares.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of every allowance that [`SharePolicy::Demand`] divides equally.
const EQUAL_FRACTION: f64 = 0.2;
/// Weight of earlier intervals in the moving average of demand.
const PAST_DEMAND_WEIGHT: f64 = 0.7;

/// How the allowance of a workspace is divided between the gates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharePolicy {
    /// Undivided: one token bucket for all gates.
    SingleBucket,
    /// Equal shares.
    Equal,
    /// Shares proportional to the demand at each gate, apart from a fraction divided equally.
    Demand,
    /// Equal shares; a gate that runs short borrows tokens from others.
    Lending,
}

/// A combination of settings that the experiment compares.
#[derive(Clone, Copy, Debug)]
pub struct Strategy {
    pub name: &'static str,
    pub share_policy: SharePolicy,
    /// Maximum time that a request waits for tokens; zero refuses it at once.
    pub wait: Duration,
    /// Whether the ledger learns the token use of a request while the request runs.
    pub reports_progress: bool,
}

impl Strategy {
    pub const ALL: [Self; 10] = [
        Self::new("one bucket", SharePolicy::SingleBucket, 0),
        Self::new("one bucket, wait 10 s", SharePolicy::SingleBucket, 10),
        Self::new("equal shares", SharePolicy::Equal, 0),
        Self::new("shares after demand", SharePolicy::Demand, 0),
        Self::new("lending", SharePolicy::Lending, 0),
        Self::new("lending, wait 1 s", SharePolicy::Lending, 1),
        Self::new("lending, wait 5 s", SharePolicy::Lending, 5),
        Self::new("lending, wait 10 s", SharePolicy::Lending, 10),
        Self::new("lending, wait 20 s", SharePolicy::Lending, 20),
        Self {
            reports_progress: false,
            ..Self::new("lending, wait 10 s, no progress", SharePolicy::Lending, 10)
        },
    ];

    const fn new(name: &'static str, share_policy: SharePolicy, wait: u64) -> Self {
        Self {
            name,
            share_policy,
            wait: Duration::from_secs(wait),
            reports_progress: true,
        }
    }
}

/// A charge for a running request, and the ledger that holds it.
#[derive(Clone, Copy)]
pub struct Charge {
    gate: usize,
    workspace: usize,
    key: ChargeKey,
}

/// State of one workspace at one gate. Each workspace has its own ledger, because a ledger has
/// one share weight and the shares of workspaces can differ.
struct Account {
    ledger: Ledger,
    key: WorkspaceKey,
    lender_estimates: LenderEstimates,
    /// Set while requests wait for tokens.
    token_rate: Option<TokenRateEstimate>,
    /// Moving average of `requested`.
    demand: f64,
    /// Tokens requested in the current rebalancing interval.
    requested: u64,
}

/// All gates of a trial.
pub struct Fleet {
    strategy: Strategy,
    /// By gate and workspace.
    accounts: Vec<Vec<Account>>,
    pub lost_gate: Option<usize>,
    pub cut_off_gate: Option<usize>,
    pub service_down: bool,
}

impl Fleet {
    pub fn new(strategy: Strategy, now: Instant) -> Self {
        let gates = if strategy.share_policy == SharePolicy::SingleBucket {
            1
        } else {
            GATES
        };
        let weight = FULL_WEIGHT / u32::try_from(gates).expect("few gates");
        let account = |gate: usize, workspace: usize| {
            let first_loan_id = u64::try_from(gate * WORKSPACES + workspace).expect("few") << 32;
            let mut ledger = Ledger::new(first_loan_id);
            ledger.configure([("w", workload::rate_limit(workspace))], now);
            let key = ledger.workspace("w").expect("configured");
            // Longer than a trial, so that no share expires.
            ledger.set_valid_until(Some(now + Duration::from_hours(1)), now);
            ledger.set_first_weight(weight, weight, now);
            Account {
                ledger,
                key,
                lender_estimates: LenderEstimates::default(),
                token_rate: None,
                demand: 0.0,
                requested: 0,
            }
        };
        let accounts = (0..gates)
            .map(|gate| (0..WORKSPACES).map(|ws| account(gate, ws)).collect())
            .collect();
        Self {
            strategy,
            accounts,
            lost_gate: None,
            cut_off_gate: None,
            service_down: false,
        }
    }

    /// Returns the gate that serves a request: `preferred`, or the next one if that gate is lost.
    pub fn serving_gate(&self, preferred: usize) -> usize {
        let gates = self.accounts.len();
        let gate = preferred % gates;
        if self.lost_gate == Some(gate) {
            (gate + 1) % gates
        } else {
            gate
        }
    }

    /// Charges a request at a gate, with loans if the strategy lends.
    ///
    /// # Errors
    ///
    /// The number of missing tokens.
    pub fn charge(
        &mut self,
        gate: usize,
        workspace: usize,
        cost: u64,
        now: Instant,
    ) -> Result<Charge, u64> {
        let account = &mut self.accounts[gate][workspace];
        account.requested += cost;
        let reservation = account.ledger.reserve(account.key, cost, now);
        let reservation = match reservation {
            Ok(reservation) => reservation,
            Err(_) => self.reserve_with_loans(gate, workspace, cost, now)?,
        };
        let account = &mut self.accounts[gate][workspace];
        let key = account.ledger.charge(reservation, now).map_err(|_| cost)?;
        if let Some(token_rate) = &mut account.token_rate {
            token_rate.record_reserved(cost, now);
        }
        Ok(Charge {
            gate,
            workspace,
            key,
        })
    }

    /// Notes whether requests wait for tokens; the token rate is estimated while they do.
    pub fn set_waiting(&mut self, gate: usize, workspace: usize, waits: bool, now: Instant) {
        self.accounts[gate][workspace].token_rate = waits.then(|| TokenRateEstimate::begin(now));
    }

    pub fn progress(&mut self, charge: Charge, used: u64, now: Instant) {
        if !self.strategy.reports_progress {
            return;
        }
        let account = &mut self.accounts[charge.gate][charge.workspace];
        account.ledger.record_usage(charge.key, used, now);
    }

    pub fn settle(&mut self, charge: Charge, used: u64, now: Instant) {
        let account = &mut self.accounts[charge.gate][charge.workspace];
        account.ledger.settle(charge.key, used, now);
        self.end_loans(charge.gate, charge.workspace, now);
    }

    /// Expected time until the gate can reserve `tokens` from its own share and from those it can
    /// borrow from.
    pub fn time_until_tokens(
        &self,
        gate: usize,
        workspace: usize,
        tokens: u64,
        now: Instant,
    ) -> Duration {
        let lenders = self.lenders(gate, workspace, now);
        let account = &self.accounts[gate][workspace];
        let own = account.ledger.weight();
        let reachable = own + lenders.iter().map(|(_, lender)| lender.weight).sum::<u32>();
        let rate_limit = workload::rate_limit(workspace);
        let token_rate = account.token_rate.unwrap_or(TokenRateEstimate::begin(now));
        let wait = token_rate.time_for(tokens, own, reachable, rate_limit, now);
        wait.unwrap_or(Duration::MAX)
    }

    /// Moves the shares of every workspace towards its demand. Shares shrink at once; the weight
    /// that this frees is given out at the next call, as with a single share table.
    pub fn rebalance_shares(&mut self, now: Instant) {
        if self.strategy.share_policy != SharePolicy::Demand || self.service_down {
            return;
        }
        for workspace in 0..WORKSPACES {
            self.rebalance_workspace(workspace, now);
        }
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn rebalance_workspace(&mut self, workspace: usize, now: Instant) {
        let lost_gate = self.lost_gate;
        let mut accounts: Vec<&mut Account> = self
            .accounts
            .iter_mut()
            .map(|accounts| &mut accounts[workspace])
            .collect();
        for account in &mut accounts {
            let requested = std::mem::take(&mut account.requested) as f64;
            account.demand =
                PAST_DEMAND_WEIGHT * account.demand + (1.0 - PAST_DEMAND_WEIGHT) * requested;
        }
        let total: f64 = accounts.iter().map(|account| account.demand).sum();
        let weights: u32 = accounts.iter().map(|a| a.ledger.weight()).sum();
        let mut free = FULL_WEIGHT - weights;
        for (gate, account) in accounts.iter_mut().enumerate() {
            let fraction = if total > 0.0 {
                account.demand / total
            } else {
                0.0
            };
            let equal = EQUAL_FRACTION / GATES as f64;
            let target =
                ((equal + (1.0 - EQUAL_FRACTION) * fraction) * f64::from(FULL_WEIGHT)) as u32;
            let weight = account.ledger.weight();
            if lost_gate == Some(gate) {
                continue;
            }
            if target > weight {
                let more = (target - weight).min(free);
                free -= more;
                account.ledger.set_weight(weight + more, now);
            } else {
                let target = target.max(account.ledger.least_weight()).min(weight);
                account.ledger.set_weight(target, now);
            }
        }
    }

    /// Reserves what the gate has and borrows the rest; releases the reservation if that fails.
    fn reserve_with_loans(
        &mut self,
        gate: usize,
        workspace: usize,
        cost: u64,
        now: Instant,
    ) -> Result<ReservationKey, u64> {
        let account = &mut self.accounts[gate][workspace];
        let reservation = account.ledger.reserve_available(account.key, cost, now);
        let reservation = reservation.map_err(|_| cost)?;
        let mut missing = account.ledger.extend(reservation, cost, now);
        if self.is_lending() {
            for (other, lender) in self.lenders(gate, workspace, now) {
                if missing == 0 {
                    break;
                }
                self.borrow((gate, other), lender, workspace, missing, now);
                let account = &mut self.accounts[gate][workspace];
                missing = account.ledger.extend(reservation, cost, now);
            }
        }
        let account = &mut self.accounts[gate][workspace];
        if missing > 0 {
            account.ledger.release(reservation, now);
        }
        self.end_loans(gate, workspace, now);
        if missing > 0 {
            return Err(missing);
        }
        Ok(reservation)
    }

    fn borrow(
        &mut self,
        (gate, other): (usize, usize),
        lender: Lender,
        workspace: usize,
        wanted: u64,
        now: Instant,
    ) {
        let account = &mut self.accounts[other][workspace];
        let grant = account.ledger.lend(account.key, wanted, LOAN_HOLD, now);
        let account = &mut self.accounts[gate][workspace];
        let answer = LoanAnswer {
            wanted,
            granted: grant.granted,
        };
        let rate_limit = workload::rate_limit(workspace);
        let lender_estimates = &mut account.lender_estimates;
        lender_estimates.record_answer(lender, account.key, rate_limit, answer, now);
        let loan = BorrowedLoan {
            lender: gate_addr(other),
            loan: grant.loan,
            granted: grant.granted,
            expires: now + LOAN_HOLD,
        };
        account.ledger.borrow(account.key, loan, now);
    }

    fn end_loans(&mut self, gate: usize, workspace: usize, now: Instant) {
        for end in self.accounts[gate][workspace].ledger.end_loans(now) {
            let lender = usize::from(end.lender.port());
            if self.can_reach(gate, lender) {
                let account = &mut self.accounts[lender][workspace];
                account.ledger.take_back(end.loan, end.unused, now);
            }
        }
    }

    /// Gates that can be asked for a loan, sorted by estimated tokens, highest first.
    fn lenders(&self, gate: usize, workspace: usize, now: Instant) -> Vec<(usize, Lender)> {
        if !self.is_lending() {
            return Vec::new();
        }
        let mut others: Vec<_> = (0..self.accounts.len())
            .filter(|other| *other != gate && self.can_reach(gate, *other))
            .map(|other| {
                let lender = Lender {
                    addr: gate_addr(other),
                    weight: self.accounts[other][workspace].ledger.weight(),
                };
                (other, lender)
            })
            .collect();
        let account = &self.accounts[gate][workspace];
        let rate_limit = workload::rate_limit(workspace);
        others.sort_by_cached_key(|(_, lender)| {
            std::cmp::Reverse(account.lender_estimates.tokens(
                *lender,
                account.key,
                rate_limit,
                now,
            ))
        });
        others
    }

    fn is_lending(&self) -> bool {
        self.strategy.share_policy == SharePolicy::Lending
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let unreachable = [self.lost_gate, self.cut_off_gate];
        !unreachable.contains(&Some(from)) && !unreachable.contains(&Some(to))
    }
}

fn gate_addr(gate: usize) -> SocketAddr {
    let port = u16::try_from(gate).expect("few gates");
    SocketAddr::from(([127, 0, 0, 1], port))
}
