//! Executes the calls of the share manager on the key-value service.

use std::time::Duration;

use comfreyweir_allowance::share_manager::{Call, Key, Outcome, Value, Version};
use comfreyweir_external::kv::{self, Kv, KvError, RecordedValue, SwapOutcome};
use serde::{Serialize, de::DeserializeOwned};

/// Key of the share table.
const SHARES_KEY: &str = "shares";

/// Executes a call. After an error it is unknown whether the call took effect.
pub(super) async fn execute<K>(kv: &K, call: Call) -> Result<Outcome, KvError>
where
    K: Kv,
{
    match call {
        Call::Get(key) => get(kv, key).await,
        Call::Swap {
            key,
            expected,
            write_id,
            value,
        } => {
            let name = key_name(key);
            match value {
                Value::Shares(body) => {
                    swap(kv, &name, expected, RecordedValue { write_id, body }).await
                }
                Value::Lease(body) => {
                    swap(kv, &name, expected, RecordedValue { write_id, body }).await
                }
            }
        }
        Call::Watch { after, wait } => watch(kv, after, wait).await,
        Call::Done => Ok(Outcome::Unknown),
    }
}

fn key_name(key: Key) -> String {
    match key {
        Key::Shares => SHARES_KEY.to_owned(),
        Key::Lease(addr) => format!("share-lease/{addr}"),
    }
}

async fn get<K>(kv: &K, key: Key) -> Result<Outcome, KvError>
where
    K: Kv,
{
    let name = key_name(key);
    let found = match key {
        Key::Shares => {
            let found = kv::get_recorded(kv, &name).await?;
            found.map(|(version, record)| (version, Value::Shares(record.body)))
        }
        Key::Lease(_) => {
            let found = kv::get_recorded(kv, &name).await?;
            found.map(|(version, record)| (version, Value::Lease(record.body)))
        }
    };
    Ok(Outcome::Found(found))
}

async fn watch<K>(kv: &K, after: Version, wait: Duration) -> Result<Outcome, KvError>
where
    K: Kv,
{
    let Some(found) = kv.watch(SHARES_KEY, after, wait).await? else {
        return Ok(Outcome::Found(None));
    };
    let record = kv::decode(SHARES_KEY, &found.value)?;
    let value = Value::Shares(record.body);
    Ok(Outcome::Found(Some((found.version, value))))
}

async fn swap<K, T>(
    kv: &K,
    key: &str,
    expected: Version,
    record: RecordedValue<T>,
) -> Result<Outcome, KvError>
where
    K: Kv,
    T: Serialize + DeserializeOwned,
{
    let swapped = kv::swap_recorded(kv, key, expected, &record).await?;
    Ok(match swapped {
        SwapOutcome::Written(version) => Outcome::Written(version),
        SwapOutcome::Conflict => Outcome::Conflict,
    })
}
