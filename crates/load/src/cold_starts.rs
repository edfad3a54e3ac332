//! Cold-start experiment: compares orders of loads, numbers of concurrent loads from the store,
//! server choices and idle policies on a virtual clock.
//!
//! The planner's decisions are real: the holder's state machine runs unchanged. The rest is
//! simulated: a record whose writes always succeed, engines with load times, and a weight store
//! whose loads slow down beyond a number of concurrent loads.

mod engines;
mod report;
mod simulation;
mod workload;

use std::time::Duration;

use comfreyweir_placement::{
    holder::PlacementPolicies,
    idle::{AdaptiveKeep, FixedKeep, IdlePolicy, LearnedKeep},
    load_order::{EarliestDeadline, FairDeadline, FirstCome, LoadOrder},
    server_choice::ServerChoice,
};
use serde::Serialize;

pub use self::report::{ColdStartReport, ColdStartResult};
use self::{simulation::Simulation, workload::Workload};
use crate::deployment::Deployment;

/// Time for which the fixed policy keeps an idle model; no other policy keeps one longer.
const MAX_KEEP: Duration = Duration::from_mins(5);
/// Minimum time for which the adaptive policy keeps an idle model.
const MIN_KEEP: Duration = Duration::from_secs(30);
/// Idle time that the learned policy counts as equal to one cold start.
const COLD_START_COST: Duration = Duration::from_mins(2);
/// Concurrent loads from the store in the baseline: as many as the store runs at full speed.
const BASELINE_CONCURRENCY: usize = 4;

/// Names of the policies of one run, as they are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct PolicySet {
    /// Order of loads.
    pub order: &'static str,
    /// Maximum number of concurrent loads from the store.
    pub concurrency: usize,
    /// Choice of server.
    pub server: &'static str,
    /// Policy for the time that idle models stay loaded.
    pub idle: &'static str,
}

/// The policies that the project uses; every other policy set differs from it in one field.
const BASELINE: PolicySet = PolicySet {
    order: "deadline",
    concurrency: BASELINE_CONCURRENCY,
    server: "nearest checkpoint",
    idle: "learned",
};

/// Runs every policy set on the same workload.
pub fn run(deployment: &Deployment, seed: u64, length: Duration) -> ColdStartReport {
    let workload = Workload::draw(deployment, seed, length);
    let sets = policy_sets().into_iter();
    ColdStartReport {
        deployment: deployment.name.to_owned(),
        seed,
        hours: length.as_secs_f64() / 3_600.0,
        rows: sets
            .map(|set| (set, run_policy_set(set, deployment, &workload)))
            .collect(),
    }
}

/// The baseline, followed by its variations.
fn policy_sets() -> Vec<PolicySet> {
    let mut sets = vec![BASELINE];
    for order in ["first come", "fair deadline"] {
        sets.push(PolicySet { order, ..BASELINE });
    }
    for concurrency in [2, 8] {
        sets.push(PolicySet {
            concurrency,
            ..BASELINE
        });
    }
    sets.push(PolicySet {
        server: "most free",
        ..BASELINE
    });
    for idle in ["fixed", "adaptive"] {
        sets.push(PolicySet { idle, ..BASELINE });
    }
    sets
}

fn run_policy_set(set: PolicySet, deployment: &Deployment, workload: &Workload) -> ColdStartResult {
    match set.order {
        "first come" => run_with_order(FirstCome, set, deployment, workload),
        "deadline" => run_with_order(EarliestDeadline, set, deployment, workload),
        _ => run_with_order(FairDeadline, set, deployment, workload),
    }
}

fn run_with_order<O>(
    order: O,
    set: PolicySet,
    deployment: &Deployment,
    workload: &Workload,
) -> ColdStartResult
where
    O: LoadOrder,
{
    match set.idle {
        "fixed" => run_with_policies(order, FixedKeep(MAX_KEEP), set, deployment, workload),
        "adaptive" => {
            let idle = AdaptiveKeep::new(MIN_KEEP, MAX_KEEP);
            run_with_policies(order, idle, set, deployment, workload)
        }
        _ => {
            let idle = LearnedKeep::new(COLD_START_COST, MAX_KEEP);
            run_with_policies(order, idle, set, deployment, workload)
        }
    }
}

fn run_with_policies<O, I>(
    order: O,
    idle: I,
    set: PolicySet,
    deployment: &Deployment,
    workload: &Workload,
) -> ColdStartResult
where
    O: LoadOrder,
    I: IdlePolicy,
{
    let choice = match set.server {
        "most free" => ServerChoice::MostFreeMemory,
        _ => ServerChoice::NearestCheckpoint,
    };
    let policies = PlacementPolicies {
        order,
        idle,
        choice,
    };
    Simulation::new(deployment, workload, policies, set.concurrency).run()
}
