//! State of a cell's holder: what is decided, what is confirmed, what the engines report.
//!
//! A decision takes effect in three steps: it enters the plan, the plan is written to the cell
//! record, and once the write is confirmed the order may be sent. The steps after the first
//! stand in the modules `orders` and `reconcile`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::{
    engine::CheckpointTier,
    instances::{InstanceList, Role},
    kv::Swap,
};

use crate::{
    choice::ServerChoice,
    demand::{DemandTable, GateDemand},
    estimate::LoadTimes,
    idle::IdlePolicy,
    lease::LeaseTimes,
    order::LoadOrder,
    record::{CellRecord, Plan},
    server::Server,
    spec::Specs,
    view::Refusal,
};

/// Limits and periods of decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderSettings {
    /// Lease of the cell.
    pub times: LeaseTimes,
    /// Models that load from the weight store at once.
    pub store_models: usize,
    /// Adapters that load from the weight store at once.
    pub store_adapters: usize,
    /// Time between taking a replica out of the view and unloading it.
    pub retire_grace: Duration,
    /// Time that requests wait before a further replica is loaded.
    pub scale_out_after: Duration,
    /// Time that replicas are mostly unused before one of several is given up.
    pub scale_in_after: Duration,
    /// Time without contact after which the demand of a gate is forgotten.
    pub gate_silence: Duration,
    /// Time that an artifact stays loaded at least after its last use.
    pub min_residency: Duration,
    /// Time between a refused load and the next decision for the same engine.
    pub refused_pause: Duration,
}

impl HolderSettings {
    /// The usual limits with the given lease.
    pub fn with_lease(times: LeaseTimes) -> Self {
        Self {
            times,
            store_models: 4,
            store_adapters: 30,
            retire_grace: Duration::from_millis(500),
            scale_out_after: Duration::from_secs(2),
            scale_in_after: Duration::from_mins(1),
            gate_silence: Duration::from_secs(3),
            min_residency: Duration::from_secs(1),
            refused_pause: Duration::from_secs(1),
        }
    }
}

/// The policies of a holder.
#[derive(Clone, Debug)]
pub struct Policies<O, I> {
    /// Order of loads.
    pub order: O,
    /// Time that idle artifacts are kept.
    pub idle: I,
    /// Choice of server.
    pub choice: ServerChoice,
}

/// Who a holder is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub name: String,
    /// Peer address of the planner.
    pub address: SocketAddr,
}

/// An artifact on an engine.
pub(crate) type Place = (String, String);

/// A load under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) since: Instant,
    pub(crate) tier: CheckpointTier,
}

/// A load that has ended, for metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedLoad {
    /// Served name of the artifact.
    pub artifact: String,
    /// Where its checkpoint was.
    pub tier: CheckpointTier,
    /// Time from the order to the report that showed it ready.
    pub took: Duration,
}

/// A replica on its way out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retiring {
    pub(crate) since: Instant,
    pub(crate) ordered: bool,
}

/// Use of an artifact.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    pub(crate) last_use: Instant,
    pub(crate) running: BTreeMap<String, u32>,
}

impl Activity {
    pub(crate) fn running(&self) -> u32 {
        self.running.values().sum()
    }
}

#[derive(Clone, Copy, Debug)]
struct Writing {
    decision: u64,
    term: u64,
    started: Instant,
}

/// State of a cell's holder.
pub struct Holder<O, I> {
    pub(crate) settings: HolderSettings,
    pub(crate) policies: Policies<O, I>,
    pub(crate) record: CellRecord,
    pub(crate) specs: Specs,
    pub(crate) servers: BTreeMap<String, Server>,
    pub(crate) demand: DemandTable,
    pub(crate) activity: BTreeMap<String, Activity>,
    pub(crate) load_times: LoadTimes,
    pub(crate) progress: BTreeMap<Place, Progress>,
    pub(crate) retiring: BTreeMap<Place, Retiring>,
    pub(crate) last_extra: BTreeMap<String, Instant>,
    pub(crate) crowded_at: BTreeMap<String, Instant>,
    pub(crate) refusals: Vec<Refusal>,
    pub(crate) finished: Vec<FinishedLoad>,
    pub(crate) decision: u64,
    pub(crate) confirmed: u64,
    pub(crate) deposed: bool,
    pub(crate) needs_new_term: bool,
    writing: Option<Writing>,
    renewed: Option<Instant>,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Prepares to take a cell over. The holder is active once its first write is confirmed.
    pub fn claim(
        identity: &Identity,
        predecessor: Option<&CellRecord>,
        settings: HolderSettings,
        policies: Policies<O, I>,
    ) -> Self {
        Self {
            settings,
            policies,
            record: claimed(identity, predecessor),
            specs: Specs::default(),
            servers: BTreeMap::new(),
            demand: DemandTable::default(),
            activity: BTreeMap::new(),
            load_times: LoadTimes::default(),
            progress: BTreeMap::new(),
            retiring: BTreeMap::new(),
            last_extra: BTreeMap::new(),
            crowded_at: BTreeMap::new(),
            refusals: Vec::new(),
            finished: Vec::new(),
            decision: 0,
            confirmed: 0,
            deposed: false,
            needs_new_term: false,
            writing: None,
            renewed: None,
        }
    }

    /// Term of the holder's orders.
    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// What has been decided, as far as this holder knows.
    pub fn plan(&self) -> &Plan {
        &self.record.plan
    }

    /// Upstreams of the cell by name.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }

