//! Experiment on allowances: ways to divide the rate and burst of a workspace between gates, on
//! a virtual clock with the real ledgers.
//!
//! Every way gets the same seeded arrivals. A request counts as inside the rate when one bucket
//! that knew in advance what the request would use had the tokens for it; a way is judged by the
//! part of those requests that it refuses.

mod fleet;
mod report;
mod simulation;
mod workload;

use std::time::Duration;

pub use self::report::Outcome;
use self::{fleet::Way, report::Row, simulation::Trial};

/// Gates of the fleet.
const GATES: usize = 8;
/// Simulated length of a trial.
const LENGTH: Duration = Duration::from_mins(5);
/// When the fault begins.
const FAULT_AT: Duration = Duration::from_mins(1);

/// What goes wrong during a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// One gate is gone; its share has not lapsed yet.
    GateLost,
    /// The key-value service is down, so that shares cannot move.
    ServiceDown,
    /// One gate reaches no other.
    GateCutOff,
}

impl Fault {
    const ALL: [Self; 4] = [
        Self::None,
        Self::GateLost,
        Self::ServiceDown,
        Self::GateCutOff,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::None => "no fault",
            Self::GateLost => "one gate lost",
            Self::ServiceDown => "service down",
            Self::GateCutOff => "one gate cut off",
        }
    }
}

/// Runs all ways under all faults.
pub fn experiment(seed: u64) -> Outcome {
    let mut rows = Vec::new();
    for load in [0.6, 0.8] {
        let arrivals = workload::draw(seed, load, LENGTH);
        for fault in Fault::ALL {
            for way in Way::ALL {
                let trial = Trial { way, fault };
                let tally = simulation::run(trial, &arrivals);
                rows.push(Row::new(load, trial, &tally));
            }
        }
    }
    Outcome { seed, rows }
}
