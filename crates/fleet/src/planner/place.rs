//! Where a model is loaded, and what it displaces.

use std::time::{Duration, Instant};

use super::{Planner, QUIET, World, engine::EngineState};
use crate::{
    config::{Engine, Model},
    load,
    upstream::HeldModel,
};

/// Cost, in seconds, of losing the last replica of a model that is not asked for.
const LAST_REPLICA: f64 = 0.2;
/// Time that the next request for a displaced model waits longer.
const RELOAD_S: f64 = 1.0;
/// Time over which the arrivals for a displaced model are weighed.
const HORIZON_S: f64 = 10.0;
/// Cost, in seconds, of a running request that an unload has to wait for.
const RUNNING_S: f64 = 0.5;
/// Part of the pressure of a crowded model that a displaced replica may have.
const WELL_BELOW: f64 = 0.5;

/// From where an engine loads a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Memory,
    Disk,
    Store,
}

impl Source {
    pub(super) fn load_time(self, model: &Model) -> Duration {
        match self {
            Self::Memory => model.memory_load,
            Self::Disk => model.disk_load,
            Self::Store => model.store_load,
        }
    }
}

/// A place for a model.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) upstream: String,
    pub(super) source: Source,
    pub(super) victims: Vec<String>,
}

impl Planner {
    /// Finds the engine where a model can be used first at the least cost for others.
    pub(super) fn best_place(
        &self,
        world: &World<'_>,
        model: &Model,
        bar: f64,
        may_use_store: bool,
        now: Instant,
    ) -> Option<Place> {
        let mut best: Option<(f64, Place)> = None;
        for (id, engine) in &self.engines {
            if !engine.is_free(now) || engine.will_hold(&model.name) {
                continue;
            }
            let source = source(engine, &model.name);
            if source == Source::Store && !may_use_store {
                continue;
            }
            let Some((loss, victims)) = self.victims(world, id, engine, model, bar) else {
                continue;
            };
            let cost = source.load_time(model).as_secs_f64() + loss;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let place = Place {
                    upstream: id.clone(),
                    source,
                    victims,
                };
                best = Some((cost, place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// Models to drop so that another fits, with the cost of that. None if they are worth more.
    fn victims(
        &self,
        world: &World<'_>,
        id: &str,
        engine: &EngineState,
        model: &Model,
        bar: f64,
    ) -> Option<(f64, Vec<String>)> {
        let spec = world.spec;
        let mut held: Vec<_> = engine.holds().models.iter().collect();
        let mut losses: Vec<_> = held.iter().map(|m| self.loss(world, id, m, bar)).collect();
        let mut victims = Vec::new();
        let mut total = 0.0;
        while !fits(spec, &held, model) {
            let cheapest = (0..held.len())
                .filter_map(|i| Some((losses[i]?, i)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let (loss, i) = cheapest?;
            total += loss;
            victims.push(held.swap_remove(i).name.clone());
            losses.swap_remove(i);
        }
        Some((total, victims))
    }

    /// Cost, in seconds, of dropping a model at an engine; none if it must stay.
    fn loss(&self, world: &World<'_>, id: &str, held: &HeldModel, bar: f64) -> Option<f64> {
        let name = &held.name;
        let running = load::of_model(world.loads, id, name).running;
        let running = f64::from(running) * RUNNING_S;
        let replicas = self.replicas(name);
        let waits = world.waiting.iter().any(|w| w.artifact.model == *name);
        if replicas <= 1 {
            let is_needed = waits || self.demands.queue(name) > QUIET;
            if is_needed || bar.is_finite() && running > 0.0 {
                return None;
            }
            let loss = self.demands.rate(name) * HORIZON_S * RELOAD_S;
            return Some(LAST_REPLICA + loss + running);
        }
        #[allow(clippy::cast_precision_loss)]
        let pressure = self.demands.queue(name) / (replicas - 1) as f64;
        // Either side of the exchange must gain clearly, or replicas would change places for ever.
        if pressure > bar * WELL_BELOW {
            return None;
        }
        Some(pressure + running)
    }
}

fn source(engine: &EngineState, model: &str) -> Source {
    let has = |names: &[String]| names.iter().any(|name| name == model);
    if has(&engine.holds().in_memory) {
        Source::Memory
    } else if has(&engine.holds().on_disk) {
        Source::Disk
    } else {
        Source::Store
    }
}

/// Whether a model fits beside others, with room for as many adapters as may be loaded.
pub(super) fn fits(spec: &Engine, held: &[&HeldModel], model: &Model) -> bool {
    let models = held.iter().filter_map(|m| spec.models.get(&m.name));
    let models = models.map(AsRef::as_ref).chain([model]);
    let (mut weights, mut adapter) = (0.0, 0.0_f64);
    for m in models {
        weights += m.weights_mb;
        if m.adapters > 0 {
            adapter = adapter.max(m.adapter_mb);
        }
    }
    // A model that the configuration does not know may take any room.
    let unknown = held.iter().any(|m| !spec.models.contains_key(&m.name));
    !unknown && weights + f64::from(spec.adapter_slots) * adapter <= spec.weights_mb
}