    /// Whether the first write has been confirmed and no successor has been seen.
    pub fn is_active(&self) -> bool {
        self.renewed.is_some() && !self.deposed
    }

    /// Whether a successor has been seen.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Whether every engine has been asked for a report since the cell was taken over.
    pub fn has_asked_all(&self) -> bool {
        self.servers.values().all(|s| s.asked || !s.is_engine())
    }

    /// When orders to upstreams that ignore fencing have to stop.
    pub fn order_until(&self) -> Option<Instant> {
        self.renewed.map(|at| self.settings.times.order_until(at))
    }

    /// Takes a revision of the configuration.
    pub fn set_catalog(&mut self, cell: &str, catalog: &Catalog) {
        self.specs = Specs::from_catalog(catalog);
        let in_cell = catalog.upstreams.iter().filter(|(_, u)| u.cell == cell);
        let mut servers = BTreeMap::new();
        for (name, upstream) in in_cell {
            let known = self.servers.remove(name);
            let known = known.filter(|s| s.config.address == upstream.address);
            let mut server = known.unwrap_or_else(|| Server::new(upstream.clone()));
            server.config = upstream.clone();
            servers.insert(name.clone(), server);
        }
        self.servers = servers;
        let servers = &self.servers;
        let plan = &mut self.record.plan;
        plan.reservations
            .retain(|r| servers.contains_key(&r.upstream));
    }

    /// Takes the platform's list of instances.
    pub fn set_instances(&mut self, list: &InstanceList, now: Instant) {
        for (name, server) in &mut self.servers {
            let mut entries = list.instances.iter();
            let entry = entries.find(|i| i.role == Role::Upstream && i.name == *name);
            server.listing = server.listing.next(entry.map(|i| i.state));
        }
        self.forget_gone(now);
    }

    /// Takes what a gate waits for. Returns whether something is wanted that was not before.
    pub fn set_demand(&mut self, gate: &str, demand: GateDemand, now: Instant) -> bool {
        for name in demand.keys() {
            self.note_use(name, now);
        }
        self.demand.update(gate, demand, now)
    }

    /// Takes what runs through a gate, by served name.
    pub fn set_usage(&mut self, gate: &str, usage: &BTreeMap<String, u32>, now: Instant) {
        for activity in self.activity.values_mut() {
            activity.running.remove(gate);
        }
        for (name, running) in usage {
            self.note_use(name, now);
            if let Some(activity) = self.activity.get_mut(name) {
                activity.running.insert(gate.to_owned(), *running);
            }
        }
    }

    /// The record to be written now, if a write is due. While a write is under way nothing else
    /// is due; the same record is to be written again until its outcome is known.
    pub fn begin_write(&mut self, now: Instant) -> Option<CellRecord> {
        if self.deposed || self.writing.is_some() || !self.is_write_due(now) {
            return None;
        }
        let mut record = self.record.clone();
        record.renewal += 1;
        if self.needs_new_term {
            record.term += 1;
        }
        self.record.renewal = record.renewal;
        self.writing = Some(Writing {
            decision: self.decision,
            term: record.term,
            started: now,
        });
        Some(record)
    }

    /// The record that gives the cell up. Nothing may be ordered after it.
    pub fn release(&mut self) -> CellRecord {
        self.deposed = true;
        let mut record = self.record.clone();
        record.renewal += 1;
        record.released = true;
        record
    }

    /// Takes the outcome of the write under way.
    pub fn end_write(&mut self, outcome: Swap) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        match outcome {
            Swap::Written(_) => {
                self.confirmed = writing.decision;
                self.renewed = Some(writing.started);
                if writing.term > self.record.term {
                    self.record.term = writing.term;
                    self.needs_new_term = false;
                }
            }
            Swap::Conflict => self.deposed = true,
        }
    }

    /// Loads that have ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedLoad> {
        std::mem::take(&mut self.finished)
    }

    /// Whether a write is under way.
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    pub(crate) fn note_use(&mut self, served_name: &str, now: Instant) {
        self.policies.idle.note_use(served_name, now);
        let activity = self.activity.entry(served_name.to_owned());
        let activity = activity.or_insert_with(|| Activity {
            last_use: now,
            running: BTreeMap::new(),
        });
        activity.last_use = now;
        let base = self.specs.get(served_name);
        if let Some(base) = base.and_then(|s| s.artifact.base.clone()) {
            self.note_use(&base, now);
        }
    }

    fn is_write_due(&self, now: Instant) -> bool {
        let renew_every = self.settings.times.renew_every();
        let Some(renewed) = self.renewed else {
            return true;
        };
        self.decision > self.confirmed || self.needs_new_term || now >= renewed + renew_every
    }

    /// Removes the reservations of instances that the platform has removed.
    pub(crate) fn forget_gone(&mut self, now: Instant) {
        let gone: BTreeSet<&String> = self
            .servers
            .iter()
            .filter(|(_, s)| s.is_gone(now))
            .map(|(name, _)| name)
            .collect();
        let reservations = &mut self.record.plan.reservations;
        reservations.retain(|r| !gone.contains(&r.upstream));
    }
}

fn claimed(identity: &Identity, predecessor: Option<&CellRecord>) -> CellRecord {
    let mut plan = Plan::default();
    let mut term = 1;
    if let Some(previous) = predecessor {
        plan = previous.plan.clone();
        term = previous.term + 1;
        plan.inherit((!previous.released).then_some(previous.term));
    }
    CellRecord {
        holder: identity.name.clone(),
        address: Some(identity.address),
        term,
        renewal: 0,
        released: false,
        plan,
    }
}
