//! Checks of workspaces and keys.

use std::collections::BTreeMap;

use super::check_positive;
use crate::{
    catalog::{Catalog, Key},
    findings::{Findings, Section},
    keys,
};

/// Maximum of `rate` (tokens per second) and `burst` (tokens). Prevents overflow when shares are
/// added up.
const MAX_RATE_OR_BURST: u64 = 1 << 40;

pub(super) fn check(catalog: &Catalog, findings: &mut Findings) {
    let section = Section::Workspaces;
    for (name, workspace) in &catalog.workspaces {
        check_positive(section, name, "rate", workspace.rate, findings);
        check_positive(section, name, "burst", workspace.burst, findings);
        check_positive(section, name, "weight", workspace.weight.into(), findings);
        for (field, value) in [("rate", workspace.rate), ("burst", workspace.burst)] {
            if value > MAX_RATE_OR_BURST {
                let text = format!("has `{field}` above {MAX_RATE_OR_BURST}");
                findings.report_field(section, name, field, &text);
            }
        }
    }
    let mut by_hash: BTreeMap<&str, &str> = BTreeMap::new();
    for (id, key) in &catalog.keys {
        check_key(catalog, id, key, findings);
        if let Some(first) = by_hash.insert(&key.sha256, id) {
            let location = findings.item_location(Section::Keys, first);
            let text = format!("has the same hash as key `{first}` ({location})");
            findings.report_field(Section::Keys, id, "sha256", &text);
        }
    }
}

fn check_key(catalog: &Catalog, id: &str, key: &Key, findings: &mut Findings) {
    if !catalog.workspaces.contains_key(&key.workspace) {
        let text = format!(
            "names the workspace `{}`, which is not declared",
            key.workspace
        );
        findings.report_field(Section::Keys, id, "workspace", &text);
    }
    if keys::parse_hash(&key.sha256).is_none() {
        let text = if keys::looks_like_key(&key.sha256) {
            "holds a key where its hash belongs: withdraw that key, since it has been written \
             down, and use `comfreyweir key issue`"
        } else {
            "has a `sha256` that is not 64 lower-case hexadecimal digits; `comfreyweir key issue` \
             writes them"
        };
        findings.report_field(Section::Keys, id, "sha256", text);
    }
}
