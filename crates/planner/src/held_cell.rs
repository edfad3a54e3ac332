//! Holding a cell: deciding, and the tasks that write, order and read reports.

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
    context::Cx,
    engine,
    versioned_view::Board,
    writer,
};

/// Longest time between two decisions.
const DECIDE_EVERY: Duration = Duration::from_millis(100);
/// Idle time that is spent to save one cold start.
const COLD_START_WORTH: Duration = Duration::from_mins(2);

/// The holder with the policies of the daemon.
pub(crate) type CellHolder = Holder<EarliestDeadline, LearnedKeep>;

/// A cell that this planner holds or claims.
pub(crate) struct Hold {
    pub(crate) holder: RefCell<CellHolder>,
    pub(crate) board: Board,
    /// Asks for a decision.
    pub(crate) decide: Notify,
    /// Asks for a look at whether a write is due.
    pub(crate) write: Notify,
    /// Counts the occasions on which orders may have become due.
    pub(crate) orders: watch::Sender<u64>,
    /// Whether no further order may be begun.
    pub(crate) ending: Cell<bool>,
}

impl Hold {
    fn new(holder: CellHolder) -> Self {
        Self {
            holder: RefCell::new(holder),
            board: Board::new(),
            decide: Notify::new(),
            write: Notify::new(),
            orders: watch::Sender::new(0),
            ending: Cell::new(false),
        }
    }

    pub(crate) fn wake_orders(&self) {
        self.orders.send_modify(|count| *count += 1);
    }
}

/// Tasks of a hold. Dropping them ends them.
#[derive(Default)]
struct Tasks(BTreeMap<String, JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in self.0.values() {
            task.abort();
        }
    }
}

/// Claims the cell and holds it until a successor is seen or the planner stops.
pub(crate) async fn run(
    cx: &Rc<Cx>,
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
    let hold = Rc::new(Hold::new(holder));
    *cell.hold.borrow_mut() = Some(Rc::clone(&hold));
    let mut tasks = Tasks::default();
    let version = Rc::new(Cell::new(version));
    let writing = writer::run(
        Rc::clone(cx),
        Rc::clone(cell),
        Rc::clone(&hold),
        Rc::clone(&version),
    );
    let writing = actix_rt::spawn(writing);
    let ended = decide_all(cx, cell, &hold, &mut tasks, stopping.clone()).await;
    match ended {
        Ended::Deposed => {
            warn!("cell is lost", kv: { cell = cell.name.as_str() });
            drop(tasks);
            writing.abort();
        }
        Ended::Stopping => {
            settle_orders(tasks).await;
            writer::release(cx, cell, &hold, writing, &version).await;
        }
    }
    *cell.hold.borrow_mut() = None;
}

enum Ended {
    Deposed,
    Stopping,
}

fn policies(cx: &Cx) -> PlacementPolicies<EarliestDeadline, LearnedKeep> {
    let longest = cx.keep_idle();
    PlacementPolicies {
        order: EarliestDeadline,
        idle: LearnedKeep::new(COLD_START_WORTH.min(longest), longest),
        choice: ServerChoice::NearestCheckpoint,
    }
}

async fn decide_all(
    cx: &Rc<Cx>,
    cell: &Rc<CellState>,
    hold: &Rc<Hold>,
    tasks: &mut Tasks,
    mut stopping: watch::Receiver<bool>,
) -> Ended {
    let mut revision = 0;
    let mut fleet = cx.fleet.changes();
    let mut was_active = false;
    let mut last_idle = cx.clock.now();
    fleet.mark_changed();
    loop {
        let now = cx.clock.now();
        if hold.holder.borrow().is_deposed() {
            return Ended::Deposed;
        }
        let snapshot = cx.follower.current();
        if snapshot.revision != revision {
            revision = snapshot.revision;
            let mut holder = hold.holder.borrow_mut();
            holder.set_catalog(&cell.name, &snapshot.catalog);
            fleet.mark_changed();
        }
        if fleet.has_changed().unwrap_or(false) {
            fleet.mark_unchanged();
            let list = cx.fleet.latest();
            hold.holder.borrow_mut().set_instances(&list, now);
        }
        let is_active = hold.holder.borrow().is_active();
        if is_active && !was_active {
            note_taken(cx, cell, hold);
            was_active = true;
        }
        if is_active {
            work_engines(cx, hold, tasks);
            hold.holder.borrow_mut().run_placement_pass(now);
            publish(cx, hold, now, &mut last_idle);
        }
        hold.write.notify_one();
        tokio::select! {
            () = hold.decide.notified() => {}
            () = actix_rt::time::sleep(DECIDE_EVERY) => {}
            _ = fleet.changed() => fleet.mark_changed(),
            _ = stopping.wait_for(|stop| *stop) => {
                hold.ending.set(true);
                return Ended::Stopping;
            }
        }
    }
}

fn note_taken(cx: &Cx, cell: &CellState, hold: &Hold) {
    let term = hold.holder.borrow().term();
    *cell.known.borrow_mut() = KnownHolder {
        address: Some(cx.identity.address),
        term,
    };
    cx.metrics.set_term(&cell.name, term);
    cx.metrics.set_held(&cell.name, true);
    info!("cell is taken over", kv: { cell = cell.name.as_str(), term });
}

/// Runs a task for each engine of the cell.
fn work_engines(cx: &Rc<Cx>, hold: &Rc<Hold>, tasks: &mut Tasks) {
    let holder = hold.holder.borrow();
    let engines = holder.servers().iter().filter(|(_, s)| s.is_engine());
    for (name, _) in engines {
        let is_running = tasks.0.get(name).is_some_and(|task| !task.is_finished());
        if !is_running {
            let task = engine::run(Rc::clone(cx), Rc::clone(hold), name.clone());
            tasks.0.insert(name.clone(), actix_rt::spawn(task));
        }
    }
}

fn publish(cx: &Cx, hold: &Hold, now: Instant, last_idle: &mut Instant) {
    let mut holder = hold.holder.borrow_mut();
    let view = holder.view(now);
    cx.metrics.set_refusals(view.refusals.len());
    for load in holder.take_finished() {
        cx.metrics.count_load(load.tier, load.took);
        info!("load has ended", kv: { artifact = load.artifact.as_str(), source:? = load.tier, took_ms = load.took.as_millis() });
    }
    let elapsed = now.duration_since(*last_idle);
    cx.metrics
        .add_idle(elapsed.mul_f64(holder.idle_accelerators()));
    *last_idle = now;
    drop(holder);
    hold.board.publish(view);
}

/// Lets the orders under way end; each one is bounded in time.
async fn settle_orders(mut tasks: Tasks) {
    for (_, task) in std::mem::take(&mut tasks.0) {
        let _ = task.await;
    }
}
