//! What an engine holds: replicas, memory, checkpoints, and the orders that change them.

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
    record::{BreakKind, Change, Record, ReplicaChange},
    settings::{Faults, Settings},
};
use crate::{
    timeline,
    weights::{Kind, WeightStore},
};

/// State of one life of an engine process. A crash replaces it.
pub(super) struct State {
    settings: Settings,
    incarnation: u64,
    term: u64,
    held: BTreeMap<String, Held>,
    checkpoints: BTreeMap<String, CheckpointTier>,
    in_memory: VecDeque<String>,
    store: WeightStore,
    pub(super) batch: Rc<Batch>,
    pub(super) cache: PrefixCache,
    pub(super) record: Rc<RefCell<Record>>,
    pub(super) faults: Rc<RefCell<Faults>>,
}

struct Held {
    artifact: Artifact,
    memory_mb: u64,
    state: LoadState,
    users: u32,
    term: u64,
    load: Option<JoinHandle<()>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(load) = self.load.take() {
            load.abort();
        }
    }
}

/// Why an order was not taken.
pub(super) enum OrderError {
    Fenced(u64),
    Refused(String),
}

/// A request that uses a replica. The replica goes only when no request uses it.
pub(super) struct Use {
    state: Rc<RefCell<State>>,
    served: String,
    incarnation: u64,
}

impl Drop for Use {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        if state.incarnation == self.incarnation {
            state.release(&self.served);
        }
    }
}

