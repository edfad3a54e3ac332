//! Lists of upstreams over outages of an instance's own path to the store, outages of the store, and
//! holders that come and go.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    directory::{Directory, StoredUpstream},
    freshness::Freshness,
    upstream::{Holding, Phase, Upstream},
    versioned_list::{ListCopy, VersionedList},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time within which an upstream that has left gets no more requests.
const DRAIN_MS: u64 = 2_000;
const HEARTBEAT_MS: u64 = 1_200;
/// Lifetime of an upstream's lease, in ms.
const ENTRY_TTL_MS: u64 = 3 * HEARTBEAT_MS;
/// Time within which live upstreams are listed again after an outage, in ms.
const BACK_MS: u64 = 2_000;
const DUTY_TTL_MS: u64 = 2_000;
const INSTANCES: u64 = 5;
/// Largest number of instances that are cut off from the store at a time.
const MAX_PATHS_DOWN: usize = 2;
const STEP_MS: u64 = 50;
const DAY_MS: u64 = 60_000;

/// An upstream's process: its identifier and when it started.
type Process = (String, u64);

fn upstream((id, born_ms): &Process) -> Upstream {
    Upstream {
        id: id.clone(),
        service: "llm".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        software: "1".to_owned(),
        slots: 8,
        phase: Phase::Ready,
        born_ms: Some(*born_ms),
        cold_for: Duration::ZERO,
        holds: Holding::default(),
    }
}

/// One instance, with what it knows.
struct Instance {
    directory: Directory,
    copy: ListCopy,
    sent: VersionedList,
    next_renewal: u64,
    next_read: u64,
    next_exchange: u64,
    /// While its calls to the store fail.
    path_down: Option<(u64, u64)>,
    /// Since when its path has been up, and when it first exchanged with another instance since.
    touched_at: Option<u64>,
    /// Until when it is without power.
    off_until: u64,
    /// Processes of which it has known that they are gone.
    dropped: BTreeSet<Process>,
}

impl Instance {
    fn start(list: u64, now: u64) -> Self {
        Self {
            directory: Directory::default(),
            copy: ListCopy::default(),
            sent: VersionedList::new(list),
            next_renewal: now,
            next_read: now,
            next_exchange: now,
            path_down: None,
            touched_at: None,
            off_until: 0,
            dropped: BTreeSet::new(),
        }
    }

    fn record_call(&mut self, is_answered: bool, now: Instant) {
        let heartbeat = Duration::from_millis(HEARTBEAT_MS);
        if is_answered {
            self.directory.record_store_answer(heartbeat, now);
        } else {
            self.directory.record_store_failure();
        }
    }

    fn lists(&self, process: &Process) -> bool {
        let entry = self.directory.get(&process.0);
        entry.is_some_and(|u| u.born_ms == Some(process.1))
    }
}

/// An exchange between an instance and the holder.
fn exchange(instance: &mut Instance, holder: &mut Instance, now: Instant) {
    record_reach(&instance.directory, &mut holder.directory, now);
    let upstreams: Vec<_> = holder.directory.iter().map(Rc::clone).collect();
    holder.sent.update(&upstreams, holder.directory.missing());
    if let Some(changes) = holder.sent.changes_since(instance.copy.version()) {
        instance.copy.apply(changes);
    }
    if let Some(age) = holder.directory.age(now) {
        let revision = holder.directory.revision();
        instance
            .directory
            .replace(&instance.copy, revision, now.checked_sub(age).unwrap());
    }
    record_reach(&holder.directory, &mut instance.directory, now);
}

/// Tells one instance when the other reached the store.
fn record_reach(from: &Directory, to: &mut Directory, now: Instant) {
    if let Some(reach) = from.store_reach(now).and_then(|age| age.reach(now, now)) {
        to.record_store_reach(Duration::from_millis(HEARTBEAT_MS), reach);
    }
}

/// A process whose entry was removed on purpose while the store was stable, and when.
struct Removal {
    process: Process,
    at: u64,
    /// Store revision of the removal.
    revision: u64,
}

