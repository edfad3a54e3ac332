//! How much each model is asked for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::World;
use crate::{load, request::Artifact};

/// Time constant of the smoothed number of requests that wait for their first event.
const QUEUE_TIME: Duration = Duration::from_millis(1_500);
/// Time constant of the smoothed rate of arrivals. Rare models are asked for every ten seconds or
/// so, so that their rates need a longer time.
const RATE_TIME: Duration = Duration::from_secs(20);

/// Requests that wait for an artifact that no engine can run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Waiting {
    /// What they wait for.
    pub artifact: Artifact,
    /// How many they are.
    pub requests: u32,
}

#[derive(Debug, Default)]
pub(super) struct Demands {
    models: HashMap<String, Demand>,
    at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Demand {
    /// Smoothed number of requests that wait for their first event or for a replica.
    queue: f64,
    /// Smoothed arrivals each second.
    rate: f64,
    arrivals: u64,
}

impl Demands {
    /// Takes over what instances see.
    pub(super) fn note(&mut self, world: &World<'_>, now: Instant) {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        let queues = queues(world);
        for name in world.arrivals.keys().chain(queues.keys()) {
            if !self.models.contains_key(name) {
                self.models.insert(name.clone(), Demand::default());
            }
        }
        let queue_keep = keep(passed, QUEUE_TIME);
        let rate_keep = keep(passed, RATE_TIME);
        for (name, demand) in &mut self.models {
            let queue = queues.get(name).copied().unwrap_or(0.0);
            demand.queue = demand.queue * queue_keep + queue * (1.0 - queue_keep);
            let arrivals = world.arrivals.get(name).copied().unwrap_or(demand.arrivals);
            let new = arrivals.saturating_sub(demand.arrivals);
            demand.arrivals = arrivals;
            #[allow(clippy::cast_precision_loss)]
            let new = new as f64;
            demand.rate = demand.rate * rate_keep + new / RATE_TIME.as_secs_f64();
        }
    }

    /// Models with their queues, the longest first.
    pub(super) fn busiest(&self) -> Vec<(String, f64)> {
        let mut models: Vec<_> = self
            .models
            .iter()
            .filter(|(_, d)| d.queue > 0.1)
            .map(|(name, d)| (name.clone(), d.queue))
            .collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        models
    }

    /// Smoothed number of requests of a model that wait for their first event.
    pub(super) fn queue(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.queue)
    }

    /// Smoothed arrivals of a model each second.
    pub(super) fn rate(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |d| d.rate)
    }
}

fn queues(world: &World<'_>) -> HashMap<String, f64> {
    let mut queues: HashMap<String, f64> = HashMap::new();
    for upstream in world.upstreams {
        for (key, load) in world.loads.get(&upstream.id).into_iter().flatten() {
            let model = load::model_of(key).to_owned();
            *queues.entry(model).or_default() += f64::from(load.starting);
        }
    }
    for waiting in world.waiting {
        let queue = queues.entry(waiting.artifact.model.clone()).or_default();
        *queue += f64::from(waiting.requests);
    }
    queues
}

fn keep(passed: Duration, time: Duration) -> f64 {
    (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}
