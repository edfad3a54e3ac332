//! Calls of plain services that must run at most once.
//!
//! Each call runs in its own task, so that after sending it the gate reads the answer to the end
//! and records it even if the caller has disconnected. Each attempt uses a new connection, and
//! there is no further attempt once a byte of the call may have reached an upstream.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, StatusCode, body::BoxBody};
use comfreyweir_clock::{Clock, SystemClock};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    attempt::{self, CallOutcome, ServiceCall},
    body::CallBody,
    claim_record::RecordedAnswer,
    claims::{ClaimError, Claimed, HeldClaim},
    relay::{self, OnCallerGone},
    send_permit::{self, SendPermit},
};
use crate::{
    Refusal, RefusalCode,
    allowances::{Allowances, Charge, Reservation},
    completion,
    context::{GateContext, GateKv},
    placement_view::PlacementView,
};

/// `Retry-After` of a refusal while another request with the same idempotency key is running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a refusal when the key-value service did not answer.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What is needed to claim an idempotency key.
pub(super) struct ClaimRequest {
    /// Key of the claim record in the key-value service.
    pub(super) record_key: String,
    /// Digest of method, path and body, to detect a key that is reused for another call.
    pub(super) call_digest: String,
}

type Reply = Result<Response<BoxBody>, Refusal>;
type GateClaim = HeldClaim<GateKv, SystemClock>;

/// Runs a call at most once. Returns at the deadline at the latest; the call's task may go on.
pub(super) async fn run<A, V>(
    cx: &Rc<GateContext<A, V>>,
    call: ServiceCall,
    body: CallBody,
    claim_request: Option<ClaimRequest>,
    reservation: Option<A::Reservation>,
) -> Reply
where
    A: Allowances,
    V: PlacementView,
{
    let (permit, caller_handle) = send_permit::pair();
    let deadline = Instant::from_std(call.deadline);
    let (tx, mut rx) = oneshot::channel();
    let task = CallTask {
        cx: Rc::clone(cx),
        call,
        permit,
        reply: tx,
    };
    actix_rt::spawn(task.run(body, claim_request, reservation));
    match timeout_at(deadline, &mut rx).await {
        Ok(Ok(reply)) => reply,
        // The task ended without a reply, so it is unknown whether the call ran.
        Ok(Err(_)) => Err(abandoned_refusal().run_unknown()),
        Err(_) if caller_handle.give_up() => Err(completion::deadline_exceeded()),
        Err(_) => Err(completion::deadline_exceeded().run_unknown()),
    }
}

struct CallTask<A, V> {
    cx: Rc<GateContext<A, V>>,
    call: ServiceCall,
    permit: SendPermit,
    reply: oneshot::Sender<Reply>,
}

impl<A, V> CallTask<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    async fn run(
        self,
        body: CallBody,
        claim_request: Option<ClaimRequest>,
        reservation: Option<A::Reservation>,
    ) {
        // Keeps the process from exiting before the outcome is recorded.
        let _in_flight = self.cx.stopping.track_request();
        let claim = match self.claim(claim_request).await {
            Ok(claim) => claim,
            Err(reply) => {
                let _ = self.reply.send(reply);
                return;
            }
        };
        // Charge only now, directly before sending: claiming the key may have taken a while.
        let charge = match reservation.map(Reservation::charge).transpose() {
            Ok(charge) => charge,
            Err(shortage) => {
                let _ = self
                    .reply
                    .send(Err(crate::dispatch::shortage_refusal(shortage)));
                release_claim(claim).await;
                return;
            }
        };
        let outcome = attempt::send(&self.cx, &self.call, body, &self.permit).await;
        if let CallOutcome::NotRun(_) = &outcome
            && let Some(charge) = charge
        {
            charge.settle(0);
        }
        self.finish(outcome, claim).await;
    }

    /// Claims the idempotency key, if there is one. The error is the reply to send instead of
    /// running the call.
    async fn claim(&self, claim_request: Option<ClaimRequest>) -> Result<Option<GateClaim>, Reply> {
        let Some(claim_request) = claim_request else {
            return Ok(None);
        };
        let time_limit = self
            .call
            .deadline
            .saturating_duration_since(SystemClock.now());
        match self
            .cx
            .claims
            .acquire(
                &claim_request.record_key,
                &claim_request.call_digest,
                time_limit,
            )
            .await
        {
            Ok(Claimed::Ours(claim)) => Ok(Some(claim)),
            Ok(Claimed::Replay(answer)) => Err(replay_response(&answer)),
            Err(e) => Err(Err(claim_refusal(&e))),
        }
    }

    async fn finish(self, outcome: CallOutcome, claim: Option<GateClaim>) {
        match outcome {
            CallOutcome::NotRun(refusal) => {
                let _ = self.reply.send(Err(refusal));
                release_claim(claim).await;
            }
            CallOutcome::MayHaveRun(refusal) => {
                let _ = self.reply.send(Err(refusal));
                if let Some(claim) = claim {
                    claim.record_lost_answer().await;
                }
            }
            CallOutcome::Answered(answer, in_flight) => {
                let (res, relay) = relay::split_answer(answer, &self.call.method);
                let _ = self.reply.send(Ok(res));
                let stall_timeout = Duration::from_millis(self.cx.settings.limits.stall_ms);
                let recorded_answer = relay.run(stall_timeout, OnCallerGone::ReadToEnd).await;
                drop(in_flight);
                record_outcome(claim, recorded_answer).await;
            }
        }
    }
}

async fn release_claim(claim: Option<GateClaim>) {
    if let Some(claim) = claim {
        claim.release().await;
    }
}

async fn record_outcome(claim: Option<GateClaim>, recorded_answer: Option<RecordedAnswer>) {
    match (claim, recorded_answer) {
        (Some(claim), Some(answer)) => claim.record_answer(answer).await,
        (Some(claim), None) => claim.record_lost_answer().await,
        (None, _) => {}
    }
}

fn replay_response(answer: &RecordedAnswer) -> Reply {
    let Some(body) = answer.body() else {
        let message = "this call ran before, and its answer was too large to be recorded";
        return Err(conflict_refusal(message).run_unknown());
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

fn claim_refusal(e: &ClaimError) -> Refusal {
    match e {
        ClaimError::Unavailable { .. } => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            RefusalCode::UpstreamUnavailable,
            "the idempotency key cannot be recorded now",
        )
        .retry_after(UNAVAILABLE_RETRY_AFTER),
        ClaimError::InProgress => conflict_refusal(&e.to_string())
            .run_unknown()
            .retry_after(IN_PROGRESS_RETRY_AFTER),
        ClaimError::OutcomeUnknown => conflict_refusal(&e.to_string()).run_unknown(),
        ClaimError::DifferentCall => Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            RefusalCode::IdempotencyConflict,
            e.to_string(),
        ),
    }
}

fn conflict_refusal(message: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::CONFLICT,
        RefusalCode::IdempotencyConflict,
        message,
    )
}

fn abandoned_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        RefusalCode::UpstreamFailed,
        "the call was given up",
    )
}
