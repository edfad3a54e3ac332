//! How a catalog is cut into chunks.
//!
//! Items are spread over buckets by the hash of their name, so that a change of one item rewrites
//! one chunk whatever the size of the catalog. A chunk is stored under the hash of its content.
//! The content includes a salt, so that a chunk which has been emptied after its last use is
//! never needed again under the same name.

use std::collections::BTreeMap;

use bytes::Bytes;
use comfreyweir_config::catalog::Catalog;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

/// Key of the root record.
pub const ROOT_KEY: &str = "config/root";
/// Average size of a chunk that the number of buckets aims at, in bytes.
const TARGET_CHUNK_BYTES: usize = 20 << 10;
/// Largest number of buckets; keeps the root record within one value of the service.
const MAX_BUCKETS: usize = 4096;
/// Writes that the root record remembers, so that a publisher whose answer was lost finds its
/// write although others have written since.
pub(crate) const REMEMBERED_WRITES: usize = 32;

/// The root record: one revision of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Root {
    /// Revision; only rises.
    pub revision: u64,
    /// Hash of the chunk of each bucket.
    pub chunks: Vec<String>,
    /// Hashes of chunks that the revision before used and this one does not. They are kept for
    /// processes that are still reading that revision, and emptied with the next one.
    #[serde(default)]
    pub retired: Vec<String>,
    /// The latest writes with the revisions they made, oldest first.
    pub writes: Vec<Write>,
}

/// A write of the root record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Write {
    /// Identifier of the write.
    pub id: String,
    /// Revision that it made.
    pub revision: u64,
}

impl Root {
    /// Revision that a write made, if it is among the latest ones.
    pub fn revision_of(&self, write_id: &str) -> Option<u64> {
        self.writes
            .iter()
            .find(|w| w.id == write_id)
            .map(|w| w.revision)
    }
}

/// Content of a chunk.
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

/// Encodes the part of one bucket.
pub(crate) fn encode(part: &Catalog, salt: &str) -> Result<Bytes, serde_json::Error> {
    let chunk = Chunk {
        salt: salt.to_owned(),
        part: part.clone(),
    };
    serde_json::to_vec(&chunk).map(Bytes::from)
}

/// Decodes a chunk.
pub(crate) fn decode(content: &[u8]) -> Result<Catalog, serde_json::Error> {
    serde_json::from_slice::<Chunk>(content).map(|c| c.part)
}

/// Number of buckets for a catalog that was stored in `before` buckets.
///
/// Hysteresis keeps a catalog near a limit from being rewritten as a whole by every change.
pub(crate) fn bucket_count(catalog_bytes: usize, before: usize) -> usize {
    let ideal = (catalog_bytes / TARGET_CHUNK_BYTES + 1)
        .next_power_of_two()
        .min(MAX_BUCKETS);
    let near = before >= ideal / 2 && before <= ideal * 2;
    if before > 0 && near { before } else { ideal }
}

/// Cuts a catalog into the parts of its buckets.
pub(crate) fn split(catalog: &Catalog, buckets: usize) -> Vec<Catalog> {
    let mut parts = vec![Catalog::default(); buckets];
    spread(&catalog.models, "models", &mut parts, |p| &mut p.models);
    spread(&catalog.adapters, "adapters", &mut parts, |p| {
        &mut p.adapters
    });
    spread(&catalog.workspaces, "workspaces", &mut parts, |p| {
        &mut p.workspaces
    });
    spread(&catalog.keys, "keys", &mut parts, |p| &mut p.keys);
    spread(&catalog.upstreams, "upstreams", &mut parts, |p| {
        &mut p.upstreams
    });
    spread(&catalog.routes, "routes", &mut parts, |p| &mut p.routes);
    parts
}

/// Joins the parts of all buckets.
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

fn spread<T, F>(items: &BTreeMap<String, T>, section: &str, parts: &mut [Catalog], field: F)
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
    let head = u16::from_be_bytes([digest[0], digest[1]]);
    usize::from(head) % buckets
}
