//! Decisions about requests that wait: which goes where, and which is refused.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::{Catalog, UpstreamKind};
use comfreyweir_routing::{
    affinity::PromptPrefixes,
    choice::{self, Candidate},
};
use tokio::sync::oneshot;

use super::{
    Grant, Queues, not_in_time,
    slot::Slot,
    state::{State, Ticket, TicketKey},
};
use crate::{Refusal, auth, context::Cx, handler, placement_view::PlacementView};

/// Period of looking at all requests that wait, whatever has changed.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// A decision on its way to the request that waits for it.
struct Decision {
    tx: oneshot::Sender<Result<Grant, Refusal>>,
    result: Result<Grant, Refusal>,
}

/// A replica that can take a request now.
struct Free {
    upstream: String,
    addr: SocketAddr,
    candidate: Candidate,
}

/// Decides whenever something has changed, until it is aborted.
pub(crate) async fn run<A, V>(cx: Rc<Cx<A, V>>)
where
    V: PlacementView,
{
    let mut revisions = cx.follower.changes();
    loop {
        let queues = &cx.queues;
        tokio::select! {
            () = queues.0.wake.notified() => queues.dispatch(&cx),
            () = cx.view.changed() => queues.look(&cx),
            // The follower lives as long as the gate.
            _ = revisions.changed() => queues.look(&cx),
            () = actix_rt::time::sleep(LOOK_PERIOD) => queues.look(&cx),
        }
    }
}

impl Queues {
    /// Refuses what cannot be served any more, and sends what can go.
    fn look<A, V>(&self, cx: &Cx<A, V>)
    where
        V: PlacementView,
    {
        if self.waiting() == 0 {
            return;
        }
        self.refuse(cx);
        self.dispatch(cx);
    }

    /// Sends what can go.
    pub(crate) fn dispatch<A, V>(&self, cx: &Cx<A, V>)
    where
        V: PlacementView,
    {
        let mut decisions = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let mut names = state.names_in_turn();
            // One request of each artifact in turn, until no replica is free.
            while !names.is_empty() {
                names.retain(|name| self.dispatch_one(cx, &mut state, name, &mut decisions));
            }
        }
        deliver(decisions);
    }

    fn dispatch_one<A, V>(
        &self,
        cx: &Cx<A, V>,
        state: &mut State,
        name: &str,
        decisions: &mut Vec<Decision>,
    ) -> bool
    where
        V: PlacementView,
    {
        if state
            .artifacts
            .get(name)
            .is_none_or(super::state::ArtifactQueue::is_empty)
        {
            return false;
        }
        let now = Instant::now();
        let catalog = &cx.follower.current().catalog;
        let zone = &cx.settings.instance.zone;
        let free = state.free_replicas(&cx.view, catalog, zone, name, now);
        if free.is_empty() {
            return false;
        }
        let Some(ticket) = state.pop(name) else {
            return false;
        };
        let result = if state.is_hopeless(&ticket.wanted, now) {
            Err(not_in_time("no time is left before the deadline", None))
        } else {
            Ok(self.grant(state, &ticket, free, now))
        };
        decisions.push(Decision {
            tx: ticket.tx,
            result,
        });
        true
    }

    fn grant(&self, state: &mut State, ticket: &Ticket, free: Vec<Free>, now: Instant) -> Grant {
        let wanted = &ticket.wanted;
        let chosen = state.choose(free, &wanted.prefixes);
        let calls = state.upstreams.entry(chosen.upstream.clone()).or_default();
        let call = calls.begin(now);
        state
            .prefixes
            .record_sent(&wanted.prefixes, &chosen.upstream);
        if let Some(queue) = state.artifacts.get_mut(&wanted.served_name) {
            queue.running += 1;
        }
        let slot = Slot::new(
            self.clone(),
            chosen.upstream.clone(),
            wanted.served_name.clone(),
            call,
            now,
        );
        Grant {
            upstream: chosen.upstream,
            addr: chosen.addr,
            slot,
        }
    }

    /// Refuses requests whose key was withdrawn, whose gate is cut off, and which cannot be
    /// answered before their deadline.
    fn refuse<A, V>(&self, cx: &Cx<A, V>)
    where
        V: PlacementView,
    {
        let mut decisions = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let now = Instant::now();
            let refused: Vec<(TicketKey, Refusal)> = state
                .tickets
                .iter()
                .filter_map(|(key, ticket)| {
                    let refusal = refusal(cx, &state, ticket, now)?;
                    Some((key, refusal))
                })
                .collect();
            for (key, refusal) in refused {
                if let Some(ticket) = state.remove(key) {
                    decisions.push(Decision {
                        tx: ticket.tx,
                        result: Err(refusal),
                    });
                }
            }
        }
        deliver(decisions);
    }
}

