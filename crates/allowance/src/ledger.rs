//! The token buckets of one gate, with the reservations, charges and loans on them.
//!
//! Every call takes the current time and first applies all that is due by then: expired loans, the
//! end of the share's lease, and the refill of the bucket concerned.

mod loans;
mod requests;

use std::{collections::BTreeMap, time::Instant};

use slotmap::{SlotMap, new_key_type};

pub use self::loans::{BorrowedLoan, Grant, LoanReturn};
use self::loans::{BorrowedLoans, LentLoans};
use crate::{
    bucket::{Bucket, MICROTOKENS_PER_TOKEN, RateLimit, weighted_microtokens},
    shares::Weight,
};

new_key_type! {
    /// A workspace in a ledger.
    pub struct WorkspaceKey;
    /// A reservation in a ledger.
    pub struct ReservationKey;
    /// A charge in a ledger.
    pub struct ChargeKey;
}

/// Why tokens cannot be reserved or charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveError {
    /// This many tokens are missing.
    MissingTokens(u64),
    /// The request costs more than the burst of the workspace.
    ExceedsBurst,
    /// The workspace is not configured, or no longer.
    UnknownWorkspace,
}

/// Levels of one workspace at this gate, in whole tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Levels {
    /// Burst capacity at this gate, with loans counted.
    pub cap: i64,
    /// Free tokens; negative when upstreams used more than was charged.
    pub level: i64,
    /// Tokens of waiting and running requests.
    pub committed: i64,
    /// Tokens lent to other gates.
    pub lent: i64,
    /// Tokens borrowed from other gates.
    pub borrowed: i64,
}

struct Account {
    name: String,
    bucket: Bucket,
    configured: bool,
}

struct Reservation {
    workspace: WorkspaceKey,
    amount: i64,
}

struct Charge {
    workspace: WorkspaceKey,
    /// Tokens charged and not used yet, in microtokens.
    remaining: i64,
    /// Tokens used so far, in whole tokens.
    used: u64,
}

/// The buckets of all workspaces at one gate.
pub struct Ledger {
    names: BTreeMap<String, WorkspaceKey>,
    accounts: SlotMap<WorkspaceKey, Account>,
    reservations: SlotMap<ReservationKey, Reservation>,
    charges: SlotMap<ChargeKey, Charge>,
    lent: LentLoans,
    borrowed: BorrowedLoans,
    weight: Weight,
    /// Part of the weight that no gate owned before; buckets opened later start full for it.
    untouched: Weight,
    quarantine: Option<Quarantine>,
    valid_until: Option<Instant>,
}

/// Weight that counts as lent, because an earlier process on this address may have lent it.
#[derive(Clone, Copy)]
struct Quarantine {
    weight: Weight,
    until: Instant,
}

impl Ledger {
    /// Creates an empty ledger without a share. `first_loan` is the number of the first loan it
    /// grants. It must differ from process to process, so that a loan of an earlier process is not
    /// taken for one of this ledger.
    pub fn new(first_loan: u64) -> Self {
        Self {
            names: BTreeMap::new(),
            accounts: SlotMap::with_key(),
            reservations: SlotMap::with_key(),
            charges: SlotMap::with_key(),
            lent: LentLoans::new(first_loan),
            borrowed: BorrowedLoans::default(),
            weight: 0,
            untouched: 0,
            quarantine: None,
            valid_until: None,
        }
    }

