//! A call with an idempotency key runs at most once, whichever reads and writes of its claim fail.

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
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// What happens to a call after its gate has acquired the claim.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// No byte reaches the upstream.
    NotReached,
    /// The call runs and is answered.
    Answered,
    /// The call runs and its answer is lost.
    AnswerLost,
    /// The call runs, and the gate crashes before it records an outcome.
    GateCrashesAfterCall,
    /// The gate crashes before it sends the call.
    GateCrashesBeforeCall,
}

#[derive(Default)]
struct Observed {
    runs: u32,
    answer_recorded: bool,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::AppliedLate),
    ]
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        2 => Just(CallOutcome::NotReached),
        2 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::GateCrashesAfterCall),
        1 => Just(CallOutcome::GateCrashesBeforeCall),
    ]
}

async fn call_through_gate(
    claims: Claims<MemoryKv, SystemClock>,
    outcome: CallOutcome,
    observed: Rc<RefCell<Observed>>,
) {
    let Ok(Claimed::Ours(claim)) = claims.acquire(KEY, CALL, TIME_LIMIT).await else {
        return;
    };
    match outcome {
        CallOutcome::NotReached => claim.release().await,
        CallOutcome::Answered => {
            observed.borrow_mut().runs += 1;
            claim
                .record_answer(RecordedAnswer::new(201, Some(b"order 7")))
                .await;
            observed.borrow_mut().answer_recorded = true;
        }
        CallOutcome::AnswerLost => {
            observed.borrow_mut().runs += 1;
            claim.record_lost_answer().await;
        }
        CallOutcome::GateCrashesAfterCall => observed.borrow_mut().runs += 1,
        CallOutcome::GateCrashesBeforeCall => {}
    }
}

/// Runs one call through several gates at once, then acquires its claim again after all faults have
/// ended. Returns what was observed and the result of that later attempt.
async fn run_scenario(
    faults: Vec<Fault>,
    seed: u64,
    calls: Vec<CallOutcome>,
) -> (Observed, String) {
    tokio::time::pause();
    let kv = MemoryKv::new(faults, seed);
    let observed = Rc::new(RefCell::new(Observed::default()));
    let tasks = calls.into_iter().enumerate().map(|(gate, outcome)| {
        let claims = Claims::new(kv.clone(), SystemClock, format!("gate-{gate}"));
        actix_rt::spawn(call_through_gate(claims, outcome, Rc::clone(&observed)))
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.expect("a call does not panic");
    }
    kv.clear_faults();
    // Claims whose swap got no answer are withdrawn by background tasks: let them finish.
    tokio::time::sleep(Duration::from_mins(1)).await;
    let claims = Claims::new(kv, SystemClock, "gate-last".to_owned());
    let later_attempt = match claims.acquire(KEY, CALL, TIME_LIMIT).await {
        Ok(Claimed::Ours(_)) => "ours".to_owned(),
        Ok(Claimed::Replay(answer)) => format!("replay {}", answer.status),
        Err(e) => e.to_string(),
    };
    let observed = observed.take();
    (observed, later_attempt)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn call_with_idempotency_key_runs_at_most_once(
        faults in prop::collection::vec(fault(), 0..40),
        seed in any::<u64>(),
        calls in prop::collection::vec(call_outcome(), 1..6),
    ) {
        let no_early_crash = !calls.iter().any(|c| matches!(c, CallOutcome::GateCrashesBeforeCall));
        let system = actix_rt::System::new();
        let (observed, later_attempt) = system.block_on(run_scenario(faults, seed, calls));
        prop_assert!(observed.runs <= 1, "ran {} times", observed.runs);
        if observed.runs == 1 {
            prop_assert_ne!(&later_attempt, "ours", "a call that ran could be sent again");
        }
        if observed.runs == 0 && no_early_crash {
            prop_assert_eq!(
                &later_attempt,
                "ours",
                "a call that did not run could not be sent again"
            );
        }
        if observed.answer_recorded {
            prop_assert_eq!(&later_attempt, "replay 201");
        }
    }
}

#[test]
fn released_claim_can_be_taken_again() {
    let (observed, later_attempt) =
        actix_rt::System::new().block_on(run_scenario(vec![], 1, vec![CallOutcome::NotReached]));
    assert_eq!(observed.runs, 0);
    assert_eq!(later_attempt, "ours");
}

#[test]
fn claim_whose_swap_was_lost_is_withdrawn() {
    // The read succeeds, the swap takes effect without an answer, and the read after it fails.
    let faults = vec![Fault::None, Fault::AnswerLost, Fault::RequestLost];
    let (observed, later_attempt) =
        actix_rt::System::new().block_on(run_scenario(faults, 1, vec![CallOutcome::Answered]));
    assert_eq!(observed.runs, 0);
    assert_eq!(later_attempt, "ours");
}

#[test]
fn key_used_with_another_call_is_refused() {
    actix_rt::System::new().block_on(async {
        let claims = Claims::new(MemoryKv::default(), SystemClock, "gate".to_owned());
        let first = claims.acquire(KEY, CALL, TIME_LIMIT).await;
        assert!(matches!(first, Ok(Claimed::Ours(_))));
        let second = claims.acquire(KEY, "another digest", TIME_LIMIT).await;
        assert!(matches!(second, Err(ClaimError::DifferentCall)));
    });
}
