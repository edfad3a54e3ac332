//! State of an engine process: replicas, memory and checkpoints, and the orders that change them.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use comfreyweir_external::engine::{
    Artifact, CheckpointTier, LoadState, LoadedArtifact, Order, OrderAction, Report,
};
use tokio::time;

use super::{
    batch::Batch,
    cache::PrefixCache,
    record::{EngineRecord, ReplicaChange, ReplicaChangeKind, ViolationKind},
    settings::{Faults, Settings},
};
use crate::{
    timeline,
    weights::{TransferKind, WeightStore},
};

/// State of an engine process from its start to its crash; a restart begins with a new one.
pub(super) struct EngineState {
    settings: Settings,
    /// Identifies this start of the process; zero after a crash.
    incarnation: u64,
    /// Highest fencing token seen in an order.
    term: u64,
    /// Replicas by served name, also those that are loading or unloading.
    replicas: BTreeMap<String, Replica>,
    checkpoints: BTreeMap<String, CheckpointTier>,
    /// Served names whose checkpoints a load left in memory, least recently loaded first.
    checkpoints_in_memory: VecDeque<String>,
    store: WeightStore,
    pub(super) batch: Rc<Batch>,
    pub(super) cache: PrefixCache,
    pub(super) record: Rc<RefCell<EngineRecord>>,
    pub(super) faults: Rc<RefCell<Faults>>,
}

struct Replica {
    artifact: Artifact,
    memory_mb: u64,
    state: LoadState,
    /// Number of requests that use the replica, running or waiting for a slot.
    active_requests: u32,
    /// Fencing token of the last order carried out on it.
    term: u64,
    /// Aborted when the replica is dropped.
    load_task: Option<JoinHandle<()>>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        if let Some(load_task) = self.load_task.take() {
            load_task.abort();
        }
    }
}

/// Why an order was not carried out.
pub(super) enum OrderError {
    /// Its fencing token is below this one, the highest seen.
    Fenced(u64),
    /// The engine refuses it, with the reason.
    Refused(String),
}

/// Use of a replica by a request. A replica that is unloading is removed when the last of its
/// guards is dropped.
pub(super) struct ReplicaGuard {
    state: Rc<RefCell<EngineState>>,
    served_name: String,
    incarnation: u64,
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        if state.incarnation == self.incarnation {
            state.release_replica(&self.served_name);
        }
    }
}

