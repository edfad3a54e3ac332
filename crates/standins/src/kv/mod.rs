//! The platform's key-value service: compare-and-swap on one key, leases, watches, and the faults
//! that the service is known for.
//!
//! The protocol is that of `comfreyweir_external::kv_http`, with leases beside it:
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
use self::{handler::Service, state::State};
use crate::{
    StandinError,
    http::{self, Options, Server},
};

/// Settings of a service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the service.
    pub listen: SocketAddr,
    /// Control address.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults and limits at the start.
    #[serde(default)]
    pub faults: Faults,
}

/// A running service.
pub struct KvService {
    server: Server,
    control: Option<Server>,
    service: Service,
}

/// Runs a service.
pub fn spawn(settings: Settings) -> Result<KvService, StandinError> {
    let service = Service::new(Rc::new(RefCell::new(State::default())), settings.faults);
    let shared = service.clone();
    let server = http::bind(settings.listen, Options::default(), move |req| {
        let service = shared.clone();
        async move { service.handle(req).await }
    })?;
    let control = match settings.control {
        Some(addr) => Some(control::bind(addr, &service)?),
        None => None,
    };
    Ok(KvService {
        server,
        control,
        service,
    })
}

impl KvService {
    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Control address.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// What was called so far.
    pub fn counts(&self) -> Counts {
        self.service.state.borrow().counts.clone()
    }

    /// Sets faults and limits.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }
}
