//! Artifacts that this gate uses.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// Requests that run through this gate, by served name.
#[derive(Default)]
pub(super) struct UsageTable {
    running: BTreeMap<String, u32>,
}

impl UsageTable {
    pub(super) fn started(&mut self, served_name: &str) {
        *self.running.entry(served_name.to_owned()).or_default() += 1;
    }

    pub(super) fn ended(&mut self, served_name: &str) {
        if let Some(running) = self.running.get_mut(served_name) {
            *running = running.saturating_sub(1);
        }
    }

    /// What runs now, and what has ended since the last call with zero.
    pub(super) fn report(&mut self) -> BTreeMap<String, u32> {
        let report = self.running.clone();
        self.running.retain(|_, running| *running > 0);
        report
    }
}

/// A request that runs on an artifact. Dropping it ends the use.
#[derive(Default)]
pub struct InUse(Option<(Rc<RefCell<UsageTable>>, String)>);

impl InUse {
    pub(super) fn begin(table: &Rc<RefCell<UsageTable>>, served_name: &str) -> Self {
        table.borrow_mut().started(served_name);
        Self(Some((Rc::clone(table), served_name.to_owned())))
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some((table, served_name)) = &self.0 {
            table.borrow_mut().ended(served_name);
        }
    }
}
