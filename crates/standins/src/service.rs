//! A plain service that accepts any HTTP request and records every one it reads.

use std::{
    cell::{Cell, RefCell},
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::{
    Method, Request, Response, StatusCode,
    body::{BoxBody, MessageBody, SizedStream},
};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time;

use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
    recording_stream::InboundLog,
    timeline,
};

/// Request header that injects a fault into this request; its value is a [`FaultStage`] in snake
/// case. `before_read` has no effect here, because the header has been read by then.
pub const FAULT_HEADER: &str = "x-test-fault";
/// Request header with a delay before the answer, in ms; overrides [`Faults::delay_ms`].
pub const DELAY_HEADER: &str = "x-test-delay-ms";
/// Request header with the size of the answer's body, in bytes.
pub const ANSWER_BYTES_HEADER: &str = "x-test-answer-bytes";

/// Point of a request's processing at which the service resets the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultStage {
    /// Before anything is read: the connection is reset as soon as it is accepted.
    BeforeRead,
    /// After the request head was read.
    AfterHead,
    /// After the first part of the request body was read.
    MidBody,
    /// After the request ran, before any byte of the answer.
    BeforeAnswer,
    /// After half of the answer's body.
    MidAnswer,
}

/// Faults injected into future requests.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Where connections are reset; `None` resets none.
    pub stage: Option<FaultStage>,
    /// Number of future requests that fail at `stage`.
    pub calls: u32,
    /// Delay before each answer, in ms.
    pub delay_ms: u64,
    /// Status code of each answer; 0 stands for 200.
    pub status: u16,
    /// Whether `x-request-id` is answered with a wrong value.
    pub wrong_echo: bool,
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, included in answers.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the `/test/` paths; none are served if it is not set.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults from the start.
    #[serde(default)]
    pub faults: Faults,
}

/// How far a request was processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestProgress {
    /// The head was read; the request did not run.
    Head,
    /// A part of the body was read; the request did not run.
    PartOfBody,
    /// The request ran.
    Run,
}

/// A recorded request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    /// Time at which its head was read, in µs since the Unix epoch.
    pub at_us: u64,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// SHA-256 of the body bytes read, in hexadecimal.
    pub body_sha256: String,
    /// Number of body bytes read.
    pub body_bytes: usize,
    /// How far the request was processed.
    pub reached: RequestProgress,
}

/// All requests that a plain service has read.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Requests in the order in which their heads were read.
    pub calls: Vec<Call>,
}

/// A running plain service. Dropping it closes its ports.
pub struct PlainService {
    server: Server,
    control: Option<Server>,
    shared: Shared,
}

#[derive(Clone)]
struct Shared {
    name: Rc<str>,
    record: Rc<RefCell<Record>>,
    faults: Rc<RefCell<Faults>>,
    connections_to_reset: Rc<Cell<u32>>,
    inbound: InboundLog,
}

/// Starts a plain service.
pub fn spawn(settings: Settings) -> Result<PlainService, StandinError> {
    let shared = Shared {
        name: settings.name.into(),
        record: Rc::default(),
        faults: Rc::default(),
        connections_to_reset: Rc::default(),
        inbound: InboundLog::default(),
    };
    shared.set_faults(settings.faults);
    let options = ServerOptions {
        inbound: Some(shared.inbound.clone()),
        connections_to_reset: Rc::clone(&shared.connections_to_reset),
    };
    let service = shared.clone();
    let server = http::bind(settings.listen, options, move |req| {
        let service = service.clone();
        async move { service.handle(req).await }
    })?;
    let control = match settings.control {
        Some(addr) => Some(bind_control(addr, &shared)?),
        None => None,
    };
    Ok(PlainService {
        server,
        control,
        shared,
    })
}

impl PlainService {
    /// Address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Address of the `/test/` paths, if they are served.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// A copy of the record so far.
    pub fn record(&self) -> Record {
        self.shared.record.borrow().clone()
    }

    /// Replaces the faults injected into future requests.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }
}

impl Shared {
    fn set_faults(&self, faults: Faults) {
        let is_before_read = faults.stage == Some(FaultStage::BeforeRead);
        self.connections_to_reset
            .set(if is_before_read { faults.calls } else { 0 });
        *self.faults.borrow_mut() = faults;
    }

