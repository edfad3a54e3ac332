//! Order in which artifacts in demand are loaded while the weight store is busy.

use std::{collections::BTreeMap, time::Instant};

use crate::{artifact_spec::ArtifactSpec, demand::WaitingRequests};

/// Why a load is needed. Variants are in descending priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Requests wait and there is no replica, nor one being loaded.
    Unserved,
    /// Requests wait although there are ready replicas.
    ScaleOut,
    /// A new version is to replace one that is loaded.
    Rollout,
}

/// An artifact that waits to be loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// What is to be loaded.
    pub spec: ArtifactSpec,
    /// Waiting requests by workspace.
    pub workspaces: BTreeMap<String, WaitingRequests>,
    /// When the demand for it began.
    pub since: Instant,
    /// Why the load is needed.
    pub urgency: Urgency,
    /// Memory, in MB, that must stay free on the server for an adapter of the model.
    pub headroom_mb: u64,
}

impl Candidate {
    /// Earliest deadline of the waiting requests; `None` if there are none.
    pub fn deadline(&self) -> Option<Instant> {
        self.workspaces.values().map(|w| w.deadline).min()
    }
}

/// Policy for the order of loads.
pub trait LoadOrder {
    /// Sorts the candidates into load order. `loading` is the number of loads in progress by
    /// workspace.
    fn sort(&self, candidates: &mut Vec<Candidate>, loading: &BTreeMap<String, usize>);
}

/// Loads the artifact with the oldest demand first.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome;

impl LoadOrder for FirstCome {
    fn sort(&self, candidates: &mut Vec<Candidate>, _loading: &BTreeMap<String, usize>) {
        candidates.sort_by_key(|c| (c.urgency, c.since));
    }
}

/// Loads the artifact with the earliest deadline first.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarliestDeadline;

impl LoadOrder for EarliestDeadline {
    fn sort(&self, candidates: &mut Vec<Candidate>, _loading: &BTreeMap<String, usize>) {
        candidates.sort_by_key(|c| (c.urgency, c.deadline(), c.since));
    }
}

/// Balances loads between workspaces, with the earliest deadline first within each.
///
/// Otherwise a workspace that needs many models at once would keep all others waiting until its
/// whole backlog is loaded.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairDeadline;

impl LoadOrder for FairDeadline {
    fn sort(&self, candidates: &mut Vec<Candidate>, loading: &BTreeMap<String, usize>) {
        EarliestDeadline.sort(candidates, loading);
        let mut loads = loading.clone();
        let mut remaining = std::mem::take(candidates);
        while let Some(next) = next_fair_index(&remaining, &loads) {
            let candidate = remaining.remove(next);
            for workspace in candidate.workspaces.keys() {
                *loads.entry(workspace.clone()).or_default() += 1;
            }
            candidates.push(candidate);
        }
    }
}

/// Index of the candidate to load next: by urgency, then by the fewest loads among the workspaces
/// that wait for it, then by position.
fn next_fair_index(remaining: &[Candidate], loads: &BTreeMap<String, usize>) -> Option<usize> {
    let loads_of = |workspace: &String| loads.get(workspace).copied().unwrap_or(0);
    let fewest_loads = |c: &Candidate| c.workspaces.keys().map(loads_of).min().unwrap_or(0);
    let indexed = remaining.iter().enumerate();
    indexed
        .min_by_key(|(index, c)| (c.urgency, fewest_loads(c), *index))
        .map(|(index, _)| index)
}