struct Fleet {
    rng: StdRng,
    start: Instant,
    instances: Vec<Instance>,
    /// Holder of the duty and its last renewal.
    holder: Option<(usize, u64)>,
    revision: u64,
    /// Entries in the store: the process, the revision of its last write, and when it lapses.
    entries: BTreeMap<String, (Process, u64, u64)>,
    /// Live processes with their next heartbeat.
    servers: BTreeMap<Process, u64>,
    /// Real outage of the store, if the day has one.
    outage: Option<(u64, u64)>,
    removals: Vec<Removal>,
    /// What each instance listed when the outage began and has to keep.
    kept: Vec<(usize, Process)>,
    lists: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let servers: BTreeMap<_, _> = (0..6)
            .map(|i| ((format!("u{i}"), 1), rng.random_range(0..HEARTBEAT_MS)))
            .collect();
        let begin = rng.random_range(15_000..35_000);
        let outage = rng
            .random_bool(0.4)
            .then(|| (begin, begin + rng.random_range(2_500..9_000)));
        let instances = (0..INSTANCES).map(|i| Instance::start(i, rng.random_range(0..1_000)));
        let instances = instances.collect();
        Self {
            start: Instant::now(),
            instances,
            holder: None,
            revision: 1,
            entries: BTreeMap::new(),
            servers,
            outage,
            removals: Vec::new(),
            kept: Vec::new(),
            lists: 100,
            rng,
        }
    }

    fn at(&self, now: u64) -> Instant {
        self.start + Duration::from_millis(now)
    }

    fn is_up(&self, now: u64) -> bool {
        self.outage.is_none_or(|(from, to)| now < from || now >= to)
    }

    /// Whether no outage of the store is near, so that a missing entry was removed.
    fn is_stable(&self, now: u64) -> bool {
        let (from, to) = self.outage.unwrap_or((u64::MAX, 0));
        now + 2 * ENTRY_TTL_MS < from || now > to + 2 * ENTRY_TTL_MS
    }

    fn reaches_store(&self, instance: usize, now: u64) -> bool {
        let path = self.instances[instance].path_down;
        self.is_up(now) && path.is_none_or(|(from, to)| now < from || now >= to)
    }

    fn is_on(&self, instance: usize, now: u64) -> bool {
        now >= self.instances[instance].off_until
    }

    fn run_servers(&mut self, now: u64) {
        if self
            .outage
            .is_some_and(|(_, to)| to == now / STEP_MS * STEP_MS)
        {
            for next in self.servers.values_mut() {
                *next = now + self.rng.random_range(0..BACK_MS - 2 * STEP_MS);
            }
        }
        if !self.is_up(now) {
            return;
        }
        for (process, next) in &mut self.servers {
            if now >= *next {
                *next = now + HEARTBEAT_MS;
                self.revision += 1;
                let entry = (process.clone(), self.revision, now + ENTRY_TTL_MS);
                self.entries.insert(process.0.clone(), entry);
            }
        }
        self.entries.retain(|_, (_, _, lapses_at)| now < *lapses_at);
    }

    /// Plans what happens to upstreams, paths and instances.
    fn disturb(&mut self, now: u64) {
        if self.rng.random_bool(0.03) && self.is_stable(now) && self.servers.len() > 3 {
            let picked = self.rng.random_range(0..self.servers.len());
            let process = self.servers.keys().nth(picked).unwrap().clone();
            self.servers.remove(&process);
            self.revision += 1;
            self.entries.remove(&process.0);
            let is_restarted = self.rng.random_bool(0.4);
            if is_restarted || self.rng.random_bool(0.4) {
                let next = (process.0.clone(), now + 1);
                self.servers
                    .insert(next, now + self.rng.random_range(0..4_000));
            }
            self.removals.push(Removal {
                process,
                at: now,
                revision: self.revision,
            });
        }
        for i in 0..self.instances.len() {
            // If all paths are down, nobody can tell that from an outage of the store.
            let is_down = |other: &Instance| other.path_down.is_some_and(|(_, to)| now < to);
            let down = self.instances.iter().filter(|other| is_down(other)).count();
            if down < MAX_PATHS_DOWN && !is_down(&self.instances[i]) && self.rng.random_bool(0.004)
            {
                let length = self.rng.random_range(500..8_000);
                self.instances[i].path_down = Some((now, now + length));
            }
        }
        if let Some((holder, _)) = self.holder
            && self.rng.random_bool(0.006)
            && self.is_stable(now)
            && self.is_on(holder, now)
        {
            self.lists += 1;
            let path_down = self.instances[holder].path_down;
            let off_until = now + self.rng.random_range(500..4_000);
            self.instances[holder] = Instance {
                path_down,
                off_until,
                ..Instance::start(self.lists, off_until)
            };
        }
    }

    fn run_duty(&mut self, now: u64) {
        if let Some((holder, renewed_at)) = &mut self.holder {
            let holder = *holder;
            if now >= self.instances[holder].off_until
                && self.outage.is_none_or(|(from, to)| now < from || now >= to)
                && self.instances[holder]
                    .path_down
                    .is_none_or(|(from, to)| now < from || now >= to)
            {
                *renewed_at = now;
            } else if now - *renewed_at >= DUTY_TTL_MS {
                self.holder = None;
            }
            return;
        }
        let next = self.rng.random_range(0..self.instances.len());
        if self.is_on(next, now)
            && self.reaches_store(next, now)
            && self.instances[next].directory.age(self.at(now)).is_some()
        {
            self.lists += 1;
            self.instances[next].sent = VersionedList::new(self.lists);
            self.holder = Some((next, now));
        }
    }

    fn run_instance(&mut self, i: usize, now: u64) {
        if !self.is_on(i, now) {
            return;
        }
        let is_answered = self.reaches_store(i, now);
        let at = self.at(now);
        let is_holder = self.holder.is_some_and(|(holder, _)| holder == i);
        let instance = &mut self.instances[i];
        if now >= instance.next_renewal {
            instance.next_renewal = now + 1_200;
            instance.record_call(is_answered, at);
        }
        let max_age = if is_holder { 450 } else { 1_000 };
        let age = instance.directory.age(at);
        let is_due = age.is_none_or(|age| age >= Duration::from_millis(max_age));
        if now >= instance.next_read && is_due {
            instance.record_call(is_answered, at);
            if is_answered {
                let list = self.entries.values().map(|(process, written_at, _)| {
                    let upstream = upstream(process);
                    let written_at = *written_at;
                    StoredUpstream {
                        upstream,
                        written_at,
                    }
                });
                let list = list.collect();
                instance.directory.replace_read(list, self.revision, at);
            } else {
                instance.next_read = now + 250;
            }
        }
        self.exchange_with_holder(i, now);
    }

    fn exchange_with_holder(&mut self, i: usize, now: u64) {
        let at = self.at(now);
        if now < self.instances[i].next_exchange {
            return;
        }
        let Some((holder, _)) = self.holder.filter(|(h, _)| *h != i && self.is_on(*h, now)) else {
            return;
        };
        self.instances[i].next_exchange = now + 200;
        let [instance, holder_instance] = self.instances.get_disjoint_mut([i, holder]).unwrap();
        exchange(instance, holder_instance, at);
        for reached in [i, holder] {
            if self.reaches_store(reached, now) {
                self.instances[reached].touched_at.get_or_insert(now);
            }
        }
    }

    fn check(&mut self, now: u64, seed: u64) {
        for i in 0..self.instances.len() {
            if !self.reaches_store(i, now) || !self.is_on(i, now) {
                self.instances[i].touched_at = None;
            }
            if !self.is_on(i, now) {
                continue;
            }
            for Removal {
                process,
                at,
                revision,
            } in &self.removals
            {
                let instance = &mut self.instances[i];
                if !instance.lists(process) {
                    // A list of before the removal may still bring what this instance never listed.
                    if instance.directory.revision() >= *revision {
                        instance.dropped.insert(process.clone());
                    }
                    continue;
                }
                assert!(
                    !instance.dropped.contains(process),
                    "seed {seed}, {now} ms: {i} lists {process:?} again, which left at {at} ms"
                );
                let told_at = instance.touched_at.map(|touched_at| touched_at.max(*at));
                assert!(
                    told_at.is_none_or(|told_at| now <= told_at + DRAIN_MS),
                    "seed {seed}, {now} ms: {i} lists {process:?}, which left at {at} ms"
                );
            }
        }
        let Some((from, to)) = self.outage else {
            return;
        };
        if now == from {
            for (i, instance) in self.instances.iter().enumerate() {
                let servers = self.servers.keys();
                let listed = servers.filter(|process| instance.lists(process));
                self.kept.extend(listed.map(|process| (i, process.clone())));
            }
        } else if now > from && now < to + 2 * ENTRY_TTL_MS {
            for (i, process) in &self.kept {
                assert!(
                    self.instances[*i].lists(process),
                    "seed {seed}, {now} ms: {i} has lost {process:?}, which lapsed in the outage \
                     from {from} to {to} ms"
                );
            }
        }
    }

    fn run(seed: u64) {
        let mut fleet = Self::new(seed);
        if let Some((from, to)) = &mut fleet.outage {
            *from = *from / STEP_MS * STEP_MS;
            *to = *to / STEP_MS * STEP_MS;
        }
        for now in (0..DAY_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            fleet.run_servers(now);
            // The start of the day has no disturbances.
            if now > 5_000 {
                fleet.disturb(now);
            }
            fleet.run_duty(now);
            for i in 0..fleet.instances.len() {
                fleet.run_instance(i, now);
            }
            fleet.check(now, seed);
        }
    }
}

