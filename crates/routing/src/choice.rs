//! Choice between the replicas of an artifact.
//!
//! Two random choices keep many gates with the same lagging reports from all choosing the same
//! replica. The replica with the longest cached prefix joins the two.

use rand::{Rng, RngExt};

/// Load that a replica in another availability zone counts as, in full engines.
const OTHER_ZONE: f64 = 0.1;
/// Load that a wholly cached prompt is worth, in full engines.
const CACHED: f64 = 0.5;

/// A replica that can take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated requests on its upstream.
    pub load: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Whether it is in the availability zone of the gate.
    pub same_zone: bool,
    /// Part of the prompt that it has cached, from 0 to 1.
    pub cached: f64,
}

impl Candidate {
    /// Cost of choosing it; the lower, the better.
    pub fn score(&self) -> f64 {
        let load = f64::from(self.load) / f64::from(self.slots.max(1));
        let zone = if self.same_zone { 0.0 } else { OTHER_ZONE };
        load + zone - CACHED * self.cached
    }
}

/// Chooses a replica.
pub fn choose<R>(candidates: &[Candidate], rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    let cached = (0..count).max_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        a.cached.total_cmp(&b.cached)
    })?;
    let score = |at: &usize| candidates[*at].score();
    let choices = [first, second, cached];
    choices
        .into_iter()
        .min_by(|a, b| score(a).total_cmp(&score(b)))
}
