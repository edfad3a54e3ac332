//! Publishing a catalog: chunks first, the root record last.

use comfreyweir_config::catalog::Catalog;
use comfreyweir_platform::{
    kv::{self, Kv, KvError, Recorded, Swap, Version},
    kv_http::MAX_VALUE_BYTES,
};
use snafu::{OptionExt, ResultExt, ensure};

use crate::{
    chunk::{self, REMEMBERED_WRITES, ROOT_KEY, Root, Write},
    error::{
        ChunkSnafu, ConflictSnafu, DecodeSnafu, NotAcceptedSnafu, PublishError, ReadError,
        ServiceSnafu, TooLargeSnafu, UnknownSnafu, UnreadableSnafu,
    },
    snapshot::Snapshot,
};

/// Times that a root swap with an unknown outcome is tried again.
const ROOT_TRIES: usize = 5;
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

/// Writes the chunks that differ from those of the current revision.
async fn write_chunks<K>(
    kv: &K,
    catalog: &Catalog,
    current: &Root,
    salt: &str,
) -> Result<(Vec<String>, usize), PublishError>
where
    K: Kv,
{
    let bytes = encoded(catalog, salt)?.len();
    let buckets = chunk::bucket_count(bytes, current.chunks.len());
    let before = if buckets == current.chunks.len() {
        read_parts(kv, current).await.unwrap_or_default()
    } else {
        Vec::new()
    };
    let mut hashes = Vec::with_capacity(buckets);
    let mut written = 0;
    for (bucket, part) in chunk::split(catalog, buckets).iter().enumerate() {
        if before.get(bucket) == Some(part) {
            hashes.push(current.chunks[bucket].clone());
            continue;
        }
        hashes.push(write_chunk(kv, part, salt).await?);
        written += 1;
    }
    Ok((hashes, written))
}

async fn write_chunk<K>(kv: &K, part: &Catalog, salt: &str) -> Result<String, PublishError>
where
    K: Kv,
{
    let content = encoded(part, salt)?;
    ensure!(
        content.len() <= MAX_VALUE_BYTES,
        TooLargeSnafu {
            what: "a chunk",
            bytes: content.len(),
            limit: MAX_VALUE_BYTES
        }
    );
    let hash = chunk::content_hash(&content);
    let key = chunk::chunk_key(&hash);
    let mut last = KvError::RateLimited { key: key.clone() };
    for _ in 0..ROOT_TRIES {
        match kv.swap(&key, 0, content.clone()).await {
            // A conflict means that an earlier try has written the same content.
            Ok(_) => return Ok(hash),
            Err(e) => last = e,
        }
        pause().await;
    }
    Err(last).context(NotAcceptedSnafu)
}

fn encoded(part: &Catalog, salt: &str) -> Result<bytes::Bytes, PublishError> {
    chunk::encode(part, salt)
        .context(DecodeSnafu)
        .context(UnreadableSnafu)
}

enum RootOutcome {
    Accepted,
    /// Another write came first; the root record that is in force now.
    Overtaken(Root),
}

/// Swaps the root record until it is known what became of it.
async fn swap_root<K>(
    kv: &K,
    expected: Version,
    record: &Recorded<Root>,
) -> Result<RootOutcome, PublishError>
where
    K: Kv,
{
    let value = serde_json::to_vec(record)
        .context(DecodeSnafu)
        .context(UnreadableSnafu)?;
    ensure!(
        value.len() <= MAX_VALUE_BYTES,
        TooLargeSnafu {
            what: "the root record",
            bytes: value.len(),
            limit: MAX_VALUE_BYTES
        }
    );
    let value = bytes::Bytes::from(value);
    // Once a try had no answer, its write may take effect at any later time. From then on only
    // the record itself tells the outcome.
    let mut in_doubt = false;
    let mut last = KvError::RateLimited {
        key: ROOT_KEY.to_owned(),
    };
    for _ in 0..ROOT_TRIES {
        match kv.swap(ROOT_KEY, expected, value.clone()).await {
            Ok(Swap::Written(_)) => return Ok(RootOutcome::Accepted),
            Ok(Swap::Conflict) => match read_root(kv).await {
                Ok(Some((version, now))) if version > expected => {
                    return Ok(outcome(now, &record.write_id));
                }
                // A stale read, which tells nothing about the write.
                Ok(_) => in_doubt = true,
                Err(ReadError::Service { source }) => {
                    in_doubt = true;
                    last = source;
                }
                Err(e) => return Err(e).context(UnreadableSnafu),
            },
            Err(e @ KvError::RateLimited { .. }) => last = e,
            Err(e) => {
                in_doubt = true;
                last = e;
            }
        }
        pause().await;
    }
    if in_doubt {
        return Err(last).context(UnknownSnafu);
    }
    Err(last).context(NotAcceptedSnafu)
}

fn outcome(now: Root, write_id: &str) -> RootOutcome {
    if now.revision_of(write_id).is_some() {
        return RootOutcome::Accepted;
    }
    RootOutcome::Overtaken(now)
}

/// Chunks of `before` that are not in `after`.
fn dropped(before: &[String], after: &[String]) -> Vec<String> {
    let is_dropped = |hash: &&String| !after.contains(hash);
    before.iter().filter(is_dropped).cloned().collect()
}

/// Empties chunks that no root record refers to any more. A chunk that stays costs memory of the
/// service and nothing else, so failures are passed over.
async fn empty_chunks<K>(kv: &K, hashes: &[String])
where
    K: Kv,
{
    for hash in hashes {
        let key = chunk::chunk_key(hash);
        if let Ok(Some(found)) = kv.get(&key).await {
            let _ = kv.swap(&key, found.version, bytes::Bytes::new()).await;
        }
    }
}

async fn pause() {
    /// Pause between two tries of a write.
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);
    actix_rt::time::sleep(PAUSE).await;
}
