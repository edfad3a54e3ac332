//! Faults, drawn by seed. They overlap; each ends by itself.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyweir_platform_standins::store;
use comfreyweir_standins::proxy::{self, Mode};
use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::cluster::{Instance, Place, World};

/// Time for which a leaving server goes on serving.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time after which the entry of a server that crashed is removed.
const LAPSE: Duration = Duration::from_millis(1_500);
/// Period at which the end of a process is looked for.
const LOOK: Duration = Duration::from_millis(20);

/// A fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause(usize),
    Kill(usize),
    Terminate(usize),
    Reload(usize),
    StoreLink(usize, proxy::Faults),
    Store(store::Faults),
    ForgetHistory,
    ServerLink(usize, proxy::Faults),
    Crash(usize),
    Leave(usize),
    ReplaceKey,
}

/// Injects faults for a time, and waits until all of them have ended. Says what was injected.
pub(crate) async fn inject(world: &Rc<World>, time: Duration, rng: &mut ChaCha8Rng) -> Vec<String> {
    let began = Instant::now();
    let mut injected = Vec::new();
    let mut tasks = JoinSet::new();
    while began.elapsed() < time {
        let (fault, lasts) = draw(world, rng);
        injected.push(format!(
            "{:.2} s: {fault:?} for {lasts:?}",
            began.elapsed().as_secs_f64()
        ));
        tasks.spawn_local(suffer(Rc::clone(world), fault, lasts));
        sleep(Duration::from_millis(rng.random_range(50..1_000))).await;
    }
    while tasks.join_next().await.is_some() {}
    injected
}

fn draw(world: &World, rng: &mut ChaCha8Rng) -> (Fault, Duration) {
    let instance = rng.random_range(0..world.instances.len());
    let place = rng.random_range(0..world.places.len());
    let lasts = Duration::from_millis(rng.random_range(100..3_500));
    let link = link_faults(rng);
    let fault = match rng.random_range(0..20) {
        0 | 1 => Fault::Pause(instance),
        2 | 3 => Fault::Kill(instance),
        4 | 5 => Fault::Terminate(instance),
        6 => Fault::Reload(instance),
        7 | 8 => Fault::StoreLink(instance, link),
        9 | 10 => Fault::Store(store_faults(rng)),
        11 => Fault::ForgetHistory,
        12..=15 => Fault::ServerLink(place, link),
        16 | 17 => Fault::Crash(place),
        18 => Fault::Leave(place),
        _ => Fault::ReplaceKey,
    };
    (fault, lasts)
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

async fn suffer(world: Rc<World>, fault: Fault, lasts: Duration) {
    match fault {
        Fault::Pause(at) => pause(&world.instances[at], lasts).await,
        Fault::Kill(at) => restart(&world.instances[at], Signal::KILL, lasts).await,
        Fault::Terminate(at) => restart(&world.instances[at], Signal::TERM, lasts).await,
        Fault::Reload(at) => signal(&world.instances[at], Signal::HUP),
        Fault::StoreLink(at, faults) => {
            world.instances[at].store.set_faults(faults);
            sleep(lasts).await;
            world.instances[at]
                .store
                .set_faults(proxy::Faults::default());
        }
        Fault::Store(faults) => {
            world.store.set_faults(faults);
            sleep(lasts).await;
            world.store.set_faults(store::Faults::default());
        }
        Fault::ForgetHistory => world.store.forget_history(),
        Fault::ServerLink(at, faults) => {
            world.places[at].link.set_faults(faults);
            sleep(lasts).await;
            world.places[at].link.set_faults(proxy::Faults::default());
        }
        Fault::Crash(at) => replace(&world, &world.places[at], Duration::ZERO, lasts).await,
        Fault::Leave(at) => replace(&world, &world.places[at], DRAIN, lasts).await,
        Fault::ReplaceKey => world.replace_key(),
    }
}

fn signal(instance: &Instance, signal: Signal) {
    // A process that has ended gets none.
    let _ = instance.process.borrow().signal(signal);
}

async fn pause(instance: &Instance, lasts: Duration) {
    signal(instance, Signal::STOP);
    sleep(lasts).await;
    signal(instance, Signal::CONT);
    instance.disturbed.set(Instant::now());
}

/// Ends a process by a signal, and starts it again a while after it has ended.
async fn restart(instance: &Instance, by: Signal, pause: Duration) {
    if instance.is_restarting.replace(true) {
        return;
    }
    let ending = Ending(&instance.is_restarting);
    instance.disturbed.set(Instant::now());
    signal(instance, by);
    while instance.process.borrow_mut().ended().is_none() {
        sleep(LOOK).await;
    }
    sleep(pause).await;
    let started = instance.process.borrow_mut().start();
    assert!(started.is_ok(), "the daemon cannot be started: {started:?}");
    instance.disturbed.set(Instant::now());
    drop(ending);
}

/// Ends a server, after a notice, and starts another one in its place.
async fn replace(world: &World, place: &Place, notice: Duration, pause: Duration) {
    if place.is_changing.replace(true) {
        return;
    }
    let ending = Ending(&place.is_changing);
    if !notice.is_zero() {
        if let Some(server) = &*place.server.borrow() {
            server.drain();
        }
        place.announce(&world.store, u64::MAX / 2);
        sleep(notice).await;
    }
    let key = place.end();
    if notice.is_zero() {
        sleep(LAPSE).await;
    }
    if let Some(key) = key {
        world.store.remove(&key);
    }
    sleep(pause).await;
    let started = place.start(&world.ledger);
    assert!(started.is_ok(), "the server cannot be started: {started:?}");
    drop(ending);
}

/// Clears a flag when it is dropped.
struct Ending<'a>(&'a Cell<bool>);

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
