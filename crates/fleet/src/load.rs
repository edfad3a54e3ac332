//! Load of upstreams by the requests of this instance and of others.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that were sent and have not ended.
    pub running: u32,
    /// Number of these that wait for the first byte of their answer.
    pub starting: u32,
    /// Uncached prompt tokens of the requests in `starting`.
    pub uncached_tokens: u64,
}

impl Load {
    /// Subtracts a part of this load. No count falls below 0.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            starting: self.starting.saturating_sub(part.starting),
            uncached_tokens: self.uncached_tokens.saturating_sub(part.uncached_tokens),
        }
    }

    /// Reduces the prompts that wait to be read to a fraction.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn keep_unread(&mut self, fraction: f64) {
        self.starting = (f64::from(self.starting) * fraction).round() as u32;
        self.uncached_tokens = (self.uncached_tokens as f64 * fraction).round() as u64;
    }

    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.starting += other.starting;
        self.uncached_tokens += other.uncached_tokens;
    }
}

/// Loads by upstream and by the key of the requested artifact. The key is empty for services
/// without model engines.
pub type Loads = HashMap<String, BTreeMap<String, Load>>;

/// Total load of an upstream.
pub fn of_upstream(loads: &Loads, upstream: &str) -> Load {
    let mut total = Load::default();
    for load in loads.get(upstream).into_iter().flat_map(BTreeMap::values) {
        total.add(*load);
    }
    total
}

/// Load of an upstream by requests for a model, including those for its adapters.
pub fn of_model(loads: &Loads, upstream: &str, model: &str) -> Load {
    let mut total = Load::default();
    for (key, load) in loads.get(upstream).into_iter().flatten() {
        if model_of(key) == model {
            total.add(*load);
        }
    }
    total
}

/// Name of the model in an artifact's key, which is `MODEL` or `MODEL/ADAPTER`.
pub fn model_of(key: &str) -> &str {
    key.split_once('/').map_or(key, |(model, _)| model)
}

/// Time constant with which prompts that other instances had sent when they reported are read.
const READ_TIME_CONSTANT: Duration = Duration::from_millis(100);

/// Load of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    own: Loads,
    others: HashMap<String, Load>,
    /// Time at which `others` was received.
    others_at: Option<Instant>,
}

impl LoadTracker {
    /// Counts a request sent to an upstream.
    pub fn begin(&mut self, upstream: &str, key: &str, uncached_tokens: u64) {
        let load = self.own_entry(upstream, key);
        load.running += 1;
        load.starting += 1;
        load.uncached_tokens += uncached_tokens;
    }

    /// Records that the answer of a request has begun. `uncached_tokens` is the value given to
    /// [`Self::begin`].
    pub fn started(&mut self, upstream: &str, key: &str, uncached_tokens: u64) {
        let load = self.own_entry(upstream, key);
        load.starting = load.starting.saturating_sub(1);
        load.uncached_tokens = load.uncached_tokens.saturating_sub(uncached_tokens);
    }

    /// Records the end of a request for which [`Self::started`] was called.
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

    /// Load by requests of this instance.
    pub fn own(&self) -> &Loads {
        &self.own
    }

    /// Replaces the load by requests of the other instances. `totals` are the sums over all instances,
    /// by upstream, in which this one counts with `reported`.
    pub fn set_totals<I>(&mut self, totals: I, reported: &Loads, now: Instant)
    where
        I: IntoIterator<Item = (String, Load)>,
    {
        let others = totals.into_iter().map(|(id, total)| {
            let own = of_upstream(reported, &id);
            (id, total.without(own))
        });
        self.others = others
            .filter(|(_, load)| *load != Load::default())
            .collect();
        self.others_at = Some(now);
    }

    /// Load of an upstream by requests of all instances. Of the others' prompts, the part is left
    /// out that the upstream has probably read since.
    pub fn total(&self, upstream: &str, now: Instant) -> Load {
        let mut total = self.others.get(upstream).copied().unwrap_or_default();
        let age = self
            .others_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        total.keep_unread((-age.as_secs_f64() / READ_TIME_CONSTANT.as_secs_f64()).exp());
        total.add(of_upstream(&self.own, upstream));
        total
    }

    fn own_entry(&mut self, upstream: &str, key: &str) -> &mut Load {
        let loads = self.own.entry(upstream.to_owned()).or_default();
        loads.entry(key.to_owned()).or_default()
    }
}
