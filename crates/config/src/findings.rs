//! Mistakes in the operators' files, and the locations of items and fields that they refer to.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::location::FileLocation;

/// A mistake in the operators' files.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Mistake {
    /// Location of the mistake.
    pub location: FileLocation,
    /// What is wrong and, where it is known, how to fix it.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.text)
    }
}

/// Section of the catalog: a top-level table that holds items of one kind.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Section {
    Models,
    Adapters,
    Workspaces,
    Keys,
    Upstreams,
    Routes,
}

impl Section {
    pub(crate) const ALL: [Self; 6] = [
        Self::Models,
        Self::Adapters,
        Self::Workspaces,
        Self::Keys,
        Self::Upstreams,
        Self::Routes,
    ];

    /// Name of the top-level table in the files.
    pub(crate) fn table_name(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::Workspaces => "workspaces",
            Self::Keys => "keys",
            Self::Upstreams => "upstreams",
            Self::Routes => "routes",
        }
    }

    /// Singular noun for an item of the section, used in messages.
    pub(crate) fn noun(self) -> &'static str {
        match self {
            Self::Models => "model",
            Self::Adapters => "adapter",
            Self::Workspaces => "workspace",
            Self::Keys => "key",
            Self::Upstreams => "upstream",
            Self::Routes => "route",
        }
    }
}

/// Identifies an item of the catalog: its section and its name.
pub(crate) type ItemId = (Section, String);

/// The mistakes found so far, with the locations of items and fields for further ones.
#[derive(Default)]
pub(crate) struct Findings {
    item_locations: BTreeMap<ItemId, FileLocation>,
    field_locations: BTreeMap<(ItemId, &'static str), FileLocation>,
    /// Fields that hold a fallback value because they are missing or could not be read.
    unreadable_fields: BTreeSet<(ItemId, &'static str)>,
    mistakes: Vec<Mistake>,
}

impl Findings {
    pub(crate) fn set_item_location(&mut self, id: ItemId, location: FileLocation) {
        self.item_locations.insert(id, location);
    }

    pub(crate) fn set_field_location(
        &mut self,
        id: ItemId,
        field: &'static str,
        location: FileLocation,
    ) {
        self.field_locations.insert((id, field), location);
    }

    pub(crate) fn mark_unreadable(&mut self, id: ItemId, field: &'static str) {
        self.unreadable_fields.insert((id, field));
    }

    /// Adds a mistake at a location.
    pub(crate) fn report(&mut self, location: FileLocation, text: String) {
        self.mistakes.push(Mistake { location, text });
    }

    /// Adds a mistake about an item as a whole. The message is `text` after the item's kind and
    /// name. Does nothing for an item that no file declares.
    pub(crate) fn report_item(&mut self, section: Section, name: &str, text: &str) {
        let Some(location) = self
            .item_locations
            .get(&(section, name.to_owned()))
            .cloned()
        else {
            return;
        };
        self.report(location, format!("{} `{name}` {text}", section.noun()));
    }

    /// Adds a mistake about a field. Does nothing if the field is missing or could not be read,
    /// since that has been reported already.
    pub(crate) fn report_field(
        &mut self,
        section: Section,
        name: &str,
        field: &'static str,
        text: &str,
    ) {
        let id = ((section, name.to_owned()), field);
        if self.unreadable_fields.contains(&id) {
            return;
        }
        match self.field_locations.get(&id).cloned() {
            Some(location) => self.report(location, format!("{} `{name}` {text}", section.noun())),
            None => self.report_item(section, name, text),
        }
    }

    /// Location of an item, formatted for a message about another item.
    pub(crate) fn item_location(&self, section: Section, name: &str) -> String {
        let location = self.item_locations.get(&(section, name.to_owned()));
        location.map_or_else(|| "elsewhere".to_owned(), ToString::to_string)
    }

    /// All mistakes without duplicates, sorted by file and position.
    pub(crate) fn into_mistakes(mut self) -> Vec<Mistake> {
        self.mistakes.sort();
        self.mistakes.dedup();
        self.mistakes
    }
}
