//! Fault injection. A seeded generator draws the faults; they overlap, and each is undone after its
//! duration.

use std::{
    cell::Cell,
    ops::Range,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyweir_platform_standins::{server::StreamFault, store};
use comfreyweir_standins::proxy::{self, Mode};
use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::{
    cluster::{Instance, ServerSlot, SoakCluster},
    configurations,
};

/// How long a server that leaves goes on serving after it was told to drain.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long a server goes on serving that says only in its answers that it leaves.
const UNANNOUNCED_LEAVE_TIME: Duration = Duration::from_millis(4_500);
/// How long a server goes on serving whose entry is removed.
const UNLISTED_TIME: Duration = Duration::from_secs(9);
/// Time for which the store is down before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(200);
/// Time after which the operator writes again what the store has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Delay after which the entry of a crashed server is removed from the store.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a terminating process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fault; the number is the index of the instance or server slot that it hits. The `Debug` form
/// is part of the soak's output.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause(usize),
    Kill(usize),
    /// All instances are killed at the same moment.
    KillAll,
    Terminate(usize),
    Reload(usize),
    StoreLink(usize, proxy::Faults),
    Store(store::Faults),
    ForgetHistory,
    /// The store comes back from a copy that is as old as the fault lasts.
    RestoreStore,
    ServerLink(usize, proxy::Faults),
    Crash(usize),
    Leave(usize),
    /// The server says only in its answers that it leaves.
    LeaveUnannounced(usize),
    /// The server, or all servers of its service, turn everything away.
    Close(usize, bool),
    /// The server's entry is removed while it goes on serving.
    LeaveUnlisted(usize),
    /// The server, or all servers of its service, name a limit in requests a second.
    Limit(usize, bool, f64),
    /// The server fails the streams that begin.
    FailStreams(usize, StreamFault),
    /// The server writes a refusal in front of its answers on kept connections.
    RepeatRefusals(usize),
    /// Servers that start from now on have a new software version; this one is replaced.
    Upgrade(usize),
    ReplaceKey,
}

/// Number of the random stream that fatal parts are drawn from.
const FATAL_PARTS_STREAM: u64 = 2;
/// Fatal parts have this identifier or a higher one.
pub(crate) const FIRST_FATAL_PART: u64 = 1 << 24;
/// Time after which an engine that has ended under a fatal part is back, beside the removal of its
/// entry.
const FATAL_DOWNTIME: Duration = Duration::from_millis(800);
/// Longest time until a request with a fatal part has ended an engine.
const FATAL_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Number of the random stream that limits of servers are drawn from.
const LIMITS_STREAM: u64 = 5;
/// Limits that servers name, in requests a second.
const LIMITS_PER_S: [f64; 5] = [0.2, 0.5, 1.0, 2.5, 8.0];
/// Share of the limits that all servers of a service name.
const LIMITED_SERVICE_RATIO: f64 = 0.2;
/// Number of the random stream that kills of all instances are drawn from.
const KILLS_OF_ALL_STREAM: u64 = 4;
/// Share of the runs in which all instances are killed once.
const KILL_OF_ALL_RATIO: f64 = 0.5;
/// Number of the random stream that the servers with repeated refusals are drawn from.
const REPEATED_REFUSALS_STREAM: u64 = 3;
/// Number of the random stream that series of configurations are drawn from.
const SERIES_STREAM: u64 = 6;
/// Number of the random stream that the faults of [`draw_added_fault`] are drawn from.
const ADDED_FAULTS_STREAM: u64 = 1;

