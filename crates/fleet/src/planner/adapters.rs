//! Where an adapter is loaded.

use std::time::Instant;

use super::{Planner, World};
use crate::{load::Load, request::Artifact};

/// Cost of dropping another adapter, in requests that run at the engine.
const DISPLACES: f64 = 4.0;
/// Cost of a request that waits for its first event, in requests that run at the engine.
const STARTING: f64 = 3.0;

impl Planner {
    /// Plans the load of an adapter at the least busy engine that holds its model.
    pub(super) fn place_adapter(&mut self, world: &World<'_>, adapter: &Artifact, now: Instant) {
        let slots = world.spec.adapter_slots as usize;
        let mut best: Option<(f64, String, Option<Artifact>)> = None;
        for (id, engine) in &self.engines {
            let holds = engine.holds().model(&adapter.model).is_some();
            if !holds || !engine.takes_adapters() || !engine.will_hold(&adapter.model) {
                continue;
            }
            let mut cost = busyness(world, id);
            let mut victim = None;
            if engine.adapter_count() >= slots {
                let Some(drop) = self.adapter_victim(world, id, adapter) else {
                    continue;
                };
                cost += DISPLACES;
                victim = Some(drop);
            }
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, id.clone(), victim));
            }
        }
        let Some((_, id, victim)) = best else { return };
        if let Some(victim) = &victim {
            self.adapter_uses.remove(&(id.clone(), victim.clone()));
        }
        self.adapter_uses.insert((id.clone(), adapter.clone()), now);
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.plan_adapter(adapter, victim);
        }
    }

    /// Adapter at an engine that was loaded the longest time ago and that nothing waits for.
    fn adapter_victim(&self, world: &World<'_>, id: &str, wanted: &Artifact) -> Option<Artifact> {
        let engine = self.engines.get(id)?;
        let adapters = engine.holds().models.iter().flat_map(|m| {
            m.adapters.iter().map(|adapter| Artifact {
                model: m.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let free = adapters.filter(|a| {
            a != wanted
                && !engine.plans_unload(a)
                && !world.waiting.iter().any(|w| w.artifact == *a)
        });
        free.min_by_key(|a| self.adapter_uses.get(&(id.to_owned(), a.clone())).copied())
    }
}

fn busyness(world: &World<'_>, id: &str) -> f64 {
    let mut total = Load::default();
    for load in world.loads.get(id).into_iter().flat_map(|models| models.values()) {
        total.add(*load);
    }
    f64::from(total.running) + f64::from(total.starting) * STARTING
}
