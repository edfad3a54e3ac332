//! Plans which engine of a service holds which models and adapters.
//!
//! One process plans for a service at a time. It builds its whole state from the platform's list of
//! upstreams and the engines' reports, so a successor needs no persisted state.
//!
//! Rarely used models share the engines like entries of a cache: a request for a model that no
//! engine holds evicts the models that are least likely to be requested, preferably at an engine
//! that has a local copy of the weights. Busy models get further replicas while requests queue at
//! the existing ones.

mod adapter_placement;
mod demand;
mod engine_state;
mod evacuation;
mod load_planning;
mod model_placement;
mod store_rate;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use self::{demand::DemandTracker, engine_state::EngineState, store_rate::StoreRate};
pub use self::{
    demand::{ArrivalTotals, WaitingRequests},
    engine_state::OrderResult,
};
use crate::{
    config::Engine,
    load::Loads,
    request::Artifact,
    upstream::{Report, Upstream},
};

/// Minimum interval between two report requests to one engine.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Pressure at or above which a model gets another replica. Pressure is the smoothed number of
/// requests waiting for their first event per replica; an engine that only ever processes one
/// prompt after another has a pressure of 1.
const CROWDED_PRESSURE: f64 = 0.7;
/// Pressure below which a replica counts as little used.
const LOW_PRESSURE: f64 = 0.25;
/// Fraction of the slots of a model's replicas that running requests may take before the model gets
/// another replica: the more requests an engine runs, the slower each of them is.
const CROWDED_OCCUPANCY: f64 = 0.5;

/// Part of an engine's limit up to which it counts as serving all that it is asked for.
const MAX_LIMIT_USE: f64 = 0.8;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model, or an adapter of a model that is loaded.
    Load(Artifact),
    /// Unload a model with its adapters, or one adapter.
    Unload(Artifact),
}

impl Order {
    /// The model or adapter to load or unload.
    pub fn artifact(&self) -> &Artifact {
        match self {
            Self::Load(artifact) | Self::Unload(artifact) => artifact,
        }
    }
}

/// A call to an engine that the caller of [`Planner::step`] has to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Request a report. The outcome goes to [`Planner::apply_report`] or
    /// [`Planner::report_failed`].
    Report {
        /// Identifier of the engine.
        upstream: String,
    },
    /// Send an order. The outcome goes to [`Planner::record_order_result`].
    Order {
        /// Identifier of the engine.
        upstream: String,
        /// The order.
        order: Order,
        /// Number of orders that the engine must have accepted before; otherwise it answers with
        /// a conflict.
        expected: u64,
    },
}

/// Models, and their adapters, that requests can be sent to, by engine.
pub type Placement = BTreeMap<String, BTreeMap<String, Vec<String>>>;

/// Plans the placement of models and adapters at the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    engines: BTreeMap<String, EngineState>,
    demands: DemandTracker,
    store_rate: StoreRate,
    /// Time at which each adapter was last used or planned, by engine.
    adapter_uses: HashMap<(String, Artifact), Instant>,
    placement: Placement,
    /// Replicas of each model that an engine holds or plans to load.
    replicas: HashMap<String, Replicas>,
    /// Estimated times at which models are loaded that wait for a busy engine.
    expected: HashMap<String, Instant>,
    /// Number of models that wait for the weight store.
    waiting_for_store: usize,
    /// Number of loads that the last step had to decide on.
    wanted: usize,
    /// Engines in evacuated zones.
    evacuated: BTreeSet<String>,
}

/// Number of engines that hold a model.
#[derive(Clone, Copy, Debug, Default)]
struct Replicas {
    /// After all planned orders.
    planned: usize,
    /// Now, and after all planned orders.
    loaded: usize,
}

