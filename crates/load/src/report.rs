//! What a run has shown.

use std::{collections::BTreeMap, fmt, time::Duration};

use comfreyweir_external::engine::CheckpointTier;
use comfreyweir_standins::engine::{Change, Record};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    arrivals::Arrival,
    deployment::{ENGINE_MB, MODEL_MB},
};

const MICROS_PER_SECOND: f64 = 1e6;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const LONGEST_US: u64 = 600_000_000;

/// How a request went.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// When it was sent, in µs since the Unix epoch.
    pub sent_us: u64,
    /// Status; zero when there was no answer.
    pub status: u16,
    /// Stable code of a refusal.
    pub code: String,
    /// Whether the answer was whole.
    pub whole: bool,
    /// Time to the first token, in µs.
    pub first_us: Option<u64>,
    /// Longest time between two tokens, in µs.
    pub longest_gap_us: u64,
}

/// Percentiles of a time, in ms.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are below.
    pub p50: f64,
    /// 95 of 100 are below.
    pub p95: f64,
    /// 99 of 100 are below.
    pub p99: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Seed.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub offered: usize,
    /// Requests answered whole.
    pub answered: usize,
    /// Requests without a whole answer or a refusal.
    pub broken: usize,
    /// Refusals by code.
    pub refused: BTreeMap<String, usize>,
    /// Refused requests that were inside their workspace's rate.
    pub refused_inside_rate: usize,
    /// Their part of all requests inside the rate.
    pub refused_inside_rate_part: f64,
    /// Time to the first token of requests that met no ready replica, by place of the checkpoint.
    pub cold: BTreeMap<String, Percentiles>,
    /// Time to the first token of the others.
    pub warm: Percentiles,
    /// Longest time between two tokens of a request.
    pub longest_gap: Percentiles,
    /// Loads of models and adapters.
    pub loads: usize,
    /// Hours in which models were ready and not used, in accelerators.
    pub idle_accelerator_hours: f64,
    /// Workspace that received the least of its due, with the part it received.
    pub worst_workspace: (String, f64),
    /// Part of its due that each workspace received.
    pub due: BTreeMap<String, f64>,
    /// What else each workspace saw.
    #[serde(default)]
    pub seen: BTreeMap<String, Seen>,
    /// Invariants that engines saw broken, by kind.
    pub breaks: BTreeMap<String, usize>,
}

/// What a workspace saw.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Seen {
    /// Requests inside the rate, by an ideal bucket that knows all arrivals.
    pub inside: usize,
    /// Those of them that were not answered whole. The ideal bucket may have chosen other requests
    /// of a workspace that is over its rate, so compare with its due.
    pub inside_refused: usize,
    /// All requests that were not answered whole.
    pub refused: usize,
    /// Time to the first token.
    pub first_token: Percentiles,
}

/// Rate and burst of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// Judges a run by its outcomes and the engines' records.
pub fn judge(
    outcomes: &[Outcome],
    records: &[Record],
    allowances: &BTreeMap<String, Allowance>,
    length: Duration,
) -> Report {
    let mut report = Report {
        seconds: length.as_secs_f64(),
        offered: outcomes.len(),
        ..Report::default()
    };
    report.count(outcomes);
    report.time(outcomes, records);
    report.judge_workspaces(outcomes, allowances, length);
    report.loads = loads(records);
    report.idle_accelerator_hours = idle_accelerator_hours(records);
    for broken in records.iter().flat_map(|record| &record.breaks) {
        let kind = format!("{:?}", broken.kind);
        *report.breaks.entry(kind).or_default() += 1;
    }
    report
}

impl Report {
    fn count(&mut self, outcomes: &[Outcome]) {
        for outcome in outcomes {
            if outcome.whole {
                self.answered += 1;
            } else if outcome.code.is_empty() {
                self.broken += 1;
            } else {
                *self.refused.entry(outcome.code.clone()).or_default() += 1;
            }
        }
    }

    fn time(&mut self, outcomes: &[Outcome], records: &[Record]) {
        let ready = Ready::of(records);
        let mut cold: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        let mut warm = Vec::new();
        for outcome in outcomes {
            let Some(first_us) = outcome.first_us else {
                continue;
            };
            match ready.cold_source(&outcome.arrival.model, outcome.sent_us) {
                Some(source) => cold.entry(source).or_default().push(first_us),
                None => warm.push(first_us),
            }
        }
        let all = cold.values().flatten().copied().collect::<Vec<_>>();
        self.cold = cold
            .into_iter()
            .map(|(source, times)| (source, percentiles(&times)))
            .collect();
        self.cold.insert("all".to_owned(), percentiles(&all));
        self.warm = percentiles(&warm);
        let whole = outcomes.iter().filter(|outcome| outcome.whole);
        let gaps: Vec<u64> = whole.map(|outcome| outcome.longest_gap_us).collect();
        self.longest_gap = percentiles(&gaps);
    }