/// Guards against requests to upstreams that have left: an instance that was cut off from the store
/// keeps their entries, takes the duty, and its list replaces the right ones of all others. Entries
/// that lapse with a real outage of the store are still kept by all until the upstreams are back.
#[test]
fn no_instance_lists_an_upstream_again_whose_removal_it_knows_of() {
    // In the last one, the holder has not reached the store itself before an outage of the store.
    for seed in (0..150).chain([1_919]) {
        Fleet::run(seed);
    }
}

/// Guards against an earlier holder, or an older confirmation, that replaces what is known.
#[test]
fn older_data_does_not_replace_newer_data_unless_that_is_outdated() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let max_age = Duration::from_millis(2_500);
    let mut known = Freshness::<(u64, u64)>::default();
    assert!(known.accepts((1, 0)) && known.age(start).is_none());
    known.take((7, 3), Some(at(1_000)), at(1_000));
    assert!(known.accepts((7, 3)) && known.accepts((8, 0)));
    assert!(!known.accepts((6, 9)) && !known.accepts_after((6, 9), max_age, at(3_400)));
    assert!(known.accepts_after((6, 9), max_age, at(3_500)));
    known.confirm(Some(at(500)));
    known.confirm(None);
    assert_eq!(known.confirmed_at(), Some(at(1_000)));
}

