//! Checks of workspaces and keys.

use std::collections::BTreeMap;

use super::positive;
use crate::{
    catalog::{Catalog, Key},
    findings::{Findings, Section},
    keys,
};

/// Largest rate and burst, in tokens. Keeps sums of shares within range.
const MAX_TOKENS: u64 = 1 << 40;

pub(super) fn check(catalog: &Catalog, findings: &mut Findings) {
    let section = Section::Workspaces;
    for (name, workspace) in &catalog.workspaces {
        positive(section, name, "rate", workspace.rate, findings);
        positive(section, name, "burst", workspace.burst, findings);
        positive(section, name, "weight", workspace.weight.into(), findings);
        for (field, value) in [("rate", workspace.rate), ("burst", workspace.burst)] {
            if value > MAX_TOKENS {
                let text = format!("has `{field}` above {MAX_TOKENS}");
                findings.add_to_field(section, name, field, &text);
            }
        }
    }
    let mut by_hash: BTreeMap<&str, &str> = BTreeMap::new();
    for (id, key) in &catalog.keys {
        check_key(catalog, id, key, findings);
        if let Some(first) = by_hash.insert(&key.sha256, id) {
            let place = findings.item_place(Section::Keys, first);
            let text = format!("has the same hash as key `{first}` ({place})");
            findings.add_to_field(Section::Keys, id, "sha256", &text);
        }
    }
}

fn check_key(catalog: &Catalog, id: &str, key: &Key, findings: &mut Findings) {
    if !catalog.workspaces.contains_key(&key.workspace) {
        let text = format!(
            "names the workspace `{}`, which is not declared",
            key.workspace
        );
        findings.add_to_field(Section::Keys, id, "workspace", &text);
    }
    if keys::parse_hash(&key.sha256).is_none() {
        let text = if keys::looks_like_key(&key.sha256) {
            "holds a key where its hash belongs: withdraw that key, since it has been written \
             down, and use `comfreyweir key issue`"
        } else {
            "has a `sha256` that is not 64 lower-case hexadecimal digits; `comfreyweir key issue` \
             writes them"
        };
        findings.add_to_field(Section::Keys, id, "sha256", text);
    }
}
