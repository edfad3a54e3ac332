//! Estimates of the free tokens at other gates, so that the one most likely to lend is asked first.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{RateLimit, bucket::FULL_WEIGHT, ledger::WorkspaceKey, shares::Weight};

/// Estimated free tokens right after an answer of the gate.
#[derive(Clone, Copy)]
struct Balance {
    remaining: u64,
    at: Instant,
}

/// Estimates of the free tokens at other gates, by gate and workspace. A gate that has not been
/// asked yet counts as full.
#[derive(Default)]
pub struct LenderEstimates {
    balances: BTreeMap<(SocketAddr, WorkspaceKey), Balance>,
}

/// Another gate and its weight in the share table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Peer address of the gate.
    pub addr: SocketAddr,
    /// Part of every allowance that the gate owns.
    pub weight: Weight,
}

impl LenderEstimates {
    /// Updates the estimate from the answer to a loan request. A gate that granted less than was
    /// wanted counts as empty.
    pub fn record_answer(
        &mut self,
        lender: Lender,
        workspace: WorkspaceKey,
        rate_limit: RateLimit,
        answer: LoanAnswer,
        now: Instant,
    ) {
        let estimated = self.tokens(lender, workspace, rate_limit, now);
        let remaining = if answer.granted < answer.wanted {
            0
        } else {
            estimated.saturating_sub(answer.granted)
        };
        self.balances
            .insert((lender.addr, workspace), Balance { remaining, at: now });
    }

    /// Estimated free tokens of a workspace at another gate, including the refill since its last
    /// answer.
    pub fn tokens(
        &self,
        lender: Lender,
        workspace: WorkspaceKey,
        rate_limit: RateLimit,
        now: Instant,
    ) -> u64 {
        let full = weighted_tokens(lender.weight, rate_limit.burst);
        match self.balances.get(&(lender.addr, workspace)) {
            None => full,
            Some(balance) => {
                let elapsed = now.saturating_duration_since(balance.at);
                let refill = refill(lender.weight, rate_limit.rate, elapsed);
                balance.remaining.saturating_add(refill).min(full)
            }
        }
    }

    /// Removes the estimates of gates that are not among `lenders`.
    pub fn retain(&mut self, lenders: &[Lender]) {
        self.balances
            .retain(|(addr, _), _| lenders.iter().any(|lender| lender.addr == *addr));
    }
}

/// Answer of a gate to a loan request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanAnswer {
    /// Tokens asked for.
    pub wanted: u64,
    /// Tokens granted.
    pub granted: u64,
}

fn weighted_tokens(weight: Weight, tokens: u64) -> u64 {
    let amount = u128::from(weight) * u128::from(tokens) / u128::from(FULL_WEIGHT);
    u64::try_from(amount).unwrap_or(u64::MAX)
}

fn refill(weight: Weight, rate: u64, elapsed: Duration) -> u64 {
    let amount = u128::from(weight) * u128::from(rate) * elapsed.as_nanos();
    let tokens = amount / (u128::from(FULL_WEIGHT) * 1_000_000_000);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
