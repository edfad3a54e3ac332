//! Results of the cold-start experiment.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::Serialize;

use super::PolicySet;
use crate::report::{Percentiles, percentiles};

/// Result of one policy set.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ColdStartResult {
    /// Waiting times of cold starts, in ms. A cold start is the first request that waits for an
    /// artifact that is not ready.
    pub cold: Percentiles,
    /// Waiting times of the same cold starts, in ms, if the store ran their loads at full speed in
    /// the order of arrival and nothing else took time.
    pub bare: Percentiles,
    /// 95th percentile of the waiting times of cold starts, by workspace, in ms.
    pub p95_by_workspace: BTreeMap<String, f64>,
    /// Requests that waited for their artifact until after their deadline.
    pub late: usize,
    /// All requests of the run.
    pub requests: usize,
    /// Idle time of ready replicas, weighted by the fraction of the server's memory that they use,
    /// in hours.
    pub idle_accelerator_hours: f64,
}

/// A first request that waited for an artifact that was not ready.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    pub(super) at: Duration,
    pub(super) workspace: usize,
    pub(super) waited: Duration,
    /// Time of its loads at full speed.
    pub(super) uncontended: Duration,
    /// Whether it included a model's load from the store.
    pub(super) from_store: bool,
}

impl ColdStartResult {
    pub(super) fn new(
        cold_starts: &[ColdStart],
        workspaces: &[(&str, f64)],
        full_speed: usize,
        totals: RunTotals,
    ) -> Self {
        let mut p95_by_workspace = BTreeMap::new();
        for (index, (name, _)) in workspaces.iter().enumerate() {
            let own = cold_starts.iter().filter(|c| c.workspace == index);
            let waited: Vec<u64> = own.map(|c| micros(c.waited)).collect();
            p95_by_workspace.insert((*name).to_owned(), percentiles(&waited).p95);
        }
        let waited: Vec<u64> = cold_starts.iter().map(|c| micros(c.waited)).collect();
        Self {
            cold: percentiles(&waited),
            bare: percentiles(&ideal_waits(cold_starts, full_speed)),
            p95_by_workspace,
            late: totals.late,
            requests: totals.requests,
            idle_accelerator_hours: totals.idle.as_secs_f64() / 3_600.0,
        }
    }
}

/// Totals of a run, besides its cold starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunTotals {
    /// Requests that waited for their artifact until after their deadline.
    pub(super) late: usize,
    pub(super) requests: usize,
    /// Idle time of accelerators.
    pub(super) idle: Duration,
}

/// Waiting times, in µs, if each load began as soon as fewer than `full_speed` loads ran, without
/// the time for decisions, orders and reports.
fn ideal_waits(cold_starts: &[ColdStart], full_speed: usize) -> Vec<u64> {
    let mut sorted = cold_starts.to_vec();
    sorted.sort_by_key(|c| c.at);
    let mut free_at = vec![Duration::ZERO; full_speed];
    let mut waits = Vec::new();
    for start in sorted {
        if !start.from_store {
            waits.push(micros(start.uncontended));
            continue;
        }
        free_at.sort();
        let begin = free_at[0].max(start.at);
        free_at[0] = begin + start.uncontended;
        waits.push(micros(free_at[0].saturating_sub(start.at)));
    }
    waits
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Results of all policy sets; its display is a Markdown table.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ColdStartReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the workload.
    pub seed: u64,
    /// Length of the run on the virtual clock, in hours.
    pub hours: f64,
    /// Results by policy set; the first row is the baseline.
    pub rows: Vec<(PolicySet, ColdStartResult)>,
}

impl fmt::Display for ColdStartReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            deployment,
            seed,
            hours,
            ..
        } = self;
        writeln!(f, "{deployment}, {hours} h, seed {seed}")?;
        writeln!(
            f,
            "| order | at once | server | idle | cold starts | p50 ms | p95 ms | p99 ms | bare p95 \
             ms | p95 / bare | worst workspace p95 ms | late | idle h |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")?;
        for (set, result) in &self.rows {
            let worst = result.p95_by_workspace.values().copied();
            writeln!(
                f,
                "| {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {} | \
                 {:.2} |",
                set.order,
                set.concurrency,
                set.server,
                set.idle,
                result.cold.count,
                result.cold.p50,
                result.cold.p95,
                result.cold.p99,
                result.bare.p95,
                result.cold.p95 / result.bare.p95,
                worst.fold(0.0, f64::max),
                result.late,
                result.idle_accelerator_hours,
            )?;
        }
        Ok(())
    }
}
