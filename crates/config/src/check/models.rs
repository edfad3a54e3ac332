//! Checks of models and adapters.

use std::collections::BTreeMap;

use super::{check_positive, check_workspace_list, is_valid_name};
use crate::{
    catalog::{Catalog, Model, UpstreamKind},
    findings::{Findings, Section},
};

pub(super) fn check(catalog: &Catalog, findings: &mut Findings) {
    let largest_engine_mb = largest_engine_memory(catalog);
    for (name, model) in &catalog.models {
        check_model(name, model, findings);
        check_workspace_list(catalog, Section::Models, name, &model.workspaces, findings);
        check_memory(name, model.memory_mb, largest_engine_mb, findings);
        check_bursts(catalog, name, model, findings);
    }
    for name in catalog.adapters.keys() {
        check_adapter(catalog, name, largest_engine_mb, findings);
    }
}

/// Memory of the largest engine, in MB. `None` if there is no engine.
fn largest_engine_memory(catalog: &Catalog) -> Option<u64> {
    let engines = catalog.upstreams.values();
    engines
        .filter(|u| u.kind == UpstreamKind::Engine)
        .map(|u| u.memory_mb)
        .max()
}

fn check_model(name: &str, model: &Model, findings: &mut Findings) {
    let section = Section::Models;
    check_version(section, name, &model.version, findings);
    check_positive(section, name, "memory_mb", model.memory_mb, findings);
    check_positive(section, name, "replicas", model.replicas.into(), findings);
    let output = model.max_output_tokens.into();
    check_positive(section, name, "max_output_tokens", output, findings);
    let bytes = model.bytes_per_token.into();
    check_positive(section, name, "bytes_per_token", bytes, findings);
}

fn check_version(section: Section, name: &str, version: &str, findings: &mut Findings) {
    if !is_valid_name(version) {
        let text = "has a version that cannot be used: letters, digits and . _ - : / are allowed";
        findings.report_field(section, name, "version", text);
    }
}

fn check_memory(
    name: &str,
    memory_mb: u64,
    largest_engine_mb: Option<u64>,
    findings: &mut Findings,
) {
    let section = Section::Models;
    match largest_engine_mb {
        None => findings.report_item(section, name, "can be loaded nowhere: there is no engine"),
        Some(largest) if memory_mb > largest => {
            let text = format!("needs {memory_mb} MB, and the largest engine has {largest} MB");
            findings.report_field(section, name, "memory_mb", &text);
        }
        Some(_) => {}
    }
}

/// Reports workspaces whose burst is too small for a request that sets no output limit. Such a
/// request is charged for `max_output_tokens`, so the workspace could only call the model with a
/// lower limit in every request.
fn check_bursts(catalog: &Catalog, name: &str, model: &Model, findings: &mut Findings) {
    // The prompt counts for at least 1 token.
    let min_burst = u64::from(model.max_output_tokens) + 1;
    let mut too_small = BTreeMap::new();
    for (workspace, allowance) in &catalog.workspaces {
        // A burst of zero is reported by the checks of workspaces.
        let may_use = model.workspaces.is_empty() || model.workspaces.contains(workspace);
        if may_use && allowance.burst < min_burst && allowance.burst > 0 {
            too_small.insert(workspace, allowance.burst);
        }
    }
    for (workspace, burst) in too_small {
        let text = format!(
            "has a burst of {burst} tokens, below the largest request of model `{name}` \
             ({min_burst} tokens): raise `burst`, or lower the model's `max_output_tokens`"
        );
        findings.report_field(Section::Workspaces, workspace, "burst", &text);
    }
}

fn check_adapter(
    catalog: &Catalog,
    name: &str,
    largest_engine_mb: Option<u64>,
    findings: &mut Findings,
) {
    let section = Section::Adapters;
    let adapter = &catalog.adapters[name];
    check_version(section, name, &adapter.version, findings);
    check_positive(section, name, "memory_mb", adapter.memory_mb, findings);
    check_workspace_list(catalog, section, name, &adapter.workspaces, findings);
    if catalog.models.contains_key(name) {
        let location = findings.item_location(Section::Models, name);
        let text =
            format!("has the name of a model ({location}); callers could not tell them apart");
        findings.report_item(section, name, &text);
    }
    let Some(model) = catalog.models.get(&adapter.model) else {
        let text = format!(
            "extends the model `{}`, which is not declared",
            adapter.model
        );
        findings.report_field(section, name, "model", &text);
        return;
    };
    let total_mb = model.memory_mb.saturating_add(adapter.memory_mb);
    let fits_without_adapter = largest_engine_mb.is_some_and(|l| model.memory_mb <= l);
    if let Some(largest) = largest_engine_mb
        && fits_without_adapter
        && total_mb > largest
    {
        let text = format!(
            "needs {total_mb} MB together with its model, and the largest engine has {largest} MB"
        );
        findings.report_field(section, name, "memory_mb", &text);
    }
}
