//! Swapping the root record.

use comfreyweir_external::{
    kv::{Kv, KvError, Recorded, Swap, Version},
    kv_http::MAX_VALUE_BYTES,
};
use snafu::{ResultExt, ensure};

use super::{TRIES, pause, read_root};
use crate::{
    chunk::{ROOT_KEY, Root},
    error::{
        DecodeSnafu, NotAcceptedSnafu, PublishError, ReadError, TooLargeSnafu, UnknownSnafu,
        UnreadableSnafu,
    },
};

/// What became of a root record.
pub(super) enum RootOutcome {
    /// It was written, and may have been followed by others.
    Accepted,
    /// Another write came first; the root record that is in force now.
    Overtaken(Root),
}

/// Swaps the root record until it is known what became of it.
pub(super) async fn swap_root<K>(
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
    for _ in 0..TRIES {
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
