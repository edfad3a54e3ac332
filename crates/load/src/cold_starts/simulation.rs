//! One run: the holder's state machine among engines on the virtual clock.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, ManualClock};
use comfreyweir_config::catalog::{Adapter, Catalog, Model, Upstream, UpstreamKind};
use comfreyweir_external::{engine::Order, kv::SwapOutcome};
use comfreyweir_placement::{
    demand::{GateDemand, WaitingRequests},
    engine_orders::OrderOutcome,
    holder::{Holder, HolderIdentity, HolderSettings, PlacementPolicies},
    idle::IdlePolicy,
    lease::LeaseTimes,
    load_order::LoadOrder,
};

use super::{
    engines::Engines,
    report::{ColdStart, Counts, Figures},
    workload::Demand,
};
use crate::deployment::{ADAPTER_MB, Deployment, ENGINE_MB, MODEL_MB};

/// One way between two processes.
const ONE_WAY: Duration = Duration::from_micros(1_500);
/// A write to the key-value service.
const WRITE: Duration = Duration::from_millis(3);
/// Usual period of reports, of contact with gates and of decisions without an occasion.
const TICK: Duration = Duration::from_secs(1);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(500);
const LEASE: LeaseTimes = LeaseTimes {
    lease: Duration::from_secs(6),
    margin: Duration::from_millis(500),
};

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    DemandHeard,
    Written,
    OrderArrives(usize),
    ReportRead(usize),
    RunEnds(usize),
    Tick,
}

struct Waiter {
    at: Duration,
    deadline: Instant,
    workspace: usize,
    time_left: Duration,
}

/// One run.
pub(super) struct Cell<'a, O, I> {
    deployment: &'a Deployment,
    demand: &'a Demand,
    clock: ManualClock,
    holder: Holder<O, I>,
    engines: Engines,
    orders: BTreeMap<usize, Order>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    next_request: usize,
    waiting: BTreeMap<usize, Vec<Waiter>>,
    running: BTreeMap<String, u32>,
    ready: BTreeSet<String>,
    cold: Vec<ColdStart>,
    counts: Counts,
}

