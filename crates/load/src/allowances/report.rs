//! Figures of the experiment.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::{
    FAULT_AT, LENGTH,
    simulation::{Tally, Trial},
    workload::{self, GREEDY, WORKSPACES},
};

/// Figures of one trial.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    load: f64,
    fault: &'static str,
    way: &'static str,
    /// Requests inside the rate, of the workspaces that send less than their rate.
    inside: u64,
    /// Part of them that was refused, in percent.
    refused_percent: f64,
    /// Part of their tokens that was refused, in percent.
    refused_tokens_percent: f64,
    /// The same part for the workspace with the largest, in percent.
    worst_percent: f64,
    /// What the workspace that sends several times its rate used of its rate, in percent.
    greedy_percent: f64,
    /// Tokens over rate and burst in the worst interval of any workspace.
    excess: u64,
}

/// Figures of all trials.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Outcome {
    /// Seed of the arrivals.
    pub seed: u64,
    /// One row a trial.
    pub rows: Vec<Row>,
}

impl Row {
    pub(super) fn new(load: f64, trial: Trial, tallies: &[Tally; WORKSPACES]) -> Self {
        let modest = &tallies[..GREEDY];
        let inside: u64 = modest.iter().map(|tally| tally.inside).sum();
        let refused = modest.iter().map(|tally| tally.refused).sum();
        let inside_tokens = modest.iter().map(|tally| tally.inside_tokens).sum();
        let refused_tokens = modest.iter().map(|tally| tally.refused_tokens).sum();
        let worst = modest
            .iter()
            .map(|tally| percent(tally.refused_tokens, tally.inside_tokens));
        let due = workload::terms(GREEDY).rate * LENGTH.saturating_sub(FAULT_AT).as_secs();
        Self {
            load,
            fault: trial.fault.name(),
            way: trial.way.name,
            inside,
            refused_percent: percent(refused, inside),
            refused_tokens_percent: percent(refused_tokens, inside_tokens),
            worst_percent: worst.fold(0.0, f64::max),
            greedy_percent: percent(tallies[GREEDY].used, due),
            excess: tallies.iter().map(|tally| tally.excess).max().unwrap_or(0),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "| load | fault | way | inside | refused % | tokens refused % | worst workspace % \
             | greedy used % | over the bound |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|")?;
        for row in &self.rows {
            writeln!(
                f,
                "| {:.1} | {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.1} | {} |",
                row.load,
                row.fault,
                row.way,
                row.inside,
                row.refused_percent,
                row.refused_tokens_percent,
                row.worst_percent,
                row.greedy_percent,
                row.excess,
            )?;
        }
        Ok(())
    }
}