/// Starts new faults for `time` and waits until all of them have ended. Returns a description of
/// each, with its start time and duration.
pub(crate) async fn inject(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let mut added_rng = rng.clone();
    added_rng.set_stream(ADDED_FAULTS_STREAM);
    let mut fatal_rng = rng.clone();
    fatal_rng.set_stream(FATAL_PARTS_STREAM);
    let mut refusals_rng = rng.clone();
    refusals_rng.set_stream(REPEATED_REFUSALS_STREAM);
    let mut kills_rng = rng.clone();
    kills_rng.set_stream(KILLS_OF_ALL_STREAM);
    let mut limits_rng = rng.clone();
    limits_rng.set_stream(LIMITS_STREAM);
    let mut series_rng = rng.clone();
    series_rng.set_stream(SERIES_STREAM);
    let (mut injected, added, limits, refusals, kills, fatal, series) = tokio::join!(
        inject_drawn(cluster, time, rng, draw_fault, 50..1_000),
        inject_drawn(cluster, time, &mut added_rng, draw_added_fault, 500..4_000),
        inject_drawn(cluster, time, &mut limits_rng, draw_limit, 3_000..9_000),
        inject_drawn(
            cluster,
            time,
            &mut refusals_rng,
            draw_repeated_refusals,
            500..4_000
        ),
        inject_kill_of_all(cluster, time, &mut kills_rng),
        inject_fatal_parts(cluster, time, &mut fatal_rng),
        inject_series(cluster, time, &mut series_rng),
    );
    injected.extend(added);
    injected.extend(limits);
    injected.extend(refusals);
    injected.extend(kills);
    injected.extend(fatal);
    injected.extend(series);
    injected
}

/// Publishes series of configurations, with pauses between them.
async fn inject_series(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let start = Instant::now();
    let mut injected = Vec::new();
    while start.elapsed() < time {
        sleep(Duration::from_millis(rng.random_range(200..4_000))).await;
        let length = Duration::from_millis(rng.random_range(300..5_000));
        let at = start.elapsed().as_secs_f64();
        injected.push(format!(
            "{at:.2} s: a series of configurations for {length:?}"
        ));
        configurations::change_for(cluster, length).await;
    }
    injected
}

