//! How upstreams treat requests, judged by their answers.
//!
//! Health checks of a failing upstream may pass, so an upstream is judged only by what it does to
//! callers. Unreachable upstreams rest for a growing time; upstreams that fail more often than
//! others of their service are chosen less.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Rest after a first failure to connect.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest between attempts to reach an upstream.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Time in which the weight of an outcome falls to one half.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Outcomes, by weight, that a judgement needs.
const LEAST_WEIGHT: f64 = 1.5;

/// How an upstream treated a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Good,
    /// It failed, shed or broke off.
    Bad,
    /// No connection could be opened.
    Unreachable,
}

/// Outcomes of upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Health {
    upstreams: HashMap<String, Record>,
}

#[derive(Debug)]
struct Record {
    good: f64,
    bad: f64,
    at: Instant,
    unreachable: u32,
    rests_until: Option<Instant>,
}

impl Health {
    /// Notes an outcome.
    pub fn note(&mut self, upstream: &str, outcome: Outcome, now: Instant) {
        let record = self
            .upstreams
            .entry(upstream.to_owned())
            .or_insert_with(|| Record::new(now));
        record.decay(now);
        match outcome {
            Outcome::Good => {
                record.good += 1.0;
                record.unreachable = 0;
                record.rests_until = None;
            }
            Outcome::Bad => record.bad += 1.0,
            Outcome::Unreachable => {
                record.bad += 1.0;
                let rest = FIRST_REST * 2_u32.pow(record.unreachable.min(3));
                record.unreachable += 1;
                record.rests_until = Some(now + rest.min(LONGEST_REST));
            }
        }
    }

    /// Whether an upstream rests because it could not be reached.
    pub fn is_resting(&self, upstream: &str, now: Instant) -> bool {
        let until = self.upstreams.get(upstream).and_then(|r| r.rests_until);
        until.is_some_and(|until| now < until)
    }

    /// Upstreams that rest because they could not be reached.
    pub fn resting(&self, now: Instant) -> Vec<String> {
        let ids = self.upstreams.keys();
        ids.filter(|id| self.is_resting(id, now)).cloned().collect()
    }

    /// Part of the requests that an upstream fails, from 0 to 1; 0 while too little is known.
    pub fn failing(&self, upstream: &str, now: Instant) -> f64 {
        let Some(record) = self.upstreams.get(upstream) else {
            return 0.0;
        };
        let fade = fade(now.saturating_duration_since(record.at));
        let (good, bad) = (record.good * fade, record.bad * fade);
        if good + bad < LEAST_WEIGHT {
            return 0.0;
        }
        bad / (good + bad)
    }

    /// Forgets an upstream that has gone.
    pub fn forget(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
    }
}

impl Record {
    fn new(at: Instant) -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            at,
            unreachable: 0,
            rests_until: None,
        }
    }

    fn decay(&mut self, now: Instant) {
        let fade = fade(now.saturating_duration_since(self.at));
        self.good *= fade;
        self.bad *= fade;
        self.at = now.max(self.at);
    }
}

fn fade(passed: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