impl State {
    pub(super) fn new(
        settings: Settings,
        store: WeightStore,
        record: Rc<RefCell<Record>>,
        faults: Rc<RefCell<Faults>>,
    ) -> Self {
        let times = settings.times;
        let lag = Duration::from_millis(times.report_lag_ms);
        let event_lag = Duration::from_millis(times.cache_event_lag_ms);
        Self {
            incarnation: timeline::now_us(),
            term: 0,
            held: BTreeMap::new(),
            checkpoints: settings.checkpoints.clone(),
            in_memory: VecDeque::new(),
            store,
            batch: Batch::new(settings.slots, settings.queue, lag),
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
        let (running, waiting, age) = self.batch.lagging();
        Report {
            incarnation: self.incarnation,
            term: self.term,
            memory_mb: self.settings.memory_mb,
            loaded: self.held.values().map(Held::report).collect(),
            checkpoints: self.checkpoints.clone(),
            running,
            waiting,
            load_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Whether a replica serves.
    pub(super) fn is_ready(&self, served: &str) -> bool {
        self.held
            .get(served)
            .is_some_and(|held| held.state == LoadState::Ready)
    }

    fn release(&mut self, served: &str) {
        let Some(held) = self.held.get_mut(served) else {
            return;
        };
        held.users -= 1;
        if held.users == 0 && held.state == LoadState::Unloading {
            let term = held.term;
            self.remove(served, Change::Gone, term);
        }
    }

    fn used_mb(&self) -> u64 {
        self.held.values().map(|held| held.memory_mb).sum()
    }

    fn note(&self, change: Change, served: &str, term: u64) {
        let used_mb = self.used_mb();
        let record = &mut self.record.borrow_mut();
        record.most_used_mb = record.most_used_mb.max(used_mb);
        record.changes.push(ReplicaChange {
            at_us: timeline::now_us(),
            change,
            artifact: served.to_owned(),
            term,
            replicas: u32::from(self.held.contains_key(served)),
            used_mb,
            checkpoint: self.tier(served),
        });
    }

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
            record.note_break(BreakKind::OldTermObeyed, artifact, order.term, detail);
        }
        Ok(())
    }

    fn check_load(
        &mut self,
        artifact: &Artifact,
        memory_mb: u64,
        term: u64,
    ) -> Result<(), OrderError> {
        if let Some(base) = &artifact.base
            && !self.held.contains_key(base)
        {
            return Err(OrderError::Refused(format!("{base} is not loaded")));
        }
        let wanted_mb = self.used_mb() + memory_mb;
        if wanted_mb <= self.settings.memory_mb {
            return Ok(());
        }
        let detail = format!("{wanted_mb} MB wanted of {} MB", self.settings.memory_mb);
        let record = &mut self.record.borrow_mut();
        record.note_break(BreakKind::MemoryOverLimit, artifact, term, detail.clone());
        if self.settings.checks_memory {
            return Err(OrderError::Refused(detail));
        }
        Ok(())
    }

    fn unload(&mut self, artifact: &Artifact, term: u64) -> Result<(), OrderError> {
        let served = artifact.served_name();
        let extends = |held: &Held| held.artifact.base.as_ref() == Some(&served);
        if self.held.values().any(extends) {
            return Err(OrderError::Refused(format!("adapters extend {served}")));
        }
        let Some(held) = self.held.get_mut(&served) else {
            return Ok(());
        };
        held.term = term;
        if held.users == 0 {
            self.remove(&served, Change::Gone, term);
            return Ok(());
        }
        if held.state == LoadState::Unloading {
            return Ok(());
        }
        held.state = LoadState::Unloading;
        let detail = format!("{} requests running", held.users);
        self.note(Change::UnloadOrdered, &served, term);
        let record = &mut self.record.borrow_mut();
        record.note_break(BreakKind::UnloadWhileRunning, artifact, term, detail);
        Ok(())
    }

    fn remove(&mut self, served: &str, change: Change, term: u64) {
        if self.held.remove(served).is_some() {
            self.cache.forget(served);
            self.note(change, served, term);
        }
    }

    /// Everything is lost with the process.
    pub(super) fn crash(&mut self) {
        let served: Vec<String> = self.held.keys().cloned().collect();
        for served in served {
            self.remove(&served, Change::Crashed, 0);
        }
        self.incarnation = 0;
    }

    fn tier(&self, served: &str) -> CheckpointTier {
        let known = self.checkpoints.get(served).copied();
        known.unwrap_or(CheckpointTier::Remote)
    }

    /// The checkpoint is in memory after a load; the oldest one beyond the limit stays on disk.
    fn keep_checkpoint(&mut self, served: &str) {
        self.in_memory.retain(|kept| kept != served);
        self.in_memory.push_back(served.to_owned());
        self.checkpoints
            .insert(served.to_owned(), CheckpointTier::Memory);
        if self.in_memory.len() > self.settings.memory_checkpoints
            && let Some(oldest) = self.in_memory.pop_front()
        {
            self.checkpoints.insert(oldest, CheckpointTier::Disk);
        }
    }

    fn end_load(&mut self, served: &str) {
        let failed = {
            let mut faults = self.faults.borrow_mut();
            let failed = faults.fail_loads > 0;
            faults.fail_loads = faults.fail_loads.saturating_sub(1);
            failed
        };
        let Some(held) = self.held.get_mut(served) else {
            return;
        };
        // The task that ends here must not abort itself.
        held.load = None;
        let term = held.term;
        if failed {
            self.remove(served, Change::LoadFailed, term);
            return;
        }
        held.state = LoadState::Ready;
        let is_model = held.artifact.base.is_none();
        if is_model {
            self.keep_checkpoint(served);
        }
        self.note(Change::Ready, served, term);
    }
}

impl Held {
    fn report(&self) -> LoadedArtifact {
        LoadedArtifact {
            artifact: self.artifact.clone(),
            state: self.state,
            memory_mb: self.memory_mb,
        }
    }
}

/// Takes an order. Loads go on in the background.
pub(super) fn take_order(state: &Rc<RefCell<State>>, order: &Order) -> Result<(), OrderError> {
    state.borrow_mut().check_term(order)?;
    match &order.action {
        OrderAction::Fence => Ok(()),
        OrderAction::Unload { artifact } => state.borrow_mut().unload(artifact, order.term),
        OrderAction::Load {
            artifact,
            memory_mb,
        } => load(state, artifact, *memory_mb, order.term),
    }
}

fn load(
    state: &Rc<RefCell<State>>,
    artifact: &Artifact,
    memory_mb: u64,
    term: u64,
) -> Result<(), OrderError> {
    let served = artifact.served_name();
    let mut locked = state.borrow_mut();
    match locked.held.get(&served).map(|held| held.state) {
        Some(LoadState::Unloading) => {
            return Err(OrderError::Refused(format!("{served} is unloading")));
        }
        Some(_) => return Ok(()),
        None => {}
    }
    locked.check_load(artifact, memory_mb, term)?;
    let task = run_load(Rc::clone(state), served.clone(), artifact.base.is_some());
    let held = Held {
        artifact: artifact.clone(),
        memory_mb,
        state: LoadState::Loading,
        users: 0,
        term,
        load: Some(actix_rt::spawn(task)),
    };
    locked.held.insert(served.clone(), held);
    locked.note(Change::LoadOrdered, &served, term);
    Ok(())
}

async fn run_load(state: Rc<RefCell<State>>, served: String, is_adapter: bool) {
    let (times, store, tier) = {
        let state = state.borrow();
        let tier = state.tier(&served);
        (state.settings.times, state.store.clone(), tier)
    };
    let millis = Duration::from_millis;
    match tier {
        _ if is_adapter => {
            store
                .transfer(Kind::Adapter, millis(times.adapter_ms))
                .await;
        }
        CheckpointTier::Memory => time::sleep(millis(times.load_memory_ms)).await,
        CheckpointTier::Disk => time::sleep(millis(times.load_disk_ms)).await,
        CheckpointTier::Remote => {
            store
                .transfer(Kind::Model, millis(times.load_remote_ms))
                .await;
        }
    }
    state.borrow_mut().end_load(&served);
}

/// Uses a replica that serves; `None` when it does not.
pub(super) fn use_replica(state: &Rc<RefCell<State>>, served: &str) -> Option<Use> {
    let mut locked = state.borrow_mut();
    if !locked.is_ready(served) {
        return None;
    }
    locked.held.get_mut(served)?.users += 1;
    Some(Use {
        state: Rc::clone(state),
        served: served.to_owned(),
        incarnation: locked.incarnation,
    })
}
