//! Allowances of workspaces, enforced over all instances together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Allowance, Unit},
    intake::Urgency,
    quota::{Claim, GRANT_TTL, Grant, GrantAllocator, InstanceQuotas, UsageTotals},
};

const RATE_PER_S: f64 = 10_000.0;
const BURST: f64 = 20_000.0;
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(10);

fn allowance() -> Allowance {
    Allowance {
        per_s: RATE_PER_S,
        burst: BURST,
        unit: Unit::Tokens { plain: 200 },
    }
}

/// A request that waits for the answer to one exchange only.
fn claim(cost: u64, now: Instant) -> Claim {
    let until = now + STEP / 2;
    Claim {
        cost,
        urgency: Urgency {
            rank: 0,
            goal: until,
            gives_up: until,
        },
    }
}

struct Fleet {
    instances: Vec<InstanceQuotas>,
    allocator: GrantAllocator,
    fence: u64,
    now: Instant,
    exchange_interval: Duration,
    admitted: f64,
    /// Exchanges that refused requests caused, beside the periodic ones.
    extra_exchanges: usize,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        Self {
            instances: (0..instances).map(|_| InstanceQuotas::default()).collect(),
            allocator: GrantAllocator::default(),
            fence: 0,
            now: Instant::now(),
            exchange_interval: EXCHANGE_INTERVAL,
            admitted: 0.0,
            extra_exchanges: 0,
        }
    }

    /// Begins the tenure of a new holder, with the next fencing token, that knows of no instance.
    fn replace_holder(&mut self) {
        self.fence += 1;
        self.allocator = GrantAllocator::begin(self.fence, [], self.now);
    }

    fn exchange(&mut self, instance: usize) {
        let totals = self.instances[instance].totals(self.now);
        let known = |name: &str| (name == "w").then(allowance);
        self.allocator
            .record_usage(&format!("p{instance}"), &totals, known, self.now);
        let process = format!("p{instance}");
        let grant = self.allocator.grant(&process, "w", allowance(), self.now);
        if let Some(grant) = grant {
            self.instances[instance].apply_grant("w", grant, self.now, self.now);
        }
    }

    /// Sends a request to an instance. If it is refused and the holder may grant more, the instance
    /// exchanges with the holder once and tries again. Returns whether the request was admitted.
    fn send_request(&mut self, instance: usize, cost: u64, is_reachable: bool) -> bool {
        let count = self.instances.len();
        let taken = self.instances[instance].take("w", allowance(), cost, count, self.now);
        self.instances[instance].record_demand("w", cost);
        let Err(refusal) = taken else { return true };
        if !refusal.may_grant_more || !is_reachable {
            return false;
        }
        self.extra_exchanges += 1;
        let quotas = &mut self.instances[instance];
        let claim = claim(cost, self.now);
        let ticket = quotas.begin_wait("w", allowance(), claim, count, self.now);
        self.exchange(instance);
        let quotas = &mut self.instances[instance];
        let outcome = quotas.outcome("w", ticket);
        quotas.leave("w", ticket, self.now);
        outcome == Some(Ok(()))
    }

    /// Sends a request of `cost` to every instance at each `STEP` for `time`. Reachable instances
    /// also exchange with the holder periodically. With a cost of 0 the requests use no tokens, and
    /// only the exchanges matter.
    fn send_for(&mut self, cost: u64, time: Duration, reachable: impl Fn(usize) -> bool) {
        let count = self.instances.len();
        let until = self.now + time;
        let mut next_exchange = self.now;
        while self.now < until {
            if self.now >= next_exchange {
                (0..count)
                    .filter(|i| reachable(*i))
                    .for_each(|i| self.exchange(i));
                next_exchange += self.exchange_interval;
            }
            for i in 0..count {
                if self.send_request(i, cost, reachable(i)) {
                    #[allow(clippy::cast_precision_loss)]
                    let cost = cost as f64;
                    self.admitted += cost;
                }
            }
            self.now += STEP;
        }
    }
}

/// One workspace sends many times its rate through all instances.
#[test]
fn workspace_far_beyond_its_rate_gets_its_rate_and_burst() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(500, Duration::from_secs(1), |_| true);
    fleet.admitted = 0.0;
    fleet.send_for(500, Duration::from_secs(20), |_| true);
    let allowed = RATE_PER_S * 20.0;
    // What all instances admit between two exchanges is deducted from later grants, so it counts
    // only once.
    let overshoot = 6.0 * 500.0 * EXCHANGE_INTERVAL.as_secs_f64() / STEP.as_secs_f64();
    assert!(
        fleet.admitted <= allowed + overshoot,
        "{} of {allowed}",
        fleet.admitted
    );
    assert!(
        fleet.admitted >= allowed * 0.9,
        "{} of {allowed}",
        fleet.admitted
    );
}

