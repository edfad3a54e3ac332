//! Cold upstreams: how many requests reach one in any second, summed over all instances, and whether
//! what it tolerates is used.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    directory::UpstreamProcess,
    intake::Urgency,
    limits::{Cold, InstanceLimits, PermitAnswer, PermitAsk, PermitLedger, Room, Ticket},
    upstream::{Holding, Phase, Upstream},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Longest time that a message between instances takes.
const MAX_TRANSIT_MS: u64 = 30;
/// Longest time that a request takes to its upstream.
const MAX_WAY_MS: u64 = 20;
/// Time between two writes of an upstream's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Oldest list that an instance uses while it reaches the store or the holder.
const MAX_LIST_AGE_MS: u64 = 1_400;
/// Interval at which an instance's reports reach the holder.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which the holder counts an instance that does not report as silent.
const SILENT_AFTER: Duration = Duration::from_millis(1_700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(id: &str, born_ms: u64, cold_for: Duration) -> Upstream {
    Upstream {
        id: id.to_owned(),
        service: "llm".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "z0".to_owned(),
        software: "1".to_owned(),
        slots: 8,
        phase: Phase::Ready,
        born_ms: Some(born_ms),
        cold_for,
        holds: Holding::default(),
    }
}

/// A process of an upstream that is cold from its start on.
struct Process {
    id: String,
    born: Duration,
    warm_at: Duration,
    /// Arrivals of requests.
    arrived: Vec<Duration>,
}

impl Process {
    fn key(&self) -> UpstreamProcess {
        UpstreamProcess::of(&self.entry(self.born))
    }

    /// Its entry as last written before `at`.
    fn entry(&self, at: Duration) -> Upstream {
        let since = at.saturating_sub(self.born).as_nanos() / HEARTBEAT.as_nanos();
        let written = self.born + HEARTBEAT * u32::try_from(since).unwrap();
        let born_ms = u64::try_from(self.born.as_millis()).unwrap();
        upstream(&self.id, born_ms, self.warm_at.saturating_sub(written))
    }

    /// Most requests in one second while it is cold.
    fn most_in_a_second(&self) -> usize {
        let mut arrived: Vec<_> = self.arrived.clone();
        arrived.retain(|at| *at < self.warm_at);
        arrived.sort_unstable();
        let second = Duration::from_secs(1);
        let count = |from: &Duration| {
            let until = *from + second;
            let after = arrived.partition_point(|at| *at < until);
            after - arrived.partition_point(|at| at < from)
        };
        arrived.iter().map(count).max().unwrap_or(0)
    }
}

struct SimulatedInstance {
    limits: InstanceLimits,
    /// When the list that it has was read; none before the first one.
    list_read_at: Option<Duration>,
    list_due: Duration,
    cut_off_until: Duration,
    reported_at: Duration,
    report_at: Duration,
    call_at: Duration,
    asked: Vec<PermitAsk>,
    waiting: Vec<(usize, Ticket)>,
}

impl SimulatedInstance {
    fn new(now: Duration) -> Self {
        Self {
            limits: InstanceLimits::new(now),
            list_read_at: None,
            list_due: now,
            cut_off_until: Duration::ZERO,
            reported_at: now,
            report_at: now,
            call_at: now,
            asked: Vec::new(),
            waiting: Vec::new(),
        }
    }
}

enum Call {
    /// At the holder: when, of which instance and generation of all, sent when, with what.
    Asked(Duration, usize, u32, Duration, Vec<PermitAsk>),
    Answered(Duration, usize, u32, Duration, Vec<PermitAnswer>),
}

/// Instances, a holder, and processes that start cold.
struct Simulation {
    rng: StdRng,
    now: Duration,
    rate: f64,
    processes: Vec<Process>,
    instances: Vec<SimulatedInstance>,
    /// Number of restarts of all instances.
    generation: u32,
    /// The holder's ledger with its instance; none while there is no holder.
    holder: Option<(usize, PermitLedger)>,
    holder_back_at: Duration,
    calls: Vec<Call>,
}

impl Simulation {
    fn new(seed: u64, instances: usize, rate: f64) -> Self {
        let now = Duration::from_secs(100);
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            rate,
            processes: Vec::new(),
            instances: (0..instances)
                .map(|_| SimulatedInstance::new(now))
                .collect(),
            generation: 0,
            holder: None,
            holder_back_at: now,
            calls: Vec::new(),
        };
        simulation.run(Duration::from_secs(2), 0.0);
        simulation
    }

    /// A zone returns: its upstreams start at the same time.
    fn start_processes(&mut self, count: usize, cold: Duration) {
        for n in 0..count {
            let delay = ms(self.rng.random_range(0..300));
            self.processes.push(Process {
                id: format!("u{n}"),
                born: self.now + delay,
                warm_at: self.now + delay + cold,
                arrived: Vec::new(),
            });
        }
    }

    fn restart_all(&mut self) {
        for instance in &mut self.instances {
            *instance = SimulatedInstance::new(self.now);
            instance.list_due = self.now + ms(self.rng.random_range(0..500));
        }
        self.generation += 1;
        self.lose_holder(3_000);
    }

    fn lose_holder(&mut self, max_ms: u64) {
        self.holder = None;
        self.holder_back_at = self.now + ms(self.rng.random_range(0..max_ms));
    }

    fn run(&mut self, time: Duration, per_s: f64) {
        let end = self.now + time;
        let per_instance = per_s * STEP.as_secs_f64() / f64::from(count(self.instances.len()));
        while self.now < end {
            self.now += STEP;
            self.begin_holder();
            self.deliver();
            self.call_of_holder();
            for index in 0..self.instances.len() {
                self.read_list(index);
                let mut arrivals = per_instance;
                while arrivals > 0.0 {
                    if self.rng.random_bool(arrivals.min(1.0)) {
                        self.arrive(index);
                    }
                    arrivals -= 1.0;
                }
                self.serve_waiting(index);
                self.report_and_ask(index);
            }
        }
    }

    fn begin_holder(&mut self) {
        if self.holder.is_some() || self.now < self.holder_back_at {
            return;
        }
        let index = self.rng.random_range(0..self.instances.len());
        if self.now >= self.instances[index].cut_off_until {
            let known = self.instances[index].limits.all_known(self.now);
            self.holder = Some((index, PermitLedger::begin(&known, self.now)));
        }
    }

    fn silent_ratio(&self) -> f64 {
        let is_silent = |i: &&SimulatedInstance| self.now > i.reported_at + SILENT_AFTER;
        let silent = count(self.instances.iter().filter(is_silent).count());
        let all = count(self.instances.len());
        f64::from(silent) / f64::from(all - silent).max(1.0)
    }

    fn read_list(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let is_cut_off = self.now < instance.cut_off_until;
        if self.now < instance.list_due || is_cut_off {
            return;
        }
        // The list was read some time before it arrives.
        let age = ms(self.rng.random_range(0..300));
        instance.list_due = self.now + ms(self.rng.random_range(0..MAX_LIST_AGE_MS - 300));
        let read_at = self.now.saturating_sub(age);
        let listed = self.processes.iter().filter(|p| p.born <= read_at);
        let list: Vec<_> = listed.map(|p| p.entry(read_at)).collect();
        let list = list.iter().map(|entry| (entry, self.rate));
        instance.limits.record_list(list, read_at, self.now);
        instance.list_read_at = Some(read_at);
    }

    /// A process that an instance knows, if any.
    fn any_listed(&mut self, index: usize) -> Option<usize> {
        let read_at = self.instances[index].list_read_at?;
        let listed = self.processes.iter().enumerate();
        let listed = listed.filter(|(_, p)| p.born <= read_at);
        let listed: Vec<_> = listed.map(|(n, _)| n).collect();
        let chosen = self.rng.random_range(0..listed.len().max(1));
        listed.get(chosen).copied()
    }

    fn send(&mut self, process: usize) {
        let at = self.now + ms(self.rng.random_range(0..MAX_WAY_MS));
        self.processes[process].arrived.push(at);
    }

    fn arrive(&mut self, index: usize) {
        let Some(process) = self.any_listed(index) else {
            return;
        };
        let key = self.processes[process].key();
        let limits = &mut self.instances[index].limits;
        match limits.room(&key, None, self.now) {
            Room::Now => {
                assert!(limits.take(&key, self.now));
                self.send(process);
            }
            Room::From(_) | Room::Unknown => {
                let ticket = limits.begin_wait(&key);
                self.instances[index].waiting.push((process, ticket));
            }
            Room::Full(_) => {}
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        for (process, ticket) in std::mem::take(&mut self.instances[index].waiting) {
            let key = self.processes[process].key();
            let limits = &mut self.instances[index].limits;
            match limits.room(&key, Some(ticket), self.now) {
                Room::Now => {
                    limits.end_wait(&key, ticket);
                    assert!(limits.take(&key, self.now));
                    self.send(process);
                }
                Room::From(_) | Room::Unknown => {
                    self.instances[index].waiting.push((process, ticket));
                }
                Room::Full(_) => limits.end_wait(&key, ticket),
            }
        }
    }

    fn report_and_ask(&mut self, index: usize) {
        let (now, transit) = (self.now, ms(self.rng.random_range(0..MAX_TRANSIT_MS)));
        let all = self.instances.len();
        let instance = &mut self.instances[index];
        let has_holder = self.holder.is_some() && now >= instance.cut_off_until;
        if now >= instance.report_at && has_holder {
            instance.report_at = now + REPORT_INTERVAL;
            instance.reported_at = now;
            instance.limits.set_place(all, index);
            instance.limits.record_holder(now);
        }
        if now < instance.call_at {
            return;
        }
        let lost = std::mem::take(&mut instance.asked);
        instance.limits.record_no_answer(&lost, now);
        let asks = instance.limits.take_asks(now);
        if asks.is_empty() {
            return;
        }
        if !has_holder {
            instance.limits.record_no_answer(&asks, now);
            return;
        }
        instance.call_at = now + ms(500);
        instance.asked.clone_from(&asks);
        let call = Call::Asked(now + transit, index, self.generation, now, asks);
        self.calls.push(call);
    }

    fn deliver(&mut self) {
        let (now, silent_ratio) = (self.now, self.silent_ratio());
        for call in std::mem::take(&mut self.calls) {
            match call {
                Call::Asked(at, index, generation, sent_at, asks) if at <= now => {
                    let Some((_, holder)) = &mut self.holder else {
                        continue;
                    };
                    holder.hear(&self.instances[index].limits.heard(now), now);
                    let answers = asks.iter().filter_map(|a| holder.ask(a, silent_ratio, now));
                    let answers: Vec<_> = answers.collect();
                    // One answer in fifty is lost.
                    if self.rng.random_bool(0.98) {
                        let at = now + ms(self.rng.random_range(0..MAX_TRANSIT_MS));
                        let call = Call::Answered(at, index, generation, sent_at, answers);
                        self.calls.push(call);
                    }
                }
                Call::Answered(at, index, generation, sent_at, answers) if at <= now => {
                    if generation == self.generation {
                        let instance = &mut self.instances[index];
                        instance.limits.apply_answers(&answers, sent_at, now);
                        instance.asked.clear();
                        instance.call_at = now;
                    }
                }
                call => self.calls.push(call),
            }
        }
    }

    /// The holder calls engines itself now and then.
    fn call_of_holder(&mut self) {
        if !self.rng.random_bool(0.05) {
            return;
        }
        let silent_ratio = self.silent_ratio();
        let Some(index) = self.holder.as_ref().map(|(index, _)| *index) else {
            return;
        };
        let Some(process) = self.any_listed(index) else {
            return;
        };
        let (now, key) = (self.now, self.processes[process].key());
        let Some((_, ledger)) = &mut self.holder else {
            return;
        };
        if let Some(cold) = self.instances[index].limits.cold(&key, now) {
            ledger.record_cold(&key, cold, now);
        }
        if ledger.take(&key, silent_ratio, now) {
            self.send(process);
        }
    }

    fn assert_kept(&self, seed: u64) {
        let allowed = self.rate * 1.5 + 5.0;
        for process in &self.processes {
            let most = process.most_in_a_second();
            assert!(
                f64::from(count(most)) <= allowed,
                "seed {seed}, {} instances, {} a second: {} got {most} in a second, {allowed} allowed",
                self.instances.len(),
                self.rate,
                process.id
            );
        }
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap()
}

/// Guards against a second with more than a cold upstream tolerates: a zone returns cold under a burst,
/// while holders end and begin, instances are cut off and return, answers are lost, and all instances
/// are restarted.
#[test]
fn bound_holds_in_random_interleavings() {
    for seed in 0..60 {
        let mut plan = StdRng::seed_from_u64(seed ^ 0xc01d);
        let instances = [2, 3, 4, 8, 30, 80][plan.random_range(0..6)];
        let rate = [0.8, 3.0, 7.1, 20.0][plan.random_range(0..4)];
        let mut simulation = Simulation::new(seed, instances, rate);
        for _ in 0..8 {
            let cold = ms([3_000, 6_000][plan.random_range(0..2)]);
            simulation.start_processes(plan.random_range(1..4), cold);
            for _ in 0..plan.random_range(2..8) {
                match plan.random_range(0..6) {
                    0 => simulation.lose_holder(4_000),
                    1 => simulation.lose_holder(50),
                    2 => {
                        for _ in 0..plan.random_range(1..=instances.div_ceil(2)) {
                            let index = plan.random_range(0..instances);
                            let until = simulation.now + ms(plan.random_range(500..8_000));
                            simulation.instances[index].cut_off_until = until;
                        }
                    }
                    3 => simulation.restart_all(),
                    _ => {}
                }
                simulation.run(ms(plan.random_range(100..1_500)), 300.0);
            }
        }
        simulation.assert_kept(seed);
    }
}

/// Names the load: all upstreams of a zone return cold, with ten times as many requests as they
/// tolerate. What they tolerate is used, whatever the number of instances.
#[test]
fn what_cold_upstreams_tolerate_is_used() {
    for instances in [2, 8, 60] {
        let mut simulation = Simulation::new(5, instances, 7.1);
        let cold = Duration::from_secs(6);
        simulation.start_processes(4, cold);
        simulation.run(Duration::from_secs(7), 300.0);
        simulation.assert_kept(5);
        for process in &simulation.processes {
            // The list takes up to 1.4 s to reach the instances.
            let from = process.born + ms(MAX_LIST_AGE_MS);
            let used = process.arrived.iter();
            let used = used.filter(|at| from <= **at && **at < process.warm_at);
            let tolerated = 7.1 * process.warm_at.saturating_sub(from).as_secs_f64();
            let used = f64::from(count(used.count())) / tolerated;
            assert!(used > 0.75, "{instances} instances: {used}");
        }
    }
}

/// Guards against an upstream that counts as warm while it is still cold, or cold for ever.
#[test]
fn upstream_counts_as_cold_until_it_is_certainly_warm() {
    let now = Duration::from_secs(50);
    let mut limits = InstanceLimits::new(now);
    let entry = upstream("u1", 1, ms(2_000));
    let process = UpstreamProcess::of(&entry);
    assert_eq!(
        limits.record_list([(&entry, 7.1)], now, now),
        vec![process.clone()]
    );
    assert_eq!(limits.room(&process, None, now), Room::Unknown);
    // The next list says less, an answer more.
    let later = now + ms(1_000);
    let entry = upstream("u1", 1, ms(500));
    assert!(limits.record_list([(&entry, 7.1)], later, later).is_empty());
    assert!(limits.cold(&process, now + ms(1_999)).is_some());
    let cold = Cold {
        per_s: 7.1,
        until: now + ms(2_300),
    };
    assert!(!limits.record_cold_answer(&process, cold, later));
    assert!(limits.cold(&process, now + ms(2_299)).is_some());
    assert_eq!(limits.room(&process, None, now + ms(2_300)), Room::Now);
    // It is listed as cold again.
    let again = now + ms(5_000);
    let entry = upstream("u1", 1, ms(3_000));
    assert_eq!(
        limits.record_list([(&entry, 7.1)], again, again),
        vec![process.clone()]
    );
    assert!(!limits.take(&process, again));
    // Another process under the identifier is another matter.
    assert!(limits.take(&UpstreamProcess::of(&upstream("u1", 2, ms(0))), again));
}

/// Guards against a state that gets younger each time that it is told, and never ends.
#[test]
fn what_an_answer_says_reaches_all_and_ends_everywhere() {
    let process = UpstreamProcess::of(&upstream("u1", 1, ms(0)));
    let (mut first, mut second) = (InstanceLimits::new(ms(0)), InstanceLimits::new(ms(0)));
    let mut ledger = PermitLedger::begin(&[], ms(0));
    let cold = Cold {
        per_s: 7.1,
        until: ms(3_000),
    };
    assert!(first.record_cold_answer(&process, cold, ms(0)));
    for now in (0..3_000).step_by(200).map(ms) {
        ledger.hear(&first.heard(now), now + ms(50));
        second.set_elsewhere(&ledger.told(now + ms(50)), now + ms(100));
        assert!(second.cold(&process, now + ms(100)).is_some());
        first.set_elsewhere(&ledger.told(now + ms(50)), now + ms(100));
    }
    for limits in [&first, &second] {
        assert!(limits.cold(&process, ms(3_150)).is_none());
    }
}

/// Guards against an upstream of a zone that takes requests again whose entry does not say yet that it is
/// cold.
#[test]
fn upstreams_of_a_zone_that_is_presumed_cold_are_limited() {
    let now = Duration::from_secs(50);
    let mut limits = InstanceLimits::new(now);
    let entries = [upstream("u1", 1, ms(0)), upstream("u2", 1, ms(0))];
    let other = Upstream {
        zone: "z1".to_owned(),
        ..upstream("u3", 1, ms(0))
    };
    limits.presume_cold("z0", now + ms(3_000), now);
    let list = entries.iter().chain([&other]).map(|entry| (entry, 7.1));
    let cold = limits.record_list(list, now, now);
    assert_eq!(cold, entries.each_ref().map(UpstreamProcess::of));
    assert!(!limits.take(&cold[0], now + ms(2_900)));
    assert!(limits.take(&UpstreamProcess::of(&other), now));
    assert!(limits.take(&cold[0], now + ms(3_000)));
}

/// Guards against the rate of a cold upstream replacing a lower limit that it names, or the reverse.
#[test]
fn lower_of_the_named_limit_and_the_cold_rate_takes_effect() {
    let process = UpstreamProcess::of(&upstream("u1", 1, ms(0)));
    for (named, cold, expected) in [(1.0, 7.1, 1.0), (50.0, 2.0, 2.0)] {
        let mut limits = InstanceLimits::new(ms(0));
        limits.record_answer(&process, Some(named), ms(0), ms(10));
        let state = Cold {
            per_s: cold,
            until: ms(9_000),
        };
        limits.record_cold_answer(&process, state, ms(10));
        let mut ledger = PermitLedger::begin(&limits.all_known(ms(10)), ms(10));
        let mut given = 0;
        for now in (10..8_010).step_by(10).map(ms) {
            given += u32::from(ledger.take(&process, 0.0, now));
        }
        assert!((f64::from(given) - 8.0 * expected).abs() <= 2.0, "{given}");
    }
}

/// Guards against urgent requests that wait behind others for a cold upstream.
#[test]
fn requests_wait_for_a_cold_upstream_in_the_order_of_their_urgency() {
    let (now, start) = (ms(10), Instant::now());
    let process = UpstreamProcess::of(&upstream("u1", 1, ms(0)));
    let mut limits = InstanceLimits::new(ms(0));
    limits.record_holder(ms(0));
    let cold = Cold {
        per_s: 2.0,
        until: ms(9_000),
    };
    limits.record_cold_answer(&process, cold, now);
    let tickets: BTreeMap<_, _> = [(2, 100), (0, 900), (1, 50), (0, 300)]
        .map(|(rank, goal)| {
            let goal = start + ms(goal);
            let gives_up = goal + ms(1_000);
            let urgency = Urgency {
                rank,
                goal,
                gives_up,
            };
            (
                (rank, goal),
                limits.begin_urgent_wait(&process, urgency, now),
            )
        })
        .into();
    let answer = PermitAnswer {
        process: process.clone(),
        valid_in: vec![ms(0)],
        room_in: Some(ms(500)),
    };
    limits.apply_answers(&[answer], now, now);
    // Each waits for the time of those before it, at two a second.
    let rooms = tickets
        .values()
        .map(|t| limits.room(&process, Some(*t), now));
    let rooms: Vec<_> = rooms.collect();
    let full = [510, 1_010, 1_510].map(|at| Room::Full(ms(at)));
    assert_eq!(rooms, [&[Room::Now], &full[..]].concat());
}

/// Guards against a bucket that begins with requests, which each new holder would give once more.
#[test]
fn bucket_of_a_cold_upstream_begins_empty() {
    let process = UpstreamProcess::of(&upstream("u1", 1, ms(0)));
    let now = Duration::from_secs(50);
    let mut limits = InstanceLimits::new(now);
    limits.record_list([(&upstream("u1", 1, ms(3_000)), 4.0)], now, now);
    limits.record_holder(now);
    limits.begin_wait(&process);
    let asks = limits.take_asks(now);
    let mut ledger = PermitLedger::begin(&[], now);
    let answer = ledger.ask(&asks[0], 0.0, now).unwrap();
    assert_eq!(answer.valid_in, []);
    assert_eq!(answer.room_in, Some(ms(250)));
}
