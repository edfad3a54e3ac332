//! Reads the fields of one item, and continues after a mistake.

use std::{collections::BTreeMap, ops::Range};

use serde::Deserialize;
use toml::{
    Spanned,
    de::{DeValue, ValueDeserializer},
};

use crate::{
    findings::{Findings, ItemId},
    source_file::SourceFile,
};

/// The value of a field with the file it comes from.
#[derive(Clone, Debug)]
pub(crate) struct FieldValue<'a> {
    pub(crate) source: &'a SourceFile,
    /// Byte range of the key in the file.
    pub(crate) key_span: Range<usize>,
    pub(crate) value: Spanned<DeValue<'a>>,
}

/// Reads the fields of one item one by one, and records which names have been asked for.
///
/// Call [`FieldReader::report_unknown`] after the last field.
pub(crate) struct FieldReader<'a, 'f> {
    id: ItemId,
    values: BTreeMap<String, FieldValue<'a>>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'a, 'f> FieldReader<'a, 'f> {
    pub(crate) fn new(
        id: ItemId,
        values: BTreeMap<String, FieldValue<'a>>,
        findings: &'f mut Findings,
    ) -> Self {
        Self {
            id,
            values,
            known: Vec::new(),
            findings,
        }
    }

    /// Removes and deserializes a field. Returns `default` if the field is missing, or if it
    /// cannot be read, which is reported.
    pub(crate) fn optional<T>(&mut self, name: &'static str, default: T) -> T
    where
        T: Deserialize<'a>,
    {
        self.known.push(name);
        let Some(field) = self.values.remove(name) else {
            return default;
        };
        let location = field.source.location(field.value.span().start);
        let id = self.id.clone();
        self.findings.set_field_location(id, name, location.clone());
        match T::deserialize(ValueDeserializer::from(field.value)) {
            Ok(value) => value,
            Err(e) => {
                self.findings.mark_unreadable(self.id.clone(), name);
                let text = format!("{}: `{name}`: {}", self.label(), e.message());
                self.findings.report(location, text);
                default
            }
        }
    }

    /// Like [`FieldReader::optional`], but also reports a missing field. `fallback` then takes its
    /// place, so that the checks of the catalog can continue.
    pub(crate) fn required<T>(&mut self, name: &'static str, fallback: T) -> T
    where
        T: Deserialize<'a>,
    {
        if !self.values.contains_key(name) {
            let (section, item) = self.id.clone();
            let text = format!("has no `{name}`");
            self.findings.report_item(section, &item, &text);
            self.findings.mark_unreadable(self.id.clone(), name);
        }
        self.optional(name, fallback)
    }

    /// Reports the fields that were not asked for as unknown settings.
    pub(crate) fn report_unknown(self) {
        let label = self.label();
        for (name, field) in self.values {
            let hint = suggestion(&name, &self.known);
            let text = format!("{label} has an unknown setting `{name}`{hint}");
            let location = field.source.location(field.key_span.start);
            self.findings.report(location, text);
        }
    }

    fn label(&self) -> String {
        let (section, name) = &self.id;
        format!("{} `{name}`", section.noun())
    }
}

/// Returns `; did you mean ...?` with the known name that is most similar to `name`, or an empty
/// text if none is similar enough.
pub(crate) fn suggestion(name: &str, known: &[&str]) -> String {
    /// Minimum Jaro-Winkler similarity of a suggested name, between 0 and 1.
    const MIN_SIMILARITY: f64 = 0.8;
    let similarity = |other: &str| strsim::jaro_winkler(name, other);
    known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|best| similarity(best) >= MIN_SIMILARITY)
        .map_or_else(String::new, |best| format!("; did you mean `{best}`?"))
}
