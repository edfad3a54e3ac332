//! Control address of the service.

use std::net::SocketAddr;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};

use super::{faults::Faults, handler::Service};
use crate::{
    StandinError,
    http::{self, Options, Server},
};

/// Serves `/test/counts`, `/test/keys`, `/test/value/KEY` and `/test/faults` on `addr`.
pub(super) fn bind(addr: SocketAddr, service: &Service) -> Result<Server, StandinError> {
    let service = service.clone();
    http::bind(addr, Options::default(), move |req| {
        let service = service.clone();
        async move { handle(&service, req).await }
    })
}

async fn handle(service: &Service, mut req: Request) -> Response<BoxBody> {
    let path = req.path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/test/counts") => http::json(StatusCode::OK, &service.state.borrow().counts),
        (Method::GET, "/test/keys") => http::json(StatusCode::OK, &service.state.borrow().keys()),
        (Method::GET, "/test/faults") => http::json(StatusCode::OK, &service.faults()),
        (Method::GET, path) => value(service, path),
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                service.set_faults(faults);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

fn value(service: &Service, path: &str) -> Response<BoxBody> {
    let key = path.strip_prefix("/test/value/");
    let found = key.and_then(|key| service.state.borrow().read(key));
    match found {
        Some((_, value)) => Response::build(StatusCode::OK)
            .body(value)
            .map_into_boxed_body(),
        None => http::empty(StatusCode::NOT_FOUND),
    }
}
