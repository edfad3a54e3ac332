//! Deficit round robin.

use std::collections::VecDeque;

use super::{ClassId, FairQueue, QueuedRequest, classes::Classes};

/// Grants each class in turn a quantum proportional to its weight. A class carries over what is
/// too little for its next request to its next turn.
#[derive(Clone, Debug)]
pub struct DeficitRoundRobin<K> {
    classes: Classes<K>,
    turns: VecDeque<ClassId>,
    /// Whether the class at the front has been granted the quantum of this turn.
    quantum_granted: bool,
}

impl<K> Default for DeficitRoundRobin<K> {
    fn default() -> Self {
        Self {
            classes: Classes::default(),
            turns: VecDeque::new(),
            quantum_granted: false,
        }
    }
}

impl<K> DeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn end_turn(&mut self) {
        self.turns.rotate_left(1);
        self.quantum_granted = false;
    }

    fn drop_class(&mut self, class: ClassId) {
        if self.turns.front() == Some(&class) {
            self.quantum_granted = false;
        }
        self.turns.retain(|c| *c != class);
    }
}

impl<K> FairQueue<K> for DeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: QueuedRequest<K>) {
        if self.classes.push(item) {
            self.turns.push_back(item.class);
        }
    }

    fn pop(&mut self) -> Option<QueuedRequest<K>> {
        loop {
            let id = *self.turns.front()?;
            let quantum = self.classes.quantum();
            let class = self.classes.get_mut(id)?;
            if !self.quantum_granted {
                class.deficit += quantum.saturating_mul(class.weight);
                self.quantum_granted = true;
            }
            let cost = class.items.front().map(|item| item.cost)?;
            if cost > class.deficit {
                self.end_turn();
                continue;
            }
            let (item, removed) = self.classes.serve(id)?;
            if let Some(removed) = removed {
                self.drop_class(removed.id);
            }
            return Some(item);
        }
    }

    fn remove(&mut self, key: K) -> Option<QueuedRequest<K>> {
        let (item, removed) = self.classes.remove(key)?;
        if let Some(removed) = removed {
            self.drop_class(removed.id);
        }
        Some(item)
    }

    fn len(&self) -> usize {
        self.classes.len()
    }

    fn ahead(&self, class: ClassId, weight: u32) -> usize {
        self.classes.ahead(class, weight)
    }
}
