//! Deficit round robin.

use std::collections::VecDeque;

use super::{ClassId, FairQueue, Item, classes::Classes};

/// Gives each class in turn service by its weight; what a class cannot use for the cost of its
/// next request it keeps for its next turn.
#[derive(Clone, Debug)]
pub struct DeficitRoundRobin<K> {
    classes: Classes<K>,
    turns: VecDeque<ClassId>,
    /// Whether the class at the front has been given the service of its turn.
    topped: bool,
}

impl<K> Default for DeficitRoundRobin<K> {
    fn default() -> Self {
        Self {
            classes: Classes::default(),
            turns: VecDeque::new(),
            topped: false,
        }
    }
}

impl<K> DeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn end_turn(&mut self) {
        self.turns.rotate_left(1);
        self.topped = false;
    }

    fn drop_class(&mut self, class: ClassId) {
        if self.turns.front() == Some(&class) {
            self.topped = false;
        }
        self.turns.retain(|c| *c != class);
    }
}

impl<K> FairQueue<K> for DeficitRoundRobin<K>
where
    K: Copy + Eq,
{
    fn push(&mut self, item: Item<K>) {
        if self.classes.push(item) {
            self.turns.push_back(item.class);
        }
    }

    fn pop(&mut self) -> Option<Item<K>> {
        loop {
            let id = *self.turns.front()?;
            let unit = self.classes.unit();
            let class = self.classes.get_mut(id)?;
            if !self.topped {
                class.deficit += unit.saturating_mul(class.weight);
                self.topped = true;
            }
            let cost = class.items.front().map(|item| item.cost)?;
            if cost > class.deficit {
                self.end_turn();
                continue;
            }
            let (item, gone) = self.classes.serve(id)?;
            if let Some(gone) = gone {
                self.drop_class(gone.id);
            }
            return Some(item);
        }
    }

    fn remove(&mut self, key: K) -> Option<Item<K>> {
        let (item, gone) = self.classes.remove(key)?;
        if let Some(gone) = gone {
            self.drop_class(gone.id);
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
