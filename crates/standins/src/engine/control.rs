//! Routes of an engine: inference, orders, reports and cache events for its clients, and the
//! control address for tests.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use comfreyweir_external::engine::{Order, OrderRefusal};
use tokio::time;

use super::{
    EngineHost,
    completion::Endpoint,
    inference,
    settings::Faults,
    state::{self, EngineState, OrderError},
};
use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
    service::inbound_answer,
    weights,
};

/// Handles a request to the engine itself.
pub(super) async fn handle(state: Rc<RefCell<EngineState>>, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::POST, "/v1/chat/completions") => {
            inference::serve(state, Endpoint::Chat, req).await
        }
        (Method::POST, "/v1/completions") => inference::serve(state, Endpoint::Text, req).await,
        (Method::POST, "/control/orders") => handle_order(state, &mut req).await,
        (Method::GET, "/control/report") => {
            let state = state.borrow();
            state.record.borrow_mut().reports += 1;
            http::json(StatusCode::OK, &state.report())
        }
        (Method::GET, "/control/cache-events") => {
            let after = http::query_number(&req, "after").unwrap_or(0);
            http::json(StatusCode::OK, &state.borrow().cache.events(after))
        }
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

async fn handle_order(state: Rc<RefCell<EngineState>>, req: &mut Request) -> Response<BoxBody> {
    let order: Order = match http::read_json(req).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    let faults = Rc::clone(&state.borrow().faults);
    let delay_ms = faults.borrow().delay_orders_ms;
    // In a task of its own, so that a delayed order is processed even if its sender disconnects.
    let processing = actix_rt::spawn(async move {
        time::sleep(Duration::from_millis(delay_ms)).await;
        state::process_order(&state, &order)
    });
    let result = processing.await;
    let loses_answer = {
        let mut faults = faults.borrow_mut();
        let loses_answer = faults.lose_order_answers > 0;
        faults.lose_order_answers = faults.lose_order_answers.saturating_sub(1);
        loses_answer
    };
    if loses_answer {
        http::reset_handle(req).reset();
    }
    match result {
        Ok(Ok(())) => http::empty(StatusCode::ACCEPTED),
        Ok(Err(OrderError::Fenced(term))) => {
            let reason = "a higher term was seen".to_owned();
            http::json(StatusCode::CONFLICT, &OrderRefusal { term, reason })
        }
        Ok(Err(OrderError::Refused(reason))) => {
            http::error(StatusCode::UNPROCESSABLE_ENTITY, &reason)
        }
        Err(_) => http::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Serves the control address: `/test/record`, `/test/inbound`, `/test/faults`, `/test/weights`,
/// `/test/crash` and `/test/start`.
pub(super) fn bind(addr: SocketAddr, host: &Rc<EngineHost>) -> Result<Server, StandinError> {
    let host = Rc::clone(host);
    http::bind(addr, ServerOptions::default(), move |req| {
        let host = Rc::clone(&host);
        async move { handle_control(&host, req).await }
    })
}

async fn handle_control(host: &Rc<EngineHost>, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::GET, "/test/record") => http::json(StatusCode::OK, &host.record()),
        (Method::GET, "/test/inbound") => inbound_answer(&host.inbound, &req),
        (Method::GET, "/test/weights") => {
            let answer = serde_json::json!({
                "most_models": host.store.most_models(),
                "most_adapters": host.store.most_adapters(),
            });
            http::json(StatusCode::OK, &answer)
        }
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                *host.faults.borrow_mut() = faults;
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        (Method::POST, "/test/weights") => {
            match http::read_json::<weights::Settings>(&mut req).await {
                Ok(settings) => {
                    host.store.set(settings);
                    http::empty(StatusCode::OK)
                }
                Err(answer) => answer,
            }
        }
        (Method::POST, "/test/crash") => {
            host.crash();
            http::empty(StatusCode::OK)
        }
        (Method::POST, "/test/start") => match host.start() {
            Ok(()) => http::empty(StatusCode::OK),
            Err(e) => http::error(StatusCode::CONFLICT, &e.to_string()),
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}
