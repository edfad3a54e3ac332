//! Writing and emptying chunks.

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::{
    kv::{Kv, KvError},
    kv_http::MAX_VALUE_BYTES,
};
use snafu::{ResultExt, ensure};

use super::{TRIES, pause, read_parts};
use crate::{
    chunk::{self, Root},
    error::{DecodeSnafu, NotAcceptedSnafu, PublishError, TooLargeSnafu, UnreadableSnafu},
};

/// Writes the chunks that differ from those of the current revision.
pub(super) async fn write_chunks<K>(
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
    for _ in 0..TRIES {
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

/// Chunks of `before` that are not in `after`.
pub(super) fn dropped(before: &[String], after: &[String]) -> Vec<String> {
    let is_dropped = |hash: &&String| !after.contains(hash);
    before.iter().filter(is_dropped).cloned().collect()
}

/// Empties chunks that no root record refers to any more. A chunk that stays costs memory of the
/// service and nothing else, so failures are passed over.
pub(super) async fn empty_chunks<K>(kv: &K, hashes: &[String])
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
