//! The scenarios. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.

use std::{
    env, fs,
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    path::PathBuf,
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Req, respond},
    platform::{self, Machine, Record, Server, Store},
};

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// Time limits of the routes, in ms.
const ORDER_TIMEOUT_MS: u64 = 1_500;
const STREAM_TIMEOUT_MS: u64 = 13_000;

const MAX_BODY_BYTES: usize = 4_194_304;

pub fn run(case: &str, dir: &str, has_trouble: bool) -> u8 {
    let result = run_case(case, dir, has_trouble);
    platform::end_all_processes();
    let _ = fs::remove_dir_all(folder());
    result
}

/// Folder of the machines' settings.
fn folder() -> PathBuf {
    env::temp_dir().join(format!("review-{}", process::id()))
}

fn run_case(case: &str, dir: &str, has_trouble: bool) -> u8 {
    match case {
        "log" => log_not_read(dir, has_trouble),
        "half-close" => half_close(dir, has_trouble),
        "memory" => memory(dir, has_trouble),
        "store-copy" => store_copy(dir, has_trouble),
        _ => NOT_RUN,
    }
}

/// Cores of the machines, by number modulo 4. The third one is smaller.
const CORES: [f64; 4] = [0.25, 0.25, 0.25, 0.12];

/// A small deployment: machines, the store, three servers of a plain service.
struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    store_addr: SocketAddr,
    machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    runs: Arc<Mutex<Vec<(String, Instant)>>>,
    last_id: AtomicU64,
    /// Readiness checks in a row that each machine has missed.
    misses: Mutex<Vec<u32>>,
}

