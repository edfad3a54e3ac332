//! State of the queues, shared by all clones of `Queues`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyweir_routing::{
    affinity::PrefixIndex,
    fair::{ClassId, FairQueue, NestedDeficitRoundRobin, QueuedRequest},
    load::UpstreamCalls,
    service_times::ServiceTimes,
};
use rand::{SeedableRng, rngs::StdRng};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use super::{EnqueueRequest, ReplicaAssignment};
use crate::Refusal;

/// Time for which the service time estimates of an artifact are used while none of its calls run.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a waiting request.
    pub(super) struct PendingKey;
}

/// A waiting request and the channel for its decision.
pub(super) struct PendingRequest {
    pub(super) request: EnqueueRequest,
    pub(super) decision_tx: oneshot::Sender<Result<ReplicaAssignment, Refusal>>,
}

/// Waiting requests and the number of running calls of one artifact.
#[derive(Default)]
pub(super) struct ArtifactQueue {
    first_tries: NestedDeficitRoundRobin<PendingKey>,
    retries: VecDeque<PendingKey>,
    pub(super) service_times: ServiceTimes,
    pub(super) running: u32,
    /// When a time to an answer or first token was last observed.
    observed_at: Option<Instant>,
}

/// All queues, and the running calls of this gate on each upstream.
pub(super) struct QueueState {
    pub(super) pending: SlotMap<PendingKey, PendingRequest>,
    pub(super) artifacts: BTreeMap<String, ArtifactQueue>,
    pub(super) upstreams: BTreeMap<String, UpstreamCalls>,
    pub(super) prefixes: PrefixIndex,
    pub(super) rng: StdRng,
    /// Offset of the artifact that is served first in the next round.
    pub(super) round_robin_offset: usize,
    /// Fair-queueing class of each workspace seen so far.
    classes: BTreeMap<String, ClassId>,
}

impl Default for QueueState {
    fn default() -> Self {
        Self {
            pending: SlotMap::with_key(),
            artifacts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            rng: StdRng::from_rng(&mut rand::rng()),
            round_robin_offset: 0,
            classes: BTreeMap::new(),
        }
    }
}

impl ArtifactQueue {
    /// Records the time to a complete answer, or to the first token of a stream.
    pub(super) fn observe_answer(&mut self, is_stream: bool, time: Duration) {
        self.observed_at = Some(Instant::now());
        if is_stream {
            self.service_times.first_token.observe(time);
        } else {
            self.service_times.complete_answer.observe(time);
        }
    }

    fn is_estimate_fresh(&self) -> bool {
        self.observed_at
            .is_some_and(|at| at.elapsed() < ESTIMATE_TTL)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.retries.is_empty() && self.first_tries.is_empty()
    }

    /// Removes and returns the next request: retries first, then by fair queueing.
    pub(super) fn pop(&mut self) -> Option<PendingKey> {
        let retry = self.retries.pop_front();
        retry.or_else(|| self.first_tries.pop().map(|queued| queued.key))
    }
}

impl QueueState {
    /// Adds a request to the queue of its artifact; retries go into a queue of their own.
    pub(super) fn push(
        &mut self,
        request: EnqueueRequest,
        decision_tx: oneshot::Sender<Result<ReplicaAssignment, Refusal>>,
    ) -> PendingKey {
        let class = self.class(&request.identity.workspace);
        let (weight, cost) = (request.weight, request.cost);
        let (served_name, is_retry) = (request.served_name.clone(), request.is_retry);
        let key = self.pending.insert(PendingRequest {
            request,
            decision_tx,
        });
        let queue = self.artifacts.entry(served_name).or_default();
        if is_retry {
            queue.retries.push_back(key);
        } else {
            queue.first_tries.push(QueuedRequest {
                key,
                class,
                weight,
                cost,
            });
        }
        key
    }

    /// Removes a request from its queue. `None` if it is not waiting any more.
    pub(super) fn remove(&mut self, key: PendingKey) -> Option<PendingRequest> {
        let pending = self.pending.remove(key)?;
        if let Some(queue) = self.artifacts.get_mut(&pending.request.served_name) {
            queue.retries.retain(|k| *k != key);
            queue.first_tries.remove(key);
        }
        Some(pending)
    }

    /// Estimated time until a request that arrives now is sent to an engine.
    pub(super) fn expected_wait(&mut self, request: &EnqueueRequest) -> Duration {
        let class = self.class(&request.identity.workspace);
        let Some(queue) = self.artifacts.get(&request.served_name) else {
            return Duration::ZERO;
        };
        let ahead = queue.first_tries.ahead(class, request.weight);
        let ahead = queue.retries.len() + if request.is_retry { 0 } else { ahead };
        queue.service_times.expected_wait(ahead, queue.running)
    }

    /// Whether a request that is sent at `sent_at` is expected to be answered after its deadline.
    /// An old estimate is ignored while no call runs, because only a new call can update it.
    pub(super) fn would_miss_deadline(&self, request: &EnqueueRequest, sent_at: Instant) -> bool {
        let queue = self.artifacts.get(&request.served_name);
        let Some(queue) = queue.filter(|q| q.running > 0 || q.is_estimate_fresh()) else {
            return sent_at > request.deadline;
        };
        sent_at + queue.service_times.expected_answer(request.is_stream) > request.deadline
    }

    fn class(&mut self, workspace: &str) -> ClassId {
        if let Some(class) = self.classes.get(workspace) {
            return *class;
        }
        let class = ClassId(u32::try_from(self.classes.len()).unwrap_or(u32::MAX));
        self.classes.insert(workspace.to_owned(), class);
        class
    }
}
