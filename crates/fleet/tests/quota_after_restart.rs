//! Allowances right after all instances were started anew: load goes on, and nothing has been granted
//! yet.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Allowance, Unit},
    intake::Urgency,
    quota::{Claim, GRANT_TTL, GrantAllocator, InstanceQuotas},
};

const INSTANCES: usize = 60;
const WORKSPACE: &str = "w";
const STEP: Duration = Duration::from_millis(10);
/// Time until the first instance has taken the planning duty.
const ELECTION: Duration = Duration::from_millis(800);
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Units of a request.
const COST: u64 = 9_000;
/// Time for which a request may wait.
const MAX_WAIT: Duration = Duration::from_secs(6);

fn allowance() -> Allowance {
    Allowance {
        per_s: 90_000.0,
        burst: 1_200_000.0,
        unit: Unit::Requests,
    }
}

fn claim(now: Instant) -> Claim {
    Claim {
        cost: COST,
        urgency: Urgency {
            rank: 1,
            goal: now + MAX_WAIT,
            gives_up: now + MAX_WAIT,
        },
    }
}

struct Waiting {
    instance: usize,
    ticket: u64,
}

/// Requests of four fifths of the allowance arrive from the start on, each at another instance. The
/// holder, if there is one, grants from [`ELECTION`] on; instances report to it in turn.
struct Restart {
    start: Instant,
    instances: Vec<InstanceQuotas>,
    holder: Option<GrantAllocator>,
    waiting: Vec<Waiting>,
    served: usize,
    refused: Vec<Duration>,
}

impl Restart {
    fn new() -> Self {
        let start = Instant::now();
        // An empty request at each, so that all count the time without a holder from the start.
        let instances = (0..INSTANCES).map(|_| {
            let mut quotas = InstanceQuotas::default();
            let taken = quotas.take(WORKSPACE, allowance(), 0, INSTANCES, start);
            assert!(taken.is_ok(), "{taken:?}");
            quotas
        });
        Self {
            start,
            instances: instances.collect(),
            holder: None,
            waiting: Vec::new(),
            served: 0,
            refused: Vec::new(),
        }
    }

    fn play(&mut self, has_holder: bool, steps: u32) {
        let arrival_period = 12;
        for n in 0..steps {
            let now = self.start + STEP * n;
            if n % arrival_period == 0 {
                self.request(
                    usize::try_from(n / arrival_period).unwrap() % INSTANCES,
                    now,
                );
            }
            if has_holder && now >= self.start + ELECTION {
                self.exchange(n, now);
            }
            for quotas in &mut self.instances {
                quotas.settle(now);
            }
            self.collect_outcomes(now);
        }
    }

    fn request(&mut self, instance: usize, now: Instant) {
        let quotas = &mut self.instances[instance];
        let asked = quotas.request(WORKSPACE, allowance(), claim(now), INSTANCES, now);
        quotas.record_demand(WORKSPACE, COST);
        match asked {
            Ok(None) => self.served += 1,
            Ok(Some(ticket)) => self.waiting.push(Waiting { instance, ticket }),
            Err(_) => self.refused.push(now - self.start),
        }
    }

    fn exchange(&mut self, step: u32, now: Instant) {
        let holder = self.holder.get_or_insert_with(|| {
            let silent = (0..INSTANCES).map(|i| (format!("i{i}"), Duration::ZERO));
            GrantAllocator::begin(7, silent, now)
        });
        let steps_per_report = u32::try_from(REPORT_PERIOD.as_millis() / STEP.as_millis()).unwrap();
        for (i, quotas) in self.instances.iter_mut().enumerate() {
            let is_due = u32::try_from(i).unwrap() % steps_per_report == step % steps_per_report;
            let asks = quotas.next_ask().is_some_and(|at| at <= now);
            if !is_due && !asks {
                continue;
            }
            let process = format!("i{i}/1");
            let known = |_: &str| Some(allowance());
            if is_due {
                let mut totals: HashMap<_, _> = quotas.totals(now);
                totals.entry(WORKSPACE.to_owned()).or_default();
                holder.record_usage(&process, &totals, known, now);
            } else if !holder.record_partial_usage(
                &process,
                &quotas.awaited_totals(now),
                known,
                now,
            ) {
                continue;
            }
            if let Some(grant) = holder.grant_more(&process, WORKSPACE, allowance(), now) {
                quotas.apply_grant(WORKSPACE, grant, now, now);
            }
        }
    }

    fn collect_outcomes(&mut self, now: Instant) {
        let (instances, start) = (&mut self.instances, self.start);
        let (mut served, mut refused) = (0, Vec::new());
        self.waiting.retain(|waiting| {
            let quotas = &mut instances[waiting.instance];
            match quotas.outcome(WORKSPACE, waiting.ticket) {
                None => return true,
                Some(Ok(())) => served += 1,
                Some(Err(_)) => refused.push(now - start),
            }
            false
        });
        self.served += served;
        self.refused.extend(refused);
    }
}

/// Guards against refusing all requests of workspaces with an allowance until the new holder has made its
/// first grants, though they may wait for seconds and the allowance covers them.
#[test]
fn requests_wait_for_the_first_grants_after_a_restart_of_all_instances() {
    let mut restart = Restart::new();
    restart.play(true, 800);
    assert!(
        restart.refused.is_empty(),
        "refused at {:?}",
        restart.refused
    );
    // All but those that may still wait at the end.
    assert!(restart.served >= 60, "{} served", restart.served);
}

/// Guards against holding requests for their whole time where no holder can be expected any more: callers
/// may reach another instance.
#[test]
fn requests_are_refused_at_once_where_no_grant_is_expected() {
    let mut restart = Restart::new();
    restart.play(false, 800);
    let election_and_grants = Duration::from_secs(2) + GRANT_TTL;
    let early = restart
        .refused
        .iter()
        .filter(|at| **at < election_and_grants);
    assert_eq!(early.count(), 0, "{:?}", restart.refused);
    assert!(restart.waiting.is_empty(), "{} wait", restart.waiting.len());
    assert!(!restart.refused.is_empty());
}
