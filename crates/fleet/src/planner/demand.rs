//! Measures the demand for each model: its queue length and arrival rate.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::PlanningInput;
use crate::{load, request::Artifact};

/// Time constant of the smoothed queue length.
const QUEUE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Time constant of the smoothed arrival rate. It is longer because rarely used models get a
/// request only about every ten seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Time constant of the rate of recent arrivals: about the time after which a caller that was
/// rejected returns.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Requests that wait for an artifact that no engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaitingRequests {
    /// The artifact that has to be loaded.
    pub artifact: Artifact,
    /// Number of waiting requests.
    pub requests: u32,
}

/// Sums of the request counters that processes report, over all processes.
///
/// Reports contain only counters that changed, and a new holder has missed the earlier ones. So the
/// first value of each counter is where counting begins, and not a number of new requests.
#[derive(Debug, Default)]
pub struct ArrivalTotals {
    counters: HashMap<String, HashMap<(String, String), u64>>,
    totals: HashMap<String, HashMap<String, u64>>,
}

impl ArrivalTotals {
    /// Records counters of a process, by service and model.
    pub fn record(&mut self, process: &str, reported: &BTreeMap<String, BTreeMap<String, u64>>) {
        let counters = self.counters.entry(process.to_owned()).or_default();
        for (service, models) in reported {
            let totals = self.totals.entry(service.clone()).or_default();
            for (model, count) in models {
                let key = (service.clone(), model.clone());
                let before = counters.insert(key, *count).unwrap_or(*count);
                *totals.entry(model.clone()).or_default() += count.saturating_sub(before);
            }
        }
    }

    /// Requests that arrived for each model of a service, in all processes.
    pub fn of_service(&self, service: &str) -> HashMap<String, u64> {
        self.totals.get(service).cloned().unwrap_or_default()
    }
}

#[derive(Debug, Default)]
pub(super) struct DemandTracker {
    models: HashMap<String, ModelDemand>,
    updated_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct ModelDemand {
    /// Smoothed number of requests that wait for their first event or for an engine that holds the
    /// model.
    queue: f64,
    /// Smoothed number of requests that receive their answer.
    running: f64,
    /// Smoothed arrivals per second.
    rate: f64,
    /// Arrivals per second, smoothed over a short time.
    recent_rate: f64,
    arrivals: u64,
}

impl DemandTracker {
    /// Updates all averages from the state that the instances report.
    pub(super) fn update(&mut self, input: &PlanningInput<'_>, now: Instant) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let queues = queue_lengths(input);
        let running = running_requests(input);
        for name in input.arrivals.keys().chain(queues.keys()) {
            if !self.models.contains_key(name) {
                self.models.insert(name.clone(), ModelDemand::default());
            }
        }
        let queue_decay = decay_factor(elapsed, QUEUE_TIME_CONSTANT);
        let rate_decay = decay_factor(elapsed, RATE_TIME_CONSTANT);
        let recent_decay = decay_factor(elapsed, RECENT_TIME_CONSTANT);
        for (name, demand) in &mut self.models {
            let queue = queues.get(name).copied().unwrap_or(0.0);
            demand.queue = demand.queue * queue_decay + queue * (1.0 - queue_decay);
            let running = running.get(name.as_str()).copied().unwrap_or(0.0);
            demand.running = demand.running * queue_decay + running * (1.0 - queue_decay);
            let arrivals = input.arrivals.get(name).copied().unwrap_or(demand.arrivals);
            let new_arrivals = arrivals.saturating_sub(demand.arrivals);
            demand.arrivals = arrivals;
            #[allow(clippy::cast_precision_loss)]
            let new_arrivals = new_arrivals as f64;
            demand.rate =
                demand.rate * rate_decay + new_arrivals / RATE_TIME_CONSTANT.as_secs_f64();
            demand.recent_rate = demand.recent_rate * recent_decay
                + new_arrivals / RECENT_TIME_CONSTANT.as_secs_f64();
        }
    }

    /// Models with a queue length above 0.1 or more than one running request, the longest queue
    /// first.
    pub(super) fn busiest(&self) -> Vec<(String, f64)> {
        let mut models: Vec<_> = self
            .models
            .iter()
            .filter(|(_, d)| d.queue > 0.1 || d.running > 1.0)
            .map(|(name, d)| (name.clone(), d.queue))
            .collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        models
    }

    /// Smoothed queue length of a model.
    pub(super) fn queue(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.queue)
    }

    /// Smoothed number of requests for a model that receive their answer.
    pub(super) fn running(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.running)
    }

    /// Arrivals per second of a model, smoothed over about two seconds.
    pub(super) fn recent_rate(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.recent_rate)
    }

    /// Models with at least `rate` recent arrivals per second.
    pub(super) fn recently_asked(&self, rate: f64) -> impl Iterator<Item = &str> {
        let models = self.models.iter();
        models
            .filter(move |(_, d)| d.recent_rate >= rate)
            .map(|(name, _)| name.as_str())
    }

    /// Smoothed arrivals per second of a model.
    pub(super) fn rate(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.rate)
    }
}

fn queue_lengths(input: &PlanningInput<'_>) -> HashMap<String, f64> {
    let mut queues: HashMap<String, f64> = HashMap::new();
    for upstream in input.upstreams {
        for (key, load) in input.loads.get(&upstream.id).into_iter().flatten() {
            let model = load::model_of(key).to_owned();
            *queues.entry(model).or_default() += f64::from(load.starting);
        }
    }
    for waiting in input.waiting {
        let queue = queues.entry(waiting.artifact.model.clone()).or_default();
        *queue += f64::from(waiting.requests);
    }
    queues
}

fn running_requests<'a>(input: &PlanningInput<'a>) -> HashMap<&'a str, f64> {
    let mut running: HashMap<&str, f64> = HashMap::new();
    for upstream in input.upstreams {
        for (key, load) in input.loads.get(&upstream.id).into_iter().flatten() {
            let answering = load.running.saturating_sub(load.starting);
            *running.entry(load::model_of(key)).or_default() += f64::from(answering);
        }
    }
    running
}

fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
