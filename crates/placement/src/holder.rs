//! State of a cell's holder, the planner that has the cell's lease: decisions, their confirmation,
//! and the reports of the engines.
//!
//! A decision takes effect in three steps: it enters the plan, the plan is written to the cell
//! record, and once the write is confirmed the order may be sent. This module writes the record;
//! `engine_orders` sends orders, and `reconcile` applies the reports that follow.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::{
    engine::CheckpointTier,
    instances::{InstanceList, Role},
    kv::SwapOutcome,
};

use crate::{
    artifact_spec::ArtifactSpecs,
    demand::{DemandTable, GateDemand},
    idle::IdlePolicy,
    lease::LeaseTimes,
    load_order::LoadOrder,
    load_times::LoadTimes,
    record::{CellRecord, Plan},
    server::Server,
    server_choice::ServerChoice,
    view::Refusal,
};

/// Limits and periods of placement decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderSettings {
    /// Lease duration and safety margin of the cell.
    pub lease_times: LeaseTimes,
    /// Maximum number of models that load from the weight store at once.
    pub max_model_loads: usize,
    /// Maximum number of adapters that load from the weight store at once.
    pub max_adapter_loads: usize,
    /// Time between removing a replica from the view and unloading it.
    pub retire_grace: Duration,
    /// Time that demand must last before an additional replica is loaded, and shortest time
    /// between two additional replicas of an artifact.
    pub scale_out_after: Duration,
    /// Time that one replica fewer must have been enough before one of several is retired.
    pub scale_in_after: Duration,
    /// Time without an update after which the demand of a gate is discarded.
    pub gate_timeout: Duration,
    /// Shortest time that an artifact stays loaded after its last use.
    pub min_residency: Duration,
    /// Time after a refused load during which no further load is decided for the engine.
    pub refusal_backoff: Duration,
}

impl HolderSettings {
    /// Returns the default limits with the given lease.
    pub fn with_lease(times: LeaseTimes) -> Self {
        Self {
            lease_times: times,
            max_model_loads: 4,
            max_adapter_loads: 30,
            retire_grace: Duration::from_millis(500),
            scale_out_after: Duration::from_secs(2),
            scale_in_after: Duration::from_mins(1),
            gate_timeout: Duration::from_secs(3),
            min_residency: Duration::from_secs(1),
            refusal_backoff: Duration::from_secs(1),
        }
    }
}

/// Interchangeable placement policies.
#[derive(Clone, Debug)]
pub struct PlacementPolicies<O, I> {
    /// Order in which waiting artifacts are loaded.
    pub order: O,
    /// How long idle artifacts stay loaded.
    pub idle: I,
    /// How the server for a load is selected.
    pub choice: ServerChoice,
}

/// Identity of a holder, as written to the cell record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderIdentity {
    /// Name of the instance.
    pub name: String,
    /// Peer address of the planner.
    pub address: SocketAddr,
}

/// Identifies a replica: name of the upstream and served name of the artifact.
pub(crate) type ReplicaKey = (String, String);

/// A load in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadProgress {
    pub(crate) since: Instant,
    pub(crate) tier: CheckpointTier,
}

/// A load that has ended, for metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedLoad {
    /// Served name of the artifact.
    pub artifact: String,
    /// Storage tier that the checkpoint was loaded from.
    pub tier: CheckpointTier,
    /// Time from the order to the report that showed it ready; for a load that this holder did not
    /// order, time from the first report that showed it.
    pub took: Duration,
}

/// A replica that has been removed from the view and is to be unloaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retirement {
    pub(crate) since: Instant,
    pub(crate) unload_ordered: bool,
}

/// Usage of an artifact.
#[derive(Clone, Debug)]
pub(crate) struct ArtifactActivity {
    pub(crate) last_use: Instant,
    pub(crate) running_by_gate: BTreeMap<String, u32>,
}

impl ArtifactActivity {
    pub(crate) fn running_requests(&self) -> u32 {
        self.running_by_gate.values().sum()
    }
}

/// A write of the cell record whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    decision: u64,
    term: u64,
    started: Instant,
}

