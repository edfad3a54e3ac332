//! The gates under each way of dividing allowances.

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

const WHOLE: u32 = 1_000_000;
/// Longest time that borrowed tokens are held.
const HOLD: Duration = Duration::from_mins(1);
/// Period of moving shares after demand.
pub const MOVE_PERIOD: Duration = Duration::from_secs(1);
/// Part of every allowance that is divided equally when shares follow demand.
const EQUAL_PART: f64 = 0.2;
/// Weight of the past in the demand that shares follow.
const PAST: f64 = 0.7;

/// How an allowance is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Division {
    /// Not at all: one bucket for the whole fleet.
    None,
    /// Equal shares.
    Equal,
    /// Shares of each workspace that follow its demand at each gate.
    Demand,
    /// Equal shares, and lending.
    Lending,
}

/// A way to treat requests.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    pub name: &'static str,
    pub division: Division,
    /// Longest time that a request waits for tokens.
    pub wait: Duration,
    /// Whether the use of a running request is noted before its end.
    pub progress: bool,
}

impl Way {
    pub const ALL: [Self; 10] = [
        Self::new("one bucket", Division::None, 0),
        Self::new("one bucket, wait 10 s", Division::None, 10),
        Self::new("equal shares", Division::Equal, 0),
        Self::new("shares after demand", Division::Demand, 0),
        Self::new("lending", Division::Lending, 0),
        Self::new("lending, wait 1 s", Division::Lending, 1),
        Self::new("lending, wait 5 s", Division::Lending, 5),
        Self::new("lending, wait 10 s", Division::Lending, 10),
        Self::new("lending, wait 20 s", Division::Lending, 20),
        Self {
            progress: false,
            ..Self::new("lending, wait 10 s, no progress", Division::Lending, 10)
        },
    ];

    const fn new(name: &'static str, division: Division, wait: u64) -> Self {
        Self {
            name,
            division,
            wait: Duration::from_secs(wait),
            progress: true,
        }
    }
}

/// A charge at a gate.
#[derive(Clone, Copy)]
pub struct Charge {
    gate: usize,
    workspace: usize,
    key: ChargeKey,
}

/// One workspace at one gate. Each workspace has a ledger of its own, so that its shares can
/// differ from those of others.
struct Account {
    ledger: Ledger,
    key: WorkspaceKey,
    estimates: LenderEstimates,
    pace: Option<TokenRateEstimate>,
    demand: f64,
    demanded: u64,
}

/// The gates.
pub struct Fleet {
    way: Way,
    accounts: Vec<Vec<Account>>,
    pub lost: Option<usize>,
    pub cut_off: Option<usize>,
    pub service_down: bool,
}

impl Fleet {
    pub fn new(way: Way, now: Instant) -> Self {
        let gates = if way.division == Division::None {
            1
        } else {
            GATES
        };
        let weight = WHOLE / u32::try_from(gates).expect("few gates");
        let account = |gate: usize, workspace: usize| {
            let first_loan = u64::try_from(gate * WORKSPACES + workspace).expect("few") << 32;
            let mut ledger = Ledger::new(first_loan);
            ledger.configure([("w", workload::terms(workspace))], now);
            let key = ledger.workspace("w").expect("configured");
            // Longer than a trial: no share lapses.
            ledger.set_valid_until(Some(now + Duration::from_hours(1)), now);
            ledger.set_first_weight(weight, weight, now);
            Account {
                ledger,
                key,
                estimates: LenderEstimates::default(),
                pace: None,
                demand: 0.0,
                demanded: 0,
            }
        };
        let accounts = (0..gates)
            .map(|gate| (0..WORKSPACES).map(|ws| account(gate, ws)).collect())
            .collect();
        Self {
            way,
            accounts,
            lost: None,
            cut_off: None,
            service_down: false,
        }
    }

    /// Gate that serves a request; the balancer sends nothing to one that is lost.
    pub fn gate(&self, wanted: usize) -> usize {
        let gates = self.accounts.len();
        let gate = wanted % gates;
        if self.lost == Some(gate) {
            (gate + 1) % gates
        } else {
            gate
        }
    }

    /// Charges a request, or tells how many tokens are missing.
    pub fn charge(
        &mut self,
        gate: usize,
        workspace: usize,
        cost: u64,
        now: Instant,
    ) -> Result<Charge, u64> {
        let account = &mut self.accounts[gate][workspace];
        account.demanded += cost;
        let hold = account.ledger.reserve(account.key, cost, now);
        let hold = match hold {
            Ok(hold) => hold,
            Err(_) => self.gather(gate, workspace, cost, now)?,
        };
        let account = &mut self.accounts[gate][workspace];
        let key = account.ledger.charge(hold, now).map_err(|_| cost)?;
        if let Some(pace) = &mut account.pace {
            pace.record_reserved(cost, now);
        }
        Ok(Charge {
            gate,
            workspace,
            key,
        })
    }

    /// Requests begin or cease to wait for tokens.
    pub fn set_waiting(&mut self, gate: usize, workspace: usize, waits: bool, now: Instant) {
        self.accounts[gate][workspace].pace = waits.then(|| TokenRateEstimate::begin(now));
    }

