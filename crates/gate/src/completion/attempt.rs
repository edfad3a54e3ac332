//! Calls to engines, and retries on other engines.
//!
//! A completion has no side effects, so it can be retried. Once the first byte may have reached an
//! engine, a refusal tells the caller that it is unknown whether the request ran.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Method, StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use comfreyweir_external::engine::{
    NOT_RUN_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, WORKSPACE_HEADER,
};
use serde_json::Value;
use spdlog::warn;
use tokio::time::{Instant, timeout_at};

use super::CompletionJob;
use crate::{
    Refusal, RefusalCode,
    allowances::Allowances,
    context::GateContext,
    dispatch::{self, EngineCall},
    placement_view::PlacementView,
    upstream::{
        CallError, CallProgress, ConnectionKind, RequestIdEcho, UpstreamAnswer, UpstreamCall,
    },
};

/// Maximum number of attempts per request in which the engine may have run it. Attempts that the
/// engine did not run are not counted.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// Largest error body that is read from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 1 << 16;

/// A call whose engine answered with status 200; the body is still to be read.
pub(crate) struct ActiveCall<A>
where
    A: Allowances,
{
    pub(crate) call: EngineCall<A>,
    pub(crate) answer: UpstreamAnswer,
}

/// Outcomes of the attempts made so far for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    /// Failed attempts in which the engine may have run the request.
    failures: usize,
    engine_called: bool,
    may_have_run: bool,
}

/// Why an engine did not answer.
pub(crate) enum Failure {
    /// The engine has not run the request.
    NotRun(String),
    /// The engine may have run the request.
    MayHaveRun(String),
    /// The engine rejected the request as invalid.
    Rejected(Refusal),
    /// The deadline passed before the engine answered.
    DeadlineExceeded(Refusal),
}

impl Attempts {
    /// Records a failed attempt. Returns the refusal for the caller if there is to be no retry.
    pub(crate) fn record_failure(
        &mut self,
        job: &CompletionJob,
        upstream: &str,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.engine_called = true;
        let request_id = job.request_id.as_str();
        match failure {
            Failure::NotRun(reason) => {
                warn!("engine did not run a request", kv: { request_id, upstream, reason });
                Ok(())
            }
            Failure::MayHaveRun(reason) => {
                warn!("engine failed a request", kv: { request_id, upstream, reason });
                self.may_have_run = true;
                self.failures += 1;
                if self.failures < MAX_ATTEMPTS {
                    return Ok(());
                }
                Err(self.adjust_refusal(upstream_failed(&reason)))
            }
            Failure::Rejected(refusal) | Failure::DeadlineExceeded(refusal) => {
                Err(self.adjust_refusal(refusal))
            }
        }
    }

    /// Marks the refusal as "run unknown" if an earlier attempt may have run the request.
    pub(crate) fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.run_unknown()
        } else {
            refusal
        }
    }
}

/// Sends the request to engines until one starts to answer. `delivered_tokens` is the number of
/// output tokens that the caller has already received.
pub(crate) async fn start_call<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: &CompletionJob,
    delivered_tokens: u64,
    attempts: &mut Attempts,
) -> Result<ActiveCall<A>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    loop {
        let acquired = dispatch::acquire(cx, job, delivered_tokens, attempts.engine_called).await;
        let call = acquired.map_err(|refusal| attempts.adjust_refusal(refusal))?;
        let upstream = call.upstream.clone();
        match attempt(cx, job, call, delivered_tokens).await {
            Ok(active_call) => return Ok(active_call),
            Err(failure) => attempts.record_failure(job, &upstream, failure)?,
        }
    }
}

