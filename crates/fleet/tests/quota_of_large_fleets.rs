//! Allowances in fleets where an instance's part of an allowance is less than one request costs: a
//! workspace sends a few requests a second to each of hundreds of instances.

use std::time::{Duration, Instant};

use comfreyweir_fleet::{
    config::{Allowance, Unit},
    intake::Urgency,
    quota::{Claim, GrantAllocator, InstanceQuotas},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const INSTANCES: usize = 295;
const STEP: Duration = Duration::from_millis(10);
/// Number of steps between two reports of an instance.
const STEPS_PER_REPORT: usize = 59;
const RATE_PER_S: f64 = 100_000.0;
const COST: u64 = 10_000;

fn allowance() -> Allowance {
    Allowance {
        per_s: RATE_PER_S,
        burst: RATE_PER_S,
        unit: Unit::Tokens { plain: 200 },
    }
}

/// A request that waits for the answer to one call only.
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
    rng: StdRng,
    now: Instant,
    steps: usize,
    instances: Vec<InstanceQuotas>,
    allocator: GrantAllocator,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            steps: 0,
            instances: (0..INSTANCES).map(|_| InstanceQuotas::default()).collect(),
            allocator: GrantAllocator::begin(1, [], Instant::now()),
        }
    }

    /// Lets the instances report whose turn it is.
    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let steps = self.steps;
        for i in (0..INSTANCES).filter(|i| (steps + i).is_multiple_of(STEPS_PER_REPORT)) {
            let totals = self.instances[i].totals(self.now);
            let known = |_: &str| Some(allowance());
            let process = format!("p{i}");
            self.allocator
                .record_usage(&process, &totals, known, self.now);
            self.apply_grant(i);
        }
    }

    fn apply_grant(&mut self, i: usize) {
        let process = format!("p{i}");
        let grant = self.allocator.grant(&process, "w", allowance(), self.now);
        self.instances[i].apply_grant("w", grant.unwrap(), self.now, self.now);
    }

    /// Sends a request, which asks for a larger grant as long as that may help. Returns whether it is
    /// admitted.
    fn request(&mut self, i: usize, cost: u64) -> bool {
        let take =
            |quotas: &mut InstanceQuotas, now| quotas.take("w", allowance(), cost, INSTANCES, now);
        let taken = take(&mut self.instances[i], self.now);
        self.instances[i].record_demand("w", cost);
        if taken.is_err_and(|over| over.may_grant_more) {
            let claim = claim(cost, self.now);
            let quotas = &mut self.instances[i];
            let ticket = quotas.begin_wait("w", allowance(), claim, INSTANCES, self.now);
            let totals = self.instances[i].awaited_totals(self.now);
            let known = |_: &str| Some(allowance());
            let process = format!("p{i}");
            let allocator = &mut self.allocator;
            assert!(allocator.record_partial_usage(&process, &totals, known, self.now));
            let grant = allocator.grant_more(&process, "w", allowance(), self.now);
            self.instances[i].apply_grant("w", grant.unwrap(), self.now, self.now);
            let outcome = self.instances[i].outcome("w", ticket);
            self.instances[i].leave("w", ticket, self.now);
            return outcome == Some(Ok(()));
        }
        taken.is_ok()
    }

    /// Sends requests of `cost` to random instances for `time`, `factor` times the rate. Returns the
    /// units that were asked for and admitted.
    fn send_for(&mut self, time: Duration, factor: f64, cost: u64) -> (f64, f64) {
        let until = self.now + time;
        #[allow(clippy::cast_precision_loss)]
        let units = cost as f64;
        let (mut owed, mut asked, mut admitted) = (0.0, 0.0, 0.0);
        while self.now < until {
            self.step();
            owed += RATE_PER_S * factor * STEP.as_secs_f64();
            while owed >= units {
                owed -= units;
                asked += units;
                let i = self.rng.random_range(0..INSTANCES);
                if self.request(i, cost) {
                    admitted += units;
                }
            }
        }
        (asked, admitted)
    }
}

/// Guards against an allowance that lies at instances in parts that are too small for any request.
#[test]
fn workspace_gets_its_rate_though_its_requests_exceed_the_part_of_an_instance() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        fleet.send_for(Duration::from_secs(6), 0.9, COST);
        let time = Duration::from_secs(20);
        let (_, admitted) = fleet.send_for(time, 3.0, COST);
        let due = RATE_PER_S * time.as_secs_f64();
        assert!(admitted >= due * 0.9, "seed {seed}: {admitted} of {due}");
    }
}

/// Guards against refusals of a workspace that stays inside its allowance.
#[test]
fn workspace_inside_its_allowance_is_not_refused() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        fleet.send_for(Duration::from_secs(6), 0.3, COST);
        let (asked, admitted) = fleet.send_for(Duration::from_secs(20), 0.8, COST);
        assert!(
            admitted >= asked * 0.98,
            "seed {seed}: {admitted} of {asked}"
        );
    }
}

/// Guards against an instance that asks again and again for what the holder says it can spare and does
/// not grant: several small requests wait where less is left than an average request costs.
#[test]
fn holder_does_not_offer_what_it_does_not_grant() {
    let mut fleet = Fleet::new(1);
    fleet.send_for(Duration::from_secs(6), 3.0, COST);
    let (i, small) = (3, COST / 5);
    for _ in 0..200 {
        fleet.step();
        let now = fleet.now;
        let claim = claim(small, now);
        let join = |quotas: &mut InstanceQuotas| {
            quotas.begin_wait("w", allowance(), claim, INSTANCES, now)
        };
        let tickets: Vec<_> = (0..3).map(|_| join(&mut fleet.instances[i])).collect();
        let mut asked = 0;
        while let Some(at) = fleet.instances[i].next_ask()
            && at <= now
        {
            asked += 1;
            assert!(asked <= 4, "requests still ask");
            let totals = fleet.instances[i].awaited_totals(now);
            let known = |_: &str| Some(allowance());
            let process = format!("p{i}");
            let allocator = &mut fleet.allocator;
            assert!(allocator.record_partial_usage(&process, &totals, known, now));
            let grant = allocator.grant_more(&process, "w", allowance(), now);
            fleet.instances[i].apply_grant("w", grant.unwrap(), now, now);
        }
        for ticket in tickets {
            let quotas = &mut fleet.instances[i];
            if quotas.outcome("w", ticket).is_none() {
                quotas.leave("w", ticket, now);
            }
        }
    }
}
