//! Merging the files: table by table and setting by setting, a later file over an earlier one.

use std::collections::BTreeMap;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    fields::{FieldValue, suggestion},
    findings::{Findings, ItemId, Section},
    source_file::Source,
};

/// Settings of every item, each from the last file that has it.
pub(crate) type Merged<'a> = BTreeMap<ItemId, BTreeMap<String, FieldValue<'a>>>;

/// Parses and merges the files.
pub(crate) fn merge<'a>(sources: &'a [Source], findings: &mut Findings) -> Merged<'a> {
    let mut merged = Merged::new();
    for source in sources {
        let (table, errors) = DeTable::parse_recoverable(&source.text);
        for error in &errors {
            let at = error.span().map_or(0, |span| span.start);
            findings.add(source.place(at), error.message().to_owned());
        }
        // What could be parsed of a broken file is full of follow-up mistakes.
        if errors.is_empty() {
            merge_file(source, table.into_inner(), &mut merged, findings);
        }
    }
    merged
}

fn merge_file<'a>(
    source: &'a Source,
    table: DeTable<'a>,
    merged: &mut Merged<'a>,
    findings: &mut Findings,
) {
    for (key, value) in table {
        let section = Section::ALL
            .into_iter()
            .find(|s| s.name() == key.get_ref().as_ref());
        let Some(section) = section else {
            let known = Section::ALL.map(Section::name);
            let name = key.get_ref();
            let hint = suggestion(name, &known);
            let text = format!(
                "unknown table `{name}`{hint}; there are {}",
                known.join(", ")
            );
            findings.add(source.place(key.span().start), text);
            continue;
        };
        let what = section.name();
        let Some(items) = as_table(source, value, what, findings) else {
            continue;
        };
        for (name, item) in items {
            let id = (section, name.get_ref().to_string());
            let what = format!("{} `{}`", section.item(), name.get_ref());
            let place = source.place(name.span().start);
            let Some(fields) = as_table(source, item, &what, findings) else {
                continue;
            };
            if !merged.contains_key(&id) {
                findings.locate_item(id.clone(), place);
            }
            let settings = merged.entry(id).or_default();
            for (field, value) in fields {
                let key = field.span();
                let name = field.into_inner().into_owned();
                settings.insert(name, FieldValue { source, key, value });
            }
        }
    }
}

fn as_table<'a>(
    source: &Source,
    value: Spanned<DeValue<'a>>,
    what: &str,
    findings: &mut Findings,
) -> Option<DeTable<'a>> {
    let at = value.span().start;
    match value.into_inner() {
        DeValue::Table(table) => Some(table),
        other => {
            let text = format!("{what} must be a table, not a {}", other.type_str());
            findings.add(source.place(at), text);
            None
        }
    }
}
