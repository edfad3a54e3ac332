//! Demand of the gates, merged so that a burst at many gates makes one decision.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Requests of one workspace that wait for an artifact at one gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number of requests.
    pub count: u32,
    /// Earliest deadline among them.
    pub deadline: Instant,
}

/// Demand of one gate: waiting requests by served name and workspace.
pub type GateDemand = BTreeMap<String, BTreeMap<String, Waiting>>;

/// Demand for one artifact over all gates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Waiting requests by workspace.
    pub workspaces: BTreeMap<String, Waiting>,
    /// When the artifact was first waited for.
    pub since: Instant,
}

impl Wanted {
    /// Earliest deadline over all workspaces.
    pub fn deadline(&self) -> Option<Instant> {
        self.workspaces.values().map(|w| w.deadline).min()
    }

    /// Waiting requests over all workspaces.
    pub fn waiting(&self) -> u32 {
        self.workspaces.values().map(|w| w.count).sum()
    }
}

#[derive(Clone, Debug)]
struct FromGate {
    demand: GateDemand,
    heard: Instant,
}

/// Demand of all gates.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    gates: BTreeMap<String, FromGate>,
    since: BTreeMap<String, Instant>,
}

impl DemandTable {
    /// Replaces what a gate waits for. Returns whether something is wanted that was not before.
    pub fn update(&mut self, gate: &str, demand: GateDemand, now: Instant) -> bool {
        let mut is_new = false;
        for name in demand.keys() {
            is_new |= !self.since.contains_key(name);
            self.since.entry(name.clone()).or_insert(now);
        }
        let entry = FromGate { demand, heard: now };
        self.gates.insert(gate.to_owned(), entry);
        self.forget_unwanted();
        is_new
    }

    /// Forgets gates that have not been heard for `silence`, and names them.
    pub fn expire(&mut self, silence: Duration, now: Instant) -> BTreeSet<String> {
        let is_silent = |g: &FromGate| now.duration_since(g.heard) >= silence;
        let gates = self.gates.iter();
        let silent: BTreeSet<String> = gates
            .filter(|(_, g)| is_silent(g))
            .map(|(name, _)| name.clone())
            .collect();
        self.gates.retain(|name, _| !silent.contains(name));
        self.forget_unwanted();
        silent
    }

    /// Demand of all gates together, by served name.
    pub fn wanted(&self) -> BTreeMap<String, Wanted> {
        let mut wanted: BTreeMap<String, Wanted> = BTreeMap::new();
        for gate in self.gates.values() {
            for (name, workspaces) in &gate.demand {
                let since = self.since[name];
                let entry = wanted.entry(name.clone()).or_insert_with(|| Wanted {
                    workspaces: BTreeMap::new(),
                    since,
                });
                merge(&mut entry.workspaces, workspaces);
            }
        }
        wanted
    }

    fn forget_unwanted(&mut self) {
        let gates = &self.gates;
        self.since
            .retain(|name, _| gates.values().any(|g| g.demand.contains_key(name)));
    }
}

/// Adds the requests of `from` to `into`.
pub fn merge(into: &mut BTreeMap<String, Waiting>, from: &BTreeMap<String, Waiting>) {
    for (workspace, waiting) in from {
        let entry = into.entry(workspace.clone()).or_insert(Waiting {
            count: 0,
            deadline: waiting.deadline,
        });
        entry.count += waiting.count;
        entry.deadline = entry.deadline.min(waiting.deadline);
    }
}
