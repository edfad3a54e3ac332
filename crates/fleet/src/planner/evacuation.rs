//! Engines in evacuated availability zones. They count as draining, and the models that only they hold
//! are loaded elsewhere before requests wait for them.

use std::{collections::BTreeSet, rc::Rc, time::Instant};

use super::{Planner, PlanningInput, model_placement::Wanted};
use crate::upstream::{Phase, Upstream};

/// Least smoothed arrivals per second for which a model is loaded elsewhere: one request within about
/// half a minute.
const MIN_RATE: f64 = 0.01;
/// Part of the demand up to which a model may evict the last replica of another one, which would else
/// be loaded again in its place.
const MAX_EVICTED_DEMAND_RATIO: f64 = 0.5;

impl Planner {
    /// Sets the engines that are in evacuated zones.
    pub fn set_evacuated(&mut self, engines: &BTreeSet<String>) {
        if self.evacuated != *engines {
            self.evacuated.clone_from(engines);
        }
    }

    /// The engine's entry in the list of upstreams, as draining if its zone is evacuated.
    pub(super) fn effective_entry(&self, upstream: &Rc<Upstream>) -> Rc<Upstream> {
        let mut entry = Rc::clone(upstream);
        if entry.phase == Phase::Ready && self.evacuated.contains(&entry.id) {
            Rc::make_mut(&mut entry).phase = Phase::Draining(None);
        }
        entry
    }

    /// Models with demand that only engines in evacuated zones hold, with the demand.
    pub(super) fn displaced_models(&self) -> Vec<(f64, String)> {
        let evacuated = self.evacuated.iter();
        let engines = evacuated.filter_map(|id| self.engines.get(id));
        let models: BTreeSet<&str> = engines
            .flat_map(|engine| engine.kept_models().map(|(model, _)| model))
            .collect();
        let lost = models.into_iter().filter(|m| self.replica_count(m) == 0);
        let wanted = lost.map(|model| (self.demand_for(model), model.to_owned()));
        wanted.filter(|(demand, _)| *demand >= MIN_RATE).collect()
    }

    /// Demand for a model: requests a second, and those that run or wait.
    fn demand_for(&self, model: &str) -> f64 {
        let demands = &self.demands;
        demands.rate(model).max(demands.recent_rate(model))
            + demands.queue(model)
            + demands.running(model)
    }

    /// Plans the load of a model that only engines in evacuated zones hold, unless it would evict the
    /// last replica of a model with similar demand.
    pub(super) fn replace_displaced(
        &mut self,
        input: &PlanningInput<'_>,
        name: &str,
        demand: f64,
        now: Instant,
    ) {
        let Some(model) = input.spec.models.get(name) else {
            return;
        };
        // A load that requests wait for may have been put off in this step.
        if self.replica_count(name) > 0 || self.expected.contains_key(name) {
            return;
        }
        let wanted = Wanted {
            pressure: f64::INFINITY,
            requests: demand,
        };
        self.place_model_if(input, model, wanted, now, |planner, target| {
            let takes_too_much = |victim: &String| {
                planner.loaded_replica_count(victim) <= 1
                    && planner.demand_for(victim) > demand * MAX_EVICTED_DEMAND_RATIO
            };
            !target.victims.iter().any(takes_too_much)
        });
    }
}
