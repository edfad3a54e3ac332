//! Checks over the whole catalog: references, sizes, and what cannot work.

mod access;
mod models;
mod upstreams;

use crate::{
    catalog::Catalog,
    findings::{Findings, Section},
};

/// Longest name of an item, in bytes. Names become labels of metrics and parts of headers.
const MAX_NAME_BYTES: usize = 128;

/// Finds every mistake in a catalog.
pub(crate) fn check(catalog: &Catalog, findings: &mut Findings) {
    names(Section::Models, catalog.models.keys(), findings);
    names(Section::Adapters, catalog.adapters.keys(), findings);
    names(Section::Workspaces, catalog.workspaces.keys(), findings);
    names(Section::Keys, catalog.keys.keys(), findings);
    names(Section::Upstreams, catalog.upstreams.keys(), findings);
    names(Section::Routes, catalog.routes.keys(), findings);
    models::check(catalog, findings);
    access::check(catalog, findings);
    upstreams::check(catalog, findings);
}

fn names<'a, I>(section: Section, names: I, findings: &mut Findings)
where
    I: Iterator<Item = &'a String>,
{
    for name in names {
        if !is_name(name) {
            let text = format!(
                "has a name that cannot be used: 1 to {MAX_NAME_BYTES} letters, digits and . _ - : / \
                 are allowed, beginning with a letter or a digit"
            );
            findings.add_to_item(section, name, &text);
        }
    }
}

/// Whether a text can be used as a name, in headers, paths and metrics alike.
fn is_name(text: &str) -> bool {
    let first = text.chars().next();
    text.len() <= MAX_NAME_BYTES
        && first.is_some_and(|c| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "._-:/".contains(c))
}

/// Checks the list of workspaces that may use an item.
fn workspaces(
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
            findings.add_to_field(section, name, FIELD, &text);
        }
        if listed[..i].contains(workspace) {
            let text = format!("names the workspace `{workspace}` twice");
            findings.add_to_field(section, name, FIELD, &text);
        }
    }
}

/// Checks that a number is above zero.
fn positive(
    section: Section,
    name: &str,
    field: &'static str,
    value: u64,
    findings: &mut Findings,
) {
    if value == 0 {
        findings.add_to_field(section, name, field, &format!("needs `{field}` above zero"));
    }
}
