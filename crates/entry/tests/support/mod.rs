//! An in-memory platform, scripted upstreams, and a client that speaks raw HTTP.
#![allow(dead_code, unused_imports)]

pub mod engines;
pub mod platform;
pub mod upstream;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use comfreyweir_config::{
    entry_settings::{
        EntryInstance, EntryListen, EntrySettings, EntryTiming, RetrySettings, StoreSettings,
    },
    settings::RequestLimits,
};
use comfreyweir_entry::{Entry, spawn};
use comfreyweir_fleet::upstream::{Holding, LoadedModel, Phase, Upstream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

pub use self::{
    engines::Engines,
    platform::{MemoryPlatform, SharedState},
    upstream::{FakeUpstream, ScriptStep},
};

/// Longest time that a test waits for a condition or an answer.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Returns an address that no other listener of any test uses: a loopback address derived from the
/// process id and a counter.
pub fn free_addr() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [block, at] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, at);
    SocketAddr::from((ip, 20_000 + u16::from(block)))
}

pub fn settings(name: &str) -> EntrySettings {
    EntrySettings {
        instance: EntryInstance {
            name: name.to_owned(),
            zone: "a".to_owned(),
            region: None,
            zones: BTreeMap::new(),
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: 256.0,
        },
        listen: EntryListen {
            callers: free_addr(),
            ready: free_addr(),
            peer: free_addr(),
            admin: free_addr(),
        },
        store: StoreSettings {
            addr: free_addr(),
            min_lease_ms: 1_000,
        },
        limits: RequestLimits::default(),
        timing: EntryTiming {
            order_rest_ms: 100,
            stop_notice_ms: 200,
            ..EntryTiming::default()
        },
        repeats: RetrySettings::default(),
    }
}

/// Entry of a ready upstream of software version 1.
pub fn upstream_entry(upstream: &FakeUpstream, service: &str, models: &[&str]) -> Upstream {
    let models = models.iter().map(|name| LoadedModel {
        name: (*name).to_owned(),
        adapters: Vec::new(),
    });
    Upstream {
        id: upstream.id.clone(),
        service: service.to_owned(),
        addr: upstream.addr,
        zone: "a".to_owned(),
        software: "1".to_owned(),
        slots: 8,
        phase: Phase::Ready,
        born_ms: Some(1),
        cold_for: std::time::Duration::ZERO,
        holds: Holding {
            models: models.collect(),
            ..Holding::default()
        },
    }
}

pub struct TestInstance {
    pub entry: Entry<MemoryPlatform>,
    pub shared: Rc<SharedState>,
    pub ready: SocketAddr,
}

/// Starts an instance on the shared state and waits until it is ready.
pub async fn start(shared: &Rc<SharedState>, name: &str) -> TestInstance {
    start_with(shared, name, |_| {}).await
}

/// Like [`start`], with settings changed by `change_settings`.
pub async fn start_with<F>(shared: &Rc<SharedState>, name: &str, change_settings: F) -> TestInstance
where
    F: FnOnce(&mut EntrySettings),
{
    let mut settings = settings(name);
    change_settings(&mut settings);
    let ready = settings.listen.ready;
    let platform = MemoryPlatform::new(Rc::clone(shared), name);
    let entry = spawn(settings, platform).await.unwrap();
    wait_until("ready", async || get(ready, "/-/ready").await.status == 200).await;
    TestInstance {
        entry,
        shared: Rc::clone(shared),
        ready,
    }
}

pub async fn wait_until<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended as its framing (length or last chunk) requires.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<String> {
        upstream::header(&self.head, name)
    }
}

pub async fn get(addr: SocketAddr, path: &str) -> Response {
    send_raw(addr, &format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")).await
}

/// Posts a request with an id, a key, a deadline and `extra` header lines.
pub async fn send_request(addr: SocketAddr, path: &str, id: &str, extra: &str) -> Response {
    send_raw(addr, &request_text(path, id, extra)).await
}

pub fn request_text(path: &str, id: &str, extra: &str) -> String {
    let deadline = if extra.contains("x-deadline") {
        ""
    } else {
        "x-deadline: 3000\r\n"
    };
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\nx-key: secret-key\r\n\
         {deadline}{extra}content-length: 4\r\n\r\nbody"
    )
}

pub async fn send_raw(addr: SocketAddr, request: &str) -> Response {
    let mut io = TcpStream::connect(addr).await.unwrap();
    io.write_all(request.as_bytes()).await.unwrap();
    read_response(&mut io).await
}

/// Reads one answer to its end.
pub async fn read_response(io: &mut TcpStream) -> Response {
    let mut buf = Vec::new();
    let read = timeout(WAIT_LIMIT, async {
        while !is_complete(&buf) {
            let mut piece = [0; 4096];
            match io.read(&mut piece).await {
                Ok(0) | Err(_) => return false,
                Ok(n) => buf.extend_from_slice(&piece[..n]),
            }
        }
        true
    });
    let complete = read.await.expect("answer did not end in time");
    let text = String::from_utf8_lossy(&buf).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = if head.to_lowercase().contains("transfer-encoding: chunked") {
        decode_chunked(body)
    } else {
        body.to_owned()
    };
    Response {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body,
        complete,
    }
}

fn is_complete(buf: &[u8]) -> bool {
    let text = String::from_utf8_lossy(buf);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    if head.to_lowercase().contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = upstream::header(head, "content-length").and_then(|l| l.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

fn decode_chunked(mut body: &str) -> String {
    let mut out = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 || rest.len() < size {
            break;
        }
        out.push_str(&rest[..size]);
        body = rest[size..].trim_start_matches("\r\n");
    }
    out
}
