//! Comparison of two runs.

use std::fmt::Write;

use crate::report::Report;

/// One figure of two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured.
    pub name: String,
    /// Figure of the first run.
    pub before: f64,
    /// Figure of the second run.
    pub after: f64,
}

/// All figures that two runs can be compared by.
pub fn rows(a: &Report, b: &Report) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut row = |name: String, before: f64, after: f64| {
        rows.push(Row {
            name,
            before,
            after,
        });
    };
    for (source, before) in &a.cold {
        let after = b.cold.get(source).copied().unwrap_or_default();
        row(format!("cold {source} p50, ms"), before.p50, after.p50);
        row(format!("cold {source} p95, ms"), before.p95, after.p95);
        row(format!("cold {source} p99, ms"), before.p99, after.p99);
    }
    row("warm p95, ms".to_owned(), a.warm.p95, b.warm.p95);
    let idle = (a.idle_accelerator_hours, b.idle_accelerator_hours);
    row("idle accelerator hours".to_owned(), idle.0, idle.1);
    let worst = (a.worst_workspace.1, b.worst_workspace.1);
    row(
        "worst workspace's part of its due".to_owned(),
        worst.0,
        worst.1,
    );
    let refused = (a.refused_inside_rate_part, b.refused_inside_rate_part);
    row("part refused inside rate".to_owned(), refused.0, refused.1);
    rows
}

/// The comparison as a table.
pub fn table(a: &Report, b: &Report) -> String {
    let mut table = format!("{:<36} {:>12} {:>12} {:>9}\n", "", "A", "B", "B / A");
    if (a.seed, &a.deployment) != (b.seed, &b.deployment) {
        table.insert_str(0, "note: the runs had different arrivals\n");
    }
    for row in rows(a, b) {
        let ratio = if row.before > 0.0 {
            format!("{:.3}", row.after / row.before)
        } else {
            "-".to_owned()
        };
        let Row {
            name,
            before,
            after,
        } = row;
        let _ = writeln!(table, "{name:<36} {before:>12.4} {after:>12.4} {ratio:>9}");
    }
    table
}
