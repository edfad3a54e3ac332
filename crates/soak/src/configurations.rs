//! Series of configurations, and what requests show of the one that they are handled by.
//!
//! Each version adds a route and removes one. A request to a route tells whether the instance goes by the
//! version or by an older one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use comfreyweir_platform_standins::{
    caller::{self, RequestKind, RouteChange},
    store,
};
use comfreyweir_standins::proxy::{self, Mode};
use rand::{
    RngExt, SeedableRng,
    seq::{IndexedRandom, IteratorRandom},
};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::{
    callers::{Record, UNKNOWN_KEY},
    cluster::SoakCluster,
    event_log::EventLog,
    releases::{lose_holder, share_of},
};

/// Pause between two versions of a series.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// What is added to it at an instance that the store turns away.
const TURNED_AWAY_EXTRA: Duration = Duration::from_secs(5);
/// Time without a disturbance after which an instance is in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Probes ask for versions that were accepted so long ago at most.
const MAX_PROBED_AGE: Duration = Duration::from_secs(9);
/// Fewer requests to added routes than this are not judged by how many are served.
const MIN_ADDED_PROBES: usize = 20;
/// Pause between two probes of an instance.
const PROBE_PAUSE: Duration = Duration::from_millis(15);

/// Length of a cycle, and the time in it at which the configuration stops changing.
const CYCLE: Duration = Duration::from_secs(19);
const SERIES_END: Duration = Duration::from_secs(14);
/// Time from the end of a series until the open connections go silent: more than [`CONTACT`] before the
/// next series begins.
const SILENCE_AFTER: Duration = Duration::from_millis(500);
/// Share of the instances that the store turns away.
const TURNED_AWAY_SHARE: f64 = 0.35;

/// A request to a route that a version added or removed.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "its `Debug` form is part of the soak's output")]
pub(crate) struct Probe {
    instance: usize,
    version: u64,
    change: RouteChange,
    /// Time from the acceptance of the version until the request was sent.
    after: Duration,
    sent: Instant,
    status: StatusCode,
}

impl Probe {
    /// Whether only an older version allows the answer.
    fn is_outdated(&self) -> bool {
        match self.change {
            RouteChange::Added => self.status == StatusCode::NOT_FOUND,
            RouteChange::Removed => self.status.is_success(),
        }
    }
}

/// The running tasks that send probes, and what they have recorded.
pub(crate) struct ProbeTasks {
    tasks: JoinSet<()>,
    stop_requested: Rc<Cell<bool>>,
    probes: Rc<RefCell<Vec<Probe>>>,
}

/// Starts a task for each instance.
pub(crate) fn spawn_probes(cluster: &Rc<SoakCluster>, rng: &ChaCha8Rng) -> ProbeTasks {
    let mut probe_tasks = ProbeTasks {
        tasks: JoinSet::new(),
        stop_requested: Rc::default(),
        probes: Rc::default(),
    };
    for instance in 0..cluster.instances.len() {
        let (cluster, probes) = (Rc::clone(cluster), Rc::clone(&probe_tasks.probes));
        let stop_requested = Rc::clone(&probe_tasks.stop_requested);
        let mut rng = rng.clone();
        rng.set_stream(u64::try_from(instance).unwrap_or_default() + 100);
        probe_tasks.tasks.spawn_local(async move {
            while !stop_requested.get() {
                if let Some(probe) = send_probe(&cluster, instance, &mut rng).await {
                    probes.borrow_mut().push(probe);
                }
                sleep(PROBE_PAUSE).await;
            }
        });
    }
    probe_tasks
}

impl ProbeTasks {
    /// Stops sending and returns all probes that were answered.
    pub(crate) async fn finish(mut self) -> Vec<Probe> {
        self.stop_requested.set(true);
        while self.tasks.join_next().await.is_some() {}
        self.probes.take()
    }
}

