//! The placement as the holders of the cells report it.
//!
//! One task per cell keeps an exchange with the cell's holder open. The first request that waits
//! for an artifact cancels the exchange and starts a new one, so that the holder learns of it at
//! once; later requests are sent with the next exchange.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use comfreyweir_external::instances::InstanceListClient;
use comfreyweir_peer::{LinkError, PeerLink, PeerSecret, peer_capnp::planner};
use comfreyweir_store::Follower;
use tokio::sync::watch;

use super::{
    PlacementView, ReplicaView,
    cell::CellView,
    exchange::{self, ExchangeRequest},
    holder,
    listed_instances::ListedInstances,
    usage::{ArtifactUse, UsageTable},
    waiting::{WaitKey, Waiters},
};

/// Interval at which the list of instances is read.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before the planners are asked again for the holder of a cell.
const HOLDER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Identity, addresses and sources that a [`PeerView`] needs.
#[derive(Clone)]
pub struct PeerViewConfig {
    /// Name of the gate, unique in the fleet.
    pub gate: String,
    /// Peer address of the planner on the same instance.
    pub planner: SocketAddr,
    /// Secret shared with the planners.
    pub secret: PeerSecret,
    /// The platform's list of instances.
    pub instances: InstanceListClient,
    /// Follower of the current configuration, for the cells and draining upstreams.
    pub follower: Follower,
    /// Maximum time that the holder may wait in an exchange before it answers.
    pub max_exchange_wait: Duration,
}

/// The placement as the holders of the cells report it. Clones share the state; dropping the last
/// one ends the tasks.
#[derive(Clone)]
pub struct PeerView {
    state: Rc<ViewState>,
    _tasks: Rc<Tasks>,
}

struct Tasks(RefCell<Vec<JoinHandle<()>>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in self.0.borrow().iter() {
            task.abort();
        }
    }
}

struct ViewState {
    config: PeerViewConfig,
    cells: RefCell<BTreeMap<String, CellView>>,
    waiters: RefCell<Waiters>,
    usage: Rc<RefCell<UsageTable>>,
    listed: RefCell<ListedInstances>,
    /// Incremented at each change of the view.
    version: watch::Sender<u64>,
    /// Incremented when a request waits for an artifact that no other request waits for.
    new_demand: watch::Sender<u64>,
}

/// A request that waits for an artifact. Dropping it withdraws its demand.
pub struct WaitingRequest {
    state: Rc<ViewState>,
    key: WaitKey,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.state.waiters.borrow_mut().remove(self.key);
    }
}

impl PeerView {
    /// Starts to follow the placement of all cells.
    pub fn spawn(config: PeerViewConfig) -> Self {
        let state = Rc::new(ViewState {
            config,
            cells: RefCell::default(),
            waiters: RefCell::default(),
            usage: Rc::default(),
            listed: RefCell::default(),
            version: watch::Sender::new(0),
            new_demand: watch::Sender::new(0),
        });
        let tasks = Rc::new(Tasks(RefCell::default()));
        let cells = follow_cells(Rc::clone(&state), Rc::downgrade(&tasks));
        let list = follow_instances(Rc::clone(&state));
        let started = [actix_rt::spawn(cells), actix_rt::spawn(list)];
        tasks.0.borrow_mut().extend(started);
        Self {
            state,
            _tasks: tasks,
        }
    }
}

impl PlacementView for PeerView {
    type Waiting = WaitingRequest;

    fn replicas(&self, served_name: &str) -> Vec<ReplicaView> {
        let now = Instant::now();
        let mut replicas = Vec::new();
        for cell in self.state.cells.borrow().values() {
            let known = cell.replicas.iter().filter(|r| r.artifact == served_name);
            for replica in known.filter(|r| !self.is_leaving(&r.upstream)) {
                let load = cell.loads.get(&replica.upstream);
                replicas.push(ReplicaView {
                    upstream: replica.upstream.clone(),
                    ready: replica.ready,
                    ready_in: cell.remaining(replica.ready_in, now),
                    running: load.map_or(0, |l| l.running),
                    waiting: load.map_or(0, |l| l.waiting),
                    load_at: load.map_or(now, |l| l.at),
                });
            }
        }
        replicas
    }

    fn ready_in(&self, served_name: &str) -> Option<Duration> {
        let now = Instant::now();
        let replicas = self.replicas(served_name);
        if replicas.iter().any(|r| r.ready) {
            return Some(Duration::ZERO);
        }
        let cells = self.state.cells.borrow();
        let mut refusals = cells
            .values()
            .filter_map(|cell| Some(cell.remaining(*cell.refusals.get(served_name)?, now)));
        let refused = refusals.next();
        let estimates = replicas.iter().map(|r| r.ready_in);
        // A replica that is still loading after its estimated time gives no estimate.
        let loading = estimates.filter(|estimate| !estimate.is_zero()).min();
        refused.or(loading)
    }

