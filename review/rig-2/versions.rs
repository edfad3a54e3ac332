//! Rule ORDER: a stream holds events of one software version only.
//!
//! While an instance is frozen, the first server of a new version registers, and an instance is added. It
//! sends streams to the new server, and is killed. Callers take their streams up at the instance that was
//! frozen.

use std::{
    collections::BTreeSet,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Instance, Net, SIGCONT, SIGSTOP, SMALL},
    holder_turns::{holder, scratch},
    http::{self, Message},
    record::Record,
    servers::{self, HEARTBEAT, KEY, unix_ms},
    store::Store,
};

/// First letter of the identifiers of streams that pause.
pub const PAUSED: &str = "p";
/// Streams that callers begin at the added instance.
const STREAMS: usize = 10;
/// Time between two of them: 10 a second.
const STREAM_GAP: Duration = Duration::from_millis(100);
/// Events of a stream, and the time between them.
pub const EVENTS: u32 = 60;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Times after the freeze.
const NEW_VERSION_AT: Duration = Duration::from_millis(50);
const ADD_AT: Duration = Duration::from_millis(800);
const KILL_AT: Duration = Duration::from_millis(2_000);
const THAW_AT: Duration = Duration::from_millis(2_400);
/// Time from the start of the callers until they have read an answer.
const CALLER_LIMIT: Duration = Duration::from_secs(12);

/// Which disruptions there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// The added instance is killed, and nothing is frozen.
    KillOnly,
    FreezeAndKill,
}

pub fn run(trouble: Trouble, record: &mut Record) -> Result<Verdict, String> {
    let folder = scratch()?;
    let result = run_in(&folder, trouble, record);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn run_in(folder: &Path, trouble: Trouble, record: &mut Record) -> Result<Verdict, String> {
    let text = |e: io::Error| e.to_string();
    let net = Net::claim().map_err(text)?;
    let store = Store::start(net.listen(2).map_err(text)?);
    store.put("op/config", &servers::configuration());
    for (i, id) in ["i-llm-1", "i-llm-2"].iter().enumerate() {
        let listener = net.listen(20 + i as u8).map_err(text)?;
        StreamServer::start(id, "v1", listener, &store);
    }
    let mut instances = Vec::new();
    for (i, name) in ["front-mid-a-1", "front-mid-a-2", "front-mid-a-3"]
        .iter()
        .enumerate()
    {
        let instance = Instance::new(&net, (name, 10 + i as u8), SMALL, store.addr, folder);
        instances.push(instance.map_err(text)?);
    }
    let mut added = instances.pop().ok_or("no instance to add")?;
    for instance in &mut instances {
        instance.start().map_err(text)?;
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", instance.name));
        }
    }
    // The versions that serve are recorded, and all instances know them.
    thread::sleep(Duration::from_secs(8));
    let first = holder(&store).ok_or("no instance holds the duty")?;
    let frozen = instances
        .iter()
        .position(|i| i.name != first)
        .ok_or("all hold the duty")?;
    let frozen = &instances[frozen];

    let began = Instant::now();
    let until = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
    let freezes = trouble == Trouble::FreezeAndKill;
    if freezes {
        record.line(&format!(
            "SIGSTOP to {}; {first} holds the duty",
            frozen.name
        ));
        frozen.signal(SIGSTOP);
    }
    until(NEW_VERSION_AT);
    let listener = net.listen(30).map_err(text)?;
    let new = StreamServer::start("i-llm-3", "v2", listener, &store);
    record.line("a server of version v2 registers; those of v1 stay");
    until(ADD_AT);
    added.start().map_err(text)?;
    if !added.wait_until_ready(Duration::from_secs(1)) {
        return Err("the added instance is not ready in time".to_owned());
    }
    record.line(&format!("{} is added and ready", added.name));
    let resume_at = frozen.front;
    let begin_at = added.front;
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            thread::spawn(move || {
                thread::sleep(STREAM_GAP * n as u32);
                Caller::new(n).read_stream(begin_at, resume_at)
            })
        })
        .collect();
    until(KILL_AT);
    record.line(&format!("v2 has begun {} streams", new.begun()));
    if trouble != Trouble::None {
        record.line(&format!("SIGKILL to {}", added.name));
        added.kill();
    }
    until(THAW_AT);
    if freezes {
        record.line(&format!("SIGCONT to {}", frozen.name));
        frozen.signal(SIGCONT);
    }
    let streams: Vec<_> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    Ok(check(&streams, record))
}

