//! Replaces the root record by compare-and-swap.

use comfreyweir_external::{
    kv::{Kv, KvError, RecordedValue, SwapOutcome, Version},
    kv_http::MAX_VALUE_BYTES,
};
use snafu::{ResultExt, ensure};

use super::{WRITE_ATTEMPTS, read_root, retry_pause};
use crate::{
    chunk::{ROOT_KEY, RootRecord},
    error::{
        DecodeSnafu, NotAcceptedSnafu, PublishError, ReadError, TooLargeSnafu, UnknownSnafu,
        UnreadableSnafu,
    },
};

/// Outcome of a swap of the root record.
pub(super) enum RootOutcome {
    /// The record was written; later writes may have replaced it since.
    Accepted,
    /// Another write came first. Holds the root record that is in force now.
    Superseded(RootRecord),
}

/// Swaps the root record, retrying until the outcome is known or the attempts are used up.
pub(super) async fn swap_root<K>(
    kv: &K,
    expected: Version,
    record: &RecordedValue<RootRecord>,
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
    // An attempt without an answer may take effect at any later time. After one, the outcome can
    // be told only from the root record itself.
    let mut in_doubt = false;
    let mut last_error = KvError::RateLimited {
        key: ROOT_KEY.to_owned(),
    };
    for _ in 0..WRITE_ATTEMPTS {
        match kv.swap(ROOT_KEY, expected, value.clone()).await {
            Ok(SwapOutcome::Written(_)) => return Ok(RootOutcome::Accepted),
            Ok(SwapOutcome::Conflict) => match read_root(kv).await {
                Ok(Some((version, current))) if version > expected => {
                    return Ok(outcome_of(current, &record.write_id));
                }
                // A stale read, from which the outcome of the write cannot be told.
                Ok(_) => in_doubt = true,
                Err(ReadError::Service { source }) => {
                    in_doubt = true;
                    last_error = source;
                }
                Err(e) => return Err(e).context(UnreadableSnafu),
            },
            Err(e @ KvError::RateLimited { .. }) => last_error = e,
            Err(e) => {
                in_doubt = true;
                last_error = e;
            }
        }
        retry_pause().await;
    }
    if in_doubt {
        return Err(last_error).context(UnknownSnafu);
    }
    Err(last_error).context(NotAcceptedSnafu)
}

fn outcome_of(current: RootRecord, write_id: &str) -> RootOutcome {
    if current.revision_of(write_id).is_some() {
        return RootOutcome::Accepted;
    }
    RootOutcome::Superseded(current)
}
