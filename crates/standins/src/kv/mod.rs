//! Stand-in of the platform's key-value service: compare-and-swap on single keys, leases, watches,
//! and the faults that the real service is known for.
//!
//! The protocol is that of `comfreyweir_external::kv_http`, extended by leases:
//! `POST /v1/lease?ttl_ms=N`, `POST /v1/lease/ID/renew` and `DELETE /v1/lease/ID`. A `PUT` with
//! `&lease=ID` binds the key to the lease.

mod control;
mod faults;
mod handler;
mod state;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

pub use self::{
    faults::{Faults, Outage, StaleReads},
    state::Counts,
};
use self::{handler::RequestHandler, state::KvState};
use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
};

/// Settings of a key-value service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which the service listens.
    pub listen: SocketAddr,
    /// Control address for tests; none means that there is none.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults and rate limits at the start.
    #[serde(default)]
    pub faults: Faults,
}

/// A running key-value service. Dropping it closes its ports.
pub struct KvService {
    server: Server,
    control: Option<Server>,
    handler: RequestHandler,
}

/// Starts a key-value service on the current Actix runtime.
pub fn spawn(settings: Settings) -> Result<KvService, StandinError> {
    let handler = RequestHandler::new(Rc::new(RefCell::new(KvState::default())), settings.faults);
    let request_handler = handler.clone();
    let server = http::bind(settings.listen, ServerOptions::default(), move |req| {
        let handler = request_handler.clone();
        async move { handler.handle(req).await }
    })?;
    let control = match settings.control {
        Some(addr) => Some(control::bind(addr, &handler)?),
        None => None,
    };
    Ok(KvService {
        server,
        control,
        handler,
    })
}

impl KvService {
    /// Address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Control address, if the settings name one.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// Counts of calls since the start.
    pub fn counts(&self) -> Counts {
        self.handler.state.borrow().counts.clone()
    }

    /// Replaces all faults and rate limits, also for watches that are waiting.
    pub fn set_faults(&self, faults: Faults) {
        self.handler.set_faults(faults);
    }
}