async fn attempt<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: &CompletionJob,
    call: EngineCall<A>,
    delivered_tokens: u64,
) -> Result<ActiveCall<A>, Failure>
where
    A: Allowances,
    V: PlacementView,
{
    let progress = CallProgress::new();
    let upstream_call = build_call(job, &call, delivered_tokens);
    let sent = cx
        .upstreams
        .send(upstream_call, job.request.body.clone(), &progress);
    let sent = timeout_at(Instant::from_std(job.deadline), sent).await;
    let Ok(sent) = sent else {
        let refusal = deadline_exceeded();
        call.running_call.note_answer(job.request.stream);
        if progress.has_written_bytes() {
            return Err(Failure::DeadlineExceeded(refusal.run_unknown()));
        }
        call.settle(0);
        return Err(Failure::DeadlineExceeded(refusal));
    };
    match sent {
        Ok(answer) if answer.status == StatusCode::OK => Ok(ActiveCall { call, answer }),
        Ok(answer) => Err(classify_error_answer(cx, answer, call).await),
        Err(e) if progress.has_written_bytes() => {
            call.running_call.note_failed();
            Err(Failure::MayHaveRun(e.to_string()))
        }
        Err(e) => {
            call.running_call.note_failed();
            call.settle(0);
            Err(Failure::NotRun(e.to_string()))
        }
    }
}

fn build_call<A>(job: &CompletionJob, call: &EngineCall<A>, delivered_tokens: u64) -> UpstreamCall
where
    A: Allowances,
{
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    insert_header(&mut headers, WORKSPACE_HEADER, &job.identity.workspace);
    if delivered_tokens > 0 {
        insert_header(&mut headers, RESUME_HEADER, &delivered_tokens.to_string());
    }
    UpstreamCall {
        addr: call.addr,
        method: Method::POST,
        path: job.request.path.clone(),
        headers,
        id_header: HeaderName::from_static(REQUEST_ID_HEADER),
        request_id: crate::request_id::fresh(),
        echo: RequestIdEcho::Required,
        connection: ConnectionKind::Reusable,
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Reads the body of an error answer and classifies the failure.
async fn classify_error_answer<A, V>(
    cx: &GateContext<A, V>,
    mut answer: UpstreamAnswer,
    call: EngineCall<A>,
) -> Failure
where
    A: Allowances,
    V: PlacementView,
{
    let status = answer.status;
    let stall_timeout = Duration::from_millis(cx.settings.limits.stall_ms);
    let not_run = answer.headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "1");
    let body = answer.body.read_all(MAX_ERROR_BYTES, stall_timeout).await;
    let reason = body.map_or_else(|e| e.to_string(), |b| error_message(&b));
    if not_run {
        call.running_call.note_full();
        call.settle(0);
        return Failure::NotRun(reason);
    }
    match status {
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            let refusal = Refusal::not_run(status, RefusalCode::InvalidRequest, reason);
            Failure::Rejected(refusal.run_unknown())
        }
        _ => {
            call.running_call.note_failed();
            Failure::MayHaveRun(format!("{status}: {reason}"))
        }
    }
}

fn error_message(body: &[u8]) -> String {
    let json = serde_json::from_slice::<Value>(body).ok();
    let message = json.as_ref().and_then(|v| v["error"]["message"].as_str());
    message.unwrap_or("the engine gave no reason").to_owned()
}

/// 502 refusal for a failed engine that may have run the request.
pub(crate) fn upstream_failed(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_GATEWAY,
        RefusalCode::UpstreamFailed,
        format!("the engine failed: {reason}"),
    )
    .run_unknown()
    .retry_after(Duration::from_secs(1))
}

/// 504 refusal for a passed deadline. It says that the request was not run: call `run_unknown` on
/// it if the request may have run.
pub(crate) fn deadline_exceeded() -> Refusal {
    Refusal::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::DeadlineExceeded,
        "the answer was not there before the deadline",
    )
    .retry_after(Duration::from_secs(1))
}

/// Prompt and output tokens in the engine's usage object; `None` if either is missing.
pub(crate) fn used_tokens(usage: &Value) -> Option<u64> {
    let prompt = usage["prompt_tokens"].as_u64()?;
    let output = usage["completion_tokens"].as_u64()?;
    Some(prompt + output)
}

/// Failure for an error while reading the answer's body, when the engine may have run the request.
pub(crate) fn body_read_failure(e: &CallError) -> Failure {
    Failure::MayHaveRun(e.to_string())
}
