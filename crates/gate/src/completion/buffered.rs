//! Completions without streaming: the answer is read whole before it is sent to the caller.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use bytes::Bytes;
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use super::{
    CompletionJob,
    attempt::{self, ActiveCall, Attempts, Failure},
};
use crate::{
    Refusal, allowances::Allowances, context::GateContext, metrics::AnswerOutcome,
    placement_view::PlacementView,
};

/// Largest answer accepted from an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Responds with the first complete answer that an engine gives.
pub(super) async fn serve<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: &CompletionJob,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let mut attempts = Attempts::default();
    loop {
        let active_call = attempt::start_call(cx, job, 0, &mut attempts).await?;
        let upstream = active_call.call.upstream.clone();
        match read_body(cx, job, active_call).await {
            Ok(body) => {
                let catalog = &cx.follower.current().catalog;
                let workspace = &job.identity.workspace;
                cx.metrics
                    .observe_first_token(workspace, catalog, job.arrived.elapsed());
                cx.metrics
                    .count_answer(workspace, catalog, AnswerOutcome::Whole);
                return Ok(response(body));
            }
            Err(failure) => attempts.record_failure(job, &upstream, failure)?,
        }
    }
}

async fn read_body<A, V>(
    cx: &GateContext<A, V>,
    job: &CompletionJob,
    active_call: ActiveCall<A>,
) -> Result<Bytes, Failure>
where
    A: Allowances,
    V: PlacementView,
{
    let ActiveCall { call, mut answer } = active_call;
    let stall_timeout = Duration::from_millis(cx.settings.limits.stall_ms);
    let body = answer.body.read_all(MAX_ANSWER_BYTES, stall_timeout);
    let Ok(body) = timeout_at(Instant::from_std(job.deadline), body).await else {
        call.running_call.note_answer(false);
        return Err(Failure::DeadlineExceeded(
            attempt::deadline_exceeded().run_unknown(),
        ));
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            call.running_call.note_failed();
            return Err(attempt::body_read_failure(&e));
        }
    };
    let Ok(json) = serde_json::from_slice::<Value>(&body) else {
        call.running_call.note_failed();
        return Err(Failure::MayHaveRun("its answer is not JSON".to_owned()));
    };
    call.running_call.note_answer(false);
    call.finish(attempt::used_tokens(&json["usage"]));
    Ok(body)
}

fn response(body: Bytes) -> Response<BoxBody> {
    let mut res = Response::build(StatusCode::OK);
    res.insert_header((
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    ));
    res.body(body).map_into_boxed_body()
}
