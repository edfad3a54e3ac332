//! Tasks that send requests over persistent connections and record the outcomes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use comfreyweir_platform_standins::caller::{BrokenStream, Call, Caller, Outcome, RequestKind};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::cluster::SoakCluster;

/// Key that is in no published configuration.
pub(crate) const UNKNOWN_KEY: &str = "never-a-key";
/// Probability that a request carries the unknown key.
const UNKNOWN_KEY_PROBABILITY: f64 = 0.02;
/// Times that a caller resumes a stream.
const MAX_RESUMPTIONS: u32 = 3;
/// Identifier of the first part of all prompts.
const FIRST_PART: u64 = 0x100;
/// Identifier from which on parts belong to one request.
pub(crate) const OWN_PART: u64 = 1 << 32;
/// Number of second parts without a fatal part.
const SHARED_PARTS: u64 = 5;
/// One in so many streams has the fatal part.
const FATAL_PERIOD: u64 = 8;
/// How long a caller waits for an answer.
const CALL_DEADLINE: Duration = Duration::from_secs(4);

/// A request and its outcome. Its `Debug` form is part of the soak's output.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) call: Call,
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) took: Duration,
    pub(crate) outcome: Outcome,
}

impl Record {
    /// Whether the request was answered with status 200.
    pub(crate) fn is_served(&self) -> bool {
        self.outcome == Outcome::Answered(StatusCode::OK)
    }
}

/// The running caller tasks and the records that they share.
pub(crate) struct CallerTasks {
    tasks: JoinSet<()>,
    stop_requested: Rc<Cell<bool>>,
    records: Rc<RefCell<Vec<Record>>>,
}

/// Starts `callers` tasks, each with a generator seeded from `rng`.
pub(crate) fn spawn(
    cluster: &Rc<SoakCluster>,
    callers: usize,
    rng: &mut ChaCha8Rng,
) -> CallerTasks {
    let mut caller_tasks = CallerTasks {
        tasks: JoinSet::new(),
        stop_requested: Rc::default(),
        records: Rc::default(),
    };
    for caller_index in 0..callers {
        let (cluster, records) = (Rc::clone(cluster), Rc::clone(&caller_tasks.records));
        let (stop_requested, rng) = (
            Rc::clone(&caller_tasks.stop_requested),
            ChaCha8Rng::from_rng(rng),
        );
        let task = run_caller(cluster, caller_index, rng, records, stop_requested);
        caller_tasks.tasks.spawn_local(task);
    }
    caller_tasks
}

impl CallerTasks {
    /// Stops sending, waits for the answers to requests in flight, and returns all records.
    pub(crate) async fn finish(mut self) -> Vec<Record> {
        self.stop_requested.set(true);
        while self.tasks.join_next().await.is_some() {}
        self.records.take()
    }
}

/// Parts of a prompt: one that all share, one that many share, and the request's own. One in
/// [`FATAL_PERIOD`] has the part that ends engines, if there is one.
fn prompt(cluster: &SoakCluster, (caller_index, n): (usize, u64)) -> Vec<u64> {
    let number = u64::try_from(caller_index).unwrap_or_default() + n;
    let fatal_part = cluster.ledger.fatal_part();
    let second = if fatal_part > 0 && number.is_multiple_of(FATAL_PERIOD) {
        fatal_part
    } else {
        FIRST_PART + 1 + number % SHARED_PARTS
    };
    vec![
        FIRST_PART,
        second,
        OWN_PART + rand::random_range(0..OWN_PART),
    ]
}

/// Sends requests one after the other until a stop is requested. Draws an instance anew only after
/// a request without a complete answer.
async fn run_caller(
    cluster: Rc<SoakCluster>,
    caller_index: usize,
    mut rng: ChaCha8Rng,
    records: Rc<RefCell<Vec<Record>>>,
    stop_requested: Rc<Cell<bool>>,
) {
    let mut connection = Caller::default();
    let mut instance = caller_index % cluster.instances.len();
    // A stream to resume with its model, and how often it was resumed.
    let (mut to_resume, mut resumptions) = (None::<(BrokenStream, String)>, 0);
    for n in 0_u64.. {
        if stop_requested.get() {
            return;
        }
        let uses_unknown_key = rng.random_bool(UNKNOWN_KEY_PROBABILITY);
        let kind = *RequestKind::ALL
            .choose(&mut rng)
            .unwrap_or(&RequestKind::Read);
        let model = format!("m{}", rng.random_range(1..=3));
        let (broken_stream, model) = match to_resume.take() {
            Some((stream, model)) => (Some(stream), model),
            None => (None, model),
        };
        let call = Call {
            id: format!("{caller_index:04x}{n:012x}"),
            kind: if broken_stream.is_some() {
                RequestKind::Tell
            } else {
                kind
            },
            key: if uses_unknown_key {
                UNKNOWN_KEY.to_owned()
            } else {
                cluster.key()
            },
            model,
            prompt: prompt(&cluster, (caller_index, n)),
            deadline: CALL_DEADLINE,
            resumes: broken_stream,
        };
        let sent = Instant::now();
        let addr = cluster.instances[instance].caller_addr;
        let outcome = connection.send(addr, &call).await;
        resumptions = if call.resumes.is_some() {
            resumptions
        } else {
            0
        };
        if call.kind == RequestKind::Tell && resumptions < MAX_RESUMPTIONS {
            resumptions += 1;
            let broken_stream = connection.broken_stream().or(match &outcome {
                Outcome::Answered(status) if !status.is_success() => call.resumes.as_ref(),
                _ => None,
            });
            to_resume = broken_stream.map(|stream| (stream.clone(), call.model.clone()));
        }
        let has_no_answer = matches!(outcome, Outcome::Broken | Outcome::GaveUp);
        records.borrow_mut().push(Record {
            call,
            instance,
            sent,
            took: sent.elapsed(),
            outcome,
        });
        if has_no_answer {
            instance = rng.random_range(0..cluster.instances.len());
        }
        sleep(Duration::from_millis(rng.random_range(2..20))).await;
    }
}
