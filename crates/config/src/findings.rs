//! Mistakes in the operators' files, and where they are.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::location::Place;

/// A mistake.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Mistake {
    /// Where it is.
    pub place: Place,
    /// What is wrong and what to do.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Part of the catalog.
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

    /// Name of the table in the files.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::Workspaces => "workspaces",
            Self::Keys => "keys",
            Self::Upstreams => "upstreams",
            Self::Routes => "routes",
        }
    }

    /// What one item is called.
    pub(crate) fn item(self) -> &'static str {
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

/// An item of the catalog.
pub(crate) type ItemId = (Section, String);

/// Places of the items and their fields, and the mistakes found so far.
#[derive(Default)]
pub(crate) struct Findings {
    items: BTreeMap<ItemId, Place>,
    fields: BTreeMap<(ItemId, &'static str), Place>,
    /// Fields that hold a stand-in, because their value could not be read.
    broken: BTreeSet<(ItemId, &'static str)>,
    mistakes: Vec<Mistake>,
}

impl Findings {
    pub(crate) fn locate_item(&mut self, id: ItemId, place: Place) {
        self.items.insert(id, place);
    }

    pub(crate) fn locate_field(&mut self, id: ItemId, field: &'static str, place: Place) {
        self.fields.insert((id, field), place);
    }

    pub(crate) fn mark_broken(&mut self, id: ItemId, field: &'static str) {
        self.broken.insert((id, field));
    }

    /// Adds a mistake at a place.
    pub(crate) fn add(&mut self, place: Place, text: String) {
        self.mistakes.push(Mistake { place, text });
    }

    /// Adds a mistake about an item as a whole.
    pub(crate) fn add_to_item(&mut self, section: Section, name: &str, text: &str) {
        let Some(place) = self.items.get(&(section, name.to_owned())).cloned() else {
            return;
        };
        self.add(place, format!("{} `{name}` {text}", section.item()));
    }

    /// Adds a mistake about a field, unless the field could not be read and has its mistake.
    pub(crate) fn add_to_field(
        &mut self,
        section: Section,
        name: &str,
        field: &'static str,
        text: &str,
    ) {
        let id = ((section, name.to_owned()), field);
        if self.broken.contains(&id) {
            return;
        }
        match self.fields.get(&id).cloned() {
            Some(place) => self.add(place, format!("{} `{name}` {text}", section.item())),
            None => self.add_to_item(section, name, text),
        }
    }

    /// Place of an item for messages about another one.
    pub(crate) fn item_place(&self, section: Section, name: &str) -> String {
        let place = self.items.get(&(section, name.to_owned()));
        place.map_or_else(|| "elsewhere".to_owned(), ToString::to_string)
    }

    /// All mistakes in the order of the files.
    pub(crate) fn into_mistakes(mut self) -> Vec<Mistake> {
        self.mistakes.sort();
        self.mistakes.dedup();
        self.mistakes
    }
}
