//! Request path: admission, choice of an upstream, sending with retries, relaying the answer.

mod admit;
mod admitted;
mod allowance;
mod attempt;
mod pick;
mod prompt_cost;
mod refusal;
mod relay;
mod resumption;
mod retry;
mod room;
mod stopping;
mod trial;

use std::{convert::Infallible, future::Future, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, HttpMessage, Payload, Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderName, HeaderValue},
};
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::request::Artifact;
use comfreyweir_http::{
    body::{attach_guard, declared_length},
    caller::CallerConnection,
    shutdown::Phase,
};
use tokio::time::sleep;

pub(crate) use self::{admitted::AdmittedRequest, refusal::Refusal, resumption::OriginQuery};
use crate::{platform::Platform, state::EntryContext};

/// Time after the end of a caller's input for which a request that has not been sent yet still waits. Most
/// callers whose input has ended have left, and their requests must not reach an upstream half a second
/// later.
const MAX_UNSENT_TIME: Duration = Duration::from_millis(350);

/// Serves one request of a caller. The HTTP server drops the future when the connection closes.
pub(crate) async fn serve<P>(
    cx: Rc<EntryContext<P>>,
    mut req: Request,
) -> Result<Response<BoxBody>, Infallible>
where
    P: Platform,
{
    let arrived = cx.now();
    let payload = req.take_payload();
    let caller = req.conn_data::<CallerConnection>().cloned();
    let guard = (
        cx.shutdown.track_request(),
        caller.as_ref().map(CallerConnection::begin_request),
    );
    if let Some(caller) = &caller {
        caller.limit_body(cx.config().limits.body_bytes);
        if matches!(payload, Payload::None) {
            caller.end_body();
        } else {
            caller.expect_body(body_length(&req));
        }
    }
    let declared = cx.platform.parse_declared(req.headers());
    let id = declared.id.clone();
    let artifact = declared.artifact.as_ref().map(Artifact::key);
    let prompt = declared.prompt_text();
    let answer = answer(&cx, &req, payload, declared, caller.clone());
    let mut res = match unless_failed(caller.as_ref(), answer).await {
        Ok(res) => res,
        Err(Unanswered::CallerLeft) => {
            log_disconnected(&cx, id.as_deref(), arrived);
            return Ok(close_unanswered(caller.as_ref()));
        }
        Err(Unanswered::Refused(refusal)) => {
            let request = (id.as_deref(), artifact.as_deref(), prompt.as_str());
            log_refused(&cx, request, &refusal, arrived);
            refusal.to_response()
        }
    };
    echo_id(&cx, &mut res, id.as_deref());
    if cx.shutdown.phase() != Phase::Serving {
        res.head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(res.map_body(|_, body| attach_guard(body, guard)))
}

/// Length of a request's body, if the caller declares it.
fn body_length(req: &Request) -> Option<u64> {
    let is_encoded = req.headers().contains_key(header::TRANSFER_ENCODING);
    declared_length(req.headers()).filter(|_| !is_encoded)
}

/// Why a request gets no answer of an upstream.
enum Unanswered {
    Refused(Refusal),
    CallerLeft,
}

impl From<Refusal> for Unanswered {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

async fn answer<P>(
    cx: &Rc<EntryContext<P>>,
    req: &Request,
    payload: actix_http::Payload,
    declared: comfreyweir_fleet::request::RequestMetadata,
    caller: Option<CallerConnection>,
) -> Result<Response<BoxBody>, Unanswered>
where
    P: Platform,
{
    let mut request = tokio::select! {
        admitted = admit::admit(cx, req, payload, declared) => admitted?,
        () = input_ended(caller.as_ref()) => return Err(not_sent_in_time().into()),
    };
    request.caller = caller;
    let request = Rc::new(request);
    let sending = retry::send_with_retries(cx, &request);
    let answered = match &request.caller {
        Some(caller) if request.ends_with_input() => tokio::select! {
            answered = sending => answered,
            () = caller.closed() => return Err(Unanswered::CallerLeft),
        },
        caller => tokio::select! {
            answered = sending => answered,
            () = input_ended_before_sending(caller.as_ref(), &request) => Err(not_sent_in_time()),
        },
    };
    if let Err(refusal) = &answered
        && !refusal.may_have_run
    {
        request.refund_allowance(cx);
    }
    Ok(answered?)
}

/// Completes when the caller's input has ended [`MAX_UNSENT_TIME`] ago; never if the caller is not known.
async fn input_ended(caller: Option<&CallerConnection>) {
    let Some(caller) = caller else {
        return std::future::pending().await;
    };
    caller.closed().await;
    sleep(MAX_UNSENT_TIME).await;
}

/// Like [`input_ended`], for a request that has not been sent by then; never for another one.
async fn input_ended_before_sending(caller: Option<&CallerConnection>, request: &AdmittedRequest) {
    input_ended(caller).await;
    if !request.sent_to.borrow().is_empty() {
        std::future::pending::<()>().await;
    }
}

fn not_sent_in_time() -> Refusal {
    let reason = "the caller's input ended, and the request could not be sent soon after";
    Refusal::not_run(reason, MAX_UNSENT_TIME)
}

/// Waits for the answer unless the caller's connection fails before.
async fn unless_failed<T>(
    caller: Option<&CallerConnection>,
    answer: impl Future<Output = Result<T, Unanswered>>,
) -> Result<T, Unanswered> {
    let Some(caller) = caller else {
        return answer.await;
    };
    tokio::select! {
        answered = answer => answered,
        () = caller.failed() => Err(Unanswered::CallerLeft),
    }
}

fn echo_id<P>(cx: &EntryContext<P>, res: &mut Response<BoxBody>, id: Option<&str>)
where
    P: Platform,
{
    let name: &HeaderName = &cx.platform.headers().request_id;
    if let Some(value) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        res.headers_mut().insert(name.clone(), value);
    }
}

fn log_refused<P>(
    cx: &EntryContext<P>,
    (id, artifact, prompt): (Option<&str>, Option<&str>, &str),
    refusal: &Refusal,
    arrived: std::time::Instant,
) where
    P: Platform,
{
    let now = cx.now();
    let status = refusal.status.as_u16();
    cx.metrics.count_refusal(status);
    if !cx.request_log_limiter.try_acquire(now) {
        return;
    }
    let request_id = id.unwrap_or_default();
    let ms = whole_millis(now.saturating_duration_since(arrived));
    let retry_ms = refusal.retry_after.map_or(0, whole_millis);
    let placement = cx.placement.borrow();
    // -1 stands for an age that is not known.
    let age_ms = |age: Option<std::time::Duration>| age.map_or(-1, |a| a.as_millis().cast_signed());
    spdlog::info!("request refused", kv: {
        request_id, status, ms, may_have_run = refusal.may_have_run, retry_ms,
        reason = refusal.reason.as_str(), artifact = artifact.unwrap_or_default(),
        prompt, config = cx.config().version, config_age_ms = age_ms(cx.config_age(now)),
        upstreams = cx.directory.borrow().revision(),
        upstreams_age_ms = age_ms(cx.directory.borrow().age(now)),
        placement = placement.fence_and_version().1, fence = placement.fence_and_version().0,
        placement_age_ms = age_ms(placement.age(now))
    });
}

fn log_disconnected<P>(cx: &EntryContext<P>, id: Option<&str>, arrived: std::time::Instant)
where
    P: Platform,
{
    if !cx.request_log_limiter.try_acquire(cx.now()) {
        return;
    }
    let request_id = id.unwrap_or_default();
    let ms = whole_millis(cx.now().saturating_duration_since(arrived));
    spdlog::info!("caller left before the answer", kv: { request_id, ms });
}

/// Closes the caller's connection without a response: a status would promise that the request has not
/// run, or that it is unknown, to a caller that may still read.
fn close_unanswered(caller: Option<&CallerConnection>) -> Response<BoxBody> {
    if let Some(caller) = caller {
        caller.abort();
    }
    // Ends the handler; it is not written.
    let mut res = Response::new(StatusCode::BAD_GATEWAY).map_into_boxed_body();
    res.head_mut().set_connection_type(ConnectionType::Close);
    res
}