    /// The stage at which this request fails, from its header or else from the configured faults.
    fn fault_stage(&self, req: &Request) -> Option<FaultStage> {
        if let Some(name) = http::header_text(req, FAULT_HEADER) {
            return serde_json::from_value(name.into()).ok();
        }
        let mut faults = self.faults.borrow_mut();
        if faults.calls == 0 || faults.stage == Some(FaultStage::BeforeRead) {
            return None;
        }
        faults.calls -= 1;
        faults.stage
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let stage = self.fault_stage(&req);
        let index = self.record_call(&req);
        let breaker = http::reset_handle(&req);
        if stage == Some(FaultStage::AfterHead) {
            breaker.reset();
            return http::empty(StatusCode::OK);
        }
        let mut payload = req.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let Ok(chunk) = chunk else {
                return http::empty(StatusCode::BAD_REQUEST);
            };
            body.extend_from_slice(&chunk);
            self.update_call(index, &body, RequestProgress::PartOfBody);
            if stage == Some(FaultStage::MidBody) {
                breaker.reset();
                return http::empty(StatusCode::OK);
            }
        }
        self.update_call(index, &body, RequestProgress::Run);
        self.delay(&req).await;
        if stage == Some(FaultStage::BeforeAnswer) {
            breaker.reset();
            return http::empty(StatusCode::OK);
        }
        self.answer(&req, &body, stage)
    }

    fn record_call(&self, req: &Request) -> usize {
        let call = Call {
            at_us: timeline::now_us(),
            method: req.method().to_string(),
            path: req.path().to_owned(),
            query: req.uri().query().unwrap_or_default().to_owned(),
            headers: headers(req),
            body_sha256: hex_sha256(&[]),
            body_bytes: 0,
            reached: RequestProgress::Head,
        };
        let calls = &mut self.record.borrow_mut().calls;
        calls.push(call);
        calls.len() - 1
    }

    fn update_call(&self, index: usize, body: &[u8], reached: RequestProgress) {
        if let Some(call) = self.record.borrow_mut().calls.get_mut(index) {
            call.body_sha256 = hex_sha256(body);
            call.body_bytes = body.len();
            call.reached = reached;
        }
    }

    async fn delay(&self, req: &Request) {
        let requested = http::header_text(req, DELAY_HEADER).and_then(|text| text.parse().ok());
        let delay_ms = requested.unwrap_or(self.faults.borrow().delay_ms);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn answer(&self, req: &Request, body: &[u8], stage: Option<FaultStage>) -> Response<BoxBody> {
        let faults = *self.faults.borrow();
        let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
        let mut res = Response::build(status);
        if let Some(id) = http::header_text(req, "x-request-id") {
            let echoed = if faults.wrong_echo { "crossed" } else { id };
            res.insert_header(("x-request-id", echoed));
        }
        res.insert_header(("content-type", "application/json"));
        let answer = self.answer_body(req, body);
        if stage == Some(FaultStage::MidAnswer) {
            return res.body(truncated_body(&answer)).map_into_boxed_body();
        }
        res.body(answer).map_into_boxed_body()
    }

    fn answer_body(&self, req: &Request, body: &[u8]) -> Bytes {
        let requested =
            http::header_text(req, ANSWER_BYTES_HEADER).and_then(|text| text.parse().ok());
        if let Some(bytes) = requested {
            return vec![b'x'; bytes].into();
        }
        let answer = serde_json::json!({
            "service": &*self.name,
            "method": req.method().as_str(),
            "path": req.path(),
            "body_sha256": hex_sha256(body),
        });
        answer.to_string().into()
    }
}

/// A body that declares its full length and fails after half of it.
fn truncated_body(answer: &Bytes) -> impl MessageBody + 'static {
    let half = answer.slice(..answer.len() / 2);
    let failure = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let chunks = stream::iter([Ok(half), Err(failure)]);
    SizedStream::new(answer.len() as u64, chunks)
}

/// Names and values of a request's headers, in the order received.
pub(crate) fn headers(req: &Request) -> Vec<(String, String)> {
    let pairs = req.head().headers().iter();
    let text = pairs.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.to_string(), value)
    });
    text.collect()
}

pub(crate) fn hex_sha256(bytes: &[u8]) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(bytes) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

fn bind_control(addr: SocketAddr, shared: &Shared) -> Result<Server, StandinError> {
    let shared = shared.clone();
    http::bind(addr, ServerOptions::default(), move |req| {
        let shared = shared.clone();
        async move { control(&shared, req).await }
    })
}

async fn control(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::GET, "/test/record") => http::json(StatusCode::OK, &*shared.record.borrow()),
        (Method::GET, "/test/inbound") => inbound_answer(&shared.inbound, &req),
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                shared.set_faults(faults);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

/// Answers the number of connections on which the text of the query parameter `contains` was
/// received.
pub(crate) fn inbound_answer(inbound: &InboundLog, req: &Request) -> Response<BoxBody> {
    let Some(text) = http::query(req, "contains").filter(|text| !text.is_empty()) else {
        return http::error(StatusCode::BAD_REQUEST, "give ?contains=TEXT");
    };
    let answer = serde_json::json!({
        "connections": inbound.count_connections_with(text),
        "truncated": inbound.is_truncated(),
    });
    http::json(StatusCode::OK, &answer)
}
