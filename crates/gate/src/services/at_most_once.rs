//! Calls that must run at most once.
//!
//! Such a call runs in a task of its own: once it is sent, its answer is read to the end and
//! recorded even when its caller has left. It is sent on a new connection, once, and never again
//! after a first byte may have reached an upstream.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, StatusCode, body::BoxBody};
use comfreyweir_clock::{Clock, SystemClock};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    attempt::{self, Outcome, ServiceCall},
    body::CallBody,
    claim::RecordedAnswer,
    claims::{ClaimError, Claimed, HeldClaim},
    relay::{self, Abandoned},
    send_permit::{self, Permit},
};
use crate::{
    Code, Refusal,
    allowances::{Allowances, Charge, Reservation},
    completion,
    context::{Cx, GateKv},
    placement_view::PlacementView,
};

/// When to ask again for the answer of a call that is under way.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// When to come back after the key-value service did not answer.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// An idempotency key to be claimed.
pub(super) struct Claiming {
    /// Key of the record.
    pub(super) key: String,
    /// Digest of the call.
    pub(super) call: String,
}

type Reply = Result<Response<BoxBody>, Refusal>;
type Held = HeldClaim<GateKv, SystemClock>;

/// Runs a call at most once, and answers at the deadline at the latest.
pub(super) async fn run<A, V>(
    cx: &Rc<Cx<A, V>>,
    call: ServiceCall,
    body: CallBody,
    claiming: Option<Claiming>,
    tokens: Option<A::Reservation>,
) -> Reply
where
    A: Allowances,
    V: PlacementView,
{
    let (permit, handler) = send_permit::pair();
    let deadline = Instant::from_std(call.deadline);
    let (tx, mut rx) = oneshot::channel();
    let task = Task {
        cx: Rc::clone(cx),
        call,
        permit,
        reply: tx,
    };
    actix_rt::spawn(task.run(body, claiming, tokens));
    match timeout_at(deadline, &mut rx).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => Err(given_up().run_unknown()),
        Err(_) if handler.give_up() => Err(completion::late()),
        Err(_) => Err(completion::late().run_unknown()),
    }
}

struct Task<A, V> {
    cx: Rc<Cx<A, V>>,
    call: ServiceCall,
    permit: Permit,
    reply: oneshot::Sender<Reply>,
}

impl<A, V> Task<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    async fn run(self, body: CallBody, claiming: Option<Claiming>, tokens: Option<A::Reservation>) {
        // The process must not end before the outcome is recorded.
        let _in_flight = self.cx.stopping.enter();
        let claim = match self.claim(claiming).await {
            Ok(claim) => claim,
            Err(reply) => {
                let _ = self.reply.send(reply);
                return;
            }
        };
        // Charged after the claim was waited for, right before the call is sent.
        let charge = match tokens.map(Reservation::charge).transpose() {
            Ok(charge) => charge,
            Err(shortage) => {
                let _ = self.reply.send(Err(crate::dispatch::shortage(shortage)));
                release(claim).await;
                return;
            }
        };
        let outcome = attempt::send(&self.cx, &self.call, body, &self.permit).await;
        if let Outcome::NotRun(_) = &outcome
            && let Some(charge) = charge
        {
            charge.settle(0);
        }
        self.finish(outcome, claim).await;
    }

    /// Claims the idempotency key, or gives the reply that stands already.
    async fn claim(&self, claiming: Option<Claiming>) -> Result<Option<Held>, Reply> {
        let Some(claiming) = claiming else {
            return Ok(None);
        };
        let limit = self
            .call
            .deadline
            .saturating_duration_since(SystemClock.now());
        match self
            .cx
            .claims
            .take(&claiming.key, &claiming.call, limit)
            .await
        {
            Ok(Claimed::Ours(claim)) => Ok(Some(claim)),
            Ok(Claimed::Replay(answer)) => Err(replay(&answer)),
            Err(e) => Err(Err(not_claimed(&e))),
        }
    }

    async fn finish(self, outcome: Outcome, claim: Option<Held>) {
        match outcome {
            Outcome::NotRun(refusal) => {
                let _ = self.reply.send(Err(refusal));
                release(claim).await;
            }
            Outcome::MayHaveRun(refusal) => {
                let _ = self.reply.send(Err(refusal));
                if let Some(claim) = claim {
                    claim.lose().await;
                }
            }
            Outcome::Answered(answer, in_flight) => {
                let (res, relay) = relay::begin(answer, &self.call.method);
                let _ = self.reply.send(Ok(res));
                let stall = Duration::from_millis(self.cx.settings.limits.stall_ms);
                let whole = relay.run(stall, Abandoned::ReadToEnd).await;
                drop(in_flight);
                record(claim, whole).await;
            }
        }
    }
}

async fn release(claim: Option<Held>) {
    if let Some(claim) = claim {
        claim.release().await;
    }
}

async fn record(claim: Option<Held>, whole: Option<RecordedAnswer>) {
    match (claim, whole) {
        (Some(claim), Some(answer)) => claim.done(answer).await,
        (Some(claim), None) => claim.lose().await,
        (None, _) => {}
    }
}

fn replay(answer: &RecordedAnswer) -> Reply {
    let Some(body) = answer.body() else {
        let message = "this call ran before, and its answer was too large to be recorded";
        return Err(conflict(message).run_unknown());
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut res = Response::build(status);
    res.insert_header(("idempotent-replayed", "true"));
    if let Some(content_type) = &answer.content_type {
        res.insert_header(("content-type", content_type.as_str()));
    }
    if let Some(location) = &answer.location {
        res.insert_header(("location", location.as_str()));
    }
    Ok(res.body(body).map_into_boxed_body())
}

fn not_claimed(e: &ClaimError) -> Refusal {
    match e {
        ClaimError::Unavailable { .. } => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Code::UpstreamUnavailable,
            "the idempotency key cannot be recorded now",
        )
        .retry_after(UNAVAILABLE_RETRY),
        ClaimError::InProgress => conflict(&e.to_string())
            .run_unknown()
            .retry_after(IN_PROGRESS_RETRY),
        ClaimError::OutcomeUnknown => conflict(&e.to_string()).run_unknown(),
        ClaimError::DifferentCall => Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            Code::IdempotencyConflict,
            e.to_string(),
        ),
    }
}

fn conflict(message: &str) -> Refusal {
    Refusal::not_run(StatusCode::CONFLICT, Code::IdempotencyConflict, message)
}

fn given_up() -> Refusal {
    Refusal::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        Code::UpstreamFailed,
        "the call was given up",
    )
}
