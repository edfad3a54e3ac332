//! Differences between two catalogs.

use std::{collections::BTreeSet, fmt};

use comfreyweir_config::catalog::Catalog;
use serde::Serialize;
use serde_json::{Map, Value};

/// What happened to an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It is only in the later catalog.
    Added,
    /// It is only in the earlier catalog.
    Removed,
    /// It differs.
    Changed,
}

/// A difference of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// What happened.
    pub kind: Kind,
    /// Table and name: `models.summary`.
    pub item: String,
    /// Settings that differ, of a changed item.
    pub settings: Vec<Setting>,
}

/// A setting that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Setting {
    /// Name of the setting.
    pub name: String,
    /// Earlier value.
    pub before: Value,
    /// Later value.
    pub after: Value,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.kind {
            Kind::Added => '+',
            Kind::Removed => '-',
            Kind::Changed => '~',
        };
        write!(f, "{mark} {}", self.item)?;
        for (i, setting) in self.settings.iter().enumerate() {
            let start = if i == 0 { ": " } else { ", " };
            let Setting {
                name,
                before,
                after,
            } = setting;
            write!(f, "{start}{name} {before} -> {after}")?;
        }
        Ok(())
    }
}

/// Differences from one catalog to another.
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
        changes.extend(between_items(section, old, new));
    }
    changes
}

fn sections(catalog: &Catalog) -> Map<String, Value> {
    match serde_json::to_value(catalog) {
        Ok(Value::Object(sections)) => sections,
        // A catalog is a structure, whose JSON is an object.
        _ => Map::new(),
    }
}

fn between_items(section: &str, old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<Change> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let (kind, settings) = match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) if a == b => return None,
            (Some(a), Some(b)) => (Kind::Changed, settings(a, b)),
            (Some(_), None) => (Kind::Removed, Vec::new()),
            (None, _) => (Kind::Added, Vec::new()),
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

fn settings(before: &Value, after: &Value) -> Vec<Setting> {
    let Some(fields) = after.as_object() else {
        return Vec::new();
    };
    let differs = |(name, value): (&String, &Value)| {
        (before[name] != *value).then(|| Setting {
            name: name.clone(),
            before: before[name].clone(),
            after: value.clone(),
        })
    };
    fields.iter().filter_map(differs).collect()
}
