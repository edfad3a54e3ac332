//! State of the queues.

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

use super::{Grant, Wanted};
use crate::Refusal;

/// Time for which an estimate counts though nothing runs.
const ESTIMATE_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a request that waits.
    pub(super) struct TicketKey;
}

/// A request that waits.
pub(super) struct Ticket {
    pub(super) wanted: Wanted,
    pub(super) tx: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Requests that wait for one artifact, and those that run.
#[derive(Default)]
pub(super) struct ArtifactQueue {
    first_tries: NestedDeficitRoundRobin<TicketKey>,
    retries: VecDeque<TicketKey>,
    pub(super) pace: ServiceTimes,
    pub(super) running: u32,
    /// When the pace was last observed.
    observed_at: Option<Instant>,
}

/// All queues, and the gate's own calls.
pub(super) struct State {
    pub(super) tickets: SlotMap<TicketKey, Ticket>,
    pub(super) artifacts: BTreeMap<String, ArtifactQueue>,
    pub(super) upstreams: BTreeMap<String, UpstreamCalls>,
    pub(super) prefixes: PrefixIndex,
    pub(super) rng: StdRng,
    /// Turn of the artifacts among each other.
    pub(super) turn: usize,
    classes: BTreeMap<String, ClassId>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            tickets: SlotMap::with_key(),
            artifacts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            rng: StdRng::from_rng(&mut rand::rng()),
            turn: 0,
            classes: BTreeMap::new(),
        }
    }
}

impl ArtifactQueue {
    /// Notes a time to an answer, or to the first token of a stream.
    pub(super) fn observe_answer(&mut self, is_stream: bool, time: Duration) {
        self.observed_at = Some(Instant::now());
        if is_stream {
            self.pace.first_token.observe(time);
        } else {
            self.pace.whole.observe(time);
        }
    }

    fn is_estimate_fresh(&self) -> bool {
        self.observed_at
            .is_some_and(|at| at.elapsed() < ESTIMATE_TIME)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.retries.is_empty() && self.first_tries.is_empty()
    }

    /// Takes the request whose turn it is.
    pub(super) fn pop(&mut self) -> Option<TicketKey> {
        let retry = self.retries.pop_front();
        retry.or_else(|| self.first_tries.pop().map(|item| item.key))
    }
}

impl State {
    /// Adds a request.
    pub(super) fn push(
        &mut self,
        wanted: Wanted,
        tx: oneshot::Sender<Result<Grant, Refusal>>,
    ) -> TicketKey {
        let class = self.class(&wanted.identity.workspace);
        let (weight, cost) = (wanted.weight, wanted.cost);
        let (served_name, is_retry) = (wanted.served_name.clone(), wanted.is_retry);
        let key = self.tickets.insert(Ticket { wanted, tx });
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

    /// Takes a request out, wherever it waits.
    pub(super) fn remove(&mut self, key: TicketKey) -> Option<Ticket> {
        let ticket = self.tickets.remove(key)?;
        if let Some(queue) = self.artifacts.get_mut(&ticket.wanted.served_name) {
            queue.retries.retain(|k| *k != key);
            queue.first_tries.remove(key);
        }
        Some(ticket)
    }

    /// Estimated time until a request that comes now is sent.
    pub(super) fn expected_wait(&mut self, wanted: &Wanted) -> Duration {
        let class = self.class(&wanted.identity.workspace);
        let Some(queue) = self.artifacts.get(&wanted.served_name) else {
            return Duration::ZERO;
        };
        let ahead = queue.first_tries.ahead(class, wanted.weight);
        let ahead = queue.retries.len() + if wanted.is_retry { 0 } else { ahead };
        queue.pace.expected_wait(ahead, queue.running)
    }

    /// Whether a request that is sent at `sent` would be answered too late. An old estimate does
    /// not count while nothing runs that would renew it: then a request has to try.
    pub(super) fn is_hopeless(&self, wanted: &Wanted, sent: Instant) -> bool {
        let queue = self.artifacts.get(&wanted.served_name);
        let Some(queue) = queue.filter(|q| q.running > 0 || q.is_estimate_fresh()) else {
            return sent > wanted.deadline;
        };
        sent + queue.pace.expected_answer(wanted.is_stream) > wanted.deadline
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
