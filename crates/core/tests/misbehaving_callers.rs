//! Crowds of misbehaving callers at one instance on the smallest machine: the process stays alive,
//! stays within the machine's memory and descriptors, and serves an ordinary caller meanwhile.
//!
//! The tests check neither times nor the share of served requests. They hold a lock, since their
//! crowds would disturb each other.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_platform_standins::{
    caller::{configuration, is_ready},
    store::Store,
};
use comfreyweir_testbed::{LoopbackBlock, Process, until, until_some};
use serde_json::json;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
    time::timeout,
};

/// Memory of the smallest machine, in MB.
const MACHINE_MEMORY_MB: u64 = 120;
/// Part of it that pages of the program's file take in a release build, in MB. Those of the debug
/// build are not comparable, so that only anonymous memory is measured.
const PROGRAM_MB: u64 = 16;
/// Largest anonymous memory of the process, in kB.
const MEMORY_BOUND_KB: u64 = (MACHINE_MEMORY_MB - PROGRAM_MB) * 1024;
/// Connections that may be open at a port; lowered, so that a small crowd reaches it.
const MAX_CONNECTIONS: usize = 600;
/// Connections to upstreams that the configuration allows, and descriptors of the process itself.
const OTHER_DESCRIPTORS: u64 = 64 + 100;
const DESCRIPTOR_BOUND: u64 = MAX_CONNECTIONS as u64 + OTHER_DESCRIPTORS;
/// Time limit of the route; long enough that no request of a crowd ends by it.
const ROUTE_TIME_LIMIT: Duration = Duration::from_mins(2);
/// Time for which a crowd goes on before the ordinary request.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time after which the ordinary caller gives up; no requirement on how fast it is served.
const ORDINARY_LIMIT: Duration = Duration::from_secs(40);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A body below `max_body_bytes` of the configuration, which is 1,048,576.
const BODY_BYTES: usize = 1_000_001;
/// A large answer, below the limit on answers that are buffered.
const LARGE_ANSWER_BYTES: usize = 4_000_000;
const SERVER: &str = "plain-1";
const KEY: &str = "key-1";

/// Serializes the tests of this file.
static LOCK: Mutex<()> = Mutex::const_new(());

/// Where a crowd sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    ServedPath,
    PathWithoutRoute,
    ReadinessPort,
}

impl Place {
    const ALL: [Self; 3] = [
        Self::ServedPath,
        Self::PathWithoutRoute,
        Self::ReadinessPort,
    ];
}

/// One instance with its store and an upstream.
struct Site {
    process: Process,
    callers: SocketAddr,
    ready: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    _folder: TempDir,
    _block: LoopbackBlock,
}

impl Site {
    async fn start() -> Self {
        let block = LoopbackBlock::claim().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let store = Rc::new(Store::bind(block.addr(2, 7_000)).unwrap());
        let key = KEY.to_owned();
        store.put("op/config", &configuration(1, &[key], ROUTE_TIME_LIMIT));
        let listener = TcpListener::bind(block.addr(3, 7_000)).await.unwrap();
        let upstream = listener.local_addr().unwrap();
        let store_addr = store.addr();
        let tasks = vec![
            actix_rt::spawn(answer_all(listener)),
            actix_rt::spawn(write_heartbeats(store, upstream)),
        ];
        let (callers, ready) = (block.addr(10, 8_080), block.addr(10, 8_081));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-entry"));
        let mut process = Process::new("entry-0", &program, folder.path());
        let text = format!(
            "[instance]\nname = \"entry-0\"\nzone = \"a\"\n{}\n[listen]\ncallers = \"{callers}\"\n\
             ready = \"{ready}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n[store]\naddr = \"{store_addr}\"\n\n\
             [limits]\nconnections = {MAX_CONNECTIONS}\nhead_ms = 3000\n",
            machine_settings(),
            block.addr(10, 8_082),
            block.addr(10, 8_083),
        );
        fs::write(process.config(), text).unwrap();
        process.start().unwrap();
        let site = Self {
            process,
            callers,
            ready,
            tasks,
            _folder: folder,
            _block: block,
        };
        let is_up = async || is_ready(ready).await && send_ordinary(callers, "first").await;
        until(ORDINARY_LIMIT, "the instance serves", is_up)
            .await
            .unwrap();
        site
    }

