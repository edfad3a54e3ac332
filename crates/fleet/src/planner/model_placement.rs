//! Chooses the engine at which a model is loaded, and the models that it evicts there.

use std::time::{Duration, Instant};

use super::{
    CROWDED_OCCUPANCY, CROWDED_PRESSURE, LOW_PRESSURE, Planner, PlanningInput,
    engine_state::EngineState,
};
use crate::{
    config::{Engine, Model},
    load,
    upstream::LoadedModel,
};

/// Cost, in seconds, of evicting the last replica of a model without demand.
const LAST_REPLICA_COST_S: f64 = 0.2;
/// Additional time, in seconds, that the next request for an evicted model waits.
const RELOAD_DELAY_S: f64 = 1.0;
/// Time, in seconds, over which the expected arrivals for an evicted model are counted.
const DEMAND_HORIZON_S: f64 = 10.0;
/// Cost, in seconds, of each running request that an unload has to wait for.
const RUNNING_REQUEST_COST_S: f64 = 0.5;
/// Maximum number of requests for which the delay of a load counts.
const MAX_DELAYED_REQUESTS: f64 = 8.0;
/// Shortest estimate of the time until a busy engine can begin a load.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum pressure on the remaining replicas of an evicted model, as a fraction of the pressure
/// of the model to be loaded.
const MAX_EVICTED_PRESSURE_RATIO: f64 = 0.5;

/// Cost, in seconds, of evicting a replica whose requests the remaining ones cannot take over.
const CROWDING_COST_S: f64 = 5.0;

/// Place from which an engine loads the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WeightSource {
    Memory,
    Disk,
    Store,
}

impl WeightSource {
    pub(super) fn load_time(self, model: &Model) -> Duration {
        match self {
            Self::Memory => model.memory_load,
            Self::Disk => model.disk_load,
            Self::Store => model.store_load,
        }
    }
}

/// How much a model that is to be loaded is wanted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// Pressure of the model, infinite if no engine holds it. Evicted models must be clearly below
    /// it.
    pub(super) pressure: f64,
    /// Requests that are delayed until the model is loaded.
    pub(super) requests: f64,
}

/// Engine at which a model is to be loaded, and the models to evict first.
#[derive(Debug)]
pub(super) struct LoadTarget {
    pub(super) upstream: String,
    pub(super) source: WeightSource,
    pub(super) victims: Vec<String>,
    /// Estimated time until the load can begin; zero if it can be planned now.
    pub(super) begins_in: Duration,
}

impl Planner {
    /// Finds the engine with the lowest sum of eviction cost and, for each request that is delayed,
    /// load time and the time until the load can begin: a busy engine with a local copy is often
    /// better than a free one that has to load from the weight store.
    pub(super) fn best_load_target(
        &self,
        input: &PlanningInput<'_>,
        model: &Model,
        wanted: Wanted,
        may_use_store: bool,
        now: Instant,
    ) -> Option<LoadTarget> {
        let mut best: Option<(f64, LoadTarget)> = None;
        let is_unlimited = |e: &EngineState| e.accepts_requests() && e.limit().is_none();
        let has_unlimited = self.engines.values().any(is_unlimited);
        for (id, engine) in &self.engines {
            if has_unlimited && engine.limit().is_some() {
                continue;
            }
            let Some(begins_in) = engine.free_in(now) else {
                continue;
            };
            if engine.will_hold(&model.name) {
                continue;
            }
            let source = weight_source(engine, &model.name);
            if source == WeightSource::Store && !(may_use_store && engine.is_free(now)) {
                continue;
            }
            let Some((eviction_cost, victims)) =
                self.choose_victims(input, id, engine, model, wanted.pressure)
            else {
                continue;
            };
            let delay = source.load_time(model) + begins_in;
            let requests = wanted.requests.clamp(1.0, MAX_DELAYED_REQUESTS);
            let cost = delay.as_secs_f64() * requests + eviction_cost;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let target = LoadTarget {
                    upstream: id.clone(),
                    source,
                    victims,
                    begins_in: if engine.is_free(now) {
                        Duration::ZERO
                    } else {
                        begins_in.max(MIN_WAIT)
                    },
                };
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| target)
    }

