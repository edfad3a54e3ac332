//! Callers that keep their connections until these end.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use comfreyweir_platform_standins::caller::{Call, Caller, Kind, Outcome};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::cluster::World;

/// Key that no configuration ever holds.
pub(crate) const UNKNOWN_KEY: &str = "never-a-key";
/// Part of the requests that come with it.
const UNKNOWN_PART: f64 = 0.02;
/// Time that callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(4);

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) call: Call,
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) took: Duration,
    pub(crate) outcome: Outcome,
}

impl Record {
    /// Whether it was answered with success.
    pub(crate) fn is_served(&self) -> bool {
        self.outcome == Outcome::Answered(StatusCode::OK)
    }
}

/// Running callers.
pub(crate) struct Load {
    tasks: JoinSet<()>,
    is_over: Rc<Cell<bool>>,
    records: Rc<RefCell<Vec<Record>>>,
}

/// Starts callers.
pub(crate) fn spawn(world: &Rc<World>, callers: usize, rng: &mut ChaCha8Rng) -> Load {
    let mut load = Load {
        tasks: JoinSet::new(),
        is_over: Rc::default(),
        records: Rc::default(),
    };
    for caller in 0..callers {
        let (world, records) = (Rc::clone(world), Rc::clone(&load.records));
        let (is_over, rng) = (Rc::clone(&load.is_over), ChaCha8Rng::from_rng(rng));
        let task = call_on(world, caller, rng, records, is_over);
        load.tasks.spawn_local(task);
    }
    load
}

impl Load {
    /// Lets the callers finish what they have sent.
    pub(crate) async fn finish(mut self) -> Vec<Record> {
        self.is_over.set(true);
        while self.tasks.join_next().await.is_some() {}
        self.records.take()
    }
}

async fn call_on(
    world: Rc<World>,
    caller: usize,
    mut rng: ChaCha8Rng,
    records: Rc<RefCell<Vec<Record>>>,
    is_over: Rc<Cell<bool>>,
) {
    let mut connection = Caller::default();
    let mut instance = caller % world.instances.len();
    for n in 0.. {
        if is_over.get() {
            return;
        }
        let is_unknown = rng.random_bool(UNKNOWN_PART);
        let call = Call {
            id: format!("{caller:04x}{n:012x}"),
            kind: *Kind::ALL.choose(&mut rng).unwrap_or(&Kind::Read),
            key: if is_unknown {
                UNKNOWN_KEY.to_owned()
            } else {
                world.key()
            },
            model: format!("m{}", rng.random_range(1..=3)),
            deadline: DEADLINE,
        };
        let sent = Instant::now();
        let addr = world.instances[instance].callers;
        let outcome = connection.send(addr, &call).await;
        let is_lost = matches!(outcome, Outcome::Broken | Outcome::GaveUp);
        records.borrow_mut().push(Record {
            call,
            instance,
            sent,
            took: sent.elapsed(),
            outcome,
        });
        if is_lost {
            instance = rng.random_range(0..world.instances.len());
        }
        sleep(Duration::from_millis(rng.random_range(2..20))).await;
    }
}
