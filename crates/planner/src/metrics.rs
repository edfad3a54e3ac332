//! Metrics of the planner.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use comfreyweir_external::{
    engine::{CheckpointTier, OrderAction},
    kv_counted::KvCallCounts,
};
use comfreyweir_placement::engine_orders::OrderOutcome;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Upper bound of the smallest bucket of load times, in seconds.
const LOAD_BUCKET_START: f64 = 0.005;
/// Number of buckets of load times; each bound is twice the previous one.
const LOAD_BUCKETS: u16 = 16;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
enum CheckpointSource {
    Memory,
    Disk,
    Remote,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct SourceLabels {
    source: CheckpointSource,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct OrderLabels {
    action: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct CellLabels {
    cell: String,
}

/// Metrics of the planner. Clones share the values.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    cold_starts: Family<SourceLabels, Counter>,
    load_seconds: Family<SourceLabels, Histogram>,
    orders: Family<OrderLabels, Counter>,
    terms: Family<CellLabels, Gauge>,
    held: Family<CellLabels, Gauge>,
    kv_calls: KvCallCounts,
    idle_seconds: Counter<f64, AtomicU64>,
    refusals: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let load_seconds = Family::<SourceLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(LOAD_BUCKET_START, 2.0, LOAD_BUCKETS))
        });
        let mut metrics = Self {
            registry: Arc::default(),
            cold_starts: Family::default(),
            load_seconds,
            orders: Family::default(),
            terms: Family::default(),
            held: Family::default(),
            kv_calls: KvCallCounts::default(),
            idle_seconds: Counter::default(),
            refusals: Gauge::default(),
        };
        metrics.registry = Arc::new(metrics.build_registry());
        metrics
    }

    fn build_registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("comfreyweir_planner");
        registry.register(
            "log_lines_dropped",
            "Log lines dropped since the start because the log was not read in time",
            comfreyweir_log::dropped_lines(),
        );
        registry.register(
            "cold_starts",
            "Loads that have ended, by place of the checkpoint",
            self.cold_starts.clone(),
        );
        registry.register(
            "load_seconds",
            "Time from the order of a load until it was ready, by place of the checkpoint",
            self.load_seconds.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by action and outcome",
            self.orders.clone(),
        );
        registry.register(
            "term",
            "Fencing number of the cell, as last seen",
            self.terms.clone(),
        );
        registry.register(
            "holds_cell",
            "Whether this planner holds the cell",
            self.held.clone(),
        );
        self.kv_calls.register(&mut registry);
        registry.register(
            "idle_accelerator_seconds",
            "Time that ready replicas were unused, weighted by their share of the memory",
            self.idle_seconds.clone(),
        );
        registry.register(
            "artifacts_refused",
            "Artifacts that are wanted and cannot be served in time",
            self.refusals.clone(),
        );
        registry
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counters to pass to the clients of the key-value service.
    pub(crate) fn kv_counts(&self) -> KvCallCounts {
        self.kv_calls.clone()
    }

    pub(crate) fn count_load(&self, tier: CheckpointTier, took: Duration) {
        let source = match tier {
            CheckpointTier::Memory => CheckpointSource::Memory,
            CheckpointTier::Disk => CheckpointSource::Disk,
            CheckpointTier::Remote => CheckpointSource::Remote,
        };
        let labels = SourceLabels { source };
        self.cold_starts.get_or_create(&labels).inc();
        self.load_seconds
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    pub(crate) fn count_order(&self, action: &OrderAction, outcome: OrderOutcome) {
        let action = match action {
            OrderAction::Load { .. } => "load",
            OrderAction::Unload { .. } => "unload",
            OrderAction::Fence => "fence",
        };
        let outcome = match outcome {
            OrderOutcome::Taken => "taken",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unknown",
            OrderOutcome::NotSent => "not_sent",
        };
        let labels = OrderLabels { action, outcome };
        self.orders.get_or_create(&labels).inc();
    }

    pub(crate) fn set_term(&self, cell: &str, term: u64) {
        let labels = CellLabels {
            cell: cell.to_owned(),
        };
        let term = i64::try_from(term).unwrap_or(i64::MAX);
        self.terms.get_or_create(&labels).set(term);
    }

    pub(crate) fn set_held(&self, cell: &str, held: bool) {
        let labels = CellLabels {
            cell: cell.to_owned(),
        };
        self.held.get_or_create(&labels).set(i64::from(held));
    }

    pub(crate) fn add_idle(&self, idle: Duration) {
        self.idle_seconds.inc_by(idle.as_secs_f64());
    }

    pub(crate) fn set_refusals(&self, artifacts: usize) {
        self.refusals
            .set(i64::try_from(artifacts).unwrap_or(i64::MAX));
    }
}
