//! Estimates for a large fleet, worked out from measured slopes.
//!
//! Each size adds to a small base cluster by its own slope: the base is the `engines` series at
//! its smallest size. Sizes whose slope is negative add nothing.

use std::fmt;

use crate::{fit::Line, slopes::Slopes};

/// A fleet to estimate for.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Entry instances.
    pub instances: f64,
    /// Engines.
    pub engines: f64,
    /// Models and adapters.
    pub artifacts: f64,
    /// Artifacts that are loaded, each with a reservation in the cell record.
    pub loaded: f64,
    /// Requests a second.
    pub requests: f64,
    /// Streamed tokens a second.
    pub tokens: f64,
    /// Time between two tokens of a stream, in seconds.
    pub token_gap: f64,
    /// Cold starts a second.
    pub wakes: f64,
    /// Changes of configuration a second.
    pub changes: f64,
}

const SECONDS_PER_HOUR: f64 = 3_600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The fleet that the design is meant for.
pub const PLANNED: Fleet = Fleet {
    instances: 370.0,
    engines: 890.0,
    artifacts: 13_600.0,
    // One model on each accelerator.
    loaded: 3_600.0,
    requests: 5_900.0,
    tokens: 1_300_000.0,
    token_gap: 0.027,
    // Half of those that wake up or fall idle wake up.
    wakes: 13_600.0 * 0.36 / 2.0 / SECONDS_PER_HOUR,
    changes: 2_900.0 / SECONDS_PER_DAY,
};

/// Instances and engines of the base cluster.
const BASE: (f64, f64) = (3.0, 4.0);
const CPU_LIMIT: f64 = 1.9;
const MEMORY_LIMIT_MB: f64 = 128.0;
const BYTES_LIMIT: f64 = 19_000.0;
const VALUE_LIMIT: f64 = 1_000_000.0;
const READS_LIMIT: f64 = 2_000.0;
const WRITES_LIMIT: f64 = 300.0;

/// One estimate.
#[derive(Clone, Debug)]
pub struct Row {
    /// Role.
    pub role: &'static str,
    /// What is estimated, with its unit.
    pub what: &'static str,
    /// How it is worked out.
    pub parts: String,
    /// The estimate.
    pub estimate: f64,
    /// The limit, where there is one.
    pub limit: Option<f64>,
}

/// All estimates.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// One row an estimate.
    pub rows: Vec<Row>,
}

/// A sum with the text of its parts.
#[derive(Default)]
struct Sum {
    total: f64,
    parts: Vec<String>,
}

impl Sum {
    fn add(&mut self, slope: f64, size: f64, unit: &str) {
        if slope * size > 0.0 {
            self.total += slope * size;
            self.parts.push(format!("{slope:.6} × {size:.2} {unit}"));
        }
    }

    fn constant(&mut self, value: f64, unit: &str) {
        self.total += value;
        self.parts.push(format!("{value:.3} {unit}"));
    }

    fn row(self, role: &'static str, what: &'static str, limit: Option<f64>) -> Row {
        Row {
            role,
            what,
            parts: self.parts.join(" + "),
            estimate: self.total,
            limit,
        }
    }
}

/// Estimates for a fleet.
pub struct Estimator<'a> {
    slopes: &'a Slopes,
    fleet: Fleet,
}

