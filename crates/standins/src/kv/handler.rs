//! HTTP handler of the key-value service.

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
    faults::{Faults, Outage, RateLimiter},
    state::{KvState, WriteOutcome},
};
use crate::http;

/// Interval of the task that removes expired leases; writes and renewals remove them too.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_WATCH_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
pub(super) struct RequestHandler {
    pub(super) state: Rc<RefCell<KvState>>,
    faults: Rc<RefCell<Faults>>,
    faults_changed: Rc<Notify>,
    read_limiter: Rc<RefCell<RateLimiter>>,
    write_limiter: Rc<RefCell<RateLimiter>>,
    /// The task that expires leases ends when the last clone of this is dropped.
    _expiry_task_guard: Rc<Cell<()>>,
}

/// Decides how a call is counted and which rate limit applies to it.
enum CallKind {
    Read,
    Write,
    Watch,
    Lease,
}

/// Counts a watch as waiting until this is dropped.
struct WaitingWatch(Rc<RefCell<KvState>>);

impl WaitingWatch {
    fn new(state: &Rc<RefCell<KvState>>) -> Self {
        let counts = &mut state.borrow_mut().counts;
        counts.waiting += 1;
        counts.most_waiting = counts.most_waiting.max(counts.waiting);
        Self(Rc::clone(state))
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.borrow_mut().counts.waiting -= 1;
    }
}

impl RequestHandler {
    pub(super) fn new(state: Rc<RefCell<KvState>>, faults: Faults) -> Self {
        let expiry_task_guard = Rc::new(Cell::new(()));
        let weak_guard = Rc::downgrade(&expiry_task_guard);
        let expiring_state = Rc::clone(&state);
        actix_rt::spawn(async move {
            while weak_guard.upgrade().is_some() {
                expiring_state.borrow_mut().expire_leases();
                time::sleep(LEASE_EXPIRY_INTERVAL).await;
            }
        });
        Self {
            state,
            faults: Rc::new(RefCell::new(faults)),
            faults_changed: Rc::default(),
            read_limiter: Rc::default(),
            write_limiter: Rc::default(),
            _expiry_task_guard: expiry_task_guard,
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
        let call_kind = match (&method, path.as_str()) {
            (_, path) if path.starts_with("/v1/lease") => CallKind::Lease,
            (_, path) if path.starts_with("/v1/watch/") => CallKind::Watch,
            (&Method::GET, _) => CallKind::Read,
            _ => CallKind::Write,
        };
        self.count(&call_kind, &path);
        if let Some(failure) = self.injected_failure(&call_kind).await {
            return failure;
        }
        if let Some(key) = path.strip_prefix("/v1/watch/") {
            return self.watch(key, &req).await;
        }
        if let Some(lease_path) = path.strip_prefix("/v1/lease") {
            return self.handle_lease(&method, lease_path, &req);
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

    fn count(&self, call_kind: &CallKind, path: &str) {
        let counts = &mut self.state.borrow_mut().counts;
        match call_kind {
            CallKind::Read => counts.reads += 1,
            CallKind::Write => counts.writes += 1,
            CallKind::Watch => counts.watches += 1,
            CallKind::Lease => counts.leases += 1,
        }
        let prefix = path.split('/').nth(3).unwrap_or_default();
        *counts.by_prefix.entry(prefix.to_owned()).or_default() += 1;
    }

    /// Applies outage, rate limits and delay before the call takes effect; `Some` is the answer to
    /// a call that fails.
    async fn injected_failure(&self, call_kind: &CallKind) -> Option<Response<BoxBody>> {
        if let Some(failure) = self.outage_failure().await {
            return Some(failure);
        }
        let faults = self.faults();
        let admitted = match call_kind {
            CallKind::Write => self
                .write_limiter
                .borrow_mut()
                .admit(faults.writes_per_second),
            _ => self
                .read_limiter
                .borrow_mut()
                .admit(faults.reads_per_second),
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

    /// Answer to a call during an outage; never completes during a silent one.
    async fn outage_failure(&self) -> Option<Response<BoxBody>> {
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
        self.read_response(found)
    }

    fn read_response(&self, found: Option<(u64, Bytes)>) -> Response<BoxBody> {
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
        let outcome = self
            .state
            .borrow_mut()
            .compare_and_swap(key, expected, value, lease);
        if self.faults.borrow_mut().take_lost_answer(key) {
            http::reset_handle(req).reset();
        }
        // A silent outage that began after the check at the start of the call also withholds the
        // answer.
        if self.faults.borrow().outage == Outage::Silent {
            future::pending::<()>().await;
        }
        let counts = &mut self.state.borrow_mut().counts;
        match outcome {
            WriteOutcome::Applied(version) => {
                counts.written_bytes += bytes;
                version_response(StatusCode::OK, version)
            }
            WriteOutcome::Conflict(version) => {
                counts.conflicts += 1;
                version_response(StatusCode::CONFLICT, version)
            }
            WriteOutcome::LeaseNotFound => http::empty(StatusCode::PRECONDITION_FAILED),
        }
    }

    async fn watch(&self, key: &str, req: &Request) -> Response<BoxBody> {
        let after = http::query_number(req, "after").unwrap_or(0);
        let wait = http::query_number(req, "wait_ms").map(Duration::from_millis);
        let deadline = Instant::now() + wait.unwrap_or(DEFAULT_WATCH_WAIT);
        let key_changed = self.state.borrow_mut().change_notify(key);
        let _waiting_watch = WaitingWatch::new(&self.state);
        loop {
            // Created before the key and the faults are read, so that no change in between is
            // missed.
            let key_change = key_changed.notified();
            let faults_change = self.faults_changed.notified();
            if let Some(failure) = self.outage_failure().await {
                return failure;
            }
            let found = self.state.borrow().read(key);
            if found.as_ref().is_some_and(|(version, _)| *version > after) {
                return self.read_response(found);
            }
            let events = select(Box::pin(key_change), Box::pin(faults_change));
            match select(Box::pin(events), Box::pin(time::sleep_until(deadline))).await {
                Either::Left(_) => {}
                Either::Right(_) => return http::empty(StatusCode::NO_CONTENT),
            }
        }
    }

    fn handle_lease(&self, method: &Method, lease_path: &str, req: &Request) -> Response<BoxBody> {
        let mut state = self.state.borrow_mut();
        let parts: Vec<&str> = lease_path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect();
        let id = parts.first().and_then(|part| part.parse::<u64>().ok());
        let succeeded = match (method, id, parts.get(1)) {
            (&Method::POST, None, None) => {
                let ttl = http::query_number(req, "ttl_ms").unwrap_or(10_000);
                let id = state.grant_lease(Duration::from_millis(ttl));
                return Response::build(StatusCode::OK)
                    .body(id.to_string())
                    .map_into_boxed_body();
            }
            (&Method::POST, Some(id), Some(&"renew")) => state.renew_lease(id),
            (&Method::DELETE, Some(id), None) => state.revoke_lease(id),
            _ => false,
        };
        http::empty(if succeeded {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }
}

fn version_response(status: StatusCode, version: u64) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((VERSION_HEADER, version));
    response.body(Bytes::new()).map_into_boxed_body()
}
