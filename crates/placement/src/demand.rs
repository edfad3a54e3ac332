//! Demand reported by the gates, merged so that a burst at many gates leads to one decision.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Requests of one workspace that wait for an artifact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub count: u32,
    /// Earliest deadline among them.
    pub deadline: Instant,
}

/// Demand of one gate: waiting requests by served name, then by workspace.
pub type GateDemand = BTreeMap<String, BTreeMap<String, WaitingRequests>>;

/// Demand for one artifact over all gates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArtifactDemand {
    /// Waiting requests by workspace.
    pub workspaces: BTreeMap<String, WaitingRequests>,
    /// When the current demand for the artifact began.
    pub since: Instant,
}

impl ArtifactDemand {
    /// Earliest deadline over all workspaces; `None` if none has waiting requests.
    pub fn deadline(&self) -> Option<Instant> {
        self.workspaces.values().map(|w| w.deadline).min()
    }

    /// Number of waiting requests over all workspaces.
    pub fn waiting(&self) -> u32 {
        self.workspaces.values().map(|w| w.count).sum()
    }
}

#[derive(Clone, Debug)]
struct GateEntry {
    demand: GateDemand,
    updated_at: Instant,
}

/// Latest demand of each gate.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    gates: BTreeMap<String, GateEntry>,
    first_waited_at: BTreeMap<String, Instant>,
}

impl DemandTable {
    /// Replaces the demand of a gate. Returns whether an artifact is now in demand that was not
    /// before.
    pub fn update(&mut self, gate: &str, demand: GateDemand, now: Instant) -> bool {
        let mut is_new = false;
        for name in demand.keys() {
            is_new |= !self.first_waited_at.contains_key(name);
            self.first_waited_at.entry(name.clone()).or_insert(now);
        }
        let entry = GateEntry {
            demand,
            updated_at: now,
        };
        self.gates.insert(gate.to_owned(), entry);
        self.prune_first_waited_at();
        is_new
    }

    /// Removes gates that have sent no update for `silence`, and returns their names.
    pub fn expire(&mut self, silence: Duration, now: Instant) -> BTreeSet<String> {
        let is_silent = |g: &GateEntry| now.duration_since(g.updated_at) >= silence;
        let gates = self.gates.iter();
        let silent: BTreeSet<String> = gates
            .filter(|(_, g)| is_silent(g))
            .map(|(name, _)| name.clone())
            .collect();
        self.gates.retain(|name, _| !silent.contains(name));
        self.prune_first_waited_at();
        silent
    }

    /// Demand merged over all gates, by served name.
    pub fn by_artifact(&self) -> BTreeMap<String, ArtifactDemand> {
        let mut wanted: BTreeMap<String, ArtifactDemand> = BTreeMap::new();
        for gate in self.gates.values() {
            for (name, workspaces) in &gate.demand {
                let since = self.first_waited_at[name];
                let entry = wanted
                    .entry(name.clone())
                    .or_insert_with(|| ArtifactDemand {
                        workspaces: BTreeMap::new(),
                        since,
                    });
                merge_waiting(&mut entry.workspaces, workspaces);
            }
        }
        wanted
    }

    fn prune_first_waited_at(&mut self) {
        let gates = &self.gates;
        self.first_waited_at
            .retain(|name, _| gates.values().any(|g| g.demand.contains_key(name)));
    }
}

/// Adds the requests of `from` to `into`, and keeps the earliest deadline of each workspace.
pub fn merge_waiting(
    into: &mut BTreeMap<String, WaitingRequests>,
    from: &BTreeMap<String, WaitingRequests>,
) {
    for (workspace, waiting) in from {
        let entry = into.entry(workspace.clone()).or_insert(WaitingRequests {
            count: 0,
            deadline: waiting.deadline,
        });
        entry.count += waiting.count;
        entry.deadline = entry.deadline.min(waiting.deadline);
    }
}
