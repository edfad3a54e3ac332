//! Checks of the whole catalog: names, references, sizes and combinations that cannot work.

mod access;
mod models;
mod upstreams;

use crate::{
    catalog::Catalog,
    findings::{Findings, Section},
};

/// Maximum length of a name, in bytes. Names are used as metric labels and in headers.
const MAX_NAME_BYTES: usize = 128;

/// Reports every mistake in a catalog.
pub(crate) fn check_catalog(catalog: &Catalog, findings: &mut Findings) {
    check_names(Section::Models, catalog.models.keys(), findings);
    check_names(Section::Adapters, catalog.adapters.keys(), findings);
    check_names(Section::Workspaces, catalog.workspaces.keys(), findings);
    check_names(Section::Keys, catalog.keys.keys(), findings);
    check_names(Section::Upstreams, catalog.upstreams.keys(), findings);
    check_names(Section::Routes, catalog.routes.keys(), findings);
    models::check(catalog, findings);
    access::check(catalog, findings);
    upstreams::check(catalog, findings);
}

fn check_names<'a, I>(section: Section, names: I, findings: &mut Findings)
where
    I: Iterator<Item = &'a String>,
{
    for name in names {
        if !is_valid_name(name) {
            let text = format!(
                "has a name that cannot be used: 1 to {MAX_NAME_BYTES} letters, digits and . _ - : \
                 / are allowed, beginning with a letter or a digit"
            );
            findings.report_item(section, name, &text);
        }
    }
}

/// Whether a text can be used as a name in headers, paths and metrics.
fn is_valid_name(text: &str) -> bool {
    let first = text.chars().next();
    text.len() <= MAX_NAME_BYTES
        && first.is_some_and(|c| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "._-:/".contains(c))
}

/// Reports undeclared and duplicate workspaces in the list of those that may use an item.
fn check_workspace_list(
    catalog: &Catalog,
    section: Section,
    name: &str,
    listed: &[String],
    findings: &mut Findings,
) {
    const FIELD: &str = "workspaces";
    for (i, workspace) in listed.iter().enumerate() {
        if !catalog.workspaces.contains_key(workspace) {
            let text = format!("names the workspace `{workspace}`, which is not declared");
            findings.report_field(section, name, FIELD, &text);
        }
        if listed[..i].contains(workspace) {
            let text = format!("names the workspace `{workspace}` twice");
            findings.report_field(section, name, FIELD, &text);
        }
    }
}

/// Reports a field whose value is zero.
fn check_positive(
    section: Section,
    name: &str,
    field: &'static str,
    value: u64,
    findings: &mut Findings,
) {
    if value == 0 {
        findings.report_field(section, name, field, &format!("needs `{field}` above zero"));
    }
}
