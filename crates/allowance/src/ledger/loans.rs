//! Loans between gates.
//!
//! A loan moves both tokens and burst capacity: until it ends, the lender's cap is lower and the
//! borrower's higher by the amount of the loan, so the caps of all gates never sum to more than the
//! burst. The borrower measures the hold time from before it asked, and the lender measures a
//! longer time from when it granted, so the borrower always ends the loan first.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Ledger, WorkspaceKey, round_down_to_tokens, to_microtokens};
use crate::drift;

/// Answer of a lender to a loan request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens lent; zero when there is no loan.
    pub granted: u64,
}

/// A loan from another gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BorrowedLoan {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens borrowed.
    pub granted: u64,
    /// When the loan ends by the clock of the borrower.
    pub expires: Instant,
}

/// Notice to the lender that the borrower has ended a loan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanReturn {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Tokens that are returned to the lender.
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
    next_id: u64,
    loans: BTreeMap<u64, LentLoan>,
}

impl LentLoans {
    pub(super) fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            loans: BTreeMap::new(),
        }
    }

    pub(super) fn add(&mut self, workspace: WorkspaceKey, amount: i64, expires: Instant) -> u64 {
        let loan = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
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
    loans: Vec<(WorkspaceKey, BorrowedLoan)>,
}

impl Ledger {
    /// Lends up to `wanted` tokens. The loan expires here after `hold` plus a margin for clock
    /// drift.
    pub fn lend(
        &mut self,
        workspace: WorkspaceKey,
        wanted: u64,
        hold: Duration,
        now: Instant,
    ) -> Grant {
        self.advance(now);
        self.refill_bucket(workspace, now);
        let expires = now + drift::guarded(hold);
        let granted = wanted.min(self.available(workspace));
        if granted == 0 {
            return Grant {
                loan: 0,
                granted: 0,
            };
        }
        let amount = to_microtokens(granted);
        self.accounts[workspace].bucket.lend(amount);
        let loan = self.lent.add(workspace, amount, expires);
        Grant { loan, granted }
    }

    /// Ends a loan to another gate. A loan that has expired, or is unknown, is ignored.
    pub fn take_back(&mut self, loan: u64, unused: u64, now: Instant) {
        self.advance(now);
        if let Some(lent) = self.lent.loans.remove(&loan) {
            let unused = to_microtokens(unused).min(lent.amount);
            let bucket = self.refill_bucket(lent.workspace, now);
            bucket.end_lent_loan(lent.amount, unused);
        }
    }

    /// Adds borrowed tokens, unless the loan is empty or has expired already.
    pub fn borrow(&mut self, workspace: WorkspaceKey, loan: BorrowedLoan, now: Instant) {
        self.advance(now);
        if loan.granted == 0 || now >= loan.expires {
            return;
        }
        let bucket = self.refill_bucket(workspace, now);
        bucket.borrow(to_microtokens(loan.granted));
        self.borrowed.loans.push((workspace, loan));
    }

    /// Ends, oldest first, all loans from other gates whose capacity is no longer needed. Tokens
    /// above the cap without the loan are returned to the lender.
    pub fn end_loans(&mut self, now: Instant) -> Vec<LoanReturn> {
        self.advance(now);
        let loans = std::mem::take(&mut self.borrowed.loans);
        let mut returns = Vec::new();
        for (workspace, loan) in loans {
            if let Some(unused) = self.end_if_unneeded(workspace, &loan, now) {
                returns.push(LoanReturn {
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

    /// Number of loans from other gates that have not ended.
    pub fn borrowed_loan_count(&self) -> usize {
        self.borrowed.loans.len()
    }

    /// Ends a loan, and returns its unused tokens, unless that would push reserved or charged
    /// tokens above the cap.
    fn end_if_unneeded(
        &mut self,
        workspace: WorkspaceKey,
        loan: &BorrowedLoan,
        now: Instant,
    ) -> Option<u64> {
        let bucket = self.refill_bucket(workspace, now);
        let amount = to_microtokens(loan.granted);
        let excess = bucket.excess_without_loan(amount);
        if excess > bucket.level().max(0) {
            return None;
        }
        bucket.end_borrowed_loan(amount);
        Some(round_down_to_tokens(excess).min(loan.granted))
    }

    pub(super) fn expire_borrowed(&mut self, now: Instant) {
        let accounts = &mut self.accounts;
        self.borrowed.loans.retain(|(workspace, loan)| {
            let expired = now >= loan.expires;
            if expired {
                let bucket = &mut accounts[*workspace].bucket;
                bucket.advance(now);
                bucket.end_borrowed_loan(to_microtokens(loan.granted));
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
                bucket.end_lent_loan(lent.amount, 0);
            }
            !expired
        });
    }
}