fn check(streams: &[Caller], record: &mut Record) -> Verdict {
    let mut mixed = 0;
    for caller in streams {
        let versions: BTreeSet<_> = caller.events.iter().map(|(_, version)| version).collect();
        let attempts = caller.attempts.join("; ");
        if versions.len() > 1 || caller.attempts.len() > 1 {
            let events = caller
                .events
                .iter()
                .map(|(n, version)| format!("{n}:{version}"));
            let events: Vec<_> = events.collect();
            record.line(&format!(
                "stream {}: {attempts}; events {}",
                caller.id,
                events.join(" ")
            ));
        }
        mixed += usize::from(versions.len() > 1);
    }
    let resumed = streams.iter().filter(|c| c.attempts.len() > 1).count();
    let whole = streams
        .iter()
        .filter(|c| c.events.len() == EVENTS as usize)
        .count();
    record.line(&format!(
        "{} streams, {resumed} taken up again, {whole} with all events; {mixed} hold events of two versions, \
         {ALLOWED} are allowed",
        streams.len()
    ));
    if mixed > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A caller, and the events that it got: their numbers, and the versions that wrote them.
pub struct Caller {
    pub id: String,
    pub events: Vec<(u32, String)>,
    pub attempts: Vec<String>,
}

impl Caller {
    pub fn new(n: usize) -> Self {
        Self {
            id: format!("s{n:015x}"),
            events: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// Begins a stream, and takes it up once at another instance if it breaks off.
    fn read_stream(mut self, begin_at: SocketAddr, resume_at: SocketAddr) -> Self {
        let id = self.id.clone();
        let outcome = self.read(begin_at, &id, "");
        self.attempts.push(outcome);
        if let Some((last, _)) = self.events.last().filter(|(n, _)| *n < EVENTS) {
            let more = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
            let outcome = self.read(resume_at, &format!("{id}-2"), &more);
            self.attempts.push(outcome);
        }
        self
    }

    pub fn read(&mut self, at: SocketAddr, id: &str, more: &str) -> String {
        let before = self.events.len();
        let status = self.read_events(at, id, more);
        let got = self.events.len() - before;
        match status {
            Ok(status) => format!("at {at}: {status}, {got} events"),
            Err(e) => format!("at {at}: {got} events, then {e}"),
        }
    }

    fn read_events(&mut self, at: SocketAddr, id: &str, more: &str) -> io::Result<u16> {
        let mut io = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        io.set_read_timeout(Some(CALLER_LIMIT))?;
        let req = format!(
            "POST /pufi791/2f HTTP/1.1\r\nHost: tender.example\r\nConnection: close\r\n\
             X-Comfreyweir-Request-Id: {id}\r\nX-Comfreyweir-Model: m0\r\n\
             X-Comfreyweir-Token-Count: 100,{EVENTS}\r\nX-Comfreyweir-Deadline-Ms: 17000\r\n\
             X-Comfreyweir-Credential: {KEY}\r\n{more}Content-Length: 2\r\n\r\nhi"
        );
        io.write_all(req.as_bytes())?;
        let mut bytes = Vec::new();
        let mut part = [0; 4096];
        let mut taken = 0;
        loop {
            let n = io.read(&mut part)?;
            if n == 0 {
                break;
            }
            bytes.extend_from_slice(&part[..n]);
            let text = String::from_utf8_lossy(&bytes[taken..]).into_owned();
            if let Some(end) = text.rfind("\n\n") {
                self.take_events(&text[..end]);
                taken += end + 2;
            }
            if bytes.ends_with(b"0\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Takes the events of a piece, whose data are their number and the version that wrote them.
    fn take_events(&mut self, text: &str) {
        for line in text.lines() {
            if let Some((n, version)) = line.strip_prefix("data: ").and_then(|d| d.split_once(' '))
            {
                let n = n.parse().unwrap_or(0);
                self.events.push((n, version.to_owned()));
            }
        }
    }
}

/// A model server that holds m0 and goes on with a stream after the event that a request names.
#[derive(Clone)]
pub struct StreamServer {
    id: String,
    version: &'static str,
    addr: SocketAddr,
    born: u128,
    begun: Arc<Mutex<usize>>,
    /// Event after which a run that begins a stream with an identifier of [`PAUSED`] pauses, and for how
    /// long.
    pause: Option<(u32, Duration)>,
}

impl StreamServer {
    fn start(id: &str, version: &'static str, listener: TcpListener, store: &Store) -> Self {
        Self::start_pausing(id, version, (listener, None), store)
    }

    pub fn start_pausing(
        id: &str,
        version: &'static str,
        (listener, pause): (TcpListener, Option<(u32, Duration)>),
        store: &Store,
    ) -> Self {
        let server = Self {
            id: id.to_owned(),
            version,
            addr: listener.local_addr().expect("the listener has an address"),
            born: unix_ms(),
            begun: Arc::default(),
            pause,
        };
        let served = server.clone();
        http::serve(listener, move |req, io| served.answer(req, io));
        let (beating, store) = (server.clone(), store.clone());
        beating.beat(&store, 0);
        thread::spawn(move || {
            for seq in 1.. {
                thread::sleep(HEARTBEAT);
                beating.beat(&store, seq);
            }
        });
        server
    }

    fn beat(&self, store: &Store, seq: u64) {
        let value = format!(
            "{{\"service\":\"llm\",\"addr\":\"{}\",\"zone\":\"mid-a\",\"version\":\"{}\",\"slots\":64,\
             \"phase\":\"ready\",\"cold_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
            self.addr, self.version, self.born
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    fn begun(&self) -> usize {
        *self.begun.lock().expect("no thread panics with the lock")
    }

    fn answer(&self, req: &Message, io: &mut TcpStream) -> io::Result<bool> {
        let expected = req.header("x-comfreyweir-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return http::answer(io, "421 Misdirected Request", &[], b"");
        }
        match (req.method(), req.path()) {
            ("GET", "/-/report") => {
                let text = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                     \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\
                     \"kv_total\":232000,\"handles\":0}";
                let headers = [("Content-Type", "application/json")];
                http::answer(io, "200 OK", &headers, text.as_bytes())
            }
            ("POST", "/-/order") => http::answer(io, "200 OK", &[], b""),
            _ => self.stream(req, io),
        }
    }

    fn stream(&self, req: &Message, io: &mut TcpStream) -> io::Result<bool> {
        let id = req.header("x-comfreyweir-request-id").unwrap_or_default();
        let last: Option<u32> = req.header("last-event-id").and_then(|v| v.parse().ok());
        // While its memory is full, a server preempts runs and turns newcomers away.
        if self.pause.is_some() && id.starts_with(PAUSED) && last.is_some() {
            let headers = [
                ("X-Comfreyweir-Request-Id", id),
                ("X-Comfreyweir-Not-Run", "1"),
            ];
            return http::answer(io, "503 Service Unavailable", &headers, b"");
        }
        *self.begun.lock().expect("no thread panics with the lock") += 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Comfreyweir-Request-Id: {id}\r\nX-Comfreyweir-Server-Seal: seal-{id}\r\n\r\n"
        );
        io.write_all(head.as_bytes())?;
        for n in last.unwrap_or(0) + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if let Some((after, time)) = self.pause
                && id.starts_with(PAUSED)
                && last.is_none()
                && n == after + 1
            {
                thread::sleep(time);
            }
            let event = format!("id: {n}\ndata: {n} {}\n\n", self.version);
            io.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        io.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
