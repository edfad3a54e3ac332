//! Orders and reports for planners, and the control address for tests.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use comfreyweir_external::engine::{Order, OrderRefusal};
use tokio::time;

use super::{
    Shared,
    completion::Style,
    inference,
    settings::Faults,
    state::{self, OrderError, State},
};
use crate::{
    StandinError,
    http::{self, Options, Server},
    service::inbound_answer,
    weights,
};

/// Serves the engine's own paths.
pub(super) async fn handle(state: Rc<RefCell<State>>, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::POST, "/v1/chat/completions") => inference::serve(state, Style::Chat, req).await,
        (Method::POST, "/v1/completions") => inference::serve(state, Style::Text, req).await,
        (Method::POST, "/control/orders") => order(state, &mut req).await,
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

async fn order(state: Rc<RefCell<State>>, req: &mut Request) -> Response<BoxBody> {
    let order: Order = match http::read_json(req).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    let faults = Rc::clone(&state.borrow().faults);
    let delay_ms = faults.borrow().delay_orders_ms;
    // An order under way arrives even when its sender has given it up.
    let taken = actix_rt::spawn(async move {
        time::sleep(Duration::from_millis(delay_ms)).await;
        state::take_order(&state, &order)
    });
    let taken = taken.await;
    let lost = {
        let mut faults = faults.borrow_mut();
        let lost = faults.lose_order_answers > 0;
        faults.lose_order_answers = faults.lose_order_answers.saturating_sub(1);
        lost
    };
    if lost {
        http::breaker(req).cut();
    }
    match taken {
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

/// Serves `/test/record`, `/test/inbound`, `/test/faults`, `/test/weights`, `/test/crash` and
/// `/test/start`.
pub(super) fn bind(addr: SocketAddr, shared: &Rc<Shared>) -> Result<Server, StandinError> {
    let shared = Rc::clone(shared);
    http::bind(addr, Options::default(), move |req| {
        let shared = Rc::clone(&shared);
        async move { control(&shared, req).await }
    })
}

async fn control(shared: &Rc<Shared>, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::GET, "/test/record") => http::json(StatusCode::OK, &shared.record()),
        (Method::GET, "/test/inbound") => inbound_answer(&shared.inbound, &req),
        (Method::GET, "/test/weights") => {
            let answer = serde_json::json!({
                "most_models": shared.store.most_models(),
                "most_adapters": shared.store.most_adapters(),
            });
            http::json(StatusCode::OK, &answer)
        }
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                *shared.faults.borrow_mut() = faults;
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        (Method::POST, "/test/weights") => {
            match http::read_json::<weights::Settings>(&mut req).await {
                Ok(settings) => {
                    shared.store.set(settings);
                    http::empty(StatusCode::OK)
                }
                Err(answer) => answer,
            }
        }
        (Method::POST, "/test/crash") => {
            shared.crash();
            http::empty(StatusCode::OK)
        }
        (Method::POST, "/test/start") => match shared.start() {
            Ok(()) => http::empty(StatusCode::OK),
            Err(e) => http::error(StatusCode::CONFLICT, &e.to_string()),
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}
