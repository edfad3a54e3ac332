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
mod model_placement;
mod store_rate;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use self::{
    demand::DemandTracker,
    engine_state::{EngineState, LoadTime},
    model_placement::{Wanted, WeightSource},
    store_rate::StoreRate,
};
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

/// Weight of a request that waits at a crowded replica, in requests for a model that no engine
/// holds: it is served late, and the others are not served at all.
const CROWDED_REQUEST_WEIGHT: f64 = 0.25;
/// Recent arrivals per second from which a model is wanted although no request waits for it.
const MIN_RECENT_RATE: f64 = 0.25;

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
    /// Requests that arrived since the start of each instance's process, by model.
    pub arrivals: &'a HashMap<String, u64>,
}

impl Planner {
    /// Updates the plan and returns the calls to make now.
    pub fn step(&mut self, input: PlanningInput<'_>, now: Instant) -> Vec<Action> {
        self.sync_engines(&input, now);
        self.count_replicas();
        self.demands.update(&input, now);
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

    /// Estimated time until requests for an artifact can run; none if it is not known: no engine
    /// holds it or plans to load it, or it is an adapter of a loaded model, which takes little.
    pub fn ready_in(&self, artifact: &Artifact, now: Instant) -> Option<Duration> {
        if artifact.adapter.is_some() && self.loaded_replica_count(&artifact.model) > 0 {
            return None;
        }
        let engines = self.engines.values();
        let planned = engines.filter_map(|e| e.ready_in(artifact, now)).min();
        let expected = self.expected.get(&artifact.model);
        planned.or_else(|| expected.map(|at| at.saturating_duration_since(now)))
    }

    fn sync_engines(&mut self, input: &PlanningInput<'_>, now: Instant) {
        let listed: HashSet<_> = input.upstreams.iter().map(|u| u.id.as_str()).collect();
        self.engines.retain(|id, _| listed.contains(id.as_str()));
        for upstream in input.upstreams {
            if let Some(engine) = self.engines.get_mut(&upstream.id) {
                engine.apply_entry(upstream, now);
                if input.suspects.contains(&upstream.id) {
                    engine.mark_suspect();
                }
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

    /// Plans loads, the most wanted first: of the artifacts that requests wait for and that no
    /// engine holds or plans, and of further replicas of crowded models. Both need the same engines
    /// and the same weight store.
    fn plan_loads(&mut self, input: &PlanningInput<'_>, now: Instant) {
        let awaited = self.awaited_artifacts(input).into_iter();
        let awaited = awaited.map(|(requests, artifact)| (requests, LoadCause::Awaited(artifact)));
        let busiest = self.demands.busiest().into_iter();
        let crowded = busiest
            .map(|(model, queue)| (queue * CROWDED_REQUEST_WEIGHT, LoadCause::Crowded(model)));
        let mut wanted: Vec<_> = awaited.chain(crowded).collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (requests, cause) in wanted {
            match cause {
                LoadCause::Awaited(artifact) => self.place_awaited(input, &artifact, requests, now),
                LoadCause::Crowded(model) => self.add_replica(input, &model, now),
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

    /// Artifacts that requests wait for, and models that requests have recently asked for, the most
    /// wanted first, with the number of requests for them. Requests that cannot wait long enough are
    /// rejected and come back, so those that wait alone do not show the demand.
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
        let mut awaited: Vec<_> = waiting.chain(recent).collect();
        awaited.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        awaited
    }

    /// Whether any engine holds the artifact or has a planned order to load it.
    fn is_held_or_planned(&self, artifact: &Artifact) -> bool {
        if artifact.adapter.is_none() {
            return self.replica_count(&artifact.model) > 0;
        }
        let mut engines = self.engines.values().filter(|e| e.accepts_requests());
        engines.any(|e| e.holds_or_plans(artifact))
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
        for engine in self.engines.values().filter(|e| e.accepts_requests()) {
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
        model: &crate::config::Model,
        wanted: Wanted,
        now: Instant,
    ) {
        let may_use_store = self.may_load_from_store(input, now);
        let best = self.best_load_target(input, model, wanted, may_use_store, now);
        let Some(target) = best else {
            if !may_use_store {
                self.expect_store_load(model, now);
            }
            return;
        };
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
    fn expect_store_load(&mut self, model: &crate::config::Model, now: Instant) {
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

/// Why a load is wanted.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadCause {
    /// No engine holds the artifact.
    Awaited(Artifact),
    /// The engines that hold the model have too many requests for it.
    Crowded(String),
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
