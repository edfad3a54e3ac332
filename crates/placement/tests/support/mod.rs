//! A simulated cell: several planners, one stored record, engines, and a network that loses and
//! delays orders.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, ManualClock};
use comfreyweir_config::catalog::{Catalog, Model, Upstream, UpstreamKind};
use comfreyweir_external::{
    engine::{LoadState, LoadedArtifact, Order, OrderAction, Report},
    kv::SwapOutcome,
};
use comfreyweir_placement::{
    demand::{GateDemand, WaitingRequests},
    engine_orders::OrderOutcome,
    holder::{Holder, HolderIdentity, HolderSettings, PlacementPolicies},
    idle::FixedKeep,
    lease::{LeaseTimes, Standby},
    load_order::FairDeadline,
    record::CellRecord,
    server_choice::ServerChoice,
};

pub const PLANNERS: usize = 3;
pub const ENGINES: usize = 3;
pub const MODELS: usize = 4;
const MODEL_MB: u64 = 40;
const ENGINE_MB: u64 = 100;
const KEEP_IDLE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_mins(1);
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    lease: Duration::from_secs(1),
    margin: Duration::from_millis(100),
};

type TestHolder = Holder<FairDeadline, FixedKeep>;

/// A mechanism that is left out, to prove that the invariants fail without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisabledMechanism {
    Nothing,
    /// Orders may be sent before their decision is recorded.
    RecordBeforeOrder,
    /// A successor forgets that orders of its predecessor may still arrive.
    PredecessorOrders,
}

pub struct Engine {
    pub checks_fencing: bool,
    incarnation: u64,
    term: u64,
    held: BTreeMap<String, LoadedArtifact>,
}

impl Engine {
    fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            term: self.term,
            memory_mb: ENGINE_MB,
            loaded: self.held.values().cloned().collect(),
            ..Report::default()
        }
    }

    fn apply_order(&mut self, order: &Order) -> OrderOutcome {
        if self.checks_fencing && order.term < self.term {
            return OrderOutcome::Fenced;
        }
        self.term = self.term.max(order.term);
        match &order.action {
            OrderAction::Fence => {}
            OrderAction::Load {
                artifact,
                memory_mb,
            } => {
                let loaded = LoadedArtifact {
                    artifact: artifact.clone(),
                    state: LoadState::Loading,
                    memory_mb: *memory_mb,
                };
                self.held.entry(artifact.served_name()).or_insert(loaded);
            }
            OrderAction::Unload { artifact } => {
                if let Some(held) = self.held.get_mut(&artifact.served_name()) {
                    held.state = LoadState::Unloading;
                }
            }
        }
        OrderOutcome::Taken
    }

    fn progress(&mut self) {
        self.held
            .retain(|_, held| held.state != LoadState::Unloading);
        for held in self.held.values_mut() {
            held.state = LoadState::Ready;
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.term = 0;
        self.held.clear();
    }
}

struct PendingWrite {
    expected: u64,
    id: u64,
    record: CellRecord,
}

struct HolderState {
    holder: TestHolder,
    version: u64,
    pending_write: Option<PendingWrite>,
    /// Identifier of the order that awaits an answer, by engine.
    pending_orders: BTreeMap<usize, u64>,
    /// Report in transit, by engine.
    reports: BTreeMap<usize, Report>,
}

enum Role {
    Standby(Standby),
    Holder(Box<HolderState>),
}

struct Planner {
    role: Role,
    paused: bool,
}

struct Message {
    id: u64,
    engine: usize,
    order: Order,
}

#[derive(Default)]
struct StoredRecord {
    version: u64,
    write_id: u64,
    record: Option<CellRecord>,
}

pub struct SimulatedCell {
    clock: ManualClock,
    disabled: DisabledMechanism,
    stored: StoredRecord,
    outage: bool,
    late_writes: Vec<PendingWrite>,
    planners: Vec<Planner>,
    pub engines: Vec<Engine>,
    network: Vec<Message>,
    next_id: u64,
    catalog: Catalog,
}

