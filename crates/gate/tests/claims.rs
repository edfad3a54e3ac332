//! A call with an idempotency key runs at most once, whatever happens to the claims.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreyweir_clock::SystemClock;
use comfreyweir_gate::services::{
    claim_record::RecordedAnswer,
    claims::{ClaimError, Claimed, Claims},
};
use proptest::{prelude::*, test_runner::RngSeed};

mod memory_kv;

use memory_kv::{Fault, MemoryKv};

const KEY: &str = "idem/test";
const CALL: &str = "digest";
const LIMIT: Duration = Duration::from_secs(5);

/// What becomes of a call that a gate may send.
#[derive(Clone, Copy, Debug)]
enum Sending {
    /// Not one byte reaches the upstream.
    NotReached,
    /// The call runs and is answered.
    Answered,
    /// The call runs and its answer is lost.
    AnswerLost,
    /// The call runs, and the gate dies before it records anything.
    GateDies,
    /// The gate dies before it sends anything.
    GateDiesFirst,
}

#[derive(Default)]
struct Observed {
    runs: u32,
    recorded: bool,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Lost),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::Late),
    ]
}

fn sending() -> impl Strategy<Value = Sending> {
    prop_oneof![
        2 => Just(Sending::NotReached),
        2 => Just(Sending::Answered),
        1 => Just(Sending::AnswerLost),
        1 => Just(Sending::GateDies),
        1 => Just(Sending::GateDiesFirst),
    ]
}

async fn call_through(
    claims: Claims<MemoryKv, SystemClock>,
    sending: Sending,
    observed: Rc<RefCell<Observed>>,
) {
    let Ok(Claimed::Ours(claim)) = claims.acquire(KEY, CALL, LIMIT).await else {
        return;
    };
    match sending {
        Sending::NotReached => claim.release().await,
        Sending::Answered => {
            observed.borrow_mut().runs += 1;
            claim
                .record_answer(RecordedAnswer::new(201, Some(b"order 7")))
                .await;
            observed.borrow_mut().recorded = true;
        }
        Sending::AnswerLost => {
            observed.borrow_mut().runs += 1;
            claim.record_lost_answer().await;
        }
        Sending::GateDies => observed.borrow_mut().runs += 1,
        Sending::GateDiesFirst => {}
    }
}

/// Runs one call through several gates at once, then once more after all faults have ended.
async fn scenario(faults: Vec<Fault>, seed: u64, calls: Vec<Sending>) -> (Observed, String) {
    tokio::time::pause();
    let kv = MemoryKv::new(faults, seed);
    let observed = Rc::new(RefCell::new(Observed::default()));
    let tasks = calls.into_iter().enumerate().map(|(gate, sending)| {
        let claims = Claims::new(kv.clone(), SystemClock, format!("gate-{gate}"));
        actix_rt::spawn(call_through(claims, sending, Rc::clone(&observed)))
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.expect("a call does not panic");
    }
    kv.heal();
    // Claims whose swap was lost are withdrawn by tasks of their own; let them finish.
    tokio::time::sleep(Duration::from_mins(1)).await;
    let claims = Claims::new(kv, SystemClock, "gate-last".to_owned());
    let last = match claims.acquire(KEY, CALL, LIMIT).await {
        Ok(Claimed::Ours(_)) => "ours".to_owned(),
        Ok(Claimed::Replay(answer)) => format!("replay {}", answer.status),
        Err(e) => e.to_string(),
    };
    let observed = observed.take();
    (observed, last)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn call_with_idempotency_key_runs_at_most_once(
        faults in prop::collection::vec(fault(), 0..40),
        seed in any::<u64>(),
        calls in prop::collection::vec(sending(), 1..6),
    ) {
        let gates_live = !calls.iter().any(|c| matches!(c, Sending::GateDiesFirst));
        let system = actix_rt::System::new();
        let (observed, last) = system.block_on(scenario(faults, seed, calls));
        prop_assert!(observed.runs <= 1, "ran {} times", observed.runs);
        if observed.runs == 1 {
            prop_assert_ne!(&last, "ours", "a call that ran could be sent again");
        }
        if observed.runs == 0 && gates_live {
            prop_assert_eq!(&last, "ours", "a call that did not run could not be sent again");
        }
        if observed.recorded {
            prop_assert_eq!(&last, "replay 201");
        }
    }
}

#[test]
fn released_claim_can_be_taken_again() {
    let (observed, last) =
        actix_rt::System::new().block_on(scenario(vec![], 1, vec![Sending::NotReached]));
    assert_eq!(observed.runs, 0);
    assert_eq!(last, "ours");
}

#[test]
fn claim_whose_swap_was_lost_is_withdrawn() {
    // The read succeeds, the swap takes effect without an answer, and the read after it fails.
    let faults = vec![Fault::None, Fault::AnswerLost, Fault::Lost];
    let (observed, last) =
        actix_rt::System::new().block_on(scenario(faults, 1, vec![Sending::Answered]));
    assert_eq!(observed.runs, 0);
    assert_eq!(last, "ours");
}

#[test]
fn key_used_with_another_call_is_refused() {
    actix_rt::System::new().block_on(async {
        let claims = Claims::new(MemoryKv::default(), SystemClock, "gate".to_owned());
        let first = claims.acquire(KEY, CALL, LIMIT).await;
        assert!(matches!(first, Ok(Claimed::Ours(_))));
        let second = claims.acquire(KEY, "another digest", LIMIT).await;
        assert!(matches!(second, Err(ClaimError::DifferentCall)));
    });
}
