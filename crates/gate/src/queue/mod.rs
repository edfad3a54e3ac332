//! Requests that wait for a replica: one fair queue for each artifact.
//!
//! A request waits with its deadline. It is refused as soon as it is known that it cannot be
//! served in time, and at once when the gate holds as many as it may.

mod dispatcher;
mod slot;
mod state;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use comfreyweir_routing::affinity::PromptPrefixes;
use tokio::sync::{Notify, oneshot};

use self::state::{State, TicketKey};
pub(crate) use self::{dispatcher::run, slot::Slot};
use crate::{Code, Refusal, auth::Identity};

/// Leave to call an engine once.
pub(crate) struct Grant {
    /// Name of the engine.
    pub(crate) upstream: String,
    /// Address of the engine.
    pub(crate) addr: SocketAddr,
    /// Place of the call in the gate's own counts.
    pub(crate) slot: Slot,
}

/// What waits.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) served_name: String,
    pub(crate) identity: Identity,
    pub(crate) weight: u32,
    pub(crate) cost: u64,
    pub(crate) is_stream: bool,
    /// Whether an engine was called for the request before; such a request had its turn.
    pub(crate) is_retry: bool,
    pub(crate) deadline: Instant,
    pub(crate) prefixes: PromptPrefixes,
}

/// The queues of a gate. Clones share them.
#[derive(Clone)]
pub(crate) struct Queues(Rc<Inner>);

struct Inner {
    state: RefCell<State>,
    wake: Notify,
    limit: usize,
}

/// A request's place in its queue. Dropping it takes the request out.
pub(crate) struct Place {
    queues: Queues,
    key: TicketKey,
    granted: oneshot::Receiver<Result<Grant, Refusal>>,
}

impl Queues {
    /// Queues that hold at most `limit` requests together.
    pub(crate) fn new(limit: usize) -> Self {
        Self(Rc::new(Inner {
            state: RefCell::default(),
            wake: Notify::new(),
            limit,
        }))
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.0.state.borrow().tickets.len()
    }

    /// Number of calls that run on each upstream.
    pub(crate) fn running(&self) -> Vec<(String, u32)> {
        let state = self.0.state.borrow();
        let running = state.upstreams.iter();
        running
            .map(|(name, calls)| (name.clone(), calls.running()))
            .collect()
    }

    /// Puts a request into its queue, or refuses it at once.
    pub(crate) fn enter(&self, wanted: Wanted, now: Instant) -> Result<Place, Refusal> {
        let mut state = self.0.state.borrow_mut();
        let wait = state.expected_wait(&wanted);
        if state.tickets.len() >= self.0.limit {
            return Err(overloaded("too many requests wait", wait));
        }
        if state.is_hopeless(&wanted, now + wait) {
            let message = "the requests that wait already leave no time before the deadline";
            return Err(overloaded(message, wait));
        }
        let (tx, granted) = oneshot::channel();
        let key = state.push(wanted, tx);
        Ok(Place {
            queues: self.clone(),
            key,
            granted,
        })
    }

    fn wake(&self) {
        self.0.wake.notify_one();
    }
}

impl Place {
    /// The decision, if there is one already.
    pub(crate) fn try_granted(&mut self) -> Option<Result<Grant, Refusal>> {
        self.granted.try_recv().ok()
    }

    /// Waits for the decision until `deadline`.
    pub(crate) async fn granted(mut self, deadline: Instant) -> Result<Grant, Refusal> {
        let deadline = tokio::time::Instant::from_std(deadline);
        match tokio::time::timeout_at(deadline, &mut self.granted).await {
            Ok(Ok(decision)) => decision,
            // The queues go only with the gate.
            Ok(Err(_)) => Err(stopped()),
            Err(_) => Err(not_in_time("no engine was free before the deadline", None)),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queues.0.state.borrow_mut().remove(self.key);
    }
}

fn overloaded(message: &str, wait: Duration) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, Code::Overloaded, message)
        .retry_after(wait.max(Duration::from_secs(1)))
}

/// Refusal of a request that waited and cannot be served in time.
fn not_in_time(message: &str, ready_in: Option<Duration>) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        Code::DeadlineExceeded,
        message,
    )
    .retry_after(ready_in.unwrap_or(Duration::from_secs(1)))
}

fn stopped() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        Code::Stopping,
        "the instance has stopped",
    )
}
