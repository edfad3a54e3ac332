//! A catalog at one revision.

use std::collections::HashMap;

use comfreyweir_config::{
    catalog::Catalog,
    keys::{self, KeyHash},
};

/// A catalog at one revision, with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision; zero stands for no configuration at all.
    pub revision: u64,
    /// What the operators declared.
    pub catalog: Catalog,
    keys: HashMap<KeyHash, KeyOwner>,
}

/// Whom a key authenticates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Identifier of the key, for logs.
    pub id: String,
    /// Workspace of the key.
    pub workspace: String,
    /// Whether the key has been withdrawn.
    pub withdrawn: bool,
}

/// Why a key admits nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// No such key.
    Unknown,
    /// The key has been withdrawn.
    Withdrawn,
}

impl Snapshot {
    /// Indexes a catalog.
    pub fn new(revision: u64, catalog: Catalog) -> Self {
        let keys = index_keys(&catalog);
        Self {
            revision,
            catalog,
            keys,
        }
    }

    /// Owner of a valid key. Takes the same time however many keys there are.
    ///
    /// A request that waits keeps its hash and is checked again before it is sent, because the
    /// key may have been withdrawn meanwhile.
    pub fn owner(&self, hash: &KeyHash) -> Result<&KeyOwner, KeyRefusal> {
        let owner = self.keys.get(hash).ok_or(KeyRefusal::Unknown)?;
        if owner.withdrawn {
            return Err(KeyRefusal::Withdrawn);
        }
        Ok(owner)
    }
}

fn index_keys(catalog: &Catalog) -> HashMap<KeyHash, KeyOwner> {
    let mut index: HashMap<KeyHash, KeyOwner> = HashMap::with_capacity(catalog.keys.len());
    for (id, key) in &catalog.keys {
        // The check of the folder refuses other texts; one that came another way admits nothing.
        let Some(hash) = keys::parse_hash(&key.sha256) else {
            continue;
        };
        let known = catalog.workspaces.contains_key(&key.workspace);
        let owner = KeyOwner {
            id: id.clone(),
            workspace: key.workspace.clone(),
            withdrawn: key.withdrawn || !known,
        };
        // Of two entries with one hash the withdrawn one counts.
        let entry = index.entry(hash).or_insert_with(|| owner.clone());
        if owner.withdrawn {
            *entry = owner;
        }
    }
    index
}
