//! Retry budget of each service, shared by all instances.
//!
//! Retries help while few upstreams fail; when many do, they only add load. Each instance spends at
//! most its share of the budget, so instances need not coordinate.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Fraction of the budget that is used. The rest keeps requests that are counted late from
/// exceeding the budget.
const USABLE_FRACTION: f64 = 0.8;

/// Limits of the retry budget, which hold for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Additional retries allowed in the window, over all instances.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of this instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    services: HashMap<String, ServiceCounts>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget without requests or retries.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Replaces the limits. Requests and retries already counted stay.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request for a service, which allows more retries while it is in the window.
    pub fn note_request(&mut self, service: &str, now: Instant) {
        let window = self.limits.window;
        let counts = self.service_counts(service);
        remove_expired(&mut counts.requests, window, now);
        counts.requests.push_back(now);
    }

    /// Takes a retry from the share of this instance, one of `instances`. Returns false, and takes
    /// nothing, if the share is used up.
    pub fn take_retry(&mut self, service: &str, instances: usize, now: Instant) -> bool {
        let has_retry = self.has_retry(service, instances, now);
        if has_retry {
            self.service_counts(service).retries.push_back(now);
        }
        has_retry
    }

    /// Whether a retry is left in the share of this instance, one of `instances`.
    pub fn has_retry(&mut self, service: &str, instances: usize, now: Instant) -> bool {
        let BudgetLimits {
            ratio,
            extra,
            window,
        } = self.limits;
        let counts = self.service_counts(service);
        remove_expired(&mut counts.requests, window, now);
        remove_expired(&mut counts.retries, window, now);
        #[allow(clippy::cast_precision_loss)]
        let (requests, retries) = (counts.requests.len() as f64, counts.retries.len() as f64);
        #[allow(clippy::cast_precision_loss)]
        let share = extra / instances.max(1) as f64;
        retries + 1.0 <= USABLE_FRACTION * (ratio * requests + share)
    }

    fn service_counts(&mut self, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceCounts::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) > window)
    {
        times.pop_front();
    }
}