/// Input of one planning step.
#[derive(Clone, Copy, Debug)]
pub struct PlanningInput<'a> {
    /// The service's engines in the platform's list of upstreams.
    pub upstreams: &'a [Rc<Upstream>],
    /// The operator's configuration of the engines.
    pub spec: &'a Engine,
    /// Requests at the engines, from all instances.
    pub loads: &'a Loads,
    /// Requests that wait for an artifact to be loaded, from all instances.
    pub waiting: &'a [WaitingRequests],
    /// Engines that some instance failed to reach recently.
    pub suspects: &'a BTreeSet<String>,
    /// Engines that want no calls from the holder for a time, with its end.
    pub closed: &'a HashMap<String, Instant>,
    /// Limits that engines have named, in requests a second from all instances.
    pub limits: &'a HashMap<String, f64>,
    /// Requests that arrived since the start of each instance's process, by model.
    pub arrivals: &'a HashMap<String, u64>,
}

impl Planner {
    /// Updates the plan and returns the calls to make now.
    pub fn step(&mut self, input: PlanningInput<'_>, now: Instant) -> Vec<Action> {
        self.sync_engines(&input, now);
        self.demands.update(&input, now);
        self.count_replicas();
        self.mark_overasked();
        self.record_adapter_uses(&input, now);
        self.expected.clear();
        self.waiting_for_store = 0;
        self.plan_loads(&input, now);
        let actions = self.next_actions(input.spec, now);
        self.update_placement(now);
        actions
    }

    /// Applies an engine's report.
    pub fn apply_report(&mut self, upstream: &str, report: &Report, now: Instant) {
        let concurrent = self.engines.values().filter(|e| e.has_store_load()).count();
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if let Some((duration, nominal)) = engine.apply_report(report, now) {
            self.store_rate.complete(duration, nominal, concurrent);
        }
    }

