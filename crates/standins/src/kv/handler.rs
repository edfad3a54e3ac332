//! Calls to the service.

use std::{
    cell::{Cell, RefCell},
    future,
    rc::Rc,
    time::Duration,
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use comfreyweir_external::kv_http::{MAX_VALUE_BYTES, VERSION_HEADER};
use futures_util::future::{Either, select};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use super::{
    faults::{Faults, Limit, Outage},
    state::{State, Written},
};
use crate::http;

/// Longest time between two looks at leases that may have lapsed.
const LAPSE_CHECK: Duration = Duration::from_millis(50);
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
pub(super) struct Service {
    pub(super) state: Rc<RefCell<State>>,
    faults: Rc<RefCell<Faults>>,
    faults_changed: Rc<Notify>,
    reads: Rc<RefCell<Limit>>,
    writes: Rc<RefCell<Limit>>,
    /// Keeps the task that lets leases lapse alive as long as the service.
    _alive: Rc<Cell<()>>,
}

enum Call {
    Read,
    Write,
    Watch,
    Lease,
}

/// Counts a watch for as long as it waits.
struct Waiting(Rc<RefCell<State>>);

impl Waiting {
    fn new(state: &Rc<RefCell<State>>) -> Self {
        let counts = &mut state.borrow_mut().counts;
        counts.waiting += 1;
        counts.most_waiting = counts.most_waiting.max(counts.waiting);
        Self(Rc::clone(state))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.borrow_mut().counts.waiting -= 1;
    }
}

impl Service {
    pub(super) fn new(state: Rc<RefCell<State>>, faults: Faults) -> Self {
        let alive = Rc::new(Cell::new(()));
        let seen = Rc::downgrade(&alive);
        let leases = Rc::clone(&state);
        actix_rt::spawn(async move {
            while seen.upgrade().is_some() {
                leases.borrow_mut().lapse();
                time::sleep(LAPSE_CHECK).await;
            }
        });
        Self {
            state,
            faults: Rc::new(RefCell::new(faults)),
            faults_changed: Rc::default(),
            reads: Rc::default(),
            writes: Rc::default(),
            _alive: alive,
        }
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.borrow_mut() = faults;
        self.faults_changed.notify_waiters();
    }

    pub(super) async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let path = req.path().to_owned();
        let method = req.method().clone();
        let call = match (&method, path.as_str()) {
            (_, path) if path.starts_with("/v1/lease") => Call::Lease,
            (_, path) if path.starts_with("/v1/watch/") => Call::Watch,
            (&Method::GET, _) => Call::Read,
            _ => Call::Write,
        };
        self.count(&call, &path);
        if let Some(failure) = self.fail(&call).await {
            return failure;
        }
        if let Some(key) = path.strip_prefix("/v1/watch/") {
            return self.watch(key, &req).await;
        }
        if let Some(lease) = path.strip_prefix("/v1/lease") {
            return self.lease(&method, lease, &req);
        }
        match (path.strip_prefix("/v1/kv/"), method) {
            (Some(key), Method::GET) => self.get(key),
            (Some(key), Method::PUT) => {
                let Some(value) = http::read_body(&mut req).await else {
                    return http::empty(StatusCode::BAD_REQUEST);
                };
                if value.len() > MAX_VALUE_BYTES {
                    return http::empty(StatusCode::PAYLOAD_TOO_LARGE);
                }
                self.write(key, &req, Some(value)).await
            }
            (Some(key), Method::DELETE) => self.write(key, &req, None).await,
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    fn count(&self, call: &Call, path: &str) {
        let counts = &mut self.state.borrow_mut().counts;
        match call {
            Call::Read => counts.reads += 1,
            Call::Write => counts.writes += 1,
            Call::Watch => counts.watches += 1,
            Call::Lease => counts.leases += 1,
        }
        let prefix = path.split('/').nth(3).unwrap_or_default();
        *counts.by_prefix.entry(prefix.to_owned()).or_default() += 1;
    }

    /// Outage, slowness and limits, before anything takes effect.
    async fn fail(&self, call: &Call) -> Option<Response<BoxBody>> {
        if let Some(failure) = self.outage().await {
            return Some(failure);
        }
        let faults = self.faults();
        let admitted = match call {
            Call::Write => self.writes.borrow_mut().admit(faults.writes_per_second),
            _ => self.reads.borrow_mut().admit(faults.reads_per_second),
        };
        if !admitted {
            self.state.borrow_mut().counts.limited += 1;
            return Some(http::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        if faults.delay_ms > 0 {
            time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        None
    }

    async fn outage(&self) -> Option<Response<BoxBody>> {
        let outage = self.faults.borrow().outage;
        if outage == Outage::None {
            return None;
        }
        self.state.borrow_mut().counts.failed += 1;
        if outage == Outage::Silent {
            future::pending::<()>().await;
        }
        Some(http::empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn get(&self, key: &str) -> Response<BoxBody> {
        let stale = self.faults.borrow().stale.clone();
        let stale = stale.filter(|stale| key.starts_with(&stale.prefix));
        let found = match stale {
            Some(stale) => self.state.borrow().read_stale(key, stale.versions),
            None => self.state.borrow().read(key),
        };
        self.found(found)
    }

    fn found(&self, found: Option<(u64, Bytes)>) -> Response<BoxBody> {
        let Some((version, value)) = found else {
            return http::empty(StatusCode::NOT_FOUND);
        };
        self.state.borrow_mut().counts.read_bytes += value.len() as u64;
        Response::build(StatusCode::OK)
            .insert_header((VERSION_HEADER, version))
            .body(value)
            .map_into_boxed_body()
    }

    async fn write(&self, key: &str, req: &Request, value: Option<Bytes>) -> Response<BoxBody> {
        let bytes = value.as_ref().map_or(0, Bytes::len) as u64;
        let expected = http::query_number(req, "expect");
        let lease = http::query_number(req, "lease");
        let written = self.state.borrow_mut().swap(key, expected, value, lease);
        if self.faults.borrow_mut().take_lost_answer(key) {
            http::breaker(req).cut();
        }
        // A silent outage that began meanwhile holds the answer back as well.
        if self.faults.borrow().outage == Outage::Silent {
            future::pending::<()>().await;
        }
        let counts = &mut self.state.borrow_mut().counts;
        match written {
            Written::At(version) => {
                counts.written_bytes += bytes;
                version_answer(StatusCode::OK, version)
            }
            Written::Conflict(version) => {
                counts.conflicts += 1;
                version_answer(StatusCode::CONFLICT, version)
            }
            Written::NoLease => http::empty(StatusCode::PRECONDITION_FAILED),
        }
    }

    async fn watch(&self, key: &str, req: &Request) -> Response<BoxBody> {
        let after = http::query_number(req, "after").unwrap_or(0);
        let wait = http::query_number(req, "wait_ms").map(Duration::from_millis);
        let until = Instant::now() + wait.unwrap_or(DEFAULT_WAIT);
        let changed = self.state.borrow_mut().changed(key);
        let _waiting = Waiting::new(&self.state);
        loop {
            // Registered before the look, so that no change is missed.
            let change = changed.notified();
            let fault = self.faults_changed.notified();
            if let Some(failure) = self.outage().await {
                return failure;
            }
            let found = self.state.borrow().read(key);
            if found.as_ref().is_some_and(|(version, _)| *version > after) {
                return self.found(found);
            }
            let events = select(Box::pin(change), Box::pin(fault));
            match select(Box::pin(events), Box::pin(time::sleep_until(until))).await {
                Either::Left(_) => {}
                Either::Right(_) => return http::empty(StatusCode::NO_CONTENT),
            }
        }
    }

    fn lease(&self, method: &Method, rest: &str, req: &Request) -> Response<BoxBody> {
        let mut state = self.state.borrow_mut();
        let parts: Vec<&str> = rest.split('/').filter(|part| !part.is_empty()).collect();
        let id = parts.first().and_then(|part| part.parse::<u64>().ok());
        let done = match (method, id, parts.get(1)) {
            (&Method::POST, None, None) => {
                let ttl = http::query_number(req, "ttl_ms").unwrap_or(10_000);
                let id = state.grant(Duration::from_millis(ttl));
                return Response::build(StatusCode::OK)
                    .body(id.to_string())
                    .map_into_boxed_body();
            }
            (&Method::POST, Some(id), Some(&"renew")) => state.renew(id),
            (&Method::DELETE, Some(id), None) => state.revoke(id),
            _ => false,
        };
        http::empty(if done {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }
}

fn version_answer(status: StatusCode, version: u64) -> Response<BoxBody> {
    let mut answer = Response::build(status);
    answer.insert_header((VERSION_HEADER, version));
    answer.body(Bytes::new()).map_into_boxed_body()
}
