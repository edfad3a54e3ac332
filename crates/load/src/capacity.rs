//! Extrapolates capacity estimates for a large fleet from measured slopes.
//!
//! Each size contributes its own slope, on top of a small base cluster: the `engines` series at its
//! smallest size. Sizes whose slope is negative add nothing.

use std::fmt;

use crate::{fit::Line, slopes::Slopes};

/// Size and load of the fleet to estimate for.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Entry instances.
    pub instances: f64,
    /// Engines.
    pub engines: f64,
    /// Models and adapters.
    pub artifacts: f64,
    /// Artifacts that are loaded, each with a reservation in the cell record.
    pub loaded_artifacts: f64,
    /// Requests per second of the whole fleet.
    pub requests_per_second: f64,
    /// Streamed tokens per second of the whole fleet.
    pub tokens_per_second: f64,
    /// Time between two tokens of a stream, in seconds.
    pub token_gap_seconds: f64,
    /// First requests for artifacts that no engine has loaded.
    pub cold_starts_per_second: f64,
    /// Published changes of the configuration.
    pub config_changes_per_second: f64,
}

const SECONDS_PER_HOUR: f64 = 3_600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The fleet that the system is designed for.
pub const PLANNED_FLEET: FleetSize = FleetSize {
    instances: 370.0,
    engines: 890.0,
    artifacts: 13_600.0,
    // One model on each accelerator.
    loaded_artifacts: 3_600.0,
    requests_per_second: 5_900.0,
    tokens_per_second: 1_300_000.0,
    token_gap_seconds: 0.027,
    // 36% of the artifacts start or stop being used each hour; half of these are cold starts.
    cold_starts_per_second: 13_600.0 * 0.36 / 2.0 / SECONDS_PER_HOUR,
    config_changes_per_second: 2_900.0 / SECONDS_PER_DAY,
};

/// Instances and engines of the base cluster.
const BASE_CLUSTER: (f64, f64) = (3.0, 4.0);
const CPU_LIMIT_PERCENT: f64 = 1.9;
const MEMORY_LIMIT_MB: f64 = 128.0;
const MESSAGE_BYTES_PER_SECOND_LIMIT: f64 = 19_000.0;
const KV_VALUE_LIMIT_BYTES: f64 = 1_000_000.0;
const KV_READS_PER_SECOND_LIMIT: f64 = 2_000.0;
const KV_WRITES_PER_SECOND_LIMIT: f64 = 300.0;

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Role of the process, or the service.
    pub role: &'static str,
    /// What is estimated, with its unit.
    pub quantity: &'static str,
    /// The sum that gives the estimate, as text.
    pub terms: String,
    /// The estimate.
    pub estimate: f64,
    /// The limit, where there is one.
    pub limit: Option<f64>,
}

/// Estimates for all roles, displayed as a Markdown table.
#[derive(Clone, Debug)]
pub struct CapacityTable {
    /// Grouped by role.
    pub rows: Vec<Estimate>,
}

/// A sum that records each of its terms as text.
#[derive(Default)]
struct SumWithTerms {
    total: f64,
    terms: Vec<String>,
}

impl SumWithTerms {
    fn add_scaled(&mut self, slope: f64, size: f64, unit: &str) {
        if slope * size > 0.0 {
            self.total += slope * size;
            self.terms.push(format!("{slope:.6} × {size:.2} {unit}"));
        }
    }

    fn add_constant(&mut self, value: f64, unit: &str) {
        self.total += value;
        self.terms.push(format!("{value:.3} {unit}"));
    }

    fn into_estimate(
        self,
        role: &'static str,
        quantity: &'static str,
        limit: Option<f64>,
    ) -> Estimate {
        Estimate {
            role,
            quantity,
            terms: self.terms.join(" + "),
            estimate: self.total,
            limit,
        }
    }
}

/// Estimates for a fleet, from slopes measured on small clusters.
pub struct Estimator<'a> {
    slopes: &'a Slopes,
    fleet: FleetSize,
}

impl<'a> Estimator<'a> {
    /// Series or values missing from `slopes` count as zero.
    pub fn new(slopes: &'a Slopes, fleet: FleetSize) -> Self {
        Self { slopes, fleet }
    }

    fn line(&self, series: &str, value: &str) -> Line {
        let found = self.slopes.series.iter().find(|s| s.name == series);
        let line = found.and_then(|series| series.lines.get(value));
        line.cloned().unwrap_or_default()
    }

