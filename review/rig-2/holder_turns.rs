//! Rule ONE: orders of two holders to a server that does not check fences lie `lease_ms` apart.
//!
//! The holder of the planning duty is stopped by SIGTERM. The instance that takes the duty is killed
//! right after it has taken it, and is started again by the platform.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Instance, Net, SIGTERM, SMALL},
    http,
    json::Json,
    record::Record,
    servers::{self, Engine, KEY},
    store::Store,
};

const LEASE_MS: u128 = 3_000;
const ADAPTERS: u64 = 30;
const CALLERS: usize = 6;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);
const DUTY_KEY: &str = "comfreyweir/duty";
/// Time from the new holder's write to its kill.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// Time until the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_millis(200);
const OBSERVED: Duration = Duration::from_secs(10);

pub fn run(has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let folder = scratch()?;
    let result = run_in(&folder, has_trouble, record);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// A new folder for settings and logs.
pub fn scratch() -> Result<PathBuf, String> {
    let name = format!("comfreyweir-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    Ok(folder)
}

fn run_in(folder: &PathBuf, has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let net = Net::claim().map_err(text)?;
    let store = Store::start(net.listen(2).map_err(text)?);
    store.put("op/config", &servers::configuration());
    let engine = Engine::start("i-llm-1", net.listen(3).map_err(text)?, &store);
    let mut instances = Vec::new();
    for (i, name) in ["front-mid-a-1", "front-mid-a-2", "front-mid-a-3"]
        .iter()
        .enumerate()
    {
        let host = 10 + i as u8;
        let instance = Instance::new(&net, (name, host), SMALL, store.addr, folder);
        let mut instance = instance.map_err(text)?;
        instance.start().map_err(text)?;
        instances.push(instance);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", instance.name));
        }
    }
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    let callers = Callers::start(fronts);
    thread::sleep(Duration::from_secs(6));
    let before = engine.orders().len();
    if before == 0 {
        return Err("no order was given in calm".to_owned());
    }
    record.line(&format!(
        "calm: {before} orders, {} requests run",
        engine.runs()
    ));

    let first = holder(&store).ok_or("no instance holds the duty")?;
    let stopped = position(&instances, &first)?;
    record.line(&format!("SIGTERM to {first}, the holder"));
    let began = Instant::now();
    instances[stopped].signal(SIGTERM);
    let second = loop {
        match holder(&store) {
            Some(name) if name != first => break name,
            _ if began.elapsed() > Duration::from_secs(10) => {
                return Err("nobody took the duty".into());
            }
            _ => thread::sleep(Duration::from_millis(2)),
        }
    };
    record.line(&format!("{second} has taken the duty"));
    if has_trouble {
        let killed = position(&instances, &second)?;
        thread::sleep(KILL_AFTER);
        record.line(&format!("SIGKILL to {second}"));
        instances[killed].kill();
        thread::sleep(RESTART_AFTER);
        record.line(&format!("{second} is started again"));
        instances[killed].start().map_err(text)?;
    }
    while began.elapsed() < OBSERVED {
        if instances[stopped].has_ended() {
            instances[stopped].kill();
            thread::sleep(RESTART_AFTER);
            record.line(&format!("{first} has ended and is started again"));
            instances[stopped].start().map_err(text)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let (served, failed) = callers.stop();
    record.line(&format!("requests served: {served}, not served: {failed}"));
    Ok(check(&engine, record))
}

/// Name of the instance that holds the duty.
pub fn holder(store: &Store) -> Option<String> {
    let duty = Json::parse(&store.get(DUTY_KEY)?)?;
    Some(machine(duty.get("process")?.text()?).to_owned())
}

/// A holder is one machine, whatever name its orders bear: the part before the slash.
fn machine(holder: &str) -> &str {
    holder.split('/').next().unwrap_or_default()
}

fn position(instances: &[Instance], name: &str) -> Result<usize, String> {
    let found = instances.iter().position(|instance| instance.name == name);
    found.ok_or_else(|| format!("{name} is no instance"))
}

/// Looks for orders of two machines less than `lease_ms` apart.
fn check(engine: &Engine, record: &mut Record) -> Verdict {
    let orders = engine.orders();
    let mut verdict = Verdict::Held;
    for pair in orders.windows(2) {
        let [before, after] = pair else { continue };
        let gap = after.at.duration_since(before.at).as_millis();
        if machine(&before.holder) == machine(&after.holder) {
            continue;
        }
        record.line_at(
            before.at,
            &format!(
                "last order of {} (fence {}): {}, answered {}",
                before.holder, before.fence, before.text, before.answer
            ),
        );
        record.line_at(
            after.at,
            &format!(
                "first order of {} (fence {}): {}, answered {}",
                after.holder, after.fence, after.text, after.answer
            ),
        );
        record.line(&format!(
            "{gap} ms between the orders of two holders, {LEASE_MS} is the least"
        ));
        if gap < LEASE_MS {
            verdict = Verdict::Broken;
        }
    }
    verdict
}

/// Callers that ask for one adapter after another, so that the holder gives orders all the time.
struct Callers {
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn start(fronts: Vec<std::net::SocketAddr>) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let (served, failed) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let next = Arc::<AtomicU64>::default();
        let threads = (0..CALLERS).map(|_| {
            let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
            let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
            let fronts = fronts.clone();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let front = fronts[n as usize % fronts.len()];
                    let req = format!(
                        "POST /lohu930/2f HTTP/1.1\r\nHost: review.example\r\nConnection: close\r\n\
                         X-Comfreyweir-Request-Id: r{n:015x}\r\nX-Comfreyweir-Model: m0/a{}\r\n\
                         X-Comfreyweir-Token-Count: 100,16\r\nX-Comfreyweir-Deadline-Ms: 2000\r\n\
                         X-Comfreyweir-Credential: {KEY}\r\nContent-Length: 2\r\n\r\nhi",
                        1 + n % ADAPTERS
                    );
                    let answer = http::call(front, req.as_bytes(), Duration::from_secs(3));
                    let is_served = answer.is_ok_and(|answer| answer.status() == 200);
                    let count = if is_served { &served } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
            })
        });
        let threads = threads.collect();
        Self {
            is_over,
            served,
            failed,
            threads,
        }
    }

    fn stop(self) -> (u64, u64) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        (
            self.served.load(Ordering::Relaxed),
            self.failed.load(Ordering::Relaxed),
        )
    }
}
