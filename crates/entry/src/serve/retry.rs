//! Sends a request to upstreams, with retries, until it is answered, refused or out of time.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, StatusCode, body::BoxBody};
use comfreyweir_fleet::{config::RouteKind, health::Outcome};
use comfreyweir_http::upstream::{CallProgress, UpstreamAnswer};

use super::{
    Refusal,
    admitted::AdmittedRequest,
    attempt::{self, AttemptResult, HeadWait, SentRequest},
    pick::{self, AvoidedUpstreams},
    relay, resumption, room, trial,
};
use crate::{platform::Platform, state::EntryContext, zones};

/// Maximum number of attempts of one request that did not run at the upstream.
const MAX_NOT_RUN: u32 = 6;
/// Time for which a request is not sent again to an upstream after a failed attempt.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);
/// Time for which a request is not sent again to an engine that declined it, times the number of
/// attempts that did not run. Short, since the engine may just be about to load the artifact.
const AVOID_AFTER_NOT_RUN: Duration = Duration::from_millis(60);
/// `Retry-After` when attempts did not run and no more are allowed.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Fraction of the time left that a retryable request waits for a response head before it is sent
/// to another upstream, unless [`HEAD_TIMEOUT_GOAL_FACTOR`] gives a longer time.
const HEAD_TIMEOUT_FRACTION: f64 = 0.4;
/// Multiple of the route's time-to-first-byte goal that a retryable request waits for a response
/// head, unless [`HEAD_TIMEOUT_FRACTION`] gives a longer time.
const HEAD_TIMEOUT_GOAL_FACTOR: f64 = 3.0;

/// Attempts of one request so far.
#[derive(Default)]
struct RetryState {
    avoided: AvoidedUpstreams,
    not_run: u32,
    /// Upstreams that may have run the request.
    possible_runs: u32,
}

/// Sends an admitted request until an upstream answers; the error refuses the request.
pub(super) async fn send_with_retries<P>(
    cx: &Rc<EntryContext<P>>,
    request: &Rc<AdmittedRequest>,
) -> Result<Response<BoxBody>, Refusal>
where
    P: Platform,
{
    let mut state = RetryState::default();
    let software = resumption::required_software(cx, request).await?;
    if let Some(software) = &software {
        state.avoided.require_software(software);
    }
    let mut trial = None;
    loop {
        attempt::end_attempt(cx, request);
        if let Some(software) = attempt::bound_software(cx, request) {
            state.avoided.require_software(&software);
        }
        zones::check_home(cx, request).map_err(|refusal| state.include_earlier_runs(refusal))?;
        let picked = match pick::pick(cx, request, &state.avoided).await {
            Ok(picked) => picked,
            Err(refusal) => {
                zones::count_refused(cx, request, &refusal);
                return Err(state.include_earlier_runs(refusal));
            }
        };
        match trial::may_send(cx, request, &mut trial, cx.now()).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => return Err(state.include_earlier_runs(refusal)),
        }
        let id = picked.upstream.id.clone();
        let wait = head_wait(cx, request, &state, &id);
        let progress = CallProgress::new();
        let attempt = (request.declared.last_event, trial.take());
        match attempt::send(cx, request, &picked, attempt, wait, &progress).await {
            AttemptResult::Answered(answer, sent) => {
                let response = relay_answer(cx, request, &mut state, answer, sent).await?;
                if let Some(res) = response {
                    return Ok(res);
                }
            }
            AttemptResult::NotPermitted(unused) => trial = unused,
            AttemptResult::NotSent(reason) => {
                state.not_run += 1;
                state
                    .avoided
                    .avoid_until(&id, cx.now() + AVOID_AFTER_FAILURE);
                if state.not_run >= MAX_NOT_RUN {
                    return Err(state.include_earlier_runs(Refusal::not_run(reason, RETRY_AFTER)));
                }
            }
            AttemptResult::NotRun(status) => {
                state.not_run += 1;
                let avoid = if request.artifact().is_some() {
                    AVOID_AFTER_NOT_RUN * state.not_run
                } else {
                    AVOID_AFTER_FAILURE
                };
                state.avoided.avoid_until(&id, cx.now() + avoid);
                if state.not_run >= MAX_NOT_RUN || !take_retry(cx, request) {
                    let reason = format!("upstreams turned the request away with {status}");
                    let closed_for = room::time_closed(cx, request, &state.avoided, cx.now());
                    let retry_after = closed_for.map_or(RETRY_AFTER, |t| t.max(RETRY_AFTER));
                    return Err(state.include_earlier_runs(Refusal::not_run(reason, retry_after)));
                }
            }
            AttemptResult::Failed(reason) => {
                state.retry_or_fail(cx, request, &id, Refusal::upstream_failed(reason))?;
            }
            AttemptResult::TimedOut => state.retry_or_fail(cx, request, &id, Refusal::timeout())?,
        }
    }
}

