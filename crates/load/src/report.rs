//! Report of a run: latency, cold starts, refusals and what each workspace received.

use std::{collections::BTreeMap, fmt, time::Duration};

use comfreyweir_external::engine::CheckpointTier;
use comfreyweir_standins::engine::{EngineRecord, ReplicaChangeKind};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    arrivals::Arrival,
    deployment::{ENGINE_MB, MODEL_MB},
};

const MICROS_PER_SECOND: f64 = 1e6;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const MAX_TIME_US: u64 = 600_000_000;

/// Outcome of one request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// When it was sent, in µs since the Unix epoch.
    pub sent_us: u64,
    /// HTTP status; zero if there was no answer.
    pub status: u16,
    /// Error code of a refusal; empty if there was none.
    pub code: String,
    /// Whether the answer was complete.
    pub whole: bool,
    /// Time to the first token, in µs; `None` if no token arrived.
    pub first_us: Option<u64>,
    /// Longest time between two tokens, in µs.
    pub longest_gap_us: u64,
}

/// Percentiles of measured times, in ms.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the arrivals and of the cluster.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub offered: usize,
    /// Requests answered completely.
    pub answered: usize,
    /// Requests that got neither a complete answer nor a refusal.
    pub broken: usize,
    /// Refusals by code.
    pub refused: BTreeMap<String, usize>,
    /// Refused requests that were inside their workspace's rate.
    pub refused_inside_rate: usize,
    /// Fraction of the requests inside the rate that were refused.
    pub refused_inside_rate_part: f64,
    /// Time to the first token of requests sent while no replica was ready, by the tier that the
    /// checkpoint was loaded from (`adapter` for adapters); `all` combines them.
    pub cold: BTreeMap<String, Percentiles>,
    /// Time to the first token of all other requests.
    pub warm: Percentiles,
    /// Longest gap between two tokens of each complete answer.
    pub longest_gap: Percentiles,
    /// Loads of models and adapters.
    pub loads: usize,
    /// Time during which models were loaded and idle, in accelerator hours.
    pub idle_accelerator_hours: f64,
    /// The workspace with the smallest value in `due`, with that value.
    pub worst_workspace: (String, f64),
    /// Fraction of its due that each workspace received. The due is the tokens it asked for, but at
    /// most what its allowance permits over the run.
    pub due: BTreeMap<String, f64>,
    /// Further results by workspace.
    #[serde(default)]
    pub seen: BTreeMap<String, WorkspaceResult>,
    /// Invariant violations recorded by engines, by kind.
    pub breaks: BTreeMap<String, usize>,
}

/// Results of one workspace.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceResult {
    /// Requests inside the rate, according to an ideal token bucket that sees all arrivals.
    pub inside: usize,
    /// Those of them that were not answered completely. For a workspace over its rate, the ideal
    /// bucket may admit other requests than the gates did, so read this together with `due`.
    pub inside_refused: usize,
    /// All requests that were not answered completely.
    pub refused: usize,
    /// Time to the first token.
    pub first_token: Percentiles,
}

/// Rate and burst of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
}

/// Builds the report of a run from its outcomes and the engines' records.
///
/// The caller fills in `deployment` and `seed`.
pub fn build_report(
    outcomes: &[Outcome],
    records: &[EngineRecord],
    allowances: &BTreeMap<String, Allowance>,
    length: Duration,
) -> Report {
    let mut report = Report {
        seconds: length.as_secs_f64(),
        offered: outcomes.len(),
        ..Report::default()
    };
    report.count_outcomes(outcomes);
    report.summarize_times(outcomes, records);
    report.evaluate_workspaces(outcomes, allowances, length);
    report.loads = count_loads(records);
    report.idle_accelerator_hours = idle_accelerator_hours(records);
    for broken in records.iter().flat_map(|record| &record.breaks) {
        let kind = format!("{:?}", broken.kind);
        *report.breaks.entry(kind).or_default() += 1;
    }
    report
}

