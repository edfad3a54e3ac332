//! Assigns waiting requests to replicas, and refuses those that cannot be served.

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
    Queues, ReplicaAssignment, deadline_refusal,
    running_call::RunningCall,
    state::{PendingKey, PendingRequest, QueueState},
};
use crate::{Refusal, auth, context::GateContext, handler, placement_view::PlacementView};

/// Interval at which all waiting requests are checked again even if no change was reported.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A decision to be sent to the request that waits for it.
struct Decision {
    decision_tx: oneshot::Sender<Result<ReplicaAssignment, Refusal>>,
    result: Result<ReplicaAssignment, Refusal>,
}

/// A replica that can take a request now.
struct FreeReplica {
    upstream: String,
    addr: SocketAddr,
    candidate: Candidate,
}

/// Dispatches waiting requests whenever something changes. Runs until it is aborted.
pub(crate) async fn run_dispatcher<A, V>(cx: Rc<GateContext<A, V>>)
where
    V: PlacementView,
{
    let mut revisions = cx.follower.changes();
    loop {
        let queues = &cx.queues;
        tokio::select! {
            () = queues.0.wake.notified() => queues.dispatch(&cx),
            () = cx.view.changed() => queues.recheck_all(&cx),
            // The follower lives as long as the gate.
            _ = revisions.changed() => queues.recheck_all(&cx),
            () = actix_rt::time::sleep(RECHECK_INTERVAL) => queues.recheck_all(&cx),
        }
    }
}

impl Queues {
    /// Refuses waiting requests that cannot be served any more, then dispatches from the rest.
    fn recheck_all<A, V>(&self, cx: &GateContext<A, V>)
    where
        V: PlacementView,
    {
        if self.waiting() == 0 {
            return;
        }
        self.refuse_unservable(cx);
        self.dispatch(cx);
    }

    /// Assigns waiting requests to free replicas.
    pub(crate) fn dispatch<A, V>(&self, cx: &GateContext<A, V>)
    where
        V: PlacementView,
    {
        let mut decisions = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let mut names = state.artifacts_round_robin();
            // Round-robin over the artifacts, one request each, until no replica is free.
            while !names.is_empty() {
                names.retain(|name| self.dispatch_one(cx, &mut state, name, &mut decisions));
            }
        }
        send_decisions(decisions);
    }

    /// Decides on the next request for the artifact `name`. Returns false if none is waiting or no
    /// replica is free.
    fn dispatch_one<A, V>(
        &self,
        cx: &GateContext<A, V>,
        state: &mut QueueState,
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
        let Some(pending) = state.pop(name) else {
            return false;
        };
        let result = if state.would_miss_deadline(&pending.request, now) {
            Err(deadline_refusal(
                "no time is left before the deadline",
                None,
            ))
        } else {
            Ok(self.assign(state, &pending, free, now))
        };
        decisions.push(Decision {
            decision_tx: pending.decision_tx,
            result,
        });
        true
    }

    fn assign(
        &self,
        state: &mut QueueState,
        pending: &PendingRequest,
        free: Vec<FreeReplica>,
        now: Instant,
    ) -> ReplicaAssignment {
        let request = &pending.request;
        let chosen = state.choose_free_replica(free, &request.prefixes);
        let calls = state.upstreams.entry(chosen.upstream.clone()).or_default();
        let call = calls.begin(now);
        state
            .prefixes
            .record_sent(&request.prefixes, &chosen.upstream);
        if let Some(queue) = state.artifacts.get_mut(&request.served_name) {
            queue.running += 1;
        }
        let running_call = RunningCall::new(
            self.clone(),
            chosen.upstream.clone(),
            request.served_name.clone(),
            call,
            now,
        );
        ReplicaAssignment {
            upstream: chosen.upstream,
            addr: chosen.addr,
            running_call,
        }
    }

    /// Refuses requests whose key was withdrawn or which cannot be answered before their deadline,
    /// and all requests if this gate is cut off from its configuration.
    fn refuse_unservable<A, V>(&self, cx: &GateContext<A, V>)
    where
        V: PlacementView,
    {
        let mut decisions = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let now = Instant::now();
            let refused: Vec<(PendingKey, Refusal)> = state
                .pending
                .iter()
                .filter_map(|(key, pending)| {
                    let refusal = refusal_for(cx, &state, pending, now)?;
                    Some((key, refusal))
                })
                .collect();
            for (key, refusal) in refused {
                if let Some(pending) = state.remove(key) {
                    decisions.push(Decision {
                        decision_tx: pending.decision_tx,
                        result: Err(refusal),
                    });
                }
            }
        }
        send_decisions(decisions);
    }
}

