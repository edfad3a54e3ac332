//! Choice of the upstream that runs a request.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::load::Load;

/// Tokens read that slow a request as much as one more running request does.
const TOKENS_PER_RUNNING: f64 = 150.0;
/// Tokens read that cost as much as crossing to another availability zone.
const TOKENS_PER_ZONE: f64 = 200.0;
/// Tokens read that cost as much as a certain failure.
const TOKENS_PER_FAILURE: f64 = 200_000.0;
/// Part of failures that is accepted without a penalty: upstreams fail some requests by
/// themselves.
const ACCEPTED_FAILING: f64 = 0.2;
/// Part of the shared prompt that counts as kept at the upstream that the subject belongs to,
/// where this instance has not sent it there itself: other instances probably have.
const HOME_KEPT: f64 = 0.5;

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Identifier of the upstream.
    pub id: &'a str,
    /// Whether it is in the availability zone of this instance.
    pub is_near: bool,
    /// Requests that it has from all instances.
    pub load: Load,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it has to read anew.
    pub unread: u64,
    /// Part of its requests that it fails, from 0 to 1.
    pub failing: f64,
}

/// Chooses the candidate at which a request ends first. `subject` is what requests share a prompt
/// for; they gather at one upstream as long as it is not busier than the others.
pub fn choose(candidates: &[Candidate<'_>], subject: Option<u64>) -> Option<usize> {
    let home = subject.and_then(|subject| home(candidates, subject));
    let costs = candidates.iter().enumerate().map(|(i, c)| {
        let is_home = home == Some(i);
        (cost(c, is_home), i)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, i)| i)
}

/// Upstream that a subject belongs to, the same at every instance.
fn home(candidates: &[Candidate<'_>], subject: u64) -> Option<usize> {
    let weight = |c: &Candidate<'_>| {
        let mut hasher = DefaultHasher::new();
        (subject, c.id).hash(&mut hasher);
        hasher.finish()
    };
    let weighted = candidates.iter().enumerate().map(|(i, c)| (weight(c), i));
    weighted.max().map(|(_, i)| i)
}

#[allow(clippy::cast_precision_loss)]
fn cost(c: &Candidate<'_>, is_home: bool) -> f64 {
    let reading = if is_home {
        c.unread as f64 * HOME_KEPT
    } else {
        c.unread as f64
    };
    let running = f64::from(c.load.running);
    // Past its slots, an upstream queues.
    let queued = (running - f64::from(c.slots)).max(0.0) * 10.0;
    let waiting = c.load.unread as f64 + (running + queued) * TOKENS_PER_RUNNING;
    let zone = if c.is_near { 0.0 } else { TOKENS_PER_ZONE };
    let failing = (c.failing - ACCEPTED_FAILING).max(0.0) * TOKENS_PER_FAILURE;
    reading + waiting + zone + failing
}
