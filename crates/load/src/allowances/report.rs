//! Results of the allowance experiment.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::{
    FAULT_AT, TRIAL_LENGTH,
    simulation::{Trial, WorkspaceTally},
    workload::{self, GREEDY_WORKSPACE, WORKSPACES},
};

/// Result of one trial, counted from the time of the fault.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TrialRow {
    load: f64,
    fault: &'static str,
    way: &'static str,
    /// Requests inside the rate from the compliant workspaces, which send less than their rate.
    inside: u64,
    /// Percentage of those requests that was refused.
    refused_percent: f64,
    /// Percentage of the tokens of those requests that was refused.
    refused_tokens_percent: f64,
    /// Highest percentage of refused tokens of any compliant workspace.
    worst_percent: f64,
    /// Tokens used by the greedy workspace, which sends several times its rate, as a percentage
    /// of what its rate allows.
    greedy_percent: f64,
    /// Highest number of tokens that a workspace used over rate and burst in any interval of the
    /// whole trial.
    excess: u64,
}

/// Results of all trials; its display is a Markdown table.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct AllowanceReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// One row for each trial.
    pub rows: Vec<TrialRow>,
}

impl TrialRow {
    pub(super) fn new(load: f64, trial: Trial, tallies: &[WorkspaceTally; WORKSPACES]) -> Self {
        let compliant = &tallies[..GREEDY_WORKSPACE];
        let inside: u64 = compliant.iter().map(|tally| tally.inside).sum();
        let refused = compliant.iter().map(|tally| tally.refused).sum();
        let inside_tokens = compliant.iter().map(|tally| tally.inside_tokens).sum();
        let refused_tokens = compliant.iter().map(|tally| tally.refused_tokens).sum();
        let worst = compliant
            .iter()
            .map(|tally| percent(tally.refused_tokens, tally.inside_tokens));
        let allowed = workload::rate_limit(GREEDY_WORKSPACE).rate
            * TRIAL_LENGTH.saturating_sub(FAULT_AT).as_secs();
        Self {
            load,
            fault: trial.fault.name(),
            way: trial.strategy.name,
            inside,
            refused_percent: percent(refused, inside),
            refused_tokens_percent: percent(refused_tokens, inside_tokens),
            worst_percent: worst.fold(0.0, f64::max),
            greedy_percent: percent(tallies[GREEDY_WORKSPACE].used, allowed),
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

impl Display for AllowanceReport {
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
