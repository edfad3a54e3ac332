//! Simulates the waiting times of small workspaces that share an engine with an overloading large
//! one, for each kind of queue, and prints a table.
//!
//! An engine with eight slots serves five workspaces. The large one sends three times the engine's
//! capacity; the small ones send a twentieth of it each. Costs are in tokens, and a request
//! occupies a slot for its cost times the time per token.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::{cmp::Reverse, collections::BinaryHeap};

use comfreyweir_routing::fair::{
    ClassId, DeficitRoundRobin, FairQueue, Fifo, NestedDeficitRoundRobin, QueuedRequest,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEED: u64 = 7;
const SLOTS: usize = 8;
const TOKEN_TIME_US: u64 = 10_000;
const SIMULATED_US: u64 = 1_800_000_000;
/// Maximum number of waiting requests of the large workspace, because a gate limits its queues too.
/// Further arrivals are dropped.
const MAX_LARGE_WAITING: usize = 200;
/// Number of small workspaces. Their classes are 1 to this number.
const SMALL_CLASSES: u32 = 4;
const LARGE_CLASS: u32 = 0;
/// Load of a small workspace as a fraction of the capacity. Below its fair share in every scenario.
const SMALL_CLASS_LOAD: f64 = 0.05;

#[derive(Clone, Copy)]
struct Arrival {
    at_us: u64,
    class: u32,
    cost: u64,
}

struct Scenario {
    name: &'static str,
    large_weight: u32,
    /// Smallest and largest cost of a request of the large workspace, in tokens.
    large_cost: (u64, u64),
}

struct Outcome {
    /// Waiting times of the requests of small workspaces.
    small_waits_us: Vec<u64>,
    /// Service received by each class, in tokens.
    served: Vec<u64>,
    /// Cost of all arrivals of each class, in tokens, including dropped ones.
    offered: Vec<u64>,
}

fn main() {
    let scenarios = [
        Scenario {
            name: "weights 1:1, equal requests",
            large_weight: 1,
            large_cost: (50, 200),
        },
        Scenario {
            name: "weights 1:1, large sends long requests",
            large_weight: 1,
            large_cost: (400, 1_600),
        },
        Scenario {
            name: "weights 8:1, equal requests",
            large_weight: 8,
            large_cost: (50, 200),
        },
    ];
    println!(
        "| scenario | queue | small p50 ms | small p99 ms | small max ms | worst share of due |"
    );
    println!("|---|---|---|---|---|---|");
    for scenario in &scenarios {
        let arrivals = generate_arrivals(scenario);
        report::<Fifo<usize>>(scenario, "first come", &arrivals);
        report::<DeficitRoundRobin<usize>>(scenario, "DRR", &arrivals);
        report::<NestedDeficitRoundRobin<usize>>(scenario, "Nested-DRR", &arrivals);
    }
}

/// Poisson arrivals, in order of time. The large workspace sends three times the engine's capacity.
fn generate_arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let tokens_per_us = SLOTS as f64 / TOKEN_TIME_US as f64;
    let mut all = Vec::new();
    for class in 0..=SMALL_CLASSES {
        let (load, cost) = if class == LARGE_CLASS {
            (3.0, scenario.large_cost)
        } else {
            (SMALL_CLASS_LOAD, (50, 200))
        };
        let mean_cost = (cost.0 + cost.1) as f64 / 2.0;
        let mean_gap_us = mean_cost / (tokens_per_us * load);
        let mut at_us = 0.0;
        while at_us < SIMULATED_US as f64 {
            at_us += -mean_gap_us * (1.0 - rng.random::<f64>()).ln();
            let cost = rng.random_range(cost.0..=cost.1);
            all.push(Arrival {
                at_us: at_us as u64,
                class,
                cost,
            });
        }
    }
    all.sort_by_key(|a| a.at_us);
    all
}

fn weight(scenario: &Scenario, class: u32) -> u32 {
    if class == LARGE_CLASS {
        scenario.large_weight
    } else {
        1
    }
}

