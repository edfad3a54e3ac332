//! Requests that wait for an artifact at this gate.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request that waits.
    pub(super) struct WaitKey;
}

struct Waiter {
    served_name: String,
    workspace: String,
    deadline: Instant,
}

/// Requests of one workspace that wait for one artifact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WorkspaceDemand {
    pub(super) waiting: u32,
    /// Shortest time to the deadline of one of the requests.
    pub(super) time_left: Duration,
}

/// Demand by served name and workspace.
pub(super) type Demand = BTreeMap<String, BTreeMap<String, WorkspaceDemand>>;

/// Requests that wait for an artifact at this gate.
#[derive(Default)]
pub(super) struct Waiters {
    waiters: SlotMap<WaitKey, Waiter>,
}

impl Waiters {
    /// Adds a request. The second value is true if no other request waits for the artifact.
    pub(super) fn add(
        &mut self,
        served_name: &str,
        workspace: &str,
        deadline: Instant,
    ) -> (WaitKey, bool) {
        let is_first = !self.waiters.values().any(|w| w.served_name == served_name);
        let key = self.waiters.insert(Waiter {
            served_name: served_name.to_owned(),
            workspace: workspace.to_owned(),
            deadline,
        });
        (key, is_first)
    }

    pub(super) fn remove(&mut self, key: WaitKey) {
        self.waiters.remove(key);
    }

    /// Number of waiting requests and the shortest time to a deadline, by served name and
    /// workspace.
    pub(super) fn demand(&self, now: Instant) -> Demand {
        let mut demand = Demand::new();
        for waiter in self.waiters.values() {
            let time_left = waiter.deadline.saturating_duration_since(now);
            let workspaces = demand.entry(waiter.served_name.clone()).or_default();
            let entry = workspaces
                .entry(waiter.workspace.clone())
                .or_insert(WorkspaceDemand {
                    waiting: 0,
                    time_left,
                });
            entry.waiting += 1;
            entry.time_left = entry.time_left.min(time_left);
        }
        demand
    }
}