async fn send_probe(cluster: &SoakCluster, instance: usize, rng: &mut ChaCha8Rng) -> Option<Probe> {
    let (version, accepted_at) = {
        let accepted = cluster.accepted.borrow();
        let recent = accepted
            .iter()
            .filter(|(_, at)| at.elapsed() < MAX_PROBED_AGE);
        *recent.choose(rng)?
    };
    let changes = [RouteChange::Added, RouteChange::Removed];
    let change = *changes.choose(rng).unwrap_or(&RouteChange::Added);
    let addr = cluster.instances[instance].caller_addr;
    let id = format!("change-{:016x}", rng.random::<u64>());
    let sent = Instant::now();
    let status =
        caller::request_changed_route(addr, &id, &cluster.key(), (version, change)).await?;
    Some(Probe {
        instance,
        version,
        change,
        after: sent.saturating_duration_since(accepted_at),
        sent,
        status,
    })
}

/// Publishes a series of versions for `time`.
pub(crate) async fn change_for(cluster: &SoakCluster, time: Duration) {
    let begin = Instant::now();
    while begin.elapsed() < time {
        cluster.change_routes();
        sleep(CHANGE_PAUSE).await;
    }
}

/// What the probes show.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdict {
    /// Number of answered probes.
    pub(crate) probes: usize,
    /// Longest time after which an instance in touch went by an older version.
    pub(crate) latest_outdated: Duration,
    pub(crate) broken: Vec<String>,
}

/// Reports added routes that instances in touch serve less than a quarter as often as the routes that all
/// versions have.
pub(crate) fn unserved_routes(
    probes: &[Probe],
    records: &[Record],
    cluster: &SoakCluster,
) -> Option<String> {
    let in_touch = |instance: usize, sent| cluster.instances[instance].was_in_touch(sent, CONTACT);
    let added = probes.iter().filter(|p| {
        p.change == RouteChange::Added
            && p.after > cluster.config_limit
            && in_touch(p.instance, p.sent)
    });
    let added: Vec<_> = added.map(|p| p.status.is_success()).collect();
    let known = records.iter().filter(|r| {
        r.call.kind == RequestKind::Read
            && r.call.key != UNKNOWN_KEY
            && in_touch(r.instance, r.sent)
    });
    let known: Vec<_> = known.map(Record::is_served).collect();
    let served = |all: &[bool]| all.iter().filter(|is_served| **is_served).count();
    let (added_served, known_served) = (served(&added), served(&known));
    let is_rarely_served = added_served * known.len() * 4 < known_served * added.len();
    (added.len() >= MIN_ADDED_PROBES && is_rarely_served).then(|| {
        let (added, known) = (added.len(), known.len());
        format!("added routes: {added_served} of {added} served, others {known_served} of {known}")
    })
}

/// Judges which version each probe was handled by.
pub(crate) fn judge(probes: &[Probe], cluster: &SoakCluster) -> Verdict {
    let mut verdict = Verdict {
        probes: probes.len(),
        ..Verdict::default()
    };
    for probe in probes.iter().filter(|probe| probe.is_outdated()) {
        let instance = &cluster.instances[probe.instance];
        if !instance.was_in_touch(probe.sent, CONTACT) {
            continue;
        }
        let was_turned_away = instance.was_turned_away(probe.sent, CONTACT);
        if !was_turned_away {
            verdict.latest_outdated = verdict.latest_outdated.max(probe.after);
        }
        let extra = if was_turned_away {
            TURNED_AWAY_EXTRA
        } else {
            Duration::ZERO
        };
        if probe.after > cluster.config_limit + extra {
            verdict
                .broken
                .push(format!("an older configuration: {probe:?}"));
        }
    }
    verdict
}

