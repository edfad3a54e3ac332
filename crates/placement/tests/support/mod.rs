//! A cell in memory: several planners, one record, engines, and a network that loses and delays.

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
const TIMES: LeaseTimes = LeaseTimes {
    lease: Duration::from_secs(1),
    margin: Duration::from_millis(100),
};

type TestHolder = Holder<FairDeadline, FixedKeep>;

/// Which mechanism is left out, to see that the checks notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    Nothing,
    /// Orders may be sent before their decision is recorded.
    RecordFirst,
    /// A successor forgets that orders of its predecessor may still arrive.
    Strays,
}

pub struct Engine {
    pub checks: bool,
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

    fn take(&mut self, order: &Order) -> OrderOutcome {
        if self.checks && order.term < self.term {
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

struct Write {
    expected: u64,
    id: u64,
    record: CellRecord,
}

struct Hold {
    holder: TestHolder,
    version: u64,
    writing: Option<Write>,
    /// Identifiers of the orders whose answers are awaited, by engine.
    sent: BTreeMap<usize, u64>,
    /// Reports that are on their way, by engine.
    reports: BTreeMap<usize, Report>,
}

enum Role {
    Standby(Standby),
    Hold(Box<Hold>),
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
struct Register {
    version: u64,
    write_id: u64,
    record: Option<CellRecord>,
}

pub struct World {
    clock: ManualClock,
    without: Without,
    register: Register,
    outage: bool,
    late_writes: Vec<Write>,
    planners: Vec<Planner>,
    pub engines: Vec<Engine>,
    network: Vec<Message>,
    next_id: u64,
    catalog: Catalog,
}

fn upstream_name(engine: usize) -> String {
    format!("e{engine}")
}

fn address(planner: usize) -> SocketAddr {
    let port = u16::try_from(planner).unwrap() + 1;
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn served_name(model: usize) -> String {
    format!("m{model}@1")
}

/// Replicas in force of a model: one or two.
pub fn replicas(model: usize) -> u32 {
    1 + u32::from(model == 0)
}

fn catalog(checks: &[bool]) -> Catalog {
    let mut catalog = Catalog::default();
    for (engine, checks) in checks.iter().enumerate() {
        let upstream = Upstream {
            kind: UpstreamKind::Engine,
            address: address(engine),
            zone: "z".to_owned(),
            cell: "main".to_owned(),
            memory_mb: ENGINE_MB,
            slots: 1,
            checks_fencing: *checks,
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

impl World {
    pub fn new(checks: [bool; ENGINES], without: Without) -> Self {
        let standby = || Planner {
            role: Role::Standby(Standby::default()),
            paused: false,
        };
        let engine = |checks: &bool| Engine {
            checks: *checks,
            incarnation: 1,
            term: 0,
            held: BTreeMap::new(),
        };
        Self {
            clock: ManualClock::new(),
            without,
            register: Register::default(),
            outage: false,
            late_writes: Vec::new(),
            planners: (0..PLANNERS).map(|_| standby()).collect(),
            engines: checks.iter().map(engine).collect(),
            network: Vec::new(),
            next_id: 0,
            catalog: catalog(&checks),
        }
    }

    /// What must hold at every moment.
    pub fn check(&self) -> Result<(), String> {
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

    pub fn advance(&mut self, ms: u8) {
        self.clock.advance(Duration::from_millis(u64::from(ms) * 4));
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// A planner reads the record or decides, and begins whatever write is due.
    pub fn step(&mut self, planner: usize) {
        let now = self.now();
        let id = self.new_id();
        let outage = self.outage;
        let catalog = &self.catalog;
        let register = &self.register;
        let p = &mut self.planners[planner];
        if p.paused {
            return;
        }
        match &mut p.role {
            Role::Standby(_) if outage => {}
            Role::Standby(standby) => {
                let record = register.record.as_ref();
                let free =
                    standby.may_take_over(register.version, record, address(planner), TIMES, now);
                if free {
                    let mut predecessor = register.record.clone();
                    if let Some(p) = predecessor
                        .as_mut()
                        .filter(|_| self.without == Without::Strays)
                    {
                        p.released = true;
                    }
                    let mut holder = claim(planner, predecessor.as_ref());
                    holder.set_catalog("main", catalog);
                    p.role = Role::Hold(Box::new(Hold {
                        holder,
                        version: register.version,
                        writing: None,
                        sent: BTreeMap::new(),
                        reports: BTreeMap::new(),
                    }));
                }
            }
            Role::Hold(hold) if hold.holder.is_deposed() => {
                p.role = Role::Standby(Standby::default());
            }
            Role::Hold(hold) => {
                hold.holder.run_placement_pass(now);
                if let Some(record) = hold.holder.begin_write(now) {
                    hold.writing = Some(Write {
                        expected: hold.version,
                        id,
                        record,
                    });
                    if self.without == Without::RecordFirst && hold.holder.is_active() {
                        let version = hold.version;
                        hold.holder.end_write(SwapOutcome::Written(version));
                        hold.writing = None;
                    }
                }
            }
        }
    }

    /// The write of a planner meets its fate; it is tried again until its outcome is known.
    pub fn write(&mut self, planner: usize, fate: u8) {
        if self.outage || self.planners[planner].paused {
            return;
        }
        let Role::Hold(hold) = &mut self.planners[planner].role else {
            return;
        };
        let Some(write) = hold.writing.take() else {
            return;
        };
        if self.register.write_id == write.id {
            let version = self.register.version;
            hold.version = version;
            hold.holder.end_write(SwapOutcome::Written(version));
            return;
        }
        if self.register.version > write.expected {
            hold.holder.end_write(SwapOutcome::Conflict);
            return;
        }
        match fate % 4 {
            // Applied and answered, or applied with its answer lost.
            0 | 1 => {
                apply(&mut self.register, &write);
                if fate.is_multiple_of(4) {
                    let version = self.register.version;
                    hold.version = version;
                    hold.holder.end_write(SwapOutcome::Written(version));
                } else {
                    hold.writing = Some(write);
                }
            }
            // Under way for long.
            2 => {
                self.late_writes.push(Write {
                    record: write.record.clone(),
                    ..write
                });
                hold.writing = Some(write);
            }
            // Lost on the way there.
            _ => hold.writing = Some(write),
        }
    }

    pub fn land_late_write(&mut self) {
        if let Some(write) = self.late_writes.pop()
            && self.register.version == write.expected
        {
            apply(&mut self.register, &write);
        }
    }

    /// A planner sends the order that is due at an engine.
    pub fn order(&mut self, planner: usize, engine: usize) {
        let now = self.now();
        let id = self.new_id();
        if self.planners[planner].paused {
            return;
        }
        let Role::Hold(hold) = &mut self.planners[planner].role else {
            return;
        };
        if hold.sent.contains_key(&engine) || hold.reports.contains_key(&engine) {
            return;
        }
        if let Some(order) = hold.holder.next_order(&upstream_name(engine), now) {
            hold.sent.insert(engine, id);
            self.network.push(Message { id, engine, order });
        }
    }

    /// An order arrives, and its answer arrives or is lost.
    pub fn deliver(&mut self, pick: u8, answered: bool) {
        let now = self.now();
        if self.network.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.network.len();
        let message = self.network.remove(index);
        let outcome = self.engines[message.engine].take(&message.order);
        for planner in &mut self.planners {
            let Role::Hold(hold) = &mut planner.role else {
                continue;
            };
            let awaited = hold.sent.get(&message.engine) == Some(&message.id);
            if awaited && answered && !planner.paused {
                hold.sent.remove(&message.engine);
                let name = upstream_name(message.engine);
                hold.holder
                    .apply_order_outcome(&name, &message.order, outcome, now);
            }
        }
    }

    /// A planner gives up waiting for the answer to an order, which may arrive nevertheless.
    pub fn give_up(&mut self, planner: usize, engine: usize) {
        let now = self.now();
        if self.planners[planner].paused {
            return;
        }
        let Role::Hold(hold) = &mut self.planners[planner].role else {
            return;
        };
        let Some(id) = hold.sent.remove(&engine) else {
            return;
        };
        let message = self.network.iter().find(|m| m.id == id);
        let name = upstream_name(engine);
        // Of an order that arrived and whose answer was lost, no more is known either.
        let order = message.map_or_else(
            || unanswered(&hold.holder, &name),
            |m| Some(m.order.clone()),
        );
        if let Some(order) = order {
            hold.holder
                .apply_order_outcome(&name, &order, OrderOutcome::Unknown, now);
        }
    }

    /// An engine writes a report for a planner.
    pub fn ask_report(&mut self, planner: usize, engine: usize) {
        let report = self.engines[engine].report();
        if let Role::Hold(hold) = &mut self.planners[planner].role
            && hold.holder.is_active()
            && !hold.sent.contains_key(&engine)
        {
            hold.reports.entry(engine).or_insert(report);
        }
    }

    /// The report arrives, or is lost.
    pub fn read_report(&mut self, planner: usize, engine: usize, lost: bool) {
        let now = self.now();
        if self.planners[planner].paused {
            return;
        }
        let Role::Hold(hold) = &mut self.planners[planner].role else {
            return;
        };
        if let Some(report) = hold.reports.remove(&engine) {
            let name = upstream_name(engine);
            if lost {
                hold.holder.note_report_failure(&name);
            } else {
                hold.holder.apply_report(&name, &report, now);
            }
        }
    }

    pub fn want(&mut self, model: usize, wanted: bool) {
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
            if let Role::Hold(hold) = &mut planner.role {
                hold.holder.set_demand("g", demand.clone(), now);
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
        let Role::Hold(hold) = &mut self.planners[planner].role else {
            return;
        };
        if !hold.sent.is_empty() || hold.writing.is_some() || !hold.holder.is_active() {
            return;
        }
        let write = Write {
            expected: hold.version,
            id,
            record: hold.holder.release(),
        };
        if self.register.version == write.expected {
            apply(&mut self.register, &write);
        }
        self.planners[planner].role = Role::Standby(Standby::default());
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
        // What was on its way to the old process of an engine that checks nothing ends with the
        // connection. Engines that check may see it arrive.
        if !self.engines[engine].checks {
            self.network.retain(|m| m.engine != engine);
        }
    }

    pub fn progress_engine(&mut self, engine: usize) {
        self.engines[engine].progress();
    }

    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Whether a model is served after the faults have ended.
    pub fn is_served(&self, model: usize) -> bool {
        let name = served_name(model);
        let mut engines = self.engines.iter();
        engines.any(|e| {
            e.held
                .get(&name)
                .is_some_and(|l| l.state == LoadState::Ready)
        })
    }

    /// One round without faults.
    pub fn calm_round(&mut self, wanted: usize) {
        self.advance(25);
        self.want(wanted, true);
        for planner in 0..PLANNERS {
            self.step(planner);
            self.write(planner, 0);
            for engine in 0..ENGINES {
                self.give_up_lost(planner, engine);
                self.order(planner, engine);
                while !self.network.is_empty() {
                    self.deliver(0, true);
                }
                self.progress_engine(engine);
                self.ask_report(planner, engine);
                self.read_report(planner, engine, false);
            }
        }
    }

    /// One round of one planner; of the messages on their way only its own arrive.
    pub fn round_of(&mut self, planner: usize, wanted: Option<usize>) {
        self.advance(25);
        self.want(wanted.unwrap_or_default(), wanted.is_some());
        self.step(planner);
        self.write(planner, 0);
        for engine in 0..ENGINES {
            let before = self.network.len();
            self.order(planner, engine);
            if self.network.len() > before {
                self.deliver(u8::try_from(before).unwrap(), true);
            }
            self.progress_engine(engine);
            self.ask_report(planner, engine);
            self.read_report(planner, engine, false);
        }
    }

    fn give_up_lost(&mut self, planner: usize, engine: usize) {
        if self.network.is_empty() {
            self.give_up(planner, engine);
        }
    }
}

fn apply(register: &mut Register, write: &Write) {
    register.version += 1;
    register.write_id = write.id;
    register.record = Some(write.record.clone());
}

fn claim(planner: usize, predecessor: Option<&CellRecord>) -> TestHolder {
    let identity = HolderIdentity {
        name: format!("entry-{planner}"),
        address: address(planner),
    };
    let settings = HolderSettings {
        retire_grace: Duration::from_millis(20),
        scale_out_after: Duration::from_millis(200),
        min_residency: Duration::from_millis(50),
        ..HolderSettings::with_lease(TIMES)
    };
    let policies = PlacementPolicies {
        order: FairDeadline,
        idle: FixedKeep(KEEP_IDLE),
        choice: ServerChoice::NearestCheckpoint,
    };
    Holder::claim(&identity, predecessor, settings, policies)
}

/// The order that a holder would have sent to an engine last: the load that it still has to send.
fn unanswered(holder: &TestHolder, upstream: &str) -> Option<Order> {
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
