//! The platform's store, servers and machines.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Req, respond},
    json::Json,
};

/// Lines of `record.txt`, with the time since the start of the case.
pub struct Record {
    file: Mutex<fs::File>,
    pub started: Instant,
}

impl Record {
    pub fn create(dir: &str) -> Arc<Self> {
        let file = fs::File::create(PathBuf::from(dir).join("record.txt"));
        let file = Mutex::new(file.expect("record.txt can be written"));
        Arc::new(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn log(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }
}

/// The state of the store at some time, from which it may come back.
#[derive(Clone)]
pub struct Copy {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    era: u64,
    /// When each lease was last renewed by a call.
    renewed: HashMap<u64, Instant>,
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    is_away: AtomicBool,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |i| i.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<_> = keys.map(|(k, _)| k.clone()).collect();
        if existed && !keys.is_empty() {
            self.rev += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
        existed
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        rev,
        created,
        lease,
    } = item;
    format!(r#""key":"{key}","value":"{value}","rev":{rev},"created":{created},"lease":{lease}"#)
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let state = StoreState {
            era: 3,
            rev: 100,
            last_lease: 70_000,
            ..StoreState::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        let addr = http::serve(free_addr(), move |req, io| served.handle(&req, io));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut s = expiring.state.lock().unwrap();
                let now = Instant::now();
                let ended = s.leases.iter().filter(|(_, (_, until))| *until <= now);
                let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
                ended.into_iter().for_each(|id| {
                    s.end_lease(id);
                });
                expiring.changed.notify_all();
            }
        });
        (store, addr.expect("a loopback port is free"))
    }

