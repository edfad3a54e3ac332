//! Rule Fault, and the promise on callers that misbehave: no process exceeds the memory of its machine.
//!
//! Callers with a valid key ask for models that don't exist, each request for another one. The platform
//! kills a process that exceeds its memory, and starts it again.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    crowd::ask,
    fleet::{Instance, Machine, Net, SMALL},
    holder_turns::{holder, scratch},
    http,
    memory::{ENDS, MAX_FDS, SAMPLE, Watched, watch},
    record::Record,
    servers::{self, Engine, KEY},
    store::Store,
};

const MACHINES: u8 = 3;
/// Connections of the callers, over all machines.
const CALLERS: usize = 60;
/// Length of a model's name. A header section stays below half of `max_header_bytes`, which is 16,384.
const NAME_LENGTH: usize = 7_000;
/// Time that a caller gives a request.
const DEADLINE_MS: u32 = 25;
const OBSERVED: Duration = Duration::from_secs(100);

pub fn run(has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let folder = scratch()?;
    let result = run_in(&folder, has_trouble, record);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn run_in(folder: &Path, has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let net = Net::claim().map_err(text)?;
    let store = Store::start(net.listen(2).map_err(text)?);
    store.put("op/config", &servers::configuration());
    let _engine = Engine::start("i-llm-1", net.listen(3).map_err(text)?, &store);
    servers::start_plain("i-desk-1", net.listen(4).map_err(text)?, &store);
    let mut watched = Vec::new();
    for n in 0..MACHINES {
        let machine = Machine {
            max_fds: Some(MAX_FDS),
            ..SMALL
        };
        let name = format!("front-mid-a-{}", n + 1);
        let instance = Instance::new(&net, (&name, 10 + n), machine, store.addr, folder);
        let mut instance = instance.map_err(text)?;
        instance.start().map_err(text)?;
        watched.push(Watched::new(instance));
    }
    for w in &watched {
        if !w.instance.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", w.instance.name));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let calm = (0..50).filter(|n| {
        let front = watched[*n as usize % watched.len()].instance.front;
        ask(front, 0, *n) == Some(200)
    });
    record.line(&format!("calm: {} of 50 requests served", calm.count()));
    let fronts: Vec<_> = watched.iter().map(|w| w.instance.front).collect();
    let is_over = Arc::<AtomicBool>::default();
    let sent = Arc::<AtomicU64>::default();
    // Without the disruption, the same callers name the model that exists.
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (front, is_over, sent) = (
                fronts[n % fronts.len()],
                Arc::clone(&is_over),
                Arc::clone(&sent),
            );
            thread::spawn(move || call(n, front, has_trouble, (&is_over, &sent)))
        })
        .collect();
    let began = Instant::now();
    let mut logged = Instant::now();
    let ended = |watched: &[Watched]| watched.iter().filter(|w| w.ends >= ENDS).count();
    while began.elapsed() < OBSERVED && ended(&watched) < 2 {
        for w in &mut watched {
            watch(w, record)?;
        }
        if logged.elapsed() >= Duration::from_secs(5) {
            logged = Instant::now();
            let memory = watched
                .iter()
                .map(|w| w.instance.memory_kb().unwrap_or(0).to_string());
            let memory: Vec<_> = memory.collect();
            record.line(&format!(
                "{} requests sent; kB held: {}; holder of the planning duty: {}",
                sent.load(Ordering::Relaxed),
                memory.join(", "),
                holder(&store).unwrap_or_else(|| "none".to_owned())
            ));
        }
        thread::sleep(SAMPLE);
    }
    is_over.store(true, Ordering::Relaxed);
    let mut statuses = BTreeMap::new();
    for caller in callers {
        for (status, count) in caller.join().unwrap_or_default() {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    record.line(&format!("answers by status, 0 for none: {statuses:?}"));
    watched.iter().for_each(|w| w.log(record));
    Ok(if ended(&watched) >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends one request after another over a kept connection. Returns the answers by status.
fn call(
    caller: usize,
    front: SocketAddr,
    has_trouble: bool,
    (is_over, sent): (&AtomicBool, &AtomicU64),
) -> BTreeMap<u16, u64> {
    let mut statuses = BTreeMap::new();
    let mut open: Option<TcpStream> = None;
    for n in 0u64.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let Some(io) = open.as_mut() else {
            open = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok();
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let id = format!("m{caller:03x}{n:012x}");
        let model = if has_trouble {
            format!("{id}{}", "x".repeat(NAME_LENGTH - id.len()))
        } else {
            "m0".to_owned()
        };
        let req = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: review.example\r\nX-Comfreyweir-Request-Id: {id}\r\n\
             X-Comfreyweir-Model: {model}\r\nX-Comfreyweir-Token-Count: 1,1\r\n\
             X-Comfreyweir-Deadline-Ms: {DEADLINE_MS}\r\nX-Comfreyweir-Credential: {KEY}\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        sent.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + Duration::from_secs(5);
        let answer = http::call_on(io, req.as_bytes(), deadline);
        let status = answer.as_ref().map_or(0, http::Message::status);
        *statuses.entry(status).or_insert(0) += 1;
        let closes = answer.is_ok_and(|a| a.header("connection") == Some("close"));
        if status == 0 || closes {
            open = None;
        }
    }
    statuses
}
