//! Allowances of workspaces over all instances.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Allowance, Unit},
    quota::{GRANT_TTL, Grant, GrantAllocator, InstanceQuotas, UsageTotals},
};

const PER_S: f64 = 10_000.0;
const BURST: f64 = 20_000.0;
const EXCHANGE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(10);

fn allowance() -> Allowance {
    Allowance {
        per_s: PER_S,
        burst: BURST,
        unit: Unit::Tokens { plain: 200 },
    }
}

struct Fleet {
    instances: Vec<InstanceQuotas>,
    levels: GrantAllocator,
    now: Instant,
    exchange_time: Duration,
    admitted: f64,
    /// Exchanges beside those of the period.
    asks: usize,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        Self {
            instances: (0..instances).map(|_| InstanceQuotas::default()).collect(),
            levels: GrantAllocator::default(),
            now: Instant::now(),
            exchange_time: EXCHANGE,
            admitted: 0.0,
            asks: 0,
        }
    }

    fn exchange(&mut self, at: usize) {
        let totals = self.instances[at].totals(self.now);
        let known = |name: &str| (name == "w").then(allowance);
        self.levels
            .note(&format!("p{at}"), &totals, known, self.now);
        let process = format!("p{at}");
        let grant = self.levels.grant(&process, "w", allowance(), self.now);
        self.instances[at].apply_grant("w", grant, self.now);
    }

    /// Sends a request to an instance, which asks the holder for more once if that may help.
    fn ask(&mut self, at: usize, cost: u64, is_reachable: bool) -> bool {
        let count = self.instances.len();
        let taken = self.instances[at].take("w", allowance(), cost, count, self.now);
        self.instances[at].note_asked("w", cost);
        let Err(over) = taken else { return true };
        if !over.can_ask || !is_reachable {
            return false;
        }
        self.asks += 1;
        self.instances[at].begin_wait("w", cost);
        self.exchange(at);
        self.instances[at].end_wait("w", cost);
        let again = self.instances[at].take("w", allowance(), cost, count, self.now);
        again.is_ok()
    }

    /// Sends requests of `cost` to one instance after the other for `time`.
    fn press(&mut self, cost: u64, time: Duration, reachable: impl Fn(usize) -> bool) {
        let count = self.instances.len();
        let until = self.now + time;
        let mut next_exchange = self.now;
        while self.now < until {
            if self.now >= next_exchange {
                (0..count)
                    .filter(|i| reachable(*i))
                    .for_each(|i| self.exchange(i));
                next_exchange += self.exchange_time;
            }
            for i in 0..count {
                if self.ask(i, cost, reachable(i)) {
                    #[allow(clippy::cast_precision_loss)]
                    let cost = cost as f64;
                    self.admitted += cost;
                }
            }
            self.now += STEP;
        }
    }
}

/// Pattern: one workspace sends many times its rate through all instances.
#[test]
fn workspace_far_beyond_its_rate_gets_its_rate_and_burst() {
    let mut fleet = Fleet::new(6);
    fleet.press(500, Duration::from_secs(1), |_| true);
    fleet.admitted = 0.0;
    fleet.press(500, Duration::from_secs(20), |_| true);
    let due = PER_S * 20.0;
    // What all instances admit between two exchanges is repaid, so that it counts once.
    let overshoot = 6.0 * 500.0 * EXCHANGE.as_secs_f64() / STEP.as_secs_f64();
    assert!(
        fleet.admitted <= due + overshoot,
        "{} of {due}",
        fleet.admitted
    );
    assert!(fleet.admitted >= due * 0.9, "{} of {due}", fleet.admitted);
}

/// Pattern: the holder is unreachable for all; together they stay inside the allowance.
#[test]
fn cut_off_instances_share_the_allowance_equally() {
    let mut fleet = Fleet::new(6);
    fleet.press(500, Duration::from_secs(1), |_| true);
    fleet.press(500, GRANT_TTL, |_| false);
    fleet.admitted = 0.0;
    fleet.press(500, Duration::from_secs(8), |_| false);
    assert!(fleet.admitted <= PER_S * 8.0 + BURST, "{}", fleet.admitted);
    assert!(fleet.admitted >= PER_S * 8.0 * 0.8, "{}", fleet.admitted);
}

