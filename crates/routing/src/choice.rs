//! Load balancing between the replicas of an artifact.
//!
//! Takes the best of two random replicas, so that gates that share the same stale load reports do
//! not all choose the same one. The replica with the longest cached prefix is always compared as
//! well.

use rand::{Rng, RngExt};

/// Penalty for a replica in another availability zone, as a fraction of the upstream's slots.
const OTHER_ZONE_PENALTY: f64 = 0.1;
/// Bonus for a fully cached prompt, as a fraction of the upstream's slots.
const FULL_CACHE_BONUS: f64 = 0.5;

/// A replica that can take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated number of requests on its upstream.
    pub load: u32,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether it is in the availability zone of the gate.
    pub same_zone: bool,
    /// Estimated fraction of the prompt that it has cached, from 0 to 1.
    pub cached: f64,
}

impl Candidate {
    /// Relative load, adjusted for zone and cached prefix; lower is better.
    pub fn score(&self) -> f64 {
        let load = f64::from(self.load) / f64::from(self.slots.max(1));
        let penalty = if self.same_zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY
        };
        load + penalty - FULL_CACHE_BONUS * self.cached
    }
}

/// Returns the index of the chosen replica; `None` when there are no candidates.
pub fn choose_replica<R>(candidates: &[Candidate], rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    let most_cached = (0..count).max_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        a.cached.total_cmp(&b.cached)
    })?;
    let score = |at: &usize| candidates[*at].score();
    let choices = [first, second, most_cached];
    choices
        .into_iter()
        .min_by(|a, b| score(a).total_cmp(&score(b)))
}
