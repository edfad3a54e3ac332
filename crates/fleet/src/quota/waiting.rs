//! Requests that wait until the holder grants the units that they cost.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{OverQuota, UsageTotals};
use crate::intake::Urgency;

/// Number of waiting requests of a workspace that a process describes to the holder one by one. More are
/// described as soon as these have been served.
pub const DESCRIBED_REQUESTS: usize = 3;

/// A request for units of a workspace's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Cost in units.
    pub cost: u64,
    /// Urgency, where `gives_up` is the time until which the request may wait for its units.
    pub urgency: Urgency,
}

impl Claim {
    /// Time until which the request may wait for its units.
    pub fn wait_until(&self) -> Instant {
        self.urgency.gives_up
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn units(&self) -> f64 {
        self.cost as f64
    }
}

/// Time until which a request that arrived at `arrived` may wait for its units. The rest of the time until
/// `deadline` is left to serve it: the time that its route takes at most to the first byte in normal
/// operation, at least half of all time and at most three quarters.
pub fn wait_until(arrived: Instant, deadline: Instant, first_byte_goal: Duration) -> Instant {
    let time = deadline.saturating_duration_since(arrived);
    let to_serve = first_byte_goal.clamp(time / 2, time * 3 / 4);
    arrived + time.saturating_sub(to_serve)
}

/// A waiting request, as a process describes it to the holder. Times count from when the message is
/// written.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WaitingRequest {
    /// Cost in units.
    pub cost: f64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Time left until its answer should begin, in ms.
    pub goal_ms: u32,
    /// Time left for which it may wait, in ms.
    pub wait_ms: u32,
}

impl WaitingRequest {
    fn describe(claim: &Claim, now: Instant) -> Self {
        let left_ms = |until: Instant| {
            let left = until.saturating_duration_since(now).as_millis();
            u32::try_from(left).unwrap_or(u32::MAX)
        };
        Self {
            cost: claim.units(),
            rank: claim.urgency.rank,
            goal_ms: left_ms(claim.urgency.goal),
            wait_ms: left_ms(claim.urgency.gives_up),
        }
    }

    pub(super) fn urgency(&self, now: Instant) -> Urgency {
        let after = |ms: u32| now + Duration::from_millis(u64::from(ms));
        Urgency {
            rank: self.rank,
            goal: after(self.goal_ms),
            gives_up: after(self.wait_ms),
        }
    }
}

/// A request in the line of its workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: u64,
    pub(super) claim: Claim,
    pub(super) joined_at: Instant,
}

impl Waiter {
    fn order(&self, now: Instant) -> impl Ord + use<> {
        (self.claim.urgency.order(now), self.ticket)
    }
}

/// Requests of one workspace that wait at one instance. Their number is limited by what the bucket can
/// cover while they wait, since others are refused.
#[derive(Debug, Default)]
pub(super) struct WaitingLine {
    waiters: Vec<Waiter>,
    /// What was decided on requests that have not taken notice of it yet, with their costs.
    outcomes: HashMap<u64, (f64, Result<(), OverQuota>)>,
    last_ticket: u64,
}

impl WaitingLine {
    pub(super) fn join(&mut self, claim: Claim, now: Instant) -> u64 {
        self.last_ticket += 1;
        self.waiters.push(Waiter {
            ticket: self.last_ticket,
            claim,
            joined_at: now,
        });
        self.last_ticket
    }

    /// Removes a request that waits.
    pub(super) fn remove(&mut self, ticket: u64) -> Option<Waiter> {
        let position = self.waiters.iter().position(|w| w.ticket == ticket)?;
        Some(self.waiters.remove(position))
    }

    /// Takes what was decided on a request, with its cost; none while it waits.
    pub(super) fn take_outcome(&mut self, ticket: u64) -> Option<(f64, Result<(), OverQuota>)> {
        self.outcomes.remove(&ticket)
    }

    /// Decides on the requests in the order of their urgency by `decide`, which returns none for those
    /// that go on waiting.
    pub(super) fn decide<F>(&mut self, mut decide: F, now: Instant)
    where
        F: FnMut(&Waiter) -> Option<Result<(), OverQuota>>,
    {
        self.waiters.sort_by_cached_key(|w| w.order(now));
        let outcomes = &mut self.outcomes;
        self.waiters.retain(|waiter| {
            let decided = decide(waiter);
            if let Some(outcome) = decided {
                outcomes.insert(waiter.ticket, (waiter.claim.units(), outcome));
            }
            decided.is_none()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Units of the waiting requests that are more urgent than a new one.
    pub(super) fn units_before(&self, claim: &Claim, now: Instant) -> f64 {
        let order = claim.urgency.order(now);
        let before = self.waiters.iter();
        before
            .filter(|w| w.claim.urgency.order(now) <= order)
            .map(|w| w.claim.units())
            .sum()
    }

    /// The most urgent request.
    pub(super) fn first(&self, now: Instant) -> Option<&Waiter> {
        self.waiters.iter().min_by_key(|w| w.order(now))
    }

    /// Describes the most urgent requests in `totals`.
    pub(super) fn describe(&self, totals: &mut UsageTotals, now: Instant) {
        totals.awaited = self.waiters.iter().map(|w| w.claim.units()).sum();
        let mut waiters: Vec<_> = self.waiters.iter().collect();
        waiters.sort_by_cached_key(|w| w.order(now));
        for (described, waiter) in totals.waiting.iter_mut().zip(waiters) {
            *described = Some(WaitingRequest::describe(&waiter.claim, now));
        }
    }
}
