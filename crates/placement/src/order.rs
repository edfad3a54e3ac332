//! Order in which wanted artifacts are loaded while the weight store is busy.

use std::{collections::BTreeMap, time::Instant};

use crate::{demand::Waiting, spec::Spec};

/// Why a load is wanted; what comes first goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Requests wait and no replica serves them.
    Waited,
    /// Requests wait although replicas serve them.
    Extra,
    /// A new version replaces one that is in use.
    Roll,
}

/// An artifact that waits to be loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// What is to be loaded.
    pub spec: Spec,
    /// Waiting requests by workspace.
    pub workspaces: BTreeMap<String, Waiting>,
    /// When it was first waited for.
    pub since: Instant,
    /// Why it is wanted.
    pub urgency: Urgency,
    /// Memory to be left free beside it, in MB.
    pub headroom_mb: u64,
}

impl Candidate {
    /// Earliest deadline of the waiting requests.
    pub fn deadline(&self) -> Option<Instant> {
        self.workspaces.values().map(|w| w.deadline).min()
    }
}

/// Sorts candidates; the first one is loaded first.
pub trait LoadOrder {
    /// Sorts the candidates. `loading` tells how many loads run for each workspace.
    fn sort(&self, candidates: &mut Vec<Candidate>, loading: &BTreeMap<String, usize>);
}

/// In the order in which artifacts were first waited for.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome;

impl LoadOrder for FirstCome {
    fn sort(&self, candidates: &mut Vec<Candidate>, _loading: &BTreeMap<String, usize>) {
        candidates.sort_by_key(|c| (c.urgency, c.since));
    }
}

/// By the earliest deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarliestDeadline;

impl LoadOrder for EarliestDeadline {
    fn sort(&self, candidates: &mut Vec<Candidate>, _loading: &BTreeMap<String, usize>) {
        candidates.sort_by_key(|c| (c.urgency, c.deadline(), c.since));
    }
}

/// By turns between workspaces, and by the earliest deadline within each.
///
/// A workspace that wakes many models at once would else keep every other one waiting for the
/// whole of its backlog.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairDeadline;

impl LoadOrder for FairDeadline {
    fn sort(&self, candidates: &mut Vec<Candidate>, loading: &BTreeMap<String, usize>) {
        EarliestDeadline.sort(candidates, loading);
        let mut taken = loading.clone();
        let mut rest = std::mem::take(candidates);
        while let Some(next) = next_in_turn(&rest, &taken) {
            let candidate = rest.remove(next);
            for workspace in candidate.workspaces.keys() {
                *taken.entry(workspace.clone()).or_default() += 1;
            }
            candidates.push(candidate);
        }
    }
}

/// Index of the candidate whose least served workspace has the fewest loads.
fn next_in_turn(rest: &[Candidate], taken: &BTreeMap<String, usize>) -> Option<usize> {
    let loads_of = |workspace: &String| taken.get(workspace).copied().unwrap_or(0);
    let turn = |c: &Candidate| c.workspaces.keys().map(loads_of).min().unwrap_or(0);
    let keys = rest.iter().enumerate();
    keys.min_by_key(|(index, c)| (c.urgency, turn(c), *index))
        .map(|(index, _)| index)
}
