//! Simulated engines for tests of the planner on a virtual clock.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Engine, Model},
    load::{Load, Loads},
    planner::{Action, Order, OrderResult, Planner, PlanningInput, WaitingRequests},
    request::Artifact,
    upstream::{Holding, LoadedModel, Phase, Report, Upstream},
};

pub const LARGE_MB: f64 = 30.0;
pub const SMALL_MB: f64 = 12.0;
pub const ENGINE_MB: f64 = 64.0;
pub const ADAPTER_SLOTS: usize = 3;

pub fn artifact(text: &str) -> Artifact {
    Artifact::parse(text)
}

pub fn model(name: &str, weights_mb: f64, adapters: u32) -> Rc<Model> {
    Rc::new(Model {
        name: name.to_owned(),
        weights_mb,
        adapter_mb: 0.1,
        adapters,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
    })
}

pub fn spec(models: &[Rc<Model>]) -> Engine {
    Engine {
        slots: 8,
        kv_tokens: 100_000,
        weights_mb: ENGINE_MB,
        adapter_slots: u32::try_from(ADAPTER_SLOTS).unwrap(),
        loads_per_s: 2.0,
        models: models
            .iter()
            .map(|m| (m.name.clone(), Rc::clone(m)))
            .collect(),
    }
}

/// A simulated engine that follows the order protocol: it carries out one order at a time, and only
/// if the caller's order count is current.
#[derive(Debug)]
pub struct FakeEngine {
    pub id: String,
    pub models: BTreeMap<String, Vec<String>>,
    pub disk_copies: Vec<String>,
    /// Number of orders carried out so far.
    pub order_count: u64,
    pub loading: Option<(String, Instant)>,
    pub is_loading_from_store: bool,
    /// Orders whose answer is lost and that arrive later, each with its expected order count and
    /// its time. They are applied only if the count still matches.
    pub late_orders: Vec<(Order, u64, Instant)>,
    /// Artifacts whose load exceeded the memory or the adapter slots; must stay empty.
    pub overloads: Vec<String>,
    pub store_loads: usize,
    /// Adapters in use: an unload is accepted and takes effect when they are no longer in use.
    pub in_use: Vec<Artifact>,
    pub unloading_adapters: Vec<Artifact>,
    /// Whether reports leave out adapters that are being unloaded.
    pub hides_unloading: bool,
    /// Duration of the unload of a model, during which other orders get a conflict.
    pub unload_time: Duration,
    busy_until: Option<Instant>,
}

impl FakeEngine {
    pub fn new(id: &str, models: &[&str]) -> Self {
        Self {
            id: id.to_owned(),
            models: models
                .iter()
                .map(|m| ((*m).to_owned(), Vec::new()))
                .collect(),
            disk_copies: models.iter().map(|m| (*m).to_owned()).collect(),
            order_count: 0,
            loading: None,
            is_loading_from_store: false,
            late_orders: Vec::new(),
            overloads: Vec::new(),
            store_loads: 0,
            in_use: Vec::new(),
            unloading_adapters: Vec::new(),
            hides_unloading: false,
            unload_time: Duration::ZERO,
            busy_until: None,
        }
    }

    pub fn holds(&self) -> Holding {
        let models = self.models.iter().map(|(name, adapters)| LoadedModel {
            name: name.clone(),
            adapters: adapters.clone(),
        });
        Holding {
            models: models.collect(),
            in_memory: Vec::new(),
            on_disk: self.disk_copies.clone(),
        }
    }

    pub fn upstream(&self) -> Rc<Upstream> {
        Rc::new(Upstream {
            id: self.id.clone(),
            service: "llm".to_owned(),
            addr: "127.0.0.1:1".parse().unwrap(),
            zone: "a".to_owned(),
            software: "1".to_owned(),
            slots: 8,
            phase: Phase::Ready,
            born_ms: None,
            cold_for: std::time::Duration::ZERO,
            holds: self.holds(),
        })
    }

