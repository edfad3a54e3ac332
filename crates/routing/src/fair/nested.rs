//! Nested deficit round robin, after Salil S. Kanhere and Harish Sethu, "Fair, Efficient and
//! Low-Latency Packet Scheduling Using Nested Deficit Round Robin".

use std::collections::VecDeque;

use super::{ClassId, FairQueue, Item, classes::Classes};

/// Splits each round of deficit round robin into inner rounds, in which every class gets the
/// service of weight one, so that the whole turn of a heavy class does not delay light ones.
#[derive(Clone, Debug)]
pub struct NestedDeficitRoundRobin<K> {
    classes: Classes<K>,
    /// Classes with service left in this outer round.
    eligible: VecDeque<ClassId>,
    /// Classes that wait for the next outer round.
    finished: VecDeque<ClassId>,
    /// Whether the class at the front has been given the service of its turn.
    topped: bool,
}

impl<K> Default for NestedDeficitRoundRobin<K> {
    fn default() -> Self {
        Self {
            classes: Classes::default(),
            eligible: VecDeque::new(),
            finished: VecDeque::new(),
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

    fn drop_class(&mut self, class: ClassId) {
        if self.eligible.front() == Some(&class) {
            self.topped = false;
        }
        self.eligible.retain(|c| *c != class);
        self.finished.retain(|c| *c != class);
    }
}

impl<K> FairQueue<K> for NestedDeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: Item<K>) {
        if self.classes.push(item) {
            self.eligible.push_back(item.class);
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
            let (item, is_gone) = self.classes.serve(id)?;
            if is_gone {
                self.drop_class(id);
            }
            return Some(item);
        }
    }

    fn remove(&mut self, key: K) -> Option<Item<K>> {
        let (item, is_gone) = self.classes.remove(key)?;
        if is_gone {
            self.drop_class(item.class);
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
