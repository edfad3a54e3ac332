//! Evacuations over random interleavings of partitions, lost holders, takeovers, restarts and removals,
//! and the rules that follow from them.
//!
//! Store, instances and messages are simulated on a virtual clock. The bounds are the platform's.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyweir_fleet::zones::{
    EvacuationNews, EvacuationSource, Evacuations, ZoneRefusal, ZoneRules,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{FakeEngine, Fleet, LARGE_MB, artifact, model};

const SEEDS: u64 = 150;
const RUN: Duration = Duration::from_mins(1);
const STEP: Duration = Duration::from_millis(50);
const INSTANCES: usize = 6;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time within which an evacuation must be in force.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which an instance must have been running and in contact for the bound to apply to it.
const CONTACT: Duration = Duration::from_secs(4);
/// Longest time of a call and of its answer.
const MAX_DELAY: Duration = Duration::from_millis(150);
/// Longest time after which a message that counts as lost still arrives.
const MAX_LATE: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const REPORT_PERIOD: Duration = Duration::from_millis(600);
const RETRY_PAUSE: Duration = Duration::from_millis(350);
/// Longest time without a holder.
const MAX_TAKEOVER: Duration = Duration::from_secs(3);

struct Store {
    revision: u64,
    /// Evacuated zones, with the time and the revision since when.
    evacuated: BTreeMap<&'static str, (Instant, u64)>,
}

#[derive(Default)]
struct Process {
    number: u32,
    evacuations: Evacuations,
    next_read: Option<Instant>,
    next_report: Option<Instant>,
}

struct Instance {
    process: Process,
    reaches_store: bool,
    reaches_peers: bool,
    /// Since when it runs and is in contact.
    contact_since: Option<Instant>,
}

enum Body {
    Read(BTreeSet<String>, u64),
    News(EvacuationNews, EvacuationSource),
}

struct Message {
    at: Instant,
    to: usize,
    process: u32,
    /// Time before which it was not sent; none if that is not known to the receiver.
    sent_after: Option<Instant>,
    body: Body,
}

