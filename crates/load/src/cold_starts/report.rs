//! Figures of the experiment.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::Serialize;

use super::Way;
use crate::report::{Percentiles, percentiles};

/// Figures of one way.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Figures {
    /// First requests that found their artifact not ready, by waiting time in ms.
    pub cold: Percentiles,
    /// The same, with the time that an ideal store of full speed would have needed for the same
    /// loads in the order in which they were wanted.
    pub bare: Percentiles,
    /// 95th percentile by workspace, in ms.
    pub p95_by_workspace: BTreeMap<String, f64>,
    /// Waiting requests whose deadline passed.
    pub late: usize,
    /// Requests in all.
    pub requests: usize,
    /// Idle time of ready replicas, weighted by their share of the server, in hours.
    pub idle_accelerator_hours: f64,
}

/// A cold start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    pub(super) at: Duration,
    pub(super) workspace: usize,
    pub(super) waited: Duration,
    pub(super) alone: Duration,
    pub(super) from_store: bool,
}

impl Figures {
    pub(super) fn new(
        cold: &[ColdStart],
        workspaces: &[(&str, f64)],
        full_speed: usize,
        counts: Counts,
    ) -> Self {
        let mut p95_by_workspace = BTreeMap::new();
        for (index, (name, _)) in workspaces.iter().enumerate() {
            let own = cold.iter().filter(|c| c.workspace == index);
            let waited: Vec<u64> = own.map(|c| micros(c.waited)).collect();
            p95_by_workspace.insert((*name).to_owned(), percentiles(&waited).p95);
        }
        let waited: Vec<u64> = cold.iter().map(|c| micros(c.waited)).collect();
        Self {
            cold: percentiles(&waited),
            bare: percentiles(&bare(cold, full_speed)),
            p95_by_workspace,
            late: counts.late,
            requests: counts.requests,
            idle_accelerator_hours: counts.idle.as_secs_f64() / 3_600.0,
        }
    }
}

/// What is counted beside the cold starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) late: usize,
    pub(super) requests: usize,
    pub(super) idle: Duration,
}

/// Waiting times if each load began as soon as the store had a free place, without any cost of
/// deciding, ordering and reporting.
fn bare(cold: &[ColdStart], full_speed: usize) -> Vec<u64> {
    let mut sorted = cold.to_vec();
    sorted.sort_by_key(|c| c.at);
    let mut free_at = vec![Duration::ZERO; full_speed];
    let mut waits = Vec::new();
    for start in sorted {
        if !start.from_store {
            waits.push(micros(start.alone));
            continue;
        }
        free_at.sort();
        let begin = free_at[0].max(start.at);
        free_at[0] = begin + start.alone;
        waits.push(micros(free_at[0].saturating_sub(start.at)));
    }
    waits
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Figures of all ways.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    /// Deployment.
    pub deployment: String,
    /// Seed.
    pub seed: u64,
    /// Length of the run on the virtual clock, in hours.
    pub hours: f64,
    /// Figures by way; the first is the one that is kept.
    pub rows: Vec<(Way, Figures)>,
}

impl fmt::Display for Table {
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
        for (way, figures) in &self.rows {
            let worst = figures.p95_by_workspace.values().copied();
            writeln!(
                f,
                "| {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {} | \
                 {:.2} |",
                way.order,
                way.concurrency,
                way.server,
                way.idle,
                figures.cold.count,
                figures.cold.p50,
                figures.cold.p95,
                figures.cold.p99,
                figures.bare.p95,
                figures.cold.p95 / figures.bare.p95,
                worst.fold(0.0, f64::max),
                figures.late,
                figures.idle_accelerator_hours,
            )?;
        }
        Ok(())
    }
}
