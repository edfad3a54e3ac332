//! Allowance experiment: simulates strategies for dividing the rate and burst of a workspace
//! between gates. The ledgers are the real ones; the clock is virtual.
//!
//! Every strategy gets the same seeded arrivals. A request is inside the rate if a single token
//! bucket, charged with exactly what the request will use, holds enough tokens for it. The result
//! of a strategy is the fraction of those requests that it refuses.

mod fleet;
mod report;
mod simulation;
mod workload;

use std::time::Duration;

pub use self::report::AllowanceReport;
use self::{fleet::Strategy, report::TrialRow, simulation::Trial};

/// Number of gates.
const GATES: usize = 8;
/// Length of a trial on the virtual clock.
const TRIAL_LENGTH: Duration = Duration::from_mins(5);
/// Time at which the fault begins; only later requests are counted.
const FAULT_AT: Duration = Duration::from_mins(1);

/// Fault that is injected into a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// One gate has failed, and its share has not expired yet.
    GateLost,
    /// The key-value service is down, so shares cannot be rebalanced.
    ServiceDown,
    /// One gate serves requests but cannot reach the other gates.
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

/// Runs every strategy under every fault, at two load levels.
pub fn experiment(seed: u64) -> AllowanceReport {
    let mut rows = Vec::new();
    for load in [0.6, 0.8] {
        let arrivals = workload::draw(seed, load, TRIAL_LENGTH);
        for fault in Fault::ALL {
            for strategy in Strategy::ALL {
                let trial = Trial { strategy, fault };
                let tallies = simulation::run(trial, &arrivals);
                rows.push(TrialRow::new(load, trial, &tallies));
            }
        }
    }
    AllowanceReport { seed, rows }
}
