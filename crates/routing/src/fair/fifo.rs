//! First come, first served, without fairness between classes. The baseline for comparisons.

use std::collections::VecDeque;

use super::{ClassId, FairQueue, QueuedRequest};

/// Serves requests in order of arrival, whatever their class.
#[derive(Clone, Debug)]
pub struct Fifo<K> {
    items: VecDeque<QueuedRequest<K>>,
}

impl<K> Default for Fifo<K> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
        }
    }
}

impl<K> FairQueue<K> for Fifo<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: QueuedRequest<K>) {
        self.items.push_back(item);
    }

    fn pop(&mut self) -> Option<QueuedRequest<K>> {
        self.items.pop_front()
    }

    fn remove(&mut self, key: K) -> Option<QueuedRequest<K>> {
        let at = self.items.iter().position(|item| item.key == key)?;
        self.items.remove(at)
    }

    fn len(&self) -> usize {
        self.items.len()
    }

    fn ahead(&self, _class: ClassId, _weight: u32) -> usize {
        self.items.len()
    }
}
