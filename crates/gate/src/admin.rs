//! Answers on the admin port: health checks, metrics and the status page.

use actix_http::{
    Method, Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_store::Freshness;

use crate::{
    allowances::Allowances, context::GateContext, placement_view::PlacementView, shutdown::Phase,
};

/// Answers a request of the admin port.
pub(crate) fn serve<A, V>(cx: &GateContext<A, V>, req: &Request) -> Response<BoxBody>
where
    A: Allowances,
    V: PlacementView,
{
    if req.method() != Method::GET && req.method() != Method::HEAD {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
    }
    match req.path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => readiness_response(cx),
        "/metrics" => metrics_response(cx),
        "/status" => status_response(cx),
        _ => text_response(
            StatusCode::NOT_FOUND,
            "try /healthz, /readyz, /metrics or /status\n",
        ),
    }
}

fn readiness_response<A, V>(cx: &GateContext<A, V>) -> Response<BoxBody>
where
    A: Allowances,
{
    match unready_reason(cx) {
        None => text_response(StatusCode::OK, "ready\n"),
        Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

/// Why the gate should get no requests from the load balancer, or `None` if it is ready.
fn unready_reason<A, V>(cx: &GateContext<A, V>) -> Option<&'static str>
where
    A: Allowances,
{
    if cx.stopping.phase() != Phase::Serving {
        return Some("stopping\n");
    }
    if cx.follower.current().revision == 0 {
        return Some("no configuration yet\n");
    }
    if cx.follower.freshness(SystemClock.now()) == Freshness::CutOff {
        return Some("cut off from the key-value service and from all peers\n");
    }
    if !cx.allowances.is_ready() {
        return Some("no share of the allowances yet\n");
    }
    None
}

fn metrics_response<A, V>(cx: &GateContext<A, V>) -> Response<BoxBody> {
    let in_flight = i64::try_from(cx.stopping.in_flight()).unwrap_or(i64::MAX);
    cx.metrics.in_flight.set(in_flight);
    let waiting = i64::try_from(cx.queues.waiting()).unwrap_or(i64::MAX);
    cx.metrics.waiting.set(waiting);
    let mut res = text_response(StatusCode::OK, cx.metrics.encode());
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8"),
    );
    res
}

fn status_response<A, V>(cx: &GateContext<A, V>) -> Response<BoxBody> {
    let mut res = text_response(StatusCode::OK, cx.status.to_json().to_string());
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    res
}

fn text_response<T>(status: StatusCode, body: T) -> Response<BoxBody>
where
    T: Into<String>,
{
    let mut res = Response::build(status);
    res.insert_header((
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    ));
    res.body(body.into()).map_into_boxed_body()
}