/// State machine of a cell's holder.
///
/// It does no input or output: the caller passes in reports, demand and write outcomes, and
/// carries out the writes and orders that it asks for.
pub struct Holder<O, I> {
    pub(crate) settings: HolderSettings,
    pub(crate) policies: PlacementPolicies<O, I>,
    pub(crate) record: CellRecord,
    pub(crate) specs: ArtifactSpecs,
    pub(crate) servers: BTreeMap<String, Server>,
    pub(crate) demand: DemandTable,
    pub(crate) activity: BTreeMap<String, ArtifactActivity>,
    pub(crate) load_times: LoadTimes,
    pub(crate) loads_in_progress: BTreeMap<ReplicaKey, LoadProgress>,
    pub(crate) retirements: BTreeMap<ReplicaKey, Retirement>,
    pub(crate) last_scale_out: BTreeMap<String, Instant>,
    /// When all replicas of an artifact were last needed, by served name; starts the wait for
    /// retiring one of them.
    pub(crate) all_replicas_needed_at: BTreeMap<String, Instant>,
    pub(crate) refusals: Vec<Refusal>,
    pub(crate) finished_loads: Vec<FinishedLoad>,
    /// Sequence number of the latest decision.
    pub(crate) last_decision: u64,
    /// Highest decision contained in a confirmed record write.
    pub(crate) confirmed_decision: u64,
    pub(crate) deposed: bool,
    /// Whether the next write must raise the term, so that an engine that checks fencing refuses a
    /// load order of the current term whose outcome is not known.
    pub(crate) needs_new_term: bool,
    pending_write: Option<PendingWrite>,
    /// Start of the last confirmed write; the lease counts from here.
    renewed_at: Option<Instant>,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Creates a holder that takes over a cell. It becomes active once its first record write is
    /// confirmed.
    pub fn claim(
        identity: &HolderIdentity,
        predecessor: Option<&CellRecord>,
        settings: HolderSettings,
        policies: PlacementPolicies<O, I>,
    ) -> Self {
        Self {
            settings,
            policies,
            record: claimed_record(identity, predecessor),
            specs: ArtifactSpecs::default(),
            servers: BTreeMap::new(),
            demand: DemandTable::default(),
            activity: BTreeMap::new(),
            load_times: LoadTimes::default(),
            loads_in_progress: BTreeMap::new(),
            retirements: BTreeMap::new(),
            last_scale_out: BTreeMap::new(),
            all_replicas_needed_at: BTreeMap::new(),
            refusals: Vec::new(),
            finished_loads: Vec::new(),
            last_decision: 0,
            confirmed_decision: 0,
            deposed: false,
            needs_new_term: false,
            pending_write: None,
            renewed_at: None,
        }
    }

    /// Term of the holder; engines use it as the fencing token of its orders.
    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// All current reservations, including decisions that are not confirmed yet.
    pub fn plan(&self) -> &Plan {
        &self.record.plan
    }

    /// Upstreams of the cell by name.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }

    /// Whether the first write has been confirmed and the cell has neither been released nor
    /// taken over by a successor.
    pub fn is_active(&self) -> bool {
        self.renewed_at.is_some() && !self.deposed
    }

    /// Whether the holder has released the cell or learned of a successor. It never becomes
    /// active again.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Whether every engine has been asked for a report since the cell was taken over.
    pub fn has_requested_all_reports(&self) -> bool {
        self.servers
            .values()
            .all(|s| s.report_requested || !s.is_engine())
    }

    /// When decisions, and orders to upstreams that do not check fencing, must stop; `None` before
    /// the first confirmed write.
    pub fn ordering_deadline(&self) -> Option<Instant> {
        self.renewed_at
            .map(|at| self.settings.lease_times.ordering_deadline(at))
    }

