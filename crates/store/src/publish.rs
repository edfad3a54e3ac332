//! Publishes a catalog: writes its chunks first and the root record last.

mod chunks;
mod root;

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::kv::{self, Kv, RecordedValue, Version};
use snafu::{OptionExt, ResultExt, ensure};

use self::{
    chunks::{difference, empty_chunks, write_chunks},
    root::{RootOutcome, swap_root},
};
use crate::{
    chunk::{self, REMEMBERED_WRITES, ROOT_KEY, RootRecord, RootWrite},
    error::{
        ChunkSnafu, ConflictSnafu, DecodeSnafu, PublishError, ReadError, ServiceSnafu,
        UnreadableSnafu,
    },
    snapshot::Snapshot,
};

/// Attempts of one write to the key-value service, the first one included.
const WRITE_ATTEMPTS: usize = 5;
/// Size of a write identifier in bytes, before it is encoded as hexadecimal.
const WRITE_ID_BYTES: usize = 16;

/// Result of an accepted publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Revision under which the catalog is in force.
    pub revision: u64,
    /// Number of chunks that were written; unchanged chunks are reused.
    pub chunks_written: usize,
}

/// Returns a random identifier by which a write is recognized when it is retried.
pub fn new_write_id() -> String {
    comfreyweir_config::keys::hex(&rand::random::<[u8; WRITE_ID_BYTES]>())
}

/// Publishes a catalog over revision `base`, which is zero when there is none yet.
///
/// The catalog is in force once the root record has been swapped, and not before. After
/// [`PublishError::Unknown`], call again with the same `write_id`: a write that took effect is
/// recognized and not repeated.
pub async fn publish<K>(
    kv: &K,
    catalog: &Catalog,
    base: u64,
    write_id: &str,
) -> Result<Published, PublishError>
where
    K: Kv,
{
    let found = read_root(kv).await.context(UnreadableSnafu)?;
    let (version, current) = found.unwrap_or_default();
    if let Some(revision) = current.revision_of(write_id) {
        return Ok(Published {
            revision,
            chunks_written: 0,
        });
    }
    ensure!(
        current.revision == base,
        ConflictSnafu {
            base,
            current: current.revision
        }
    );
    write_revision(kv, catalog, (version, &current), base + 1, write_id).await
}

/// Publishes a catalog without a check of the revision in force. The new revision is higher than
/// both the stored one and `above`. Meant for a key-value service that has lost revisions.
pub async fn overwrite<K>(
    kv: &K,
    catalog: &Catalog,
    above: u64,
    write_id: &str,
) -> Result<Published, PublishError>
where
    K: Kv,
{
    let found = read_root(kv).await.context(UnreadableSnafu)?;
    let (version, current) = found.unwrap_or_default();
    let revision = current.revision.max(above) + 1;
    write_revision(kv, catalog, (version, &current), revision, write_id).await
}

/// Reads the revision in force from the service; the default snapshot when there is none.
pub async fn read<K>(kv: &K) -> Result<Snapshot, ReadError>
where
    K: Kv,
{
    let Some((_, root)) = read_root(kv).await? else {
        return Ok(Snapshot::default());
    };
    let parts = read_parts(kv, &root).await?;
    Ok(Snapshot::new(root.revision, chunk::join(&parts)))
}

/// Reads the root record and the version of its key; `None` when nothing was published yet.
pub async fn read_root<K>(kv: &K) -> Result<Option<(Version, RootRecord)>, ReadError>
where
    K: Kv,
{
    let found = kv::get_recorded::<K, RootRecord>(kv, ROOT_KEY)
        .await
        .context(ServiceSnafu)?;
    Ok(found.map(|(version, record)| (version, record.body)))
}

async fn read_parts<K>(kv: &K, root: &RootRecord) -> Result<Vec<Catalog>, ReadError>
where
    K: Kv,
{
    let mut parts = Vec::with_capacity(root.chunks.len());
    for hash in &root.chunks {
        let found = kv
            .get(&chunk::chunk_key(hash))
            .await
            .context(ServiceSnafu)?;
        let content = found
            .map(|f| f.value)
            .filter(|c| chunk::content_hash(c) == *hash)
            .context(ChunkSnafu {
                revision: root.revision,
                hash,
            })?;
        parts.push(chunk::decode(&content).context(DecodeSnafu)?);
    }
    Ok(parts)
}

async fn write_revision<K>(
    kv: &K,
    catalog: &Catalog,
    (version, current): (Version, &RootRecord),
    revision: u64,
    write_id: &str,
) -> Result<Published, PublishError>
where
    K: Kv,
{
    // Each attempt uses a new salt, because chunks of an earlier attempt may have been emptied.
    let (chunks, written_count) = write_chunks(kv, catalog, current, &new_write_id()).await?;
    let mut writes = current.writes.clone();
    writes.push(RootWrite {
        id: write_id.to_owned(),
        revision,
    });
    let excess_writes = writes.len().saturating_sub(REMEMBERED_WRITES);
    writes.drain(..excess_writes);
    let record = RecordedValue {
        write_id: write_id.to_owned(),
        body: RootRecord {
            revision,
            retired: difference(&current.chunks, &chunks),
            chunks,
            writes,
        },
    };
    match swap_root(kv, version, &record).await? {
        RootOutcome::Accepted => {
            empty_chunks(kv, &current.retired).await;
            Ok(Published {
                revision,
                chunks_written: written_count,
            })
        }
        RootOutcome::Superseded(newer) => {
            let new_chunks = difference(&record.body.chunks, &current.chunks);
            empty_chunks(kv, &difference(&new_chunks, &newer.chunks)).await;
            ConflictSnafu {
                base: current.revision,
                current: newer.revision,
            }
            .fail()
        }
    }
}

async fn retry_pause() {
    /// Pause between two attempts of a write.
    const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);
    actix_rt::time::sleep(RETRY_PAUSE).await;
}