impl EngineState {
    pub(super) fn new(
        settings: Settings,
        store: WeightStore,
        record: Rc<RefCell<EngineRecord>>,
        faults: Rc<RefCell<Faults>>,
    ) -> Self {
        let times = settings.times;
        let report_lag = Duration::from_millis(times.report_lag_ms);
        let event_lag = Duration::from_millis(times.cache_event_lag_ms);
        Self {
            incarnation: timeline::now_us(),
            term: 0,
            replicas: BTreeMap::new(),
            checkpoints: settings.checkpoints.clone(),
            checkpoints_in_memory: VecDeque::new(),
            store,
            batch: Batch::new(settings.slots, settings.queue, report_lag),
            cache: PrefixCache::new(settings.cache_blocks, event_lag, settings.cache_event_gap),
            record,
            faults,
            settings,
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn report(&self) -> Report {
        let (running, waiting, load_age) = self.batch.delayed_load();
        Report {
            incarnation: self.incarnation,
            term: self.term,
            memory_mb: self.settings.memory_mb,
            loaded: self.replicas.values().map(Replica::report).collect(),
            checkpoints: self.checkpoints.clone(),
            running,
            waiting,
            load_age_ms: u64::try_from(load_age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Whether the artifact has a replica that serves requests.
    pub(super) fn is_ready(&self, served_name: &str) -> bool {
        self.replicas
            .get(served_name)
            .is_some_and(|replica| replica.state == LoadState::Ready)
    }

    fn release_replica(&mut self, served_name: &str) {
        let Some(replica) = self.replicas.get_mut(served_name) else {
            return;
        };
        replica.active_requests -= 1;
        if replica.active_requests == 0 && replica.state == LoadState::Unloading {
            let term = replica.term;
            self.remove(served_name, ReplicaChangeKind::Gone, term);
        }
    }

    fn used_mb(&self) -> u64 {
        self.replicas
            .values()
            .map(|replica| replica.memory_mb)
            .sum()
    }

    fn record_change(&self, change: ReplicaChangeKind, served_name: &str, term: u64) {
        let used_mb = self.used_mb();
        let record = &mut self.record.borrow_mut();
        record.most_used_mb = record.most_used_mb.max(used_mb);
        record.changes.push(ReplicaChange {
            at_us: timeline::now_us(),
            change,
            artifact: served_name.to_owned(),
            term,
            replicas: u32::from(self.replicas.contains_key(served_name)),
            used_mb,
            checkpoint: self.checkpoint_tier(served_name),
        });
    }

    /// Counts the order and checks its fencing token. An outdated one is refused if the settings
    /// say so; otherwise a load or unload with it is recorded as a violation.
    fn check_term(&mut self, order: &Order) -> Result<(), OrderError> {
        let mut record = self.record.borrow_mut();
        record.orders += 1;
        if order.term >= self.term {
            self.term = order.term;
            return Ok(());
        }
        if self.settings.checks_fencing {
            record.fenced += 1;
            return Err(OrderError::Fenced(self.term));
        }
        if let OrderAction::Load { artifact, .. } | OrderAction::Unload { artifact } = &order.action
        {
            let detail = format!("term {} after {}", order.term, self.term);
            record.record_violation(ViolationKind::OldTermObeyed, artifact, order.term, detail);
        }
        Ok(())
    }

    /// Refuses an adapter whose base has no replica, and, if the settings say so, a load that
    /// exceeds the free memory. The latter is recorded as a violation in any case.
    fn check_load(
        &mut self,
        artifact: &Artifact,
        memory_mb: u64,
        term: u64,
    ) -> Result<(), OrderError> {
        if let Some(base) = &artifact.base
            && !self.replicas.contains_key(base)
        {
            return Err(OrderError::Refused(format!("{base} is not loaded")));
        }
        let wanted_mb = self.used_mb() + memory_mb;
        if wanted_mb <= self.settings.memory_mb {
            return Ok(());
        }
        let detail = format!("{wanted_mb} MB wanted of {} MB", self.settings.memory_mb);
        let record = &mut self.record.borrow_mut();
        record.record_violation(
            ViolationKind::MemoryOverLimit,
            artifact,
            term,
            detail.clone(),
        );
        if self.settings.checks_memory {
            return Err(OrderError::Refused(detail));
        }
        Ok(())
    }

    /// Removes the replica, or marks it as unloading while requests use it.
    fn unload(&mut self, artifact: &Artifact, term: u64) -> Result<(), OrderError> {
        let served_name = artifact.served_name();
        let is_adapter_of_model =
            |replica: &Replica| replica.artifact.base.as_ref() == Some(&served_name);
        if self.replicas.values().any(is_adapter_of_model) {
            return Err(OrderError::Refused(format!(
                "adapters extend {served_name}"
            )));
        }
        let Some(replica) = self.replicas.get_mut(&served_name) else {
            return Ok(());
        };
        replica.term = term;
        if replica.active_requests == 0 {
            self.remove(&served_name, ReplicaChangeKind::Gone, term);
            return Ok(());
        }
        if replica.state == LoadState::Unloading {
            return Ok(());
        }
        replica.state = LoadState::Unloading;
        let detail = format!("{} requests running", replica.active_requests);
        self.record_change(ReplicaChangeKind::UnloadOrdered, &served_name, term);
        let record = &mut self.record.borrow_mut();
        record.record_violation(ViolationKind::UnloadWhileRunning, artifact, term, detail);
        Ok(())
    }

    fn remove(&mut self, served_name: &str, change: ReplicaChangeKind, term: u64) {
        if self.replicas.remove(served_name).is_some() {
            self.cache.evict_artifact(served_name);
            self.record_change(change, served_name, term);
        }
    }

    /// Removes all replicas without regard to requests.
    pub(super) fn crash(&mut self) {
        let served_names: Vec<String> = self.replicas.keys().cloned().collect();
        for served_name in served_names {
            self.remove(&served_name, ReplicaChangeKind::Crashed, 0);
        }
        self.incarnation = 0;
    }

    fn checkpoint_tier(&self, served_name: &str) -> CheckpointTier {
        let known = self.checkpoints.get(served_name).copied();
        known.unwrap_or(CheckpointTier::Remote)
    }

    /// Notes that a load left the checkpoint in memory. Beyond the limit, the checkpoint loaded
    /// longest ago moves to disk.
    fn cache_checkpoint(&mut self, served_name: &str) {
        self.checkpoints_in_memory
            .retain(|cached| cached != served_name);
        self.checkpoints_in_memory.push_back(served_name.to_owned());
        self.checkpoints
            .insert(served_name.to_owned(), CheckpointTier::Memory);
        if self.checkpoints_in_memory.len() > self.settings.memory_checkpoints
            && let Some(oldest) = self.checkpoints_in_memory.pop_front()
        {
            self.checkpoints.insert(oldest, CheckpointTier::Disk);
        }
    }

    fn finish_load(&mut self, served_name: &str) {
        let failed = {
            let mut faults = self.faults.borrow_mut();
            let failed = faults.fail_loads > 0;
            faults.fail_loads = faults.fail_loads.saturating_sub(1);
            failed
        };
        let Some(replica) = self.replicas.get_mut(served_name) else {
            return;
        };
        // Runs in the load task, which must not abort itself when the replica is removed below.
        replica.load_task = None;
        let term = replica.term;
        if failed {
            self.remove(served_name, ReplicaChangeKind::LoadFailed, term);
            return;
        }
        replica.state = LoadState::Ready;
        let is_model = replica.artifact.base.is_none();
        if is_model {
            self.cache_checkpoint(served_name);
        }
        self.record_change(ReplicaChangeKind::Ready, served_name, term);
    }
}

impl Replica {
    fn report(&self) -> LoadedArtifact {
        LoadedArtifact {
            artifact: self.artifact.clone(),
            state: self.state,
            memory_mb: self.memory_mb,
        }
    }
}

/// Checks and carries out an order. A load continues in the background.
pub(super) fn process_order(
    state: &Rc<RefCell<EngineState>>,
    order: &Order,
) -> Result<(), OrderError> {
    state.borrow_mut().check_term(order)?;
    match &order.action {
        OrderAction::Fence => Ok(()),
        OrderAction::Unload { artifact } => state.borrow_mut().unload(artifact, order.term),
        OrderAction::Load {
            artifact,
            memory_mb,
        } => start_load(state, artifact, *memory_mb, order.term),
    }
}

/// Starts a load; without effect if the artifact is loading or loaded.
fn start_load(
    state: &Rc<RefCell<EngineState>>,
    artifact: &Artifact,
    memory_mb: u64,
    term: u64,
) -> Result<(), OrderError> {
    let served_name = artifact.served_name();
    let mut state_mut = state.borrow_mut();
    match state_mut
        .replicas
        .get(&served_name)
        .map(|replica| replica.state)
    {
        Some(LoadState::Unloading) => {
            return Err(OrderError::Refused(format!("{served_name} is unloading")));
        }
        Some(_) => return Ok(()),
        None => {}
    }
    state_mut.check_load(artifact, memory_mb, term)?;
    let load_task = run_load(
        Rc::clone(state),
        served_name.clone(),
        artifact.base.is_some(),
    );
    let replica = Replica {
        artifact: artifact.clone(),
        memory_mb,
        state: LoadState::Loading,
        active_requests: 0,
        term,
        load_task: Some(actix_rt::spawn(load_task)),
    };
    state_mut.replicas.insert(served_name.clone(), replica);
    state_mut.record_change(ReplicaChangeKind::LoadOrdered, &served_name, term);
    Ok(())
}

async fn run_load(state: Rc<RefCell<EngineState>>, served_name: String, is_adapter: bool) {
    let (times, store, tier) = {
        let state = state.borrow();
        let tier = state.checkpoint_tier(&served_name);
        (state.settings.times, state.store.clone(), tier)
    };
    let millis = Duration::from_millis;
    match tier {
        _ if is_adapter => {
            store
                .transfer(TransferKind::Adapter, millis(times.adapter_ms))
                .await;
        }
        CheckpointTier::Memory => time::sleep(millis(times.load_memory_ms)).await,
        CheckpointTier::Disk => time::sleep(millis(times.load_disk_ms)).await,
        CheckpointTier::Remote => {
            store
                .transfer(TransferKind::Model, millis(times.load_remote_ms))
                .await;
        }
    }
    state.borrow_mut().finish_load(&served_name);
}

/// Marks the replica of an artifact as used by a request; `None` if it is not ready.
pub(super) fn acquire_replica(
    state: &Rc<RefCell<EngineState>>,
    served_name: &str,
) -> Option<ReplicaGuard> {
    let mut state_mut = state.borrow_mut();
    if !state_mut.is_ready(served_name) {
        return None;
    }
    state_mut.replicas.get_mut(served_name)?.active_requests += 1;
    Some(ReplicaGuard {
        state: Rc::clone(state),
        served_name: served_name.to_owned(),
        incarnation: state_mut.incarnation,
    })
}