    /// Bytes that one reservation takes in the cell record.
    fn reservation_bytes(&self) -> f64 {
        let bytes = self.line("wakes", "cell record, B").slope;
        bytes
            / self
                .line("wakes", "reservations")
                .slope
                .max(f64::MIN_POSITIVE)
    }

    /// Extrapolates a value of an idle process to the whole fleet.
    fn idle_total(&self, value: &str) -> SumWithTerms {
        let fleet = self.fleet;
        let engines = self.line("engines", value);
        let mut sum = SumWithTerms::default();
        sum.add_constant(engines.at(BASE_CLUSTER.1), "base");
        sum.add_scaled(engines.slope, fleet.engines - BASE_CLUSTER.1, "engines");
        sum.add_scaled(
            self.line("fleet", value).slope,
            fleet.instances - BASE_CLUSTER.0,
            "instances",
        );
        sum.add_scaled(
            self.line("catalog", value).slope,
            fleet.artifacts,
            "artifacts",
        );
        sum
    }

    fn add_gate_rows(&self, rows: &mut Vec<Estimate>) {
        let fleet = self.fleet;
        let (requests, tokens) = (
            fleet.requests_per_second / fleet.instances,
            fleet.tokens_per_second / fleet.instances,
        );
        let cpu = "gate cpu, % of a core";
        rows.push(self.idle_total(cpu).into_estimate(
            "gate",
            "control: processor, % of a core",
            Some(CPU_LIMIT_PERCENT),
        ));
        rows.push(self.idle_total("gate memory, MB").into_estimate(
            "gate",
            "control: memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let mut bytes = self.idle_total("gate to gates, B/s");
        for value in ["gate to key-value service, B/s", "gate to holder, B/s"] {
            let other = self.idle_total(value);
            bytes.total += other.total;
            bytes
                .terms
                .push(format!("{value}: {}", other.terms.join(" + ")));
        }
        let holder = self.line("requests", "gate to holder, B/s").slope;
        bytes.add_scaled(holder, requests, "requests/s");
        rows.push(bytes.into_estimate(
            "gate",
            "control: messages, B/s",
            Some(MESSAGE_BYTES_PER_SECOND_LIMIT),
        ));
        let mut data = SumWithTerms::default();
        data.add_scaled(self.line("requests", cpu).slope, requests, "requests/s");
        data.add_scaled(self.line("tokens", cpu).slope, tokens, "tokens/s");
        rows.push(data.into_estimate("gate", "data: processor, % of a core", None));
        let mut memory = SumWithTerms::default();
        let streams = tokens * fleet.token_gap_seconds;
        memory.add_scaled(
            self.line("streaming", "gate memory, MB").slope,
            streams,
            "streams",
        );
        rows.push(memory.into_estimate("gate", "data: memory, MB", None));
    }

    fn add_planner_rows(&self, rows: &mut Vec<Estimate>) {
        let fleet = self.fleet;
        let mut cpu = self.idle_total("holder cpu, % of a core");
        cpu.add_scaled(
            self.line("requests", "holder cpu, % of a core").slope,
            fleet.requests_per_second,
            "requests/s",
        );
        // The sizes of the `wakes` series are cold starts per ten seconds.
        let cold_starts = 10.0 * fleet.cold_starts_per_second;
        cpu.add_scaled(
            self.line("wakes", "holder cpu, % of a core").slope,
            cold_starts,
            "cold starts in 10 s",
        );
        rows.push(cpu.into_estimate(
            "planner, holds the cell",
            "processor, % of a core",
            Some(CPU_LIMIT_PERCENT),
        ));
        let memory = self.idle_total("holder memory, MB");
        rows.push(memory.into_estimate(
            "planner, holds the cell",
            "memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let renewals = self.line("fleet", "key-value writes, /s").intercept;
        let mut record = SumWithTerms::default();
        record.add_scaled(
            self.reservation_bytes(),
            fleet.loaded_artifacts,
            "reservations",
        );
        let record_bytes = record.total;
        rows.push(record.into_estimate(
            "planner, holds the cell",
            "cell record, B",
            Some(KV_VALUE_LIMIT_BYTES),
        ));
        let per_gate = self.idle_total("gate to holder, B/s");
        let mut bytes = self.idle_total("holder to key-value service, B/s");
        bytes.add_scaled(record_bytes, renewals, "renewals/s of the cell record");
        bytes.add_scaled(
            per_gate.total,
            fleet.instances,
            "gates, each as in its own row",
        );
        bytes.add_scaled(
            self.line("requests", "gate to holder, B/s").slope,
            fleet.requests_per_second,
            "requests/s",
        );
        bytes.add_scaled(
            self.line("engines", "holder to engines, B/s").slope,
            fleet.engines,
            "engines' reports",
        );
        rows.push(bytes.into_estimate(
            "planner, holds the cell",
            "messages, B/s",
            Some(MESSAGE_BYTES_PER_SECOND_LIMIT),
        ));
        let standby = "planner, stands by";
        rows.push(self.idle_total("standby cpu, % of a core").into_estimate(
            standby,
            "processor, % of a core",
            Some(CPU_LIMIT_PERCENT),
        ));
        rows.push(self.idle_total("standby memory, MB").into_estimate(
            standby,
            "memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let mut bytes = self.idle_total("standby to key-value service, B/s");
        bytes.add_scaled(record_bytes, renewals, "renewals/s of the cell record");
        rows.push(bytes.into_estimate(
            standby,
            "messages, B/s",
            Some(MESSAGE_BYTES_PER_SECOND_LIMIT),
        ));
    }

    fn add_key_value_rows(&self, rows: &mut Vec<Estimate>) {
        let fleet = self.fleet;
        let role = "key-value service";
        let mut reads = SumWithTerms::default();
        for value in [
            "key-value reads, /s",
            "key-value watches started, /s",
            "key-value lease calls, /s",
        ] {
            let line = self.line("fleet", value);
            reads.add_scaled(line.slope, fleet.instances, value);
        }
        rows.push(reads.into_estimate(
            role,
            "reads and watches started, /s",
            Some(KV_READS_PER_SECOND_LIMIT),
        ));
        let mut waiting = SumWithTerms::default();
        waiting.add_scaled(
            self.line("fleet", "key-value watches waiting").slope,
            fleet.instances,
            "instances",
        );
        rows.push(waiting.into_estimate(role, "watches waiting", None));
        let mut writes = SumWithTerms::default();
        writes.add_constant(
            self.line("fleet", "key-value writes, /s").intercept,
            "renewals of the cell",
        );
        let writes_per_cold_start = self.line("wakes", "key-value writes, /s").slope;
        writes.add_scaled(
            writes_per_cold_start,
            10.0 * fleet.cold_starts_per_second,
            "cold starts in 10 s",
        );
        writes.add_scaled(
            2.0,
            fleet.config_changes_per_second,
            "changes of configuration",
        );
        rows.push(writes.into_estimate(role, "writes, /s", Some(KV_WRITES_PER_SECOND_LIMIT)));
    }

    fn add_operator_rows(&self, rows: &mut Vec<Estimate>) {
        let role = "operator client";
        let at_fleet_size = |value: &str| self.line("catalog", value).at(self.fleet.artifacts);
        for (value, quantity) in [
            ("published, s", "one change accepted, s"),
            ("written for one change, kB", "one change, kB written"),
            (
                "in force at both gates, s",
                "one change in force at two gates, s",
            ),
        ] {
            let mut sum = SumWithTerms::default();
            sum.add_constant(at_fleet_size(value), "measured line at the size");
            let limit = (value == "in force at both gates, s").then_some(17.0);
            rows.push(sum.into_estimate(role, quantity, limit));
        }
    }

    /// Computes the estimates for all roles.
    pub fn estimate(&self) -> CapacityTable {
        let mut rows = Vec::new();
        self.add_gate_rows(&mut rows);
        self.add_planner_rows(&mut rows);
        self.add_key_value_rows(&mut rows);
        self.add_operator_rows(&mut rows);
        CapacityTable { rows }
    }
}

impl fmt::Display for CapacityTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| role | what | estimate | limit | within | worked out as |"
        )?;
        writeln!(f, "|---|---|---:|---:|---|---|")?;
        for row in &self.rows {
            let limit = row.limit.map_or("-".to_owned(), |limit| format!("{limit}"));
            let within = match row.limit {
                Some(limit) if row.estimate <= limit => "yes",
                Some(_) => "**no**",
                None => "-",
            };
            let Estimate {
                role,
                quantity,
                terms,
                estimate,
                ..
            } = row;
            writeln!(
                f,
                "| {role} | {quantity} | {estimate:.2} | {limit} | {within} | {terms} |"
            )?;
        }
        Ok(())
    }
}