    /// Applies a revision of the catalog. Drops the reservations on upstreams that are no longer
    /// in the cell; an upstream whose address has changed counts as a new one.
    pub fn set_catalog(&mut self, cell: &str, catalog: &Catalog) {
        self.specs = ArtifactSpecs::from_catalog(catalog);
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

    /// Applies the platform's list of instances.
    pub fn set_instances(&mut self, list: &InstanceList, now: Instant) {
        for (name, server) in &mut self.servers {
            let mut entries = list.instances.iter();
            let entry = entries.find(|i| i.role == Role::Upstream && i.name == *name);
            server.listing = server.listing.updated(entry.map(|i| i.state));
        }
        self.remove_orphaned_reservations(now);
    }

    /// Replaces the demand of a gate. Returns whether an artifact is now in demand that was not
    /// before.
    pub fn set_demand(&mut self, gate: &str, demand: GateDemand, now: Instant) -> bool {
        for name in demand.keys() {
            self.note_use(name, now);
        }
        self.demand.update(gate, demand, now)
    }

    /// Replaces the counts of requests that run through a gate, by served name.
    pub fn set_usage(&mut self, gate: &str, usage: &BTreeMap<String, u32>, now: Instant) {
        for activity in self.activity.values_mut() {
            activity.running_by_gate.remove(gate);
        }
        for (name, running) in usage {
            self.note_use(name, now);
            if let Some(activity) = self.activity.get_mut(name) {
                activity.running_by_gate.insert(gate.to_owned(), *running);
            }
        }
    }

    /// Starts a write and returns the record to write, or `None` if no write is due or one is in
    /// progress. The caller repeats the write of the same record until its outcome is known, then
    /// calls [`Self::end_write`].
    pub fn begin_write(&mut self, now: Instant) -> Option<CellRecord> {
        if self.deposed || self.pending_write.is_some() || !self.is_write_due(now) {
            return None;
        }
        let mut record = self.record.clone();
        record.renewal += 1;
        if self.needs_new_term {
            record.term += 1;
        }
        self.record.renewal = record.renewal;
        self.pending_write = Some(PendingWrite {
            decision: self.last_decision,
            term: record.term,
            started: now,
        });
        Some(record)
    }

    /// Deposes this holder and returns the record that releases the cell. No order may be sent
    /// afterwards.
    pub fn release(&mut self) -> CellRecord {
        self.deposed = true;
        let mut record = self.record.clone();
        record.renewal += 1;
        record.released = true;
        record
    }

    /// Applies the outcome of the write in progress. A conflict means that there is a successor.
    pub fn end_write(&mut self, outcome: SwapOutcome) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        match outcome {
            SwapOutcome::Written(_) => {
                self.confirmed_decision = write.decision;
                self.renewed_at = Some(write.started);
                if write.term > self.record.term {
                    self.record.term = write.term;
                    self.needs_new_term = false;
                }
            }
            SwapOutcome::Conflict => self.deposed = true,
        }
    }

    /// Returns the loads that have finished since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedLoad> {
        std::mem::take(&mut self.finished_loads)
    }

    /// Whether a record write is in progress.
    pub fn is_writing(&self) -> bool {
        self.pending_write.is_some()
    }

    pub(crate) fn note_use(&mut self, served_name: &str, now: Instant) {
        self.policies.idle.note_use(served_name, now);
        let activity = self.activity.entry(served_name.to_owned());
        let activity = activity.or_insert_with(|| ArtifactActivity {
            last_use: now,
            running_by_gate: BTreeMap::new(),
        });
        activity.last_use = now;
        let base = self.specs.get(served_name);
        if let Some(base) = base.and_then(|s| s.artifact.base.clone()) {
            self.note_use(&base, now);
        }
    }

    fn is_write_due(&self, now: Instant) -> bool {
        let renewal_interval = self.settings.lease_times.renewal_interval();
        let Some(renewed_at) = self.renewed_at else {
            return true;
        };
        self.last_decision > self.confirmed_decision
            || self.needs_new_term
            || now >= renewed_at + renewal_interval
    }

    /// Removes the reservations on instances that the platform has removed and that no longer
    /// report.
    pub(crate) fn remove_orphaned_reservations(&mut self, now: Instant) {
        let removed: BTreeSet<&String> = self
            .servers
            .iter()
            .filter(|(_, s)| s.is_gone(now))
            .map(|(name, _)| name)
            .collect();
        let reservations = &mut self.record.plan.reservations;
        reservations.retain(|r| !removed.contains(&r.upstream));
    }
}

fn claimed_record(identity: &HolderIdentity, predecessor: Option<&CellRecord>) -> CellRecord {
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
