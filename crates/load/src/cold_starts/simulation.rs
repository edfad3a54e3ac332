//! Discrete-event simulation of one run: the holder's state machine with simulated engines, gates
//! and record.

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
    report::{ColdStart, ColdStartResult, RunTotals},
    workload::Workload,
};
use crate::deployment::{ADAPTER_MB, Deployment, ENGINE_MB, MODEL_MB};

/// One-way network delay between two processes.
const NETWORK_DELAY: Duration = Duration::from_micros(1_500);
/// Time of a write to the key-value service.
const WRITE_TIME: Duration = Duration::from_millis(3);
/// Interval of reports from settled engines, of updates from gates, and of placement passes that
/// no event has caused.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a request runs on an engine.
const REQUEST_TIME: Duration = Duration::from_millis(500);
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    lease: Duration::from_secs(6),
    margin: Duration::from_millis(500),
};

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    DemandArrives,
    RecordWritten,
    OrderArrives(usize),
    ReportDue(usize),
    RequestEnds(usize),
    Tick,
}

/// A request that waits for its artifact.
struct QueuedRequest {
    /// Time of arrival since the start of the run.
    at: Duration,
    deadline: Instant,
    workspace: usize,
    time_limit: Duration,
}

/// State of one run.
pub(super) struct Simulation<'a, O, I> {
    deployment: &'a Deployment,
    workload: &'a Workload,
    clock: ManualClock,
    holder: Holder<O, I>,
    engines: Engines,
    /// Orders on their way to an engine.
    orders: BTreeMap<usize, Order>,
    /// By time; the number keeps the order of events at the same time.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    next_request: usize,
    /// Requests that wait, by artifact.
    waiting: BTreeMap<usize, Vec<QueuedRequest>>,
    /// Number of running requests, by served name.
    running: BTreeMap<String, u32>,
    /// Served names of the artifacts that the view of the gates lists as ready.
    ready: BTreeSet<String>,
    cold_starts: Vec<ColdStart>,
    totals: RunTotals,
}

