//! Rule LOST: beside a change of the configuration, no stream that a sound server works on is cut.
//!
//! Model servers whose memory is full pause streams, for far less time than callers wait, and turn newcomers
//! away.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Instance, Net, SMALL},
    holder_turns::scratch,
    record::Record,
    servers,
    store::Store,
    versions::{Caller, EVENTS, PAUSED, StreamServer},
};

const SERVERS: u8 = 4;
/// Streams that are read before the change, by servers that don't pause on them, and beside it.
const STREAMS: usize = 12;
/// Time between two of them: 10 a second, where a burst of the site has 11.4.
const STREAM_GAP: Duration = Duration::from_millis(100);
/// Pause of each stream, after this event.
const PAUSE: (u32, Duration) = (10, Duration::from_millis(2_500));
/// Time from the first request to the change.
const CHANGE_AFTER: Duration = Duration::from_millis(8_900);

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
    let pause = has_trouble.then_some(PAUSE);
    for n in 0..SERVERS {
        let listener = net.listen(20 + n).map_err(text)?;
        StreamServer::start_pausing(&format!("i-llm-{n}"), "v1", (listener, pause), &store);
    }
    let mut instances = Vec::new();
    for n in 0..3 {
        let name = format!("front-mid-a-{}", n + 1);
        let instance = Instance::new(&net, (&name, 10 + n), SMALL, store.addr, folder);
        let mut instance = instance.map_err(text)?;
        instance.start().map_err(text)?;
        instances.push(instance);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", instance.name));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    record.line(&format!("{STREAMS} streams are asked for"));
    let calm = begin_streams(&fronts, "c")
        .into_iter()
        .filter_map(|c| c.join().ok());
    let calm = calm
        .filter(|(caller, _)| caller.events.len() == EVENTS as usize)
        .count();
    record.line(&format!(
        "{calm} of {STREAMS} streams whole, at another time than the change"
    ));
    let began = Instant::now();
    let callers = begin_streams(&fronts, PAUSED);
    record.line(&format!("{STREAMS} streams are asked for"));
    thread::sleep(CHANGE_AFTER.saturating_sub(began.elapsed()));
    store.put("op/config", &servers::configuration_of(9));
    let changed = Instant::now();
    record.line("configuration 9 is sent and acknowledged; it changes nothing but the version");
    let mut cut = 0;
    let mut whole = 0;
    let mut other = 0;
    for caller in callers {
        let Ok((caller, ended)) = caller.join() else {
            continue;
        };
        let got = caller.events.len();
        let after_change = ended.saturating_duration_since(changed);
        if got == EVENTS as usize {
            whole += 1;
        } else if got > 0 && after_change < Duration::from_secs(3) {
            cut += 1;
            let ms = ended.duration_since(began).as_millis();
            let attempts = caller.attempts.join("; ");
            record.line(&format!(
                "stream {}: cut after {ms} ms; {attempts}",
                caller.id
            ));
        } else {
            other += 1;
            record.line(&format!(
                "stream {}: {}",
                caller.id,
                caller.attempts.join("; ")
            ));
        }
    }
    record.line(&format!(
        "{whole} streams whole, {cut} cut by the system within 3 s of the change, {other} others"
    ));
    Ok(if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

type Ended = (Caller, Instant);

/// Callers that read a stream each. The identifiers begin with `letter`.
fn begin_streams(fronts: &[SocketAddr], letter: &str) -> Vec<thread::JoinHandle<Ended>> {
    let begin = |n: usize| {
        let front = fronts[n % fronts.len()];
        let id = format!("{letter}{n:015x}");
        thread::spawn(move || {
            thread::sleep(STREAM_GAP * n as u32);
            let mut caller = Caller::new(n);
            caller.id.clone_from(&id);
            let outcome = caller.read(front, &id, "");
            caller.attempts.push(outcome);
            (caller, Instant::now())
        })
    };
    (0..STREAMS).map(begin).collect()
}
