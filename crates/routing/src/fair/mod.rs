//! Queues that share service between classes, one class a workspace.

mod classes;
mod drr;
mod fifo;
mod nested;

pub use self::{drr::DeficitRoundRobin, fifo::FirstCome, nested::NestedDeficitRoundRobin};

/// A class of a queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassId(pub u32);

/// What waits in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Item<K> {
    /// Key of the request.
    pub key: K,
    /// Class of the request.
    pub class: ClassId,
    /// Share of the class relative to others; zero counts as one.
    pub weight: u32,
    /// Service that the request takes, in tokens; zero counts as one.
    pub cost: u64,
}

/// A queue that decides which request is served next.
pub trait FairQueue<K>: Default
where
    K: Copy + Eq,
{
    /// Adds a request.
    fn push(&mut self, item: Item<K>);

    /// Takes the request to serve next; `None` only when the queue is empty.
    fn pop(&mut self) -> Option<Item<K>>;

    /// Removes a request that no longer waits.
    fn remove(&mut self, key: K) -> Option<Item<K>>;

    /// Number of requests that wait.
    fn len(&self) -> usize;

    /// Whether nothing waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimated number of requests that would be served before a new one of `class`.
    fn ahead(&self, class: ClassId, weight: u32) -> usize;
}