    pub fn report(&self) -> Report {
        let mut holds = self.holds();
        if self.hides_unloading {
            for model in &mut holds.models {
                let is_unloading = |adapter: &String| {
                    let of_model = self.unloading_adapters.iter();
                    of_model
                        .filter(|a| a.model == model.name)
                        .any(|a| a.adapter.as_ref() == Some(adapter))
                };
                model.adapters.retain(|adapter| !is_unloading(adapter));
            }
        }
        Report {
            holds,
            is_busy: self.loading.is_some(),
            orders: self.order_count,
            pending_adapters: Vec::new(),
        }
    }

    pub fn advance(&mut self, spec: &Engine, now: Instant) {
        if let Some((model, at)) = &self.loading
            && now >= *at
        {
            self.models.insert(model.clone(), Vec::new());
            if !self.disk_copies.contains(model) {
                self.disk_copies.push(model.clone());
            }
            self.loading = None;
            self.is_loading_from_store = false;
        }
        let in_use = &self.in_use;
        let models = &mut self.models;
        self.unloading_adapters.retain(|a| {
            let still_in_use = in_use.contains(a);
            if !still_in_use && let Some(adapters) = models.get_mut(&a.model) {
                adapters.retain(|name| Some(name) != a.adapter.as_ref());
            }
            still_in_use
        });
        let (due, later) = std::mem::take(&mut self.late_orders)
            .into_iter()
            .partition(|(_, _, at)| now >= *at);
        self.late_orders = later;
        for (order, expected, _) in due {
            self.apply_order(spec, &order, expected, now);
        }
    }

    pub fn apply_order(
        &mut self,
        spec: &Engine,
        order: &Order,
        expected: u64,
        now: Instant,
    ) -> OrderResult {
        let is_busy = self.loading.is_some() || self.busy_until.is_some_and(|at| now < at);
        if is_busy || expected != self.order_count {
            return OrderResult::Conflict;
        }
        match order {
            Order::Load(a) if a.adapter.is_some() => self.load_adapter(a),
            Order::Load(a) => self.load_model(spec, a, now),
            Order::Unload(a) if a.adapter.is_some() => self.unload_adapter(a),
            Order::Unload(a) => {
                if self.models.remove(&a.model).is_none() {
                    return OrderResult::AlreadyDone;
                }
                self.order_count += 1;
                self.busy_until = Some(now + self.unload_time);
                OrderResult::Accepted
            }
        }
    }

    fn load_model(&mut self, spec: &Engine, a: &Artifact, now: Instant) -> OrderResult {
        if self.models.contains_key(&a.model) {
            return OrderResult::AlreadyDone;
        }
        let Some(model) = spec.models.get(&a.model) else {
            return OrderResult::Rejected;
        };
        let held: f64 = self.models.keys().map(|m| spec.models[m].weights_mb).sum();
        if held + model.weights_mb > spec.weights_mb {
            self.overloads.push(a.key());
        }
        let has_copy = self.disk_copies.contains(&a.model);
        let time = if has_copy {
            model.disk_load
        } else {
            model.store_load
        };
        self.store_loads += usize::from(!has_copy);
        self.is_loading_from_store = !has_copy;
        self.loading = Some((a.model.clone(), now + time));
        self.order_count += 1;
        OrderResult::Accepted
    }

    fn load_adapter(&mut self, a: &Artifact) -> OrderResult {
        let count: usize = self.models.values().map(Vec::len).sum();
        let Some(adapters) = self.models.get_mut(&a.model) else {
            return OrderResult::Rejected;
        };
        let name = a.adapter.clone().unwrap();
        if adapters.contains(&name) {
            return OrderResult::AlreadyDone;
        }
        adapters.push(name);
        if count + 1 > ADAPTER_SLOTS {
            self.overloads.push(a.key());
        }
        self.order_count += 1;
        OrderResult::Accepted
    }