/// Plays cycles for `time`: a series of versions beside troubles of the store, of the connections to it and
/// of the holder. Returns what was done, with times.
pub(crate) async fn play(
    cluster: &Rc<SoakCluster>,
    time: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let day = Rc::new(Day {
        cluster: Rc::clone(cluster),
        log: EventLog::begin(),
    });
    while day.log.began_at().elapsed() < time {
        let cycle = [
            Trouble::Late,
            Trouble::Lost,
            Trouble::TurnedAway,
            Trouble::HolderLost,
            Trouble::Silence,
        ];
        let mut tasks = JoinSet::new();
        for trouble in cycle {
            if rng.random_bool(0.3) {
                continue;
            }
            let (day, mut rng) = (Rc::clone(&day), ChaCha8Rng::from_rng(rng));
            tasks.spawn_local(async move {
                let end = SERIES_END.as_secs_f64();
                sleep(Duration::from_secs_f64(rng.random_range(0.0..end))).await;
                day.run(trouble, &mut rng).await;
            });
        }
        let cycle_began_at = Instant::now();
        change_for(cluster, SERIES_END).await;
        sleep(SILENCE_AFTER).await;
        if rng.random_bool(0.7) {
            day.silence();
        }
        sleep(CYCLE.saturating_sub(cycle_began_at.elapsed())).await;
        while tasks.join_next().await.is_some() {}
    }
    day.log.take()
}

/// What happens beside the series of a cycle, each at a time of its own.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The store answers late.
    Late,
    /// Its answers are lost.
    Lost,
    /// It turns some instances away.
    TurnedAway,
    /// The holder of the planning duty stops.
    HolderLost,
    /// Open connections to the store go silent.
    Silence,
}

struct Day {
    cluster: Rc<SoakCluster>,
    log: EventLog,
}

impl Day {
    async fn run(&self, trouble: Trouble, rng: &mut ChaCha8Rng) {
        let time = Duration::from_millis(rng.random_range(300..3_000));
        match trouble {
            Trouble::Late => {
                let delay = Duration::from_millis(rng.random_range(50..800));
                self.log
                    .record(&format!("the store answers {delay:?} late for {time:?}"));
                let faults = store::Faults {
                    delay,
                    ..store::Faults::default()
                };
                self.disturb_store(faults, time).await;
            }
            Trouble::Lost => {
                self.log
                    .record(&format!("answers of the store are lost for {time:?}"));
                let faults = store::Faults {
                    loses_answers: true,
                    ..store::Faults::default()
                };
                self.disturb_store(faults, time).await;
            }
            Trouble::TurnedAway => self.turn_away(time * 4, rng).await,
            Trouble::Silence => self.silence(),
            Trouble::HolderLost => {
                let what = lose_holder(&self.cluster, rng).await;
                self.log.record(&what);
            }
        }
    }

    async fn disturb_store(&self, faults: store::Faults, time: Duration) {
        let began_at = Instant::now();
        self.cluster.store.set_faults(faults);
        sleep(time).await;
        self.cluster.store.set_faults(store::Faults::default());
        self.cluster.record_store_trouble(began_at);
    }

    /// Resets each connection of some instances to the store.
    async fn turn_away(&self, time: Duration, rng: &mut ChaCha8Rng) {
        let instances = &self.cluster.instances;
        let count = share_of(instances.len(), TURNED_AWAY_SHARE);
        let chosen = instances.iter().sample(rng, count);
        let names: Vec<_> = chosen
            .iter()
            .map(|i| i.process.borrow().name().to_owned())
            .collect();
        self.log.record(&format!(
            "the store turns away {} for {time:?}",
            names.join(" ")
        ));
        let set_mode = |mode| {
            for instance in &chosen {
                instance.store_proxy.set_faults(proxy::Faults {
                    mode,
                    ..proxy::Faults::default()
                });
            }
        };
        let began_at = Instant::now();
        set_mode(Mode::Cut);
        sleep(time).await;
        set_mode(Mode::Forward);
        for instance in chosen {
            let trouble = began_at..Instant::now();
            instance.turned_away.borrow_mut().push(trouble);
        }
    }

    /// Lets all open connections to the store go silent.
    fn silence(&self) {
        self.log.record("connections to the store go silent");
        for instance in &self.cluster.instances {
            instance.store_proxy.silence_open();
            let now = Instant::now();
            instance.store_troubles.borrow_mut().push(now..now);
        }
    }
}
