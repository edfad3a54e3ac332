//! Computes and prints the differences between two catalogs.

use std::{collections::BTreeSet, fmt};

use comfreyweir_config::catalog::Catalog;
use serde::Serialize;
use serde_json::{Map, Value};

/// How an item differs between two catalogs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only in the later catalog.
    Added,
    /// Only in the earlier catalog.
    Removed,
    /// In both catalogs, with different settings.
    Changed,
}

/// Difference of one item between two catalogs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// How the item differs.
    pub kind: ChangeKind,
    /// Section and name of the item, such as `models.summary`.
    pub item: String,
    /// Settings that differ; empty unless the item is in both catalogs.
    pub settings: Vec<SettingChange>,
}

/// Setting whose value differs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct SettingChange {
    /// Name of the setting.
    pub name: String,
    /// Earlier value.
    pub before: Value,
    /// Later value.
    pub after: Value,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {}", self.item)?;
        for (i, setting) in self.settings.iter().enumerate() {
            let start = if i == 0 { ": " } else { ", " };
            let SettingChange {
                name,
                before,
                after,
            } = setting;
            write!(f, "{start}{name} {before} -> {after}")?;
        }
        Ok(())
    }
}

/// Returns the differences between two catalogs, sorted by section and name.
pub fn between(before: &Catalog, after: &Catalog) -> Vec<Change> {
    let (before, after) = (sections(before), sections(after));
    let mut changes = Vec::new();
    for (section, items) in &after {
        let empty = Map::new();
        let old = before
            .get(section)
            .and_then(Value::as_object)
            .unwrap_or(&empty);
        let new = items.as_object().unwrap_or(&empty);
        changes.extend(section_changes(section, old, new));
    }
    changes
}

fn sections(catalog: &Catalog) -> Map<String, Value> {
    match serde_json::to_value(catalog) {
        Ok(Value::Object(sections)) => sections,
        // Unreachable: a catalog is a struct, which always serializes to an object.
        _ => Map::new(),
    }
}

fn section_changes(
    section: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Vec<Change> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let (kind, settings) = match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) if a == b => return None,
            (Some(a), Some(b)) => (ChangeKind::Changed, setting_changes(a, b)),
            (Some(_), None) => (ChangeKind::Removed, Vec::new()),
            (None, _) => (ChangeKind::Added, Vec::new()),
        };
        let item = format!("{section}.{name}");
        Some(Change {
            kind,
            item,
            settings,
        })
    };
    names.into_iter().filter_map(change).collect()
}

fn setting_changes(before: &Value, after: &Value) -> Vec<SettingChange> {
    let Some(fields) = after.as_object() else {
        return Vec::new();
    };
    let differs = |(name, value): (&String, &Value)| {
        (before[name] != *value).then(|| SettingChange {
            name: name.clone(),
            before: before[name].clone(),
            after: value.clone(),
        })
    };
    fields.iter().filter_map(differs).collect()
}