    fn is_leaving(&self, upstream: &str) -> bool {
        let is_listed = self.state.listed.borrow().leaving.contains(upstream);
        let cells = self.state.cells.borrow();
        let mut loads = cells.values().filter_map(|cell| cell.loads.get(upstream));
        is_listed || loads.any(|load| load.leaving) || self.state.is_draining(upstream)
    }

    fn wait_for(&self, served_name: &str, workspace: &str, deadline: Instant) -> WaitingRequest {
        let mut waiters = self.state.waiters.borrow_mut();
        let (key, is_first) = waiters.add(served_name, workspace, deadline);
        if is_first {
            self.state.new_demand.send_modify(|count| *count += 1);
        }
        WaitingRequest {
            state: Rc::clone(&self.state),
            key,
        }
    }

    fn begin_use(&self, served_name: &str) -> ArtifactUse {
        ArtifactUse::begin(&self.state.usage, served_name)
    }

    async fn changed(&self) {
        let mut versions = self.state.version.subscribe();
        let _ = versions.changed().await;
    }
}

impl ViewState {
    fn is_draining(&self, upstream: &str) -> bool {
        let snapshot = self.config.follower.current();
        let upstream = snapshot.catalog.upstreams.get(upstream);
        upstream.is_some_and(|u| u.draining)
    }

    fn notify_change(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Addresses of the planners to ask for a holder; the planner of the same instance comes first.
    fn planners(&self) -> Vec<SocketAddr> {
        let own = self.config.planner;
        let mut planners = vec![own];
        let listed = self.listed.borrow();
        planners.extend(listed.planners.iter().filter(|addr| **addr != own));
        planners
    }
}

/// Runs a task for each cell of the configuration.
async fn follow_cells(state: Rc<ViewState>, tasks: Weak<Tasks>) {
    let mut changes = state.config.follower.changes();
    let mut followed = BTreeSet::new();
    loop {
        let snapshot = state.config.follower.current();
        for upstream in snapshot.catalog.upstreams.values() {
            if followed.insert(upstream.cell.clone()) {
                let Some(tasks) = tasks.upgrade() else {
                    return;
                };
                let task = follow_cell(Rc::clone(&state), upstream.cell.clone());
                tasks.0.borrow_mut().push(actix_rt::spawn(task));
            }
        }
        // The view depends on the draining flags of the configuration.
        state.notify_change();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_instances(state: Rc<ViewState>) {
    loop {
        if let Ok(list) = state.config.instances.read().await {
            let listed = ListedInstances::from_list(&list);
            if listed != *state.listed.borrow() {
                *state.listed.borrow_mut() = listed;
                state.notify_change();
            }
        }
        actix_rt::time::sleep(INSTANCE_LIST_INTERVAL).await;
    }
}

async fn follow_cell(state: Rc<ViewState>, cell: String) {
    loop {
        let planners = state.planners();
        let secret = &state.config.secret;
        if let Some(addr) = holder::find(&planners, secret, &cell).await
            && let Ok(link) = comfreyweir_peer::open(addr, secret).await
        {
            // The error is ignored: after any failure, the holder is looked up again.
            let _ = exchange_until_error(&state, &cell, &link).await;
        }
        actix_rt::time::sleep(HOLDER_RETRY_PAUSE).await;
    }
}

/// Repeats exchanges with a holder until one fails because it cannot be reached or no longer holds
/// the cell.
async fn exchange_until_error(
    state: &ViewState,
    cell: &str,
    link: &PeerLink<planner::Client>,
) -> Result<(), LinkError> {
    let mut new_demand = state.new_demand.subscribe();
    let mut usage = BTreeMap::new();
    loop {
        new_demand.mark_unchanged();
        let known = state.cells.borrow().get(cell).cloned().unwrap_or_default();
        let demand = state.waiters.borrow().demand(Instant::now());
        // `usage` is kept until an exchange succeeds: a cancelled one may not have reached the
        // holder.
        usage.extend(state.usage.borrow_mut().report());
        let request = ExchangeRequest {
            cell,
            gate: &state.config.gate,
            known_term: known.term,
            known_version: known.version,
            wait: state.config.max_exchange_wait,
            demand: &demand,
            usage: &usage,
        };
        tokio::select! {
            answer = exchange::exchange(link, request) => {
                let answer = answer?;
                usage.clear();
                let mut cells = state.cells.borrow_mut();
                let view = cells.entry(cell.to_owned()).or_default();
                view.update(answer.view, answer.replicas);
                drop(cells);
                state.notify_change();
            }
            _ = new_demand.changed() => {}
        }
    }
}
