//! Requests at upstreams: those of this instance, and those that others report.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Those that wait for the first byte of their answer.
    pub starting: u32,
    /// Prompt tokens that have to be read for those.
    pub unread: u64,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.starting += other.starting;
        self.unread += other.unread;
    }
}

/// Loads of upstreams by the model that the requests ask for; plain services have no model.
pub type Loads = HashMap<String, BTreeMap<String, Load>>;

/// Requests at all upstreams.
#[derive(Debug, Default)]
pub struct LoadBoard {
    own: Loads,
    others: Loads,
}

impl LoadBoard {
    /// Counts a request sent to an upstream.
    pub fn begin(&mut self, upstream: &str, model: &str, unread: u64) {
        let load = self.own_entry(upstream, model);
        load.running += 1;
        load.starting += 1;
        load.unread += unread;
    }

    /// Notes that the answer of a request has begun.
    pub fn started(&mut self, upstream: &str, model: &str, unread: u64) {
        let load = self.own_entry(upstream, model);
        load.starting = load.starting.saturating_sub(1);
        load.unread = load.unread.saturating_sub(unread);
    }

    /// Notes that a request whose answer had begun has ended.
    pub fn ended(&mut self, upstream: &str, model: &str) {
        let load = self.own_entry(upstream, model);
        load.running = load.running.saturating_sub(1);
        if *load == Load::default()
            && let Some(models) = self.own.get_mut(upstream)
        {
            models.remove(model);
            if models.is_empty() {
                self.own.remove(upstream);
            }
        }
    }

    /// Loads of this instance.
    pub fn own(&self) -> &Loads {
        &self.own
    }

    /// Takes over what the other instances have sent.
    pub fn set_others(&mut self, others: Loads) {
        self.others = others;
    }

    /// Load of an upstream from all instances.
    pub fn total(&self, upstream: &str) -> Load {
        let mut total = Load::default();
        for loads in [&self.own, &self.others] {
            for load in loads.get(upstream).into_iter().flat_map(BTreeMap::values) {
                total.add(*load);
            }
        }
        total
    }

    fn own_entry(&mut self, upstream: &str, model: &str) -> &mut Load {
        let models = self.own.entry(upstream.to_owned()).or_default();
        models.entry(model.to_owned()).or_default()
    }
}
