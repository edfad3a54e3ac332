//! Experiment on cold starts: order of loads, concurrency at the store, choice of server, and the
//! time that idle models are kept, on a virtual clock.
//!
//! The decisions are those of the planner: the holder's state machine runs unchanged. Around it
//! stand an ideal record, engines with load times, and a store that slows down beyond its
//! full-speed number.

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

pub use self::report::{Figures, Table};
use self::{simulation::Cell, workload::Demand};
use crate::deployment::Deployment;

/// The fixed time, and the longest that any policy keeps an idle model.
const LONGEST_KEEP: Duration = Duration::from_mins(5);
/// The shortest time of the adaptive policy.
const SHORTEST_KEEP: Duration = Duration::from_secs(30);
/// Idle time that the learned policy spends to save one cold start.
const COLD_START_WORTH: Duration = Duration::from_mins(2);
/// Loads at once at full speed.
const FULL_SPEED: usize = 4;

/// Which way of each choice is run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Way {
    /// Order of loads.
    pub order: &'static str,
    /// Loads from the store at once.
    pub concurrency: usize,
    /// Choice of server.
    pub server: &'static str,
    /// Time that idle models are kept.
    pub idle: &'static str,
}

const KEPT: Way = Way {
    order: "deadline",
    concurrency: FULL_SPEED,
    server: "nearest checkpoint",
    idle: "learned",
};

/// Runs all ways on the same arrivals.
pub fn run(deployment: &Deployment, seed: u64, length: Duration) -> Table {
    let demand = Demand::draw(deployment, seed, length);
    let rows = ways().into_iter();
    Table {
        deployment: deployment.name.to_owned(),
        seed,
        hours: length.as_secs_f64() / 3_600.0,
        rows: rows
            .map(|way| (way, run_way(way, deployment, &demand)))
            .collect(),
    }
}

fn ways() -> Vec<Way> {
    let mut ways = vec![KEPT];
    for order in ["first come", "fair deadline"] {
        ways.push(Way { order, ..KEPT });
    }
    for concurrency in [2, 8] {
        ways.push(Way {
            concurrency,
            ..KEPT
        });
    }
    ways.push(Way {
        server: "most free",
        ..KEPT
    });
    for idle in ["fixed", "adaptive"] {
        ways.push(Way { idle, ..KEPT });
    }
    ways
}

fn run_way(way: Way, deployment: &Deployment, demand: &Demand) -> Figures {
    match way.order {
        "first come" => with_order(FirstCome, way, deployment, demand),
        "deadline" => with_order(EarliestDeadline, way, deployment, demand),
        _ => with_order(FairDeadline, way, deployment, demand),
    }
}

fn with_order<O>(order: O, way: Way, deployment: &Deployment, demand: &Demand) -> Figures
where
    O: LoadOrder,
{
    match way.idle {
        "fixed" => with_idle(order, FixedKeep(LONGEST_KEEP), way, deployment, demand),
        "adaptive" => {
            let idle = AdaptiveKeep::new(SHORTEST_KEEP, LONGEST_KEEP);
            with_idle(order, idle, way, deployment, demand)
        }
        _ => {
            let idle = LearnedKeep::new(COLD_START_WORTH, LONGEST_KEEP);
            with_idle(order, idle, way, deployment, demand)
        }
    }
}

fn with_idle<O, I>(order: O, idle: I, way: Way, deployment: &Deployment, demand: &Demand) -> Figures
where
    O: LoadOrder,
    I: IdlePolicy,
{
    let choice = match way.server {
        "most free" => ServerChoice::MostFreeMemory,
        _ => ServerChoice::NearestCheckpoint,
    };
    let policies = PlacementPolicies {
        order,
        idle,
        choice,
    };
    Cell::new(deployment, demand, policies, way.concurrency).run()
}
