//! Counters of requests that waited for units of an allowance, or were refused for lack of them.

use std::time::Duration;

use comfreyweir_fleet::quota::OverQuota;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

/// Histogram buckets of the waits, in seconds: from one call to the holder to half of a long deadline.
const WAIT_BOUNDS: [f64; 7] = [0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// How a wait for units ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaitEnd {
    /// The request got its units.
    Served,
    /// It was refused.
    Refused,
    /// Its caller disconnected.
    Abandoned,
}

impl WaitEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Abandoned => "abandoned",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct EndLabel {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// Counters of waits for allowances.
#[derive(Clone)]
pub(crate) struct AllowanceMetrics {
    waits: Family<EndLabel, Counter>,
    refusals: Family<CauseLabel, Counter>,
    wait_seconds: Histogram,
}

impl AllowanceMetrics {
    /// Registers the counters.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            waits: Family::default(),
            refusals: Family::default(),
            wait_seconds: Histogram::new(WAIT_BOUNDS),
        };
        registry.register(
            "comfreyweir_allowance_waits",
            "Requests that waited for units of their workspace's allowance, by how the wait ended",
            metrics.waits.clone(),
        );
        registry.register(
            "comfreyweir_allowance_refusals",
            "Requests that were refused for lack of units, by cause",
            metrics.refusals.clone(),
        );
        registry.register(
            "comfreyweir_allowance_wait_seconds",
            "Time that requests waited for units of their workspace's allowance",
            metrics.wait_seconds.clone(),
        );
        metrics
    }

    /// Records the end of a wait.
    pub(crate) fn record_wait(&self, end: WaitEnd, waited: Duration) {
        let label = EndLabel { end: end.label() };
        self.waits.get_or_create(&label).inc();
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Counts a refusal: the allowance is exhausted, the holder granted nothing in time, or this instance
    /// has no grant.
    pub(crate) fn count_refusal(&self, over: &OverQuota) {
        let cause = if over.is_exhausted {
            "exhausted"
        } else if over.grant_age.is_some() {
            "not_granted"
        } else {
            "no_grant"
        };
        self.refusals.get_or_create(&CauseLabel { cause }).inc();
    }
}