    /// Records that a requested report did not arrive.
    pub fn report_failed(&mut self, upstream: &str, now: Instant) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.record_missed_report(now);
        }
    }

    /// Records that a requested report could not be asked for yet.
    pub fn postpone_report(&mut self, upstream: &str) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.postpone_report();
        }
    }

    /// Records the outcome of an order.
    pub fn record_order_result(
        &mut self,
        upstream: &str,
        order: &Order,
        result: OrderResult,
        now: Instant,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.record_order_result(order, result, now);
        }
    }

    /// Discards all reports and plans, because orders of another holder may have been carried out
    /// since.
    pub fn forget_reports(&mut self) {
        self.engines
            .values_mut()
            .for_each(EngineState::forget_report);
    }

    /// Models and adapters that requests can be sent to.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Number of loads that the last step had to decide on.
    pub fn wanted_count(&self) -> usize {
        self.wanted
    }

    /// Estimated time until requests for an artifact can run; none if it is not known: no engine
    /// holds it or plans to load it, or it is an adapter of a loaded model, which takes little.
    pub fn ready_in(&self, artifact: &Artifact, now: Instant) -> Option<Duration> {
        if artifact.adapter.is_some() && self.loaded_replica_count(&artifact.model) > 0 {
            return None;
        }
        let engines = self.engines.iter();
        let engines = engines.filter(|(id, e)| !e.is_overasked() && !self.evacuated.contains(*id));
        let planned = engines.filter_map(|(_, e)| e.ready_in(artifact, now)).min();
        let expected = self.expected.get(&artifact.model);
        planned.or_else(|| expected.map(|at| at.saturating_duration_since(now)))
    }

    fn sync_engines(&mut self, input: &PlanningInput<'_>, now: Instant) {
        let listed: HashSet<_> = input.upstreams.iter().map(|u| u.id.as_str()).collect();
        self.engines.retain(|id, _| listed.contains(id.as_str()));
        for upstream in input.upstreams {
            let upstream = &self.effective_entry(upstream);
            if let Some(engine) = self.engines.get_mut(&upstream.id) {
                engine.apply_entry(upstream, now);
                if input.suspects.contains(&upstream.id) {
                    engine.mark_suspect();
                }
                engine.set_closed(input.closed.get(&upstream.id).copied());
                engine.set_limit(input.limits.get(&upstream.id).copied());
            } else {
                let engine = EngineState::new(upstream);
                self.engines.insert(upstream.id.clone(), engine);
            }
        }
    }

    fn update_placement(&mut self, now: Instant) {
        let engines = self.engines.iter();
        self.placement = engines
            .map(|(id, e)| (id.clone(), e.usable_artifacts(now)))
            .collect();
    }

    /// Whether any engine holds the artifact or has a planned order to load it.
    fn is_held_or_planned(&self, artifact: &Artifact) -> bool {
        if artifact.adapter.is_none() {
            return self.replica_count(&artifact.model) > 0;
        }
        let mut engines = self.engines.values().filter(|e| e.serves_all());
        engines.any(|e| e.holds_or_plans(artifact))
    }

    /// Requests for a model that run or wait, as a fraction of the slots of `replicas` engines.
    fn occupancy(&self, input: &PlanningInput<'_>, model: &str, replicas: usize) -> f64 {
        let running = self.demands.running(model) + self.demands.queue(model);
        #[allow(clippy::cast_precision_loss)]
        let slots = f64::from(input.spec.slots.max(1)) * replicas as f64;
        running / slots
    }

    /// Number of engines that hold a model after all planned orders.
    fn replica_count(&self, model: &str) -> usize {
        self.replicas.get(model).map_or(0, |r| r.planned)
    }

    /// Number of engines that hold a model now and keep it.
    fn loaded_replica_count(&self, model: &str) -> usize {
        self.replicas.get(model).map_or(0, |r| r.loaded)
    }

    /// Counts the replicas of all models. Counting them for each decision would take most of the
    /// holder's CPU in large fleets.
    fn count_replicas(&mut self) {
        self.replicas.clear();
        for engine in self.engines.values().filter(|e| e.serves_all()) {
            for (model, is_loaded) in engine.kept_models() {
                if !self.replicas.contains_key(model) {
                    self.replicas.insert(model.to_owned(), Replicas::default());
                }
                let replicas = self.replicas.get_mut(model).expect("inserted above");
                replicas.planned += 1;
                replicas.loaded += usize::from(is_loaded);
            }
        }
    }

    /// Finds the limited engines that are asked for more than they take, and no longer counts them as
    /// holding their models. Requests for a model are expected to spread evenly over its replicas.
    fn mark_overasked(&mut self) {
        let limited = self.engines.iter();
        let limited = limited.filter_map(|(id, e)| Some((id, e, e.limit()?)));
        let overasked = limited.filter(|(_, engine, limit)| {
            let asked = engine.kept_models().map(|(model, _)| {
                let replicas = u32::try_from(self.replica_count(model)).unwrap_or(u32::MAX);
                self.demands.recent_rate(model) / f64::from(replicas.max(1))
            });
            asked.sum::<f64>() > limit * MAX_LIMIT_USE
        });
        let overasked: Vec<_> = overasked.map(|(id, ..)| id.clone()).collect();
        if overasked.is_empty() {
            return;
        }
        for id in overasked {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.mark_overasked();
            }
        }
        self.count_replicas();
    }

    fn next_actions(&mut self, spec: &Engine, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.begin_report_if_due(now) {
                actions.push(Action::Report {
                    upstream: id.clone(),
                });
            } else if let Some((order, expected)) = engine.begin_next_order(spec, now) {
                actions.push(Action::Order {
                    upstream: id.clone(),
                    order,
                    expected,
                });
            }
        }
        actions
    }
}

/// Demand at one instance, which reports it to the holder of the planning duty.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests that wait for an artifact to be loaded, by service.
    pub waiting: BTreeMap<String, Vec<WaitingRequests>>,
    /// Requests that arrived since the start of the process, by service and model; only models whose
    /// number has changed since the last report that was answered.
    pub arrivals: BTreeMap<String, BTreeMap<String, u64>>,
}
