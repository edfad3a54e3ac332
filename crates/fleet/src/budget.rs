//! Budget of repeated sends, shared by all instances.
//!
//! Repeats help while few upstreams fail; when many do, they only add load. Each instance spends
//! at most its part of the budget, so that no exchange between instances is needed.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Part of the budget that is used, so that requests counted late do not break it.
const USED_PART: f64 = 0.8;

/// Limits of the budget of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all instances.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Repeats and requests of this instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    services: HashMap<String, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Puts other limits into force.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, service: &str, now: Instant) {
        let window = self.limits.window;
        let counts = self.counts(service);
        expire(&mut counts.requests, window, now);
        counts.requests.push_back(now);
    }

    /// Takes a repeat from the part that one of `instances` may spend; false if it is spent.
    pub fn take_repeat(&mut self, service: &str, instances: usize, now: Instant) -> bool {
        let BudgetLimits {
            ratio,
            extra,
            window,
        } = self.limits;
        let counts = self.counts(service);
        expire(&mut counts.requests, window, now);
        expire(&mut counts.repeats, window, now);
        #[allow(clippy::cast_precision_loss)]
        let (requests, repeats) = (counts.requests.len() as f64, counts.repeats.len() as f64);
        #[allow(clippy::cast_precision_loss)]
        let share = extra / instances.max(1) as f64;
        if repeats + 1.0 > USED_PART * (ratio * requests + share) {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

fn expire(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) > window)
    {
        times.pop_front();
    }
}