    /// Weight in use, in parts per million, as of the last call that took the time.
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// When the share lapses; `None` when it may not be used at all.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// Looks up a configured workspace by name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        let key = *self.names.get(name)?;
        self.accounts[key].configured.then_some(key)
    }

    /// Name of a workspace.
    pub fn name(&self, workspace: WorkspaceKey) -> &str {
        &self.accounts[workspace].name
    }

    /// Allowance of a workspace, summed over all gates.
    pub fn rate_limit(&self, workspace: WorkspaceKey) -> RateLimit {
        self.accounts[workspace].bucket.rate_limit()
    }

    /// Levels of the configured workspaces.
    pub fn levels(&self) -> impl Iterator<Item = (&str, Levels)> {
        self.names
            .iter()
            .filter(|(_, key)| self.accounts[**key].configured)
            .map(|(name, key)| (name.as_str(), self.levels_of(*key)))
    }

    /// Levels of one workspace.
    pub fn levels_of(&self, workspace: WorkspaceKey) -> Levels {
        let bucket = &self.accounts[workspace].bucket;
        Levels {
            cap: bucket.cap() / MICROTOKENS_PER_TOKEN,
            level: bucket.level() / MICROTOKENS_PER_TOKEN,
            committed: bucket.committed() / MICROTOKENS_PER_TOKEN,
            lent: bucket.lent() / MICROTOKENS_PER_TOKEN,
            borrowed: bucket.borrowed() / MICROTOKENS_PER_TOKEN,
        }
    }

    /// Free tokens of a workspace, rounded down; zero when the level is negative.
    pub fn available(&self, workspace: WorkspaceKey) -> u64 {
        round_down_to_tokens(self.accounts[workspace].bucket.level())
    }

    /// Smallest weight at which the committed and lent tokens of every workspace still fit.
    pub fn least_weight(&self) -> Weight {
        let accounts = self.accounts.values();
        accounts
            .map(|account| account.bucket.least_weight())
            .max()
            .unwrap_or(0)
    }

    /// Replaces the set of configured workspaces. A workspace that is new to this process starts
    /// empty, except for the part of its burst that no gate can have used. A workspace that is
    /// removed keeps its bucket, so that removing and adding it again creates no tokens.
    pub fn configure<'a, I>(&mut self, workspaces: I, now: Instant)
    where
        I: IntoIterator<Item = (&'a str, RateLimit)>,
    {
        self.advance(now);
        for account in self.accounts.values_mut() {
            account.configured = false;
        }
        for (name, rate_limit) in workspaces {
            let key = self.open_account(name, rate_limit, now);
            let account = &mut self.accounts[key];
            account.bucket.set_rate_limit(rate_limit, now);
            account.configured = true;
        }
    }

    /// Refills all buckets up to `now`, so that their levels can be read.
    pub fn refresh(&mut self, now: Instant) {
        self.advance(now);
        for account in self.accounts.values_mut() {
            account.bucket.advance(now);
        }
    }

    /// Sets the weight in use, until the lease ends.
    pub fn set_weight(&mut self, weight: Weight, now: Instant) {
        self.advance(now);
        self.apply_weight(weight, now);
    }

    /// Sets the weight in use, of which no gate has ever owned the part `untouched`. Buckets start
    /// full for that part.
    pub fn set_first_weight(&mut self, weight: Weight, untouched: Weight, now: Instant) {
        self.set_weight(weight, now);
        self.untouched = untouched.min(weight);
        for account in self.accounts.values_mut() {
            account.bucket.fill_unused(self.untouched);
        }
    }

    /// Sets when the share lapses. After it has lapsed, [`Ledger::set_weight`] must set it again.
    pub fn set_valid_until(&mut self, until: Option<Instant>, now: Instant) {
        self.advance(now);
        self.valid_until = until;
        self.advance(now);
    }

    /// Counts the whole share as lent until `until`, because an earlier process on this address
    /// may have lent it.
    pub fn quarantine(&mut self, until: Instant, now: Instant) {
        self.advance(now);
        let quarantine = Quarantine {
            weight: self.weight,
            until,
        };
        self.quarantine = Some(quarantine);
        for key in self.accounts.keys().collect::<Vec<_>>() {
            self.quarantine_account(key, quarantine, now);
        }
    }

    fn open_account(&mut self, name: &str, rate_limit: RateLimit, now: Instant) -> WorkspaceKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let mut bucket = Bucket::empty(rate_limit, now);
        bucket.set_weight(self.weight, now);
        bucket.fill_unused(self.untouched);
        let key = self.accounts.insert(Account {
            name: name.to_owned(),
            bucket,
            configured: false,
        });
        self.names.insert(name.to_owned(), key);
        if let Some(quarantine) = self.quarantine.filter(|quarantine| now < quarantine.until) {
            self.quarantine_account(key, quarantine, now);
        }
        key
    }

    fn quarantine_account(&mut self, key: WorkspaceKey, quarantine: Quarantine, now: Instant) {
        let bucket = self.refill_bucket(key, now);
        let amount = weighted_microtokens(quarantine.weight, bucket.rate_limit().burst);
        bucket.lend_capacity(amount);
        self.lent.add(key, amount, quarantine.until);
    }

    fn apply_weight(&mut self, weight: Weight, now: Instant) {
        self.weight = weight;
        self.untouched = self.untouched.min(weight);
        for account in self.accounts.values_mut() {
            account.bucket.set_weight(weight, now);
        }
    }

    /// Refills the bucket of a workspace up to `now` and returns it.
    fn refill_bucket(&mut self, workspace: WorkspaceKey, now: Instant) -> &mut Bucket {
        let bucket = &mut self.accounts[workspace].bucket;
        bucket.advance(now);
        bucket
    }

    /// Ends the loans that have expired by `now`, and sets the weight to zero if the lease has
    /// ended.
    fn advance(&mut self, now: Instant) {
        self.expire_borrowed(now);
        self.expire_lent(now);
        match self.valid_until {
            Some(until) if now < until => {}
            Some(until) if self.weight > 0 => self.apply_weight(0, until),
            None if self.weight > 0 => self.apply_weight(0, now),
            _ => {}
        }
    }
}

fn to_microtokens(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICROTOKENS_PER_TOKEN)
}

fn round_down_to_tokens(amount: i64) -> u64 {
    u64::try_from(amount / MICROTOKENS_PER_TOKEN).unwrap_or(0)
}

fn round_up_to_tokens(amount: i64) -> u64 {
    u64::try_from(amount)
        .unwrap_or(0)
        .div_ceil(MICROTOKENS_PER_TOKEN.unsigned_abs())
}
