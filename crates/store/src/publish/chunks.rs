//! Writes chunks and empties those that are no longer used.

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::{
    kv::{Kv, KvError},
    kv_http::MAX_VALUE_BYTES,
};
use snafu::{ResultExt, ensure};

use super::{WRITE_ATTEMPTS, read_parts, retry_pause};
use crate::{
    chunk::{self, RootRecord},
    error::{DecodeSnafu, NotAcceptedSnafu, PublishError, TooLargeSnafu, UnreadableSnafu},
};

/// Writes the chunks that differ from those of the current revision. Returns the hashes of all
/// chunks in bucket order and the number of chunks written.
pub(super) async fn write_chunks<K>(
    kv: &K,
    catalog: &Catalog,
    current: &RootRecord,
    salt: &str,
) -> Result<(Vec<String>, usize), PublishError>
where
    K: Kv,
{
    let bytes = encode_chunk(catalog, salt)?.len();
    let buckets = chunk::bucket_count(bytes, current.chunks.len());
    let current_parts = if buckets == current.chunks.len() {
        read_parts(kv, current).await.unwrap_or_default()
    } else {
        Vec::new()
    };
    let mut hashes = Vec::with_capacity(buckets);
    let mut written = 0;
    for (bucket, part) in chunk::split(catalog, buckets).iter().enumerate() {
        if current_parts.get(bucket) == Some(part) {
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
    let content = encode_chunk(part, salt)?;
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
    let mut last_error = KvError::RateLimited { key: key.clone() };
    for _ in 0..WRITE_ATTEMPTS {
        match kv.swap(&key, 0, content.clone()).await {
            // The key is the hash of the content, so a conflict means that an earlier attempt has
            // written the same content.
            Ok(_) => return Ok(hash),
            Err(e) => last_error = e,
        }
        retry_pause().await;
    }
    Err(last_error).context(NotAcceptedSnafu)
}

fn encode_chunk(part: &Catalog, salt: &str) -> Result<bytes::Bytes, PublishError> {
    chunk::encode(part, salt)
        .context(DecodeSnafu)
        .context(UnreadableSnafu)
}

/// Returns those of `hashes` that are not in `excluded`.
pub(super) fn difference(hashes: &[String], excluded: &[String]) -> Vec<String> {
    let is_missing = |hash: &&String| !excluded.contains(hash);
    hashes.iter().filter(is_missing).cloned().collect()
}

/// Empties chunks that no root record refers to any more. Errors are ignored, because a chunk that
/// remains only takes up memory of the service.
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
