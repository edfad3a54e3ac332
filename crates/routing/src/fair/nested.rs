//! Nested deficit round robin, after Salil S. Kanhere and Harish Sethu, "Fair, Efficient and
//! Low-Latency Packet Scheduling Using Nested Deficit Round Robin".

use std::collections::{BTreeMap, VecDeque};

use super::{
    ClassId, FairQueue, QueuedRequest,
    classes::{Classes, RemovedClass},
};

/// Splits each round of deficit round robin into inner rounds, in which every class is granted the
/// quantum for weight one, so that the full quantum of a heavy class does not delay light ones.
#[derive(Clone, Debug)]
pub struct NestedDeficitRoundRobin<K> {
    classes: Classes<K>,
    /// Classes that may still be granted service in this outer round.
    eligible: VecDeque<ClassId>,
    /// Classes that wait for the next outer round.
    finished: VecDeque<ClassId>,
    /// Service that removed classes may still be granted in this outer round, in tokens. Without
    /// it, a class that empties and returns at once would get a full round each time, and the
    /// finished classes would starve.
    removed_remaining: BTreeMap<ClassId, u64>,
    /// Whether the class at the front has been granted the quantum of this turn.
    quantum_granted: bool,
}

impl<K> Default for NestedDeficitRoundRobin<K> {
    fn default() -> Self {
        Self {
            classes: Classes::default(),
            eligible: VecDeque::new(),
            finished: VecDeque::new(),
            removed_remaining: BTreeMap::new(),
            quantum_granted: false,
        }
    }
}

impl<K> NestedDeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    /// The class whose turn it is; starts the next outer round when all classes have finished.
    fn next_class(&mut self) -> Option<ClassId> {
        if self.eligible.is_empty() {
            std::mem::swap(&mut self.eligible, &mut self.finished);
            self.removed_remaining.clear();
        }
        self.eligible.front().copied()
    }

    fn end_turn(&mut self, id: ClassId) {
        self.quantum_granted = false;
        self.eligible.pop_front();
        let quantum = self.classes.quantum();
        let Some(class) = self.classes.get_mut(id) else {
            return;
        };
        if class.round_remaining > 0 {
            self.eligible.push_back(id);
        } else {
            class.round_remaining = quantum.saturating_mul(class.weight);
            self.finished.push_back(id);
        }
    }

    fn drop_class(&mut self, removed: RemovedClass) {
        let is_finished = self.finished.contains(&removed.id);
        if self.eligible.front() == Some(&removed.id) {
            self.quantum_granted = false;
        }
        self.eligible.retain(|c| *c != removed.id);
        self.finished.retain(|c| *c != removed.id);
        let round_remaining = if is_finished {
            0
        } else {
            removed.round_remaining
        };
        self.removed_remaining.insert(removed.id, round_remaining);
    }

    /// Adds a class. One that was removed in this outer round gets only what it had left in it.
    fn add_class(&mut self, id: ClassId) {
        match self.removed_remaining.remove(&id) {
            Some(0) => self.finished.push_back(id),
            Some(round_remaining) => {
                if let Some(class) = self.classes.get_mut(id) {
                    class.round_remaining = round_remaining;
                }
                self.eligible.push_back(id);
            }
            None => self.eligible.push_back(id),
        }
    }
}

impl<K> FairQueue<K> for NestedDeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: QueuedRequest<K>) {
        if self.classes.push(item) {
            self.add_class(item.class);
        }
    }

    fn pop(&mut self) -> Option<QueuedRequest<K>> {
        loop {
            let id = self.next_class()?;
            let quantum = self.classes.quantum();
            let class = self.classes.get_mut(id)?;
            if !self.quantum_granted {
                let granted = class.round_remaining.min(quantum);
                class.round_remaining -= granted;
                class.deficit += granted;
                self.quantum_granted = true;
            }
            let cost = class.items.front().map(|item| item.cost)?;
            if cost > class.deficit {
                self.end_turn(id);
                continue;
            }
            let (item, removed) = self.classes.serve(id)?;
            if let Some(removed) = removed {
                self.drop_class(removed);
            }
            return Some(item);
        }
    }

    fn remove(&mut self, key: K) -> Option<QueuedRequest<K>> {
        let (item, removed) = self.classes.remove(key)?;
        if let Some(removed) = removed {
            self.drop_class(removed);
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
