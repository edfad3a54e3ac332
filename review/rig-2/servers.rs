//! Stand-ins for the users' servers: a model server and a plain one.

use std::{
    collections::BTreeSet,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    json::{Json, quote},
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ADAPTER_SLOTS: usize = 8;
const ADAPTER_LOAD: Duration = Duration::from_millis(10);
/// Events of an answer, and the time between them.
const EVENTS: u32 = 4;
const EVENT_GAP: Duration = Duration::from_millis(5);

/// An order as a server received it.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub text: String,
    pub answer: &'static str,
}

#[derive(Default)]
struct EngineState {
    /// Adapters with the time from which they can be used.
    adapters: Vec<(String, Instant)>,
    busy: BTreeSet<String>,
    seq: u64,
    orders: Vec<OrderSeen>,
    runs: u64,
}

/// A model server that holds one model, m0, and up to eight of its adapters. It does not check fences.
#[derive(Clone)]
pub struct Engine {
    id: String,
    addr: SocketAddr,
    born: u128,
    state: Arc<Mutex<EngineState>>,
}

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis())
}

impl Engine {
    pub fn start(id: &str, listener: TcpListener, store: &Store) -> Self {
        let engine = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("the listener has an address"),
            born: unix_ms(),
            state: Arc::default(),
        };
        let served = engine.clone();
        http::serve(listener, move |req, io| served.answer(req, io));
        let (beating, store) = (engine.clone(), store.clone());
        let mut seq = 0;
        beating.beat(&store, seq);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                seq += 1;
                beating.beat(&store, seq);
            }
        });
        engine
    }

    fn adapters_text(&self) -> String {
        let state = self.state.lock().expect("no thread panics with the lock");
        let names: Vec<_> = state.adapters.iter().map(|(name, _)| quote(name)).collect();
        names.join(",")
    }

    fn beat(&self, store: &Store, seq: u64) {
        let value = format!(
            "{{\"service\":\"llm\",\"addr\":\"{}\",\"zone\":\"mid-a\",\"version\":\"v1\",\"slots\":64,\
             \"phase\":\"ready\",\"cold_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\
             \"version\":1,\"adapters\":[{}]}}],\"seq\":{seq},\"born\":{}}}",
            self.addr,
            self.adapters_text(),
            self.born
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    pub fn orders(&self) -> Vec<OrderSeen> {
        let state = self.state.lock().expect("no thread panics with the lock");
        state.orders.clone()
    }

    pub fn runs(&self) -> u64 {
        self.state
            .lock()
            .expect("no thread panics with the lock")
            .runs
    }

    fn answer(&self, req: &Message, io: &mut TcpStream) -> io::Result<bool> {
        let expected = req.header("x-comfreyweir-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return http::answer(io, "421 Misdirected Request", &[], b"");
        }
        match (req.method(), req.path()) {
            ("GET", "/-/report") => {
                let state = self.state.lock().expect("no thread panics with the lock");
                let (seq, running) = (state.seq, state.busy.len());
                drop(state);
                let text = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{}]}}],\
                     \"busy\":false,\"seq\":{seq},\"waiting\":0,\"running\":{running},\"kv_used\":0,\
                     \"kv_total\":232000,\"handles\":0}}",
                    self.adapters_text()
                );
                let headers = [("Content-Type", "application/json")];
                http::answer(io, "200 OK", &headers, text.as_bytes())
            }
            ("POST", "/-/order") => {
                let status = self.take_order(&String::from_utf8_lossy(&req.body));
                http::answer(io, status, &[], b"")
            }
            _ => self.run(req, io),
        }
    }

    fn take_order(&self, text: &str) -> &'static str {
        let at = Instant::now();
        let order = Json::parse(text).unwrap_or(Json::Null);
        let field = |name: &str| {
            let value = order.get(name).and_then(Json::text);
            value.unwrap_or_default().to_owned()
        };
        let expected = order.get("expected").and_then(Json::number);
        let adapter = field("adapter");
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let is_held = state.adapters.iter().any(|(name, _)| *name == adapter);
        let is_stale = expected.is_some_and(|expected| expected != state.seq);
        let answer = match field("op").as_str() {
            "load" if adapter.is_empty() => "200 OK",
            "load" if is_held => "200 OK",
            _ if is_stale => "409 Conflict",
            "load" if state.adapters.len() < ADAPTER_SLOTS => {
                state.seq += 1;
                state.adapters.push((adapter, at + ADAPTER_LOAD));
                "202 Accepted"
            }
            "unload" if is_held && !state.busy.contains(&adapter) => {
                state.seq += 1;
                state.adapters.retain(|(name, _)| *name != adapter);
                "200 OK"
            }
            "unload" if is_held => "409 Conflict",
            "unload" => "200 OK",
            _ => "400 Bad Request",
        };
        let fence = order.get("fence").and_then(Json::number).unwrap_or(0);
        let holder = field("holder");
        state.orders.push(OrderSeen {
            at,
            holder,
            fence,
            text: text.to_owned(),
            answer,
        });
        answer
    }

    fn run(&self, req: &Message, io: &mut TcpStream) -> io::Result<bool> {
        let artifact = req.header("x-comfreyweir-model").unwrap_or_default();
        let (model, adapter) = artifact.split_once('/').unwrap_or((artifact, ""));
        let id = req.header("x-comfreyweir-request-id").unwrap_or_default();
        {
            let mut state = self.state.lock().expect("no thread panics with the lock");
            let now = Instant::now();
            let is_usable = |(name, from): &(String, Instant)| name == adapter && *from <= now;
            if model != "m0" || !adapter.is_empty() && !state.adapters.iter().any(is_usable) {
                drop(state);
                let headers = [("X-Comfreyweir-Request-Id", id)];
                return http::answer(io, "421 Misdirected Request", &headers, b"");
            }
            state.runs += 1;
            state.busy.insert(adapter.to_owned());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Comfreyweir-Request-Id: {id}\r\nX-Comfreyweir-Server-Seal: seal-{id}\r\n\r\n"
        );
        let written = (|| {
            io.write_all(head.as_bytes())?;
            for n in 1..=EVENTS {
                thread::sleep(EVENT_GAP);
                let event = format!("id: {n}\ndata: {n}\n\n");
                io.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            io.write_all(b"0\r\n\r\n")
        })();
        let mut state = self.state.lock().expect("no thread panics with the lock");
        state.busy.remove(adapter);
        written.map(|()| true)
    }
}

