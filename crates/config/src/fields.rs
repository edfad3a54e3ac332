//! Reading the fields of one item, and going on after a mistake.

use std::{collections::BTreeMap, ops::Range};

use serde::Deserialize;
use toml::{
    Spanned,
    de::{DeValue, ValueDeserializer},
};

use crate::{
    findings::{Findings, ItemId},
    source_file::Source,
};

/// The value of a field with its origin.
#[derive(Clone, Debug)]
pub(crate) struct FieldValue<'a> {
    pub(crate) source: &'a Source,
    pub(crate) key: Range<usize>,
    pub(crate) value: Spanned<DeValue<'a>>,
}

/// Takes the fields of one item one by one.
pub(crate) struct Fields<'a, 'f> {
    id: ItemId,
    values: BTreeMap<String, FieldValue<'a>>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'a, 'f> Fields<'a, 'f> {
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

    /// Takes a field that may be left out.
    pub(crate) fn optional<T>(&mut self, name: &'static str, default: T) -> T
    where
        T: Deserialize<'a>,
    {
        self.known.push(name);
        let Some(field) = self.values.remove(name) else {
            return default;
        };
        let place = field.source.place(field.value.span().start);
        let id = self.id.clone();
        self.findings.locate_field(id, name, place.clone());
        match T::deserialize(ValueDeserializer::from(field.value)) {
            Ok(value) => value,
            Err(e) => {
                self.findings.mark_broken(self.id.clone(), name);
                let text = format!("{}: `{name}`: {}", self.label(), e.message());
                self.findings.add(place, text);
                default
            }
        }
    }

    /// Takes a field that must be there. After a mistake, which is reported, the check goes on
    /// with `stand_in`.
    pub(crate) fn required<T>(&mut self, name: &'static str, stand_in: T) -> T
    where
        T: Deserialize<'a>,
    {
        if !self.values.contains_key(name) {
            let (section, item) = self.id.clone();
            let text = format!("has no `{name}`");
            self.findings.add_to_item(section, &item, &text);
            self.findings.mark_broken(self.id.clone(), name);
        }
        self.optional(name, stand_in)
    }

    /// Reports the fields that were not taken.
    pub(crate) fn finish(self) {
        let label = self.label();
        for (name, field) in self.values {
            let hint = suggestion(&name, &self.known);
            let text = format!("{label} has an unknown setting `{name}`{hint}");
            let place = field.source.place(field.key.start);
            self.findings.add(place, text);
        }
    }

    fn label(&self) -> String {
        let (section, name) = &self.id;
        format!("{} `{name}`", section.item())
    }
}

/// `; did you mean ...?` with the known name that is most alike, if it is alike enough.
pub(crate) fn suggestion(name: &str, known: &[&str]) -> String {
    /// Similarity from which on a name is suggested, of 1.
    const ALIKE: f64 = 0.8;
    let similarity = |other: &str| strsim::jaro_winkler(name, other);
    known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|best| similarity(best) >= ALIKE)
        .map_or_else(String::new, |best| format!("; did you mean `{best}`?"))
}
