//! Metrics of a gate.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreyweir_config::catalog::Catalog;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{Refusal, RefusalCode};

/// Label value of all workspaces that are not in the catalog. It bounds the number of time series.
const OTHER_WORKSPACES: &str = "other";

/// Histogram buckets of waiting time and time to the first token, in seconds. They reach from
/// requests to a loaded model to those that wait for a model to load.
const WAIT_BOUNDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];
/// Histogram buckets of the time between tokens, in seconds.
const TOKEN_BOUNDS: [f64; 10] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0];

type WorkspaceHistogram = Family<WorkspaceLabel, Histogram, fn() -> Histogram>;

/// Labels of a metric of one workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct WorkspaceLabel {
    workspace: String,
}

/// Labels of the refusal counter.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct RefusalLabel {
    workspace: String,
    code: String,
    /// `false` if the request was refused because its workspace was over its rate or burst.
    inside_rate: String,
}

/// Labels of the answer counter.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct AnswerLabel {
    workspace: String,
    outcome: String,
}

/// Updates metrics right before they are encoded.
type UpdateFn = Box<dyn Fn()>;

/// Metrics of a gate. Clones share the values.
#[derive(Clone)]
pub struct Metrics {
    registry: Rc<RefCell<Registry>>,
    updates: Rc<RefCell<Vec<UpdateFn>>>,
    waiting_seconds: WorkspaceHistogram,
    first_token_seconds: WorkspaceHistogram,
    between_tokens_seconds: WorkspaceHistogram,
    refusals: Family<RefusalLabel, Counter>,
    answers: Family<AnswerLabel, Counter>,
    resumed: Counter,
    /// Number of requests that wait for a replica; set when the metrics are read.
    pub waiting: Gauge,
    /// Number of requests in flight; set when the metrics are read.
    pub in_flight: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics and their registry.
    pub fn new() -> Self {
        let wait_histogram: fn() -> Histogram = || Histogram::new(WAIT_BOUNDS);
        let token_histogram: fn() -> Histogram = || Histogram::new(TOKEN_BOUNDS);
        let metrics = Self {
            registry: Rc::default(),
            updates: Rc::default(),
            waiting_seconds: Family::new_with_constructor(wait_histogram),
            first_token_seconds: Family::new_with_constructor(wait_histogram),
            between_tokens_seconds: Family::new_with_constructor(token_histogram),
            refusals: Family::default(),
            answers: Family::default(),
            resumed: Counter::default(),
            waiting: Gauge::default(),
            in_flight: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Calls `add` with the registry, so that another component can register its metrics.
    pub fn with_registry<F>(&self, add: F)
    where
        F: FnOnce(&mut Registry),
    {
        add(&mut self.registry.borrow_mut());
    }

    /// Adds a function that [`Metrics::encode`] calls first, for values that are computed on
    /// demand.
    pub fn before_encoding<F>(&self, update: F)
    where
        F: Fn() + 'static,
    {
        self.updates.borrow_mut().push(Box::new(update));
    }

    /// Returns all metrics in the text format of `OpenMetrics`, after the functions added by
    /// [`Metrics::before_encoding`] have run.
    pub fn encode(&self) -> String {
        self.updates.borrow().iter().for_each(|update| update());
        let mut buf = String::new();
        text::encode(&mut buf, &self.registry.borrow())
            .expect("writing metrics to a string does not fail");
        buf
    }

    /// Records how long a request with reserved tokens waited in the queue for a replica.
    pub fn observe_wait(&self, workspace: &str, catalog: &Catalog, time: Duration) {
        let label = workspace_label(workspace, catalog);
        let histogram = self.waiting_seconds.get_or_create(&label);
        histogram.observe(time.as_secs_f64());
    }

    /// Records the time from a request's arrival to its first token or, if the answer is not
    /// streamed, to the complete answer.
    pub fn observe_first_token(&self, workspace: &str, catalog: &Catalog, time: Duration) {
        let label = workspace_label(workspace, catalog);
        let histogram = self.first_token_seconds.get_or_create(&label);
        histogram.observe(time.as_secs_f64());
    }

    /// Records the time between two consecutive tokens of a stream.
    pub fn observe_token_gap(&self, workspace: &str, catalog: &Catalog, time: Duration) {
        let label = workspace_label(workspace, catalog);
        let histogram = self.between_tokens_seconds.get_or_create(&label);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a refusal; `workspace` is `None` if the caller was not authenticated.
    pub fn count_refusal(&self, workspace: Option<&str>, catalog: &Catalog, refusal: &Refusal) {
        let is_over_rate = matches!(
            refusal.code,
            RefusalCode::RateLimited | RefusalCode::ExceedsBurst
        );
        let label = RefusalLabel {
            workspace: workspace_name(workspace.unwrap_or(OTHER_WORKSPACES), catalog),
            code: refusal.code.as_str(),
            inside_rate: (!is_over_rate).to_string(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts an answer that had begun, by how it ended.
    pub fn count_answer(&self, workspace: &str, catalog: &Catalog, outcome: AnswerOutcome) {
        let label = AnswerLabel {
            workspace: workspace_name(workspace, catalog),
            outcome: outcome.as_str().to_owned(),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Counts a stream that was resumed on another replica.
    pub fn count_resumed_stream(&self) {
        self.resumed.inc();
    }

    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        let registry = registry.sub_registry_with_prefix("comfreyweir_gate");
        registry.register(
            "log_lines_dropped",
            "Log lines dropped since the start because the log was not read in time",
            comfreyweir_log::dropped_lines(),
        );
        registry.register(
            "waiting_seconds",
            "Time from arrival until a request was sent upstream",
            self.waiting_seconds.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from arrival until the first token, or the whole answer",
            self.first_token_seconds.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two tokens of a stream",
            self.between_tokens_seconds.clone(),
        );
        registry.register("refusals", "Requests refused", self.refusals.clone());
        registry.register("answers", "Answers by how they ended", self.answers.clone());
        registry.register(
            "streams_resumed",
            "Streams that were resumed on another replica",
            self.resumed.clone(),
        );
        registry.register("waiting", "Requests that wait", self.waiting.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
    }
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// The answer is complete.
    Whole,
    /// The answer was cut short, and the caller was told so.
    Incomplete,
    /// The caller disconnected before the end.
    Left,
}

impl AnswerOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Incomplete => "incomplete",
            Self::Left => "left",
        }
    }
}

fn workspace_label(workspace: &str, catalog: &Catalog) -> WorkspaceLabel {
    WorkspaceLabel {
        workspace: workspace_name(workspace, catalog),
    }
}

fn workspace_name(workspace: &str, catalog: &Catalog) -> String {
    let is_known = catalog.workspaces.contains_key(workspace);
    let name = if is_known {
        workspace
    } else {
        OTHER_WORKSPACES
    };
    name.to_owned()
}
