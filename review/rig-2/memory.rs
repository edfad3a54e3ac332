//! Rule Fault, and the promise on callers that misbehave: no process exceeds the memory of its machine.
//!
//! A crowd at each of two machines sends requests whose bodies stop just short of their end, and stays
//! open. The platform kills a process that exceeds its memory, and starts it again.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    crowd::{ask, join_crowd},
    fleet::{self, Instance, Machine, Net, SMALL},
    holder_turns::scratch,
    record::Record,
    servers,
    store::Store,
};

/// Descriptors of a machine of the small sites.
pub const MAX_FDS: u64 = 4_100;
const MACHINES: u8 = 2;
/// Connections of the crowd at each machine.
const CROWD: usize = 2_600;
/// Length of each body, far below `max_body_bytes`, which is 4,194,304.
const BODY_LENGTH: usize = 26_000;
/// Ends of a process by itself, on each of two machines, that make the day count 0.
pub const ENDS: u32 = 3;
const RESTART_AFTER: Duration = Duration::from_millis(300);
const OBSERVED: Duration = Duration::from_secs(60);
pub const SAMPLE: Duration = Duration::from_millis(20);

pub fn run(has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let folder = scratch()?;
    let result = run_in(&folder, has_trouble, record);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

pub struct Watched {
    pub instance: Instance,
    pub most_kb: u64,
    pub ends: u32,
    /// When the platform starts the process again.
    pub starts_at: Option<Instant>,
}

fn run_in(folder: &Path, has_trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let needed = u64::from(MACHINES) * CROWD as u64 + 500;
    if fleet::raise_own_descriptors() < needed {
        return Err(format!(
            "this machine gives the crowd fewer than {needed} descriptors"
        ));
    }
    let net = Net::claim().map_err(text)?;
    let store = Store::start(net.listen(2).map_err(text)?);
    store.put("op/config", &servers::configuration());
    servers::start_plain("i-desk-1", net.listen(3).map_err(text)?, &store);
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
    let calm = (0..50).filter(|n| {
        let front = watched[*n as usize % watched.len()].instance.front;
        ask(front, 0, *n) == Some(200)
    });
    record.line(&format!("calm: {} of 50 requests served", calm.count()));
    for w in &mut watched {
        let kb = w.instance.memory_kb().unwrap_or(0);
        record.line(&format!("calm: {} holds {kb} kB", w.instance.name));
    }
    let is_over = Arc::<AtomicBool>::default();
    let mut crowds = Vec::new();
    if has_trouble {
        for w in &watched {
            let (front, is_over) = (w.instance.front, Arc::clone(&is_over));
            crowds.push(thread::spawn(move || crowd(front, &is_over)));
        }
        record.line(&format!("a crowd of {CROWD} comes to each machine"));
    }
    let began = Instant::now();
    let is_decided = |watched: &[Watched]| watched.iter().all(|w| w.ends >= ENDS);
    while began.elapsed() < OBSERVED && !is_decided(&watched) {
        for w in &mut watched {
            watch(w, record)?;
        }
        thread::sleep(SAMPLE);
    }
    is_over.store(true, Ordering::Relaxed);
    for crowd in crowds {
        let _ = crowd.join();
    }
    watched.iter().for_each(|w| w.log(record));
    Ok(if is_decided(&watched) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

impl Watched {
    pub fn new(instance: Instance) -> Self {
        Self {
            instance,
            most_kb: 0,
            ends: 0,
            starts_at: None,
        }
    }

    pub fn log(&self, record: &mut Record) {
        record.line(&format!(
            "{}: most memory {} kB of {} kB, ended {} times",
            self.instance.name,
            self.most_kb,
            SMALL.memory_mb * 1024,
            self.ends
        ));
    }
}

/// Kills a process that exceeds its memory, and starts it again, as the platform does.
pub fn watch(w: &mut Watched, record: &mut Record) -> Result<(), String> {
    if let Some(at) = w.starts_at {
        if Instant::now() >= at {
            w.starts_at = None;
            w.instance.start().map_err(|e| e.to_string())?;
            record.line(&format!("{} is started again", w.instance.name));
        }
        return Ok(());
    }
    let kb = w.instance.memory_kb().unwrap_or(0);
    w.most_kb = w.most_kb.max(kb);
    let exceeds = kb > SMALL.memory_mb * 1024;
    if exceeds || w.instance.has_ended() {
        let why = if exceeds {
            "exceeds its memory and is killed"
        } else {
            "has ended by itself"
        };
        record.line(&format!("{} holds {kb} kB: it {why}", w.instance.name));
        w.instance.kill();
        w.ends += 1;
        w.starts_at = Some(Instant::now() + RESTART_AFTER);
    }
    Ok(())
}

/// Keeps so many connections open until it is over. Those that are closed come again.
fn crowd(front: SocketAddr, is_over: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    let mut n = 0;
    while !is_over.load(Ordering::Relaxed) {
        open.retain_mut(|io| is_open(io));
        while open.len() < CROWD && !is_over.load(Ordering::Relaxed) {
            n += 1;
            let Some(io) = join_crowd(front, n, BODY_LENGTH) else {
                thread::sleep(Duration::from_millis(20));
                break;
            };
            let _ = io.set_nonblocking(true);
            open.push(io);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn is_open(io: &mut TcpStream) -> bool {
    let read = io.read(&mut [0; 512]);
    read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}