    /// Compares what each workspace received with what an ideal bucket of its allowance admits.
    #[allow(clippy::cast_precision_loss)]
    fn judge_workspaces(
        &mut self,
        outcomes: &[Outcome],
        allowances: &BTreeMap<String, Allowance>,
        length: Duration,
    ) {
        let mut inside = 0;
        for (workspace, allowance) in allowances {
            let of_workspace = outcomes
                .iter()
                .filter(|o| o.arrival.workspace == *workspace);
            let mut bucket = Bucket::full(*allowance);
            let (mut offered, mut received) = (0, 0);
            let mut seen = Seen::default();
            let mut first = Vec::new();
            for outcome in of_workspace {
                let cost = outcome.arrival.cost();
                offered += cost;
                first.extend(outcome.first_us);
                let is_refused = !outcome.whole;
                if outcome.whole {
                    received += cost;
                }
                seen.refused += usize::from(is_refused);
                if bucket.admits(outcome.arrival.at_us, cost) {
                    seen.inside += 1;
                    seen.inside_refused += usize::from(is_refused);
                }
            }
            inside += seen.inside;
            self.refused_inside_rate += seen.inside_refused;
            seen.first_token = percentiles(&first);
            self.seen.insert(workspace.clone(), seen);
            let allowed = allowance.rate as f64 * length.as_secs_f64() + allowance.burst as f64;
            let due = (offered as f64).min(allowed);
            let part = if due > 0.0 {
                received as f64 / due
            } else {
                1.0
            };
            self.due.insert(workspace.clone(), part);
        }
        self.refused_inside_rate_part = self.refused_inside_rate as f64 / inside.max(1) as f64;
        let worst = self.due.iter().min_by(|a, b| a.1.total_cmp(b.1));
        self.worst_workspace =
            worst.map_or_else(Default::default, |(name, part)| (name.clone(), *part));
    }
}

/// A bucket of an allowance that knows all arrivals of the fleet.
struct Bucket {
    allowance: Allowance,
    level: f64,
    at_us: u64,
}

