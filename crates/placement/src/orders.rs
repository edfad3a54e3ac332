//! Orders to the engines, and their outcomes.

use std::time::{Duration, Instant};

use comfreyweir_external::engine::{Action, LoadState, Order};

use crate::{
    holder::{Holder, Place, Progress},
    idle::IdlePolicy,
    order::LoadOrder,
    record::{Reservation, Stage},
    server::Server,
};

/// Shortest pause between two reports of one engine.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two reports while an unload, or a load of unknown length, is under way.
const UNLOAD_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a replica is unloaded although requests still run on it.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Reports that are read over the rest of a load, at most.
const REPORTS_WHILE_LOADING: u32 = 8;

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has taken it.
    Taken,
    /// The engine has seen a higher term.
    Fenced,
    /// The engine has refused it and changed nothing.
    Refused,
    /// Not known; the order may still arrive.
    Unknown,
    /// It was not sent.
    NotSent,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Whether orders may be sent to an upstream now. To be asked again after every wait.
    ///
    /// An upstream that checks fencing refuses a deposed holder by itself, so what is recorded
    /// may be carried out there even while the lease cannot be renewed.
    pub fn may_order(&self, upstream: &str, now: Instant) -> bool {
        let Some(server) = self.servers.get(upstream) else {
            return false;
        };
        let in_lease = self.order_until().is_some_and(|until| now < until);
        self.is_active() && (server.config.checks_fencing || in_lease)
    }

    /// The order that is due at an engine. The caller sends one order at a time to each engine
    /// and reports its outcome before it asks again.
    pub fn next_order(&mut self, upstream: &str, now: Instant) -> Option<Order> {
        if !self.may_order(upstream, now) {
            return None;
        }
        let server = self.servers.get(upstream).filter(|s| s.is_engine())?;
        let action = if server.config.checks_fencing && server.fenced_term < self.record.term {
            Action::Fence
        } else {
            // Without a report of its own a holder knows too little to order anything.
            server.report.as_ref()?;
            self.due_unload(upstream, server, now)
                .or_else(|| self.due_load(upstream, server))?
        };
        Some(Order {
            term: self.record.term,
            action,
        })
    }

    /// Takes the outcome of an order.
    pub fn order_settled(
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
            Action::Fence => self.fence_settled(upstream, order.term, outcome),
            Action::Load { artifact, .. } => {
                let place = (upstream.to_owned(), artifact.served_name());
                self.load_settled(place, order.term, outcome, now);
            }
            Action::Unload { artifact } => {
                let place = (upstream.to_owned(), artifact.served_name());
                if outcome == OrderOutcome::Taken
                    && let Some(retiring) = self.retiring.get_mut(&place)
                {
                    retiring.ordered = true;
                }
            }
        }
    }

    /// Time until the engine's report is worth reading again: soon while a load or an unload is
    /// about to end, and `usual` otherwise.
    pub fn report_pause(&self, upstream: &str, usual: Duration, now: Instant) -> Duration {
        let unsettled = self.record.plan.on(upstream);
        let pauses = unsettled.filter_map(|r| match r.stage {
            Stage::Retire => Some(UNLOAD_PAUSE),
            Stage::Load | Stage::Placed if !self.is_ready(r) => Some(self.load_pause(r, now)),
            _ => None,
        });
        pauses.min().unwrap_or(usual).min(usual)
    }

    fn load_pause(&self, r: &Reservation, now: Instant) -> Duration {
        if r.artifact.base.is_some() {
            return SHORTEST_PAUSE;
        }
        match self.remaining(r, now) {
            Some(remaining) => (remaining / REPORTS_WHILE_LOADING).max(SHORTEST_PAUSE),
            None => UNLOAD_PAUSE,
        }
    }

    fn fence_settled(&mut self, upstream: &str, term: u64, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Taken
            && let Some(server) = self.servers.get_mut(upstream)
        {
            server.fenced_term = server.fenced_term.max(term);
        }
    }

    fn load_settled(&mut self, place: Place, term: u64, outcome: OrderOutcome, now: Instant) {
        let pause = self.settings.refused_pause;
        let Some(r) = self.record.plan.find_mut(&place.0, &place.1) else {
            return;
        };
        match outcome {
            OrderOutcome::Taken => {
                r.stage = Stage::Placed;
                let tier = self.servers[&place.0].tier(&place.1);
                self.progress.insert(place, Progress { since: now, tier });
            }
            OrderOutcome::Unknown => r.stray = r.stray.max(Some(term)),
            OrderOutcome::Refused => {
                // The next report settles whether the reservation stays.
                r.stage = Stage::Held;
                if let Some(server) = self.servers.get_mut(&place.0) {
                    server.retry_at = Some(now + pause);
                }
            }
            OrderOutcome::Fenced | OrderOutcome::NotSent => {}
        }
    }

    fn is_confirmed(&self, r: &Reservation) -> bool {
        r.decision <= self.confirmed
    }

    fn due_unload(&self, upstream: &str, server: &Server, now: Instant) -> Option<Action> {
        let mut retired = self.record.plan.on(upstream);
        let due = retired.find(|r| {
            r.stage == Stage::Retire
                && self.is_confirmed(r)
                && self.is_quiet(r, server, now)
                && !self.has_adapters(upstream, r)
                && matches!(
                    server.state(&r.artifact.served_name()),
                    Some(LoadState::Ready | LoadState::Loading)
                )
        })?;
        Some(Action::Unload {
            artifact: due.artifact.clone(),
        })
    }

    /// Whether the gates have had the time to stop using a replica, and nothing runs on it any
    /// more. After a limit the engine is left to finish what still runs there.
    fn is_quiet(&self, r: &Reservation, server: &Server, now: Instant) -> bool {
        let name = r.artifact.served_name();
        let place = (r.upstream.clone(), name.clone());
        let Some(since) = self.retiring.get(&place).map(|retiring| retiring.since) else {
            return true;
        };
        let quiet_from = since + self.settings.retire_grace;
        if now < quiet_from {
            return false;
        }
        let is_unused = self.activity.get(&name).is_none_or(|a| a.running() == 0);
        is_unused || server.was_quiet_at(quiet_from) || now >= since + DRAIN_LIMIT
    }

    fn has_adapters(&self, upstream: &str, base: &Reservation) -> bool {
        let name = base.artifact.served_name();
        let mut others = self.record.plan.on(upstream);
        others.any(|r| r.artifact.base.as_ref() == Some(&name) && r.stage != Stage::Held)
    }

    fn due_load(&self, upstream: &str, server: &Server) -> Option<Action> {
        let mut decided = self.record.plan.on(upstream);
        let due = decided.find(|r| {
            let base = r.artifact.base.as_ref();
            r.stage == Stage::Load
                && self.is_confirmed(r)
                && server.state(&r.artifact.served_name()).is_none()
                && base.is_none_or(|base| server.has_ready(base))
        })?;
        Some(Action::Load {
            artifact: due.artifact.clone(),
            memory_mb: due.memory_mb,
        })
    }
}
