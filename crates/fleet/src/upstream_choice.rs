//! Chooses the upstream that runs a request.
//!
//! The cost of a candidate is expressed in prompt tokens that it has to process.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::load::Load;

/// Cost of each running request, in prompt tokens.
const RUNNING_REQUEST_COST: f64 = 150.0;
/// Cost of an upstream in another availability zone, in prompt tokens.
const REMOTE_ZONE_COST: f64 = 200.0;
/// Cost of a failure rate of 1, in prompt tokens.
const FAILURE_COST: f64 = 200_000.0;
/// Failure rate without a penalty, because healthy upstreams fail some requests too.
const TOLERATED_FAILURE_RATE: f64 = 0.2;
/// Fraction of the uncached prompt tokens that is charged at the preferred upstream of a shared
/// prompt. Other instances have probably sent the prompt there already.
const PREFERRED_UNCACHED_FRACTION: f64 = 0.5;

/// Cost at each stream of an upstream that reads a prompt, as a fraction of the prompt's uncached tokens.
/// 0.05 to 0.1 lowers the number of long pauses in the model of mixed prompts; with more, prompts wait
/// for engines with few streams.
const PAUSE_COST: f64 = 0.07;

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Identifier of the upstream.
    pub id: &'a str,
    /// Whether the upstream is in the availability zone of this instance.
    pub is_near: bool,
    /// Load by requests of all instances.
    pub load: Load,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Prompt tokens that are not in the upstream's prefix cache.
    pub uncached_tokens: u64,
    /// Fraction of its requests that the upstream fails, from 0 to 1.
    pub failure_rate: f64,
}

/// The load of an upstream whose streams have a goal for pauses, with the pauses that reading
/// `uncached_tokens` prompt tokens adds to them.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
pub fn with_pauses(mut load: Load, uncached_tokens: u64) -> Load {
    let streams = f64::from(load.running.saturating_sub(load.starting));
    load.uncached_tokens += (uncached_tokens as f64 * streams * PAUSE_COST) as u64;
    load
}

/// Returns the index of the candidate with the lowest estimated cost, or none without candidates.
///
/// `shared_prefix_id` identifies the prompt prefix that a request shares with others. Requests with
/// the same prefix prefer one upstream as long as it is not busier than the others.
pub fn choose(candidates: &[Candidate<'_>], shared_prefix_id: Option<u64>) -> Option<usize> {
    let preferred = shared_prefix_id
        .and_then(|shared_prefix_id| preferred_upstream(candidates, shared_prefix_id));
    let costs = candidates.iter().enumerate().map(|(i, c)| {
        let is_preferred = preferred == Some(i);
        (cost(c, is_preferred), i)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, i)| i)
}

/// The two upstreams that are assumed to have a shared prefix cached, by rendezvous hashing: every
/// instance with the same upstreams computes the same ones and sends requests with the prefix there,
/// so that others need not be told of the prompts that an instance has sent. Two, so that the
/// requests of one prefix do not depend on the room of one upstream.
pub fn home_upstreams<'a, I>(ids: I, shared_prefix_id: u64) -> [Option<&'a str>; 2]
where
    I: IntoIterator<Item = &'a str>,
{
    let (mut first, mut second) = (None, None);
    for id in ids {
        let weighted = Some((weight(shared_prefix_id, id), id));
        if weighted > first {
            second = first;
            first = weighted;
        } else if weighted > second {
            second = weighted;
        }
    }
    [first, second].map(|home| home.map(|(_, id)| id))
}

fn weight(shared_prefix_id: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (shared_prefix_id, id).hash(&mut hasher);
    hasher.finish()
}

/// The upstream that requests with a shared prefix prefer, by rendezvous hashing: every instance
/// with the same candidates computes the same one.
fn preferred_upstream(candidates: &[Candidate<'_>], shared_prefix_id: u64) -> Option<usize> {
    let candidates = candidates.iter().enumerate();
    let weighted = candidates.map(|(i, c)| (weight(shared_prefix_id, c.id), i));
    weighted.max().map(|(_, i)| i)
}

#[allow(clippy::cast_precision_loss)]
fn cost(c: &Candidate<'_>, is_preferred: bool) -> f64 {
    let prompt_cost = if is_preferred {
        c.uncached_tokens as f64 * PREFERRED_UNCACHED_FRACTION
    } else {
        c.uncached_tokens as f64
    };
    let running = f64::from(c.load.running);
    // An upstream queues requests beyond its slots; each costs as much as ten additional
    // running requests.
    let queue_penalty = (running - f64::from(c.slots)).max(0.0) * 10.0;
    let load_cost =
        c.load.uncached_tokens as f64 + (running + queue_penalty) * RUNNING_REQUEST_COST;
    let zone_cost = if c.is_near { 0.0 } else { REMOTE_ZONE_COST };
    let failure_cost = (c.failure_rate - TOLERATED_FAILURE_RATE).max(0.0) * FAILURE_COST;
    prompt_cost + load_cost + zone_cost + failure_cost
}
