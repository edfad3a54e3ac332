//! Metrics of an entry instance.

use std::{cell::RefCell, rc::Rc, sync::atomic::AtomicU64, time::Duration};

use comfreyweir_fleet::quarantine::LedgerEvent;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::allowance_metrics::AllowanceMetrics;

/// Histogram buckets of the time to the first byte, in seconds. They range from requests for a
/// loaded model to cold starts.
const FIRST_BYTE_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct AnswerLabels {
    workspace: String,
    status: u16,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct NoticeLabel {
    notice: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SendLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ZoneLabel {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ResumptionLabel {
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct QuarantineLabel {
    event: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OrderLabels {
    op: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WorkspaceLabel {
    workspace: String,
}

type Histograms = Family<WorkspaceLabel, Histogram, fn() -> Histogram>;

/// Metrics of an entry instance. Clones share the values.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Rc<RefCell<Registry>>,
    answers: Family<AnswerLabels, Counter>,
    refusals: Family<StatusLabel, Counter>,
    orders: Family<OrderLabels, Counter>,
    notices: Family<NoticeLabel, Counter>,
    limited_sends: Family<SendLabel, Counter>,
    cold_requests: Family<SendLabel, Counter>,
    refused_at_stop: Counter,
    resumptions: Family<ResumptionLabel, Counter>,
    continuations: Family<ResumptionLabel, Counter>,
    zones: Family<ZoneLabel, Counter>,
    quarantine: Family<QuarantineLabel, Counter>,
    evictions: Family<CauseLabel, Counter>,
    store_copies: Counter,
    path_outages: Counter,
    outdated_configs: Counter,
    configs: Family<SourceLabel, Counter>,
    /// Ages in seconds; -1 if there is none.
    config_age: Gauge<f64, AtomicU64>,
    newer_config_age: Gauge<f64, AtomicU64>,
    repeated_reads: Counter,
    views: Counter,
    view_bytes: Counter,
    grant_answers: Counter,
    /// Waits for allowances.
    pub(crate) allowances: AllowanceMetrics,
    held_back: Counter,
    first_byte_seconds: Histograms,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(FIRST_BYTE_BOUNDS);
        let mut registry = Registry::default();
        let allowances = AllowanceMetrics::register(&mut registry);
        let metrics = Self {
            registry: Rc::new(RefCell::new(registry)),
            answers: Family::default(),
            refusals: Family::default(),
            orders: Family::default(),
            notices: Family::default(),
            limited_sends: Family::default(),
            cold_requests: Family::default(),
            refused_at_stop: Counter::default(),
            resumptions: Family::default(),
            continuations: Family::default(),
            zones: Family::default(),
            quarantine: Family::default(),
            evictions: Family::default(),
            store_copies: Counter::default(),
            path_outages: Counter::default(),
            outdated_configs: Counter::default(),
            configs: Family::default(),
            config_age: Gauge::default(),
            newer_config_age: Gauge::default(),
            repeated_reads: Counter::default(),
            views: Counter::default(),
            view_bytes: Counter::default(),
            grant_answers: Counter::default(),
            allowances,
            held_back: Counter::default(),
            first_byte_seconds: Family::new_with_constructor(histogram),
        };
        metrics.register_request_metrics();
        metrics.register_exchange_metrics();
        metrics
    }

    /// Registers what is counted by request.
    fn register_request_metrics(&self) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "comfreyweir_answers",
            "Answers of upstreams that were passed on",
            self.answers.clone(),
        );
        registry.register(
            "comfreyweir_refusals",
            "Requests that were answered by the system itself",
            self.refusals.clone(),
        );
        registry.register(
            "comfreyweir_orders",
            "Orders to engines",
            self.orders.clone(),
        );
        registry.register(
            "comfreyweir_upstream_notices",
            "What upstreams said of themselves beside answers: that they leave, or want no requests",
            self.notices.clone(),
        );
        registry.register(
            "comfreyweir_limited_sends",
            "What was sent to upstreams that had named a limit, by kind",
            self.limited_sends.clone(),
        );
        registry.register(
            "comfreyweir_cold_requests",
            "What was sent to cold upstreams, by kind, and requests that waited for one or were refused",
            self.cold_requests.clone(),
        );
        registry.register(
            "comfreyweir_refused_at_stop",
            "Requests that were refused because they could not end before the instance stops",
            self.refused_at_stop.clone(),
        );
        registry.register(
            "comfreyweir_resumptions",
            "Streams that callers resume, by what is known of the software version that began them",
            self.resumptions.clone(),
        );
        registry.register(
            "comfreyweir_stream_continuations",
            "Streams that an upstream failed or stalled, by whether another one continues them",
            self.continuations.clone(),
        );
        registry.register(
            "comfreyweir_zone_events",
            "Requests affected by evacuated zones or home regions, and evacuations that began or ended",
            self.zones.clone(),
        );
        registry.register(
            "comfreyweir_quarantine",
            "Quarantine of prompt parts: ends seen here, refused requests, and the holder's decisions",
            self.quarantine.clone(),
        );
        registry.register(
            "comfreyweir_caller_evictions",
            "Callers' connections that were closed, and requests refused, for memory or connections",
            self.evictions.clone(),
        );
        registry.register(
            "comfreyweir_held_back",
            "Requests that waited since the engines had too much to read",
            self.held_back.clone(),
        );
        registry.register(
            "comfreyweir_first_byte_seconds",
            "Time from the arrival of a stream's request to the first byte of its answer",
            self.first_byte_seconds.clone(),
        );
    }

    /// Registers what is counted of the store, the log and the exchange between instances.
    fn register_exchange_metrics(&self) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "comfreyweir_store_copies",
            "Times that the store has come back from a copy",
            self.store_copies.clone(),
        );
        registry.register(
            "comfreyweir_store_path_outages",
            "Outages of the path to the store while other instances reached it",
            self.path_outages.clone(),
        );
        registry.register(
            "comfreyweir_configuration_outdated",
            "Times that the configuration was not confirmed to be the newest within its time limit",
            self.outdated_configs.clone(),
        );
        registry.register(
            "comfreyweir_configurations",
            "Versions of the configuration that were put in force, by where they came from",
            self.configs.clone(),
        );
        registry.register(
            "comfreyweir_configuration_age_seconds",
            "Time since the configuration was last confirmed to be the newest; -1 if it never was",
            self.config_age.clone(),
        );
        registry.register(
            "comfreyweir_newer_configuration_seconds",
            "Time since a newer configuration is known of that is not in force; -1 if there is none",
            self.newer_config_age.clone(),
        );
        registry.register(
            "comfreyweir_store_reads_repeated",
            "Reads of the store that were made again on a new connection since they had no answer",
            self.repeated_reads.clone(),
        );
        registry.register(
            "comfreyweir_log_lines_dropped",
            "Log lines dropped since the start because the log was not read in time",
            comfreyweir_log::dropped_lines(),
        );
        registry.register(
            "comfreyweir_views",
            "Views of the whole system that this instance sent to others as the holder",
            self.views.clone(),
        );
        registry.register(
            "comfreyweir_view_bytes",
            "Bytes of these views",
            self.view_bytes.clone(),
        );
        registry.register(
            "comfreyweir_grant_answers",
            "Answers of this instance, as the holder, to requests for larger grants",
            self.grant_answers.clone(),
        );
    }

    /// Counts a configuration that was put in force.
    pub(crate) fn count_config(&self, source: &'static str) {
        self.configs.get_or_create(&SourceLabel { source }).inc();
    }

    /// Sets the age of the configuration, and since when a newer one is known of.
    pub(crate) fn set_config_ages(&self, [age, newer_age]: [Option<Duration>; 2]) {
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        self.config_age.set(seconds(age));
        self.newer_config_age.set(seconds(newer_age));
    }

    /// Counts an upstream's answer that was forwarded to the caller.
    pub(crate) fn count_answer(&self, workspace: &str, status: u16, outcome: &str) {
        let labels = AnswerLabels {
            workspace: workspace.to_owned(),
            status,
            outcome: outcome.to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a request that the system itself refused.
    pub(crate) fn count_refusal(&self, status: u16) {
        self.refusals.get_or_create(&StatusLabel { status }).inc();
    }

    /// Counts an order to an engine.
    pub(crate) fn count_order(&self, op: &str, outcome: &str) {
        let labels = OrderLabels {
            op: op.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.orders.get_or_create(&labels).inc();
    }

    /// Counts what an upstream said of itself beside an answer.
    pub(crate) fn count_notice(&self, notice: &str) {
        let labels = NoticeLabel {
            notice: notice.to_owned(),
        };
        self.notices.get_or_create(&labels).inc();
    }

    /// Counts what was sent to a cold upstream, waited for one or was refused.
    pub(crate) fn count_cold_request(&self, kind: &'static str) {
        self.cold_requests.get_or_create(&SendLabel { kind }).inc();
    }

    /// Counts what was sent to an upstream that had named a limit.
    pub(crate) fn count_limited_send(&self, kind: &'static str) {
        self.limited_sends.get_or_create(&SendLabel { kind }).inc();
    }

    /// Counts a request that could not end before this instance stops.
    pub(crate) fn count_refused_at_stop(&self) {
        self.refused_at_stop.inc();
    }

    /// Counts a stream that a caller resumes.
    pub(crate) fn count_resumption(&self, outcome: &str) {
        let labels = ResumptionLabel {
            outcome: outcome.to_owned(),
        };
        self.resumptions.get_or_create(&labels).inc();
    }

    /// Counts a stream that an upstream failed or stalled.
    pub(crate) fn count_continuation(&self, outcome: &str) {
        let labels = ResumptionLabel {
            outcome: outcome.to_owned(),
        };
        self.continuations.get_or_create(&labels).inc();
    }

    /// Counts a request that an evacuated zone or home regions affect, or a change of the evacuations.
    pub(crate) fn count_zone_event(&self, event: &'static str) {
        self.zones.get_or_create(&ZoneLabel { event }).inc();
    }

    /// Counts a decision of the holder on a prompt part.
    pub(crate) fn count_quarantine(&self, event: LedgerEvent) {
        let name = match event {
            LedgerEvent::Suspect { .. } => "suspect",
            LedgerEvent::Cleared { .. } => "cleared",
            LedgerEvent::Undecided { .. } => "undecided",
            LedgerEvent::Tried { .. } => "tried",
            LedgerEvent::Released { .. } => "released",
        };
        self.count_quarantine_event(name);
    }

    /// Counts an event of the quarantine of prompt parts.
    pub(crate) fn count_quarantine_event(&self, event: &str) {
        let labels = QuarantineLabel {
            event: event.to_owned(),
        };
        self.quarantine.get_or_create(&labels).inc();
    }

    /// Counts a caller's connection that was closed, or a request that was refused.
    pub(crate) fn count_eviction(&self, cause: &'static str) {
        self.evictions.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts that the store has come back from a copy.
    pub(crate) fn count_store_copy(&self) {
        self.store_copies.inc();
    }

    /// Counts an outage that was one of this instance's own path to the store.
    pub(crate) fn count_path_outage(&self) {
        self.path_outages.inc();
    }

    /// Counts a configuration that was not confirmed within its time limit.
    pub(crate) fn count_outdated_config(&self) {
        self.outdated_configs.inc();
    }

    /// Counts a read of the store that is made again since it has no answer.
    pub(crate) fn count_repeated_read(&self) {
        self.repeated_reads.inc();
    }

    /// Counts a view that was sent to another instance.
    pub(crate) fn count_view(&self, bytes: usize) {
        self.views.inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.view_bytes.inc_by(bytes);
    }

    /// Counts an answer to a request for larger grants.
    pub(crate) fn count_grants_answer(&self) {
        self.grant_answers.inc();
    }

    /// Counts a request that waits since the engines have too much to read.
    pub(crate) fn count_held_back(&self) {
        self.held_back.inc();
    }

    /// Records the time to the first byte of a streamed answer.
    pub(crate) fn observe_first_byte(&self, workspace: &str, time: Duration) {
        let labels = WorkspaceLabel {
            workspace: workspace.to_owned(),
        };
        self.first_byte_seconds
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Encodes all metrics as text, as `/metrics` serves them.
    pub(crate) fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry.borrow())?;
        Ok(text)
    }
}
