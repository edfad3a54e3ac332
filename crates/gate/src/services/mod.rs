//! Plain services: routes by path prefix, calls that run at most once, idempotency keys.

mod at_most_once;
mod attempt;
pub mod balancer;
mod body;
pub mod claim_record;
pub mod claims;
pub mod headers;
mod relay;
pub mod routes;
pub mod send_permit;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{
    HttpMessage, Payload, Request, Response, StatusCode, body::BoxBody, header::HeaderMap,
};
use comfreyweir_config::catalog::Route;
use percent_encoding::percent_decode_str;

use self::{
    at_most_once::ClaimRequest,
    attempt::{CallOutcome, ServiceCall},
    body::{CallBody, MAX_BUFFERED_BYTES, StreamedBody},
    headers::IDEMPOTENCY_KEY_HEADER,
    relay::OnCallerGone,
};
use crate::{
    Refusal, RefusalCode,
    allowances::{Allowances, Charge, Reservation},
    auth::{self, CallerIdentity},
    completion,
    context::GateContext,
    placement_view::PlacementView,
};

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Serves a request to a route of the catalog.
pub async fn serve<A, V>(
    cx: &Rc<GateContext<A, V>>,
    req: &Request,
    payload: Payload,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let snapshot = cx.follower.current();
    let found = routes::find(&snapshot.catalog, req.path());
    let (name, route) = found.ok_or_else(|| not_found(req.path()))?;
    let identity = authorize(&snapshot, route, req.headers())?;
    let call = service_call(cx, req, (name, route), identity)?;
    let idempotency_key = idempotency_key(req.headers(), route)?;
    let body = read_or_stream_body(cx, req.headers(), payload, idempotency_key.is_some()).await?;
    let reservation = reserve(cx, &call, route.cost).await?;
    if route.repeatable {
        return serve_repeatable(cx, call, body, reservation).await;
    }
    let claim_request = idempotency_key.map(|key| new_claim_request(&call, key, &body));
    at_most_once::run(cx, call, body, claim_request, reservation).await
}

/// Builds the call for the upstream, without credentials and headers that must not reach it.
fn service_call<A, V>(
    cx: &GateContext<A, V>,
    req: &Request,
    (name, route): (&str, &Route),
    identity: Option<CallerIdentity>,
) -> Result<ServiceCall, Refusal> {
    let key = auth::key_of(req.headers());
    let key = key.as_ref().map(auth::CallerKey::as_str);
    let workspace = identity.as_ref().map(|i| i.workspace.as_str());
    Ok(ServiceCall {
        route: name.to_owned(),
        repeatable: route.repeatable,
        method: req.method().clone(),
        path: path_for_upstream(req, key)?,
        headers: headers::for_upstream(req.headers(), key, workspace),
        deadline: completion::deadline(req.headers(), &cx.settings.limits, Instant::now())?,
        identity,
    })
}

/// Reserves the cost of a call from its workspace's allowance; `None` for open routes and calls
/// without a cost.
async fn reserve<A, V>(
    cx: &GateContext<A, V>,
    call: &ServiceCall,
    cost: u64,
) -> Result<Option<A::Reservation>, Refusal>
where
    A: Allowances,
{
    let Some(workspace) = call.workspace().filter(|_| cost > 0) else {
        return Ok(None);
    };
    let reserved = cx.allowances.reserve(workspace, cost, call.deadline).await;
    reserved
        .map(Some)
        .map_err(crate::dispatch::shortage_refusal)
}

/// Sends a call that may be sent again. It is cancelled when its caller disconnects.
async fn serve_repeatable<A, V>(
    cx: &Rc<GateContext<A, V>>,
    call: ServiceCall,
    body: CallBody,
    reservation: Option<A::Reservation>,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    // Nothing gives the call up through the handle: when the caller disconnects, this future is
    // dropped, and the sending with it.
    let (permit, _caller_handle) = send_permit::pair();
    let charge = reservation
        .map(Reservation::charge)
        .transpose()
        .map_err(crate::dispatch::shortage_refusal)?;
    match attempt::send(cx, &call, body, &permit).await {
        CallOutcome::NotRun(refusal) => {
            if let Some(charge) = charge {
                charge.settle(0);
            }
            Err(refusal)
        }
        CallOutcome::MayHaveRun(refusal) => Err(refusal),
        CallOutcome::Answered(answer, in_flight) => {
            let (res, relay) = relay::split_answer(answer, &call.method);
            let stall_timeout = Duration::from_millis(cx.settings.limits.stall_ms);
            actix_rt::spawn(async move {
                let _in_flight = in_flight;
                relay.run(stall_timeout, OnCallerGone::Cancel).await;
            });
            Ok(res)
        }
    }
}