    /// Models to evict so that another fits, cheapest first, with their total cost. None if models
    /// that must stay leave too little room.
    fn choose_victims(
        &self,
        input: &PlanningInput<'_>,
        id: &str,
        engine: &EngineState,
        model: &Model,
        pressure: f64,
    ) -> Option<(f64, Vec<String>)> {
        let spec = input.spec;
        let mut held: Vec<_> = engine.holds().models.iter().collect();
        let mut costs: Vec<_> = held
            .iter()
            .map(|m| self.eviction_cost(input, id, m, pressure))
            .collect();
        let mut victims = Vec::new();
        let mut total = 0.0;
        while !fits(spec, &held, model) {
            let cheapest = (0..held.len())
                .filter_map(|i| Some((costs[i]?, i)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let (eviction_cost, i) = cheapest?;
            total += eviction_cost;
            victims.push(held.swap_remove(i).name.clone());
            costs.swap_remove(i);
        }
        Some((total, victims))
    }

    /// Cost, in seconds, of evicting a model from an engine; none if it must stay. `pressure` is
    /// that of the model to be loaded, infinite if no engine holds it.
    fn eviction_cost(
        &self,
        input: &PlanningInput<'_>,
        id: &str,
        held: &LoadedModel,
        pressure: f64,
    ) -> Option<f64> {
        let name = &held.name;
        let running = load::of_model(input.loads, id, name).running;
        let running_cost = f64::from(running) * RUNNING_REQUEST_COST_S;
        // A replica that is still being loaded cannot serve the requests of this one yet.
        let replicas = self.loaded_replica_count(name);
        let has_waiting = input.waiting.iter().any(|w| w.artifact.model == *name);
        if replicas <= 1 {
            let is_needed = has_waiting || self.demands.queue(name) > LOW_PRESSURE;
            if is_needed || pressure.is_finite() && running_cost > 0.0 {
                return None;
            }
            let reload_cost = self.demands.rate(name) * DEMAND_HORIZON_S * RELOAD_DELAY_S;
            return Some(LAST_REPLICA_COST_S + reload_cost + running_cost);
        }
        #[allow(clippy::cast_precision_loss)]
        let remaining_pressure = self.demands.queue(name) / (replicas - 1) as f64;
        // Require a clear gain, or two models would evict each other's replicas for ever.
        if remaining_pressure > pressure * MAX_EVICTED_PRESSURE_RATIO {
            return None;
        }
        // If the remaining replicas cannot take over the requests, more of them suffer than are
        // helped. A model that no engine holds must still get in, or it would starve.
        let remaining_occupancy = self.occupancy(input, name, replicas - 1);
        let is_crowded =
            remaining_pressure >= CROWDED_PRESSURE || remaining_occupancy >= CROWDED_OCCUPANCY;
        let crowding_cost = if is_crowded { CROWDING_COST_S } else { 0.0 };
        // A pressure of 1 on the remaining replicas costs one second.
        Some(remaining_pressure + running_cost + crowding_cost)
    }
}

fn weight_source(engine: &EngineState, model: &str) -> WeightSource {
    let has = |names: &[String]| names.iter().any(|name| name == model);
    if has(&engine.holds().in_memory) {
        WeightSource::Memory
    } else if has(&engine.holds().on_disk) {
        WeightSource::Disk
    } else {
        WeightSource::Store
    }
}

/// Whether a model fits beside others, with room for the largest adapters in all adapter slots.
pub(super) fn fits(spec: &Engine, held: &[&LoadedModel], model: &Model) -> bool {
    let models = held.iter().filter_map(|m| spec.models.get(&m.name));
    let models = models.map(AsRef::as_ref).chain([model]);
    let (mut weights_mb, mut adapter_mb) = (0.0, 0.0_f64);
    for m in models {
        weights_mb += m.weights_mb;
        if m.adapters > 0 {
            adapter_mb = adapter_mb.max(m.adapter_mb);
        }
    }
    // The size of a model that is not in the configuration is unknown.
    let has_unknown = held.iter().any(|m| !spec.models.contains_key(&m.name));
    !has_unknown && weights_mb + f64::from(spec.adapter_slots) * adapter_mb <= spec.weights_mb
}
