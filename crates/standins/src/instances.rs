//! The platform's list of instances. A change becomes visible to readers only after a set lag.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use comfreyweir_external::instances::{InstanceInfo, InstanceList};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
};

/// Settings of a list of instances.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which the list is served.
    pub listen: SocketAddr,
    /// Address of the `/test/` paths; none are served if it is not set.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Time until a change becomes visible, in ms.
    #[serde(default)]
    pub lag_ms: u64,
    /// Initial entries, visible at once.
    #[serde(default)]
    pub instances: Vec<InstanceInfo>,
}

/// A running list of instances. Dropping it closes its ports.
pub struct InstanceListService {
    server: Server,
    control: Option<Server>,
    state: Rc<RefCell<State>>,
}

struct State {
    visible: InstanceList,
    newest: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
    outage: bool,
    reads: u64,
}

/// Faults and lag, as set at run time.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every read is answered with status 503.
    pub outage: bool,
    /// Time until a later change becomes visible, in ms.
    pub lag_ms: u64,
}

impl State {
    fn set(&mut self, list: InstanceList) {
        self.newest = list.clone();
        self.pending.push_back((Instant::now() + self.lag, list));
    }

    fn visible_list(&mut self) -> &InstanceList {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
        &self.visible
    }
}

/// Starts serving a list of instances.
pub fn spawn(settings: Settings) -> Result<InstanceListService, StandinError> {
    let list = InstanceList {
        instances: settings.instances,
    };
    let state = Rc::new(RefCell::new(State {
        visible: list.clone(),
        newest: list,
        pending: VecDeque::new(),
        lag: Duration::from_millis(settings.lag_ms),
        outage: false,
        reads: 0,
    }));
    let shared = Rc::clone(&state);
    let server = http::bind(settings.listen, ServerOptions::default(), move |req| {
        let state = Rc::clone(&shared);
        async move { answer_read(&state, &req) }
    })?;
    let control = match settings.control {
        Some(addr) => Some(bind_control(addr, Rc::clone(&state))?),
        None => None,
    };
    Ok(InstanceListService {
        server,
        control,
        state,
    })
}

impl InstanceListService {
    /// Address on which the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Address of the `/test/` paths, if they are served.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// The list as it was last set, whether or not it is visible yet.
    pub fn newest(&self) -> InstanceList {
        self.state.borrow().newest.clone()
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, list: InstanceList) {
        self.state.borrow_mut().set(list);
    }
}

fn answer_read(state: &RefCell<State>, req: &Request) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    state.reads += 1;
    if state.outage {
        return http::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if req.path() != "/v1/instances" {
        return http::empty(StatusCode::NOT_FOUND);
    }
    http::json(StatusCode::OK, state.visible_list())
}

fn bind_control(addr: SocketAddr, state: Rc<RefCell<State>>) -> Result<Server, StandinError> {
    http::bind(addr, ServerOptions::default(), move |req| {
        let state = Rc::clone(&state);
        async move { control(&state, req).await }
    })
}

async fn control(state: &RefCell<State>, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::GET, "/test/instances") => http::json(StatusCode::OK, &state.borrow().newest),
        (Method::GET, "/test/counts") => {
            let reads = state.borrow().reads;
            http::json(StatusCode::OK, &serde_json::json!({ "reads": reads }))
        }
        (Method::POST, "/test/instances") => match http::read_json(&mut req).await {
            Ok(list) => {
                state.borrow_mut().set(list);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                let mut state = state.borrow_mut();
                state.outage = faults.outage;
                state.lag = Duration::from_millis(faults.lag_ms);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}
