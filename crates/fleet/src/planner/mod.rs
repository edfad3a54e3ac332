//! Which engine of a service holds which model and adapter.
//!
//! One process plans for a service at a time. Everything that it believes is rebuilt from the
//! platform's list and the engines' reports, so that a successor needs no record of its own.
//!
//! Rare models share the engines like entries of a cache: a request for a model that no engine
//! holds replaces models that are least likely to be asked for, preferably where an engine has a
//! copy of the weights. Busy models get further replicas while requests queue at those they have.

mod adapters;
mod demand;
mod engine;
mod place;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use self::{demand::Demands, engine::EngineState, place::Source};
pub use self::{demand::Waiting, engine::OrderResult};
use crate::{
    config::Engine,
    load::Loads,
    request::Artifact,
    upstream::{Report, Upstream},
};

/// Least time between two reports that are asked of one engine.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Requests that wait for their first event at each replica, on average, above which a model gets
/// another replica. An idle engine that reads prompts all the time has one.
const CROWDED: f64 = 0.7;
/// The same, below which a replica counts as little used.
const QUIET: f64 = 0.25;
/// Loads from the weight store at once. Weight stores serve a few at full speed and share their
/// bandwidth among more, so that more loads at once only end later.
const STORE_LOADS_AT_ONCE: usize = 4;
/// Loads that may begin within a window are the store's rate times this, to keep clear of its
/// ceiling.
const CEILING_PART: f64 = 0.9;
/// Window over which loads from the weight store are limited.
const CEILING_WINDOW: Duration = Duration::from_secs(5);

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model, or an adapter of a model that is loaded.
    Load(Artifact),
    /// Drop a model with its adapters, or one adapter.
    Unload(Artifact),
}

impl Order {
    /// What the order is about.
    pub fn artifact(&self) -> &Artifact {
        match self {
            Self::Load(artifact) | Self::Unload(artifact) => artifact,
        }
    }
}

/// Something to do at an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask for its report.
    Report {
        /// Identifier of the engine.
        upstream: String,
    },
    /// Give it an order.
    Order {
        /// Identifier of the engine.
        upstream: String,
        /// The order.
        order: Order,
        /// Number of orders that the engine must have accepted before.
        expected: u64,
    },
}

/// Models and adapters that requests can be sent to, by engine.
pub type Placement = BTreeMap<String, BTreeMap<String, Vec<String>>>;

/// Plans what the engines of one service hold.
#[derive(Debug, Default)]
pub struct Planner {
    engines: BTreeMap<String, EngineState>,
    demands: Demands,
    store_loads: Vec<Instant>,
    /// When adapters were last loaded or waited for, by engine.
    adapter_uses: HashMap<(String, Artifact), Instant>,
    placement: Placement,
}

/// What a step sees.
#[derive(Clone, Copy, Debug)]
pub struct World<'a> {
    /// Engines of the service in the platform's list.
    pub upstreams: &'a [Rc<Upstream>],
    /// What the operator says of the engines.
    pub spec: &'a Engine,
    /// Requests at the engines, from all instances.
    pub loads: &'a Loads,
    /// Requests that wait for an artifact, from all instances.
    pub waiting: &'a [Waiting],
    /// Engines that an instance could not reach lately.
    pub suspects: &'a BTreeSet<String>,
    /// Requests that arrived since the start of each instance's process, by model.
    pub arrivals: &'a HashMap<String, u64>,
}

impl Planner {
    /// Decides what to do now.
    pub fn step(&mut self, world: World<'_>, now: Instant) -> Vec<Action> {
        self.sync(&world, now);
        self.demands.note(&world, now);
        self.note_adapter_uses(&world, now);
        self.place_waiting(&world, now);
        self.add_replicas(&world, now);
        let actions = self.actions(world.spec, now);
        self.update_placement(now);
        actions
    }

