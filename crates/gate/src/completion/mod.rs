//! Completions by model engines: `POST /v1/chat/completions` and `/v1/completions`.

mod attempt;
mod buffered;
mod chunk;
mod events;
mod request;
mod stream;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{HttpMessage, Payload, Request, Response, body::BoxBody};

use self::request::CompletionRequest;
pub use self::request::DEADLINE_HEADER;
pub(crate) use self::{attempt::deadline_exceeded, request::deadline};
use crate::{
    Refusal,
    allowances::Allowances,
    auth::{self, CallerIdentity},
    body,
    context::GateContext,
    placement_view::PlacementView,
};

/// An authenticated and checked completion request that is being served.
#[derive(Clone, Debug)]
pub(crate) struct CompletionJob {
    pub(crate) identity: CallerIdentity,
    pub(crate) request: CompletionRequest,
    pub(crate) arrived: Instant,
    /// Deadline for the whole answer, or for the first token of a stream.
    pub(crate) deadline: Instant,
    pub(crate) request_id: String,
}

/// Authenticates, checks and serves a completion request.
pub(crate) async fn serve<A, V>(
    cx: &Rc<GateContext<A, V>>,
    req: &Request,
    payload: Payload,
    request_id: &str,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let arrived = Instant::now();
    let limits = &cx.settings.limits;
    let snapshot = cx.follower.current();
    let identity = auth::authenticate(&snapshot, req.headers())?;
    let deadline = request::deadline(req.headers(), limits, arrived)?;
    let stall_timeout = Duration::from_millis(limits.stall_ms);
    let body = body::read(req.headers(), payload, limits.body_bytes, stall_timeout).await?;
    let completion_request =
        request::parse(req.path(), &body, &snapshot.catalog, &identity.workspace)?;
    let job = CompletionJob {
        identity,
        request: completion_request,
        arrived,
        deadline,
        request_id: request_id.to_owned(),
    };
    if job.request.stream {
        stream::serve(cx, job).await
    } else {
        buffered::serve(cx, &job).await
    }
}
