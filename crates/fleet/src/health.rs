//! Passive health tracking of upstreams, from the outcomes of requests.
//!
//! Health checks may pass at a failing upstream, so only the outcomes of callers' requests count.
//! An unreachable upstream is not used during a backoff that grows with each failure; upstreams
//! that fail more often than others of their service are chosen less often.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Backoff after a first failure to connect. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff between attempts to connect to an upstream.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time in which the weight of an outcome halves.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Total weight of outcomes below which the failure rate counts as 0.
const MIN_OUTCOME_WEIGHT: f64 = 1.5;

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered properly.
    Good,
    /// The upstream failed or shed the request, or cut its answer off.
    Bad,
    /// No connection could be established.
    Unreachable,
}

/// Decaying outcome counts and connect backoff of upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Health {
    upstreams: HashMap<String, OutcomeRecord>,
}

#[derive(Debug)]
struct OutcomeRecord {
    good: f64,
    bad: f64,
    decayed_at: Instant,
    connect_failures: u32,
    backoff_until: Option<Instant>,
}

impl Health {
    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, upstream: &str, outcome: Outcome, now: Instant) {
        let record = self
            .upstreams
            .entry(upstream.to_owned())
            .or_insert_with(|| OutcomeRecord::new(now));
        record.decay(now);
        match outcome {
            Outcome::Good => {
                record.good += 1.0;
                record.connect_failures = 0;
                record.backoff_until = None;
            }
            Outcome::Bad => record.bad += 1.0,
            Outcome::Unreachable => {
                record.bad += 1.0;
                let backoff = INITIAL_BACKOFF * 2_u32.pow(record.connect_failures.min(3));
                record.connect_failures += 1;
                record.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
            }
        }
    }

    /// Whether an upstream is in backoff because it could not be reached.
    pub fn is_in_backoff(&self, upstream: &str, now: Instant) -> bool {
        let until = self.upstreams.get(upstream).and_then(|r| r.backoff_until);
        until.is_some_and(|until| now < until)
    }

    /// Identifiers of the upstreams that are in backoff.
    pub fn upstreams_in_backoff(&self, now: Instant) -> Vec<String> {
        let ids = self.upstreams.keys();
        ids.filter(|id| self.is_in_backoff(id, now))
            .cloned()
            .collect()
    }

    /// Fraction of recent requests that an upstream failed, from 0 to 1; 0 while there are too few
    /// outcomes.
    pub fn failure_rate(&self, upstream: &str, now: Instant) -> f64 {
        let Some(record) = self.upstreams.get(upstream) else {
            return 0.0;
        };
        let decay = decay_factor(now.saturating_duration_since(record.decayed_at));
        let (good, bad) = (record.good * decay, record.bad * decay);
        if good + bad < MIN_OUTCOME_WEIGHT {
            return 0.0;
        }
        bad / (good + bad)
    }

    /// Removes the state of an upstream that no longer exists.
    pub fn forget(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
    }
}

impl OutcomeRecord {
    fn new(decayed_at: Instant) -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            decayed_at,
            connect_failures: 0,
            backoff_until: None,
        }
    }

    fn decay(&mut self, now: Instant) {
        let decay = decay_factor(now.saturating_duration_since(self.decayed_at));
        self.good *= decay;
        self.bad *= decay;
        self.decayed_at = now.max(self.decayed_at);
    }
}

fn decay_factor(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
