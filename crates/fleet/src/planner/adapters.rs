//! Where an adapter is loaded.

use std::time::{Duration, Instant};

use super::{Planner, World};
use crate::{load, request::Artifact, upstream::HeldModel};

/// Cost of dropping another adapter, in requests that run at the engine.
const DISPLACES: f64 = 4.0;
/// Cost of a request that waits for its first event, in requests that run at the engine.
const STARTING: f64 = 3.0;
/// Time that an adapter stays after it was loaded or used last: the requests that it was loaded
/// for have to arrive.
const LEAST_STAY: Duration = Duration::from_millis(500);

impl Planner {
    /// Notes which adapters are in use.
    pub(super) fn note_adapter_uses(&mut self, world: &World<'_>, now: Instant) {
        for (id, loads) in world.loads {
            let in_use = loads.iter().filter(|(_, load)| load.running > 0);
            for (key, _) in in_use {
                let artifact = Artifact::parse(key);
                if artifact.adapter.is_some() {
                    self.adapter_uses.insert((id.clone(), artifact), now);
                }
            }
        }
        let engines = &self.engines;
        self.adapter_uses
            .retain(|(id, _), _| engines.contains_key(id));
    }

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
                let Some(drop) = self.adapter_victim(world, id, adapter, now) else {
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
        self.adapter_uses.insert((id.clone(), adapter.clone()), now);
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.plan_adapter(adapter, victim);
        }
    }

    /// Adapter at an engine that was not used for the longest time and that nothing waits for.
    fn adapter_victim(
        &self,
        world: &World<'_>,
        id: &str,
        wanted: &Artifact,
        now: Instant,
    ) -> Option<Artifact> {
        let engine = self.engines.get(id)?;
        let adapters = engine.holds().models.iter().flat_map(adapters_of);
        let unused = adapters.filter_map(|a| {
            let used = self.adapter_uses.get(&(id.to_owned(), a.clone())).copied();
            let stays = used.is_some_and(|at| now.saturating_duration_since(at) < LEAST_STAY);
            let is_free = a != *wanted
                && !stays
                && !engine.plans_unload(&a)
                && !world.waiting.iter().any(|w| w.artifact == a);
            is_free.then_some((used, a))
        });
        unused.min_by_key(|(used, _)| *used).map(|(_, a)| a)
    }

    /// Whether all places for adapters at the engines that hold a model are in use.
    pub(super) fn lacks_adapter_places(
        &self,
        world: &World<'_>,
        model: &str,
        now: Instant,
    ) -> bool {
        let wanted = Artifact {
            model: model.to_owned(),
            adapter: Some(String::new()),
        };
        let slots = world.spec.adapter_slots as usize;
        self.engines.iter().all(|(id, engine)| {
            !engine.will_hold(model)
                || engine.adapter_count() >= slots
                    && self.adapter_victim(world, id, &wanted, now).is_none()
        })
    }
}

fn adapters_of(model: &HeldModel) -> impl Iterator<Item = Artifact> {
    model.adapters.iter().map(|adapter| Artifact {
        model: model.name.clone(),
        adapter: Some(adapter.clone()),
    })
}

fn busyness(world: &World<'_>, id: &str) -> f64 {
    let total = load::of_upstream(world.loads, id);
    f64::from(total.running) + f64::from(total.starting) * STARTING
}
