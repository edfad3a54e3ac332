//! Merges the operators' files setting by setting; a later file overrides an earlier one.

use std::collections::BTreeMap;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    fields::{FieldValue, suggestion},
    findings::{Findings, ItemId, Section},
    source_file::SourceFile,
};

/// Fields of every item, each with its value from the last file that sets it.
pub(crate) type MergedItems<'a> = BTreeMap<ItemId, BTreeMap<String, FieldValue<'a>>>;

/// Parses and merges the files in the given order. Reports syntax errors, unknown top-level tables
/// and values that should be tables.
pub(crate) fn merge_files<'a>(
    sources: &'a [SourceFile],
    findings: &mut Findings,
) -> MergedItems<'a> {
    let mut merged = MergedItems::new();
    for source in sources {
        let (table, errors) = DeTable::parse_recoverable(&source.text);
        for error in &errors {
            let offset = error.span().map_or(0, |span| span.start);
            findings.report(source.location(offset), error.message().to_owned());
        }
        // A file with syntax errors is left out of the merge: its partial content would cause
        // misleading follow-up mistakes.
        if errors.is_empty() {
            merge_file(source, table.into_inner(), &mut merged, findings);
        }
    }
    merged
}

fn merge_file<'a>(
    source: &'a SourceFile,
    table: DeTable<'a>,
    merged: &mut MergedItems<'a>,
    findings: &mut Findings,
) {
    for (key, value) in table {
        let section = Section::ALL
            .into_iter()
            .find(|s| s.table_name() == key.get_ref().as_ref());
        let Some(section) = section else {
            let known = Section::ALL.map(Section::table_name);
            let name = key.get_ref();
            let hint = suggestion(name, &known);
            let text = format!(
                "unknown table `{name}`{hint}; there are {}",
                known.join(", ")
            );
            findings.report(source.location(key.span().start), text);
            continue;
        };
        let description = section.table_name();
        let Some(items) = expect_table(source, value, description, findings) else {
            continue;
        };
        for (name, item) in items {
            let id = (section, name.get_ref().to_string());
            let description = format!("{} `{}`", section.noun(), name.get_ref());
            let location = source.location(name.span().start);
            let Some(fields) = expect_table(source, item, &description, findings) else {
                continue;
            };
            if !merged.contains_key(&id) {
                findings.set_item_location(id.clone(), location);
            }
            let settings = merged.entry(id).or_default();
            for (field, value) in fields {
                let key_span = field.span();
                let name = field.into_inner().into_owned();
                settings.insert(
                    name,
                    FieldValue {
                        source,
                        key_span,
                        value,
                    },
                );
            }
        }
    }
}

fn expect_table<'a>(
    source: &SourceFile,
    value: Spanned<DeValue<'a>>,
    description: &str,
    findings: &mut Findings,
) -> Option<DeTable<'a>> {
    let offset = value.span().start;
    match value.into_inner() {
        DeValue::Table(table) => Some(table),
        other => {
            let text = format!("{description} must be a table, not a {}", other.type_str());
            findings.report(source.location(offset), text);
            None
        }
    }
}