/// A request that is larger than what its instance was granted is granted by one more exchange.
#[test]
fn instance_that_gets_most_of_the_requests_is_not_bound_by_its_part() {
    let mut fleet = Fleet::new(6);
    fleet.press(1, Duration::from_secs(4), |_| true);
    fleet.exchange(0);
    assert!(fleet.ask(0, 15_000, true));
}

/// Pattern: a workspace that was idle sends many times its rate through a large fleet at once.
#[test]
fn sudden_load_through_many_instances_stays_inside_the_allowance() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.press(0, Duration::from_secs(4), |_| true);
    fleet.exchange_time = Duration::from_millis(335);
    fleet.admitted = 0.0;
    fleet.press(500, Duration::from_secs(8), |_| true);
    let due = PER_S * 8.0 + BURST;
    assert!(fleet.admitted <= due, "{} of {due}", fleet.admitted);
    assert!(fleet.admitted >= due * 0.85, "{} of {due}", fleet.admitted);
}

/// Pattern: a workspace well inside its rate, each of whose requests reaches another instance of a
/// large fleet.
#[test]
fn requests_inside_the_rate_are_admitted_wherever_they_arrive() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.press(0, Duration::from_secs(4), |_| true);
    let (cost, every) = (4_000, Duration::from_millis(800));
    for sent in 0..200 {
        let at = sent * 29 % count;
        fleet.press(0, every, |_| true);
        assert!(fleet.ask(at, cost, true), "request {sent} at instance {at}");
    }
}

/// Pattern: a workspace far beyond its rate must not make all instances ask with each request.
/// Each asks in vain once an exchange at most.
#[test]
fn instances_ask_as_often_as_there_is_something_to_grant() {
    let mut fleet = Fleet::new(6);
    fleet.press(500, Duration::from_secs(2), |_| true);
    (fleet.asks, fleet.admitted) = (0, 0.0);
    fleet.press(500, Duration::from_secs(10), |_| true);
    #[allow(clippy::cast_precision_loss)]
    let asks = fleet.asks as f64;
    let exchanges = 6.0 * 10.0 / EXCHANGE.as_secs_f64();
    let bound = fleet.admitted / 500.0 + exchanges;
    assert!(asks <= bound, "{asks} of {bound}");
}