fn refusal<A, V>(cx: &Cx<A, V>, state: &State, ticket: &Ticket, now: Instant) -> Option<Refusal>
where
    V: PlacementView,
{
    let wanted = &ticket.wanted;
    let admitted = handler::check_fresh(cx)
        .and_then(|()| auth::recheck(&cx.follower.current(), &wanted.identity));
    if let Err(refusal) = admitted {
        return Some(refusal);
    }
    let replicas = cx.view.replicas(&wanted.served_name);
    if !replicas.iter().any(|r| r.ready)
        && let Some(ready_in) = cx.view.ready_in(&wanted.served_name)
        && now + ready_in > wanted.deadline
    {
        let message = "the model cannot be loaded before the deadline";
        return Some(not_in_time(message, Some(ready_in)));
    }
    let is_late = state.is_hopeless(wanted, now);
    is_late.then(|| not_in_time("no engine was free in time for the deadline", None))
}

impl State {
    /// Artifacts with requests that wait, beginning with another one each time.
    fn names_in_turn(&mut self) -> Vec<String> {
        let waiting = self.artifacts.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        if !names.is_empty() {
            let first = self.turn % names.len();
            names.rotate_left(first);
            self.turn = self.turn.wrapping_add(1);
        }
        names
    }

    fn pop(&mut self, name: &str) -> Option<Ticket> {
        let key = self.artifacts.get_mut(name)?.pop()?;
        self.tickets.remove(key)
    }

    fn free_replicas<V>(
        &self,
        view: &V,
        catalog: &Catalog,
        zone: &str,
        name: &str,
        now: Instant,
    ) -> Vec<Free>
    where
        V: PlacementView,
    {
        let mut free = Vec::new();
        for replica in view.replicas(name) {
            let Some(upstream) = catalog.upstreams.get(&replica.upstream) else {
                continue;
            };
            let takes_work = replica.ready
                && !upstream.draining
                && upstream.kind == UpstreamKind::Engine
                && !view.is_leaving(&replica.upstream);
            let calls = self.upstreams.get(&replica.upstream);
            if !takes_work || calls.is_some_and(|c| c.is_paused(now)) {
                continue;
            }
            let reported = replica.running.saturating_add(replica.waiting);
            let own = calls.map_or(0, comfreyweir_routing::load::UpstreamCalls::running);
            let load = calls.map_or(reported, |c| c.estimate(reported, replica.load_at));
            // One call of its own is left to each gate, so that none is kept out by the others.
            if own > 0 && load >= upstream.slots {
                continue;
            }
            free.push(Free {
                addr: upstream.address,
                candidate: Candidate {
                    load,
                    slots: upstream.slots,
                    same_zone: upstream.zone == zone,
                    cached: 0.0,
                },
                upstream: replica.upstream,
            });
        }
        free
    }

    /// Chooses one of the replicas, of which there is at least one.
    fn choose(&mut self, mut free: Vec<Free>, prefixes: &PromptPrefixes) -> Free {
        if let Some((upstream, part)) = self.prefixes.longest(prefixes) {
            for replica in free.iter_mut().filter(|f| f.upstream == upstream) {
                replica.candidate.cached = part;
            }
        }
        let candidates: Vec<Candidate> = free.iter().map(|f| f.candidate).collect();
        let chosen = choice::choose_replica(&candidates, &mut self.rng).unwrap_or_default();
        free.swap_remove(chosen)
    }
}

/// Delivers decisions after the state was released: a grant that nobody waits for any more gives
/// its slot back.
fn deliver(decisions: Vec<Decision>) {
    for decision in decisions {
        let _ = decision.tx.send(decision.result);
    }
}