fn upstream_name(engine: usize) -> String {
    format!("e{engine}")
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap() + 1;
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn served_name(model: usize) -> String {
    format!("m{model}@1")
}

/// Configured number of replicas of a model: two for model 0, one for others.
pub fn replicas(model: usize) -> u32 {
    1 + u32::from(model == 0)
}

fn catalog(checks_fencing: &[bool]) -> Catalog {
    let mut catalog = Catalog::default();
    for (engine, checks_fencing) in checks_fencing.iter().enumerate() {
        let upstream = Upstream {
            kind: UpstreamKind::Engine,
            address: address(engine),
            zone: "z".to_owned(),
            cell: "main".to_owned(),
            memory_mb: ENGINE_MB,
            slots: 1,
            checks_fencing: *checks_fencing,
            draining: false,
        };
        catalog.upstreams.insert(upstream_name(engine), upstream);
    }
    for model in 0..MODELS {
        let settings = Model {
            version: "1".to_owned(),
            memory_mb: MODEL_MB,
            replicas: replicas(model),
            max_output_tokens: 1,
            bytes_per_token: 4,
            workspaces: Vec::new(),
        };
        catalog.models.insert(format!("m{model}"), settings);
    }
    catalog
}

impl SimulatedCell {
    pub fn new(checks_fencing: [bool; ENGINES], disabled: DisabledMechanism) -> Self {
        let standby = || Planner {
            role: Role::Standby(Standby::default()),
            paused: false,
        };
        let engine = |checks_fencing: &bool| Engine {
            checks_fencing: *checks_fencing,
            incarnation: 1,
            term: 0,
            held: BTreeMap::new(),
        };
        Self {
            clock: ManualClock::new(),
            disabled,
            stored: StoredRecord::default(),
            outage: false,
            late_writes: Vec::new(),
            planners: (0..PLANNERS).map(|_| standby()).collect(),
            engines: checks_fencing.iter().map(engine).collect(),
            network: Vec::new(),
            next_id: 0,
            catalog: catalog(&checks_fencing),
        }
    }

    /// Checks what must hold after every step: no engine holds more than its memory, and no model
    /// has more than its configured replicas.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (index, engine) in self.engines.iter().enumerate() {
            let used: u64 = engine.held.values().map(|l| l.memory_mb).sum();
            if used > ENGINE_MB {
                return Err(format!("engine {index} holds {used} MB of {ENGINE_MB} MB"));
            }
        }
        for model in 0..MODELS {
            let name = served_name(model);
            let held = self.engines.iter().filter(|e| e.held.contains_key(&name));
            let count = held.count();
            if count > replicas(model) as usize {
                return Err(format!("{count} replicas of {name}"));
            }
        }
        Ok(())
    }

    /// Advances the clock by `ticks` of 4 ms each.
    pub fn advance(&mut self, ticks: u8) {
        self.clock
            .advance(Duration::from_millis(u64::from(ticks) * 4));
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// A standby takes over if it may. A holder runs a placement pass and begins the write that is
    /// due; a deposed holder becomes a standby.
    pub fn run_planner(&mut self, planner: usize) {
        let now = self.now();
        let id = self.new_id();
        let outage = self.outage;
        let catalog = &self.catalog;
        let stored = &self.stored;
        let p = &mut self.planners[planner];
        if p.paused {
            return;
        }
        match &mut p.role {
            Role::Standby(_) if outage => {}
            Role::Standby(standby) => {
                let record = stored.record.as_ref();
                let may_take_over = standby.may_take_over(
                    stored.version,
                    record,
                    address(planner),
                    LEASE_TIMES,
                    now,
                );
                if may_take_over {
                    let mut predecessor = stored.record.clone();
                    // The successor assumes that a released cell has no orders in transit.
                    if let Some(old_record) = predecessor
                        .as_mut()
                        .filter(|_| self.disabled == DisabledMechanism::PredecessorOrders)
                    {
                        old_record.released = true;
                    }
                    let mut holder = claim_duty(planner, predecessor.as_ref());
                    holder.set_catalog("main", catalog);
                    p.role = Role::Holder(Box::new(HolderState {
                        holder,
                        version: stored.version,
                        pending_write: None,
                        pending_orders: BTreeMap::new(),
                        reports: BTreeMap::new(),
                    }));
                }
            }
            Role::Holder(state) if state.holder.is_deposed() => {
                p.role = Role::Standby(Standby::default());
            }
            Role::Holder(state) => {
                state.holder.run_placement_pass(now);
                if let Some(record) = state.holder.begin_write(now) {
                    state.pending_write = Some(PendingWrite {
                        expected: state.version,
                        id,
                        record,
                    });
                    if self.disabled == DisabledMechanism::RecordBeforeOrder
                        && state.holder.is_active()
                    {
                        let version = state.version;
                        state.holder.end_write(SwapOutcome::Written(version));
                        state.pending_write = None;
                    }
                }
            }
        }
    }

    /// Attempts the pending write of a planner. `delivery` selects whether it is applied, delayed
    /// or lost; without a known outcome the write stays pending and is attempted again.
    pub fn attempt_write(&mut self, planner: usize, delivery: u8) {
        if self.outage || self.planners[planner].paused {
            return;
        }
        let Role::Holder(state) = &mut self.planners[planner].role else {
            return;
        };
        let Some(write) = state.pending_write.take() else {
            return;
        };
        if self.stored.write_id == write.id {
            let version = self.stored.version;
            state.version = version;
            state.holder.end_write(SwapOutcome::Written(version));
            return;
        }
        if self.stored.version > write.expected {
            state.holder.end_write(SwapOutcome::Conflict);
            return;
        }
        match delivery % 4 {
            // Applied; the answer arrives (0) or is lost (1).
            0 | 1 => {
                apply_write(&mut self.stored, &write);
                if delivery.is_multiple_of(4) {
                    let version = self.stored.version;
                    state.version = version;
                    state.holder.end_write(SwapOutcome::Written(version));
                } else {
                    state.pending_write = Some(write);
                }
            }
            // Delayed: a later step applies it.
            2 => {
                self.late_writes.push(PendingWrite {
                    record: write.record.clone(),
                    ..write
                });
                state.pending_write = Some(write);
            }
            // Lost before it reaches the store.
            _ => state.pending_write = Some(write),
        }
    }

    pub fn apply_late_write(&mut self) {
        if let Some(write) = self.late_writes.pop()
            && self.stored.version == write.expected
        {
            apply_write(&mut self.stored, &write);
        }
    }

    /// A planner sends the next order for an engine, if one is due.
    pub fn send_order(&mut self, planner: usize, engine: usize) {
        let now = self.now();
        let id = self.new_id();
        if self.planners[planner].paused {
            return;
        }
        let Role::Holder(state) = &mut self.planners[planner].role else {
            return;
        };
        if state.pending_orders.contains_key(&engine) || state.reports.contains_key(&engine) {
            return;
        }
        if let Some(order) = state.holder.next_order(&upstream_name(engine), now) {
            state.pending_orders.insert(engine, id);
            self.network.push(Message { id, engine, order });
        }
    }

    /// An order arrives at its engine. Its answer arrives if `answered`, else it is lost.
    pub fn deliver_order(&mut self, pick: u8, answered: bool) {
        let now = self.now();
        if self.network.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.network.len();
        let message = self.network.remove(index);
        let outcome = self.engines[message.engine].apply_order(&message.order);
        for planner in &mut self.planners {
            let Role::Holder(state) = &mut planner.role else {
                continue;
            };
            let awaited = state.pending_orders.get(&message.engine) == Some(&message.id);
            if awaited && answered && !planner.paused {
                state.pending_orders.remove(&message.engine);
                let name = upstream_name(message.engine);
                state
                    .holder
                    .apply_order_outcome(&name, &message.order, outcome, now);
            }
        }
    }

    /// A planner stops waiting for the answer to an order, which may still arrive at the engine.
    pub fn time_out_order(&mut self, planner: usize, engine: usize) {
        let now = self.now();
        if self.planners[planner].paused {
            return;
        }
        let Role::Holder(state) = &mut self.planners[planner].role else {
            return;
        };
        let Some(id) = state.pending_orders.remove(&engine) else {
            return;
        };
        let message = self.network.iter().find(|m| m.id == id);
        let name = upstream_name(engine);
        // An order that has arrived is no longer in the network: it is reconstructed from the plan.
        let order = message.map_or_else(
            || last_unanswered_order(&state.holder, &name),
            |m| Some(m.order.clone()),
        );
        if let Some(order) = order {
            state
                .holder
                .apply_order_outcome(&name, &order, OrderOutcome::Unknown, now);
        }
    }

    /// An engine creates a report, which is then in transit to a planner.
    pub fn request_report(&mut self, planner: usize, engine: usize) {
        let report = self.engines[engine].report();
        if let Role::Holder(state) = &mut self.planners[planner].role
            && state.holder.is_active()
            && !state.pending_orders.contains_key(&engine)
        {
            state.reports.entry(engine).or_insert(report);
        }
    }

    /// A report in transit arrives, or is lost.
    pub fn deliver_report(&mut self, planner: usize, engine: usize, lost: bool) {
        let now = self.now();
        if self.planners[planner].paused {
            return;
        }
        let Role::Holder(state) = &mut self.planners[planner].role else {
            return;
        };
        if let Some(report) = state.reports.remove(&engine) {
            let name = upstream_name(engine);
            if lost {
                state.holder.note_report_failure(&name);
            } else {
                state.holder.apply_report(&name, &report, now);
            }
        }
    }

    pub fn set_demand(&mut self, model: usize, wanted: bool) {
        let now = self.now();
        let mut demand = GateDemand::new();
        if wanted {
            let waiting = WaitingRequests {
                count: 1,
                deadline: now + DEADLINE,
            };
            let workspaces = BTreeMap::from([("w".to_owned(), waiting)]);
            demand.insert(served_name(model), workspaces);
        }
        for planner in &mut self.planners {
            if let Role::Holder(state) = &mut planner.role {
                state.holder.set_demand("g", demand.clone(), now);
            }
        }
    }

    pub fn set_paused(&mut self, planner: usize, paused: bool) {
        self.planners[planner].paused = paused;
    }

    pub fn crash(&mut self, planner: usize) {
        self.planners[planner].role = Role::Standby(Standby::default());
        self.planners[planner].paused = false;
    }

    /// A planner hands its cell over, once its orders are settled.
    pub fn release(&mut self, planner: usize) {
        let id = self.new_id();
        if self.outage || self.planners[planner].paused {
            return;
        }
        let Role::Holder(state) = &mut self.planners[planner].role else {
            return;
        };
        if !state.pending_orders.is_empty()
            || state.pending_write.is_some()
            || !state.holder.is_active()
        {
            return;
        }
        let write = PendingWrite {
            expected: state.version,
            id,
            record: state.holder.release(),
        };
        if self.stored.version == write.expected {
            apply_write(&mut self.stored, &write);
        }
        self.planners[planner].role = Role::Standby(Standby::default());
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
        // Orders in transit to an engine that ignores fencing tokens are lost with the connection
        // to its old process. An engine that verifies them may still receive such orders.
        if !self.engines[engine].checks_fencing {
            self.network.retain(|m| m.engine != engine);
        }
    }

    pub fn progress_engine(&mut self, engine: usize) {
        self.engines[engine].progress();
    }

    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Whether any engine has the model ready.
    pub fn is_served(&self, model: usize) -> bool {
        let name = served_name(model);
        let mut engines = self.engines.iter();
        engines.any(|e| {
            e.held
                .get(&name)
                .is_some_and(|l| l.state == LoadState::Ready)
        })
    }

    /// Runs one round of all planners and engines without faults, with one model requested.
    pub fn fault_free_round(&mut self, wanted: usize) {
        self.advance(25);
        self.set_demand(wanted, true);
        for planner in 0..PLANNERS {
            self.run_planner(planner);
            self.attempt_write(planner, 0);
            for engine in 0..ENGINES {
                self.time_out_lost_order(planner, engine);
                self.send_order(planner, engine);
                while !self.network.is_empty() {
                    self.deliver_order(0, true);
                }
                self.progress_engine(engine);
                self.request_report(planner, engine);
                self.deliver_report(planner, engine, false);
            }
        }
    }

    /// Runs one round of one planner. Of the messages in transit only its own arrive.
    pub fn planner_round(&mut self, planner: usize, wanted: Option<usize>) {
        self.advance(25);
        self.set_demand(wanted.unwrap_or_default(), wanted.is_some());
        self.run_planner(planner);
        self.attempt_write(planner, 0);
        for engine in 0..ENGINES {
            let before = self.network.len();
            self.send_order(planner, engine);
            if self.network.len() > before {
                self.deliver_order(u8::try_from(before).unwrap(), true);
            }
            self.progress_engine(engine);
            self.request_report(planner, engine);
            self.deliver_report(planner, engine, false);
        }
    }

    fn time_out_lost_order(&mut self, planner: usize, engine: usize) {
        if self.network.is_empty() {
            self.time_out_order(planner, engine);
        }
    }
}