impl<'a> Estimator<'a> {
    /// Works with slopes that were measured.
    pub fn new(slopes: &'a Slopes, fleet: Fleet) -> Self {
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

    /// Value of an idle process in the whole fleet.
    fn idle(&self, value: &str) -> Sum {
        let fleet = self.fleet;
        let engines = self.line("engines", value);
        let mut sum = Sum::default();
        sum.constant(engines.at(BASE.1), "base");
        sum.add(engines.slope, fleet.engines - BASE.1, "engines");
        sum.add(
            self.line("fleet", value).slope,
            fleet.instances - BASE.0,
            "instances",
        );
        sum.add(
            self.line("catalog", value).slope,
            fleet.artifacts,
            "artifacts",
        );
        sum
    }

    fn gate(&self, rows: &mut Vec<Row>) {
        let fleet = self.fleet;
        let (requests, tokens) = (
            fleet.requests / fleet.instances,
            fleet.tokens / fleet.instances,
        );
        let cpu = "gate cpu, % of a core";
        rows.push(
            self.idle(cpu)
                .row("gate", "control: processor, % of a core", Some(CPU_LIMIT)),
        );
        rows.push(self.idle("gate memory, MB").row(
            "gate",
            "control: memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let mut bytes = self.idle("gate to gates, B/s");
        for value in ["gate to key-value service, B/s", "gate to holder, B/s"] {
            let other = self.idle(value);
            bytes.total += other.total;
            bytes
                .parts
                .push(format!("{value}: {}", other.parts.join(" + ")));
        }
        let holder = self.line("requests", "gate to holder, B/s").slope;
        bytes.add(holder, requests, "requests/s");
        rows.push(bytes.row("gate", "control: messages, B/s", Some(BYTES_LIMIT)));
        let mut data = Sum::default();
        data.add(self.line("requests", cpu).slope, requests, "requests/s");
        data.add(self.line("tokens", cpu).slope, tokens, "tokens/s");
        rows.push(data.row("gate", "data: processor, % of a core", None));
        let mut memory = Sum::default();
        let streams = tokens * fleet.token_gap;
        memory.add(
            self.line("streaming", "gate memory, MB").slope,
            streams,
            "streams",
        );
        rows.push(memory.row("gate", "data: memory, MB", None));
    }

    fn planners(&self, rows: &mut Vec<Row>) {
        let fleet = self.fleet;
        let mut cpu = self.idle("holder cpu, % of a core");
        cpu.add(
            self.line("requests", "holder cpu, % of a core").slope,
            fleet.requests,
            "requests/s",
        );
        // The sizes of this series count cold starts in ten seconds.
        let wakes = 10.0 * fleet.wakes;
        cpu.add(
            self.line("wakes", "holder cpu, % of a core").slope,
            wakes,
            "cold starts in 10 s",
        );
        rows.push(cpu.row(
            "planner, holds the cell",
            "processor, % of a core",
            Some(CPU_LIMIT),
        ));
        let memory = self.idle("holder memory, MB");
        rows.push(memory.row(
            "planner, holds the cell",
            "memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let renewals = self.line("fleet", "key-value writes, /s").intercept;
        let mut record = Sum::default();
        record.add(self.reservation_bytes(), fleet.loaded, "reservations");
        let record_bytes = record.total;
        rows.push(record.row(
            "planner, holds the cell",
            "cell record, B",
            Some(VALUE_LIMIT),
        ));
        let per_gate = self.idle("gate to holder, B/s");
        let mut bytes = self.idle("holder to key-value service, B/s");
        bytes.add(record_bytes, renewals, "renewals/s of the cell record");
        bytes.add(
            per_gate.total,
            fleet.instances,
            "gates, each as in its own row",
        );
        bytes.add(
            self.line("requests", "gate to holder, B/s").slope,
            fleet.requests,
            "requests/s",
        );
        bytes.add(
            self.line("engines", "holder to engines, B/s").slope,
            fleet.engines,
            "engines' reports",
        );
        rows.push(bytes.row(
            "planner, holds the cell",
            "messages, B/s",
            Some(BYTES_LIMIT),
        ));
        let standby = "planner, stands by";
        rows.push(self.idle("standby cpu, % of a core").row(
            standby,
            "processor, % of a core",
            Some(CPU_LIMIT),
        ));
        rows.push(self.idle("standby memory, MB").row(
            standby,
            "memory, MB",
            Some(MEMORY_LIMIT_MB),
        ));
        let mut bytes = self.idle("standby to key-value service, B/s");
        bytes.add(record_bytes, renewals, "renewals/s of the cell record");
        rows.push(bytes.row(standby, "messages, B/s", Some(BYTES_LIMIT)));
    }

    fn key_value(&self, rows: &mut Vec<Row>) {
        let fleet = self.fleet;
        let role = "key-value service";
        let mut reads = Sum::default();
        for value in [
            "key-value reads, /s",
            "key-value watches started, /s",
            "key-value lease calls, /s",
        ] {
            let line = self.line("fleet", value);
            reads.add(line.slope, fleet.instances, value);
        }
        rows.push(reads.row(role, "reads and watches started, /s", Some(READS_LIMIT)));
        let mut waiting = Sum::default();
        waiting.add(
            self.line("fleet", "key-value watches waiting").slope,
            fleet.instances,
            "instances",
        );
        rows.push(waiting.row(role, "watches waiting", None));
        let mut writes = Sum::default();
        writes.constant(
            self.line("fleet", "key-value writes, /s").intercept,
            "renewals of the cell",
        );
        let wakes = self.line("wakes", "key-value writes, /s").slope;
        writes.add(wakes, 10.0 * fleet.wakes, "cold starts in 10 s");
        writes.add(2.0, fleet.changes, "changes of configuration");
        rows.push(writes.row(role, "writes, /s", Some(WRITES_LIMIT)));
    }

    fn operators(&self, rows: &mut Vec<Row>) {
        let role = "operator client";
        let at = |value: &str| self.line("catalog", value).at(self.fleet.artifacts);
        for (value, what) in [
            ("published, s", "one change accepted, s"),
            ("written for one change, kB", "one change, kB written"),
            (
                "in force at both gates, s",
                "one change in force at two gates, s",
            ),
        ] {
            let mut sum = Sum::default();
            sum.constant(at(value), "measured line at the size");
            let limit = (value == "in force at both gates, s").then_some(17.0);
            rows.push(sum.row(role, what, limit));
        }
    }

    /// All estimates.
    pub fn estimate(&self) -> Capacity {
        let mut rows = Vec::new();
        self.gate(&mut rows);
        self.planners(&mut rows);
        self.key_value(&mut rows);
        self.operators(&mut rows);
        Capacity { rows }
    }
}

impl fmt::Display for Capacity {
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
            let Row {
                role,
                what,
                parts,
                estimate,
                ..
            } = row;
            writeln!(
                f,
                "| {role} | {what} | {estimate:.2} | {limit} | {within} | {parts} |"
            )?;
        }
        Ok(())
    }
}
