//! Requests that wait for a replica, in one fair queue for each artifact.
//!
//! A request is refused as soon as the estimates show that it cannot be answered before its
//! deadline, and on arrival if the gate already has its limit of waiting requests.

mod dispatcher;
mod running_call;
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

use self::state::{PendingKey, QueueState};
pub(crate) use self::{dispatcher::run_dispatcher, running_call::RunningCall};
use crate::{Refusal, RefusalCode, auth::CallerIdentity};

/// Permission to call an engine once.
pub(crate) struct ReplicaAssignment {
    /// Name of the engine.
    pub(crate) upstream: String,
    /// Address of the engine.
    pub(crate) addr: SocketAddr,
    /// Counts the call as running until dropped.
    pub(crate) running_call: RunningCall,
}

/// A request to be queued, with what its scheduling depends on.
#[derive(Clone, Debug)]
pub(crate) struct EnqueueRequest {
    pub(crate) served_name: String,
    pub(crate) identity: CallerIdentity,
    pub(crate) weight: u32,
    pub(crate) cost: u64,
    pub(crate) is_stream: bool,
    /// Whether an engine was called for the request before. Such a request has had its turn in the
    /// fair queue, so it goes ahead of first tries.
    pub(crate) is_retry: bool,
    pub(crate) deadline: Instant,
    pub(crate) prefixes: PromptPrefixes,
}

/// The queues of a gate. Clones share the state.
#[derive(Clone)]
pub(crate) struct Queues(Rc<Inner>);

struct Inner {
    state: RefCell<QueueState>,
    wake: Notify,
    max_waiting: usize,
}

/// A request in its queue. Dropping it removes the request.
pub(crate) struct QueueEntry {
    queues: Queues,
    key: PendingKey,
    decision_rx: oneshot::Receiver<Result<ReplicaAssignment, Refusal>>,
}

impl Queues {
    /// Creates queues that hold at most `max_waiting` requests in total.
    pub(crate) fn new(max_waiting: usize) -> Self {
        Self(Rc::new(Inner {
            state: RefCell::default(),
            wake: Notify::new(),
            max_waiting,
        }))
    }

    /// Number of waiting requests in all queues.
    pub(crate) fn waiting(&self) -> usize {
        self.0.state.borrow().pending.len()
    }

    /// Number of running calls of this gate, for each upstream.
    pub(crate) fn running(&self) -> Vec<(String, u32)> {
        let state = self.0.state.borrow();
        let running = state.upstreams.iter();
        running
            .map(|(name, calls)| (name.clone(), calls.running()))
            .collect()
    }

    /// Adds a request to the queue of its artifact. Refuses it if the limit is reached or the
    /// expected wait is too long for its deadline.
    pub(crate) fn enqueue(
        &self,
        request: EnqueueRequest,
        now: Instant,
    ) -> Result<QueueEntry, Refusal> {
        let mut state = self.0.state.borrow_mut();
        let wait = state.expected_wait(&request);
        if state.pending.len() >= self.0.max_waiting {
            return Err(overload_refusal("too many requests wait", wait));
        }
        if state.would_miss_deadline(&request, now + wait) {
            let message = "the requests that wait already leave no time before the deadline";
            return Err(overload_refusal(message, wait));
        }
        let (decision_tx, decision_rx) = oneshot::channel();
        let key = state.push(request, decision_tx);
        Ok(QueueEntry {
            queues: self.clone(),
            key,
            decision_rx,
        })
    }

    fn wake(&self) {
        self.0.wake.notify_one();
    }
}

impl QueueEntry {
    /// Returns the decision without waiting, if it has been made.
    pub(crate) fn try_decision(&mut self) -> Option<Result<ReplicaAssignment, Refusal>> {
        self.decision_rx.try_recv().ok()
    }

    /// Waits for the decision until `deadline`.
    pub(crate) async fn wait_for_decision(
        mut self,
        deadline: Instant,
    ) -> Result<ReplicaAssignment, Refusal> {
        let deadline = tokio::time::Instant::from_std(deadline);
        match tokio::time::timeout_at(deadline, &mut self.decision_rx).await {
            Ok(Ok(decision)) => decision,
            // The sender is dropped only when the gate shuts down.
            Ok(Err(_)) => Err(stopped_refusal()),
            Err(_) => Err(deadline_refusal(
                "no engine was free before the deadline",
                None,
            )),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.queues.0.state.borrow_mut().remove(self.key);
    }
}

fn overload_refusal(message: &str, wait: Duration) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::Overloaded,
        message,
    )
    .retry_after(wait.max(Duration::from_secs(1)))
}

/// Refusal of a request that cannot be answered before its deadline. The caller may retry after
/// `ready_in`, or 1 s without it.
fn deadline_refusal(message: &str, ready_in: Option<Duration>) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::DeadlineExceeded,
        message,
    )
    .retry_after(ready_in.unwrap_or(Duration::from_secs(1)))
}

fn stopped_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::Stopping,
        "the instance has stopped",
    )
}
