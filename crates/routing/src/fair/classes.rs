//! Waiting requests by class, with the deficit round robin counters of each class.

use std::collections::{BTreeMap, VecDeque};

use super::{ClassId, QueuedRequest};

/// Waiting requests of one class.
#[derive(Clone, Debug)]
pub(super) struct Class<K> {
    pub(super) items: VecDeque<QueuedRequest<K>>,
    pub(super) weight: u64,
    /// Deficit counter: service that the class may use now, in tokens.
    pub(super) deficit: u64,
    /// Service that the class may still be granted in this outer round, in tokens. Used only by
    /// nested deficit round robin.
    pub(super) round_remaining: u64,
}

/// A class that was removed with its last request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemovedClass {
    pub(super) id: ClassId,
    /// Service that it could still have been granted in this outer round, in tokens.
    pub(super) round_remaining: u64,
}

/// Waiting requests of all classes. A class exists only while it has requests.
#[derive(Clone, Debug)]
pub(super) struct Classes<K> {
    by_id: BTreeMap<ClassId, Class<K>>,
    len: usize,
    /// Quantum for weight one, in tokens: the largest cost since the queue was empty, so that every
    /// turn suffices for a request.
    quantum: u64,
}

impl<K> Default for Classes<K> {
    fn default() -> Self {
        Self {
            by_id: BTreeMap::new(),
            len: 0,
            quantum: 1,
        }
    }
}

impl<K> Classes<K>
where
    K: Copy + Eq,
{
    /// Adds a request. Returns true when its class is new.
    pub(super) fn push(&mut self, item: QueuedRequest<K>) -> bool {
        let item = QueuedRequest {
            weight: item.weight.max(1),
            cost: item.cost.max(1),
            ..item
        };
        self.quantum = self.quantum.max(item.cost);
        self.len += 1;
        let quantum = self.quantum;
        let mut is_new = false;
        let class = self.by_id.entry(item.class).or_insert_with(|| {
            is_new = true;
            Class {
                items: VecDeque::new(),
                weight: 0,
                deficit: 0,
                round_remaining: quantum.saturating_mul(u64::from(item.weight)),
            }
        });
        class.weight = u64::from(item.weight);
        class.items.push_back(item);
        is_new
    }

    /// Removes the first request of a class and subtracts its cost from the deficit counter. The
    /// class is removed and returned as well if that was its last request.
    pub(super) fn serve(
        &mut self,
        id: ClassId,
    ) -> Option<(QueuedRequest<K>, Option<RemovedClass>)> {
        let class = self.by_id.get_mut(&id)?;
        let item = class.items.pop_front()?;
        class.deficit = class.deficit.saturating_sub(item.cost);
        self.len -= 1;
        Some((item, self.remove_if_empty(id)))
    }

    /// Removes a request, and its class if that was the last one.
    pub(super) fn remove(&mut self, key: K) -> Option<(QueuedRequest<K>, Option<RemovedClass>)> {
        for (id, class) in &mut self.by_id {
            let Some(at) = class.items.iter().position(|item| item.key == key) else {
                continue;
            };
            let item = class.items.remove(at)?;
            let id = *id;
            self.len -= 1;
            return Some((item, self.remove_if_empty(id)));
        }
        None
    }

    pub(super) fn get_mut(&mut self, id: ClassId) -> Option<&mut Class<K>> {
        self.by_id.get_mut(&id)
    }

    /// Service granted per turn to a class of weight one, in tokens.
    pub(super) fn quantum(&self) -> u64 {
        self.quantum
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Estimated number of requests served before a new one of class `id`, when service is shared
    /// by weight.
    pub(super) fn ahead(&self, id: ClassId, weight: u32) -> usize {
        let own = self.by_id.get(&id).map_or(0, |c| c.items.len());
        let own_turns = own as u64 + 1;
        let weight = u64::from(weight.max(1));
        let others = self.by_id.iter().filter(|(other, _)| **other != id);
        let others = others.map(|(_, class)| {
            let share = own_turns * class.weight / weight;
            let share = usize::try_from(share).unwrap_or(usize::MAX);
            class.items.len().min(share)
        });
        own + others.sum::<usize>()
    }

    fn remove_if_empty(&mut self, id: ClassId) -> Option<RemovedClass> {
        if self.len == 0 {
            self.quantum = 1;
        }
        if !self.by_id.get(&id)?.items.is_empty() {
            return None;
        }
        let class = self.by_id.remove(&id)?;
        Some(RemovedClass {
            id,
            round_remaining: class.round_remaining,
        })
    }
}