/// No instance can reach the holder; together they must stay inside the allowance.
#[test]
fn cut_off_instances_share_the_allowance_equally() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(500, Duration::from_secs(1), |_| true);
    fleet.send_for(500, GRANT_TTL, |_| false);
    fleet.admitted = 0.0;
    fleet.send_for(500, Duration::from_secs(8), |_| false);
    assert!(
        fleet.admitted <= RATE_PER_S * 8.0 + BURST,
        "{}",
        fleet.admitted
    );
    assert!(
        fleet.admitted >= RATE_PER_S * 8.0 * 0.8,
        "{}",
        fleet.admitted
    );
}

/// A request larger than the grant of its instance is admitted after one more exchange.
#[test]
fn instance_that_gets_most_of_the_requests_is_not_limited_to_its_share() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(1, Duration::from_secs(4), |_| true);
    fleet.exchange(0);
    assert!(fleet.send_request(0, 15_000, true));
}

/// A workspace that was idle suddenly sends many times its rate through a large fleet.
#[test]
fn sudden_load_through_many_instances_stays_inside_the_allowance() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    fleet.exchange_interval = Duration::from_millis(335);
    fleet.admitted = 0.0;
    fleet.send_for(500, Duration::from_secs(8), |_| true);
    let allowed = RATE_PER_S * 8.0 + BURST;
    assert!(fleet.admitted <= allowed, "{} of {allowed}", fleet.admitted);
    assert!(
        fleet.admitted >= allowed * 0.85,
        "{} of {allowed}",
        fleet.admitted
    );
}

/// A workspace stays well inside its rate, and each of its requests reaches a different instance of
/// a large fleet.
#[test]
fn requests_inside_the_rate_are_admitted_wherever_they_arrive() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    let (cost, interval) = (4_000, Duration::from_millis(800));
    for sent in 0..200 {
        let instance = sent * 29 % count;
        fleet.send_for(0, interval, |_| true);
        assert!(
            fleet.send_request(instance, cost, true),
            "request {sent} at instance {instance}"
        );
    }
}

/// A workspace far beyond its rate must not make every instance call the holder for each request:
/// an instance makes at most one extra exchange without a grant per exchange interval.
#[test]
fn extra_exchanges_without_a_grant_are_limited() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(500, Duration::from_secs(2), |_| true);
    (fleet.extra_exchanges, fleet.admitted) = (0, 0.0);
    fleet.send_for(500, Duration::from_secs(10), |_| true);
    #[allow(clippy::cast_precision_loss)]
    let extra_exchanges = fleet.extra_exchanges as f64;
    let exchanges = 6.0 * 10.0 / EXCHANGE_INTERVAL.as_secs_f64();
    let bound = fleet.admitted / 500.0 + exchanges;
    assert!(extra_exchanges <= bound, "{extra_exchanges} of {bound}");
}

/// A workspace sends twice its rate through a large fleet, in requests that are large compared with
/// its rate, so that all instances refuse some. Refused requests must not reduce what other
/// instances may admit.
#[test]
fn refused_requests_do_not_reduce_what_is_admitted() {
    let count: usize = 60;
    let mut fleet = Fleet::new(count);
    fleet.exchange_interval = Duration::from_millis(300);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    let (cost, seconds) = (8_000, 20);
    // Twice the rate, each request at a different instance.
    let interval = Duration::from_millis(400);
    for sent in 0..seconds * 5 / 2 {
        let instance = sent * 29 % count;
        fleet.send_for(0, interval, |_| true);
        if fleet.send_request(instance, cost, true) {
            fleet.admitted += 8_000.0;
        }
    }
    let allowed = RATE_PER_S * 20.0;
    assert!(
        fleet.admitted >= allowed * 0.9,
        "{} of {allowed}",
        fleet.admitted
    );
}

/// What was granted to an instance that stopped reporting is not granted to others while it may
/// still admit requests against it.
#[test]
fn grant_of_a_silent_instance_stays_charged_until_it_expires() {
    let mut fleet = Fleet::new(2);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    fleet.exchange(0);
    assert!(fleet.send_request(0, 15_000, true));
    fleet.exchange(1);
    let grant = |fleet: &mut Fleet| {
        fleet
            .allocator
            .grant("p1", "w", allowance(), fleet.now)
            .unwrap()
            .level
    };
    assert!(grant(&mut fleet) <= 5_000.0);
}

/// Quotas of an instance that was granted the whole burst and the whole share of the rate.
fn quotas_with_whole_burst(now: Instant) -> InstanceQuotas {
    let grant = Grant {
        level: BURST,
        share: 1.0,
        ..Grant::default()
    };
    let mut quotas = InstanceQuotas::default();
    quotas.apply_grant("w", grant, now, now);
    quotas
}