impl<'a, O, I> Cell<'a, O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    pub(super) fn new(
        deployment: &'a Deployment,
        demand: &'a Demand,
        policies: PlacementPolicies<O, I>,
        concurrency: usize,
    ) -> Self {
        let identity = HolderIdentity {
            name: "entry-0".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let settings = HolderSettings {
            max_model_loads: concurrency,
            ..HolderSettings::with_lease(LEASE)
        };
        let mut holder = Holder::claim(&identity, None, settings, policies);
        holder.set_catalog("main", &catalog(deployment));
        Self {
            deployment,
            demand,
            clock: ManualClock::new(),
            holder,
            engines: Engines::new(deployment, &demand.checkpoints),
            orders: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            next_request: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            ready: BTreeSet::new(),
            cold: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Runs to the end of the demand.
    pub(super) fn run(mut self) -> Figures {
        self.think();
        self.after(TICK, Event::Tick);
        for engine in 0..self.deployment.engines {
            self.after(ONE_WAY, Event::ReportRead(engine));
        }
        while self.clock.elapsed() < self.demand.length {
            self.step();
        }
        let full_speed = usize::try_from(self.deployment.full_speed).unwrap_or(1);
        let workspaces = &self.deployment.workspaces;
        Figures::new(&self.cold, workspaces, full_speed, self.counts)
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let at = self.clock.elapsed() + delay;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Advances to whatever comes next: a request, an event, or the end of a load.
    fn step(&mut self) {
        let now = self.clock.elapsed();
        let request = self.demand.requests.get(self.next_request).map(|r| r.at);
        let event = self.events.peek().map(|Reverse((at, ..))| *at);
        let load = self.engines.next_end().map(|left| now + left);
        let next = [request, event, load].into_iter().flatten().min();
        let next = next.unwrap_or(self.demand.length).max(now);
        let passed = next.saturating_sub(now);
        self.clock.advance(passed);
        self.engines.advance(passed);
        if request == Some(next) {
            self.arrive();
        } else if event == Some(next)
            && let Some(Reverse((_, _, event))) = self.events.pop()
        {
            self.take(event);
        }
    }

    fn arrive(&mut self) {
        let request = self.demand.requests[self.next_request].clone();
        self.next_request += 1;
        self.counts.requests += 1;
        let name = self.served(request.artifact);
        if self.ready.contains(&name) {
            self.begin_run(request.artifact);
            return;
        }
        let waiters = self.waiting.entry(request.artifact).or_default();
        let is_first = waiters.is_empty();
        waiters.push(Waiter {
            at: request.at,
            deadline: self.clock.now() + request.time_left,
            workspace: request.workspace,
            time_left: request.time_left,
        });
        if is_first {
            self.after(ONE_WAY, Event::DemandHeard);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::DemandHeard => {
                self.tell_demand();
                self.think();
            }
            Event::Written => {
                self.holder.end_write(SwapOutcome::Written(0));
                self.think();
            }
            Event::OrderArrives(engine) => self.order_arrives(engine),
            Event::ReportRead(engine) => self.read_report(engine),
            Event::RunEnds(artifact) => {
                let name = self.served(artifact);
                if let Some(running) = self.running.get_mut(&name) {
                    *running -= 1;
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.tell_demand();
        self.holder.set_usage("gate", &self.running, now);
        self.running.retain(|_, running| *running > 0);
        self.think();
        self.counts.idle += TICK.mul_f64(self.holder.idle_accelerators());
        self.after(TICK, Event::Tick);
    }

    fn tell_demand(&mut self) {
        let now = self.clock.now();
        let mut demand = GateDemand::new();
        for (artifact, waiters) in &self.waiting {
            let mut workspaces = BTreeMap::new();
            for waiter in waiters {
                let (name, _) = self.deployment.workspaces[waiter.workspace];
                let entry = workspaces
                    .entry(name.to_owned())
                    .or_insert(WaitingRequests {
                        count: 0,
                        deadline: waiter.deadline,
                    });
                entry.count += 1;
                entry.deadline = entry.deadline.min(waiter.deadline);
            }
            demand.insert(self.served(*artifact), workspaces);
        }
        self.holder.set_demand("gate", demand, now);
    }

    /// Decides, writes what is due and sends what is due.
    fn think(&mut self) {
        let now = self.clock.now();
        self.holder.run_placement_pass(now);
        if self.holder.begin_write(now).is_some() {
            self.after(WRITE, Event::Written);
        }
        for engine in 0..self.deployment.engines {
            if self.orders.contains_key(&engine) {
                continue;
            }
            if let Some(order) = self.holder.next_order(&upstream(engine), now) {
                self.orders.insert(engine, order);
                self.after(ONE_WAY, Event::OrderArrives(engine));
            }
        }
        // A decision alone can make a replica ready: one that was about to be unloaded.
        self.see_view();
    }

    fn order_arrives(&mut self, engine: usize) {
        let Some(order) = self.orders.remove(&engine) else {
            return;
        };
        self.engines.take(engine, &order);
        let now = self.clock.now();
        let name = upstream(engine);
        self.holder
            .apply_order_outcome(&name, &order, OrderOutcome::Taken, now);
        self.holder
            .apply_report(&name, &self.engines.report(engine), now);
        let pause = self.holder.report_interval(&name, TICK, now);
        self.after(pause, Event::ReportRead(engine));
        self.think();
    }

    fn read_report(&mut self, engine: usize) {
        if self.orders.contains_key(&engine) {
            self.after(ONE_WAY, Event::ReportRead(engine));
            return;
        }
        let now = self.clock.now();
        let name = upstream(engine);
        let report = self.engines.report(engine);
        let is_news = self.holder.needs_placement_pass(&name, &report);
        self.holder.apply_report(&name, &report, now);
        if is_news {
            self.think();
        }
        let pause = self.holder.report_interval(&name, TICK, now);
        self.after(pause, Event::ReportRead(engine));
    }

    /// The gates see which artifacts are ready, and begin the requests that wait for them.
    fn see_view(&mut self) {
        let view = self.holder.view(self.clock.now());
        let ready = view.replicas.into_iter().filter(|r| r.ready);
        self.ready = ready.map(|r| r.artifact).collect();
        let waiting: Vec<usize> = self.waiting.keys().copied().collect();
        for artifact in waiting {
            if self.ready.contains(&self.served(artifact)) {
                self.begin_waiting(artifact);
            }
        }
    }

    fn begin_waiting(&mut self, artifact: usize) {
        let Some(waiters) = self.waiting.remove(&artifact) else {
            return;
        };
        let now = self.clock.elapsed() + ONE_WAY;
        if let Some(first) = waiters.first() {
            self.cold.push(self.cold_start(artifact, first, now));
        }
        for waiter in &waiters {
            self.counts.late += usize::from(now > waiter.at + waiter.time_left);
            self.begin_run(artifact);
        }
        self.tell_demand();
    }

    fn cold_start(&self, artifact: usize, first: &Waiter, now: Duration) -> ColdStart {
        let waited = now.saturating_sub(first.at);
        let alone_of = |name: &String| self.engines.alone.get(name).copied().unwrap_or_default();
        let own = alone_of(&self.served(artifact));
        let mut alone = own.time;
        let mut from_store = own.from_store;
        if let Some(adapter) = artifact.checked_sub(self.deployment.models) {
            let base = alone_of(&self.served(adapter % self.deployment.models));
            // The base was loaded for this start if the wait was long enough for its load.
            if waited >= base.time + own.time {
                alone += base.time;
                from_store = base.from_store;
            } else {
                from_store = false;
            }
        }
        ColdStart {
            at: first.at,
            workspace: first.workspace,
            waited,
            alone,
            from_store,
        }
    }

    fn begin_run(&mut self, artifact: usize) {
        let name = self.served(artifact);
        *self.running.entry(name).or_default() += 1;
        self.after(RUN, Event::RunEnds(artifact));
    }

    fn served(&self, artifact: usize) -> String {
        format!("{}@1", self.deployment.served(artifact))
    }
}

fn upstream(engine: usize) -> String {
    format!("engine-{engine}")
}

fn catalog(deployment: &Deployment) -> Catalog {
    let mut catalog = Catalog::default();
    for engine in 0..deployment.engines {
        let server = Upstream {
            kind: UpstreamKind::Engine,
            address: ([127, 0, 0, 1], 1).into(),
            zone: deployment.zones[engine % deployment.zones.len()].to_owned(),
            cell: "main".to_owned(),
            memory_mb: ENGINE_MB,
            slots: 8,
            checks_fencing: true,
            draining: false,
        };
        catalog.upstreams.insert(upstream(engine), server);
    }
    for model in 0..deployment.models {
        let settings = Model {
            version: "1".to_owned(),
            memory_mb: MODEL_MB,
            replicas: 1,
            max_output_tokens: 64,
            bytes_per_token: 4,
            workspaces: Vec::new(),
        };
        catalog.models.insert(Deployment::model(model), settings);
    }
    for adapter in 0..deployment.adapters {
        let settings = Adapter {
            model: Deployment::model(adapter % deployment.models),
            version: "1".to_owned(),
            memory_mb: ADAPTER_MB,
            workspaces: Vec::new(),
        };
        catalog
            .adapters
            .insert(Deployment::adapter(adapter), settings);
    }
    catalog
}
