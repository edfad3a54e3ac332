//! Queues that share service fairly between classes, with one class per workspace.

mod classes;
mod drr;
mod fifo;
mod nested;

pub use self::{drr::DeficitRoundRobin, fifo::Fifo, nested::NestedDeficitRoundRobin};

/// Identifies a class of requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassId(pub u32);

/// A request in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest<K> {
    /// Key of the request.
    pub key: K,
    /// Class of the request.
    pub class: ClassId,
    /// Weight of the class relative to others; zero counts as one.
    pub weight: u32,
    /// Cost of the request, in tokens; zero counts as one.
    pub cost: u64,
}

/// A queue that decides which request is served next.
pub trait FairQueue<K>: Default
where
    K: Copy + Eq,
{
    /// Adds a request.
    fn push(&mut self, item: QueuedRequest<K>);

    /// Removes the request to serve next; `None` only when the queue is empty.
    fn pop(&mut self) -> Option<QueuedRequest<K>>;

    /// Removes a request out of turn; `None` when it is not in the queue.
    fn remove(&mut self, key: K) -> Option<QueuedRequest<K>>;

    /// Number of waiting requests.
    fn len(&self) -> usize;

    /// Whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimated number of requests that would be served before a new one of `class`.
    fn ahead(&self, class: ClassId, weight: u32) -> usize;
}
