//! A client of the key-value service that counts its calls.
//!
//! The service's rate limits apply to the calls of the whole fleet, so every daemon exports the
//! number of its own calls.

use std::time::Duration;

use bytes::Bytes;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::kv::{Kv, KvError, LeaseId, LeasedKv, SwapOutcome, Version, VersionedValue};

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
enum CallKind {
    Get,
    Swap,
    Watch,
    Grant,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
enum CallOutcome {
    Answered,
    RateLimited,
    Failed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    call: CallKind,
    outcome: CallOutcome,
}

/// Numbers of calls by kind and outcome. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct KvCallCounts(Family<CallLabels, Counter>);

impl KvCallCounts {
    /// Adds the counts to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Calls to the key-value service by outcome";
        registry.register("kv_calls", help, self.0.clone());
    }

    fn count<T>(&self, call: CallKind, outcome: &Result<T, KvError>) {
        let outcome = match outcome {
            Ok(_) => CallOutcome::Answered,
            Err(KvError::RateLimited { .. }) => CallOutcome::RateLimited,
            Err(_) => CallOutcome::Failed,
        };
        self.0.get_or_create(&CallLabels { call, outcome }).inc();
    }
}

/// Wraps a client of the key-value service and counts its calls.
#[derive(Clone)]
pub struct CountedKv<K> {
    inner: K,
    counts: KvCallCounts,
}

impl<K> CountedKv<K> {
    /// Wraps `inner`, and adds its calls to `counts`.
    pub fn new(inner: K, counts: KvCallCounts) -> Self {
        Self { inner, counts }
    }
}

impl<K> Kv for CountedKv<K>
where
    K: Kv,
{
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KvError> {
        let outcome = self.inner.get(key).await;
        self.counts.count(CallKind::Get, &outcome);
        outcome
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<SwapOutcome, KvError> {
        let outcome = self.inner.swap(key, expected, value).await;
        self.counts.count(CallKind::Swap, &outcome);
        outcome
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<VersionedValue>, KvError> {
        let outcome = self.inner.watch(key, after, wait).await;
        self.counts.count(CallKind::Watch, &outcome);
        outcome
    }
}

impl<K> LeasedKv for CountedKv<K>
where
    K: LeasedKv,
{
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let outcome = self.inner.grant_lease(ttl).await;
        self.counts.count(CallKind::Grant, &outcome);
        outcome
    }

    async fn swap_leased(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: LeaseId,
    ) -> Result<SwapOutcome, KvError> {
        let outcome = self.inner.swap_leased(key, expected, value, lease).await;
        self.counts.count(CallKind::Swap, &outcome);
        outcome
    }
}
