//! Decides which loads are planned, the most wanted first.

use std::time::Instant;

use super::{
    CROWDED_OCCUPANCY, CROWDED_PRESSURE, LOW_PRESSURE, Planner, PlanningInput,
    engine_state::LoadTime,
    model_placement::{LoadTarget, Wanted, WeightSource},
};
use crate::{config::Model, request::Artifact};

/// Weight of a request that waits at a crowded replica, in requests for a model that no engine
/// holds: it is served late, and the others are not served at all.
const CROWDED_REQUEST_WEIGHT: f64 = 0.25;
/// Recent arrivals per second from which a model is wanted although no request waits for it.
const MIN_RECENT_RATE: f64 = 0.25;

/// Why a load is wanted.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadCause {
    /// No engine holds the artifact.
    Awaited(Artifact),
    /// The engines that hold the model have too many requests for it.
    Crowded(String),
    /// Only engines in evacuated zones hold the model.
    Displaced(String),
}

impl Planner {
    /// Plans loads, the most wanted first: of the artifacts that requests wait for and that no
    /// engine holds or plans, and of further replicas of crowded models. Both need the same engines
    /// and the same weight store.
    pub(super) fn plan_loads(&mut self, input: &PlanningInput<'_>, now: Instant) {
        let awaited = self.awaited_artifacts(input).into_iter();
        let awaited = awaited.map(|(requests, artifact)| (requests, LoadCause::Awaited(artifact)));
        let busiest = self.demands.busiest().into_iter();
        let crowded = busiest
            .map(|(model, queue)| (queue * CROWDED_REQUEST_WEIGHT, LoadCause::Crowded(model)));
        let displaced = self.displaced_models().into_iter();
        let displaced = displaced.map(|(demand, model)| (demand, LoadCause::Displaced(model)));
        let mut wanted: Vec<_> = awaited.chain(crowded).chain(displaced).collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        self.wanted = wanted.len();
        for (requests, cause) in wanted {
            match cause {
                LoadCause::Awaited(artifact) => self.place_awaited(input, &artifact, requests, now),
                LoadCause::Crowded(model) => self.add_replica(input, &model, now),
                LoadCause::Displaced(model) => {
                    self.replace_displaced(input, &model, requests, now);
                }
            }
        }
    }

    /// Plans the load of an artifact that requests wait for, unless an engine holds or plans it.
    fn place_awaited(
        &mut self,
        input: &PlanningInput<'_>,
        artifact: &Artifact,
        requests: f64,
        now: Instant,
    ) {
        let Some(model) = input.spec.models.get(&artifact.model) else {
            return;
        };
        if self.is_held_or_planned(artifact) {
            return;
        }
        let is_model_held = self.replica_count(&artifact.model) > 0;
        if is_model_held && artifact.adapter.is_some() {
            self.place_adapter(input, artifact, now);
        } else if !is_model_held {
            let wanted = Wanted {
                pressure: f64::INFINITY,
                requests,
            };
            self.place_model(input, model, wanted, now);
        }
    }

    /// Artifacts that requests wait for, and models that requests have recently asked for, with the
    /// number of requests for them. Requests that cannot wait long enough are rejected and come
    /// back, so those that wait alone do not show the demand.
    fn awaited_artifacts(&self, input: &PlanningInput<'_>) -> Vec<(f64, Artifact)> {
        let waiting = input.waiting.iter().map(|waiting| {
            let recent = self.demands.recent_rate(&waiting.artifact.model);
            (
                f64::from(waiting.requests) + recent,
                waiting.artifact.clone(),
            )
        });
        let is_waiting = |model: &str| input.waiting.iter().any(|w| w.artifact.model == model);
        let recent = self.demands.recently_asked(MIN_RECENT_RATE);
        let recent = recent.filter(|model| !is_waiting(model)).map(|model| {
            let artifact = Artifact::parse(model);
            (self.demands.recent_rate(model), artifact)
        });
        waiting.chain(recent).collect()
    }