/// Lets callers send prompts with a part that ends engines, in half of the runs, for most of the time.
async fn inject_fatal_parts(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Option<String> {
    if rng.random_bool(0.5) {
        return None;
    }
    let start = time.mul_f64(rng.random_range(0.0..0.3));
    sleep(start).await;
    let part = FIRST_FATAL_PART + rng.random_range(0..FIRST_FATAL_PART);
    cluster.ledger.set_fatal_part(part);
    let ending = actix_rt::spawn(end_servers(Rc::clone(cluster)));
    sleep(time.saturating_sub(start)).await;
    cluster.ledger.set_fatal_part(0);
    sleep(FATAL_REQUEST_TIME).await;
    ending.abort();
    Some(format!("{start:?}: prompts with the fatal part {part:x}"))
}

/// Ends the engines that have begun to write on a fatal part, and starts others instead. Does not
/// return.
async fn end_servers(cluster: Rc<SoakCluster>) {
    let mut ended = 0;
    loop {
        for (id, _, _) in cluster.ledger.ended().into_iter().skip(ended) {
            ended += 1;
            let key = format!("servers/{id}");
            let is_slot = |slot: &&ServerSlot| {
                let server = slot.server.borrow();
                server.as_ref().is_some_and(|server| server.key() == key)
            };
            let slots = Rc::clone(&cluster.slots);
            let Some(index) = slots.iter().position(|slot| is_slot(&slot)) else {
                continue;
            };
            let cluster = Rc::clone(&cluster);
            actix_rt::spawn(async move {
                replace(&cluster, &slots[index], Duration::ZERO, FATAL_DOWNTIME).await;
            });
        }
        cluster.ledger.end_due().await;
    }
}

/// Starts faults from `draw`, with pauses in ms from a range.
async fn inject_drawn<F>(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
    draw: F,
    pauses_ms: Range<u64>,
) -> Vec<String>
where
    F: Fn(&SoakCluster, &mut ChaCha8Rng) -> (Fault, Duration),
{
    let start = Instant::now();
    let mut injected = Vec::new();
    let mut tasks = JoinSet::new();
    while start.elapsed() < time {
        let (fault, duration) = draw(cluster, rng);
        injected.push(format!(
            "{:.2} s: {fault:?} for {duration:?}",
            start.elapsed().as_secs_f64()
        ));
        tasks.spawn_local(apply_fault(Rc::clone(cluster), fault, duration));
        sleep(Duration::from_millis(rng.random_range(pauses_ms.clone()))).await;
    }
    while tasks.join_next().await.is_some() {}
    injected
}

/// Kills all instances once in some of the runs, in the middle of the time.
async fn inject_kill_of_all(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Option<String> {
    if !rng.random_bool(KILL_OF_ALL_RATIO) {
        return None;
    }
    let wait = time.mul_f64(rng.random_range(0.3..0.7));
    let downtime = Duration::from_millis(rng.random_range(100..1_500));
    sleep(wait).await;
    apply_fault(Rc::clone(cluster), Fault::KillAll, downtime).await;
    let at = wait.as_secs_f64();
    Some(format!("{at:.2} s: {:?} for {downtime:?}", Fault::KillAll))
}

/// Draws a fault of a kind that came later. They have a random stream of their own, so that seeds that
/// once failed keep the faults that they had.
fn draw_added_fault(cluster: &SoakCluster, rng: &mut ChaCha8Rng) -> (Fault, Duration) {
    let slot = rng.random_range(0..cluster.slots.len());
    let duration = Duration::from_millis(rng.random_range(100..3_500));
    let fault = match rng.random_range(0..3) {
        0 => Fault::FailStreams(slot, StreamFault::Endless),
        _ => Fault::LeaveUnlisted(slot),
    };
    (fault, duration)
}

/// Draws servers that name a limit for some seconds.
fn draw_limit(cluster: &SoakCluster, rng: &mut ChaCha8Rng) -> (Fault, Duration) {
    let duration = Duration::from_millis(rng.random_range(5_000..12_000));
    let slot = rng.random_range(0..cluster.slots.len());
    let limit = LIMITS_PER_S[rng.random_range(0..LIMITS_PER_S.len())];
    let with_service = rng.random_bool(LIMITED_SERVICE_RATIO);
    (Fault::Limit(slot, with_service, limit), duration)
}

fn draw_repeated_refusals(cluster: &SoakCluster, rng: &mut ChaCha8Rng) -> (Fault, Duration) {
    let slot = rng.random_range(0..cluster.slots.len());
    let duration = Duration::from_millis(rng.random_range(100..1_500));
    (Fault::RepeatRefusals(slot), duration)
}

fn draw_fault(cluster: &SoakCluster, rng: &mut ChaCha8Rng) -> (Fault, Duration) {
    let instance = rng.random_range(0..cluster.instances.len());
    let slot = rng.random_range(0..cluster.slots.len());
    let duration = Duration::from_millis(rng.random_range(100..3_500));
    let link = link_faults(rng);
    let fault = match rng.random_range(0..29) {
        0 | 1 => Fault::Pause(instance),
        2 | 3 => Fault::Kill(instance),
        4 | 5 => Fault::Terminate(instance),
        6 => Fault::Reload(instance),
        7 | 8 => Fault::StoreLink(instance, link),
        9 | 10 => Fault::Store(store_faults(rng)),
        11 => Fault::ForgetHistory,
        12..=15 => Fault::ServerLink(slot, link),
        16 | 17 => Fault::Crash(slot),
        18 => Fault::Leave(slot),
        19 => Fault::ReplaceKey,
        20 => Fault::LeaveUnannounced(slot),
        21 => Fault::Close(slot, rng.random_bool(0.3)),
        22..=24 => Fault::FailStreams(slot, StreamFault::BreaksOff),
        25 | 26 => Fault::Upgrade(slot),
        _ => Fault::RestoreStore,
    };
    (fault, duration)
}

fn link_faults(rng: &mut ChaCha8Rng) -> proxy::Faults {
    let modes = [
        Mode::Forward,
        Mode::Cut,
        Mode::Freeze,
        Mode::DropToUpstream,
        Mode::DropToCaller,
    ];
    let mode = *modes.choose(rng).unwrap_or(&Mode::Forward);
    let after = rng.random_range(100..2_000);
    proxy::Faults {
        mode,
        delay_ms: rng.random_range(0..300),
        cut_to_upstream_after: rng.random_bool(0.3).then_some(after),
        cut_to_caller_after: rng.random_bool(0.5).then_some(after),
    }
}

fn store_faults(rng: &mut ChaCha8Rng) -> store::Faults {
    match rng.random_range(0..3) {
        0 => store::Faults {
            is_down: true,
            ..store::Faults::default()
        },
        1 => store::Faults {
            delay: Duration::from_millis(rng.random_range(50..800)),
            ..store::Faults::default()
        },
        _ => store::Faults {
            loses_answers: true,
            ..store::Faults::default()
        },
    }
}

/// Applies a fault and undoes it after its duration.
async fn apply_fault(cluster: Rc<SoakCluster>, fault: Fault, duration: Duration) {
    match fault {
        Fault::Pause(i) => pause(&cluster.instances[i], duration).await,
        Fault::Kill(i) => restart(&cluster.instances[i], Signal::KILL, duration).await,
        Fault::KillAll => {
            let mut tasks = JoinSet::new();
            for i in 0..cluster.instances.len() {
                let cluster = Rc::clone(&cluster);
                tasks.spawn_local(async move {
                    restart(&cluster.instances[i], Signal::KILL, duration).await;
                });
            }
            while tasks.join_next().await.is_some() {}
        }
        Fault::Terminate(i) => restart(&cluster.instances[i], Signal::TERM, duration).await,
        Fault::Reload(i) => send_signal(&cluster.instances[i], Signal::HUP),
        Fault::StoreLink(i, faults) => {
            let instance = &cluster.instances[i];
            let began_at = Instant::now();
            instance.store_proxy.set_faults(faults);
            sleep(duration).await;
            instance.store_proxy.set_faults(proxy::Faults::default());
            instance
                .store_troubles
                .borrow_mut()
                .push(began_at..Instant::now());
        }
        Fault::Store(faults) => {
            let began_at = Instant::now();
            cluster.store.set_faults(faults);
            sleep(duration).await;
            cluster.store.set_faults(store::Faults::default());
            cluster.record_store_trouble(began_at);
        }
        Fault::ForgetHistory => cluster.store.forget_history(),
        Fault::RestoreStore => restore_store(&cluster, duration).await,
        Fault::ServerLink(i, faults) => {
            let (slot, began_at) = (&cluster.slots[i], Instant::now());
            slot.link.set_faults(faults);
            sleep(duration).await;
            slot.link.set_faults(proxy::Faults::default());
            let trouble = began_at..Instant::now();
            slot.link_troubles.borrow_mut().push(trouble);
        }
        Fault::Crash(i) => replace(&cluster, &cluster.slots[i], Duration::ZERO, duration).await,
        Fault::Leave(i) => replace(&cluster, &cluster.slots[i], DRAIN_TIME, duration).await,
        Fault::LeaveUnannounced(i) => {
            if let Some(server) = &*cluster.slots[i].server.borrow() {
                server.say_leaving();
            }
            sleep(UNANNOUNCED_LEAVE_TIME).await;
            replace(&cluster, &cluster.slots[i], Duration::ZERO, duration).await;
        }
        Fault::Close(i, with_service) => {
            for slot in slots_of(&cluster, i, with_service) {
                if let Some(server) = &*slot.server.borrow() {
                    server.close_for(duration);
                }
            }
        }
        Fault::Limit(i, with_service, limit) => {
            set_limit(&cluster, (i, with_service), Some(limit));
            sleep(duration).await;
            set_limit(&cluster, (i, with_service), None);
        }
        Fault::LeaveUnlisted(i) => {
            let slot = &cluster.slots[i];
            if slot.unlist(&cluster.store) {
                sleep(UNLISTED_TIME).await;
            }
            replace(&cluster, slot, Duration::ZERO, duration).await;
        }
        Fault::FailStreams(i, fault) => {
            cluster.slots[i].set_stream_fault(fault);
            sleep(duration).await;
            cluster.slots[i].set_stream_fault(StreamFault::None);
        }
        Fault::RepeatRefusals(i) => {
            cluster.slots[i].set_repeats_refusals(true);
            sleep(duration).await;
            cluster.slots[i].set_repeats_refusals(false);
        }
        Fault::Upgrade(i) => {
            cluster.software.set(cluster.software.get() + 1);
            replace(&cluster, &cluster.slots[i], DRAIN_TIME, duration).await;
        }
        Fault::ReplaceKey => cluster.replace_key(),
    }
}

/// The slot with this index, or all of its service.
fn slots_of(
    cluster: &SoakCluster,
    i: usize,
    with_service: bool,
) -> impl Iterator<Item = &ServerSlot> {
    let slots = cluster.slots.iter().enumerate();
    let chosen = slots.filter(move |(index, slot)| {
        *index == i || with_service && slot.service == cluster.slots[i].service
    });
    chosen.map(|(_, slot)| slot)
}

fn set_limit(cluster: &SoakCluster, (i, with_service): (usize, bool), limit: Option<f64>) {
    for slot in slots_of(cluster, i, with_service) {
        if let Some(server) = &*slot.server.borrow() {
            server.set_limit(limit);
        }
    }
}

/// Replaces the store's state by a copy of `age` ago, after a moment in which it is down. The operator
/// writes again what it wrote since; servers do so with their heartbeats, and entries that were
/// removed are removed again.
async fn restore_store(cluster: &SoakCluster, age: Duration) {
    let copy = cluster.store.copy();
    let began_at = Instant::now();
    sleep(age).await;
    cluster.store.set_faults(store::Faults {
        is_down: true,
        ..store::Faults::default()
    });
    sleep(RESTORE_TIME).await;
    cluster.store.restore(copy);
    cluster.store.set_faults(store::Faults::default());
    sleep(REWRITE_DELAY).await;
    cluster.write_config();
    for slot in cluster.slots.iter() {
        slot.remove_entry_if_unlisted(&cluster.store);
    }
    cluster.record_store_trouble(began_at);
}

pub(crate) fn send_signal(instance: &Instance, signal: Signal) {
    // The signal is meaningless for a process that has exited, so a failure is ignored.
    let _ = instance.process.borrow().signal(signal);
}

async fn pause(instance: &Instance, duration: Duration) {
    instance.record_disturbance();
    instance.is_halted.set(true);
    send_signal(instance, Signal::STOP);
    sleep(duration).await;
    instance.is_halted.set(false);
    send_signal(instance, Signal::CONT);
    instance.record_disturbance();
}

/// Ends the daemon by a signal, waits for its exit, and starts it again after `downtime`. Does
/// nothing while another fault restarts it.
pub(crate) async fn restart(instance: &Instance, signal: Signal, downtime: Duration) {
    if instance.is_restarting.replace(true) {
        return;
    }
    let clear_flag = ClearOnDrop(&instance.is_restarting);
    instance.record_disturbance();
    send_signal(instance, signal);
    while instance.process.borrow_mut().exit_status().is_none() {
        sleep(EXIT_POLL_INTERVAL).await;
    }
    sleep(downtime).await;
    let started = instance.process.borrow_mut().start();
    assert!(started.is_ok(), "the daemon cannot be started: {started:?}");
    instance.record_disturbance();
    drop(clear_flag);
}

/// Stops a server and starts a new one after `downtime`. With a `drain_time`, the server announces
/// that it leaves and drains first; without one it crashes, and its entry goes only later. Does
/// nothing while another fault replaces it.
async fn replace(
    cluster: &SoakCluster,
    slot: &ServerSlot,
    drain_time: Duration,
    downtime: Duration,
) {
    if slot.is_being_replaced.replace(true) {
        return;
    }
    let clear_flag = ClearOnDrop(&slot.is_being_replaced);
    if !drain_time.is_zero() {
        slot.drain(&cluster.store);
        sleep(drain_time).await;
    }
    let key = slot.stop();
    if drain_time.is_zero() {
        sleep(ENTRY_REMOVAL_DELAY).await;
    }
    if let Some(key) = key {
        cluster.store.remove(&key);
    }
    sleep(downtime).await;
    let started = slot.start_server(&cluster.ledger);
    assert!(started.is_ok(), "the server cannot be started: {started:?}");
    drop(clear_flag);
}

/// Clears a flag when dropped.
struct ClearOnDrop<'a>(&'a Cell<bool>);

impl Drop for ClearOnDrop<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
