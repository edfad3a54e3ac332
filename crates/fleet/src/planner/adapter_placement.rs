//! Chooses the engine at which an adapter is loaded.

use std::time::{Duration, Instant};

use super::{Planner, PlanningInput};
use crate::{load, request::Artifact, upstream::LoadedModel};

/// Cost of evicting another adapter, in running requests at the engine.
const EVICTION_COST: f64 = 4.0;
/// Cost of a request that waits for its first event, in running requests at the engine.
const WAITING_REQUEST_COST: f64 = 3.0;
/// Minimum time for which an adapter stays loaded after its load was planned or it was last used:
/// the requests for which it was loaded must be able to arrive.
const MIN_RESIDENCE: Duration = Duration::from_millis(500);

impl Planner {
    /// Records the adapters that running requests use.
    pub(super) fn record_adapter_uses(&mut self, input: &PlanningInput<'_>, now: Instant) {
        for (id, loads) in input.loads {
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
    pub(super) fn place_adapter(
        &mut self,
        input: &PlanningInput<'_>,
        adapter: &Artifact,
        now: Instant,
    ) {
        let slots = input.spec.adapter_slots as usize;
        let mut best: Option<(f64, String, Option<Artifact>)> = None;
        for (id, engine) in &self.engines {
            let holds = engine.holds().model(&adapter.model).is_some();
            let may_load = engine.accepts_adapter_loads(now) && engine.serves_all();
            if !holds || !may_load || !engine.will_hold(&adapter.model) {
                continue;
            }
            let mut cost = request_cost(input, id);
            let mut victim = None;
            if engine.adapter_count() >= slots {
                let Some(evicted) = self.adapter_victim(input, id, adapter, now) else {
                    continue;
                };
                cost += EVICTION_COST;
                victim = Some(evicted);
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

    /// The least recently used adapter of an engine that may be evicted: no request waits for it,
    /// and it has not been used for [`MIN_RESIDENCE`].
    fn adapter_victim(
        &self,
        input: &PlanningInput<'_>,
        id: &str,
        wanted: &Artifact,
        now: Instant,
    ) -> Option<Artifact> {
        let engine = self.engines.get(id)?;
        let adapters = engine.holds().models.iter().flat_map(adapters_of);
        let evictable = adapters.filter_map(|a| {
            let last_used = self.adapter_uses.get(&(id.to_owned(), a.clone())).copied();
            let must_stay =
                last_used.is_some_and(|at| now.saturating_duration_since(at) < MIN_RESIDENCE);
            let is_evictable = a != *wanted
                && !must_stay
                && !engine.plans_unload(&a)
                && !input.waiting.iter().any(|w| w.artifact == a);
            is_evictable.then_some((last_used, a))
        });
        evictable
            .min_by_key(|(last_used, _)| *last_used)
            .map(|(_, a)| a)
    }

    /// Whether each engine that holds a model has all adapter slots occupied by adapters that must
    /// stay.
    pub(super) fn lacks_free_adapter_slots(
        &self,
        input: &PlanningInput<'_>,
        model: &str,
        now: Instant,
    ) -> bool {
        // Stands for an adapter that no engine holds, so that each held one can be evicted for it.
        let wanted = Artifact {
            model: model.to_owned(),
            adapter: Some(String::new()),
        };
        let slots = input.spec.adapter_slots as usize;
        self.engines.iter().all(|(id, engine)| {
            !engine.will_hold(model)
                || engine.adapter_count() >= slots
                    && self.adapter_victim(input, id, &wanted, now).is_none()
        })
    }
}

fn adapters_of(model: &LoadedModel) -> impl Iterator<Item = Artifact> {
    model.adapters.iter().map(|adapter| Artifact {
        model: model.name.clone(),
        adapter: Some(adapter.clone()),
    })
}

/// Cost of the requests at an engine, in running requests.
fn request_cost(input: &PlanningInput<'_>, id: &str) -> f64 {
    let total = load::of_upstream(input.loads, id);
    f64::from(total.running) + f64::from(total.starting) * WAITING_REQUEST_COST
}