    /// A write of the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        let mut s = self.state.lock().unwrap();
        s.rev += 1;
        s.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn count(&self, prefix: &str) -> usize {
        let s = self.state.lock().unwrap();
        s.items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    fn json(&self, io: &mut TcpStream, status: u16, body: &str) -> bool {
        if self.is_away.load(Ordering::SeqCst) {
            return false;
        }
        let era = self.state.lock().unwrap().era;
        let head = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        respond(io, status, &head, body.as_bytes())
    }

    pub fn copy(&self) -> Copy {
        let s = self.state.lock().unwrap();
        Copy {
            rev: s.rev,
            items: s.items.clone(),
            leases: s.leases.clone(),
            last_lease: s.last_lease,
        }
    }

    /// The store is away for a moment and comes back from a copy. What the operator and the servers
    /// wrote since is written again.
    pub fn come_back_from(&self, copy: Copy) {
        self.is_away.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
        let mut s = self.state.lock().unwrap();
        let Copy {
            rev,
            mut items,
            leases,
            last_lease,
        } = copy;
        let theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        items.retain(|key, _| !theirs(key));
        let kept = std::mem::replace(&mut s.items, items);
        s.rev = rev;
        s.last_lease = last_lease;
        s.events.clear();
        let now = Instant::now();
        s.leases = leases
            .into_iter()
            .map(|(id, (ttl, _))| (id, (ttl, now + ttl)))
            .collect();
        s.era += 1;
        for (key, item) in kept.into_iter().filter(|(key, _)| theirs(key)) {
            s.rev += 1;
            s.put(&key, item.value, 0);
        }
        drop(s);
        self.is_away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// The value of a key, decoded.
    pub fn value(&self, key: &str) -> Option<String> {
        let s = self.state.lock().unwrap();
        Some(String::from_utf8_lossy(&from_base64(&s.items.get(key)?.value)).into_owned())
    }

    /// The lease that a key is bound to.
    pub fn lease(&self, key: &str) -> u64 {
        let s = self.state.lock().unwrap();
        s.items.get(key).map_or(0, |i| i.lease)
    }

    /// Time since a lease was last renewed.
    pub fn time_since_renewal(&self, lease: u64) -> Duration {
        let s = self.state.lock().unwrap();
        s.renewed
            .get(&lease)
            .map_or(Duration::MAX, Instant::elapsed)
    }

    fn handle(&self, req: &Req, io: &mut TcpStream) -> bool {
        if self.is_away.load(Ordering::SeqCst) {
            return false;
        }
        let path = req.path.split('?').next().unwrap_or_default();
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        match (req.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                let s = self.state.lock().unwrap();
                match s.items.get(&key) {
                    Some(item) => {
                        let body = format!("{{{},\"at_rev\":{}}}", item_json(&key, item), s.rev);
                        drop(s);
                        self.json(io, 200, &body)
                    }
                    None => {
                        drop(s);
                        self.json(io, 404, "{}")
                    }
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let s = self.state.lock().unwrap();
                let found = s
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let found: Vec<_> = found
                    .map(|(k, i)| format!("{{{}}}", item_json(k, i)))
                    .collect();
                let body = format!(
                    r#"{{"items":[{}],"has_more":false,"at_rev":{}}}"#,
                    found.join(","),
                    s.rev
                );
                drop(s);
                self.json(io, 200, &body)
            }
            ("GET", "/-/kv-watch") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let number = |n: &str| {
                    req.query(n)
                        .and_then(|t| t.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
                let until = Instant::now() + wait;
                let mut s = self.state.lock().unwrap();
                if after > s.rev {
                    drop(s);
                    return self.json(io, 410, "{}");
                }
                loop {
                    let new = s.events.iter().rev().take_while(|(rev, _, _)| *rev > after);
                    let mut new: Vec<_> = new.filter(|(_, k, _)| k.starts_with(&prefix)).collect();
                    new.reverse();
                    let left = until.saturating_duration_since(Instant::now());
                    if !new.is_empty() || left.is_zero() {
                        let events = new.iter().map(|(rev, key, item)| match item {
                            Some(item) => format!("{{{}}}", item_json(key, item)),
                            None => format!(r#"{{"key":"{key}","rev":{rev},"removed":true}}"#),
                        });
                        let events = events.collect::<Vec<_>>().join(",");
                        let body = format!(r#"{{"events":[{events}],"at_rev":{}}}"#, s.rev);
                        drop(s);
                        return self.json(io, 200, &body);
                    }
                    s = self.changed.wait_timeout(s, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let mut s = self.state.lock().unwrap();
                let field = |name: &str| body.get(name).map_or(&[][..], Json::list);
                let key = |j: &Json| j.get("key").map_or("", Json::str).to_owned();
                let rev = |s: &StoreState, key: &str| s.items.get(key).map_or(0, |i| i.rev);
                let expected: Vec<_> = field("expected")
                    .iter()
                    .map(|e| (key(e), e.get("rev").map_or(0, Json::num)))
                    .collect();
                if expected.iter().any(|(k, r)| rev(&s, k) != *r) {
                    let items = expected
                        .iter()
                        .filter_map(|(k, _)| Some((k, s.items.get(k)?)));
                    let items: Vec<_> = items
                        .map(|(k, i)| format!("{{{}}}", item_json(k, i)))
                        .collect();
                    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
                    drop(s);
                    return self.json(io, 412, &body);
                }
                let lease = |p: &Json| p.get("lease").map_or(0, Json::num);
                let lost = |p: &Json| lease(p) != 0 && !s.leases.contains_key(&lease(p));
                if field("puts").iter().any(lost) {
                    drop(s);
                    return self.json(io, 404, "{}");
                }
                s.rev += 1;
                for p in field("puts") {
                    let value = p.get("value").map_or("", Json::str).to_owned();
                    s.put(&key(p), value, lease(p));
                }
                for k in field("remove") {
                    s.remove(k.str());
                }
                let body = format!(r#"{{"rev":{}}}"#, s.rev);
                self.changed.notify_all();
                drop(s);
                self.json(io, 200, &body)
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttl_ms").map_or(1_000, Json::num);
                let mut s = self.state.lock().unwrap();
                s.last_lease += 1;
                let (lease, time) = (s.last_lease, Duration::from_millis(ttl));
                s.leases.insert(lease, (time, Instant::now() + time));
                drop(s);
                self.json(io, 200, &format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            (method, path) => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                let mut s = self.state.lock().unwrap();
                let is_known = if method == "POST" && path.starts_with("/-/kv-keep/") {
                    s.renewed.insert(id, Instant::now());
                    let lease = s.leases.get_mut(&id);
                    lease.map(|l| l.1 = Instant::now() + l.0).is_some()
                } else if method == "DELETE" && path.starts_with("/-/kv-lease-end/") {
                    let existed = s.end_lease(id);
                    self.changed.notify_all();
                    existed
                } else {
                    false
                };
                drop(s);
                self.json(io, if is_known { 200 } else { 404 }, "{}")
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let n = (0..3).fold(0, |n, i| {
            n << 8 | u32::from(piece.get(i).copied().unwrap_or(0))
        });
        for i in 0..4 {
            let is_padding = i > piece.len();
            let letter = LETTERS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if is_padding { '=' } else { letter });
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let value = |c: u8| match c {
        b'A'..=b'Z' => c - b'A',
        b'a'..=b'z' => c - b'a' + 26,
        b'0'..=b'9' => c - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let (mut out, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        bits = bits << 6 | u32::from(value(c));
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    out
}

pub fn free_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Free ports below those that the system gives to outgoing connections: a process that is started again
/// needs the same ones.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    const FIRST: u32 = 20_000;
    const PORTS: u32 = 12_000;
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let mut free = Vec::new();
    while free.len() < count {
        let number = std::process::id() * 97 + TRIED.fetch_add(1, Ordering::SeqCst);
        let port = u16::try_from(FIRST + number % PORTS).expect("it is below 65,536");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            free.push(addr);
        }
    }
    free
}

/// A server of the platform, which writes its entry while it is listed.
pub struct Server {
    pub id: String,
    entry: String,
}

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Server {
    /// Starts a server whose requests `run` answers; it gets the server's identifier too. Requests for
    /// another server get 421.
    pub fn start<F>(store: &Arc<Store>, id: &str, service: &str, fields: &str, run: F) -> Arc<Self>
    where
        F: Fn(&str, &Req, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let name = id.to_owned();
        let addr = http::serve(free_addr(), move |req, io| {
            let expected = req.header("x-comfreyweir-expect-instance");
            let own = format!("X-Comfreyweir-Instance-Id: {name}\r\n");
            if !expected.is_empty() && expected != name {
                return respond(io, 421, &format!("{own}X-Comfreyweir-Not-Run: 1\r\n"), b"");
            }
            if req.path == "/health" {
                return respond(io, 200, &own, b"");
            }
            run(&name, &req, io)
        });
        let addr = addr.expect("a loopback port is free");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.map_or(0, |t| t.as_millis());
        let entry = format!(
            r#""service":"{service}","addr":"{addr}","zone":"zone-a","version":"v1","slots":6,"phase":"ready","cold_ms":0,"born":{born}{fields}"#
        );
        let server = Arc::new(Self {
            id: id.to_owned(),
            entry,
        });
        let (store, beating) = (Arc::clone(store), Arc::clone(&server));
        thread::spawn(move || {
            for seq in 1_u64.. {
                let value = format!("{{{},\"seq\":{seq}}}", beating.entry);
                store.put(&format!("servers/{}", beating.id), &value);
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }
}

/// All machines that were started; none once the case has ended.
static STARTED: Mutex<Option<Vec<Arc<Machine>>>> = Mutex::new(Some(Vec::new()));

/// Ends all processes that were started. None can be started after that.
pub fn end_all_processes() {
    let started = STARTED.lock().unwrap().take();
    started.iter().flatten().for_each(|m| m.kill());
}

/// A machine that runs the entry daemon.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the platform reads what the process logs.
    pub reads_log: Arc<AtomicBool>,
    pub log_bytes: Arc<Mutex<u64>>,
}

impl Machine {
    pub fn start(name: &str, cores: f64, store: SocketAddr, folder: &PathBuf) -> Arc<Self> {
        let ports = free_ports(4);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\ncores = {cores}\nlink_mbps = 1000.0\n\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n\
             [store]\naddr = \"{store}\"\nmin_lease_ms = 1000\n\n[limits]\nhead_ms = 3000\n\n\
             [timing]\ngrace_s = 8\ndrain_ms = 2000\nupstream_heartbeat_ms = 1200\nconfig_ms = 2000\n\
             order_rest_ms = 3000\nthaw_ms = 300\n\n[repeats]\nratio = 0.2\nwindow_s = 10\nextra = 56\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        fs::write(&settings, text).expect("the settings can be written");
        let machine = Arc::new(Self {
            name: name.to_owned(),
            callers: ports[0],
            ready: ports[1],
            settings,
            child: Mutex::new(None),
            reads_log: Arc::new(AtomicBool::new(true)),
            log_bytes: Arc::default(),
        });
        if let Some(started) = STARTED.lock().unwrap().as_mut() {
            started.push(Arc::clone(&machine));
        }
        machine.spawn();
        machine
    }

    pub fn spawn(&self) {
        let started = STARTED.lock().unwrap();
        if started.is_none() {
            return;
        }
        let mut child = Command::new("target/release/comfreyweir-entry")
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the build of the deploy file has made the program");
        let mut log = child.stderr.take().expect("it is piped");
        let (reads, bytes) = (Arc::clone(&self.reads_log), Arc::clone(&self.log_bytes));
        thread::spawn(move || {
            let mut piece = [0; 4096];
            loop {
                if !reads.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
                match log.read(&mut piece) {
                    Ok(n) if n > 0 => *bytes.lock().unwrap() += n as u64,
                    _ => return,
                }
            }
        });
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Resident memory in MB, without pages of the program's file.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    pub fn kill(&self) {
        self.reads_log.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut io) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = io.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let answer = http::read_answer(&mut io, Duration::from_millis(500));
        answer.is_some_and(|a| a.status == 200)
    }
}
