//! A plain service that takes any call and records every run.

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
    http::{self, Options, Server},
    tap::Inbound,
    timeline,
};

/// Header by which one request asks for a fault, named as in [`Stage`].
pub const FAULT_HEADER: &str = "x-test-fault";
/// Header by which one request asks for a delay before its answer, in ms.
pub const DELAY_HEADER: &str = "x-test-delay-ms";
/// Header by which one request asks for an answer of so many bytes.
pub const ANSWER_BYTES_HEADER: &str = "x-test-answer-bytes";

/// Where the service closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Before anything is read.
    BeforeRead,
    /// After the head of the request.
    AfterHead,
    /// After a part of the body.
    MidBody,
    /// After the run, before the answer.
    BeforeAnswer,
    /// After a part of the answer.
    MidAnswer,
}

/// Faults of coming calls.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Where connections are closed.
    pub stage: Option<Stage>,
    /// Number of coming calls that fail so.
    pub calls: u32,
    /// Time before each answer, in ms.
    pub delay_ms: u64,
    /// Status of each answer; zero stands for 200.
    pub status: u16,
    /// Whether answers echo a wrong request identifier.
    pub wrong_echo: bool,
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, shown in answers.
    pub name: String,
    /// Address of the service.
    pub listen: SocketAddr,
    /// Control address.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults at the start.
    #[serde(default)]
    pub faults: Faults,
}

/// How far a call came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reached {
    /// The head was read; the call did not run.
    Head,
    /// A part of the body was read; the call did not run.
    PartOfBody,
    /// The call ran.
    Run,
}

/// One call.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    /// When its head was read, in µs since the Unix epoch.
    pub at_us: u64,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query.
    pub query: String,
    /// Headers in the order of their arrival.
    pub headers: Vec<(String, String)>,
    /// SHA-256 of what was read of the body, in hexadecimal.
    pub body_sha256: String,
    /// Bytes read of the body.
    pub body_bytes: usize,
    /// How far the call came.
    pub reached: Reached,
}

/// Record of a plain service.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// All calls.
    pub calls: Vec<Call>,
}

/// A running plain service.
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
    reject: Rc<Cell<u32>>,
    inbound: Inbound,
}

/// Runs a plain service.
pub fn spawn(settings: Settings) -> Result<PlainService, StandinError> {
    let shared = Shared {
        name: settings.name.into(),
        record: Rc::default(),
        faults: Rc::default(),
        reject: Rc::default(),
        inbound: Inbound::default(),
    };
    shared.set_faults(settings.faults);
    let options = Options {
        inbound: Some(shared.inbound.clone()),
        reject: Rc::clone(&shared.reject),
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
    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Control address.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// The record so far.
    pub fn record(&self) -> Record {
        self.shared.record.borrow().clone()
    }

    /// Sets the faults of coming calls.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }
}

impl Shared {
    fn set_faults(&self, faults: Faults) {
        let rejected = faults.stage == Some(Stage::BeforeRead);
        self.reject.set(if rejected { faults.calls } else { 0 });
        *self.faults.borrow_mut() = faults;
    }

    /// The stage at which this call fails: as its header says, or as was set.
    fn stage(&self, req: &Request) -> Option<Stage> {
        if let Some(name) = http::header_text(req, FAULT_HEADER) {
            return serde_json::from_value(name.into()).ok();
        }
        let mut faults = self.faults.borrow_mut();
        if faults.calls == 0 || faults.stage == Some(Stage::BeforeRead) {
            return None;
        }
        faults.calls -= 1;
        faults.stage
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let stage = self.stage(&req);
        let index = self.note(&req);
        let breaker = http::breaker(&req);
        if stage == Some(Stage::AfterHead) {
            breaker.cut();
            return http::empty(StatusCode::OK);
        }
        let mut payload = req.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let Ok(chunk) = chunk else {
                return http::empty(StatusCode::BAD_REQUEST);
            };
            body.extend_from_slice(&chunk);
            self.progress(index, &body, Reached::PartOfBody);
            if stage == Some(Stage::MidBody) {
                breaker.cut();
                return http::empty(StatusCode::OK);
            }
        }
        self.progress(index, &body, Reached::Run);
        self.delay(&req).await;
        if stage == Some(Stage::BeforeAnswer) {
            breaker.cut();
            return http::empty(StatusCode::OK);
        }
        self.answer(&req, &body, stage)
    }

    fn note(&self, req: &Request) -> usize {
        let call = Call {
            at_us: timeline::now_us(),
            method: req.method().to_string(),
            path: req.path().to_owned(),
            query: req.uri().query().unwrap_or_default().to_owned(),
            headers: headers(req),
            body_sha256: hex_sha256(&[]),
            body_bytes: 0,
            reached: Reached::Head,
        };
        let calls = &mut self.record.borrow_mut().calls;
        calls.push(call);
        calls.len() - 1
    }

    fn progress(&self, index: usize, body: &[u8], reached: Reached) {
        if let Some(call) = self.record.borrow_mut().calls.get_mut(index) {
            call.body_sha256 = hex_sha256(body);
            call.body_bytes = body.len();
            call.reached = reached;
        }
    }

    async fn delay(&self, req: &Request) {
        let asked = http::header_text(req, DELAY_HEADER).and_then(|text| text.parse().ok());
        let delay_ms = asked.unwrap_or(self.faults.borrow().delay_ms);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn answer(&self, req: &Request, body: &[u8], stage: Option<Stage>) -> Response<BoxBody> {
        let faults = *self.faults.borrow();
        let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
        let mut res = Response::build(status);
        if let Some(id) = http::header_text(req, "x-request-id") {
            let echoed = if faults.wrong_echo { "crossed" } else { id };
            res.insert_header(("x-request-id", echoed));
        }
        res.insert_header(("content-type", "application/json"));
        let answer = self.answer_body(req, body);
        if stage == Some(Stage::MidAnswer) {
            return res.body(cut_half_way(&answer)).map_into_boxed_body();
        }
        res.body(answer).map_into_boxed_body()
    }

    fn answer_body(&self, req: &Request, body: &[u8]) -> Bytes {
        let asked = http::header_text(req, ANSWER_BYTES_HEADER).and_then(|text| text.parse().ok());
        if let Some(bytes) = asked {
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

/// Declares the whole length and fails after half of it.
fn cut_half_way(answer: &Bytes) -> impl MessageBody + 'static {
    let half = answer.slice(..answer.len() / 2);
    let failure = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let chunks = stream::iter([Ok(half), Err(failure)]);
    SizedStream::new(answer.len() as u64, chunks)
}

/// Headers of a request in the order of their arrival.
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
    http::bind(addr, Options::default(), move |req| {
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

/// Answers on how many connections the text of the query's `contains` was received.
pub(crate) fn inbound_answer(inbound: &Inbound, req: &Request) -> Response<BoxBody> {
    let Some(text) = http::query(req, "contains").filter(|text| !text.is_empty()) else {
        return http::error(StatusCode::BAD_REQUEST, "give ?contains=TEXT");
    };
    let answer = serde_json::json!({
        "connections": inbound.count(text),
        "truncated": inbound.is_truncated(),
    });
    http::json(StatusCode::OK, &answer)
}