impl Report {
    fn count_outcomes(&mut self, outcomes: &[Outcome]) {
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

    fn summarize_times(&mut self, outcomes: &[Outcome], records: &[EngineRecord]) {
        let ready = ReadyPeriods::of(records);
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

    /// Compares what each workspace received with what its allowance permits.
    #[allow(clippy::cast_precision_loss)]
    fn evaluate_workspaces(
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
            let mut bucket = IdealBucket::full(*allowance);
            let (mut offered, mut received) = (0, 0);
            let mut result = WorkspaceResult::default();
            let mut first_token_us = Vec::new();
            for outcome in of_workspace {
                let cost = outcome.arrival.cost();
                offered += cost;
                first_token_us.extend(outcome.first_us);
                let is_refused = !outcome.whole;
                if outcome.whole {
                    received += cost;
                }
                result.refused += usize::from(is_refused);
                if bucket.try_admit(outcome.arrival.at_us, cost) {
                    result.inside += 1;
                    result.inside_refused += usize::from(is_refused);
                }
            }
            inside += result.inside;
            self.refused_inside_rate += result.inside_refused;
            result.first_token = percentiles(&first_token_us);
            self.seen.insert(workspace.clone(), result);
            let allowed = allowance.rate as f64 * length.as_secs_f64() + allowance.burst as f64;
            let due = (offered as f64).min(allowed);
            let received_fraction = if due > 0.0 {
                received as f64 / due
            } else {
                1.0
            };
            self.due.insert(workspace.clone(), received_fraction);
        }
        self.refused_inside_rate_part = self.refused_inside_rate as f64 / inside.max(1) as f64;
        let worst = self.due.iter().min_by(|a, b| a.1.total_cmp(b.1));
        self.worst_workspace =
            worst.map_or_else(Default::default, |(name, part)| (name.clone(), *part));
    }
}

/// Token bucket of a workspace that sees all of its arrivals in the fleet, as no single gate does.
struct IdealBucket {
    allowance: Allowance,
    level: f64,
    at_us: u64,
}

impl IdealBucket {
    #[allow(clippy::cast_precision_loss)]
    fn full(allowance: Allowance) -> Self {
        Self {
            allowance,
            level: allowance.burst as f64,
            at_us: 0,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn try_admit(&mut self, at_us: u64, cost: u64) -> bool {
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

/// Periods during which each artifact was ready on any engine, with the tier it was loaded from.
struct ReadyPeriods {
    periods: BTreeMap<String, Vec<ReadyPeriod>>,
}

#[derive(Clone, Debug)]
struct ReadyPeriod {
    ready_us: u64,
    gone_us: u64,
    source: CheckpointTier,
}

impl ReadyPeriods {
    fn of(records: &[EngineRecord]) -> Self {
        let mut periods: BTreeMap<String, Vec<ReadyPeriod>> = BTreeMap::new();
        for record in records {
            for (served, period) in ready_periods(record) {
                periods.entry(served).or_default().push(period);
            }
        }
        Self { periods }
    }

    /// Tier from which the first replica to become ready after `at_us` was loaded, or `adapter`.
    /// Returns `None` if a replica was ready at that time, or none became ready later.
    fn cold_source(&self, model: &str, at_us: u64) -> Option<String> {
        let periods = self.periods.get(&format!("{model}@1"))?;
        let is_warm = |p: &ReadyPeriod| p.ready_us <= at_us && at_us < p.gone_us;
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

/// Ready periods of each artifact of one engine, ordered by their end.
fn ready_periods(record: &EngineRecord) -> Vec<(String, ReadyPeriod)> {
    let mut sources: BTreeMap<&str, CheckpointTier> = BTreeMap::new();
    let mut open: BTreeMap<&str, ReadyPeriod> = BTreeMap::new();
    let mut ended = Vec::new();
    for change in &record.changes {
        let served = change.artifact.as_str();
        match change.change {
            ReplicaChangeKind::LoadOrdered => {
                sources.insert(served, change.checkpoint);
            }
            ReplicaChangeKind::Ready => {
                let source = sources.get(served).copied();
                let period = ReadyPeriod {
                    ready_us: change.at_us,
                    gone_us: u64::MAX,
                    source: source.unwrap_or(CheckpointTier::Remote),
                };
                open.insert(served, period);
            }
            ReplicaChangeKind::UnloadOrdered
            | ReplicaChangeKind::Gone
            | ReplicaChangeKind::Crashed
            | ReplicaChangeKind::LoadFailed => {
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

fn count_loads(records: &[EngineRecord]) -> usize {
    let changes = records.iter().flat_map(|record| &record.changes);
    changes
        .filter(|c| c.change == ReplicaChangeKind::LoadOrdered)
        .count()
}

/// Time during which models were ready and ran no request, weighted by the fraction of engine
/// memory that a model takes. Adapters take almost no memory and are left out.
#[allow(clippy::cast_precision_loss)]
fn idle_accelerator_hours(records: &[EngineRecord]) -> f64 {
    let end_us = records.iter().map(last_event_us).max().unwrap_or(0);
    let mut idle_us = 0;
    for record in records {
        for (served, period) in ready_periods(record) {
            if served.starts_with("adapter") {
                continue;
            }
            let end = period.gone_us.min(end_us);
            let ready = end.saturating_sub(period.ready_us);
            idle_us += ready - busy_us(record, &served, period.ready_us, end).min(ready);
        }
    }
    let memory_fraction = MODEL_MB as f64 / ENGINE_MB as f64;
    idle_us as f64 / MICROS_PER_SECOND / SECONDS_PER_HOUR * memory_fraction
}

fn last_event_us(record: &EngineRecord) -> u64 {
    let ended = record.requests.iter().map(|request| request.ended_us);
    let changed = record.changes.iter().map(|change| change.at_us);
    ended.chain(changed).max().unwrap_or(0)
}

/// Time between `from` and `to` during which at least one request for the artifact itself ran.
/// Requests for adapters of a model do not count for the model.
fn busy_us(record: &EngineRecord, served: &str, from: u64, to: u64) -> u64 {
    let of_model = record.requests.iter().filter(|r| r.model == served);
    let mut runs: Vec<(u64, u64)> = of_model
        .map(|r| (r.at_us.max(from), r.ended_us.min(to)))
        .filter(|(start, end)| start < end)
        .collect();
    runs.sort_unstable();
    let (mut busy, mut counted_until) = (0, from);
    for (start, end) in runs {
        busy += end.saturating_sub(start.max(counted_until));
        counted_until = counted_until.max(end);
    }
    busy
}

/// Percentiles of times given in µs. Times above ten minutes count as ten minutes.
#[allow(clippy::cast_precision_loss)]
pub fn percentiles(times_us: &[u64]) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3) else {
        return Percentiles::default();
    };
    for time in times_us {
        histogram.saturating_record((*time).max(1));
    }
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50: quantile_ms(0.50),
        p95: quantile_ms(0.95),
        p99: quantile_ms(0.99),
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

impl fmt::Display for WorkspaceResult {
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
                Some(result) => writeln!(f, "{result}")?,
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
