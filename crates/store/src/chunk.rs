//! Splits a catalog into content-addressed chunks.
//!
//! Items are assigned to buckets by the hash of their section and name, so that a change to one
//! item rewrites one chunk regardless of the size of the catalog. A chunk is stored under the hash
//! of its content. The content includes a salt, so that a chunk that was emptied after its last use
//! is never needed again under the same key.

use std::collections::BTreeMap;

use bytes::Bytes;
use comfreyweir_config::catalog::Catalog;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

/// Key of the root record.
pub const ROOT_KEY: &str = "config/root";
/// Target of the average chunk size in bytes; determines the number of buckets.
const TARGET_CHUNK_BYTES: usize = 20 << 10;
/// Largest number of buckets; keeps the root record within one value of the service.
const MAX_BUCKETS: usize = 4096;
/// Number of writes that the root record lists, so that a publisher whose answer was lost finds its
/// write even after later writes.
pub(crate) const REMEMBERED_WRITES: usize = 32;

/// The root record: one revision of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootRecord {
    /// Number of the revision; never decreases.
    pub revision: u64,
    /// Hashes of the chunks, in bucket order.
    pub chunks: Vec<String>,
    /// Hashes of chunks that the previous revision used and this one does not. They are kept for
    /// processes that are still reading the previous revision, and emptied after the next write.
    #[serde(default)]
    pub retired: Vec<String>,
    /// The latest writes and their revisions, oldest first.
    pub writes: Vec<RootWrite>,
}

/// A write of the root record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootWrite {
    /// Identifier that the publisher chose; the same for all retries.
    pub id: String,
    /// Revision that the write created.
    pub revision: u64,
}

impl RootRecord {
    /// Revision that a write created; `None` if it is not among the latest writes.
    pub fn revision_of(&self, write_id: &str) -> Option<u64> {
        self.writes
            .iter()
            .find(|w| w.id == write_id)
            .map(|w| w.revision)
    }
}

/// Stored form of a chunk.
#[derive(Deserialize, Serialize)]
struct Chunk {
    salt: String,
    part: Catalog,
}

/// Key of a chunk in the service.
pub fn chunk_key(hash: &str) -> String {
    format!("config/chunk/{hash}")
}

/// Hash of the content of a chunk, in lower-case hexadecimal.
pub fn content_hash(content: &[u8]) -> String {
    comfreyweir_config::keys::hex(&Sha256::digest(content))
}

pub(crate) fn encode(part: &Catalog, salt: &str) -> Result<Bytes, serde_json::Error> {
    let chunk = Chunk {
        salt: salt.to_owned(),
        part: part.clone(),
    };
    serde_json::to_vec(&chunk).map(Bytes::from)
}

pub(crate) fn decode(content: &[u8]) -> Result<Catalog, serde_json::Error> {
    serde_json::from_slice::<Chunk>(content).map(|c| c.part)
}

/// Number of buckets for a catalog that is stored in `current` buckets; zero means not
/// stored yet.
///
/// The current number is kept while it is within a factor of two of the ideal one, so that a
/// catalog whose size is near a threshold is not rewritten as a whole with every change.
pub(crate) fn bucket_count(catalog_bytes: usize, current: usize) -> usize {
    let ideal = (catalog_bytes / TARGET_CHUNK_BYTES + 1)
        .next_power_of_two()
        .min(MAX_BUCKETS);
    let is_near = current >= ideal / 2 && current <= ideal * 2;
    if current > 0 && is_near {
        current
    } else {
        ideal
    }
}

/// Splits a catalog into one part per bucket.
pub(crate) fn split(catalog: &Catalog, buckets: usize) -> Vec<Catalog> {
    let mut parts = vec![Catalog::default(); buckets];
    distribute(&catalog.models, "models", &mut parts, |p| &mut p.models);
    distribute(&catalog.adapters, "adapters", &mut parts, |p| {
        &mut p.adapters
    });
    distribute(&catalog.workspaces, "workspaces", &mut parts, |p| {
        &mut p.workspaces
    });
    distribute(&catalog.keys, "keys", &mut parts, |p| &mut p.keys);
    distribute(&catalog.upstreams, "upstreams", &mut parts, |p| {
        &mut p.upstreams
    });
    distribute(&catalog.routes, "routes", &mut parts, |p| &mut p.routes);
    parts
}

/// Merges the parts of all buckets into one catalog.
pub(crate) fn join<'a, I>(parts: I) -> Catalog
where
    I: IntoIterator<Item = &'a Catalog>,
{
    let mut catalog = Catalog::default();
    for part in parts {
        catalog.models.extend(part.models.clone());
        catalog.adapters.extend(part.adapters.clone());
        catalog.workspaces.extend(part.workspaces.clone());
        catalog.keys.extend(part.keys.clone());
        catalog.upstreams.extend(part.upstreams.clone());
        catalog.routes.extend(part.routes.clone());
    }
    catalog
}

fn distribute<T, F>(items: &BTreeMap<String, T>, section: &str, parts: &mut [Catalog], field: F)
where
    T: Clone + DeserializeOwned,
    F: Fn(&mut Catalog) -> &mut BTreeMap<String, T>,
{
    for (name, item) in items {
        let bucket = bucket_of(section, name, parts.len());
        field(&mut parts[bucket]).insert(name.clone(), item.clone());
    }
}

fn bucket_of(section: &str, name: &str, buckets: usize) -> usize {
    let digest = Sha256::digest(format!("{section}/{name}"));
    let prefix = u16::from_be_bytes([digest[0], digest[1]]);
    usize::from(prefix) % buckets
}
