//! A client of the key-value service that counts its calls.

use std::time::Duration;

use bytes::Bytes;
use comfreyweir_platform::kv::{Kv, KvError, Swap, Version, Versioned};

use crate::metrics::{KvCall, KvOutcome, Metrics};

/// A client of the key-value service that counts its calls.
#[derive(Clone)]
pub(crate) struct CountedKv<K> {
    inner: K,
    metrics: Metrics,
}

impl<K> CountedKv<K> {
    pub(crate) fn new(inner: K, metrics: Metrics) -> Self {
        Self { inner, metrics }
    }

    fn count<T>(&self, call: KvCall, outcome: &Result<T, KvError>) {
        let outcome = match outcome {
            Ok(_) => KvOutcome::Answered,
            Err(KvError::RateLimited { .. }) => KvOutcome::RateLimited,
            Err(_) => KvOutcome::Failed,
        };
        self.metrics.count_kv_call(call, outcome);
    }
}

impl<K> Kv for CountedKv<K>
where
    K: Kv,
{
    async fn get(&self, key: &str) -> Result<Option<Versioned>, KvError> {
        let outcome = self.inner.get(key).await;
        self.count(KvCall::Get, &outcome);
        outcome
    }

    async fn swap(&self, key: &str, expected: Version, value: Bytes) -> Result<Swap, KvError> {
        let outcome = self.inner.swap(key, expected, value).await;
        self.count(KvCall::Swap, &outcome);
        outcome
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, KvError> {
        let outcome = self.inner.watch(key, after, wait).await;
        self.count(KvCall::Watch, &outcome);
        outcome
    }
}