/// A version that was heard of is news once, and no longer newer once it is known.
#[test]
fn newer_version_is_heard_of_once() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut known = Freshness::<u64>::default();
    known.take(4, Some(start), start);
    assert!(!known.hear_of(3, Some(at(100)), at(200)));
    assert_eq!(known.confirmed_at(), Some(at(100)));
    assert!(known.hear_of(5, Some(at(300)), at(300)));
    assert!(!known.hear_of(5, Some(at(400)), at(400)));
    assert_eq!(known.confirmed_at(), Some(at(100)));
    assert_eq!(known.newer_age(at(500)), Some(Duration::from_millis(200)));
    known.take(5, None, start);
    assert_eq!(known.newer_age(at(600)), None);
}

/// Guards against an instance that hears of one newer version after the other, and for which each one
/// counts as the first: it then never asks the holder for one.
#[test]
fn time_without_the_newest_version_goes_on_while_newer_ones_follow() {
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let mut config = Freshness::default();
    config.take(1, Some(begin), begin);
    for n in 0..10 {
        config.hear_of(2 + n, None, at(100 + n * 150));
    }
    assert_eq!(
        config.newer_age(at(1_600)),
        Some(Duration::from_millis(1_500))
    );
    // The version that is taken is not the newest one: the time begins again.
    config.take(5, Some(at(1_600)), at(1_600));
    let age = config.newer_age(at(1_700));
    assert!(
        age <= Some(Duration::from_millis(100)) && age.is_some(),
        "{age:?}"
    );
    config.take(11, Some(at(1_800)), at(1_800));
    assert_eq!(config.newer_age(at(1_900)), None);
}
