//! What this gate believes of the levels at other gates, to ask the most promising one first.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{Terms, bucket::WHOLE, ledger::WorkspaceKey, shares::Weight};

#[derive(Clone, Copy)]
struct Drained {
    left: u64,
    at: Instant,
}

/// Estimates of the free tokens at other gates.
#[derive(Default)]
pub struct Estimates {
    drained: BTreeMap<(SocketAddr, WorkspaceKey), Drained>,
}

/// Share of another gate, as the record has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Peer address of the gate.
    pub addr: SocketAddr,
    /// Its weight.
    pub weight: Weight,
}

impl Estimates {
    /// Notes the answer to a request for `wanted` tokens.
    pub fn note(
        &mut self,
        lender: Lender,
        workspace: WorkspaceKey,
        terms: Terms,
        answer: Answer,
        now: Instant,
    ) {
        let believed = self.tokens(lender, workspace, terms, now);
        let left = if answer.granted < answer.wanted {
            0
        } else {
            believed.saturating_sub(answer.granted)
        };
        self.drained
            .insert((lender.addr, workspace), Drained { left, at: now });
    }

    /// Estimated free tokens of a workspace at another gate.
    pub fn tokens(
        &self,
        lender: Lender,
        workspace: WorkspaceKey,
        terms: Terms,
        now: Instant,
    ) -> u64 {
        let full = weighted(lender.weight, terms.burst);
        match self.drained.get(&(lender.addr, workspace)) {
            None => full,
            Some(drained) => {
                let elapsed = now.saturating_duration_since(drained.at);
                let refill = refill(lender.weight, terms.rate, elapsed);
                drained.left.saturating_add(refill).min(full)
            }
        }
    }

    /// Forgets gates that are not among `lenders`.
    pub fn retain(&mut self, lenders: &[Lender]) {
        self.drained
            .retain(|(addr, _), _| lenders.iter().any(|lender| lender.addr == *addr));
    }
}

/// Answer of a gate that was asked for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Tokens asked for.
    pub wanted: u64,
    /// Tokens granted.
    pub granted: u64,
}

fn weighted(weight: Weight, tokens: u64) -> u64 {
    let amount = u128::from(weight) * u128::from(tokens) / u128::from(WHOLE);
    u64::try_from(amount).unwrap_or(u64::MAX)
}

fn refill(weight: Weight, rate: u64, elapsed: Duration) -> u64 {
    let amount = u128::from(weight) * u128::from(rate) * elapsed.as_nanos();
    let tokens = amount / (u128::from(WHOLE) * 1_000_000_000);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