    /// Plans a further replica of a model if it is crowded, evicting only models under clearly less
    /// pressure.
    fn add_replica(&mut self, input: &PlanningInput<'_>, name: &str, now: Instant) {
        let replicas = self.replica_count(name);
        let Some(model) = input.spec.models.get(name).filter(|_| replicas > 0) else {
            return;
        };
        #[allow(clippy::cast_precision_loss)]
        let pressure = self.demands.queue(name) / replicas as f64;
        let occupancy = self.occupancy(input, name, replicas);
        let is_crowded = pressure >= CROWDED_PRESSURE
            || occupancy >= CROWDED_OCCUPANCY
            || pressure >= LOW_PRESSURE && self.lacks_free_adapter_slots(input, name, now);
        // Wait for the effect of a replica that is already being loaded, unless the demand is known
        // to need more.
        let is_loading = self.engines.values().any(|e| e.plans_load(name));
        if is_crowded && (!is_loading || occupancy >= CROWDED_OCCUPANCY) {
            let wanted = Wanted {
                pressure: pressure.max(CROWDED_PRESSURE),
                requests: 1.0,
            };
            self.place_model(input, model, wanted, now);
        }
    }

    fn may_load_from_store(&mut self, input: &PlanningInput<'_>, now: Instant) -> bool {
        let in_progress = self.engines.values().filter(|e| e.has_store_load()).count();
        self.store_rate
            .may_begin(in_progress, input.spec.loads_per_s, now)
    }

    /// Plans a load of a model at the engine with the lowest cost in load time and evictions. If
    /// that engine is busy, its estimate is kept for the requests that wait.
    fn place_model(
        &mut self,
        input: &PlanningInput<'_>,
        model: &Model,
        wanted: Wanted,
        now: Instant,
    ) {
        self.place_model_if(input, model, wanted, now, |_, _| true);
    }

    /// Like [`Self::place_model`], if `accepts` accepts the engine and its victims.
    pub(super) fn place_model_if<F>(
        &mut self,
        input: &PlanningInput<'_>,
        model: &Model,
        wanted: Wanted,
        now: Instant,
        accepts: F,
    ) where
        F: Fn(&Self, &LoadTarget) -> bool,
    {
        let may_use_store = self.may_load_from_store(input, now);
        let best = self.best_load_target(input, model, wanted, may_use_store, now);
        let Some(target) = best else {
            if !may_use_store {
                self.expect_store_load(model, now);
            }
            return;
        };
        if !accepts(self, &target) {
            return;
        }
        if !target.begins_in.is_zero() {
            let ready_at = now + target.begins_in + target.source.load_time(model);
            self.expected.insert(model.name.clone(), ready_at);
            return;
        }
        if target.source == WeightSource::Store {
            self.store_rate.begin(now);
        }
        if let Some(engine) = self.engines.get_mut(&target.upstream) {
            let nominal = target.source.load_time(model);
            let is_from_store = target.source == WeightSource::Store;
            let time = LoadTime {
                nominal,
                estimated: if is_from_store {
                    self.store_rate.estimate(nominal)
                } else {
                    nominal
                },
            };
            engine.plan_load(&model.name, &target.victims, time, is_from_store);
            self.count_replicas();
        }
    }

    /// Estimates when a model is loaded that has to wait for the weight store, behind the models
    /// that were more wanted in this step.
    fn expect_store_load(&mut self, model: &Model, now: Instant) {
        let engines = self.engines.values();
        let ends = engines.filter_map(|e| e.store_load_remaining(now));
        let first_end = ends.min().unwrap_or_default();
        let time = self.store_rate.estimate(model.store_load);
        let turns = self.waiting_for_store / self.store_rate.limit();
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        self.waiting_for_store += 1;
        let ready_at = now + first_end + time.saturating_mul(turns.saturating_add(1));
        self.expected.insert(model.name.clone(), ready_at);
    }
}
