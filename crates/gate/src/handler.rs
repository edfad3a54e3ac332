//! Entry point of callers' requests: dispatch by path, and the log line of each request.

use std::{convert::Infallible, rc::Rc, time::Duration};

use actix_http::{
    Method, Payload, Request, Response, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_external::engine::REQUEST_ID_HEADER;
use comfreyweir_store::Freshness;
use percent_encoding::percent_decode_str;

use crate::{
    Refusal, RefusalCode, allowances::Allowances, caller::CallerConnection, completion,
    context::GateContext, models, placement_view::PlacementView, request_id,
    request_log::RequestLog, services, shutdown::Phase,
};

/// Answers a caller's request. The future is dropped when the caller's connection ends.
pub(crate) async fn serve<A, V>(
    cx: Rc<GateContext<A, V>>,
    mut req: Request,
) -> Result<Response<BoxBody>, Infallible>
where
    A: Allowances,
    V: PlacementView,
{
    let body = req.take_payload();
    let caller = req.conn_data::<CallerConnection>().cloned();
    let guard = (
        cx.stopping.track_request(),
        caller.as_ref().map(CallerConnection::begin_request),
    );
    let request_id = request_id::fresh();
    let request_log = RequestLog::new(&cx, &req, &request_id);
    let response = route(&cx, &req, body, &request_id);
    let result = match caller {
        Some(caller) => tokio::select! {
            result = response => result,
            () = caller.closed() => {
                request_log.log_caller_left();
                caller.abort();
                return Ok(unwritten_response());
            }
        },
        None => response.await,
    };
    let mut res = match result {
        Ok(res) => {
            request_log.log_response(&res);
            res
        }
        Err(refusal) => {
            request_log.record_refusal(&cx, &refusal);
            refusal.to_response()
        }
    };
    if let Ok(id) = HeaderValue::from_str(&request_id) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        res.headers_mut().insert(name, id);
    }
    if cx.stopping.phase() != Phase::Serving {
        res.head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(res.map_body(|_, body| crate::body::attach_guard(body, guard)))
}

async fn route<A, V>(
    cx: &Rc<GateContext<A, V>>,
    req: &Request,
    body: Payload,
    request_id: &str,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    check_config_freshness(cx)?;
    check_path(req.path())?;
    match req.path() {
        "/v1/chat/completions" | "/v1/completions" => {
            check_method(req, &Method::POST)?;
            completion::serve(cx, req, body, request_id).await
        }
        "/v1/models" => {
            check_method(req, &Method::GET)?;
            models::serve(cx, req)
        }
        _ => services::serve(cx, req, body).await,
    }
}

/// Refuses with 503 while this instance is cut off from the key-value service and all peers. It
/// cannot learn then that a key has been withdrawn, so it must not admit any request.
pub(crate) fn check_config_freshness<A, V>(cx: &GateContext<A, V>) -> Result<(), Refusal> {
    if cx.follower.freshness(SystemClock.now()) != Freshness::CutOff {
        return Ok(());
    }
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::CutOff,
        "this instance is cut off from its configuration: send the request again, so that \
         another instance takes it",
    );
    Err(refusal.retry_after(Duration::from_secs(1)))
}

/// Refuses paths with `.` or `..` segments, also percent-encoded ones. An upstream that resolves
/// them would serve a resource outside the route's prefix.
fn check_path(path: &str) -> Result<(), Refusal> {
    let is_dot_segment = |segment: &str| {
        let decoded: Vec<u8> = percent_decode_str(segment).collect();
        decoded == b"." || decoded == b".."
    };
    if !path.split('/').any(is_dot_segment) {
        return Ok(());
    }
    Err(Refusal::not_run(
        StatusCode::BAD_REQUEST,
        RefusalCode::InvalidRequest,
        "the path must not contain the segments `.` and `..`",
    ))
}

fn check_method(req: &Request, method: &Method) -> Result<(), Refusal> {
    if req.method() == method {
        return Ok(());
    }
    Err(Refusal::not_run(
        StatusCode::METHOD_NOT_ALLOWED,
        RefusalCode::MethodNotAllowed,
        format!("{} takes {method} only", req.path()),
    ))
}

/// Response that ends the handler of an aborted connection; it is not written.
fn unwritten_response() -> Response<BoxBody> {
    let mut res = Response::new(StatusCode::BAD_GATEWAY).map_into_boxed_body();
    res.head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
    res
}