impl<'a, O, I> Simulation<'a, O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    pub(super) fn new(
        deployment: &'a Deployment,
        workload: &'a Workload,
        policies: PlacementPolicies<O, I>,
        concurrency: usize,
    ) -> Self {
        let identity = HolderIdentity {
            name: "entry-0".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let settings = HolderSettings {
            max_model_loads: concurrency,
            ..HolderSettings::with_lease(LEASE_TIMES)
        };
        let mut holder = Holder::claim(&identity, None, settings, policies);
        holder.set_catalog("main", &catalog(deployment));
        Self {
            deployment,
            workload,
            clock: ManualClock::new(),
            holder,
            engines: Engines::new(deployment, &workload.checkpoints),
            orders: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            next_request: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            ready: BTreeSet::new(),
            cold_starts: Vec::new(),
            totals: RunTotals::default(),
        }
    }

    /// Runs to the end of the workload.
    pub(super) fn run(mut self) -> ColdStartResult {
        self.run_planner();
        self.schedule(TICK_INTERVAL, Event::Tick);
        for engine in 0..self.deployment.engines {
            self.schedule(NETWORK_DELAY, Event::ReportDue(engine));
        }
        while self.clock.elapsed() < self.workload.length {
            self.step();
        }
        let full_speed = usize::try_from(self.deployment.full_speed_loads).unwrap_or(1);
        let workspaces = &self.deployment.workspaces;
        ColdStartResult::new(&self.cold_starts, workspaces, full_speed, self.totals)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let at = self.clock.elapsed() + delay;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Advances the clock to the next request, event or end of a load, and handles it.
    fn step(&mut self) {
        let now = self.clock.elapsed();
        let request = self.workload.requests.get(self.next_request).map(|r| r.at);
        let event = self.events.peek().map(|Reverse((at, ..))| *at);
        let load = self.engines.time_to_next_end().map(|left| now + left);
        let next = [request, event, load].into_iter().flatten().min();
        let next = next.unwrap_or(self.workload.length).max(now);
        let elapsed = next.saturating_sub(now);
        self.clock.advance(elapsed);
        self.engines.advance(elapsed);
        if request == Some(next) {
            self.handle_arrival();
        } else if event == Some(next)
            && let Some(Reverse((_, _, event))) = self.events.pop()
        {
            self.handle(event);
        }
    }

    fn handle_arrival(&mut self) {
        let request = self.workload.requests[self.next_request].clone();
        self.next_request += 1;
        self.totals.requests += 1;
        let name = self.served_name(request.artifact);
        if self.ready.contains(&name) {
            self.start_request(request.artifact);
            return;
        }
        let queued = self.waiting.entry(request.artifact).or_default();
        let is_first = queued.is_empty();
        queued.push(QueuedRequest {
            at: request.at,
            deadline: self.clock.now() + request.time_limit,
            workspace: request.workspace,
            time_limit: request.time_limit,
        });
        if is_first {
            self.schedule(NETWORK_DELAY, Event::DemandArrives);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::DemandArrives => {
                self.send_demand();
                self.run_planner();
            }
            Event::RecordWritten => {
                self.holder.end_write(SwapOutcome::Written(0));
                self.run_planner();
            }
            Event::OrderArrives(engine) => self.deliver_order(engine),
            Event::ReportDue(engine) => self.read_report(engine),
            Event::RequestEnds(artifact) => {
                let name = self.served_name(artifact);
                if let Some(running) = self.running.get_mut(&name) {
                    *running -= 1;
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.send_demand();
        self.holder.set_usage("gate", &self.running, now);
        self.running.retain(|_, running| *running > 0);
        self.run_planner();
        self.totals.idle += TICK_INTERVAL.mul_f64(self.holder.idle_accelerators());
        self.schedule(TICK_INTERVAL, Event::Tick);
    }

    fn send_demand(&mut self) {
        let now = self.clock.now();
        let mut demand = GateDemand::new();
        for (artifact, queued) in &self.waiting {
            let mut workspaces = BTreeMap::new();
            for request in queued {
                let (name, _) = self.deployment.workspaces[request.workspace];
                let entry = workspaces
                    .entry(name.to_owned())
                    .or_insert(WaitingRequests {
                        count: 0,
                        deadline: request.deadline,
                    });
                entry.count += 1;
                entry.deadline = entry.deadline.min(request.deadline);
            }
            demand.insert(self.served_name(*artifact), workspaces);
        }
        self.holder.set_demand("gate", demand, now);
    }

    /// Runs a placement pass, starts a write of the record if one is due, and sends orders to
    /// engines that have none on the way.
    fn run_planner(&mut self) {
        let now = self.clock.now();
        self.holder.run_placement_pass(now);
        if self.holder.begin_write(now).is_some() {
            self.schedule(WRITE_TIME, Event::RecordWritten);
        }
        for engine in 0..self.deployment.engines {
            if self.orders.contains_key(&engine) {
                continue;
            }
            if let Some(order) = self.holder.next_order(&upstream_name(engine), now) {
                self.orders.insert(engine, order);
                self.schedule(NETWORK_DELAY, Event::OrderArrives(engine));
            }
        }
        // A placement pass alone can make a replica ready, by keeping one that was about to be
        // unloaded.
        self.apply_view();
    }

    fn deliver_order(&mut self, engine: usize) {
        let Some(order) = self.orders.remove(&engine) else {
            return;
        };
        self.engines.apply_order(engine, &order);
        let now = self.clock.now();
        let name = upstream_name(engine);
        self.holder
            .apply_order_outcome(&name, &order, OrderOutcome::Taken, now);
        self.holder
            .apply_report(&name, &self.engines.report(engine), now);
        let interval = self.holder.report_interval(&name, TICK_INTERVAL, now);
        self.schedule(interval, Event::ReportDue(engine));
        self.run_planner();
    }

    fn read_report(&mut self, engine: usize) {
        if self.orders.contains_key(&engine) {
            self.schedule(NETWORK_DELAY, Event::ReportDue(engine));
            return;
        }
        let now = self.clock.now();
        let name = upstream_name(engine);
        let report = self.engines.report(engine);
        let needs_pass = self.holder.needs_placement_pass(&name, &report);
        self.holder.apply_report(&name, &report, now);
        if needs_pass {
            self.run_planner();
        }
        let interval = self.holder.report_interval(&name, TICK_INTERVAL, now);
        self.schedule(interval, Event::ReportDue(engine));
    }

    /// Gives the gates the holder's view, and starts the requests whose artifacts are ready in it.
    fn apply_view(&mut self) {
        let view = self.holder.view(self.clock.now());
        let ready = view.replicas.into_iter().filter(|r| r.ready);
        self.ready = ready.map(|r| r.artifact).collect();
        let waiting: Vec<usize> = self.waiting.keys().copied().collect();
        for artifact in waiting {
            if self.ready.contains(&self.served_name(artifact)) {
                self.start_queued(artifact);
            }
        }
    }

    fn start_queued(&mut self, artifact: usize) {
        let Some(queued) = self.waiting.remove(&artifact) else {
            return;
        };
        let now = self.clock.elapsed() + NETWORK_DELAY;
        if let Some(first) = queued.first() {
            self.cold_starts.push(self.cold_start(artifact, first, now));
        }
        for request in &queued {
            self.totals.late += usize::from(now > request.at + request.time_limit);
            self.start_request(artifact);
        }
        self.send_demand();
    }

    /// Describes the wait of the first request in a queue that ends at `now`.
    fn cold_start(&self, artifact: usize, first: &QueuedRequest, now: Duration) -> ColdStart {
        let waited = now.saturating_sub(first.at);
        let uncontended_of = |name: &String| {
            self.engines
                .uncontended
                .get(name)
                .copied()
                .unwrap_or_default()
        };
        let own = uncontended_of(&self.served_name(artifact));
        let mut uncontended = own.time;
        let mut from_store = own.from_store;
        if let Some(adapter) = artifact.checked_sub(self.deployment.models) {
            let base = uncontended_of(&self.served_name(adapter % self.deployment.models));
            // The adapter's base model counts as loaded for this cold start if the wait was long
            // enough for both loads.
            if waited >= base.time + own.time {
                uncontended += base.time;
                from_store = base.from_store;
            } else {
                from_store = false;
            }
        }
        ColdStart {
            at: first.at,
            workspace: first.workspace,
            waited,
            uncontended,
            from_store,
        }
    }

    fn start_request(&mut self, artifact: usize) {
        let name = self.served_name(artifact);
        *self.running.entry(name).or_default() += 1;
        self.schedule(REQUEST_TIME, Event::RequestEnds(artifact));
    }

    fn served_name(&self, artifact: usize) -> String {
        format!("{}@1", self.deployment.served_name(artifact))
    }
}

fn upstream_name(engine: usize) -> String {
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
        catalog.upstreams.insert(upstream_name(engine), server);
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
