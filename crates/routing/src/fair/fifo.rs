//! First come, first served, without fairness between classes. The baseline for comparisons.

use std::collections::VecDeque;

use super::{ClassId, FairQueue, Item};

/// Serves requests in order of arrival, whatever their class.
#[derive(Clone, Debug)]
pub struct FirstCome<K> {
    items: VecDeque<Item<K>>,
}

impl<K> Default for FirstCome<K> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
        }
    }
}

impl<K> FairQueue<K> for FirstCome<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: Item<K>) {
        self.items.push_back(item);
    }

    fn pop(&mut self) -> Option<Item<K>> {
        self.items.pop_front()
    }

    fn remove(&mut self, key: K) -> Option<Item<K>> {
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
