//! Properties of the fair queues under random sequences of operations.

use std::collections::BTreeMap;

use comfreyweir_routing::fair::{
    ClassId, DeficitRoundRobin, FairQueue, Fifo, NestedDeficitRoundRobin, QueuedRequest,
};
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { class: u32, cost: u64 },
    Pop,
    Remove { nth: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..4_u32, 1..500_u64).prop_map(|(class, cost)| Step::Push { class, cost }),
        2 => Just(Step::Pop),
        1 => (0..20_usize).prop_map(|nth| Step::Remove { nth }),
    ];
    prop::collection::vec(step, 1..200)
}

fn queued(key: u64, class: u32, cost: u64) -> QueuedRequest<u64> {
    QueuedRequest {
        key,
        class: ClassId(class),
        weight: class + 1,
        cost,
    }
}

/// Work conservation: `pop` returns a request whenever one waits, each exactly once and in order
/// within its class.
fn check_work_conservation<Q>(steps: &[Step]) -> Result<(), TestCaseError>
where
    Q: FairQueue<u64>,
{
    let mut queue = Q::default();
    let mut model: Vec<QueuedRequest<u64>> = Vec::new();
    for (key, step) in (0..).zip(steps) {
        match *step {
            Step::Push { class, cost } => {
                queue.push(queued(key, class, cost));
                model.push(queued(key, class, cost));
            }
            Step::Pop => {
                let popped = queue.pop();
                prop_assert_eq!(popped.is_some(), !model.is_empty());
                if let Some(popped) = popped {
                    let first = model.iter().position(|r| r.class == popped.class);
                    let first = model.remove(first.unwrap());
                    prop_assert_eq!(first.key, popped.key);
                }
            }
            Step::Remove { nth } => {
                let at = nth % model.len().max(1);
                let expected = (at < model.len()).then(|| model.remove(at));
                let removed = expected.and_then(|r| queue.remove(r.key));
                prop_assert_eq!(removed.map(|r| r.key), expected.map(|r| r.key));
            }
        }
        prop_assert_eq!(queue.len(), model.len());
    }
    Ok(())
}

/// While all classes have a backlog, the served cost per weight of any class differs from that of
/// class 0 by at most twice the largest cost.
fn check_shares_by_weight<Q>(costs: &[u64]) -> Result<(), TestCaseError>
where
    Q: FairQueue<u64>,
{
    let mut queue = Q::default();
    let mut key = 0;
    let mut push_next = |queue: &mut Q, class: u32| {
        key += 1;
        let cost = costs[usize::try_from(key).unwrap() % costs.len()];
        queue.push(queued(key, class, cost));
    };
    for class in 0..4 {
        for _ in 0..2 {
            push_next(&mut queue, class);
        }
    }
    let mut served: BTreeMap<u32, u64> = BTreeMap::new();
    for _ in 0..2_000 {
        let popped = queue.pop().unwrap();
        *served.entry(popped.class.0).or_default() += popped.cost;
        push_next(&mut queue, popped.class.0);
    }
    let max_cost = *costs.iter().max().unwrap();
    let cost_per_weight =
        |class: u32| served.get(&class).copied().unwrap_or_default() / u64::from(class + 1);
    for class in 1..4 {
        let difference = cost_per_weight(0).abs_diff(cost_per_weight(class));
        prop_assert!(
            difference <= 2 * max_cost,
            "class {} is off by {}: {:?}",
            class,
            difference,
            served
        );
    }
    Ok(())
}

/// A request is served after a bounded number of others, no matter how many wait in another class.
fn check_no_starvation<Q>(backlog: usize) -> Result<(), TestCaseError>
where
    Q: FairQueue<u64>,
{
    let mut queue = Q::default();
    for key in 0..backlog as u64 {
        queue.push(queued(key, 3, 100));
    }
    queue.pop();
    queue.push(queued(u64::MAX, 0, 100));
    let position = (1..=backlog + 1).find(|_| queue.pop().unwrap().key == u64::MAX);
    // Before it, the class of weight 4 is served one turn of at most four requests.
    prop_assert!(position.unwrap() <= 5, "served at position {:?}", position);
    Ok(())
}

/// Closed-loop classes, which send the next request only when the last one was served, do not
/// reduce the share of a class with a backlog.
fn check_closed_loops<Q>(light: u32) -> Result<(), TestCaseError>
where
    Q: FairQueue<u64>,
{
    const ROUNDS: u64 = 400;
    let equal_weight = |key, class| QueuedRequest {
        weight: 1,
        ..queued(key, class, 100)
    };
    let mut queue = Q::default();
    for key in 0..ROUNDS {
        queue.push(equal_weight(key, 0));
    }
    for class in 1..=light {
        queue.push(equal_weight(ROUNDS + u64::from(class), class));
    }
    let mut served = 0;
    for key in 0..ROUNDS {
        let popped = queue.pop().unwrap();
        if popped.class.0 == 0 {
            served += 1;
        } else {
            queue.push(equal_weight(2 * ROUNDS + key, popped.class.0));
        }
    }
    let share = ROUNDS / u64::from(light + 1);
    prop_assert!(served + 2 >= share, "served {} of {}", served, share);
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn deficit_round_robin_shares_with_closed_loops(light in 1..6_u32) {
        check_closed_loops::<DeficitRoundRobin<u64>>(light)?;
    }

    #[test]
    fn nested_round_robin_shares_with_closed_loops(light in 1..6_u32) {
        check_closed_loops::<NestedDeficitRoundRobin<u64>>(light)?;
    }

    #[test]
    fn fifo_conserves_work(steps in steps()) {
        check_work_conservation::<Fifo<u64>>(&steps)?;
    }

    #[test]
    fn deficit_round_robin_conserves_work(steps in steps()) {
        check_work_conservation::<DeficitRoundRobin<u64>>(&steps)?;
    }

    #[test]
    fn nested_round_robin_conserves_work(steps in steps()) {
        check_work_conservation::<NestedDeficitRoundRobin<u64>>(&steps)?;
    }

    #[test]
    fn deficit_round_robin_shares_by_weight(costs in prop::collection::vec(1..500_u64, 1..20)) {
        check_shares_by_weight::<DeficitRoundRobin<u64>>(&costs)?;
    }

    #[test]
    fn nested_round_robin_shares_by_weight(costs in prop::collection::vec(1..500_u64, 1..20)) {
        check_shares_by_weight::<NestedDeficitRoundRobin<u64>>(&costs)?;
    }

    #[test]
    fn deficit_round_robin_starves_nobody(backlog in 1..500_usize) {
        check_no_starvation::<DeficitRoundRobin<u64>>(backlog)?;
    }

    #[test]
    fn nested_round_robin_starves_nobody(backlog in 1..500_usize) {
        check_no_starvation::<NestedDeficitRoundRobin<u64>>(backlog)?;
    }
}
