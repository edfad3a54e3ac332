//! Control address of the key-value service.

use std::net::SocketAddr;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};

use super::{faults::Faults, handler::RequestHandler};
use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
};

/// Serves `/test/counts`, `/test/keys`, `/test/value/KEY` and `/test/faults` on `addr`.
pub(super) fn bind(addr: SocketAddr, handler: &RequestHandler) -> Result<Server, StandinError> {
    let handler = handler.clone();
    http::bind(addr, ServerOptions::default(), move |req| {
        let handler = handler.clone();
        async move { handle(&handler, req).await }
    })
}

async fn handle(handler: &RequestHandler, mut req: Request) -> Response<BoxBody> {
    let path = req.path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/test/counts") => http::json(StatusCode::OK, &handler.state.borrow().counts),
        (Method::GET, "/test/keys") => http::json(StatusCode::OK, &handler.state.borrow().keys()),
        (Method::GET, "/test/faults") => http::json(StatusCode::OK, &handler.faults()),
        (Method::GET, path) => stored_value(handler, path),
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                handler.set_faults(faults);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

fn stored_value(handler: &RequestHandler, path: &str) -> Response<BoxBody> {
    let key = path.strip_prefix("/test/value/");
    let found = key.and_then(|key| handler.state.borrow().read(key));
    match found {
        Some((_, value)) => Response::build(StatusCode::OK)
            .body(value)
            .map_into_boxed_body(),
        None => http::empty(StatusCode::NOT_FOUND),
    }
}