#[test]
fn refusal_says_when_to_retry() {
    let now = Instant::now();
    let mut quotas = quotas_with_whole_burst(now);
    quotas.take("w", allowance(), 20_000, 1, now).unwrap();
    let refusal = quotas.take("w", allowance(), 5_000, 1, now).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
    let later = now + refusal.retry_after;
    assert!(quotas.take("w", allowance(), 5_000, 1, later).is_ok());
}

/// Guards against callers that come back while the instance still refuses them by what the holder said.
#[test]
fn refused_caller_does_not_come_back_before_the_holder_is_asked_again() {
    let now = Instant::now();
    let grant = Grant {
        bucket_level: BURST,
        spare: 4_999.0,
        ..Grant::default()
    };
    let mut quotas = InstanceQuotas::default();
    quotas.apply_grant("w", grant, now, now);
    let refusal = quotas.take("w", allowance(), 5_000, 1, now).unwrap_err();
    assert!(refusal.is_exhausted);
    let later = now + refusal.retry_after;
    let refusal = quotas.take("w", allowance(), 5_000, 1, later).unwrap_err();
    assert!(refusal.may_grant_more);
}

#[test]
fn what_did_not_run_is_given_back() {
    let now = Instant::now();
    let mut quotas = quotas_with_whole_burst(now);
    quotas.take("w", allowance(), 20_000, 1, now).unwrap();
    quotas.give_back("w", 20_000);
    assert!(quotas.take("w", allowance(), 20_000, 1, now).is_ok());
}

#[test]
fn usage_before_a_new_holder_is_not_charged_again() {
    let mut allocator = GrantAllocator::default();
    let now = Instant::now();
    let totals = UsageTotals {
        spent: 1e9,
        asked: 1e9,
        requests: 1e6,
        ..UsageTotals::default()
    };
    let totals = HashMap::from([("w".to_owned(), totals)]);
    allocator.record_usage("p", &totals, |_| Some(allowance()), now);
    let grant = allocator.grant("p", "w", allowance(), now).unwrap();
    assert!(grant.level > 0.0);
}

/// A workspace sends far beyond its rate while the holder changes again and again.
#[test]
fn new_holders_grant_nothing_anew() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(500, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    for _ in 0..8 {
        fleet.replace_holder();
        fleet.send_for(500, Duration::from_secs(1), |_| true);
    }
    // At the first exchange, a new holder may grant tokens that another instance already holds from
    // an earlier grant.
    let allowed = RATE_PER_S * 8.0 * 1.1;
    assert!(fleet.admitted <= allowed, "{} of {allowed}", fleet.admitted);
    assert!(
        fleet.admitted >= RATE_PER_S * 8.0 * 0.9,
        "{}",
        fleet.admitted
    );
}

#[test]
fn new_holder_takes_over_a_full_bucket() {
    let mut fleet = Fleet::new(6);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    fleet.replace_holder();
    // The first exchange computes shares from the instances that have reported so far.
    fleet.send_for(0, 3 * EXCHANGE_INTERVAL, |_| true);
    assert!(fleet.send_request(0, 15_000, true));
}

/// A workspace sends far beyond its rate while all instances are killed and restarted.
#[test]
fn restart_of_all_instances_grants_no_new_burst() {
    let count: usize = 67;
    let mut fleet = Fleet::new(count);
    fleet.send_for(0, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    fleet.send_for(500, Duration::from_secs(4), |_| true);
    fleet.instances = (0..count).map(|_| InstanceQuotas::default()).collect();
    fleet.replace_holder();
    fleet.send_for(500, Duration::from_secs(1), |_| false);
    fleet.send_for(500, Duration::from_secs(3), |_| true);
    let allowed = (RATE_PER_S * 8.0 + BURST) * 1.1;
    assert!(fleet.admitted <= allowed, "{} of {allowed}", fleet.admitted);
}

/// A workspace sends far beyond its rate while a third of the instances cannot reach the holder.
#[test]
fn instances_on_both_sides_of_a_partition_stay_inside_the_allowance_together() {
    let mut fleet = Fleet::new(60);
    fleet.send_for(500, Duration::from_secs(4), |_| true);
    fleet.admitted = 0.0;
    fleet.send_for(500, Duration::from_secs(8), |instance| instance >= 20);
    let allowed = (RATE_PER_S * 8.0 + BURST) * 1.1;
    assert!(fleet.admitted <= allowed, "{} of {allowed}", fleet.admitted);
    assert!(
        fleet.admitted >= RATE_PER_S * 8.0 * 0.8,
        "{}",
        fleet.admitted
    );
}