/// Pattern: a small workspace at its rate in a large fleet, whose requests are large against what
/// it may take, beside refusals everywhere.
#[test]
fn what_was_refused_keeps_nothing_from_others() {
    let count: usize = 60;
    let mut fleet = Fleet::new(count);
    fleet.exchange_time = Duration::from_millis(300);
    fleet.press(0, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    let (cost, seconds) = (8_000, 20);
    // Twice the rate, each request at another instance.
    let every = Duration::from_millis(400);
    for sent in 0..seconds * 5 / 2 {
        let at = sent * 29 % count;
        fleet.press(0, every, |_| true);
        if fleet.ask(at, cost, true) {
            fleet.admitted += 8_000.0;
        }
    }
    let due = PER_S * 20.0;
    assert!(fleet.admitted >= due * 0.9, "{} of {due}", fleet.admitted);
}

/// What a process took that stopped reporting is not granted to others while it may admit.
#[test]
fn grant_of_a_silent_instance_stays_charged_until_it_lapses() {
    let mut fleet = Fleet::new(2);
    fleet.press(0, Duration::from_secs(4), |_| true);
    fleet.exchange(0);
    assert!(fleet.ask(0, 15_000, true));
    fleet.exchange(1);
    let grant = |fleet: &mut Fleet| fleet.levels.grant("p1", "w", allowance(), fleet.now).level;
    assert!(grant(&mut fleet) <= 5_000.0);
}

/// An instance that was granted a whole burst, which fills again for nobody else.
fn granted(now: Instant) -> InstanceQuotas {
    let grant = Grant {
        level: BURST,
        share: 1.0,
        ..Grant::default()
    };
    let mut quotas = InstanceQuotas::default();
    quotas.apply_grant("w", grant, now);
    quotas
}

#[test]
fn refusal_tells_when_to_come_back() {
    let now = Instant::now();
    let mut quotas = granted(now);
    quotas.take("w", allowance(), 20_000, 1, now).unwrap();
    let over = quotas.take("w", allowance(), 5_000, 1, now).unwrap_err();
    assert_eq!(over.retry_after, Duration::from_millis(500));
    let later = now + over.retry_after;
    assert!(quotas.take("w", allowance(), 5_000, 1, later).is_ok());
}

#[test]
fn what_did_not_run_is_given_back() {
    let now = Instant::now();
    let mut quotas = granted(now);
    quotas.take("w", allowance(), 20_000, 1, now).unwrap();
    quotas.give_back("w", 20_000);
    assert!(quotas.take("w", allowance(), 20_000, 1, now).is_ok());
}

#[test]
fn usage_before_a_new_holder_is_not_charged_again() {
    let mut levels = GrantAllocator::default();
    let now = Instant::now();
    let totals = UsageTotals {
        spent: 1e9,
        asked: 1e9,
        awaited: 0.0,
        last_grant: None,
    };
    let totals = HashMap::from([("w".to_owned(), totals)]);
    levels.note("p", &totals, |_| Some(allowance()), now);
    assert!(levels.grant("p", "w", allowance(), now).level > 0.0);
}

/// Pattern: a workspace far beyond its rate while the planning duty changes hands again and again.
#[test]
fn new_holders_grant_nothing_anew() {
    let mut fleet = Fleet::new(6);
    fleet.press(500, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    for _ in 0..8 {
        fleet.levels = GrantAllocator::default();
        fleet.press(500, Duration::from_secs(1), |_| true);
    }
    // What is granted at the first exchange with each holder may still be outstanding elsewhere.
    let due = PER_S * 8.0 * 1.1;
    assert!(fleet.admitted <= due, "{} of {due}", fleet.admitted);
    assert!(fleet.admitted >= PER_S * 8.0 * 0.9, "{}", fleet.admitted);
}

#[test]
fn new_holder_takes_over_a_full_bucket() {
    let mut fleet = Fleet::new(6);
    fleet.press(0, Duration::from_secs(4), |_| true);
    fleet.levels = GrantAllocator::default();
    // The shares of the first exchange rest on those that have reported so far.
    fleet.press(0, 3 * EXCHANGE, |_| true);
    assert!(fleet.ask(0, 15_000, true));
}

/// Pattern: a workspace far beyond its rate while all instances are killed and start again.
#[test]
fn restart_of_all_instances_grants_nothing_anew() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.press(0, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    fleet.press(500, Duration::from_secs(4), |_| true);
    fleet.instances = (0..count).map(|_| InstanceQuotas::default()).collect();
    fleet.levels = GrantAllocator::default();
    fleet.press(500, Duration::from_secs(1), |_| false);
    fleet.press(500, Duration::from_secs(3), |_| true);
    let due = (PER_S * 8.0 + BURST) * 1.1;
    assert!(fleet.admitted <= due, "{} of {due}", fleet.admitted);
}

/// Pattern: a workspace far beyond its rate while a third of the instances is cut off.
#[test]
fn instances_on_both_sides_of_a_cut_stay_inside_the_allowance_together() {
    let mut fleet = Fleet::new(60);
    fleet.press(500, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    fleet.press(500, Duration::from_secs(8), |at| at >= 20);
    let due = (PER_S * 8.0 + BURST) * 1.1;
    assert!(fleet.admitted <= due, "{} of {due}", fleet.admitted);
    assert!(fleet.admitted >= PER_S * 8.0 * 0.8, "{}", fleet.admitted);
}
