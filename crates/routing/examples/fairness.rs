//! Measures the waiting of small workspaces beside a large one on simulated time, under each
//! queue, and prints a table.
//!
//! An engine of eight slots serves five workspaces. The large one sends several times what the
//! engine serves; the small ones send a twentieth of its capacity each. Costs are in tokens, and a
//! request occupies a slot for its cost times the time of a token.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::{cmp::Reverse, collections::BinaryHeap};

use comfreyweir_routing::fair::{
    ClassId, DeficitRoundRobin, FairQueue, FirstCome, Item, NestedDeficitRoundRobin,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEED: u64 = 7;
const SLOTS: usize = 8;
const TOKEN_US: u64 = 10_000;
const RUN_US: u64 = 1_800_000_000;
/// Requests of the large workspace that wait at most; a gate bounds its queues.
const LARGE_WAITING: usize = 200;
const SMALL_CLASSES: u32 = 4;
const LARGE: u32 = 0;
/// Demand of a small workspace, in parts of the capacity. Below its share in every scenario.
const SMALL_DEMAND: f64 = 0.05;

#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    class: u32,
    cost: u64,
}

struct Scenario {
    name: &'static str,
    large_weight: u32,
    large_cost: (u64, u64),
}

struct Outcome {
    waits_us: Vec<u64>,
    served: Vec<u64>,
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
        let arrivals = arrivals(scenario);
        report::<FirstCome<usize>>(scenario, "first come", &arrivals);
        report::<DeficitRoundRobin<usize>>(scenario, "DRR", &arrivals);
        report::<NestedDeficitRoundRobin<usize>>(scenario, "Nested-DRR", &arrivals);
    }
}

/// Poisson arrivals: the large workspace sends three times the engine's capacity.
fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let capacity = SLOTS as f64 / TOKEN_US as f64;
    let mut all = Vec::new();
    for class in 0..=SMALL_CLASSES {
        let (share, cost) = if class == LARGE {
            (3.0, scenario.large_cost)
        } else {
            (SMALL_DEMAND, (50, 200))
        };
        let mean_cost = (cost.0 + cost.1) as f64 / 2.0;
        let gap = mean_cost / (capacity * share);
        let mut at = 0.0;
        while at < RUN_US as f64 {
            at += -gap * (1.0 - rng.random::<f64>()).ln();
            let cost = rng.random_range(cost.0..=cost.1);
            all.push(Arrival {
                at: at as u64,
                class,
                cost,
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn weight(scenario: &Scenario, class: u32) -> u32 {
    if class == LARGE {
        scenario.large_weight
    } else {
        1
    }
}

fn report<Q>(scenario: &Scenario, queue: &str, arrivals: &[Arrival])
where
    Q: FairQueue<usize>,
{
    let mut outcome = run::<Q>(scenario, arrivals);
    outcome.waits_us.sort_unstable();
    let waits = &outcome.waits_us;
    let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize] as f64 / 1e3;
    println!(
        "| {} | {queue} | {:.0} | {:.0} | {:.0} | {:.3} |",
        scenario.name,
        at(0.5),
        at(0.99),
        at(1.0),
        worst_share(scenario, &outcome),
    );
}

fn run<Q>(scenario: &Scenario, arrivals: &[Arrival]) -> Outcome
where
    Q: FairQueue<usize>,
{
    let classes = SMALL_CLASSES as usize + 1;
    let mut outcome = Outcome {
        waits_us: Vec::new(),
        served: vec![0; classes],
        offered: vec![0; classes],
    };
    let mut queue = Q::default();
    let mut large_waiting = 0;
    let mut busy: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut next = 0;
    let mut now = 0;
    while now < RUN_US {
        while busy.peek().is_some_and(|Reverse(end)| *end <= now) {
            busy.pop();
        }
        while next < arrivals.len() && arrivals[next].at <= now {
            let arrival = arrivals[next];
            outcome.offered[arrival.class as usize] += arrival.cost;
            if arrival.class != LARGE || large_waiting < LARGE_WAITING {
                large_waiting += usize::from(arrival.class == LARGE);
                queue.push(Item {
                    key: next,
                    class: ClassId(arrival.class),
                    weight: weight(scenario, arrival.class),
                    cost: arrival.cost,
                });
            }
            next += 1;
        }
        while busy.len() < SLOTS {
            let Some(item) = queue.pop() else { break };
            let arrival = arrivals[item.key];
            busy.push(Reverse(now + item.cost * TOKEN_US));
            outcome.served[arrival.class as usize] += item.cost;
            if arrival.class == LARGE {
                large_waiting -= 1;
            } else {
                outcome.waits_us.push(now - arrival.at);
            }
        }
        let arrival = arrivals.get(next).map_or(RUN_US, |a| a.at);
        let end = busy.peek().map_or(RUN_US, |Reverse(end)| *end);
        now = arrival.min(end);
    }
    outcome
}

/// Served part of what is due to the worst-served workspace: its demand, up to its weighted share.
fn worst_share(scenario: &Scenario, outcome: &Outcome) -> f64 {
    let capacity = (RUN_US / TOKEN_US) as f64 * SLOTS as f64;
    let due = due(scenario, outcome, capacity);
    let shares = outcome.served.iter().zip(due);
    shares
        .map(|(served, due)| *served as f64 / due)
        .fold(f64::INFINITY, f64::min)
}

/// Shares a capacity by weight; what a class does not ask for goes to the others.
fn due(scenario: &Scenario, outcome: &Outcome, capacity: f64) -> Vec<f64> {
    let offered: Vec<f64> = outcome.offered.iter().map(|o| *o as f64).collect();
    let weights: Vec<f64> = (0..=SMALL_CLASSES)
        .map(|class| f64::from(weight(scenario, class)))
        .collect();
    let mut due = vec![0.0; offered.len()];
    let mut left = capacity;
    loop {
        let open = |at: &usize| due[*at] < offered[*at] - 1e-6;
        let open: Vec<usize> = (0..offered.len()).filter(open).collect();
        if open.is_empty() || left < 1e-6 {
            return due;
        }
        let sum: f64 = open.iter().map(|at| weights[*at]).sum();
        let level = open
            .iter()
            .map(|at| (offered[*at] - due[*at]) / weights[*at])
            .fold(left / sum, f64::min);
        for at in open {
            due[at] += level * weights[at];
            left -= level * weights[at];
        }
    }
}
