//! Limits that upstreams name: what holds after answers that overtake each other, and who may send.

use std::time::Duration;

use comfreyweir_fleet::{
    directory::UpstreamProcess,
    limits::{InstanceLimits, LimitChange, PermitAnswer, PermitAsk, PermitLedger, Room, Ticket},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn process(id: &str, born_ms: u64) -> UpstreamProcess {
    UpstreamProcess {
        id: id.to_owned(),
        born_ms: Some(born_ms),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a limit that goes on, or begins again, by an answer that was given before it ended.
#[test]
fn limit_ends_with_an_answer_without_one_and_a_late_answer_does_not_bring_it_back() {
    let mut limits = InstanceLimits::new(Duration::ZERO);
    let u1 = process("u1", 1);
    let mut answer = |limit, sent, heard| limits.record_answer(&u1, limit, ms(sent), ms(heard));
    assert_eq!(answer(None, 100, 110), None);
    assert_eq!(answer(Some(2.0), 200, 210), Some(LimitChange::Begun(2.0)));
    // May have been given before the limit began.
    assert_eq!(answer(None, 205, 300), None);
    let changed = LimitChange::Changed { from: 2.0, to: 5.0 };
    assert_eq!(answer(Some(5.0), 400, 410), Some(changed));
    assert_eq!(answer(Some(2.0), 350, 420), None);
    assert_eq!(answer(None, 500, 510), Some(LimitChange::Ended));
    assert_eq!(answer(Some(5.0), 450, 900), None);
    assert_eq!(answer(Some(1.0), 600, 910), Some(LimitChange::Begun(1.0)));
    assert_eq!(limits.limit(&u1), Some(1.0));
}

/// Guards against reports that end a limit which only answers to requests name.
#[test]
fn report_ends_a_limit_only_if_reports_have_named_it_or_nothing_has_for_a_while() {
    let mut limits = InstanceLimits::new(ms(0));
    let (u1, u2) = (process("u1", 1), process("u2", 1));
    limits.record_answer(&u1, Some(2.0), ms(10), ms(20));
    limits.record_answer(&u2, Some(2.0), ms(10), ms(20));
    assert_eq!(limits.record_call_answer(&u1, None, ms(30), ms(40)), None);
    assert_eq!(
        limits.record_call_answer(&u2, Some(2.0), ms(30), ms(40)),
        None
    );
    let ended = Some(LimitChange::Ended);
    assert_eq!(limits.record_call_answer(&u2, None, ms(50), ms(60)), ended);
    limits.record_answer(&u1, Some(2.0), ms(2_000), ms(2_100));
    assert_eq!(
        limits.record_call_answer(&u1, None, ms(5_000), ms(5_010)),
        None
    );
    assert_eq!(
        limits.record_call_answer(&u1, None, ms(7_000), ms(7_010)),
        ended
    );
}

/// Guards against a limit of an earlier process at the same identifier.
#[test]
fn another_process_under_the_identifier_is_free_of_the_limit() {
    let mut limits = InstanceLimits::new(Duration::ZERO);
    limits.record_answer(&process("u1", 1), Some(1.0), ms(10), ms(20));
    assert_eq!(limits.limit(&process("u1", 2)), None);
    assert_eq!(limits.limit(&process("u1", 1)), Some(1.0));
}

/// Simulated instances, a holder and one upstream that has named a limit. Time advances in steps.
struct Simulation {
    rng: StdRng,
    now: Duration,
    upstream: UpstreamProcess,
    limit: f64,
    instances: Vec<SimulatedInstance>,
    /// The holder's ledger; none while there is no holder.
    holder: Option<PermitLedger>,
    /// Until when the last answer of each kind of trouble lasts.
    holder_back_at: Option<Duration>,
    /// Calls on their way: when they arrive, from which instance, when they were sent.
    calls: Vec<Call>,
    sent: Vec<Duration>,
    call_count: usize,
    waited: Vec<Duration>,
    refused: usize,
}

struct SimulatedInstance {
    limits: InstanceLimits,
    cut_off_until: Duration,
    report_at: Duration,
    call_at: Duration,
    /// What it has asked for and got no answer to.
    asked: Vec<PermitAsk>,
    /// Requests that wait, with the time since when.
    waiting: Vec<(Ticket, Duration)>,
}

enum Call {
    /// At the holder: when, from which instance, sent when, with what.
    Asked(Duration, usize, Duration, Vec<PermitAsk>),
    /// At the instance.
    Answered(Duration, usize, Duration, Vec<PermitAnswer>),
}

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Longest time that a message takes.
const MAX_TRANSIT_MS: u64 = 30;
/// Length of the windows in which what the upstream gets is counted.
const WINDOW: Duration = Duration::from_secs(4);

impl Simulation {
    fn new(seed: u64, instances: usize, limit: f64) -> Self {
        let upstream = process("u1", 1);
        let now = Duration::from_secs(100);
        let count = instances;
        let instances = (0..instances).map(|place| {
            let mut limits = InstanceLimits::new(now);
            limits.set_place(count, place);
            limits.record_answer(&upstream, Some(limit), now, now);
            SimulatedInstance {
                limits,
                cut_off_until: Duration::ZERO,
                report_at: now,
                call_at: now,
                asked: Vec::new(),
                waiting: Vec::new(),
            }
        });
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            limit,
            instances: instances.collect(),
            upstream,
            holder: None,
            holder_back_at: None,
            calls: Vec::new(),
            sent: Vec::new(),
            call_count: 0,
            waited: Vec::new(),
            refused: 0,
        };
        simulation.begin_holder();
        simulation
    }

    fn begin_holder(&mut self) {
        let known = self.instances[0].limits.all_known(self.now);
        self.holder = Some(PermitLedger::begin(&known, self.now));
        self.holder_back_at = None;
    }

    fn silent_ratio(&self) -> f64 {
        // The holder counts an instance as silent somewhat later than it loses it.
        let silent = self.instances.iter().filter(|i| self.now < i.cut_off_until);
        let silent = u32::try_from(silent.count()).unwrap();
        let all = u32::try_from(self.instances.len()).unwrap();
        f64::from(silent) / f64::from(all - silent).max(1.0)
    }

    fn transit(&mut self) -> Duration {
        ms(self.rng.random_range(0..MAX_TRANSIT_MS))
    }

    /// Lets `per_s` requests a second arrive over all instances for a time.
    fn run(&mut self, time: Duration, per_s: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.holder_back_at.is_some_and(|at| at <= self.now) {
                self.begin_holder();
            }
            self.deliver();
            if self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0)) {
                let instance = self.rng.random_range(0..self.instances.len());
                self.arrive(instance);
            }
            for instance in 0..self.instances.len() {
                self.serve_waiting(instance);
                self.call(instance);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        match instance.limits.room(&self.upstream, None, self.now) {
            Room::Now => {
                assert!(instance.limits.take(&self.upstream, self.now));
                self.sent.push(self.now);
                self.waited.push(Duration::ZERO);
            }
            Room::From(_) | Room::Unknown => {
                let ticket = instance.limits.begin_wait(&self.upstream);
                instance.waiting.push((ticket, self.now));
            }
            Room::Full(until) => {
                assert!(until > self.now);
                self.refused += 1;
            }
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let (limits, now) = (&mut instance.limits, self.now);
        let waiting = std::mem::take(&mut instance.waiting);
        for (ticket, since) in waiting {
            match limits.room(&self.upstream, Some(ticket), now) {
                Room::Now => {
                    limits.end_wait(&self.upstream, ticket);
                    assert!(limits.take(&self.upstream, now));
                    self.sent.push(now);
                    self.waited.push(now.saturating_sub(since));
                }
                Room::From(_) | Room::Unknown => instance.waiting.push((ticket, since)),
                Room::Full(_) => {
                    limits.end_wait(&self.upstream, ticket);
                    self.refused += 1;
                }
            }
        }
    }

    fn call(&mut self, index: usize) {
        let (now, transit) = (self.now, self.transit());
        let has_holder = self.holder.is_some();
        let instance = &mut self.instances[index];
        let is_cut_off = now < instance.cut_off_until;
        if now >= instance.report_at && has_holder && !is_cut_off {
            instance.report_at = now + ms(200);
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
        instance.call_at = now + ms(500);
        if has_holder && !is_cut_off {
            instance.asked.clone_from(&asks);
            self.call_count += 1;
            let call = Call::Asked(now + transit, index, now, asks);
            self.calls.push(call);
        } else {
            instance.limits.record_no_answer(&asks, now);
        }
    }

    fn deliver(&mut self) {
        let (now, silent_ratio) = (self.now, self.silent_ratio());
        for call in std::mem::take(&mut self.calls) {
            match call {
                Call::Asked(at, index, sent_at, asks) if at <= now => {
                    let Some(holder) = &mut self.holder else {
                        continue;
                    };
                    let heard = self.instances[index].limits.heard(now);
                    holder.hear(&heard, now);
                    let asks = asks.iter();
                    let answers = asks.filter_map(|ask| holder.ask(ask, silent_ratio, now));
                    let answers: Vec<_> = answers.collect();
                    // One answer in fifty is lost.
                    if self.rng.random_bool(0.98) {
                        let at = now + self.transit();
                        self.calls.push(Call::Answered(at, index, sent_at, answers));
                    }
                }
                Call::Answered(at, index, sent_at, answers) if at <= now => {
                    let instance = &mut self.instances[index];
                    instance.limits.apply_answers(&answers, sent_at, now);
                    instance.asked.clear();
                    instance.call_at = now;
                }
                call => self.calls.push(call),
            }
        }
    }

    /// Most requests in a window from 3 s after the first answer with the limit.
    fn most_in_window(&self) -> usize {
        let from = Duration::from_secs(103);
        let begins = self.sent.iter().filter(|at| **at >= from);
        let count = |at: Duration| {
            let sent = self.sent.iter();
            sent.filter(|t| at <= **t && **t < at + WINDOW).count()
        };
        begins.map(|at| count(*at)).max().unwrap_or(0)
    }

    fn assert_kept(&self, seed: u64) {
        let most = u32::try_from(self.most_in_window()).unwrap();
        let allowed = 1.5 * self.limit * WINDOW.as_secs_f64() + 5.0;
        assert!(
            f64::from(most) <= allowed,
            "seed {seed}, limit {}: {most} in a window, {allowed} allowed",
            self.limit
        );
    }

    /// Requests sent from 5 s on, as a part of what the limit allows.
    fn used(&self) -> f64 {
        let from = Duration::from_secs(105);
        let sent = self.sent.iter().filter(|at| **at >= from).count();
        let sent = u32::try_from(sent).unwrap();
        f64::from(sent) / (self.now.saturating_sub(from).as_secs_f64() * self.limit)
    }
}

/// Names the load: an engine in need that is the only one with its model, asked for by all instances of
/// a small or large fleet. What it takes is used, with few calls, and no request waits long.
#[test]
fn what_a_limited_upstream_takes_is_used_whatever_the_number_of_instances() {
    for (instances, limit, per_s) in [
        (3, 3.0, 50.0),
        (8, 1.0, 12.0),
        (8, 1.1, 4.0),
        (60, 5.0, 60.0),
        (300, 1.0, 100.0),
        (300, 20.0, 150.0),
    ] {
        let mut simulation = Simulation::new(7, instances, limit);
        let time = Duration::from_secs(if instances < 10 { 120 } else { 30 });
        simulation.run(time, per_s);
        simulation.assert_kept(7);
        let used = simulation.used();
        assert!(used > 0.9, "{instances} instances, limit {limit}: {used}");
        let longest = simulation.waited.iter().max().unwrap();
        assert!(*longest < ms(600), "{longest:?}");
        let calls = f64::from(u32::try_from(simulation.call_count).unwrap());
        let calls_per_s = calls / time.as_secs_f64();
        // One for each request that is sent, five in vain, and one in 10 s of each instance, with its
        // first one.
        let count = f64::from(u32::try_from(instances).unwrap());
        let expected = 6.0 * limit + count / 10.0 + count / time.as_secs_f64();
        assert!(calls_per_s < expected, "{calls_per_s} calls a second");
    }
}

/// Guards against a window with more than the limit: holders end and begin, instances are cut off from
/// them and return, answers are lost, and the limit changes.
#[test]
fn limit_holds_in_random_interleavings() {
    for seed in 0..100 {
        let mut plan = StdRng::seed_from_u64(seed ^ 0x5eed);
        let instances = [2, 5, 8, 30][plan.random_range(0..4)];
        let limit = [0.1, 0.5, 1.0, 3.0, 10.0][plan.random_range(0..5)];
        let mut simulation = Simulation::new(seed, instances, limit);
        for _ in 0..20 {
            match plan.random_range(0..5) {
                0 => {
                    simulation.holder = None;
                    let gone_for = ms(plan.random_range(100..8_000));
                    simulation.holder_back_at = Some(simulation.now + gone_for);
                }
                1 => {
                    let index = plan.random_range(0..instances);
                    let until = simulation.now + ms(plan.random_range(500..10_000));
                    simulation.instances[index].cut_off_until = until;
                }
                // A planned hand-over: the next holder begins at once.
                2 if simulation.holder.is_some() => simulation.begin_holder(),
                _ => {}
            }
            simulation.run(ms(plan.random_range(200..3_000)), 20.0);
        }
        simulation.assert_kept(seed);
    }
}

/// Guards against a permit of an earlier limit that is used after the upstream has named a lower one.
#[test]
fn permits_end_with_the_limit_for_which_they_were_given() {
    let u1 = process("u1", 1);
    let mut limits = InstanceLimits::new(ms(0));
    limits.record_holder(ms(0));
    limits.record_answer(&u1, Some(10.0), ms(10), ms(20));
    let ticket = limits.begin_wait(&u1);
    let asks = limits.take_asks(ms(30));
    assert_eq!(asks.len(), 1);
    let answer = PermitAnswer {
        process: u1.clone(),
        valid_in: vec![ms(0), ms(100)],
        room_in: None,
    };
    limits.apply_answers(&[answer], ms(30), ms(35));
    assert_eq!(limits.room(&u1, Some(ticket), ms(40)), Room::Now);
    limits.record_answer(&u1, Some(0.5), ms(38), ms(50));
    assert!(!limits.take(&u1, ms(60)));
    limits.record_answer(&u1, None, ms(70), ms(80));
    assert!(limits.take(&u1, ms(90)));
}

/// Guards against a limit below what is ever sent, which no answer could end.
#[test]
fn something_is_sent_however_low_the_limit() {
    for limit in [0.0, 0.001] {
        let mut simulation = Simulation::new(3, 4, limit);
        simulation.run(Duration::from_secs(30), 5.0);
        simulation.assert_kept(3);
        assert!(simulation.sent.len() >= 4, "{}", simulation.sent.len());
    }
}

/// Guards against what others have heard being lost with the holder, and against a limit that instances
/// tell each other after it has ended.
#[test]
fn what_one_instance_has_heard_binds_all_until_one_hears_the_end() {
    let u1 = process("u1", 1);
    let (mut first, mut second) = (InstanceLimits::new(ms(0)), InstanceLimits::new(ms(0)));
    first.record_answer(&u1, Some(2.0), ms(100), ms(150));
    let mut ledger = PermitLedger::begin(&[], ms(0));
    ledger.hear(&first.heard(ms(160)), ms(160));
    let changes = second.set_elsewhere(&ledger.told(ms(170)), ms(175));
    assert_eq!(changes, [(u1.clone(), LimitChange::Begun(2.0))]);
    // The holder and the first instance end; the second one becomes the holder.
    let mut ledger = PermitLedger::begin(&second.all_known(ms(200)), ms(200));
    assert_eq!(ledger.limit(&u1), Some(2.0));
    // An answer to a request that was sent before the limit was heard here may be older than it.
    assert_eq!(second.record_answer(&u1, None, ms(120), ms(300)), None);
    let change = second.record_answer(&u1, None, ms(310), ms(320));
    assert_eq!(change, Some(LimitChange::Ended));
    ledger.hear(&second.heard(ms(330)), ms(330));
    assert_eq!(ledger.limit(&u1), None);
    // The first instance is back, and tells what it heard long ago.
    ledger.hear(&first.heard(ms(900)), ms(900));
    assert_eq!(ledger.limit(&u1), None);
    let changes = first.set_elsewhere(&ledger.told(ms(910)), ms(915));
    assert_eq!(changes, [(u1.clone(), LimitChange::Ended)]);
    assert_eq!(first.room(&u1, None, ms(920)), Room::Now);
}