impl RetryState {
    /// Records an attempt that may have run. Returns `refusal` as the error if the request must not
    /// be sent again; otherwise a retry has been taken from the budget.
    fn retry_or_fail<P>(
        &mut self,
        cx: &Rc<EntryContext<P>>,
        request: &AdmittedRequest,
        upstream: &str,
        refusal: Refusal,
    ) -> Result<(), Refusal>
    where
        P: Platform,
    {
        self.possible_runs += 1;
        self.avoided
            .avoid_until(upstream, cx.now() + AVOID_AFTER_FAILURE);
        let may_retry = request.is_retryable()
            && self.possible_runs < request.route.max_upstreams
            && !request.time_left(cx.now()).is_zero()
            && take_retry(cx, request);
        if may_retry { Ok(()) } else { Err(refusal) }
    }

    /// Turns a refusal that says "not run" into a failure if an earlier attempt may have run.
    fn include_earlier_runs(&self, refusal: Refusal) -> Refusal {
        if self.possible_runs == 0 || refusal.may_have_run {
            return refusal;
        }
        Refusal::upstream_failed(refusal.reason)
    }
}

/// How long to wait for the response head of `upstream`. It may be sound, and slow for a moment, so a
/// request that may be sent again is sent elsewhere early only if another upstream can take it.
fn head_wait<P>(
    cx: &Rc<EntryContext<P>>,
    request: &Rc<AdmittedRequest>,
    state: &RetryState,
    upstream: &str,
) -> HeadWait<impl Fn() -> bool + use<P>>
where
    P: Platform,
{
    let now = cx.now();
    let limit = request.time_left(now).min(cx.time_to_answer(now));
    let may_run_again = state.possible_runs + 1 < request.route.max_upstreams;
    let silence_limit = request
        .route
        .first_byte_goal
        .mul_f64(HEAD_TIMEOUT_GOAL_FACTOR);
    let patience = if request.is_retryable() && may_run_again {
        silence_limit.max(limit.mul_f64(HEAD_TIMEOUT_FRACTION))
    } else {
        limit
    };
    let mut avoided = state.avoided.clone();
    avoided.avoid_until(upstream, request.deadline);
    let (cx, request) = (Rc::clone(cx), Rc::clone(request));
    let can_leave = move || {
        has_retry(&cx, &request)
            && trial::is_unneeded(&cx, &request, cx.now())
            && pick::pick_now(&cx, &request, &avoided).is_some()
    };
    HeadWait {
        patience,
        limit,
        can_leave,
    }
}

/// Takes a retry from the retry budget of the request's service; false if the budget is exhausted.
pub(super) fn take_retry<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> bool
where
    P: Platform,
{
    let instances = cx.instance_count();
    let mut budget = cx.retry_budget.borrow_mut();
    budget.take_retry(&request.service, instances, cx.now())
}

fn has_retry<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> bool
where
    P: Platform,
{
    let instances = cx.instance_count();
    let mut budget = cx.retry_budget.borrow_mut();
    budget.has_retry(&request.service, instances, cx.now())
}

/// Relays an answer to the caller. Returns `None` if the request is to be sent again.
async fn relay_answer<P>(
    cx: &Rc<EntryContext<P>>,
    request: &Rc<AdmittedRequest>,
    state: &mut RetryState,
    answer: Box<UpstreamAnswer>,
    mut sent: Box<SentRequest<P>>,
) -> Result<Option<Response<BoxBody>>, Refusal>
where
    P: Platform,
{
    let upstream = sent.upstream.id.clone();
    let is_error = answer.status.is_server_error();
    if is_error {
        sent.note_outcome(Outcome::Bad);
    }
    if is_error && request.route.kind == RouteKind::Idempotent {
        let refusal = Refusal::upstream_failed("the upstream failed");
        if state.retry_or_fail(cx, request, &upstream, refusal).is_ok() {
            return Ok(None);
        }
    }
    if request.is_stream() && answer.status == StatusCode::OK {
        return Ok(Some(relay::respond_streaming(
            cx,
            request,
            answer,
            sent,
            state.possible_runs + 1,
        )));
    }
    match relay::respond_buffered(cx, request, answer, sent).await {
        Ok(res) => Ok(Some(res)),
        Err(refusal) => {
            state.retry_or_fail(cx, request, &upstream, refusal)?;
            Ok(None)
        }
    }
}
