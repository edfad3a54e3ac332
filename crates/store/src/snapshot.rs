//! Snapshot of the catalog with an index of the API keys.

use std::collections::HashMap;

use comfreyweir_config::{
    catalog::Catalog,
    keys::{self, KeyHash},
};

/// A catalog at one revision, with the index of its API keys.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of the revision; zero while there is no configuration.
    pub revision: u64,
    /// Catalog as the operators declared it.
    pub catalog: Catalog,
    keys: HashMap<KeyHash, KeyOwner>,
}

/// Workspace that a key authenticates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Identifier of the key, for logs.
    pub id: String,
    /// Workspace of the key.
    pub workspace: String,
    /// Whether the key has been withdrawn or its workspace does not exist.
    pub withdrawn: bool,
}

/// Why a key is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// No such key.
    Unknown,
    /// The key has been withdrawn.
    Withdrawn,
}

impl Snapshot {
    /// Creates a snapshot and builds the index of its keys.
    pub fn new(revision: u64, catalog: Catalog) -> Self {
        let keys = index_keys(&catalog);
        Self {
            revision,
            catalog,
            keys,
        }
    }

    /// Returns the owner of a valid key. The cost does not depend on the number of keys.
    ///
    /// A queued request keeps the hash of its key and is checked again before it is sent, because
    /// the key may have been withdrawn in the meantime.
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
        // Validation of the configuration folder refuses malformed hashes; one that was written
        // another way authenticates nothing.
        let Some(hash) = keys::parse_hash(&key.sha256) else {
            continue;
        };
        let known = catalog.workspaces.contains_key(&key.workspace);
        let owner = KeyOwner {
            id: id.clone(),
            workspace: key.workspace.clone(),
            withdrawn: key.withdrawn || !known,
        };
        // If two entries have the same hash, the withdrawn one takes precedence.
        let entry = index.entry(hash).or_insert_with(|| owner.clone());
        if owner.withdrawn {
            *entry = owner;
        }
    }
    index
}