/// Checks the key of a caller and its access to the route. `None` on an open route, which needs no
/// key.
fn authorize(
    snapshot: &comfreyweir_store::Snapshot,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CallerIdentity>, Refusal> {
    if route.open {
        return Ok(None);
    }
    let identity = auth::authenticate(snapshot, headers)?;
    if routes::allows(route, &identity.workspace) {
        return Ok(Some(identity));
    }
    Err(Refusal::not_run(
        StatusCode::FORBIDDEN,
        RefusalCode::NotAllowed,
        format!("workspace `{}` may not use this route", identity.workspace),
    ))
}

/// Path and query for the upstream. Refuses the request if they contain the caller's key.
fn path_for_upstream(req: &Request, key: Option<&str>) -> Result<String, Refusal> {
    let uri = req.uri();
    let path = uri
        .path_and_query()
        .map_or(uri.path(), |path| path.as_str());
    // Upstreams decode the path, so a percent-encoded key has to be found too.
    let decoded: Vec<u8> = percent_decode_str(path).collect();
    let contains_key = key.is_some_and(|key| {
        headers::contains_bytes(path.as_bytes(), key.as_bytes())
            || headers::contains_bytes(&decoded, key.as_bytes())
    });
    if !contains_key {
        return Ok(path.to_owned());
    }
    Err(Refusal::not_run(
        StatusCode::BAD_REQUEST,
        RefusalCode::InvalidRequest,
        "the key must be sent in a header and not in the address",
    ))
}

/// The caller's idempotency key. It is ignored on a repeatable route, whose calls may run again.
fn idempotency_key<'a>(headers: &'a HeaderMap, route: &Route) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .filter(|_| !route.repeatable)
    else {
        return Ok(None);
    };
    let key = value.to_str().ok().map(str::trim);
    let usable = key.filter(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    let usable = usable.ok_or_else(|| {
        Refusal::not_run(
            StatusCode::BAD_REQUEST,
            RefusalCode::InvalidRequest,
            format!("the idempotency key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} characters"),
        )
    })?;
    Ok(Some(usable))
}

/// Buffers the body if it is needed for the digest of the call or small enough to be sent again;
/// otherwise streams it.
async fn read_or_stream_body<A, V>(
    cx: &GateContext<A, V>,
    headers: &HeaderMap,
    payload: Payload,
    has_idempotency_key: bool,
) -> Result<CallBody, Refusal> {
    let limits = &cx.settings.limits;
    let stall_timeout = Duration::from_millis(limits.stall_ms);
    let is_small = crate::body::declared_length(headers).is_some_and(|n| n <= MAX_BUFFERED_BYTES);
    if has_idempotency_key || is_small || !body::has_body(headers) {
        let bytes =
            crate::body::read_any_encoding(headers, payload, limits.body_bytes, stall_timeout)
                .await?;
        return Ok(CallBody::Buffered(bytes));
    }
    Ok(CallBody::Streamed(Some(StreamedBody::new(
        payload,
        headers,
        stall_timeout,
    ))))
}

fn new_claim_request(call: &ServiceCall, key: &str, body: &CallBody) -> ClaimRequest {
    let bytes = match body {
        CallBody::Buffered(bytes) => bytes.as_ref(),
        // A body is never streamed when the call has an idempotency key.
        CallBody::Streamed(_) => &[],
    };
    ClaimRequest {
        record_key: claim_record::record_key(
            call.workspace().unwrap_or_default(),
            &call.route,
            key,
        ),
        call_digest: claim_record::call_digest(call.method.as_str(), &call.path, bytes),
    }
}

fn not_found(path: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        RefusalCode::NotFound,
        format!("nothing is served at {path}"),
    )
}
