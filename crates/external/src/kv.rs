//! Interface of the key-value service, and writes that can be retried after a lost response.
//!
//! The service guarantees compare-and-swap on a single key only. Every value that the system writes
//! is wrapped in [`RecordedValue`]; after a lost response, its write identifier shows whether the
//! write took effect.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Version of a key. Versions of one key only increase; zero means that the key does not exist.
pub type Version = u64;

/// A value with the version it was read at.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedValue {
    /// Version of the key.
    pub version: Version,
    /// Value of the key.
    pub value: Bytes,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written at this version.
    Written(Version),
    /// The key had another version, and nothing was written.
    Conflict,
}

/// Why a call to the key-value service failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum KvError {
    /// The service did not answer, or answered that it is unavailable. A write may have taken
    /// effect.
    #[snafu(display("key-value service did not answer for key {key}: {reason}"))]
    Unavailable {
        /// Key of the call.
        key: String,
        /// Transport error or status of the response.
        reason: String,
    },
    /// The service refused the call because its rate limit was exceeded. Nothing was done.
    #[snafu(display("key-value service refused a call for key {key}: rate limit exceeded"))]
    RateLimited {
        /// Key of the call.
        key: String,
    },
    /// A value or a response could not be encoded or decoded.
    #[snafu(display("value of key {key} cannot be decoded: {reason}"))]
    Malformed {
        /// Key of the call.
        key: String,
        /// What was wrong.
        reason: String,
    },
}

/// Client of the key-value service.
pub trait Kv: Clone + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<VersionedValue>, KvError>>;

    /// Writes a key if its version is `expected`.
    fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> impl Future<Output = Result<SwapOutcome, KvError>>;

    /// Waits up to `wait` for the version of a key to exceed `after`. `None` means that it did not.
    fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<VersionedValue>, KvError>>;
}

/// Identifier of a lease of the key-value service.
pub type LeaseId = u64;

/// A key-value service that removes the keys bound to a lease when the lease expires.
pub trait LeasedKv: Kv {
    /// Grants a lease that expires after `ttl` unless it is renewed.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, KvError>>;

    /// Writes a key if its version is `expected`, and binds it to a lease.
    fn swap_leased(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: LeaseId,
    ) -> impl Future<Output = Result<SwapOutcome, KvError>>;
}

/// A stored value with the identifier of the write that stored it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecordedValue<T> {
    /// Identifier of the write, unique over all writers.
    pub write_id: String,
    /// The value itself.
    pub body: T,
}

/// Reads a recorded value with its version.
pub async fn get_recorded<K, T>(
    kv: &K,
    key: &str,
) -> Result<Option<(Version, RecordedValue<T>)>, KvError>
where
    K: Kv,
    T: DeserializeOwned,
{
    let Some(found) = kv.get(key).await? else {
        return Ok(None);
    };
    let recorded = decode(key, &found.value)?;
    Ok(Some((found.version, recorded)))
}

/// Decodes a recorded value.
pub fn decode<T>(key: &str, value: &[u8]) -> Result<RecordedValue<T>, KvError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(value).map_err(|e| KvError::Malformed {
        key: key.to_owned(),
        reason: e.to_string(),
    })
}

/// Writes a recorded value; after a lost response, reads the key to determine the outcome.
///
/// Returns [`KvError::Unavailable`] only when the outcome is unknown; the caller may call again
/// with the same record and `expected`, which cannot write twice.
pub async fn swap_recorded<K, T>(
    kv: &K,
    key: &str,
    expected: Version,
    record: &RecordedValue<T>,
) -> Result<SwapOutcome, KvError>
where
    K: Kv,
    T: Serialize,
{
    let outcome = kv.swap(key, expected, encode(key, record)?).await;
    resolve_outcome(kv, key, expected, &record.write_id, outcome).await
}

/// Like [`swap_recorded`], but also binds the key to a lease.
pub async fn swap_recorded_leased<K, T>(
    kv: &K,
    key: &str,
    expected: Version,
    record: &RecordedValue<T>,
    lease: LeaseId,
) -> Result<SwapOutcome, KvError>
where
    K: LeasedKv,
    T: Serialize,
{
    let outcome = kv
        .swap_leased(key, expected, encode(key, record)?, lease)
        .await;
    resolve_outcome(kv, key, expected, &record.write_id, outcome).await
}

fn encode<T>(key: &str, record: &RecordedValue<T>) -> Result<Bytes, KvError>
where
    T: Serialize,
{
    let value = serde_json::to_vec(record).map_err(|e| KvError::Malformed {
        key: key.to_owned(),
        reason: e.to_string(),
    })?;
    Ok(Bytes::from(value))
}

/// Resolves an outcome that does not show whether the write took effect, by the write identifier
/// that is now stored.
async fn resolve_outcome<K>(
    kv: &K,
    key: &str,
    expected: Version,
    write_id: &str,
    outcome: Result<SwapOutcome, KvError>,
) -> Result<SwapOutcome, KvError>
where
    K: Kv,
{
    // A conflict is resolved too, since an earlier attempt at the same write may have taken effect.
    if !matches!(
        outcome,
        Ok(SwapOutcome::Conflict) | Err(KvError::Unavailable { .. })
    ) {
        return outcome;
    }
    let found = get_recorded::<K, serde::de::IgnoredAny>(kv, key).await?;
    match found {
        Some((version, stored)) if stored.write_id == write_id => Ok(SwapOutcome::Written(version)),
        Some((version, _)) if version > expected => Ok(SwapOutcome::Conflict),
        // The write has not taken effect yet, but may still do so.
        _ => outcome,
    }
}