fn report<Q>(scenario: &Scenario, queue: &str, arrivals: &[Arrival])
where
    Q: FairQueue<usize>,
{
    let mut outcome = simulate::<Q>(scenario, arrivals);
    outcome.small_waits_us.sort_unstable();
    let waits = &outcome.small_waits_us;
    let quantile_ms =
        |quantile: f64| waits[((waits.len() - 1) as f64 * quantile) as usize] as f64 / 1e3;
    println!(
        "| {} | {queue} | {:.0} | {:.0} | {:.0} | {:.3} |",
        scenario.name,
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(1.0),
        worst_served_share(scenario, &outcome),
    );
}

fn simulate<Q>(scenario: &Scenario, arrivals: &[Arrival]) -> Outcome
where
    Q: FairQueue<usize>,
{
    let class_count = SMALL_CLASSES as usize + 1;
    let mut outcome = Outcome {
        small_waits_us: Vec::new(),
        served: vec![0; class_count],
        offered: vec![0; class_count],
    };
    let mut queue = Q::default();
    let mut large_waiting = 0;
    let mut busy_until: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut next = 0;
    let mut now = 0;
    while now < SIMULATED_US {
        while busy_until.peek().is_some_and(|Reverse(end)| *end <= now) {
            busy_until.pop();
        }
        while next < arrivals.len() && arrivals[next].at_us <= now {
            let arrival = arrivals[next];
            outcome.offered[arrival.class as usize] += arrival.cost;
            if arrival.class != LARGE_CLASS || large_waiting < MAX_LARGE_WAITING {
                large_waiting += usize::from(arrival.class == LARGE_CLASS);
                queue.push(QueuedRequest {
                    key: next,
                    class: ClassId(arrival.class),
                    weight: weight(scenario, arrival.class),
                    cost: arrival.cost,
                });
            }
            next += 1;
        }
        while busy_until.len() < SLOTS {
            let Some(item) = queue.pop() else { break };
            let arrival = arrivals[item.key];
            busy_until.push(Reverse(now + item.cost * TOKEN_TIME_US));
            outcome.served[arrival.class as usize] += item.cost;
            if arrival.class == LARGE_CLASS {
                large_waiting -= 1;
            } else {
                outcome.small_waits_us.push(now - arrival.at_us);
            }
        }
        let next_arrival = arrivals.get(next).map_or(SIMULATED_US, |a| a.at_us);
        let next_end = busy_until.peek().map_or(SIMULATED_US, |Reverse(end)| *end);
        now = next_arrival.min(next_end);
    }
    outcome
}

/// Smallest ratio over all workspaces of the service received to the fair share.
fn worst_served_share(scenario: &Scenario, outcome: &Outcome) -> f64 {
    let capacity_tokens = (SIMULATED_US / TOKEN_TIME_US) as f64 * SLOTS as f64;
    let fair_shares = fair_shares(scenario, outcome, capacity_tokens);
    let pairs = outcome.served.iter().zip(fair_shares);
    pairs
        .map(|(served, fair_share)| *served as f64 / fair_share)
        .fold(f64::INFINITY, f64::min)
}

/// Weighted max-min fair share of each class, in tokens: capacity is divided by weight, and what a
/// class does not need goes to the others.
fn fair_shares(scenario: &Scenario, outcome: &Outcome, capacity: f64) -> Vec<f64> {
    let offered: Vec<f64> = outcome.offered.iter().map(|o| *o as f64).collect();
    let weights: Vec<f64> = (0..=SMALL_CLASSES)
        .map(|class| f64::from(weight(scenario, class)))
        .collect();
    let mut shares = vec![0.0; offered.len()];
    let mut remaining = capacity;
    loop {
        let is_unsatisfied = |at: &usize| shares[*at] < offered[*at] - 1e-6;
        let unsatisfied: Vec<usize> = (0..offered.len()).filter(is_unsatisfied).collect();
        if unsatisfied.is_empty() || remaining < 1e-6 {
            return shares;
        }
        let weight_sum: f64 = unsatisfied.iter().map(|at| weights[*at]).sum();
        let increment = unsatisfied
            .iter()
            .map(|at| (offered[*at] - shares[*at]) / weights[*at])
            .fold(remaining / weight_sum, f64::min);
        for at in unsatisfied {
            shares[at] += increment * weights[at];
            remaining -= increment * weights[at];
        }
    }
}