    pub fn progress(&mut self, charge: Charge, used: u64, now: Instant) {
        if !self.way.progress {
            return;
        }
        let account = &mut self.accounts[charge.gate][charge.workspace];
        account.ledger.progress(charge.key, used, now);
    }

    pub fn settle(&mut self, charge: Charge, used: u64, now: Instant) {
        let account = &mut self.accounts[charge.gate][charge.workspace];
        account.ledger.settle(charge.key, used, now);
        self.end_loans(charge.gate, charge.workspace, now);
    }

    /// Time in which the shares in reach bring so many tokens.
    pub fn tokens_after(
        &self,
        gate: usize,
        workspace: usize,
        tokens: u64,
        now: Instant,
    ) -> Duration {
        let others = self.others(gate, workspace, now);
        let account = &self.accounts[gate][workspace];
        let own = account.ledger.weight();
        let reach = own + others.iter().map(|(_, other)| other.weight).sum::<u32>();
        let terms = workload::terms(workspace);
        let pace = account.pace.unwrap_or(TokenRateEstimate::begin(now));
        let after = pace.time_for(tokens, own, reach, terms, now);
        after.unwrap_or(Duration::MAX)
    }

    /// Moves the shares of every workspace towards its demand. What shrinks does so now, and what
    /// it frees is taken in the next period, as it is with one record of shares.
    pub fn move_shares(&mut self, now: Instant) {
        if self.way.division != Division::Demand || self.service_down {
            return;
        }
        for workspace in 0..WORKSPACES {
            self.move_shares_of(workspace, now);
        }
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn move_shares_of(&mut self, workspace: usize, now: Instant) {
        let lost = self.lost;
        let mut accounts: Vec<&mut Account> = self
            .accounts
            .iter_mut()
            .map(|accounts| &mut accounts[workspace])
            .collect();
        for account in &mut accounts {
            let demanded = std::mem::take(&mut account.demanded) as f64;
            account.demand = PAST * account.demand + (1.0 - PAST) * demanded;
        }
        let all: f64 = accounts.iter().map(|account| account.demand).sum();
        let weights: u32 = accounts.iter().map(|a| a.ledger.weight()).sum();
        let mut free = WHOLE - weights;
        for (gate, account) in accounts.iter_mut().enumerate() {
            let part = if all > 0.0 { account.demand / all } else { 0.0 };
            let equal = EQUAL_PART / GATES as f64;
            let target = ((equal + (1.0 - EQUAL_PART) * part) * f64::from(WHOLE)) as u32;
            let weight = account.ledger.weight();
            if lost == Some(gate) {
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

    fn gather(
        &mut self,
        gate: usize,
        workspace: usize,
        cost: u64,
        now: Instant,
    ) -> Result<ReservationKey, u64> {
        let account = &mut self.accounts[gate][workspace];
        let hold = account.ledger.reserve_available(account.key, cost, now);
        let hold = hold.map_err(|_| cost)?;
        let mut missing = account.ledger.extend(hold, cost, now);
        if self.lends() {
            for (other, lender) in self.others(gate, workspace, now) {
                if missing == 0 {
                    break;
                }
                self.borrow((gate, other), lender, workspace, missing, now);
                let account = &mut self.accounts[gate][workspace];
                missing = account.ledger.extend(hold, cost, now);
            }
        }
        let account = &mut self.accounts[gate][workspace];
        if missing > 0 {
            account.ledger.release(hold, now);
        }
        self.end_loans(gate, workspace, now);
        if missing > 0 {
            return Err(missing);
        }
        Ok(hold)
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
        let grant = account.ledger.lend(account.key, wanted, HOLD, now);
        let account = &mut self.accounts[gate][workspace];
        let answer = LoanAnswer {
            wanted,
            granted: grant.granted,
        };
        let terms = workload::terms(workspace);
        let estimates = &mut account.estimates;
        estimates.record_answer(lender, account.key, terms, answer, now);
        let loan = BorrowedLoan {
            lender: addr(other),
            loan: grant.loan,
            granted: grant.granted,
            expires: now + HOLD,
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

    /// Other gates in reach, the one believed to have the most tokens first.
    fn others(&self, gate: usize, workspace: usize, now: Instant) -> Vec<(usize, Lender)> {
        if !self.lends() {
            return Vec::new();
        }
        let mut others: Vec<_> = (0..self.accounts.len())
            .filter(|other| *other != gate && self.can_reach(gate, *other))
            .map(|other| {
                let lender = Lender {
                    addr: addr(other),
                    weight: self.accounts[other][workspace].ledger.weight(),
                };
                (other, lender)
            })
            .collect();
        let account = &self.accounts[gate][workspace];
        let terms = workload::terms(workspace);
        others.sort_by_cached_key(|(_, lender)| {
            std::cmp::Reverse(account.estimates.tokens(*lender, account.key, terms, now))
        });
        others
    }

    fn lends(&self) -> bool {
        self.way.division == Division::Lending
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let silent = [self.lost, self.cut_off];
        !silent.contains(&Some(from)) && !silent.contains(&Some(to))
    }
}

fn addr(gate: usize) -> SocketAddr {
    let port = u16::try_from(gate).expect("few gates");
    SocketAddr::from(([127, 0, 0, 1], port))
}
