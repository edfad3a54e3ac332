//! Load balancing between the upstreams of a route.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::{Catalog, Route};
use rand::seq::SliceRandom;

/// Time for which an upstream that could not be reached ranks after all others.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(2);

/// An upstream that can take a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub name: String,
    /// Address to connect to.
    pub addr: SocketAddr,
}

/// Calls in flight from this gate and recent connection failures, for each upstream. Clones share
/// the state.
#[derive(Clone, Default)]
pub struct UpstreamBalancer {
    states: Rc<RefCell<BTreeMap<String, UpstreamState>>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamState {
    in_flight: u32,
    unreachable_at: Option<Instant>,
}

/// Counts a call as in flight at its upstream until dropped.
pub struct InFlightCall {
    balancer: UpstreamBalancer,
    name: String,
}

impl UpstreamBalancer {
    /// Upstreams that take new calls, the best first. Ranked by recent reachability, then by the
    /// fewest calls in flight from this gate, then by being in `zone`. Equally ranked upstreams
    /// come in random order, so that not all gates choose the same one.
    pub fn candidates<F>(
        &self,
        catalog: &Catalog,
        route: &Route,
        zone: &str,
        now: Instant,
        is_leaving: F,
    ) -> Vec<Candidate>
    where
        F: Fn(&str) -> bool,
    {
        let states = self.states.borrow();
        let mut ranked = Vec::new();
        for name in &route.upstreams {
            let Some(upstream) = catalog.upstreams.get(name) else {
                continue;
            };
            if upstream.draining || is_leaving(name) {
                continue;
            }
            let state = states.get(name).copied().unwrap_or_default();
            let recently_unreachable = state
                .unreachable_at
                .is_some_and(|at| now < at + UNREACHABLE_COOLDOWN);
            let rank = (recently_unreachable, state.in_flight, upstream.zone != zone);
            let addr = upstream.address;
            ranked.push((
                rank,
                Candidate {
                    name: name.clone(),
                    addr,
                },
            ));
        }
        ranked.shuffle(&mut rand::rng());
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Counts a call as in flight at the upstream `name` until the returned value is dropped.
    pub fn begin_call(&self, name: &str) -> InFlightCall {
        let mut states = self.states.borrow_mut();
        states.entry(name.to_owned()).or_default().in_flight += 1;
        InFlightCall {
            balancer: self.clone(),
            name: name.to_owned(),
        }
    }

    /// Records that the upstream `name` could not be reached at `now`.
    pub fn mark_unreachable(&self, name: &str, now: Instant) {
        let mut states = self.states.borrow_mut();
        states.entry(name.to_owned()).or_default().unreachable_at = Some(now);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let mut states = self.balancer.states.borrow_mut();
        if let Some(state) = states.get_mut(&self.name) {
            state.in_flight -= 1;
        }
    }
}
