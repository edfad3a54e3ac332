//! Nested deficit round robin, after Salil S. Kanhere and Harish Sethu, "Fair, Efficient and
//! Low-Latency Packet Scheduling Using Nested Deficit Round Robin".

use std::collections::{BTreeMap, VecDeque};

use super::{
    ClassId, FairQueue, Item,
    classes::{Classes, Gone},
};

/// Splits each round of deficit round robin into inner rounds, in which every class gets the
/// service of weight one, so that the whole turn of a heavy class does not delay light ones.
#[derive(Clone, Debug)]
pub struct NestedDeficitRoundRobin<K> {
    classes: Classes<K>,
    /// Classes with service left in this outer round.
    eligible: VecDeque<ClassId>,
    /// Classes that wait for the next outer round.
    finished: VecDeque<ClassId>,
    /// What is left in this outer round to classes whose requests have gone. Without it classes
    /// that come back at once would be given a new round each time, and the finished ones none.
    left: BTreeMap<ClassId, u64>,
    /// Whether the class at the front has been given the service of its turn.
    topped: bool,
}

impl<K> Default for NestedDeficitRoundRobin<K> {
    fn default() -> Self {
        Self {
            classes: Classes::default(),
            eligible: VecDeque::new(),
            finished: VecDeque::new(),
            left: BTreeMap::new(),
            topped: false,
        }
    }
}

impl<K> NestedDeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn front(&mut self) -> Option<ClassId> {
        if self.eligible.is_empty() {
            std::mem::swap(&mut self.eligible, &mut self.finished);
            self.left.clear();
        }
        self.eligible.front().copied()
    }

    fn end_turn(&mut self, id: ClassId) {
        self.topped = false;
        self.eligible.pop_front();
        let unit = self.classes.unit();
        let Some(class) = self.classes.get_mut(id) else {
            return;
        };
        if class.unserved > 0 {
            self.eligible.push_back(id);
        } else {
            class.unserved = unit.saturating_mul(class.weight);
            self.finished.push_back(id);
        }
    }

    fn drop_class(&mut self, gone: Gone) {
        let is_finished = self.finished.contains(&gone.id);
        if self.eligible.front() == Some(&gone.id) {
            self.topped = false;
        }
        self.eligible.retain(|c| *c != gone.id);
        self.finished.retain(|c| *c != gone.id);
        let unserved = if is_finished { 0 } else { gone.unserved };
        self.left.insert(gone.id, unserved);
    }

    /// Adds a class that has come back, with what is left to it in this outer round.
    fn add_class(&mut self, id: ClassId) {
        match self.left.remove(&id) {
            Some(0) => self.finished.push_back(id),
            Some(unserved) => {
                if let Some(class) = self.classes.get_mut(id) {
                    class.unserved = unserved;
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
    fn push(&mut self, item: Item<K>) {
        if self.classes.push(item) {
            self.add_class(item.class);
        }
    }

    fn pop(&mut self) -> Option<Item<K>> {
        loop {
            let id = self.front()?;
            let unit = self.classes.unit();
            let class = self.classes.get_mut(id)?;
            if !self.topped {
                let turn = class.unserved.min(unit);
                class.unserved -= turn;
                class.deficit += turn;
                self.topped = true;
            }
            let cost = class.items.front().map(|item| item.cost)?;
            if cost > class.deficit {
                self.end_turn(id);
                continue;
            }
            let (item, gone) = self.classes.serve(id)?;
            if let Some(gone) = gone {
                self.drop_class(gone);
            }
            return Some(item);
        }
    }

    fn remove(&mut self, key: K) -> Option<Item<K>> {
        let (item, gone) = self.classes.remove(key)?;
        if let Some(gone) = gone {
            self.drop_class(gone);
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