struct Simulation {
    rng: StdRng,
    now: Instant,
    store: Store,
    instances: Vec<Instance>,
    holder: Option<usize>,
    next_holder_at: Instant,
    messages: Vec<Message>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let instance = || Instance {
            process: Process::default(),
            reaches_store: true,
            reaches_peers: true,
            contact_since: Some(now),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            store: Store {
                revision: 1,
                evacuated: BTreeMap::new(),
            },
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            holder: None,
            next_holder_at: now,
            messages: Vec::new(),
        }
    }

    fn time_up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
    }

    /// Whether something happens that happens `per_s` times a second.
    fn happens(&mut self, per_s: f64) -> bool {
        let probability = per_s * STEP.as_secs_f64();
        self.rng.random_bool(probability)
    }

    fn disturb(&mut self) {
        let now = self.now;
        // The store is also written by others.
        self.store.revision += u64::from(self.happens(3.0));
        for zone in ZONES {
            if self.store.evacuated.contains_key(zone) {
                if self.happens(0.06) {
                    self.store.evacuated.remove(zone);
                    self.store.revision += 1;
                }
            } else if self.happens(0.06) {
                self.store.revision += 1;
                let begun = (now, self.store.revision);
                self.store.evacuated.insert(zone, begun);
                // The holder may be lost right after.
                if self.rng.random_bool(0.3) {
                    self.lose_holder(true);
                }
            }
        }
        if self.happens(0.05) {
            self.lose_holder(true);
        }
        for i in 0..INSTANCES {
            if self.happens(0.02) {
                self.restart(i);
            }
            if self.happens(0.1) {
                self.instances[i].reaches_store ^= true;
            }
            if self.happens(0.1) {
                self.instances[i].reaches_peers ^= true;
            }
        }
        if self
            .holder
            .is_some_and(|h| !self.instances[h].reaches_store)
        {
            self.lose_holder(false);
        }
        if self.holder.is_none() && now >= self.next_holder_at {
            let able: Vec<_> = (0..INSTANCES)
                .filter(|i| self.instances[*i].reaches_store)
                .collect();
            if !able.is_empty() {
                self.holder = Some(able[self.rng.random_range(0..able.len())]);
            }
        }
    }

    fn lose_holder(&mut self, is_killed: bool) {
        if let Some(holder) = self.holder.take() {
            self.next_holder_at = self.now + self.time_up_to(MAX_TAKEOVER);
            if is_killed {
                self.restart(holder);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        if self.holder == Some(i) {
            self.lose_holder(false);
        }
        let instance = &mut self.instances[i];
        let number = instance.process.number + 1;
        instance.process = Process {
            number,
            ..Process::default()
        };
        instance.contact_since = None;
    }

    /// Whether an instance reaches the store, or other instances of which at least half reach both.
    fn is_in_contact(&self, i: usize) -> bool {
        let others = self.instances.iter().enumerate();
        let able = others.filter(|(n, o)| *n != i && o.reaches_peers && o.reaches_store);
        let instance = &self.instances[i];
        instance.reaches_store || instance.reaches_peers && able.count() * 2 >= INSTANCES - 1
    }

    fn send(&mut self, to: usize, sent_after: Option<Instant>, body: Body) {
        let mut delay = self.time_up_to(MAX_DELAY);
        if self.rng.random_bool(0.02) {
            delay = self.time_up_to(MAX_LATE);
        }
        self.messages.push(Message {
            at: self.now + delay,
            to,
            process: self.instances[to].process.number,
            sent_after,
            body,
        });
    }

    /// Reads the store if that is due. The holder watches it.
    fn read(&mut self, i: usize) {
        let now = self.now;
        let process = &mut self.instances[i].process;
        let is_due = self.holder == Some(i) || process.evacuations.is_read_due(BOUND, now);
        if !is_due || process.next_read.is_some_and(|at| now < at) {
            return;
        }
        if !self.instances[i].reaches_store {
            self.instances[i].process.next_read = Some(now + CALL_TIMEOUT);
            return;
        }
        self.instances[i].process.next_read = Some(now + MAX_DELAY * 2);
        let zones = self.store.evacuated.keys();
        let zones = zones.map(|zone| (*zone).to_owned()).collect();
        let body = Body::Read(zones, self.store.revision);
        self.send(i, Some(now), body);
    }

    /// Reports to the holder, or asks any other instance while there is none.
    fn report(&mut self, i: usize) {
        let now = self.now;
        let process = &mut self.instances[i].process;
        if process.next_report.is_some_and(|at| now < at) || !self.instances[i].reaches_peers {
            return;
        }
        let other = self.holder.filter(|h| self.instances[*h].reaches_peers);
        let (asked, source, pause) = match other {
            Some(holder) => (holder, EvacuationSource::Holder, REPORT_PERIOD),
            None => (
                self.rng.random_range(0..INSTANCES),
                EvacuationSource::Instance,
                RETRY_PAUSE,
            ),
        };
        self.instances[i].process.next_report = Some(now + pause);
        if asked == i || !self.instances[asked].reaches_peers {
            return;
        }
        if let Some(news) = self.instances[i].process.evacuations.news(now) {
            self.send(asked, None, Body::News(news, EvacuationSource::Instance));
        }
        if let Some(news) = self.instances[asked].process.evacuations.news(now) {
            self.send(i, Some(now), Body::News(news, source));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |m| m.at <= now);
        for message in due.collect::<Vec<_>>() {
            let process = &mut self.instances[message.to].process;
            if process.number != message.process {
                continue;
            }
            let before = process.evacuations.revision();
            let sent_after = message.sent_after;
            match message.body {
                Body::Read(zones, revision) => {
                    let source = EvacuationSource::Store;
                    let evacuations = &mut process.evacuations;
                    evacuations.learn(&zones, revision, source, sent_after, now);
                }
                Body::News(news, source) => {
                    let evacuations = &mut process.evacuations;
                    evacuations.learn_news(&news, source, sent_after, now);
                }
            }
            assert!(process.evacuations.revision() >= before, "older state");
        }
    }

    fn check(&mut self, seed: u64) {
        let now = self.now;
        for i in 0..INSTANCES {
            let is_in_contact = self.is_in_contact(i);
            let instance = &mut self.instances[i];
            instance.contact_since = if is_in_contact {
                instance.contact_since.or(Some(now))
            } else {
                None
            };
            let contact = instance.contact_since;
            let contact = contact.map_or(Duration::ZERO, |at| now.duration_since(at));
            let process = &instance.process;
            for zone in ZONES {
                let rules = ZoneRules {
                    evacuations: Some(&process.evacuations),
                    ..ZoneRules::default()
                };
                let may_send = rules.check(zone).is_ok();
                let is_known = process.evacuations.is_known();
                assert!(is_known || !may_send, "seed {seed}: sends unknowing");
                let Some((since, begun_at)) = self.store.evacuated.get(zone) else {
                    continue;
                };
                let time = now.duration_since(*since);
                let must_know = time > BOUND && contact >= CONTACT;
                assert!(!may_send || !must_know, "seed {seed}: {i} late by {time:?}");
                let has_learned = process.evacuations.revision() >= Some(*begun_at);
                assert!(!may_send || !has_learned, "seed {seed}: {i} forgot {zone}");
            }
        }
    }
}

/// Guards against requests to an evacuated zone later than the bound by instances in contact, against any
/// by one that does not know the state, and against an older state that replaces a newer one, whatever is
/// partitioned, killed or late.
#[test]
fn evacuations_are_in_force_in_time_over_random_interleavings() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        let end = simulation.now + RUN;
        while simulation.now < end {
            simulation.now += STEP;
            simulation.disturb();
            for i in 0..INSTANCES {
                simulation.read(i);
                simulation.report(i);
            }
            simulation.deliver();
            simulation.check(seed);
        }
    }
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against a read that arrives late, or an instance that was cut off, ending an evacuation.
#[test]
fn older_state_changes_nothing() {
    let now = Instant::now();
    let source = EvacuationSource::Store;
    let mut evacuations = Evacuations::default();
    evacuations.learn(&zones(&["b"]), 10, source, Some(now), now);
    let later = now + Duration::from_secs(1);
    let changes = evacuations.learn(&zones(&[]), 9, source, Some(later), later);
    assert!(changes.is_empty() && evacuations.is_evacuated("b"));
    assert_eq!(evacuations.age(later), Some(Duration::from_secs(1)));
    // No time without news ends it.
    let rules = ZoneRules {
        evacuations: Some(&evacuations),
        ..ZoneRules::default()
    };
    assert_eq!(rules.check("b"), Err(ZoneRefusal::Evacuated));
    assert_eq!(rules.check("a"), Ok(()));
}

