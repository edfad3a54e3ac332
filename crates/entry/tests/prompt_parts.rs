//! Requests with a prompt part that ends each engine that begins to write on it, beside sound
//! requests with the same key and the same other parts.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use support::{
    Engines, FakeUpstream, Response, ScriptStep, SharedState, TestInstance, get, platform::config,
    send_request, start, upstream_entry, wait_until,
};
use tokio::time::Instant;

/// Time from the fifth end after which no more than [`MAX_LATE`] requests reach an engine.
const CONTACT: Duration = Duration::from_secs(3);
/// Most requests with a fatal part that reach engines later than [`CONTACT`] after the fifth end.
const MAX_LATE: usize = 3;
/// First part of all prompts.
const FIRST: u64 = 0x51;
/// The part that ends engines.
const FATAL: u64 = 0xbad;

/// Outcome of a sound request: when it was sent, and whether its stream was complete.
type Outcomes = Rc<RefCell<Vec<(Instant, bool)>>>;

struct Callers {
    instances: Rc<Vec<TestInstance>>,
    outcomes: Outcomes,
    /// Requests with a fatal part that were not served: their identifier and status.
    refused: Rc<RefCell<Vec<(String, u16)>>>,
    tasks: Vec<JoinHandle<()>>,
}

async fn start_fleet(engines: usize, names: &[&str]) -> (Rc<SharedState>, Rc<Engines>, Callers) {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let engines = Engines::start(&shared, engines).await;
    let mut instances = Vec::new();
    for name in names {
        instances.push(start(&shared, name).await);
    }
    for instance in &instances {
        wait_until("a holder answers", async || {
            let status = get(instance.entry.admin_addr(), "/status").await;
            status.body.contains("\"placement_is_fresh\": true")
        })
        .await;
    }
    let callers = Callers {
        instances: Rc::new(instances),
        outcomes: Rc::default(),
        refused: Rc::default(),
        tasks: Vec::new(),
    };
    (shared, engines, callers)
}

async fn stream(instance: &TestInstance, id: &str, prompt: &str) -> Response {
    let extra = format!("x-model: m1\r\nx-prompt: {prompt}\r\n");
    send_request(instance.entry.addr(), "/tell/", id, &extra).await
}

