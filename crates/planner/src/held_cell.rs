//! Claims and holds a cell: runs placement passes, and the tasks that write the cell record, send
//! orders and read reports.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::Version;
use comfreyweir_placement::{
    holder::{Holder, HolderSettings, PlacementPolicies},
    idle::LearnedKeep,
    load_order::EarliestDeadline,
    record::CellRecord,
    server_choice::ServerChoice,
};
use spdlog::{info, warn};
use tokio::sync::{Notify, watch};

use crate::{
    cell::{CellState, KnownHolder},
    context::PlannerContext,
    engine,
    versioned_view::VersionedView,
    writer,
};

/// Maximum time between two placement passes.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Idle time of a replica that is accepted in order to avoid one cold start.
const COLD_START_IDLE_COST: Duration = Duration::from_mins(2);

/// The holder state machine with the placement policies of the planner.
pub(crate) type CellHolder = Holder<EarliestDeadline, LearnedKeep>;

/// A cell that this planner holds or claims.
pub(crate) struct HeldCell {
    pub(crate) holder: RefCell<CellHolder>,
    pub(crate) view: VersionedView,
    /// Notified when a placement pass is due.
    pub(crate) placement_due: Notify,
    /// Notified when a write of the record may be due.
    pub(crate) write_due: Notify,
    /// Counter that is incremented whenever orders may have become due; wakes the engine tasks.
    pub(crate) order_wakeups: watch::Sender<u64>,
    /// Set when the planner stops; no further order may be started then.
    pub(crate) is_stopping: Cell<bool>,
}

impl HeldCell {
    fn new(holder: CellHolder) -> Self {
        Self {
            holder: RefCell::new(holder),
            view: VersionedView::new(),
            placement_due: Notify::new(),
            write_due: Notify::new(),
            order_wakeups: watch::Sender::new(0),
            is_stopping: Cell::new(false),
        }
    }

    pub(crate) fn wake_engine_tasks(&self) {
        self.order_wakeups.send_modify(|count| *count += 1);
    }
}

/// Tasks of the engines of a held cell, by upstream name. They are aborted when this is dropped.
#[derive(Default)]
struct EngineTasks(BTreeMap<String, JoinHandle<()>>);

impl Drop for EngineTasks {
    fn drop(&mut self) {
        for task in self.0.values() {
            task.abort();
        }
    }
}

/// Claims the cell and holds it until a successor is detected or this planner stops.
pub(crate) async fn run(
    cx: &Rc<PlannerContext>,
    cell: &Rc<CellState>,
    version: Version,
    predecessor: Option<CellRecord>,
    stopping: &watch::Receiver<bool>,
) {
    let holder = Holder::claim(
        &cx.identity,
        predecessor.as_ref(),
        HolderSettings::with_lease(cx.lease_times()),
        policies(cx),
    );
    let held = Rc::new(HeldCell::new(holder));
    *cell.held.borrow_mut() = Some(Rc::clone(&held));
    let mut tasks = EngineTasks::default();
    let version = Rc::new(Cell::new(version));
    let writer_task = writer::run(
        Rc::clone(cx),
        Rc::clone(cell),
        Rc::clone(&held),
        Rc::clone(&version),
    );
    let writer_task = actix_rt::spawn(writer_task);
    let loop_end = run_placement_loop(cx, cell, &held, &mut tasks, stopping.clone()).await;
    match loop_end {
        LoopEnd::Deposed => {
            warn!("cell is lost", kv: { cell = cell.name.as_str() });
            drop(tasks);
            writer_task.abort();
        }
        LoopEnd::Stopping => {
            finish_orders(tasks).await;
            writer::release(cx, cell, &held, writer_task, &version).await;
        }
    }
    *cell.held.borrow_mut() = None;
}

/// Why the placement loop ended.
enum LoopEnd {
    /// The record shows a successor, or an engine has received an order with a higher term.
    Deposed,
    /// This planner stops.
    Stopping,
}

fn policies(cx: &PlannerContext) -> PlacementPolicies<EarliestDeadline, LearnedKeep> {
    let max_idle = cx.max_idle();
    PlacementPolicies {
        order: EarliestDeadline,
        idle: LearnedKeep::new(COLD_START_IDLE_COST.min(max_idle), max_idle),
        choice: ServerChoice::NearestCheckpoint,
    }
}

