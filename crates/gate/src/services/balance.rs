//! Choice between the upstreams of a route.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::{Catalog, Route};
use rand::seq::SliceRandom;

/// Time for which an upstream that could not be reached is tried last.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// An upstream that may take a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
}

/// What this gate knows of the upstreams of its routes. Clones share it.
#[derive(Clone, Default)]
pub struct Balance {
    states: Rc<RefCell<BTreeMap<String, State>>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    in_flight: u32,
    unreachable_at: Option<Instant>,
}

/// A call in flight at an upstream, until it is dropped.
pub struct InFlight {
    balance: Balance,
    name: String,
}

impl Balance {
    /// Upstreams that take new work, the best first: reachable, then with the fewest calls in
    /// flight from this gate, then of the gate's own zone. Equal ones come in random order, so
    /// that gates do not all choose the same.
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
            let avoided = state.unreachable_at.is_some_and(|at| now < at + AVOID_TIME);
            let rank = (avoided, state.in_flight, upstream.zone != zone);
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

    /// Counts a call until the returned value is dropped.
    pub fn begin(&self, name: &str) -> InFlight {
        let mut states = self.states.borrow_mut();
        states.entry(name.to_owned()).or_default().in_flight += 1;
        InFlight {
            balance: self.clone(),
            name: name.to_owned(),
        }
    }

    /// Notes that an upstream could not be reached.
    pub fn unreachable(&self, name: &str, now: Instant) {
        let mut states = self.states.borrow_mut();
        states.entry(name.to_owned()).or_default().unreachable_at = Some(now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut states = self.balance.states.borrow_mut();
        if let Some(state) = states.get_mut(&self.name) {
            state.in_flight -= 1;
        }
    }
}
