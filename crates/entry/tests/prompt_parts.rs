//! Requests with a prompt part that ends each engine that begins to write on it, beside sound
//! requests with the same key and the same other parts.

mod support;

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use support::{
    Engines, Response, SharedState, TestInstance, get, platform::config, send_request, start,
    wait_until,
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
    refused: Rc<RefCell<HashMap<u16, usize>>>,
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
                        *refused.borrow_mut().entry(res.status).or_default() += 1;
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
    // What is refused has not run, and is told so.
    let refused = callers.refused.borrow();
    assert!(refused.get(&503).is_some_and(|n| *n > 50), "{refused:?}");
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