fn apply_write(stored: &mut StoredRecord, write: &PendingWrite) {
    stored.version += 1;
    stored.write_id = write.id;
    stored.record = Some(write.record.clone());
}

fn claim_duty(planner: usize, predecessor: Option<&CellRecord>) -> TestHolder {
    let identity = HolderIdentity {
        name: format!("entry-{planner}"),
        address: address(planner),
    };
    let settings = HolderSettings {
        retire_grace: Duration::from_millis(20),
        scale_out_after: Duration::from_millis(200),
        min_residency: Duration::from_millis(50),
        ..HolderSettings::with_lease(LEASE_TIMES)
    };
    let policies = PlacementPolicies {
        order: FairDeadline,
        idle: FixedKeep(KEEP_IDLE),
        choice: ServerChoice::NearestCheckpoint,
    };
    Holder::claim(&identity, predecessor, settings, policies)
}

/// The order that a holder must have sent last to an engine: the load that its plan still lists.
fn last_unanswered_order(holder: &TestHolder, upstream: &str) -> Option<Order> {
    let mut decided = holder.plan().on_upstream(upstream);
    let load = decided.find(|r| r.stage == comfreyweir_placement::record::Stage::Load)?;
    Some(Order {
        term: holder.term(),
        action: OrderAction::Load {
            artifact: load.artifact.clone(),
            memory_mb: load.memory_mb,
        },
    })
}
