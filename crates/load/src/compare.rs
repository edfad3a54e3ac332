//! Compares the reports of two runs.

use std::fmt::Write;

use crate::report::Report;

/// One figure with its value in each of two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ComparedFigure {
    /// What was measured, with the unit if there is one.
    pub name: String,
    /// Value in the first run.
    pub before: f64,
    /// Value in the second run.
    pub after: f64,
}

/// Pairs the figures of two runs. A cold-start source that only the second run has is left out.
pub fn compare_figures(a: &Report, b: &Report) -> Vec<ComparedFigure> {
    let mut figures = Vec::new();
    let mut add = |name: String, before: f64, after: f64| {
        figures.push(ComparedFigure {
            name,
            before,
            after,
        });
    };
    for (source, before) in &a.cold {
        let after = b.cold.get(source).copied().unwrap_or_default();
        add(format!("cold {source} p50, ms"), before.p50, after.p50);
        add(format!("cold {source} p95, ms"), before.p95, after.p95);
        add(format!("cold {source} p99, ms"), before.p99, after.p99);
    }
    add("warm p95, ms".to_owned(), a.warm.p95, b.warm.p95);
    let idle = (a.idle_accelerator_hours, b.idle_accelerator_hours);
    add("idle accelerator hours".to_owned(), idle.0, idle.1);
    let worst = (a.worst_workspace.1, b.worst_workspace.1);
    add(
        "worst workspace's part of its due".to_owned(),
        worst.0,
        worst.1,
    );
    let refused = (a.refused_inside_rate_part, b.refused_inside_rate_part);
    add("part refused inside rate".to_owned(), refused.0, refused.1);
    figures
}

/// Formats the comparison as a text table, with a note if seed or deployment differ.
pub fn table(a: &Report, b: &Report) -> String {
    let mut table = format!("{:<36} {:>12} {:>12} {:>9}\n", "", "A", "B", "B / A");
    if (a.seed, &a.deployment) != (b.seed, &b.deployment) {
        table.insert_str(0, "note: the runs had different arrivals\n");
    }
    for figure in compare_figures(a, b) {
        let ratio = if figure.before > 0.0 {
            format!("{:.3}", figure.after / figure.before)
        } else {
            "-".to_owned()
        };
        let ComparedFigure {
            name,
            before,
            after,
        } = figure;
        let _ = writeln!(table, "{name:<36} {before:>12.4} {after:>12.4} {ratio:>9}");
    }
    table
}
