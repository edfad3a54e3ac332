//! One call of an engine, and trying again on another.
//!
//! A completion has no side effects, so that it may run again. What the caller is told stays
//! true: once a first byte may have reached an engine, a refusal says that the run is unknown.

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

use super::Job;
use crate::{
    Code, Refusal,
    allowances::Allowances,
    context::Cx,
    dispatch::{self, Run},
    placement_view::PlacementView,
    upstream::{Answer, Call, CallError, Connection, Echo, Track},
};

/// Engines that one request is sent to at most.
pub(crate) const MAX_TRIES: usize = 3;
/// Largest error body that is read from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 1 << 16;

/// An engine that has begun to answer.
pub(crate) struct Opened<A>
where
    A: Allowances,
{
    pub(crate) run: Run<A>,
    pub(crate) answer: Answer,
}

/// What engines did with a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries {
    failed: usize,
    called: bool,
    may_have_run: bool,
}

/// Why an engine did not answer.
pub(crate) enum Failure {
    /// The engine has not run the request.
    NotRun(String),
    /// The engine may have run the request.
    MayHaveRun(String),
    /// The engine says that the request is wrong.
    Rejected(Refusal),
    /// The deadline has passed.
    Late(Refusal),
}

impl Tries {
    /// Notes a failure that may be followed by another try, or gives the refusal.
    pub(crate) fn note(
        &mut self,
        job: &Job,
        upstream: &str,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.called = true;
        let request_id = job.request_id.as_str();
        match failure {
            Failure::NotRun(reason) => {
                warn!("engine did not run a request", kv: { request_id, upstream, reason });
                Ok(())
            }
            Failure::MayHaveRun(reason) => {
                warn!("engine failed a request", kv: { request_id, upstream, reason });
                self.may_have_run = true;
                self.failed += 1;
                if self.failed < MAX_TRIES {
                    return Ok(());
                }
                Err(self.judge(upstream_failed(&reason)))
            }
            Failure::Rejected(refusal) | Failure::Late(refusal) => Err(self.judge(refusal)),
        }
    }

    /// Makes a refusal true for all tries together.
    pub(crate) fn judge(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.run_unknown()
        } else {
            refusal
        }
    }
}

/// Finds an engine that begins to answer. `done` output tokens are with the caller already.
pub(crate) async fn open<A, V>(
    cx: &Rc<Cx<A, V>>,
    job: &Job,
    done: u64,
    tries: &mut Tries,
) -> Result<Opened<A>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    loop {
        let acquired = dispatch::acquire(cx, job, done, tries.called).await;
        let run = acquired.map_err(|refusal| tries.judge(refusal))?;
        let upstream = run.upstream.clone();
        match attempt(cx, job, run, done).await {
            Ok(opened) => return Ok(opened),
            Err(failure) => tries.note(job, &upstream, failure)?,
        }
    }
}

async fn attempt<A, V>(
    cx: &Rc<Cx<A, V>>,
    job: &Job,
    run: Run<A>,
    done: u64,
) -> Result<Opened<A>, Failure>
where
    A: Allowances,
    V: PlacementView,
{
    let track = Track::new();
    let call = call(job, &run, done);
    let sent = cx.upstreams.send(call, job.ask.body.clone(), &track);
    let sent = timeout_at(Instant::from_std(job.deadline), sent).await;
    let Ok(sent) = sent else {
        let late = late();
        run.slot.note_answer(job.ask.stream);
        if track.is_written() {
            return Err(Failure::Late(late.run_unknown()));
        }
        run.settle(0);
        return Err(Failure::Late(late));
    };
    match sent {
        Ok(answer) if answer.status == StatusCode::OK => Ok(Opened { run, answer }),
        Ok(answer) => Err(refused(cx, answer, run).await),
        Err(e) if track.is_written() => {
            run.slot.note_failed();
            Err(Failure::MayHaveRun(e.to_string()))
        }
        Err(e) => {
            run.slot.note_failed();
            run.settle(0);
            Err(Failure::NotRun(e.to_string()))
        }
    }
}

fn call<A>(job: &Job, run: &Run<A>, done: u64) -> Call
where
    A: Allowances,
{
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    insert(&mut headers, WORKSPACE_HEADER, &job.identity.workspace);
    if done > 0 {
        insert(&mut headers, RESUME_HEADER, &done.to_string());
    }
    Call {
        addr: run.addr,
        method: Method::POST,
        path: job.ask.path.clone(),
        headers,
        id_header: HeaderName::from_static(REQUEST_ID_HEADER),
        request_id: crate::request_id::fresh(),
        echo: Echo::Required,
        connection: Connection::Reusable,
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Judges an answer that is not a success.
async fn refused<A, V>(cx: &Cx<A, V>, mut answer: Answer, run: Run<A>) -> Failure
where
    A: Allowances,
    V: PlacementView,
{
    let status = answer.status;
    let stall = Duration::from_millis(cx.settings.limits.stall_ms);
    let not_run = answer.headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "1");
    let body = answer.body.read_all(MAX_ERROR_BYTES, stall).await;
    let reason = body.map_or_else(|e| e.to_string(), |b| error_message(&b));
    if not_run {
        run.slot.note_full();
        run.settle(0);
        return Failure::NotRun(reason);
    }
    match status {
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            let refusal = Refusal::not_run(status, Code::InvalidRequest, reason);
            Failure::Rejected(refusal.run_unknown())
        }
        _ => {
            run.slot.note_failed();
            Failure::MayHaveRun(format!("{status}: {reason}"))
        }
    }
}

fn error_message(body: &[u8]) -> String {
    let json = serde_json::from_slice::<Value>(body).ok();
    let message = json.as_ref().and_then(|v| v["error"]["message"].as_str());
    message.unwrap_or("the engine gave no reason").to_owned()
}

/// Refusal when engines have failed.
pub(crate) fn upstream_failed(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_GATEWAY,
        Code::UpstreamFailed,
        format!("the engine failed: {reason}"),
    )
    .run_unknown()
    .retry_after(Duration::from_secs(1))
}

/// Refusal when the deadline has passed.
pub(crate) fn late() -> Refusal {
    Refusal::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        Code::DeadlineExceeded,
        "the answer was not there before the deadline",
    )
    .retry_after(Duration::from_secs(1))
}

/// Tokens that the engine says were used.
pub(crate) fn used_tokens(usage: &Value) -> Option<u64> {
    let prompt = usage["prompt_tokens"].as_u64()?;
    let output = usage["completion_tokens"].as_u64()?;
    Some(prompt + output)
}

/// Whether a failed call leaves it open if the request ran.
pub(crate) fn body_failure(e: &CallError) -> Failure {
    Failure::MayHaveRun(e.to_string())
}