impl Deployment {
    fn start<F>(dir: &str, machines: usize, answer: F) -> Option<Self>
    where
        F: Fn(&Req, &mut TcpStream) -> bool + Send + Sync + Clone + 'static,
    {
        let record = Record::create(dir);
        let folder = folder();
        fs::create_dir_all(&folder).ok()?;
        let (store, store_addr) = Store::start();
        let runs: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        for n in 1..=3 {
            let (runs, record, answer) = (Arc::clone(&runs), Arc::clone(&record), answer.clone());
            Server::start(&store, &format!("i-{n}"), "desk", "", move |id, req, io| {
                let request = req.header("x-comfreyweir-request-id").to_owned();
                record.log(&format!(
                    "server {id} runs {request} {} {}",
                    req.method, req.path
                ));
                runs.lock().unwrap().push((request, Instant::now()));
                answer(req, io)
            });
        }
        let route = |name: &str, prefix: &str, kind: &str, timeout: u64, attempts: u32| {
            format!(
                r#"{{"name":"{name}","host":"shop.example","prefix":"{prefix}","route_kind":"{kind}","timeout_ms":{timeout},"goal_ms":150,"priority":2,"service":"desk","attempts":{attempts},"public":false,"affinity":false,"resumable":false,"gap_aim_ms":400}}"#
            )
        };
        let routes = [
            route("r-order", "/order/", "non_idempotent", ORDER_TIMEOUT_MS, 1),
            route("r-stock", "/stock/", "idempotent", ORDER_TIMEOUT_MS, 2),
            route("r-review", "/review/", "stream", STREAM_TIMEOUT_MS, 1),
        ];
        let config = format!(
            r#"{{"version":7,"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}}],"tenants":[{{"name":"school","api_keys":["k-school"],"unit":"tokens","plain_tokens":200,"per_s":29000,"burst":58000}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY_BYTES},"header_timeout_ms":3000,"idle_timeout_ms":20000}}}}"#,
            routes.join(",")
        );
        store.put("op/config", &config);
        let start = |n| Machine::start(&format!("front-{n}"), CORES[n % 4], store_addr, &folder);
        let machines: Vec<_> = (1..=machines).map(start).collect();
        let deployment = Self {
            misses: Mutex::new(vec![0; machines.len()]),
            record,
            store,
            store_addr,
            machines,
            folder,
            runs,
            last_id: AtomicU64::new(0),
        };
        let until = Instant::now() + Duration::from_secs(20);
        while !deployment.machines.iter().all(|m| m.is_ready())
            || deployment.store.count("comfreyweir/duty") == 0
        {
            if Instant::now() > until {
                deployment.record.log("not all machines became ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(1));
        deployment.record.log("all machines are ready");
        Some(deployment)
    }

    fn new_id(&self) -> String {
        let n = self.last_id.fetch_add(1, Ordering::SeqCst) + 1;
        format!("{:016x}", 0x9c41_0000_0000_0000_u64 + n)
    }

    /// The machines that get new connections, as the platform decides: those that did not miss two
    /// readiness checks in a row, or all if fewer than half are left.
    fn rotation(&self) -> Vec<Arc<Machine>> {
        let misses = self.misses.lock().unwrap();
        let all = self.machines.iter().zip(misses.iter());
        let left: Vec<_> = all
            .filter(|(_, n)| **n < 2)
            .map(|(m, _)| Arc::clone(m))
            .collect();
        let is_enough = left.len() * 2 >= self.machines.len();
        if is_enough {
            left
        } else {
            self.machines.clone()
        }
    }

    /// Checks once a second which machines are ready.
    fn check_readiness(self: &Arc<Self>) {
        for n in 0..self.machines.len() {
            let d = Arc::downgrade(self);
            thread::spawn(move || {
                while let Some(d) = d.upgrade() {
                    let is_ready = d.machines[n].is_ready();
                    let mut misses = d.misses.lock().unwrap();
                    misses[n] = if is_ready { 0 } else { misses[n] + 1 };
                    let is_out = misses[n] == 2;
                    drop(misses);
                    if is_out {
                        d.record
                            .log(&format!("{} gets no new connections", d.machines[n].name));
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|(run, _)| run == id)
            .count()
    }
}

/// Head of a client's request.
fn head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Comfreyweir-Request-Id: {id}\r\n\
         X-Comfreyweir-Deadline-Ms: {deadline_ms}\r\nX-Comfreyweir-Credential: k-school\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let io = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = io.set_nodelay(true);
    Some(io)
}

fn seal(req: &Req) -> String {
    let id = req.header("x-comfreyweir-request-id");
    format!("X-Comfreyweir-Request-Id: {id}\r\nX-Comfreyweir-Server-Seal: s.{id}\r\n")
}

fn describe(answer: Option<&Answer>) -> String {
    match answer {
        None => "no answer".to_owned(),
        Some(a) => {
            let sealed = if a.has("x-comfreyweir-server-seal") {
                "sealed"
            } else {
                "without a seal"
            };
            let whole = if a.is_complete { "whole" } else { "broken off" };
            format!("{}, {sealed}, {whole}, {} bytes", a.status, a.body.len())
        }
    }
}

/// The reader of one machine's log pauses.
fn log_not_read(dir: &str, has_trouble: bool) -> u8 {
    const PAUSE: Duration = Duration::from_secs(15);
    const LENGTH: Duration = Duration::from_secs(24);
    const CLIENTS: u64 = 30;
    let started = Deployment::start(dir, 2, move |req: &Req, io: &mut TcpStream| {
        thread::sleep(Duration::from_millis(15));
        respond(io, 200, &seal(req), &[b'x'; 800])
    });
    let Some(d) = started.map(Arc::new) else {
        return NOT_RUN;
    };
    d.check_readiness();
    let begun = Instant::now();
    let pause = has_trouble.then(|| {
        let d = Arc::clone(&d);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            d.record.log("the log of front-1 is not read");
            d.machines[0].reads_log.store(false, Ordering::SeqCst);
            thread::sleep(PAUSE);
            d.record.log("the log of front-1 is read again");
            d.machines[0].reads_log.store(true, Ordering::SeqCst);
        })
    });
    let [all, long, unanswered] = [(); 3].map(|()| Arc::new(AtomicUsize::new(0)));
    let clients = (0..CLIENTS).map(|n| {
        let (d, all) = (Arc::clone(&d), Arc::clone(&all));
        let (long, unanswered) = (Arc::clone(&long), Arc::clone(&unanswered));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(400 / CLIENTS * n));
            for turn in 0.. {
                if begun.elapsed() > LENGTH {
                    return;
                }
                let (id, sent) = (d.new_id(), Instant::now());
                let rotation = d.rotation();
                let machine = &rotation[(n as usize + turn) % rotation.len()];
                let answer = connect(machine.callers).and_then(|mut io| {
                    let text = head("GET", "/stock/7", &id, ORDER_TIMEOUT_MS, 0);
                    io.write_all(text.as_bytes()).ok()?;
                    http::read_answer(&mut io, Duration::from_millis(ORDER_TIMEOUT_MS + 500))
                });
                let time = sent.elapsed();
                let seen = describe(answer.as_ref());
                let ms = time.as_millis();
                d.record
                    .log(&format!("{id} at {}: {seen} after {ms} ms", machine.name));
                all.fetch_add(1, Ordering::SeqCst);
                if time >= Duration::from_millis(ORDER_TIMEOUT_MS) {
                    long.fetch_add(1, Ordering::SeqCst);
                    unanswered.fetch_add(usize::from(answer.is_none()), Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(400).saturating_sub(time));
            }
        })
    });
    clients
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|c| drop(c.join()));
    pause.map(thread::JoinHandle::join);
    let [all, long, unanswered] = [all, long, unanswered].map(|n| n.load(Ordering::SeqCst));
    d.record.log(&format!(
        "{all} requests, {long} lasted longer than the route's {ORDER_TIMEOUT_MS} ms, {unanswered} of these had no \
         answer 0.5 s later; front-1 has logged {} bytes",
        d.machines[0].log_bytes.lock().unwrap()
    ));
    if unanswered >= 8 && unanswered * 4 > long {
        BROKEN
    } else {
        HELD
    }
}

/// Some clients close their side of the connection after they have sent an order.
fn half_close(dir: &str, has_trouble: bool) -> u8 {
    const ORDERS: usize = 20;
    let started = Deployment::start(dir, 2, move |req: &Req, io: &mut TcpStream| {
        thread::sleep(Duration::from_millis(400));
        respond(io, 200, &seal(req), &[b'x'; 800])
    });
    let Some(d) = started.map(Arc::new) else {
        return NOT_RUN;
    };
    d.check_readiness();
    let mut broken = 0;
    for n in 0..ORDERS {
        let id = d.new_id();
        let rotation = d.rotation();
        let Some(mut io) = connect(rotation[n % rotation.len()].callers) else {
            return NOT_RUN;
        };
        let body = [b'o'; 600];
        let mut text = head("POST", "/order/7", &id, ORDER_TIMEOUT_MS, body.len()).into_bytes();
        text.extend_from_slice(&body);
        let _ = io.write_all(&text);
        d.record.log(&format!("client sends order {id}"));
        // Three of ten clients.
        if has_trouble && n % 10 < 3 {
            thread::sleep(Duration::from_millis(150));
            let _ = io.shutdown(Shutdown::Write);
            d.record
                .log(&format!("client of {id} closes its side of the connection"));
        }
        let answer = http::read_answer(&mut io, Duration::from_millis(ORDER_TIMEOUT_MS + 500));
        thread::sleep(Duration::from_millis(100));
        let runs = d.runs_of(&id);
        d.record.log(&format!(
            "{id}: {}; it ran {runs} times",
            describe(answer.as_ref())
        ));
        let is_refused = answer.is_some_and(|a| {
            [408, 421, 429, 503].contains(&a.status) && !a.has("x-comfreyweir-server-seal")
        });
        broken += usize::from(is_refused && runs > 0);
    }
    d.record.log(&format!(
        "{broken} of {ORDERS} orders were refused as not run and have run"
    ));
    if broken > 0 { BROKEN } else { HELD }
}

/// Many clients upload large bodies at once. The platform kills a process that exceeds its memory.
fn memory(dir: &str, has_trouble: bool) -> u8 {
    /// `ram_mb` of the site's machines.
    const RAM_MB: f64 = 260.0;
    /// Requests a second to each machine, and how many times that in a burst.
    const PER_S: f64 = 12.0;
    const BURST: f64 = 2.4;
    const LENGTH: Duration = Duration::from_secs(52);
    const UPLOAD: Duration = Duration::from_secs(3);
    const PIECES: usize = 40;
    let started = Deployment::start(dir, 2, move |req: &Req, io: &mut TcpStream| {
        thread::sleep(Duration::from_millis(100));
        let head = format!("Content-Type: text/event-stream\r\n{}", seal(req));
        respond(io, 200, &head, b"id: 1\ndata: x\n\n")
    });
    let Some(d) = started.map(Arc::new) else {
        return NOT_RUN;
    };
    d.check_readiness();
    let begun = Instant::now();
    let ends: Arc<Vec<AtomicUsize>> =
        Arc::new(d.machines.iter().map(|_| AtomicUsize::new(0)).collect());
    let mut threads = Vec::new();
    for n in 0..d.machines.len() {
        let (d, ends) = (Arc::clone(&d), Arc::clone(&ends));
        threads.push(thread::spawn(move || {
            let machine = &d.machines[n];
            let mut most: f64 = 0.0;
            while begun.elapsed() < LENGTH {
                let memory = machine.memory_mb();
                most = most.max(memory);
                if memory > RAM_MB {
                    ends[n].fetch_add(1, Ordering::SeqCst);
                    let name = &machine.name;
                    d.record.log(&format!(
                        "{name} has {memory:.0} MB of {RAM_MB} MB: the platform kills it"
                    ));
                    machine.kill();
                    thread::sleep(Duration::from_millis(500));
                    machine.spawn();
                    d.record.log(&format!("{name} is started again"));
                }
                thread::sleep(Duration::from_millis(20));
            }
            d.record
                .log(&format!("{}: {most:.0} MB at most", machine.name));
        }));
    }
    let mut sent = 0_usize;
    while begun.elapsed() < LENGTH - UPLOAD {
        // Bursts of 6 s, 6 s apart.
        let is_burst = has_trouble && begun.elapsed().as_secs() % 12 < 6;
        let times = if is_burst { BURST } else { 1.0 };
        let per_s = PER_S * times * d.machines.len() as f64;
        thread::sleep(Duration::from_secs_f64(1.0 / per_s));
        let rotation = d.rotation();
        let machine = Arc::clone(&rotation[sent % rotation.len()]);
        sent += 1;
        let d = Arc::clone(&d);
        threads.push(thread::spawn(move || {
            let id = d.new_id();
            let Some(mut io) = connect(machine.callers) else {
                return;
            };
            let piece = [b'o'; MAX_BODY_BYTES / PIECES];
            let length = piece.len() * PIECES;
            let text = head("POST", "/review/7", &id, STREAM_TIMEOUT_MS, length);
            let _ = io.write_all(text.as_bytes());
            for _ in 0..PIECES {
                if io.write_all(&piece).is_err() {
                    break;
                }
                thread::sleep(UPLOAD / PIECES as u32);
            }
            let answer = http::read_answer(&mut io, Duration::from_secs(10));
            d.record.log(&format!(
                "{id} at {}: {}",
                machine.name,
                describe(answer.as_ref())
            ));
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let ends: Vec<_> = ends.iter().map(|n| n.load(Ordering::SeqCst)).collect();
    d.record.log(&format!(
        "processes ended for their memory, by machine: {ends:?}"
    ));
    let often = ends.iter().filter(|n| **n >= 3).count();
    if often >= 2 { BROKEN } else { HELD }
}

/// The store comes back from a copy that is some seconds old. Then one machine is lost for good, and
/// another comes at another address.
fn store_copy(dir: &str, has_trouble: bool) -> u8 {
    const LENGTH: Duration = Duration::from_secs(105);
    /// Bound of the site.
    const RECOVER: Duration = Duration::from_secs(12);
    let started = Deployment::start(dir, 3, move |req: &Req, io: &mut TcpStream| {
        thread::sleep(Duration::from_millis(15));
        respond(io, 200, &seal(req), &[b'x'; 800])
    });
    let Some(d) = started.map(Arc::new) else {
        return NOT_RUN;
    };
    let begun = Instant::now();
    let lost: Arc<Mutex<Option<usize>>> = Arc::default();
    let added: Arc<Mutex<Option<Arc<Machine>>>> = Arc::default();
    let seen: Arc<Mutex<Vec<(Duration, bool)>>> = Arc::default();
    let clients = (0..8_usize).map(|n| {
        let (d, seen) = (Arc::clone(&d), Arc::clone(&seen));
        let (lost, added) = (Arc::clone(&lost), Arc::clone(&added));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(50 * n as u64));
            for turn in 0.. {
                if begun.elapsed() > LENGTH {
                    return;
                }
                let gone = *lost.lock().unwrap();
                let there = d
                    .machines
                    .iter()
                    .enumerate()
                    .filter(|(n, _)| Some(*n) != gone);
                let mut there: Vec<_> = there.map(|(_, m)| Arc::clone(m)).collect();
                there.extend(added.lock().unwrap().clone());
                let machine = &there[(n + turn) % there.len()];
                let (id, sent) = (d.new_id(), begun.elapsed());
                let answer = connect(machine.callers).and_then(|mut io| {
                    let text = head("GET", "/stock/7", &id, ORDER_TIMEOUT_MS, 0);
                    io.write_all(text.as_bytes()).ok()?;
                    http::read_answer(&mut io, Duration::from_millis(ORDER_TIMEOUT_MS + 500))
                });
                d.record.log(&format!(
                    "{id} at {}: {}",
                    machine.name,
                    describe(answer.as_ref())
                ));
                let is_served = answer.is_some_and(|a| a.status == 200 && a.is_complete);
                seen.lock().unwrap().push((sent, is_served));
                thread::sleep(Duration::from_millis(400));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let wait_until = |seconds: f64| {
        thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(begun.elapsed()));
    };
    wait_until(2.0);
    let copy = d.store.copy();
    d.record.log("the store's copy is of now");
    // The third machine restarts, as machines do, and registers under a new lease.
    wait_until(2.3);
    d.machines[2].kill();
    d.machines[2].spawn();
    d.record.log("front-3 is restarted");
    wait_until(6.0);
    let own = d.store.lease("comfreyweir/instances/front-3");
    d.record
        .log(&format!("front-3 is registered under lease {own}"));
    while d.store.time_since_renewal(own) > Duration::from_millis(100)
        && begun.elapsed().as_secs() < 9
    {
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble {
        d.store.come_back_from(copy);
        d.record
            .log("the store has come back from the copy, in the next era");
    }
    wait_until(13.0);
    let holder = d.store.value("comfreyweir/duty").unwrap_or_default();
    let lease = d.store.lease("comfreyweir/duty");
    d.record
        .log(&format!("the duty is held under lease {lease}: {holder}"));
    let gone = (0..d.machines.len()).find(|n| holder.contains(&format!("front-{}/", n + 1)));
    let Some(gone) = gone else { return NOT_RUN };
    *lost.lock().unwrap() = Some(gone);
    d.machines[gone].kill();
    d.record
        .log(&format!("{} is lost for good", d.machines[gone].name));
    wait_until(15.0);
    *added.lock().unwrap() = Some(Machine::start("front-4", 0.25, d.store_addr, &d.folder));
    d.record.log("front-4 comes at another address");
    for second in 16..105 {
        wait_until(f64::from(second));
        if second % 10 == 0 {
            let duty = d.store.value("comfreyweir/duty").unwrap_or_default();
            let lease = d.store.lease("comfreyweir/duty");
            d.record
                .log(&format!("the duty's key, under lease {lease}: {duty}"));
        }
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    if let Some(machine) = added.lock().unwrap().take() {
        machine.kill();
    }
    let seen = seen.lock().unwrap();
    let share = |from: Duration, to: Duration| {
        let sent = seen.iter().filter(|(at, _)| (from..to).contains(at));
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|(_, is_served)| *is_served).count();
        (served, sent.len())
    };
    let before = share(Duration::ZERO, Duration::from_secs(13));
    let after = share(Duration::from_secs(15) + RECOVER, LENGTH);
    d.record.log(&format!(
        "served: {} of {} before the loss, {} of {} sent later than {} s after the new machine came",
        before.0, before.1, after.0, after.1, RECOVER.as_secs()
    ));
    let was_served = before.0 * 4 >= before.1;
    if was_served && after.0 * 4 < after.1 {
        BROKEN
    } else {
        HELD
    }
}