    fn unload_adapter(&mut self, a: &Artifact) -> OrderResult {
        self.order_count += 1;
        if self.in_use.contains(a) {
            self.unloading_adapters.push(a.clone());
            return OrderResult::Accepted;
        }
        if let Some(adapters) = self.models.get_mut(&a.model) {
            adapters.retain(|name| Some(name) != a.adapter.as_ref());
        }
        OrderResult::AlreadyDone
    }
}

/// A planner with simulated engines, on a virtual clock.
pub struct Fleet {
    pub planner: Planner,
    pub engines: Vec<FakeEngine>,
    pub spec: Engine,
    pub now: Instant,
    pub waiting: BTreeMap<String, u32>,
    pub arrivals: HashMap<String, u64>,
    pub loads: Loads,
    pub suspects: BTreeSet<String>,
    /// Ends of the times for which engines want no calls of the holder.
    pub closed: HashMap<String, Instant>,
    /// Limits that engines have named, in requests a second.
    pub limits: HashMap<String, f64>,
    /// Report requests so far.
    pub report_count: usize,
    /// Engines that have crashed and are still listed.
    pub crashed: BTreeSet<String>,
    /// Past reports of each engine with their times. A report call returns the one of
    /// `REPORT_LAG` ago.
    reports: BTreeMap<String, Vec<(Instant, Report)>>,
    /// Past entries of all engines with their times.
    entries: Vec<(Instant, Vec<Rc<Upstream>>)>,
    /// Age of the entries that the planner gets: heartbeats and reads of the list may be late.
    pub entry_age: Duration,
    /// Deliveries of the next orders, taken from the end; `Answered` once empty.
    pub deliveries: Vec<OrderDelivery>,
    /// Ages of the next reports, taken from the end; `REPORT_LAG` once empty.
    pub report_ages: Vec<Duration>,
    pub sent_orders: Vec<(String, Order)>,
    /// Number of loads that the weight store serves at full speed; more of them share it.
    pub store_full_speed: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDelivery {
    Answered,
    /// Carried out at once; the answer is lost.
    AnswerLost,
    /// Arrives after this time; the planner gets no answer.
    ArrivesLate(Duration),
}

pub const STEP: Duration = Duration::from_millis(50);
const REPORT_LAG: Duration = Duration::from_millis(300);

impl Fleet {
    pub fn new(models: &[Rc<Model>], engines: Vec<FakeEngine>) -> Self {
        Self {
            planner: Planner::default(),
            engines,
            spec: spec(models),
            now: Instant::now(),
            waiting: BTreeMap::new(),
            arrivals: HashMap::new(),
            loads: Loads::new(),
            suspects: BTreeSet::new(),
            closed: HashMap::new(),
            limits: HashMap::new(),
            report_count: 0,
            crashed: BTreeSet::new(),
            reports: BTreeMap::new(),
            entries: Vec::new(),
            entry_age: Duration::ZERO,
            deliveries: Vec::new(),
            report_ages: Vec::new(),
            sent_orders: Vec::new(),
            store_full_speed: usize::MAX,
        }
    }

    pub fn add_waiting(&mut self, artifact: &str, requests: u32) {
        self.waiting.insert(artifact.to_owned(), requests);
        let model = Artifact::parse(artifact).model;
        *self.arrivals.entry(model).or_default() += u64::from(requests);
    }

