//! Loans between gates.
//!
//! A loan moves tokens and the room for them: the lender's cap is lower, and the borrower's
//! higher, by the amount of the loan until it ends. So the caps of all gates never sum to more
//! than the burst. The borrower counts the hold time from before it asked and the lender counts
//! a longer one from when it granted, so the borrower always ends the loan first.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Ledger, WorkspaceKey, micro, whole};
use crate::drift;

/// Tokens that were lent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens lent; zero when there is no loan.
    pub granted: u64,
}

/// Tokens that were borrowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Borrowed {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens borrowed.
    pub granted: u64,
    /// When the loan ends by the clock of the borrower.
    pub expires: Instant,
}

/// A loan that has ended at the borrower, to be told to the lender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Return {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens that go back.
    pub unused: u64,
}

#[derive(Clone, Copy)]
struct LentLoan {
    workspace: WorkspaceKey,
    amount: i64,
    expires: Instant,
}

/// Loans that this gate has granted.
pub(super) struct LentLoans {
    next: u64,
    loans: BTreeMap<u64, LentLoan>,
}

impl LentLoans {
    pub(super) fn new(first: u64) -> Self {
        Self {
            next: first,
            loans: BTreeMap::new(),
        }
    }

    pub(super) fn add(&mut self, workspace: WorkspaceKey, amount: i64, expires: Instant) -> u64 {
        let loan = self.next;
        self.next = self.next.wrapping_add(1);
        self.loans.insert(
            loan,
            LentLoan {
                workspace,
                amount,
                expires,
            },
        );
        loan
    }
}

/// Loans that this gate has taken.
#[derive(Default)]
pub(super) struct BorrowedLoans {
    loans: Vec<(WorkspaceKey, Borrowed)>,
}

impl Ledger {
    /// Lends up to `wanted` tokens for `hold`.
    pub fn lend(
        &mut self,
        workspace: WorkspaceKey,
        wanted: u64,
        hold: Duration,
        now: Instant,
    ) -> Grant {
        self.advance(now);
        self.bucket(workspace, now);
        let expires = now + drift::guarded(hold);
        let granted = wanted.min(self.available(workspace));
        if granted == 0 {
            return Grant {
                loan: 0,
                granted: 0,
            };
        }
        let amount = micro(granted);
        self.accounts[workspace].bucket.lend(amount);
        let loan = self.lent.add(workspace, amount, expires);
        Grant { loan, granted }
    }

    /// Ends a loan that was granted. A loan that has expired is ignored.
    pub fn take_back(&mut self, loan: u64, unused: u64, now: Instant) {
        self.advance(now);
        if let Some(lent) = self.lent.loans.remove(&loan) {
            let unused = micro(unused).min(lent.amount);
            let bucket = self.bucket(lent.workspace, now);
            bucket.end_lent(lent.amount, unused);
        }
    }

    /// Takes borrowed tokens, unless their time is over already.
    pub fn borrow(&mut self, workspace: WorkspaceKey, loan: Borrowed, now: Instant) {
        self.advance(now);
        if loan.granted == 0 || now >= loan.expires {
            return;
        }
        let bucket = self.bucket(workspace, now);
        bucket.borrow(micro(loan.granted));
        self.borrowed.loans.push((workspace, loan));
    }

    /// Ends all loans that can end, oldest first: their room is not needed any more, and tokens
    /// above the own room go back to the lender.
    pub fn end_loans(&mut self, now: Instant) -> Vec<Return> {
        self.advance(now);
        let loans = std::mem::take(&mut self.borrowed.loans);
        let mut returns = Vec::new();
        for (workspace, loan) in loans {
            if let Some(unused) = self.end_if_free(workspace, &loan, now) {
                returns.push(Return {
                    lender: loan.lender,
                    loan: loan.loan,
                    unused,
                });
            } else {
                self.borrowed.loans.push((workspace, loan));
            }
        }
        returns
    }

    /// Tokens on loan from other gates.
    pub fn loans_taken(&self) -> usize {
        self.borrowed.loans.len()
    }

    fn end_if_free(
        &mut self,
        workspace: WorkspaceKey,
        loan: &Borrowed,
        now: Instant,
    ) -> Option<u64> {
        let bucket = self.bucket(workspace, now);
        let amount = micro(loan.granted);
        let excess = bucket.excess_without(amount);
        if excess > bucket.level().max(0) {
            return None;
        }
        bucket.end_borrowed(amount);
        Some(whole(excess).min(loan.granted))
    }

    pub(super) fn expire_borrowed(&mut self, now: Instant) {
        let accounts = &mut self.accounts;
        self.borrowed.loans.retain(|(workspace, loan)| {
            let expired = now >= loan.expires;
            if expired {
                let bucket = &mut accounts[*workspace].bucket;
                bucket.advance(now);
                bucket.end_borrowed(micro(loan.granted));
            }
            !expired
        });
    }

    pub(super) fn expire_lent(&mut self, now: Instant) {
        let accounts = &mut self.accounts;
        self.lent.loans.retain(|_, lent| {
            let expired = now >= lent.expires;
            if expired {
                let bucket = &mut accounts[lent.workspace].bucket;
                bucket.advance(now);
                bucket.end_lent(lent.amount, 0);
            }
            !expired
        });
    }
}
