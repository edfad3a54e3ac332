//! Publishing a catalog: chunks first, the root record last.

mod chunks;
mod root;

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::kv::{self, Kv, Recorded, Version};
use snafu::{OptionExt, ResultExt, ensure};

use self::{
    chunks::{dropped, empty_chunks, write_chunks},
    root::{RootOutcome, swap_root},
};
use crate::{
    chunk::{self, REMEMBERED_WRITES, ROOT_KEY, Root, Write},
    error::{
        ChunkSnafu, ConflictSnafu, DecodeSnafu, PublishError, ReadError, ServiceSnafu,
        UnreadableSnafu,
    },
    snapshot::Snapshot,
};

/// Times that a write is tried.
const TRIES: usize = 5;
/// Bytes of a write identifier.
const WRITE_ID_BYTES: usize = 16;

/// A catalog that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Its revision.
    pub revision: u64,
    /// Chunks that were written for it.
    pub chunks_written: usize,
}

/// Creates the identifier of a write.
pub fn new_write_id() -> String {
    comfreyweir_config::keys::hex(&rand::random::<[u8; WRITE_ID_BYTES]>())
}

/// Publishes a catalog over revision `base`, which is zero when there is none yet.
///
/// The catalog is accepted when the root record has been swapped, and only then. Call again with
/// the same `write_id` after [`PublishError::Unknown`]: a write that took effect is found, and
/// never made twice.
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
    publish_over(kv, catalog, (version, &current), base + 1, write_id).await
}

/// Publishes a catalog over whatever the service holds, at a revision above both that and
/// `above`. For a service that has lost revisions.
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
    publish_over(kv, catalog, (version, &current), revision, write_id).await
}

/// Reads the revision that is in force.
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

/// Reads the root record with the version of its key.
pub async fn read_root<K>(kv: &K) -> Result<Option<(Version, Root)>, ReadError>
where
    K: Kv,
{
    let found = kv::get_recorded::<K, Root>(kv, ROOT_KEY)
        .await
        .context(ServiceSnafu)?;
    Ok(found.map(|(version, record)| (version, record.body)))
}

async fn read_parts<K>(kv: &K, root: &Root) -> Result<Vec<Catalog>, ReadError>
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

async fn publish_over<K>(
    kv: &K,
    catalog: &Catalog,
    (version, current): (Version, &Root),
    revision: u64,
    write_id: &str,
) -> Result<Published, PublishError>
where
    K: Kv,
{
    // A salt of its own for each try: chunks of an earlier try may have been emptied.
    let (chunks, written) = write_chunks(kv, catalog, current, &new_write_id()).await?;
    let mut writes = current.writes.clone();
    writes.push(Write {
        id: write_id.to_owned(),
        revision,
    });
    let surplus = writes.len().saturating_sub(REMEMBERED_WRITES);
    writes.drain(..surplus);
    let record = Recorded {
        write_id: write_id.to_owned(),
        body: Root {
            revision,
            retired: dropped(&current.chunks, &chunks),
            chunks,
            writes,
        },
    };
    match swap_root(kv, version, &record).await? {
        RootOutcome::Accepted => {
            empty_chunks(kv, &current.retired).await;
            Ok(Published {
                revision,
                chunks_written: written,
            })
        }
        RootOutcome::Overtaken(now) => {
            let written = dropped(&record.body.chunks, &current.chunks);
            empty_chunks(kv, &dropped(&written, &now.chunks)).await;
            ConflictSnafu {
                base: current.revision,
                current: now.revision,
            }
            .fail()
        }
    }
}

async fn pause() {
    /// Pause between two tries of a write.
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);
    actix_rt::time::sleep(PAUSE).await;
}
