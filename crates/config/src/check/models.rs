//! Checks of models and adapters.

use std::collections::BTreeMap;

use super::{is_name, positive, workspaces};
use crate::{
    catalog::{Catalog, Model, UpstreamKind},
    findings::{Findings, Section},
};

pub(super) fn check(catalog: &Catalog, findings: &mut Findings) {
    let largest = largest_engine(catalog);
    for (name, model) in &catalog.models {
        check_model(name, model, findings);
        workspaces(catalog, Section::Models, name, &model.workspaces, findings);
        check_memory(name, model.memory_mb, largest, findings);
        check_bursts(catalog, name, model, findings);
    }
    for name in catalog.adapters.keys() {
        check_adapter(catalog, name, largest, findings);
    }
}

/// Memory of the largest engine in MB; `None` when there is no engine.
fn largest_engine(catalog: &Catalog) -> Option<u64> {
    let engines = catalog.upstreams.values();
    engines
        .filter(|u| u.kind == UpstreamKind::Engine)
        .map(|u| u.memory_mb)
        .max()
}

fn check_model(name: &str, model: &Model, findings: &mut Findings) {
    let section = Section::Models;
    check_version(section, name, &model.version, findings);
    positive(section, name, "memory_mb", model.memory_mb, findings);
    positive(section, name, "replicas", model.replicas.into(), findings);
    let output = model.max_output_tokens.into();
    positive(section, name, "max_output_tokens", output, findings);
    let bytes = model.bytes_per_token.into();
    positive(section, name, "bytes_per_token", bytes, findings);
}

fn check_version(section: Section, name: &str, version: &str, findings: &mut Findings) {
    if !is_name(version) {
        let text = "has a version that cannot be used: letters, digits and . _ - : / are allowed";
        findings.add_to_field(section, name, "version", text);
    }
}

fn check_memory(name: &str, memory_mb: u64, largest: Option<u64>, findings: &mut Findings) {
    let section = Section::Models;
    match largest {
        None => findings.add_to_item(section, name, "can be loaded nowhere: there is no engine"),
        Some(largest) if memory_mb > largest => {
            let text = format!("needs {memory_mb} MB, and the largest engine has {largest} MB");
            findings.add_to_field(section, name, "memory_mb", &text);
        }
        Some(_) => {}
    }
}

/// A workspace whose burst is below the output limit of a model could never call it without a
/// limit of its own.
fn check_bursts(catalog: &Catalog, name: &str, model: &Model, findings: &mut Findings) {
    // One token of prompt is the least.
    let least = u64::from(model.max_output_tokens) + 1;
    let mut below = BTreeMap::new();
    for (workspace, allowance) in &catalog.workspaces {
        let may_use = model.workspaces.is_empty() || model.workspaces.contains(workspace);
        if may_use && allowance.burst < least && allowance.burst > 0 {
            below.insert(workspace, allowance.burst);
        }
    }
    for (workspace, burst) in below {
        let text = format!(
            "has a burst of {burst} tokens, below the largest request of model `{name}` \
             ({least} tokens): raise `burst`, or lower the model's `max_output_tokens`"
        );
        findings.add_to_field(Section::Workspaces, workspace, "burst", &text);
    }
}

fn check_adapter(catalog: &Catalog, name: &str, largest: Option<u64>, findings: &mut Findings) {
    let section = Section::Adapters;
    let adapter = &catalog.adapters[name];
    check_version(section, name, &adapter.version, findings);
    positive(section, name, "memory_mb", adapter.memory_mb, findings);
    workspaces(catalog, section, name, &adapter.workspaces, findings);
    if catalog.models.contains_key(name) {
        let place = findings.item_place(Section::Models, name);
        let text = format!("has the name of a model ({place}); callers could not tell them apart");
        findings.add_to_item(section, name, &text);
    }
    let Some(model) = catalog.models.get(&adapter.model) else {
        let text = format!(
            "extends the model `{}`, which is not declared",
            adapter.model
        );
        findings.add_to_field(section, name, "model", &text);
        return;
    };
    let together = model.memory_mb.saturating_add(adapter.memory_mb);
    let fits_without = largest.is_some_and(|l| model.memory_mb <= l);
    if let Some(largest) = largest
        && fits_without
        && together > largest
    {
        let text = format!(
            "needs {together} MB together with its model, and the largest engine has {largest} MB"
        );
        findings.add_to_field(section, name, "memory_mb", &text);
    }
}