impl Callers {
    /// Sends a request each `interval` for `time`, to all instances in turn. `prompt` gets the
    /// number of the request.
    fn send<F>(&mut self, name: &'static str, interval: Duration, time: Duration, prompt: F)
    where
        F: Fn(u32) -> String + 'static,
    {
        let instances = Rc::clone(&self.instances);
        let (outcomes, refused) = (Rc::clone(&self.outcomes), Rc::clone(&self.refused));
        let is_sound = name == "sound";
        let begin = Instant::now();
        self.tasks.push(actix_rt::spawn(async move {
            let mut number = 0;
            while begin.elapsed() < time {
                number += 1;
                let (instances, outcomes) = (Rc::clone(&instances), Rc::clone(&outcomes));
                let refused = Rc::clone(&refused);
                let (id, prompt) = (format!("{name}{number}"), prompt(number));
                actix_rt::spawn(async move {
                    let sent = Instant::now();
                    let instance = &instances[number as usize % instances.len()];
                    let res = stream(instance, &id, &prompt).await;
                    if is_sound {
                        let is_served = res.status == 200 && res.complete;
                        outcomes.borrow_mut().push((sent, is_served));
                    } else if res.status != 200 {
                        refused.borrow_mut().push((id, res.status));
                    }
                });
                sleep(interval).await;
            }
        }));
    }

    fn send_sound(&mut self, time: Duration) {
        let prompt = |number| {
            format!(
                "{FIRST:x}:100,{:x}:50,{:x}:20",
                0x70 + number % 3,
                0x10000 + number
            )
        };
        self.send("sound", Duration::from_millis(40), time, prompt);
    }

    fn send_fatal(&mut self, time: Duration) {
        let prompt = |number| format!("{FIRST:x}:100,{FATAL:x}:50,{:x}:20", 0x20000 + number);
        self.send("fatal", Duration::from_millis(125), time, prompt);
    }

    async fn join(&mut self) {
        for task in self.tasks.drain(..) {
            task.await.unwrap();
        }
        // Requests in flight get their answers.
        sleep(Duration::from_secs(2)).await;
    }

    /// Share of the sound requests sent between two times that were served.
    fn served(&self, from: Instant, to: Instant) -> f64 {
        let outcomes = self.outcomes.borrow();
        let sent: Vec<_> = outcomes
            .iter()
            .filter(|(at, _)| from <= *at && *at < to)
            .collect();
        assert!(sent.len() >= 20, "{} sound requests", sent.len());
        let served = sent.iter().filter(|(_, is_served)| *is_served).count();
        #[allow(clippy::cast_precision_loss)]
        let share = served as f64 / sent.len() as f64;
        share
    }
}

/// Fails if more than [`MAX_LATE`] requests with a part reached engines later than [`CONTACT`] after
/// the fifth end, or ends went on.
fn assert_bounded(engines: &Engines, part: u64) {
    let ends = engines.ends.borrow();
    if let Some(fifth) = ends.get(4) {
        let late = engines.arrivals_with(part, *fifth + CONTACT);
        assert!(
            late <= MAX_LATE,
            "{late} requests later than {CONTACT:?}, {} ends",
            ends.len()
        );
    }
}

/// Fails if a request that was answered 503 has reached an engine.
fn assert_refused_have_not_run(engines: &Engines, callers: &Callers) {
    let arrivals = engines.arrivals.borrow();
    for (id, status) in callers.refused.borrow().iter() {
        let has_arrived = arrivals.iter().any(|arrival| arrival.id == *id);
        assert!(*status == 502 || *status == 503, "{id}: {status}");
        assert!(
            *status != 503 || !has_arrived,
            "{id} was refused and has run"
        );
    }
}

async fn wait_until_suspect(instance: &TestInstance, part: u64) {
    wait_until("the part is suspect", async || {
        let status = get(instance.entry.admin_addr(), "/status").await.body;
        status.contains(&format!("\"part\": \"{part:x}\""))
            && status.contains("\"is_suspect\": true")
    })
    .await;
}

/// Sends requests with the fatal part, so that it is suspect and the next trial is a minute off, and sound
/// ones, which tell it from the first part.
async fn get_suspect(callers: &mut Callers) {
    callers.send_sound(Duration::from_secs(8));
    sleep(Duration::from_secs(1)).await;
    callers.send_fatal(Duration::from_secs(7));
    wait_until_suspect(&callers.instances[0], FATAL).await;
    callers.join().await;
}

/// Guards against BUDGET of the incident: requests with a part under which five engines had ended went
/// on being sent, and ended the engines one after the other.
#[actix_rt::test]
async fn part_that_ends_engines_is_not_sent_on_while_sound_requests_are_served() {
    let (_, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    engines.fatal_parts.borrow_mut().insert(FATAL);
    let time = Duration::from_secs(14);
    callers.send_sound(time);
    sleep(Duration::from_millis(500)).await;
    let begin = Instant::now();
    callers.send_fatal(time);
    callers.join().await;
    assert_bounded(&engines, FATAL);
    let served = callers.served(begin + CONTACT * 2, begin + time);
    assert!(served >= 0.9, "{served} of the sound requests served");
    assert_refused_have_not_run(&engines, &callers);
    assert!(callers.refused.borrow().len() > 50);
}

/// Guards against a shared part being held back for the fatal one: every sound request was refused from
/// then on, for an hour.
#[actix_rt::test]
async fn first_part_of_sound_and_fatal_requests_is_not_held_back() {
    let (_, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    engines.fatal_parts.borrow_mut().insert(FATAL);
    let time = Duration::from_secs(14);
    let begin = Instant::now();
    let prompt = |number| format!("{FIRST:x}:100,61:50,{:x}:20", 0x10000 + number);
    callers.send("sound", Duration::from_millis(40), time, prompt);
    callers.send_fatal(time);
    callers.join().await;
    assert_bounded(&engines, FATAL);
    let served = callers.served(begin + CONTACT * 2, begin + time);
    assert!(served >= 0.5, "{served} of the sound requests served");
}

/// Ends for other reasons keep no sound part from being served.
#[actix_rt::test]
async fn ends_for_other_reasons_keep_no_sound_request_from_being_served() {
    let (_, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    let time = Duration::from_secs(6);
    callers.send_sound(time);
    sleep(Duration::from_secs(1)).await;
    let begin = Instant::now();
    for _ in 0..8 {
        engines.end_any();
        sleep(Duration::from_millis(500)).await;
    }
    callers.join().await;
    let served = callers.served(begin, begin + Duration::from_secs(5));
    assert!(served >= 0.98, "{served} of the sound requests served");
}

/// All instances are restarted, and the part is known from the store.
#[actix_rt::test]
async fn part_stays_suspect_when_all_instances_are_restarted() {
    let (shared, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    engines.fatal_parts.borrow_mut().insert(FATAL);
    get_suspect(&mut callers).await;
    wait_until("the records are stored", async || {
        let item = shared.item("own/quarantine");
        item.is_some_and(|item| item.value.len() > 2)
    })
    .await;
    drop(callers);
    let before = engines.arrivals.borrow().len();
    let instance = start(&shared, "i4").await;
    for n in 0..10 {
        let prompt = format!("{FIRST:x}:100,{FATAL:x}:50,{n:x}:20");
        let res = stream(&instance, &format!("again{n}"), &prompt).await;
        assert_eq!(res.status, 503);
        assert!(res.header("retry-after").is_some());
    }
    assert_eq!(engines.arrivals.borrow().len(), before);
}

/// The holder writes the records again after the store has lost them.
#[actix_rt::test]
async fn records_are_written_again_when_the_store_comes_back_from_a_copy() {
    let (shared, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    let copy = shared.copy();
    engines.fatal_parts.borrow_mut().insert(FATAL);
    get_suspect(&mut callers).await;
    let has_records = || {
        let item = shared.item("own/quarantine");
        item.is_some_and(|item| String::from_utf8_lossy(&item.value).contains("\"part\""))
    };
    wait_until("the records are stored", async || has_records()).await;
    shared.restore(copy);
    assert!(!has_records());
    wait_until("the records are stored again", async || has_records()).await;
}

/// An operator releases a part, through any instance.
#[actix_rt::test]
async fn released_part_is_sent_again() {
    let (_, engines, mut callers) = start_fleet(8, &["i1", "i2", "i3"]).await;
    engines.fatal_parts.borrow_mut().insert(FATAL);
    get_suspect(&mut callers).await;
    engines.fatal_parts.borrow_mut().clear();
    let admin = callers.instances[2].entry.admin_addr();
    let path = format!("/quarantine/release?part={FATAL:x}");
    assert_eq!(get(admin, &path).await.status, 405);
    let post = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(support::send_raw(admin, &post).await.status, 202);
    let prompt = format!("{FIRST:x}:100,{FATAL:x}:50,1:20");
    let mut asked = 0;
    wait_until("requests with the part are served", async || {
        asked += 1;
        let id = format!("released{asked}");
        stream(&callers.instances[0], &id, &prompt).await.status == 200
    })
    .await;
}

/// A connection that is closed is no end: the upstream accepts others.
#[actix_rt::test]
async fn closed_connections_make_no_part_suspect() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let upstreams = [
        FakeUpstream::start("u1", &[ScriptStep::Close]).await,
        FakeUpstream::start("u2", &[ScriptStep::Close]).await,
        FakeUpstream::start("u3", &[ScriptStep::Close]).await,
    ];
    for upstream in &upstreams {
        shared.add_upstream(upstream_entry(upstream, "llm", &["m1"]));
    }
    let instance = start(&shared, "i1").await;
    let prompt = format!("{FIRST:x}:100,{FATAL:x}:50,1:20");
    for n in 0..12 {
        let res = stream(&instance, &format!("closed{n}"), &prompt).await;
        assert_ne!(res.status, 200);
        assert!(!res.body.contains("part"), "{}", res.body);
    }
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    assert!(status.contains("\"prompt_parts\": []"), "{status}");
}