/// Starts a server of the service "desk", which answers each request at once.
pub fn start_plain(id: &str, listener: TcpListener, store: &Store) {
    let addr = listener.local_addr().expect("the listener has an address");
    let own_id = id.to_owned();
    http::serve(listener, move |req, io| {
        let expected = req.header("x-comfreyweir-expect-instance");
        if expected.is_some_and(|id| id != own_id) {
            return http::answer(io, "421 Misdirected Request", &[], b"");
        }
        let id = req.header("x-comfreyweir-request-id").unwrap_or_default();
        let seal = format!("seal-{id}");
        let headers = [
            ("X-Comfreyweir-Request-Id", id),
            ("X-Comfreyweir-Server-Seal", seal.as_str()),
        ];
        http::answer(io, "200 OK", &headers, b"done")
    });
    let (id, store, born) = (id.to_owned(), store.clone(), unix_ms());
    let beat = move |seq: u64| {
        let value = format!(
            "{{\"service\":\"desk\",\"addr\":\"{addr}\",\"zone\":\"mid-a\",\"version\":\"v1\",\
             \"slots\":6,\"phase\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &value);
    };
    beat(0);
    thread::spawn(move || {
        for seq in 1.. {
            thread::sleep(HEARTBEAT);
            beat(seq);
        }
    });
}

/// The operator's configuration: a stream route to a service with one model, and two routes to a plain
/// service.
pub fn configuration() -> String {
    configuration_of(7)
}

/// The same under another version.
pub fn configuration_of(version: u32) -> String {
    let stream = |host: &str, prefix: &str, timeout: u32, goal: u32, resumable: bool| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}.example\",\"prefix\":\"{prefix}\",\
             \"route_kind\":\"stream\",\"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":1,\
             \"service\":\"llm\",\"attempts\":{},\"public\":false,\"affinity\":true,\"resumable\":{resumable},\
             \"gap_aim_ms\":400}}",
            if resumable { 2 } else { 1 }
        )
    };
    let plain = |host: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}.example\",\"prefix\":\"{prefix}\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":600,\"goal_ms\":100,\"priority\":2,\
             \"service\":\"desk\",\"attempts\":2,\"public\":false,\"affinity\":false,\
             \"resumable\":false}}"
        )
    };
    let routes = [
        stream("review", "/lohu930/", 6_000, 800, false),
        stream("tender", "/pufi791/", 17_000, 2_500, true),
        plain("order", "/puxa403/", "non_idempotent"),
        plain("stock", "/cufi504/", "idempotent"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\
         \"max_conns\":370,\"engine\":{{\"slots\":64,\"kv_tokens\":232000,\"weights_mb\":140000.0,\
         \"adapter_slots\":8,\"loads_per_s\":4.2,\"models\":[{{\"name\":\"m0\",\"weights_mb\":72700.0,\
         \"load_s\":6.0,\"adapters\":38,\"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.84}}]}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"i9n73hh2b9wu3fexd9dn\"],\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"per_s\":0,\"burst\":0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
