//! Plain services: routes by path prefix, calls that run at most once, idempotency keys.

pub mod claim;
pub mod claims;
pub mod routes;

use std::rc::Rc;

use actix_http::{Payload, Request, Response, StatusCode, body::BoxBody};

use crate::{Code, Refusal, allowances::Allowances, context::Cx, placement_view::PlacementView};

/// Answers a request of a route.
#[allow(clippy::unused_async)]
pub async fn serve<A, V>(
    _cx: &Rc<Cx<A, V>>,
    req: &Request,
    _body: Payload,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    Err(Refusal::not_run(
        StatusCode::NOT_FOUND,
        Code::NotFound,
        format!("nothing is served at {}", req.path()),
    ))
}