    /// Takes over an engine's report.
    pub fn reported(&mut self, upstream: &str, report: &Report, now: Instant) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.reported(report, now);
        }
    }

    /// Notes that an engine gave no report.
    pub fn report_failed(&mut self, upstream: &str, now: Instant) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.report_failed(now);
        }
    }

    /// Takes over what became of an order.
    pub fn ordered(&mut self, upstream: &str, order: &Order, result: OrderResult, now: Instant) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.ordered(order, result, now);
        }
    }

    /// Forgets all reports. Orders of an earlier holder may have been carried out since.
    pub fn forget_reports(&mut self) {
        self.engines
            .values_mut()
            .for_each(EngineState::forget_report);
    }

    /// Models and adapters that requests can be sent to.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Time until requests for an artifact can run, as far as it is being made ready.
    pub fn ready_in(&self, artifact: &Artifact, now: Instant) -> Option<Duration> {
        let engines = self.engines.values();
        engines.filter_map(|e| e.ready_in(artifact, now)).min()
    }

    fn sync(&mut self, world: &World<'_>, now: Instant) {
        let upstreams = world.upstreams;
        self.engines
            .retain(|id, _| upstreams.iter().any(|u| u.id == *id));
        for upstream in upstreams {
            if let Some(engine) = self.engines.get_mut(&upstream.id) {
                engine.listed(upstream, now);
                if world.suspects.contains(&upstream.id) {
                    engine.suspect();
                }
            } else {
                let engine = EngineState::new(upstream);
                self.engines.insert(upstream.id.clone(), engine);
            }
        }
    }

    fn update_placement(&mut self, now: Instant) {
        let engines = self.engines.iter();
        self.placement = engines.map(|(id, e)| (id.clone(), e.usable(now))).collect();
    }

    /// Makes ready what requests wait for and no engine has.
    fn place_waiting(&mut self, world: &World<'_>, now: Instant) {
        for waiting in world.waiting {
            let artifact = &waiting.artifact;
            let Some(model) = world.spec.models.get(&artifact.model) else {
                continue;
            };
            if self.is_coming(artifact) {
                continue;
            }
            let has_model = self
                .engines
                .values()
                .any(|e| e.takes_requests() && e.will_hold(&artifact.model));
            if has_model && artifact.adapter.is_some() {
                self.place_adapter(world, artifact, now);
            } else if !has_model {
                self.place_model(world, model, f64::INFINITY, now);
            }
        }
    }

    /// Whether an engine has the artifact, or an order for it is planned.
    fn is_coming(&self, artifact: &Artifact) -> bool {
        let mut engines = self.engines.values().filter(|e| e.takes_requests());
        engines.any(|e| e.has_or_plans(artifact))
    }

    /// Gives the most crowded models another replica, where that displaces only what is used less.
    fn add_replicas(&mut self, world: &World<'_>, now: Instant) {
        for (name, queue) in self.demands.busiest() {
            let replicas = self.replicas(&name);
            #[allow(clippy::cast_precision_loss)]
            let pressure = queue / replicas.max(1) as f64;
            let is_crowded = pressure >= CROWDED
                || pressure >= QUIET && self.lacks_adapter_places(world, &name, now);
            if replicas == 0 || !is_crowded {
                continue;
            }
            // Another replica that is on its way has to show its effect first.
            if self.engines.values().any(|e| e.plans_load(&name)) {
                continue;
            }
            if let Some(model) = world.spec.models.get(&name) {
                self.place_model(world, model, pressure.max(CROWDED), now);
            }
        }
    }

    fn replicas(&self, model: &str) -> usize {
        let engines = self.engines.values().filter(|e| e.takes_requests());
        engines.filter(|e| e.will_hold(model)).count()
    }

    fn may_load_from_store(&mut self, world: &World<'_>, now: Instant) -> bool {
        self.store_loads
            .retain(|at| now.saturating_duration_since(*at) < CEILING_WINDOW);
        let limit = world.spec.loads_per_s * CEILING_WINDOW.as_secs_f64() * CEILING_PART;
        let under_way = self
            .engines
            .values()
            .filter(|e| e.loads_from_store())
            .count();
        #[allow(clippy::cast_precision_loss)]
        let begun = self.store_loads.len() as f64;
        under_way < STORE_LOADS_AT_ONCE && begun + 1.0 <= limit.max(1.0)
    }

    /// Plans a load where it is ready first and displaces least. `bar` is the pressure that
    /// displaced models must stay well below.
    fn place_model(
        &mut self,
        world: &World<'_>,
        model: &crate::config::Model,
        bar: f64,
        now: Instant,
    ) {
        let may_use_store = self.may_load_from_store(world, now);
        let best = self.best_place(world, model, bar, may_use_store, now);
        let Some(place) = best else { return };
        if place.source == Source::Store {
            self.store_loads.push(now);
        }
        if let Some(engine) = self.engines.get_mut(&place.upstream) {
            let time = place.source.load_time(model);
            let is_from_store = place.source == Source::Store;
            engine.plan_load(&model.name, &place.victims, time, is_from_store);
        }
    }

    fn actions(&mut self, spec: &Engine, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.wants_report(now) {
                actions.push(Action::Report {
                    upstream: id.clone(),
                });
            } else if let Some((order, expected)) = engine.next_order(spec, now) {
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

/// Demand at one instance, as it reports it to the holder.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests that wait, by service.
    pub waiting: BTreeMap<String, Vec<Waiting>>,
    /// Requests that arrived since the start of the process, by service and model.
    pub arrivals: BTreeMap<String, BTreeMap<String, u64>>,
}