    pub fn set_load(&mut self, engine: &str, key: &str, starting: u32) {
        let load = Load {
            running: starting,
            starting,
            uncached_tokens: 0,
        };
        let models = self.loads.entry(engine.to_owned()).or_default();
        models.insert(key.to_owned(), load);
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.slow_down_store_loads();
        for engine in &mut self.engines {
            engine.advance(&self.spec, now);
            let history = self.reports.entry(engine.id.clone()).or_default();
            history.push((now, engine.report()));
        }
        let placed = self.planner.placement();
        let is_usable = |key: &String| {
            let wanted = Artifact::parse(key);
            placed.values().any(|models| {
                models.get(&wanted.model).is_some_and(|adapters| {
                    wanted.adapter.as_ref().is_none_or(|a| adapters.contains(a))
                })
            })
        };
        self.waiting.retain(|key, _| !is_usable(key));
        let upstreams = self.engines.iter().map(FakeEngine::upstream).collect();
        self.entries.push((now, upstreams));
        let mut latest_first = self.entries.iter().rev();
        let (_, upstreams) = latest_first
            .find(|(at, _)| *at + self.entry_age <= now)
            .or_else(|| self.entries.first())
            .unwrap();
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, requests)| WaitingRequests {
                artifact: Artifact::parse(key),
                requests: *requests,
            })
            .collect();
        let input = PlanningInput {
            closed: &self.closed,
            limits: &self.limits,
            upstreams,
            spec: &self.spec,
            loads: &self.loads,
            waiting: &waiting,
            suspects: &self.suspects,
            arrivals: &self.arrivals,
        };
        for action in self.planner.step(input, now) {
            self.perform(action);
        }
    }

    /// Delays the ends of loads by the share of the weight store that they lack.
    fn slow_down_store_loads(&mut self) {
        let is_store_load = |e: &&mut FakeEngine| e.is_loading_from_store;
        let in_progress = self.engines.iter_mut().filter(is_store_load).count();
        if in_progress <= self.store_full_speed {
            return;
        }
        let (served, all) = (
            u32::try_from(self.store_full_speed).unwrap(),
            u32::try_from(in_progress).unwrap(),
        );
        for engine in self.engines.iter_mut().filter(is_store_load) {
            if let Some((_, ends_at)) = &mut engine.loading {
                *ends_at += STEP * (all - served) / all;
            }
        }
    }

    fn perform(&mut self, action: Action) {
        let now = self.now;
        let (Action::Report { upstream } | Action::Order { upstream, .. }) = &action;
        let closed_until = self.closed.get(upstream);
        assert!(closed_until.is_none_or(|until| now >= *until), "{action:?}");
        self.report_count += usize::from(matches!(action, Action::Report { .. }));
        match action {
            Action::Report { upstream } if self.crashed.contains(&upstream) => {
                self.planner.report_failed(&upstream, now);
            }
            Action::Report { upstream } => {
                let history = &self.reports[&upstream];
                let age = self.report_ages.pop().unwrap_or(REPORT_LAG);
                let old = history.iter().rev().find(|(at, _)| *at + age <= now);
                match old {
                    Some((_, report)) => self.planner.apply_report(&upstream, report, now),
                    None => self.planner.report_failed(&upstream, now),
                }
            }
            Action::Order {
                upstream,
                order,
                expected,
            } => {
                self.sent_orders.push((upstream.clone(), order.clone()));
                let delivery = self.deliveries.pop().unwrap_or(OrderDelivery::Answered);
                let engine = self.engines.iter_mut().find(|e| e.id == upstream).unwrap();
                let result = match delivery {
                    OrderDelivery::Answered => {
                        engine.apply_order(&self.spec, &order, expected, now)
                    }
                    OrderDelivery::AnswerLost => {
                        engine.apply_order(&self.spec, &order, expected, now);
                        OrderResult::Unknown
                    }
                    OrderDelivery::ArrivesLate(after) => {
                        engine
                            .late_orders
                            .push((order.clone(), expected, now + after));
                        OrderResult::Unknown
                    }
                };
                self.planner
                    .record_order_result(&upstream, &order, result, now);
            }
        }
    }

    pub fn overloads(&self) -> Vec<String> {
        self.engines
            .iter()
            .flat_map(|e| e.overloads.clone())
            .collect()
    }

    pub fn replicas(&self, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|e| e.models.contains_key(model))
            .count()
    }
}
