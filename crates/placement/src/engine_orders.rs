//! Load, unload and fence orders to the engines, and the handling of their outcomes.

use std::time::{Duration, Instant};

use comfreyweir_external::engine::{LoadState, Order, OrderAction};

use crate::{
    holder::{Holder, LoadProgress, ReplicaKey},
    idle::IdlePolicy,
    load_order::LoadOrder,
    record::{Reservation, Stage},
    server::Server,
};

/// Shortest interval between two reads of an engine's report.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two reads of a report during an unload, or a load of unknown duration.
const UNLOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a retired replica is unloaded even if requests still run on it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// The read interval during a load is its expected remaining time divided by this.
const REMAINING_TIME_DIVISOR: u32 = 8;

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has accepted it.
    Taken,
    /// The engine has rejected it, because it has seen a higher term.
    Fenced,
    /// The engine has refused it and changed nothing.
    Refused,
    /// The outcome is not known, and the order may still arrive.
    Unknown,
    /// It was not sent.
    NotSent,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Whether orders may be sent to an upstream now. The caller must check again after every
    /// wait.
    ///
    /// An upstream that checks fencing rejects the orders of a deposed holder itself, so recorded
    /// decisions may be carried out there even while the lease cannot be renewed.
    pub fn may_order(&self, upstream: &str, now: Instant) -> bool {
        let Some(server) = self.servers.get(upstream) else {
            return false;
        };
        let in_lease = self.ordering_deadline().is_some_and(|until| now < until);
        self.is_active() && (server.config.checks_fencing || in_lease)
    }

    /// Returns the next order for an engine, if one is due. The caller sends one order at a time to
    /// each engine and reports its outcome with [`Self::apply_order_outcome`] before it asks again.
    pub fn next_order(&mut self, upstream: &str, now: Instant) -> Option<Order> {
        if !self.may_order(upstream, now) {
            return None;
        }
        let server = self.servers.get(upstream).filter(|s| s.is_engine())?;
        let action = if server.config.checks_fencing && server.fenced_term < self.record.term {
            OrderAction::Fence
        } else {
            // A holder orders nothing until it has read a report of the engine under its own term.
            server.report.as_ref()?;
            self.due_unload(upstream, server, now)
                .or_else(|| self.due_load(upstream, server))?
        };
        Some(Order {
            term: self.record.term,
            action,
        })
    }

    /// Applies the outcome of an order, which must be the last one sent to this engine. `Fenced`
    /// deposes the holder.
    pub fn apply_order_outcome(
        &mut self,
        upstream: &str,
        order: &Order,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        if outcome == OrderOutcome::Fenced {
            self.deposed = true;
            return;
        }
        match &order.action {
            OrderAction::Fence => self.apply_fence_outcome(upstream, order.term, outcome),
            OrderAction::Load { artifact, .. } => {
                let key = (upstream.to_owned(), artifact.served_name());
                self.apply_load_outcome(key, order.term, outcome, now);
            }
            OrderAction::Unload { artifact } => {
                let key = (upstream.to_owned(), artifact.served_name());
                if outcome == OrderOutcome::Taken
                    && let Some(retirement) = self.retirements.get_mut(&key)
                {
                    retirement.unload_ordered = true;
                }
            }
        }
    }

    /// Time until the engine's report should be read again: shorter while a load or unload is in
    /// progress, `usual` otherwise.
    pub fn report_interval(&self, upstream: &str, usual: Duration, now: Instant) -> Duration {
        let reservations = self.record.plan.on_upstream(upstream);
        let intervals = reservations.filter_map(|r| match r.stage {
            Stage::Retire => Some(UNLOAD_REPORT_INTERVAL),
            Stage::Load | Stage::Placed if !self.is_ready(r) => {
                Some(self.load_report_interval(r, now))
            }
            _ => None,
        });
        intervals.min().unwrap_or(usual).min(usual)
    }

    fn load_report_interval(&self, r: &Reservation, now: Instant) -> Duration {
        if r.artifact.base.is_some() {
            return MIN_REPORT_INTERVAL;
        }
        match self.remaining_load_time(r, now) {
            Some(remaining) => (remaining / REMAINING_TIME_DIVISOR).max(MIN_REPORT_INTERVAL),
            None => UNLOAD_REPORT_INTERVAL,
        }
    }

    fn apply_fence_outcome(&mut self, upstream: &str, term: u64, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Taken
            && let Some(server) = self.servers.get_mut(upstream)
        {
            server.fenced_term = server.fenced_term.max(term);
        }
    }

    fn apply_load_outcome(
        &mut self,
        key: ReplicaKey,
        term: u64,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        let refusal_backoff = self.settings.refusal_backoff;
        let Some(r) = self.record.plan.find_mut(&key.0, &key.1) else {
            return;
        };
        match outcome {
            OrderOutcome::Taken => {
                r.stage = Stage::Placed;
                let tier = self.servers[&key.0].tier(&key.1);
                self.loads_in_progress
                    .insert(key, LoadProgress { since: now, tier });
            }
            OrderOutcome::Unknown => r.unsettled_load_term = r.unsettled_load_term.max(Some(term)),
            OrderOutcome::Refused => {
                // The next report decides whether the reservation is kept.
                r.stage = Stage::Held;
                if let Some(server) = self.servers.get_mut(&key.0) {
                    server.retry_at = Some(now + refusal_backoff);
                }
            }
            OrderOutcome::Fenced | OrderOutcome::NotSent => {}
        }
    }

    fn is_confirmed(&self, r: &Reservation) -> bool {
        r.decision <= self.confirmed_decision
    }

    fn due_unload(&self, upstream: &str, server: &Server, now: Instant) -> Option<OrderAction> {
        let mut retired = self.record.plan.on_upstream(upstream);
        let due = retired.find(|r| {
            r.stage == Stage::Retire
                && self.is_confirmed(r)
                && self.is_drained(r, server, now)
                && !self.has_adapters(upstream, r)
                && matches!(
                    server.state(&r.artifact.served_name()),
                    Some(LoadState::Ready | LoadState::Loading)
                )
        })?;
        Some(OrderAction::Unload {
            artifact: due.artifact.clone(),
        })
    }

    /// Whether the grace period for the gates is over and no requests run on the replica. After
    /// `DRAIN_TIMEOUT` it counts as drained in any case, and the engine finishes the requests that
    /// still run.
    fn is_drained(&self, r: &Reservation, server: &Server, now: Instant) -> bool {
        let name = r.artifact.served_name();
        let key = (r.upstream.clone(), name.clone());
        let Some(since) = self
            .retirements
            .get(&key)
            .map(|retirement| retirement.since)
        else {
            // A predecessor retired it, so this holder has never listed it in its view.
            return true;
        };
        let grace_end = since + self.settings.retire_grace;
        if now < grace_end {
            return false;
        }
        let is_unused = self
            .activity
            .get(&name)
            .is_none_or(|a| a.running_requests() == 0);
        is_unused || server.was_idle_at_or_after(grace_end) || now >= since + DRAIN_TIMEOUT
    }

    fn has_adapters(&self, upstream: &str, base: &Reservation) -> bool {
        let name = base.artifact.served_name();
        let mut others = self.record.plan.on_upstream(upstream);
        others.any(|r| r.artifact.base.as_ref() == Some(&name) && r.stage != Stage::Held)
    }

    fn due_load(&self, upstream: &str, server: &Server) -> Option<OrderAction> {
        let mut decided = self.record.plan.on_upstream(upstream);
        let due = decided.find(|r| {
            let base = r.artifact.base.as_ref();
            r.stage == Stage::Load
                && self.is_confirmed(r)
                && server.state(&r.artifact.served_name()).is_none()
                && base.is_none_or(|base| server.has_ready(base))
        })?;
        Some(OrderAction::Load {
            artifact: due.artifact.clone(),
            memory_mb: due.memory_mb,
        })
    }
}