    fn addr(&self, place: Place) -> SocketAddr {
        match place {
            Place::ServedPath | Place::PathWithoutRoute => self.callers,
            Place::ReadinessPort => self.ready,
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Line of the settings that gives the machine's memory.
fn machine_settings() -> String {
    format!("memory_mb = {MACHINE_MEMORY_MB}\n")
}

fn entry(addr: SocketAddr, heartbeat: u64) -> serde_json::Value {
    json!({
        "service": "plain", "addr": addr, "zone": "a", "version": "1", "slots": 64,
        "phase": "ready", "cold_ms": 0, "seq": heartbeat, "stage": "both", "models": [],
    })
}

/// Keeps the upstream's entry alive.
async fn write_heartbeats(store: Rc<Store>, upstream: SocketAddr) {
    for heartbeat in 1.. {
        store.put(&format!("servers/{SERVER}"), &entry(upstream, heartbeat));
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Answers each request with a text that names it, or with a large answer.
async fn answer_all(listener: TcpListener) {
    loop {
        if let Ok((io, _)) = listener.accept().await {
            actix_rt::spawn(answer_connection(io));
        }
    }
}

async fn answer_connection(mut io: TcpStream) -> Option<()> {
    loop {
        let head = read_head(&mut io).await?;
        let length: usize = header(&head, "content-length").and_then(|n| n.parse().ok())?;
        let mut left = length;
        let mut piece = vec![0; 65_536];
        while left > 0 {
            let max = left.min(piece.len());
            left -= io.read(&mut piece[..max]).await.ok().filter(|n| *n > 0)?;
        }
        let id = header(&head, "x-comfreyweir-request-id")?;
        let body = if head.contains("/large") {
            vec![b'l'; LARGE_ANSWER_BYTES]
        } else {
            format!("{id} is done\n").into_bytes()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nx-comfreyweir-request-id: {id}\r\n\
             x-comfreyweir-server-seal: {SERVER}.{id}\r\n\r\n",
            body.len()
        );
        io.write_all(head.as_bytes()).await.ok()?;
        io.write_all(&body).await.ok()?;
    }
}

/// Reads up to the end of a head, byte by byte.
async fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(io.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines();
    lines.find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Sends an ordinary request. Whether it was answered with the upstream's answer.
async fn send_ordinary(addr: SocketAddr, id: &str) -> bool {
    let exchange = async {
        let mut io = TcpStream::connect(addr).await.ok()?;
        let text = format!(
            "POST /read/x HTTP/1.1\r\n{}content-length: 6\r\nconnection: close\r\n\r\na body",
            headers(id)
        );
        io.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        io.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    let answer = timeout(ORDINARY_LIMIT, exchange).await.ok().flatten();
    let expected = format!("\r\n\r\n{id} is done\n");
    answer.is_some_and(|a| a.starts_with("HTTP/1.1 200") && a.ends_with(&expected))
}

fn headers(id: &str) -> String {
    format!(
        "host: soak.example\r\nx-comfreyweir-request-id: {id}\r\n\
         x-comfreyweir-credential: {KEY}\r\nx-comfreyweir-deadline-ms: 90000\r\n"
    )
}

fn path(place: Place, name: &str) -> String {
    match place {
        Place::ServedPath => format!("/read/{name}"),
        Place::PathWithoutRoute => format!("/nowhere/{name}"),
        Place::ReadinessPort => "/-/ready".to_owned(),
    }
}

/// Largest memory and number of descriptors of a process while it is watched.
struct Sampler {
    stop: Arc<AtomicBool>,
    memory_kb: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Sampler {
    fn start(pid: u32) -> Self {
        let (stop, memory_kb, descriptors) = Default::default();
        let sampler = Self {
            stop,
            memory_kb,
            descriptors,
            thread: None,
        };
        let (stop, memory_kb) = (Arc::clone(&sampler.stop), Arc::clone(&sampler.memory_kb));
        let descriptors = Arc::clone(&sampler.descriptors);
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                memory_kb.fetch_max(anonymous_kb(pid), Ordering::SeqCst);
                let open = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                descriptors.fetch_max(open as u64, Ordering::SeqCst);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            thread: Some(thread),
            ..sampler
        }
    }

    fn stop(mut self) -> (u64, u64) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let value = |n: &AtomicU64| n.load(Ordering::SeqCst);
        (value(&self.memory_kb), value(&self.descriptors))
    }
}

fn anonymous_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// Runs a crowd at each place, each at an instance of its own, and checks the process. All
/// connections stay open until the ordinary request was answered.
async fn check_crowd<C, F>(kind: &str, callers: usize, caller: C)
where
    C: Fn(SocketAddr, Place, usize) -> F,
    F: Future<Output = Option<()>> + 'static,
{
    let _lock = LOCK.lock().await;
    let mut faults = Vec::new();
    for place in Place::ALL {
        let mut site = Site::start().await;
        let sampler = Sampler::start(site.process.id().unwrap());
        let crowd: Vec<_> = (0..callers)
            .map(|n| actix_rt::spawn(caller(site.addr(place), place, n)))
            .collect();
        sleep(CROWD_TIME).await;
        let mut attempt = 0;
        let answered = until_some(ORDINARY_LIMIT, "an ordinary answer", async || {
            attempt += 1;
            let id = format!("ordinary-{attempt}");
            let sent = timeout(ORDINARY_LIMIT / 4, send_ordinary(site.callers, &id)).await;
            sent.unwrap_or(false).then_some(())
        });
        let is_answered = answered.await.is_ok();
        let (memory_kb, descriptors) = sampler.stop();
        crowd.iter().for_each(JoinHandle::abort);
        let ended = site.process.exit_status();
        println!(
            "{kind}, {place:?}: {memory_kb} kB, {descriptors} descriptors, answered {is_answered} \
             in attempt {attempt}, ended {ended:?}"
        );
        if ended.is_some() {
            faults.push(format!("{place:?}: the process has ended: {ended:?}"));
        }
        if memory_kb > MEMORY_BOUND_KB {
            faults.push(format!("{place:?}: {memory_kb} kB of {MEMORY_BOUND_KB} kB"));
        }
        if descriptors > DESCRIPTOR_BOUND {
            faults.push(format!(
                "{place:?}: {descriptors} descriptors of {DESCRIPTOR_BOUND}"
            ));
        }
        if !is_answered {
            faults.push(format!("{place:?}: no answer to an ordinary request"));
        }
    }
    assert!(faults.is_empty(), "{kind}: {faults:#?}");
}

async fn stay_open(io: TcpStream) -> Option<()> {
    std::future::pending::<()>().await;
    drop(io);
    None
}

/// Sends the head of a request with a body.
async fn begin_body(addr: SocketAddr, place: Place, n: usize, framing: &str) -> Option<TcpStream> {
    let mut io = TcpStream::connect(addr).await.ok()?;
    let head = format!(
        "POST {} HTTP/1.1\r\n{}{framing}\r\n\r\n",
        path(place, "x"),
        headers(&format!("crowd-{n}"))
    );
    io.write_all(head.as_bytes()).await.ok()?;
    Some(io)
}

/// A request whose answer is large, if it has one.
fn large_request(place: Place, id: &str) -> String {
    format!(
        "POST {} HTTP/1.1\r\n{}content-length: 0\r\n\r\n",
        path(place, "large"),
        headers(id)
    )
}

/// Guards against bodies that are held without a limit while they are read.
#[actix_rt::test]
async fn incomplete_bodies_in_one_piece() {
    check_crowd("in one piece", 250, |addr, place, n| async move {
        let framing = format!("content-length: {BODY_BYTES}");
        let mut io = begin_body(addr, place, n, &framing).await?;
        io.write_all(&vec![b'b'; BODY_BYTES - 1]).await.ok()?;
        stay_open(io).await
    })
    .await;
}

/// Guards against bodies that are held without a limit while they are read, and against a cost of
/// memory for each piece.
#[actix_rt::test]
async fn incomplete_bodies_in_small_pieces() {
    const PIECE: usize = 1_000;
    check_crowd("in small pieces", 250, |addr, place, n| async move {
        let framing = format!("content-length: {BODY_BYTES}");
        let mut io = begin_body(addr, place, n, &framing).await?;
        let _ = io.set_nodelay(true);
        for _ in 0..BODY_BYTES / PIECE {
            io.write_all(&[b'b'; PIECE]).await.ok()?;
            tokio::task::yield_now().await;
        }
        stay_open(io).await
    })
    .await;
}

/// Guards against bodies without a declared length that are held without a limit.
#[actix_rt::test]
async fn incomplete_bodies_in_chunks() {
    const CHUNK: usize = 100_000;
    check_crowd("in chunks", 250, |addr, place, n| async move {
        let mut io = begin_body(addr, place, n, "transfer-encoding: chunked").await?;
        let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + CHUNK, b'c');
        chunk.extend_from_slice(b"\r\n");
        for _ in 0..BODY_BYTES / CHUNK {
            io.write_all(&chunk).await.ok()?;
        }
        stay_open(io).await
    })
    .await;
}

/// Guards against bodies over the limit that are kept, or read for ever.
#[actix_rt::test]
async fn bodies_far_over_the_limit() {
    check_crowd("far over the limit", 100, |addr, place, n| async move {
        let framing = if n % 2 == 0 {
            "content-length: 9000000000"
        } else {
            "transfer-encoding: chunked"
        };
        let mut io = begin_body(addr, place, n, framing).await?;
        if n % 2 == 1 {
            io.write_all(b"ffffffff\r\n").await.ok()?;
        }
        loop {
            io.write_all(&[b'f'; 16_384]).await.ok()?;
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// Guards against header sections that take far more memory than bytes. Half of them are left
/// incomplete.
#[actix_rt::test]
async fn very_many_short_header_fields() {
    check_crowd("short header fields", 300, |addr, place, n| async move {
        let mut io = TcpStream::connect(addr).await.ok()?;
        let mut head = format!("GET {} HTTP/1.1\r\n{}", path(place, "x"), headers("h"));
        head += &"a:b\r\n".repeat(2_600);
        if n % 2 == 1 {
            head += "\r\n";
        }
        io.write_all(head.as_bytes()).await.ok()?;
        stay_open(io).await
    })
    .await;
}

/// Guards against requests that are parsed and queued while an earlier one is answered, and against
/// answers that pile up.
#[actix_rt::test]
async fn pipelined_requests_whose_answers_are_not_read() {
    const REQUESTS: usize = 16_000;
    check_crowd("pipelined", 60, |addr, place, n| async move {
        let mut io = TcpStream::connect(addr).await.ok()?;
        let mut requests = String::new();
        let request = if place == Place::ServedPath {
            // The requests behind it wait for its answer, which nobody reads.
            requests = large_request(place, &format!("crowd-{n}"));
            "GET /read/ HTTP/1.1\r\nhost:soak.example\r\n\r\n"
        } else {
            "GET / HTTP/1.1\r\nhost:a\r\n\r\n"
        };
        requests += &request.repeat(REQUESTS);
        io.write_all(requests.as_bytes()).await.ok()?;
        stay_open(io).await
    })
    .await;
}

/// Guards against callers that keep a connection and half a body by one byte at a time. They are
/// more than the connections that may be open.
#[actix_rt::test]
async fn slow_senders() {
    const INTERVAL: Duration = Duration::from_millis(200);
    check_crowd("slow senders", 700, |addr, place, n| async move {
        let framing = format!("content-length: {BODY_BYTES}");
        let mut io = begin_body(addr, place, n, &framing).await?;
        io.write_all(&vec![b's'; BODY_BYTES / 2]).await.ok()?;
        loop {
            io.write_all(b"s").await.ok()?;
            sleep(INTERVAL).await;
        }
    })
    .await;
}

/// Guards against large answers that are held without a limit for callers that read slowly.
#[actix_rt::test]
async fn slow_readers_of_large_answers() {
    const INTERVAL: Duration = Duration::from_millis(200);
    check_crowd("slow readers", 60, |addr, place, n| async move {
        let mut io = TcpStream::connect(addr).await.ok()?;
        let id = format!("crowd-{n}");
        let request = large_request(place, &id);
        io.write_all(request.as_bytes()).await.ok()?;
        let mut piece = [0; 1_024];
        loop {
            io.read(&mut piece).await.ok().filter(|n| *n > 0)?;
            sleep(INTERVAL).await;
        }
    })
    .await;
}

/// Guards against callers that stop within a header section, a body or an answer, and stay.
#[actix_rt::test]
async fn callers_that_stop_halfway() {
    check_crowd("stop halfway", 300, |addr, place, n| async move {
        let id = format!("crowd-{n}");
        if n % 3 == 0 {
            let mut io = TcpStream::connect(addr).await.ok()?;
            let filler = "f".repeat(14_000);
            let head = format!("GET {} HTTP/1.1\r\nfiller: {filler}", path(place, "x"));
            io.write_all(head.as_bytes()).await.ok()?;
            return stay_open(io).await;
        }
        if n % 3 == 1 {
            let framing = format!("content-length: {BODY_BYTES}");
            let mut io = begin_body(addr, place, n, &framing).await?;
            io.write_all(&vec![b'b'; BODY_BYTES / 10 * 7]).await.ok()?;
            return stay_open(io).await;
        }
        let mut io = TcpStream::connect(addr).await.ok()?;
        let request = large_request(place, &id);
        io.write_all(request.as_bytes()).await.ok()?;
        let _ = io.read(&mut [0; 1_024]).await;
        stay_open(io).await
    })
    .await;
}
