//! Counts of the requests that run on each artifact through this gate.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// Requests that run through this gate, by served name.
#[derive(Default)]
pub(super) struct UsageTable {
    running: BTreeMap<String, u32>,
}

impl UsageTable {
    pub(super) fn add_request(&mut self, served_name: &str) {
        *self.running.entry(served_name.to_owned()).or_default() += 1;
    }

    pub(super) fn remove_request(&mut self, served_name: &str) {
        if let Some(running) = self.running.get_mut(served_name) {
            *running = running.saturating_sub(1);
        }
    }

    /// Running requests by served name. An artifact whose last request ended since the previous
    /// call is reported once with zero.
    pub(super) fn report(&mut self) -> BTreeMap<String, u32> {
        let report = self.running.clone();
        self.running.retain(|_, running| *running > 0);
        report
    }
}

/// Counts one request as running on an artifact until it is dropped.
#[derive(Default)]
pub struct ArtifactUse(Option<(Rc<RefCell<UsageTable>>, String)>);

impl ArtifactUse {
    pub(super) fn begin(table: &Rc<RefCell<UsageTable>>, served_name: &str) -> Self {
        table.borrow_mut().add_request(served_name);
        Self(Some((Rc::clone(table), served_name.to_owned())))
    }
}

impl Drop for ArtifactUse {
    fn drop(&mut self) {
        if let Some((table, served_name)) = &self.0 {
            table.borrow_mut().remove_request(served_name);
        }
    }
}
