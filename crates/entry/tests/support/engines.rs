//! Engines that end when they begin to write on certain prompt parts, and come back as new processes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::sleep;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::Instant,
};

use super::{
    platform::SharedState,
    upstream::{header, read_request},
};
use comfreyweir_fleet::upstream::{Holding, LoadedModel, Phase, Upstream};

/// Time that an engine reads a prompt.
const PREFILL: Duration = Duration::from_millis(30);
/// Time from the head of an answer to the end of an engine that cannot write it.
const WRITE_BEFORE_END: Duration = Duration::from_millis(60);
/// Time after which the entry of an ended engine lapses.
const LAPSE: Duration = Duration::from_secs(1);
/// Time after which an ended engine is back.
const RESTART: Duration = Duration::from_millis(1_900);
const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub parts: Vec<u64>,
}

/// A service of engines, and what they saw.
pub struct Engines {
    shared: Rc<SharedState>,
    /// Parts on which engines end when they begin to write.
    pub fatal_parts: RefCell<HashSet<u64>>,
    /// Of 10 requests with a fatal part, how many end their engine.
    pub fatal_of_ten: Cell<u32>,
    pub arrivals: RefCell<Vec<Arrival>>,
    /// Ends under a fatal part.
    pub ends: RefCell<Vec<Instant>>,
    running: RefCell<BTreeMap<String, Rc<Process>>>,
    started: Cell<u32>,
    fatal_requests: Cell<u32>,
}

struct Process {
    has_ended: Cell<bool>,
    ended: Notify,
}

impl Engines {
    pub async fn start(shared: &Rc<SharedState>, count: usize) -> Rc<Self> {
        let engines = Rc::new(Self {
            shared: Rc::clone(shared),
            fatal_parts: RefCell::default(),
            fatal_of_ten: Cell::new(10),
            arrivals: RefCell::default(),
            ends: RefCell::default(),
            running: RefCell::default(),
            started: Cell::new(0),
            fatal_requests: Cell::new(0),
        });
        for _ in 0..count {
            engines.start_process().await;
        }
        engines
    }

    async fn start_process(self: &Rc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        self.started.set(self.started.get() + 1);
        let id = format!("e{}", self.started.get());
        let process = Rc::new(Process {
            has_ended: Cell::new(false),
            ended: Notify::new(),
        });
        let running = &self.running;
        running.borrow_mut().insert(id.clone(), Rc::clone(&process));
        self.shared.add_upstream(entry(&id, addr));
        let engines = Rc::clone(self);
        actix_rt::spawn(async move {
            loop {
                let ended = process.ended.notified();
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = ended => return,
                };
                let Ok((io, _)) = accepted else { return };
                if process.has_ended.get() {
                    return;
                }
                let (engines, process, id) = (Rc::clone(&engines), Rc::clone(&process), id.clone());
                actix_rt::spawn(async move {
                    let ended = process.ended.notified();
                    tokio::select! {
                        () = engines.serve(io, &process, &id) => {}
                        () = ended => {}
                    }
                });
            }
        });
    }

    /// Ends a process and starts another one after some time.
    fn end(self: &Rc<Self>, process: &Process, id: &str) {
        if process.has_ended.replace(true) {
            return;
        }
        process.ended.notify_waiters();
        self.running.borrow_mut().remove(id);
        let (engines, id) = (Rc::clone(self), id.to_owned());
        actix_rt::spawn(async move {
            sleep(LAPSE).await;
            engines.shared.remove_upstream(&id);
            sleep(RESTART.saturating_sub(LAPSE)).await;
            engines.start_process().await;
        });
    }

    /// Ends one of the running processes, for no reason of a request.
    pub fn end_any(self: &Rc<Self>) {
        let first = self
            .running
            .borrow()
            .iter()
            .next()
            .map(|(id, p)| (id.clone(), Rc::clone(p)));
        if let Some((id, process)) = first {
            self.end(&process, &id);
        }
    }

    /// Requests with one of `parts` that reached an engine after `after`.
    pub fn arrivals_with(&self, part: u64, after: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        let with_part = arrivals.iter().filter(|a| a.parts.contains(&part));
        with_part.filter(|a| a.at > after).count()
    }

    async fn serve(self: &Rc<Self>, mut io: TcpStream, process: &Process, id: &str) {
        while let Some(request) = read_request(&mut io).await {
            let parts = prompt_parts(&request);
            let request_id = header(&request, "x-id").unwrap_or_default();
            self.arrivals.borrow_mut().push(Arrival {
                at: Instant::now(),
                id: request_id.clone(),
                parts: parts.clone(),
            });
            sleep(PREFILL).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-seal: {id}\r\n\
                 content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            if io.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            if self.is_fatal(&parts) {
                sleep(WRITE_BEFORE_END).await;
                self.ends.borrow_mut().push(Instant::now());
                self.end(process, id);
                return;
            }
            let last_received = header(&request, "x-last").and_then(|n| n.parse::<u64>().ok());
            for event in last_received.map_or(1, |n| n + 1)..=EVENTS {
                let text = format!("id: {event}\ndata: e{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if io.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
                sleep(EVENT_INTERVAL).await;
            }
            if io.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
    }

    /// Whether the engine ends under a request with these parts.
    fn is_fatal(&self, parts: &[u64]) -> bool {
        let fatal = self.fatal_parts.borrow();
        let shared = &parts[..parts.len().saturating_sub(1)];
        if !shared.iter().any(|part| fatal.contains(part)) {
            return false;
        }
        let count = self.fatal_requests.get();
        self.fatal_requests.set(count + 1);
        // Steps of 3 spread those that do no harm.
        (count * 3) % 10 < self.fatal_of_ten.get()
    }
}

fn prompt_parts(request: &str) -> Vec<u64> {
    let prompt = header(request, "x-prompt").unwrap_or_default();
    let ids = prompt.split(',').filter_map(|part| part.split(':').next());
    ids.filter_map(|id| u64::from_str_radix(id, 16).ok())
        .collect()
}

fn entry(id: &str, addr: SocketAddr) -> Upstream {
    let model = LoadedModel {
        name: "m1".to_owned(),
        adapters: Vec::new(),
    };
    Upstream {
        id: id.to_owned(),
        service: "llm".to_owned(),
        addr,
        zone: "a".to_owned(),
        software: "1".to_owned(),
        slots: 64,
        phase: Phase::Ready,
        born_ms: Some(1),
        cold_for: std::time::Duration::ZERO,
        holds: Holding {
            models: vec![model],
            ..Holding::default()
        },
    }
}
