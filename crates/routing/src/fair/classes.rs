//! Waiting requests by class.

use std::collections::{BTreeMap, VecDeque};

use super::{ClassId, Item};

/// Waiting requests of one class.
#[derive(Clone, Debug)]
pub(super) struct Class<K> {
    pub(super) items: VecDeque<Item<K>>,
    pub(super) weight: u64,
    /// Service that the class may take now, in tokens.
    pub(super) deficit: u64,
    /// Service that is left to the class in the outer round, in tokens.
    pub(super) unserved: u64,
}

/// A class whose last request has gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gone {
    pub(super) id: ClassId,
    /// Service that was left to it in the outer round, in tokens.
    pub(super) unserved: u64,
}

/// Waiting requests of all classes. A class is there only while it has requests.
#[derive(Clone, Debug)]
pub(super) struct Classes<K> {
    by_id: BTreeMap<ClassId, Class<K>>,
    len: usize,
    /// Largest cost since the queue was empty, so that each turn affords a request.
    unit: u64,
}

impl<K> Default for Classes<K> {
    fn default() -> Self {
        Self {
            by_id: BTreeMap::new(),
            len: 0,
            unit: 1,
        }
    }
}

impl<K> Classes<K>
where
    K: Copy + Eq,
{
    /// Adds a request; true when its class was not there before.
    pub(super) fn push(&mut self, item: Item<K>) -> bool {
        let item = Item {
            weight: item.weight.max(1),
            cost: item.cost.max(1),
            ..item
        };
        self.unit = self.unit.max(item.cost);
        self.len += 1;
        let unit = self.unit;
        let mut is_new = false;
        let class = self.by_id.entry(item.class).or_insert_with(|| {
            is_new = true;
            Class {
                items: VecDeque::new(),
                weight: 0,
                deficit: 0,
                unserved: unit.saturating_mul(u64::from(item.weight)),
            }
        });
        class.weight = u64::from(item.weight);
        class.items.push_back(item);
        is_new
    }

    /// Takes the first request of a class, paying with its deficit.
    pub(super) fn serve(&mut self, id: ClassId) -> Option<(Item<K>, Option<Gone>)> {
        let class = self.by_id.get_mut(&id)?;
        let item = class.items.pop_front()?;
        class.deficit = class.deficit.saturating_sub(item.cost);
        self.len -= 1;
        Some((item, self.forget_empty(id)))
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, key: K) -> Option<(Item<K>, Option<Gone>)> {
        for (id, class) in &mut self.by_id {
            let Some(at) = class.items.iter().position(|item| item.key == key) else {
                continue;
            };
            let item = class.items.remove(at)?;
            let id = *id;
            self.len -= 1;
            return Some((item, self.forget_empty(id)));
        }
        None
    }

    /// A class that has requests.
    pub(super) fn get_mut(&mut self, id: ClassId) -> Option<&mut Class<K>> {
        self.by_id.get_mut(&id)
    }

    /// Service of one turn of a class of weight one, in tokens.
    pub(super) fn unit(&self) -> u64 {
        self.unit
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Requests served before a new one of a class, when service is shared by weight.
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

    fn forget_empty(&mut self, id: ClassId) -> Option<Gone> {
        if self.len == 0 {
            self.unit = 1;
        }
        if !self.by_id.get(&id)?.items.is_empty() {
            return None;
        }
        let class = self.by_id.remove(&id)?;
        Some(Gone {
            id,
            unserved: class.unserved,
        })
    }
}