/// Guards against an end that others cannot tell from an evacuation that goes on, or from none.
#[test]
fn end_of_an_evacuation_is_remembered_with_its_revision_and_passed_on() {
    let now = Instant::now();
    let source = EvacuationSource::Store;
    let mut evacuations = Evacuations::default();
    evacuations.learn(&zones(&["a", "b"]), 10, source, Some(now), now);
    assert_eq!(evacuations.ended_at("b"), None);
    let end = now + Duration::from_secs(3);
    let changes = evacuations.learn(&zones(&["a"]), 20, source, Some(end), end);
    assert_eq!(changes.ended, ["b"]);
    let ended = evacuations.ended_at("b").unwrap();
    assert_eq!((ended.learned_at, ended.revision), (end, 20));
    let later = end + Duration::from_secs(2);
    let news = evacuations.news(later).unwrap();
    let mut other = Evacuations::default();
    other.learn_news(&news, EvacuationSource::Holder, Some(later), later);
    assert_eq!(other.ended_at("b"), Some(ended));
    assert_eq!(other.zones().next().map(|(_, e)| e.since), Some(now));
    // A report says when it ended too, though not how fresh its state is.
    let mut holder = Evacuations::default();
    holder.learn_news(&news, EvacuationSource::Instance, None, later);
    assert_eq!(
        (holder.ended_at("b"), holder.age(later)),
        (Some(ended), None)
    );
    other.learn(&zones(&["b"]), 30, source, Some(later), later);
    assert_eq!(other.ended_at("b"), None);
    // What the first instance still sends is older.
    other.learn_news(&news, EvacuationSource::Holder, Some(later), later);
    assert_eq!(other.ended_at("b"), None);
    assert!(other.is_evacuated("b") && !other.is_evacuated("a"));
}

