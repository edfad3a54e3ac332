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
    /// This load without a part of it.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            starting: self.starting.saturating_sub(part.starting),
            unread: self.unread.saturating_sub(part.unread),
        }
    }

    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.starting += other.starting;
        self.unread += other.unread;
    }
}

/// Loads of upstreams by the key of the artifact that the requests ask for, which is empty at
/// plain services.
pub type Loads = HashMap<String, BTreeMap<String, Load>>;

/// Load of an upstream by all requests.
pub fn of_upstream(loads: &Loads, upstream: &str) -> Load {
    let mut total = Load::default();
    for load in loads.get(upstream).into_iter().flat_map(BTreeMap::values) {
        total.add(*load);
    }
    total
}

/// Load of an upstream by requests for a model, with or without an adapter.
pub fn of_model(loads: &Loads, upstream: &str, model: &str) -> Load {
    let mut total = Load::default();
    for (key, load) in loads.get(upstream).into_iter().flatten() {
        if model_of(key) == model {
            total.add(*load);
        }
    }
    total
}

/// Model of an artifact's key.
pub fn model_of(key: &str) -> &str {
    key.split_once('/').map_or(key, |(model, _)| model)
}

/// Requests at all upstreams.
#[derive(Debug, Default)]
pub struct LoadBoard {
    own: Loads,
    others: HashMap<String, Load>,
}

impl LoadBoard {
    /// Counts a request sent to an upstream.
    pub fn begin(&mut self, upstream: &str, key: &str, unread: u64) {
        let load = self.own_entry(upstream, key);
        load.running += 1;
        load.starting += 1;
        load.unread += unread;
    }

    /// Notes that the answer of a request has begun.
    pub fn started(&mut self, upstream: &str, key: &str, unread: u64) {
        let load = self.own_entry(upstream, key);
        load.starting = load.starting.saturating_sub(1);
        load.unread = load.unread.saturating_sub(unread);
    }

    /// Notes that a request whose answer had begun has ended.
    pub fn ended(&mut self, upstream: &str, key: &str) {
        let load = self.own_entry(upstream, key);
        load.running = load.running.saturating_sub(1);
        if *load == Load::default()
            && let Some(loads) = self.own.get_mut(upstream)
        {
            loads.remove(key);
            if loads.is_empty() {
                self.own.remove(upstream);
            }
        }
    }

    /// Loads of this instance.
    pub fn own(&self) -> &Loads {
        &self.own
    }

    /// Takes over what the other instances have sent.
    pub fn set_others(&mut self, others: HashMap<String, Load>) {
        self.others = others;
    }

    /// Load of an upstream from all instances.
    pub fn total(&self, upstream: &str) -> Load {
        let mut total = self.others.get(upstream).copied().unwrap_or_default();
        total.add(of_upstream(&self.own, upstream));
        total
    }

    fn own_entry(&mut self, upstream: &str, key: &str) -> &mut Load {
        let loads = self.own.entry(upstream.to_owned()).or_default();
        loads.entry(key.to_owned()).or_default()
    }
}