impl Bucket {
    #[allow(clippy::cast_precision_loss)]
    fn full(allowance: Allowance) -> Self {
        Self {
            allowance,
            level: allowance.burst as f64,
            at_us: 0,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn admits(&mut self, at_us: u64, cost: u64) -> bool {
        let passed = at_us.saturating_sub(self.at_us) as f64 / MICROS_PER_SECOND;
        let filled = self.level + self.allowance.rate as f64 * passed;
        self.level = filled.min(self.allowance.burst as f64);
        self.at_us = at_us;
        let admitted = self.level >= cost as f64;
        if admitted {
            self.level -= cost as f64;
        }
        admitted
    }
}

/// When each artifact was ready on any engine, with the places of the checkpoints.
struct Ready {
    periods: BTreeMap<String, Vec<Period>>,
}

#[derive(Clone, Debug)]
struct Period {
    ready_us: u64,
    gone_us: u64,
    source: CheckpointTier,
}

impl Ready {
    fn of(records: &[Record]) -> Self {
        let mut periods: BTreeMap<String, Vec<Period>> = BTreeMap::new();
        for record in records {
            for (served, period) in periods_of(record) {
                periods.entry(served).or_default().push(period);
            }
        }
        Self { periods }
    }

    /// Where the checkpoint of the replica was that a request at this time waited for; `None`
    /// when a replica was ready.
    fn cold_source(&self, model: &str, at_us: u64) -> Option<String> {
        let periods = self.periods.get(&format!("{model}@1"))?;
        let is_warm = |p: &Period| p.ready_us <= at_us && at_us < p.gone_us;
        if periods.iter().any(is_warm) {
            return None;
        }
        let later = periods.iter().filter(|period| period.ready_us > at_us);
        let first = later.min_by_key(|period| period.ready_us)?;
        let source = if model.starts_with("adapter") {
            "adapter".to_owned()
        } else {
            format!("{:?}", first.source).to_lowercase()
        };
        Some(source)
    }
}

/// Ready periods of a record, in the order of their ends.
fn periods_of(record: &Record) -> Vec<(String, Period)> {
    let mut sources: BTreeMap<&str, CheckpointTier> = BTreeMap::new();
    let mut open: BTreeMap<&str, Period> = BTreeMap::new();
    let mut ended = Vec::new();
    for change in &record.changes {
        let served = change.artifact.as_str();
        match change.change {
            Change::LoadOrdered => {
                sources.insert(served, change.checkpoint);
            }
            Change::Ready => {
                let source = sources.get(served).copied();
                let period = Period {
                    ready_us: change.at_us,
                    gone_us: u64::MAX,
                    source: source.unwrap_or(CheckpointTier::Remote),
                };
                open.insert(served, period);
            }
            Change::UnloadOrdered | Change::Gone | Change::Crashed | Change::LoadFailed => {
                if let Some(mut period) = open.remove(served) {
                    period.gone_us = change.at_us;
                    ended.push((served.to_owned(), period));
                }
            }
        }
    }
    ended.extend(
        open.into_iter()
            .map(|(served, period)| (served.to_owned(), period)),
    );
    ended
}

fn loads(records: &[Record]) -> usize {
    let changes = records.iter().flat_map(|record| &record.changes);
    changes.filter(|c| c.change == Change::LoadOrdered).count()
}

/// Time in which models were ready and ran nothing, weighted with their part of an engine's
/// memory. Adapters take next to no memory and are left out.
#[allow(clippy::cast_precision_loss)]
fn idle_accelerator_hours(records: &[Record]) -> f64 {
    let end_us = records.iter().map(last_us).max().unwrap_or(0);
    let mut idle_us = 0;
    for record in records {
        for (served, period) in periods_of(record) {
            if served.starts_with("adapter") {
                continue;
            }
            let end = period.gone_us.min(end_us);
            let ready = end.saturating_sub(period.ready_us);
            idle_us += ready - busy_us(record, &served, period.ready_us, end).min(ready);
        }
    }
    let part = MODEL_MB as f64 / ENGINE_MB as f64;
    idle_us as f64 / MICROS_PER_SECOND / SECONDS_PER_HOUR * part
}

fn last_us(record: &Record) -> u64 {
    let ended = record.requests.iter().map(|request| request.ended_us);
    let changed = record.changes.iter().map(|change| change.at_us);
    ended.chain(changed).max().unwrap_or(0)
}

/// Time in which at least one request for the artifact, or for an adapter of any model, ran.
fn busy_us(record: &Record, served: &str, from: u64, to: u64) -> u64 {
    let of_model = record.requests.iter().filter(|r| r.model == served);
    let mut runs: Vec<(u64, u64)> = of_model
        .map(|r| (r.at_us.max(from), r.ended_us.min(to)))
        .filter(|(start, end)| start < end)
        .collect();
    runs.sort_unstable();
    let (mut busy, mut until) = (0, from);
    for (start, end) in runs {
        busy += end.saturating_sub(start.max(until));
        until = until.max(end);
    }
    busy
}

/// Percentiles of times in µs.
#[allow(clippy::cast_precision_loss)]
pub fn percentiles(times_us: &[u64]) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3) else {
        return Percentiles::default();
    };
    for time in times_us {
        histogram.saturating_record((*time).max(1));
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>7} {:>10.1} {:>10.1} {:>10.1}",
            self.count, self.p50, self.p95, self.p99
        )
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            inside,
            inside_refused,
            refused,
            first_token,
        } = self;
        write!(
            f,
            ", {inside} inside its rate, {inside_refused} of them refused, {refused} in all"
        )?;
        write!(f, "; first token {first_token}")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {:.0} s: {} offered, {} answered whole, {} broken",
            self.deployment, self.seed, self.seconds, self.offered, self.answered, self.broken
        )?;
        writeln!(
            f,
            "\n{:<24} {:>7} {:>10} {:>10} {:>10}",
            "time, ms", "count", "p50", "p95", "p99"
        )?;
        for (source, times) in &self.cold {
            writeln!(f, "{:<24} {times}", format!("first token, cold {source}"))?;
        }
        writeln!(f, "{:<24} {}", "first token, warm", self.warm)?;
        writeln!(f, "{:<24} {}", "longest gap", self.longest_gap)?;
        writeln!(f, "\nloads                    {}", self.loads)?;
        writeln!(
            f,
            "idle accelerator hours   {:.4}",
            self.idle_accelerator_hours
        )?;
        let (worst, part) = &self.worst_workspace;
        writeln!(
            f,
            "worst-served workspace   {worst}: {:.1}% of its due",
            part * 100.0
        )?;
        for (workspace, part) in &self.due {
            write!(f, "  {workspace:<22} {:.1}%", part * 100.0)?;
            match self.seen.get(workspace) {
                Some(seen) => writeln!(f, "{seen}")?,
                None => writeln!(f)?,
            }
        }
        writeln!(
            f,
            "refused inside rate      {} ({:.2}%)",
            self.refused_inside_rate,
            self.refused_inside_rate_part * 100.0
        )?;
        for (code, number) in &self.refused {
            writeln!(f, "  refused, {code:<22} {number}")?;
        }
        for (kind, number) in &self.breaks {
            writeln!(f, "  broken invariant, {kind:<13} {number}")?;
        }
        Ok(())
    }
}