/// Guards against requests that leave one of their home regions.
#[test]
fn all_home_regions_apply() {
    let regions = [("a", "north"), ("b", "south")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let regions = BTreeMap::from(regions);
    let (north, south) = (["north".to_owned()], ["south".to_owned()]);
    let allowed = |homes: [&[String]; 2]| {
        let rules = ZoneRules {
            regions: Some(&regions),
            homes,
            ..ZoneRules::default()
        };
        ["a", "b", "c"].map(|zone| rules.check(zone).is_ok())
    };
    assert_eq!(allowed([&[], &[]]), [true, true, true]);
    assert_eq!(allowed([&north, &[]]), [true, false, false]);
    assert_eq!(allowed([&[], &south]), [false, true, false]);
    assert_eq!(allowed([&north, &south]), [false, false, false]);
}

/// Load: models that are asked for once in 10 s at most, held by two engines in the zone; nothing waits.
/// Guards against requests that find no engine after the evacuation, and against loads beyond the limit
/// of the weight store.
#[test]
fn models_with_demand_are_loaded_elsewhere_before_requests_wait() {
    let names = ["often", "rarely", "never"];
    let models = names.map(|name| model(name, LARGE_MB, 0));
    let mut fleet = Fleet::new(
        &models,
        vec![
            FakeEngine::new("e1", &["rarely", "never"]),
            FakeEngine::new("e2", &["often"]),
            FakeEngine::new("e3", &[]),
            FakeEngine::new("e4", &[]),
        ],
    );
    // Requests in the ten seconds before.
    fleet.arrivals = names.map(|name| (name.to_owned(), 0)).into();
    fleet.run_for(Duration::from_secs(1));
    fleet.arrivals.insert("rarely".to_owned(), 1);
    fleet.arrivals.insert("often".to_owned(), 4);
    fleet.run_for(Duration::from_secs(9));
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
    fleet.planner.set_evacuated(&zones(&["e1", "e2"]));
    fleet.run_for(Duration::from_secs(12));
    let ordered: Vec<_> = fleet
        .sent_orders
        .iter()
        .map(|(_, o)| o.artifact())
        .collect();
    assert_eq!(ordered, [&artifact("often"), &artifact("rarely")]);
    assert!(
        fleet
            .sent_orders
            .iter()
            .all(|(e, _)| e == "e3" || e == "e4")
    );
    let placement = fleet.planner.placement();
    assert!(placement["e1"].is_empty() && placement["e2"].is_empty());
    // The engines are used again when the evacuation ends.
    fleet.planner.set_evacuated(&zones(&[]));
    fleet.step();
    assert_eq!(fleet.planner.placement()["e2"].len(), 1);
}

/// Load: 60 engines in three zones, of which one holds 20 models alone, each asked for at another rate.
/// Guards against loads beyond the limit of the weight store after an evacuation, in another order than
/// that of demand, or of models that nobody asks for.
#[test]
fn whole_zone_is_replaced_in_order_of_demand_within_the_limit_of_the_weight_store() {
    let names: Vec<_> = (0..20).map(|n| format!("m{n:02}")).collect();
    let models: Vec<_> = names.iter().map(|n| model(n, LARGE_MB, 0)).collect();
    let engines = (0..60).map(|n| {
        let held = names.get(n).map(String::as_str);
        FakeEngine::new(&format!("e{n:02}"), held.as_slice())
    });
    let mut fleet = Fleet::new(&models, engines.collect());
    // The models of e18 and e19 are not asked for.
    let evacuated: Vec<_> = (0..20).map(|n| format!("e{n:02}")).collect();
    let asked = &names[..18];
    fleet.arrivals = asked.iter().map(|name| (name.clone(), 0)).collect();
    fleet.run_for(Duration::from_secs(1));
    for (requests, name) in (2..).zip(asked) {
        fleet.arrivals.insert(name.clone(), requests);
    }
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
    fleet
        .planner
        .set_evacuated(&evacuated.into_iter().collect());
    let (mut times, end) = (Vec::new(), fleet.now + Duration::from_secs(30));
    while fleet.now < end {
        fleet.step();
        times.resize(fleet.sent_orders.len(), fleet.now);
    }
    let loaded = fleet.sent_orders.iter().map(|(_, o)| o.artifact().key());
    let by_demand: Vec<_> = asked.iter().rev().cloned().collect();
    assert_eq!(loaded.collect::<Vec<_>>(), by_demand);
    let window = Duration::from_secs(5);
    for from in &times {
        let begun = times
            .iter()
            .filter(|at| from <= at && **at < *from + window);
        let begun = f64::from(u32::try_from(begun.count()).unwrap());
        assert!(begun <= fleet.spec.loads_per_s * window.as_secs_f64());
    }
    for name in asked {
        assert_eq!(fleet.replicas(name), 2, "{name}");
    }
    assert!(fleet.overloads().is_empty());
}

/// Guards against a model that is hardly asked for evicting the only replica of one that is.
#[test]
fn displaced_model_evicts_none_with_more_demand() {
    let models = [model("busy", LARGE_MB, 0), model("rarely", LARGE_MB, 0)];
    let engines = vec![
        FakeEngine::new("e1", &["rarely"]),
        FakeEngine::new("e2", &["busy"]),
    ];
    let mut fleet = Fleet::new(&models, engines);
    fleet.spec.weights_mb = LARGE_MB + 5.0;
    fleet.arrivals = [("busy".to_owned(), 0), ("rarely".to_owned(), 0)].into();
    fleet.run_for(Duration::from_secs(1));
    fleet.arrivals.insert("rarely".to_owned(), 1);
    fleet.arrivals.insert("busy".to_owned(), 8);
    fleet.run_for(Duration::from_secs(9));
    fleet.planner.set_evacuated(&zones(&["e1"]));
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.replicas("busy"), 1, "{:?}", fleet.sent_orders);
    assert!(fleet.sent_orders.is_empty(), "{:?}", fleet.sent_orders);
}
