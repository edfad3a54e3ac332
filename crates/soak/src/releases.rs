//! Planned work beside outages, much the same in each cycle.
//!
//! Some instances lose their path to the store. While they are without it, servers of both services are
//! replaced one after the other, the holder of the planning duty stops, and servers are emptied and taken
//! away. An instance that was without the store becomes the next holder in some of the cycles.

use std::{
    ops::Range,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyweir_platform_standins::server::Server;
use comfreyweir_standins::proxy::{self, Mode};
use rand::{
    RngExt, SeedableRng,
    seq::{IndexedRandom, IteratorRandom},
};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::{
    cluster::{ServerSlot, SoakCluster},
    event_log::EventLog,
    faults::{restart, send_signal},
};

/// What happens in each cycle, and when.
const CYCLE_WORK: [(Duration, Work); 6] = [
    (CUT_AT, Work::CutFromStore),
    (RELEASE_AT, Work::Release("llm", ENGINES_RELEASED)),
    (RELEASE_AT, Work::Release("plain", PLAIN_RELEASED)),
    (HOLDER_LOST_AT, Work::LoseHolder),
    (SCALE_IN_AT, Work::ScaleIn),
    (SCALE_OUT_AT, Work::ScaleOut),
];
/// Most by which it comes sooner or later in all cycles but the first, in ms.
const MAX_SHIFT_MS: u64 = 1_200;
/// Length of a cycle.
const CYCLE: Duration = Duration::from_millis(10_200);
/// Time in a cycle at which instances lose the store, for how long, and the share of them.
const CUT_AT: Duration = Duration::from_millis(2_500);
const CUT_TIME: Duration = Duration::from_millis(4_500);
const CUT_SHARE: f64 = 0.383;
/// Time at which releases begin, the pause between two servers of one, and the shares that are replaced.
const RELEASE_AT: Duration = Duration::from_millis(5_050);
const RELEASE_PAUSE: Duration = Duration::from_millis(750);
const ENGINES_RELEASED: f64 = 0.13;
const PLAIN_RELEASED: f64 = 0.5;
/// Time at which the holder stops, and for how long.
const HOLDER_LOST_AT: Duration = Duration::from_millis(5_900);
const HOLDER_LOST_TIME: Duration = Duration::from_secs(3);
/// Time at which servers are emptied and taken away, and the share of them.
const SCALE_IN_AT: Duration = Duration::from_millis(6_150);
const SCALE_IN_SHARE: f64 = 0.12;
/// Time at which others start in their place.
const SCALE_OUT_AT: Duration = Duration::from_millis(9_500);
/// Time from the start of a new server until the one that it replaces drains.
const START_TIME: Duration = Duration::from_millis(400);
/// Times for which a server goes on serving after the store has accepted that it leaves.
const LEAVE_TIMES_MS: Range<u64> = 3_500..7_000;
/// Probability that a server leaves without an entry that says so: it is only removed.
const UNANNOUNCED_RATIO: f64 = 0.3;

/// Plays cycles for `time`, and waits for the last one to end. Returns what was done, with times.
pub(crate) async fn play(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let day = Rc::new(Day {
        cluster: Rc::clone(cluster),
        log: EventLog::begin(),
    });
    let mut tasks = JoinSet::new();
    let mut cycle_start = Duration::ZERO;
    while cycle_start < time {
        let is_varied = !cycle_start.is_zero();
        for (mut offset, work) in CYCLE_WORK {
            if is_varied {
                let change = Duration::from_millis(rng.random_range(0..MAX_SHIFT_MS * 2));
                offset = (offset + change).saturating_sub(Duration::from_millis(MAX_SHIFT_MS));
            }
            let (day, rng) = (Rc::clone(&day), ChaCha8Rng::from_rng(rng));
            tasks.spawn_local(async move {
                sleep(cycle_start + offset).await;
                day.run(work, rng).await;
            });
        }
        cycle_start += CYCLE;
    }
    while tasks.join_next().await.is_some() {}
    day.log.take()
}

/// What happens in a cycle.
#[derive(Clone, Copy, Debug)]
enum Work {
    /// Some instances lose the store.
    CutFromStore,
    /// A share of the servers of a service are replaced one after the other.
    Release(&'static str, f64),
    /// The holder of the planning duty stops.
    LoseHolder,
    /// Servers of all services are emptied and taken away.
    ScaleIn,
    /// Others start in their place.
    ScaleOut,
}

struct Day {
    cluster: Rc<SoakCluster>,
    log: EventLog,
}

impl Day {
    async fn run(self: Rc<Self>, work: Work, mut rng: ChaCha8Rng) {
        match work {
            Work::CutFromStore => self.cut_from_store(&mut rng).await,
            Work::Release(service, share) => self.release(service, share, &mut rng).await,
            Work::LoseHolder => {
                let what = lose_holder(&self.cluster, &mut rng).await;
                self.log.record(&what);
            }
            Work::ScaleIn => {
                let leaving = self.draw_running(None, SCALE_IN_SHARE, &mut rng);
                self.leave_all(leaving, Duration::ZERO, &mut rng).await;
            }
            Work::ScaleOut => self.scale_out(),
        }
    }

    /// Resets, freezes or blocks the connections of some instances to the store for a while.
    async fn cut_from_store(&self, rng: &mut ChaCha8Rng) {
        let instances = &self.cluster.instances;
        let cut = instances
            .iter()
            .sample(rng, share_of(instances.len(), CUT_SHARE));
        let names: Vec<_> = cut
            .iter()
            .map(|i| i.process.borrow().name().to_owned())
            .collect();
        let began_at = Instant::now();
        let modes = [
            Mode::Cut,
            Mode::Cut,
            Mode::Freeze,
            Mode::DropToUpstream,
            Mode::DropToCaller,
        ];
        let mode = *modes.choose(rng).unwrap_or(&Mode::Cut);
        self.log
            .record(&format!("{} lose the store: {mode:?}", names.join(" ")));
        let set_mode = |mode| {
            let faults = proxy::Faults {
                mode,
                ..proxy::Faults::default()
            };
            for instance in &cut {
                instance.store_proxy.set_faults(faults);
            }
        };
        set_mode(mode);
        sleep(CUT_TIME).await;
        set_mode(Mode::Forward);
        for instance in &cut {
            let trouble = began_at..Instant::now();
            instance.store_troubles.borrow_mut().push(trouble);
        }
    }

    async fn release(self: &Rc<Self>, service: &'static str, share: f64, rng: &mut ChaCha8Rng) {
        let old = self.draw_running(Some(service), share, rng);
        for index in &old {
            self.start_spare(self.cluster.slots[*index].service);
        }
        sleep(START_TIME).await;
        self.leave_all(old, RELEASE_PAUSE, rng).await;
    }

    /// Lets servers leave, with a pause between two of them.
    async fn leave_all(
        self: &Rc<Self>,
        leaving: Vec<usize>,
        pause: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        let mut tasks = JoinSet::new();
        for index in leaving {
            let is_announced = !rng.random_bool(UNANNOUNCED_RATIO);
            let time = Duration::from_millis(rng.random_range(LEAVE_TIMES_MS));
            tasks.spawn_local(Rc::clone(self).leave(index, is_announced, time));
            sleep(pause).await;
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn leave(self: Rc<Self>, index: usize, is_announced: bool, time: Duration) {
        let (slot, store) = (&self.cluster.slots[index], &self.cluster.store);
        let key = slot
            .server
            .borrow()
            .as_ref()
            .map(Server::key)
            .unwrap_or_default();
        if is_announced {
            slot.drain(store);
        } else {
            slot.unlist(store);
        }
        self.log.record(&format!(
            "{key} leaves, announced: {is_announced}, serves for {time:?}"
        ));
        sleep(time).await;
        slot.stop();
        store.remove(&key);
        slot.is_being_replaced.set(false);
    }

    /// Draws running servers that are to leave, of one service or all.
    fn draw_running(&self, service: Option<&str>, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let slots = self.cluster.slots.iter().enumerate();
        let running = slots.filter(|(_, slot)| {
            slot.server.borrow().is_some()
                && !slot.is_being_replaced.get()
                && service.is_none_or(|service| slot.service == service)
        });
        let running: Vec<_> = running.map(|(index, _)| index).collect();
        let count = share_of(running.len(), share);
        let drawn = running.into_iter().sample(rng, count);
        for index in &drawn {
            self.cluster.slots[*index].is_being_replaced.set(true);
        }
        drawn
    }

    /// Starts a server of a service at a free address, and registers it.
    fn start_spare(&self, service: &str) {
        let mut slots = self.cluster.slots.iter();
        let is_free = |slot: &&ServerSlot| {
            slot.service == service
                && slot.server.borrow().is_none()
                && !slot.is_being_replaced.get()
        };
        let Some(slot) = slots.find(is_free) else {
            self.log
                .record(&format!("no address for another server of {service}"));
            return;
        };
        let started = slot.start_server(&self.cluster.ledger);
        assert!(started.is_ok(), "the server cannot be started: {started:?}");
        slot.write_entry(&self.cluster.store, 0);
    }

    /// Starts servers until each service has as many as at first.
    fn scale_out(&self) {
        for (service, count) in [
            ("llm", self.cluster.servers.engines),
            ("plain", self.cluster.servers.plain),
        ] {
            let slots = self.cluster.slots.iter();
            let running = slots.filter(|slot| {
                slot.service == service
                    && slot.server.borrow().is_some()
                    && !slot.is_being_replaced.get()
            });
            for _ in running.count()..count {
                self.start_spare(service);
            }
        }
    }
}

/// Stops the holder for a while. Its machine loses power, so that it answers nothing until it starts
/// anew, or the process is killed and started anew, or it is only frozen. Returns what was done.
pub(crate) async fn lose_holder(cluster: &SoakCluster, rng: &mut ChaCha8Rng) -> String {
    let Some(index) = cluster.holder() else {
        return "nobody holds the planning duty".to_owned();
    };
    let instance = &cluster.instances[index];
    let how = ["loses power", "is killed", "is frozen"][rng.random_range(0..3)];
    instance.is_halted.set(true);
    instance.record_disturbance();
    if how == "is killed" {
        restart(instance, Signal::KILL, HOLDER_LOST_TIME).await;
    } else {
        send_signal(instance, Signal::STOP);
        sleep(HOLDER_LOST_TIME).await;
    }
    if how == "loses power" {
        restart(instance, Signal::KILL, Duration::ZERO).await;
    }
    send_signal(instance, Signal::CONT);
    instance.is_halted.set(false);
    instance.record_disturbance();
    format!("entry-{index} held the planning duty and {how} for {HOLDER_LOST_TIME:?}")
}

/// A share of a number, at least 1.
pub(crate) fn share_of(count: usize, share: f64) -> usize {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let part = (f64::from(count) * share).round().max(1.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part as usize;
    part
}