async fn run_placement_loop(
    cx: &Rc<PlannerContext>,
    cell: &Rc<CellState>,
    held: &Rc<HeldCell>,
    tasks: &mut EngineTasks,
    mut stopping: watch::Receiver<bool>,
) -> LoopEnd {
    let mut revision = 0;
    let mut instance_changes = cx.instances.changes();
    let mut was_active = false;
    let mut last_idle_update = cx.clock.now();
    instance_changes.mark_changed();
    loop {
        let now = cx.clock.now();
        if held.holder.borrow().is_deposed() {
            return LoopEnd::Deposed;
        }
        let snapshot = cx.follower.current();
        if snapshot.revision != revision {
            revision = snapshot.revision;
            let mut holder = held.holder.borrow_mut();
            holder.set_catalog(&cell.name, &snapshot.catalog);
            // Servers that are new in the catalog need their state in the list of instances.
            instance_changes.mark_changed();
        }
        if instance_changes.has_changed().unwrap_or(false) {
            instance_changes.mark_unchanged();
            let list = cx.instances.latest();
            held.holder.borrow_mut().set_instances(&list, now);
        }
        let is_active = held.holder.borrow().is_active();
        if is_active && !was_active {
            record_takeover(cx, cell, held);
            was_active = true;
        }
        if is_active {
            ensure_engine_tasks(cx, held, tasks);
            held.holder.borrow_mut().run_placement_pass(now);
            publish_view(cx, held, now, &mut last_idle_update);
        }
        held.write_due.notify_one();
        tokio::select! {
            () = held.placement_due.notified() => {}
            () = actix_rt::time::sleep(MAX_PLACEMENT_INTERVAL) => {}
            // `changed` marks the change as seen, but the start of the loop has yet to apply it.
            _ = instance_changes.changed() => instance_changes.mark_changed(),
            _ = stopping.wait_for(|stop| *stop) => {
                held.is_stopping.set(true);
                return LoopEnd::Stopping;
            }
        }
    }
}

fn record_takeover(cx: &PlannerContext, cell: &CellState, held: &HeldCell) {
    let term = held.holder.borrow().term();
    *cell.known_holder.borrow_mut() = KnownHolder {
        address: Some(cx.identity.address),
        term,
    };
    cx.metrics.set_term(&cell.name, term);
    cx.metrics.set_held(&cell.name, true);
    info!("cell is taken over", kv: { cell = cell.name.as_str(), term });
}

/// Starts a task for each engine of the cell that has none running.
fn ensure_engine_tasks(cx: &Rc<PlannerContext>, held: &Rc<HeldCell>, tasks: &mut EngineTasks) {
    let holder = held.holder.borrow();
    let engines = holder.servers().iter().filter(|(_, s)| s.is_engine());
    for (name, _) in engines {
        let is_running = tasks.0.get(name).is_some_and(|task| !task.is_finished());
        if !is_running {
            let task = engine::run(Rc::clone(cx), Rc::clone(held), name.clone());
            tasks.0.insert(name.clone(), actix_rt::spawn(task));
        }
    }
}

fn publish_view(
    cx: &PlannerContext,
    held: &HeldCell,
    now: Instant,
    last_idle_update: &mut Instant,
) {
    let mut holder = held.holder.borrow_mut();
    let view = holder.view(now);
    cx.metrics.set_refusals(view.refusals.len());
    for load in holder.take_finished() {
        cx.metrics.count_load(load.tier, load.took);
        info!(
            "load has ended",
            kv: {
                artifact = load.artifact.as_str(),
                source:? = load.tier,
                took_ms = load.took.as_millis()
            }
        );
    }
    let elapsed = now.duration_since(*last_idle_update);
    cx.metrics
        .add_idle(elapsed.mul_f64(holder.idle_accelerators()));
    *last_idle_update = now;
    drop(holder);
    held.view.publish(view);
}

/// Waits until the engine tasks have ended. Each order has a timeout.
async fn finish_orders(mut tasks: EngineTasks) {
    for (_, task) in std::mem::take(&mut tasks.0) {
        let _ = task.await;
    }
}