/// Why a waiting request cannot be served any more; `None` if it can go on waiting.
fn refusal_for<A, V>(
    cx: &GateContext<A, V>,
    state: &QueueState,
    pending: &PendingRequest,
    now: Instant,
) -> Option<Refusal>
where
    V: PlacementView,
{
    let request = &pending.request;
    let admitted = handler::check_config_freshness(cx)
        .and_then(|()| auth::recheck(&cx.follower.current(), &request.identity));
    if let Err(refusal) = admitted {
        return Some(refusal);
    }
    let replicas = cx.view.replicas(&request.served_name);
    if !replicas.iter().any(|r| r.ready)
        && let Some(ready_in) = cx.view.ready_in(&request.served_name)
        && now + ready_in > request.deadline
    {
        let message = "the model cannot be loaded before the deadline";
        return Some(deadline_refusal(message, Some(ready_in)));
    }
    let is_late = state.would_miss_deadline(request, now);
    is_late.then(|| deadline_refusal("no engine was free in time for the deadline", None))
}

impl QueueState {
    /// Artifacts with waiting requests. Each call starts with the next one, so that all get their
    /// turn at the first free replica.
    fn artifacts_round_robin(&mut self) -> Vec<String> {
        let waiting = self.artifacts.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        if !names.is_empty() {
            let first = self.round_robin_offset % names.len();
            names.rotate_left(first);
            self.round_robin_offset = self.round_robin_offset.wrapping_add(1);
        }
        names
    }

    fn pop(&mut self, name: &str) -> Option<PendingRequest> {
        let key = self.artifacts.get_mut(name)?.pop()?;
        self.pending.remove(key)
    }

    fn free_replicas<V>(
        &self,
        view: &V,
        catalog: &Catalog,
        zone: &str,
        name: &str,
        now: Instant,
    ) -> Vec<FreeReplica>
    where
        V: PlacementView,
    {
        let mut free = Vec::new();
        for replica in view.replicas(name) {
            let Some(upstream) = catalog.upstreams.get(&replica.upstream) else {
                continue;
            };
            let accepts_calls = replica.ready
                && !upstream.draining
                && upstream.kind == UpstreamKind::Engine
                && !view.is_leaving(&replica.upstream);
            let calls = self.upstreams.get(&replica.upstream);
            if !accepts_calls || calls.is_some_and(|c| c.is_paused(now)) {
                continue;
            }
            let reported = replica.running.saturating_add(replica.waiting);
            let own_calls = calls.map_or(0, comfreyweir_routing::load::UpstreamCalls::running);
            let load = calls.map_or(reported, |c| c.estimate(reported, replica.load_at));
            // Even on a full engine each gate may run one call, so that other gates cannot starve
            // it.
            if own_calls > 0 && load >= upstream.slots {
                continue;
            }
            free.push(FreeReplica {
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

    /// Chooses one of the replicas by load and cached prefix. `free` must not be empty.
    fn choose_free_replica(
        &mut self,
        mut free: Vec<FreeReplica>,
        prefixes: &PromptPrefixes,
    ) -> FreeReplica {
        if let Some((upstream, cached_fraction)) = self.prefixes.longest_match(prefixes) {
            for replica in free.iter_mut().filter(|f| f.upstream == upstream) {
                replica.candidate.cached = cached_fraction;
            }
        }
        let candidates: Vec<Candidate> = free.iter().map(|f| f.candidate).collect();
        let chosen = choice::choose_replica(&candidates, &mut self.rng).unwrap_or_default();
        free.swap_remove(chosen)
    }
}

/// Sends decisions to their requests. The queue state must not be borrowed: if a request is gone,
/// its assignment is dropped here, and dropping the [`RunningCall`] borrows the state.
fn send_decisions(decisions: Vec<Decision>) {
    for decision in decisions {
        let _ = decision.decision_tx.send(decision.result);
    }
}
