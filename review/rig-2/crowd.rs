//! Rule RECOVER, and the promise on callers that misbehave: a machine that says it is ready takes new
//! connections.
//!
//! A crowd sends requests whose bodies stop just short of their end, and stays open. It is larger than the
//! number of descriptors that the machine has.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Instance, Machine, Net, SMALL},
    holder_turns::scratch,
    http,
    record::Record,
    servers::{self, KEY},
    store::Store,
};

/// Descriptors of a machine of the small sites.
const MAX_FDS: u64 = 4_100;
/// Connections of the crowd.
const CROWD: usize = 4_400;
/// Ordinary clients, each with a new connection for each request.
const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a client gives an attempt up: the deadline of the route's requests is 600 ms.
const PATIENCE: Duration = Duration::from_millis(1_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const CALM: Duration = Duration::from_secs(4);
const OBSERVED: Duration = Duration::from_secs(20);
const BODY_LENGTH: usize = 1_000;

pub fn run(has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let folder = scratch()?;
    let result = run_in(&folder, has_trouble, record);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// An attempt of an ordinary client: when it began, and when it was answered with which status.
type Attempt = (Instant, Option<(Instant, u16)>);

fn run_in(folder: &Path, has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    if fleet::raise_own_descriptors() < CROWD as u64 + 500 {
        return Err("this machine gives the crowd too few descriptors".to_owned());
    }
    let net = Net::claim().map_err(text)?;
    let store = Store::start(net.listen(2).map_err(text)?);
    store.put("op/config", &servers::configuration());
    servers::start_plain("i-desk-1", net.listen(3).map_err(text)?, &store);
    let machine = Machine {
        max_fds: Some(MAX_FDS),
        ..SMALL
    };
    let instance = Instance::new(&net, ("front-mid-a-1", 10), machine, store.addr, folder);
    let mut instance = instance.map_err(text)?;
    instance.start().map_err(text)?;
    if !instance.wait_until_ready(Duration::from_secs(10)) {
        return Err("the instance is not ready".to_owned());
    }
    let mut readiness = Readiness::open(instance.ready).map_err(text)?;
    let clients = Clients::start(instance.front);
    thread::sleep(CALM);
    let calm = clients.attempts();
    let answered = calm
        .iter()
        .filter(|(_, answer)| answer.is_some_and(|a| a.1 == 200));
    record.line(&format!(
        "calm: {} of {} requests served",
        answered.count(),
        calm.len()
    ));

    let began = Instant::now();
    let mut crowd = Vec::new();
    if has_trouble {
        for n in 0..CROWD {
            crowd.extend(join_crowd(instance.front, n, BODY_LENGTH));
        }
        let ms = began.elapsed().as_millis();
        record.line(&format!(
            "a crowd of {} has sent bodies but for their last byte, in {ms} ms",
            crowd.len()
        ));
    }
    let mut ready_since = None;
    let mut ready = Vec::new();
    while began.elapsed() < OBSERVED {
        let is_ready = readiness.check();
        if is_ready {
            ready_since.get_or_insert(Instant::now());
        } else if let Some(since) = ready_since.take() {
            ready.push((since, Instant::now()));
        }
        thread::sleep(Duration::from_millis(500));
    }
    ready.extend(ready_since.map(|since| (since, Instant::now())));
    let memory = instance.memory_kb().unwrap_or(0) / 1024;
    let descriptors = instance.descriptors().unwrap_or(0);
    record.line(&format!(
        "memory {memory} MB, descriptors {descriptors}, ended: {}",
        instance.has_ended()
    ));
    let is_ready = instance.is_ready();
    record.line(&format!("readiness over a new connection: {is_ready}"));
    drop(crowd);
    let attempts = clients.stop();
    Ok(check(&attempts, &ready, began, record))
}

/// Sends a request but for the last byte of its body.
pub fn join_crowd(front: SocketAddr, n: usize, body_length: usize) -> Option<TcpStream> {
    let mut io = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: order.example\r\nX-Comfreyweir-Request-Id: c{n:015x}\r\n\
         X-Comfreyweir-Deadline-Ms: 600\r\nX-Comfreyweir-Credential: {KEY}\r\n\
         Content-Length: {body_length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_length - 1, b'x');
    io.write_all(&bytes).ok()?;
    Some(io)
}

/// Looks for a span of `contact_ms` in which the machine says that it is ready, and none of the attempts
/// that began in it is answered.
fn check(
    attempts: &[Attempt],
    ready: &[(Instant, Instant)],
    began: Instant,
    record: &mut Record,
) -> Verdict {
    let mut attempts: Vec<_> = attempts.iter().filter(|(at, _)| *at >= began).collect();
    attempts.sort_by_key(|(at, _)| *at);
    let served = attempts
        .iter()
        .filter(|(_, a)| a.is_some_and(|a| a.1 == 200))
        .count();
    record.line(&format!(
        "afterwards: {served} of {} requests served",
        attempts.len()
    ));
    let mut longest = (Duration::ZERO, 0);
    for (from, to) in ready {
        let mut begin = *from;
        let mut unanswered = 0;
        for (at, answer) in attempts.iter().filter(|(at, _)| at >= from && at <= to) {
            if answer.is_some() {
                begin = *at;
                unanswered = 0;
            } else {
                unanswered += 1;
                longest = longest.max((at.duration_since(begin), unanswered));
            }
        }
    }
    record.line(&format!(
        "longest time in which the machine says it is ready and answers no new connection: {} ms, in which \
         {} attempts of {CLIENTS} clients began",
        longest.0.as_millis(), longest.1
    ));
    if longest.0 >= CONTACT && longest.1 >= CLIENTS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The platform's readiness check, over one connection.
struct Readiness(TcpStream);

impl Readiness {
    fn open(ready: SocketAddr) -> std::io::Result<Self> {
        let mut readiness = Self(TcpStream::connect(ready)?);
        readiness.check();
        Ok(readiness)
    }

    fn check(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(1);
        let req = b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = http::call_on(&mut self.0, req, deadline);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

struct Clients {
    is_over: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(front: SocketAddr) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let threads = (0..CLIENTS).map(|client| {
            let (is_over, attempts) = (Arc::clone(&is_over), Arc::clone(&attempts));
            thread::spawn(move || {
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let began = Instant::now();
                    let answer = ask(front, client, n).map(|status| (Instant::now(), status));
                    let mut attempts = attempts.lock().expect("no thread panics with the lock");
                    attempts.push((began, answer));
                    drop(attempts);
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        });
        let threads = threads.collect();
        Self {
            is_over,
            attempts,
            threads,
        }
    }

    fn attempts(&self) -> Vec<Attempt> {
        self.attempts
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }

    fn stop(self) -> Vec<Attempt> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self
            .attempts
            .lock()
            .expect("no thread panics with the lock");
        attempts.clone()
    }
}

/// An ordinary request over a new connection. Returns the status of any answer.
pub fn ask(front: SocketAddr, client: usize, n: u64) -> Option<u16> {
    let req = format!(
        "GET /cufi504/2f HTTP/1.1\r\nHost: stock.example\r\nConnection: close\r\n\
         X-Comfreyweir-Request-Id: s{client:03x}{n:012x}\r\nX-Comfreyweir-Deadline-Ms: 600\r\n\
         X-Comfreyweir-Credential: {KEY}\r\n\r\n"
    );
    let answer = http::call(front, req.as_bytes(), PATIENCE).ok()?;
    Some(answer.status())
}
