//! Estimates the prefix caches of engines from the prompts that this instance sent to them.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::request::{Artifact, PromptPart};

/// Fraction of an engine's KV memory that is assumed to hold cached prompt parts. Running requests
/// take the rest.
const CACHED_FRACTION: f64 = 0.6;

/// Estimated prefix cache of each upstream, with LRU eviction.
#[derive(Debug, Default)]
pub struct PrefixCaches {
    upstreams: HashMap<String, PrefixCache>,
    /// Logical time: the number of recorded prompts.
    clock: u64,
}

#[derive(Debug, Default)]
struct PrefixCache {
    /// Tokens and logical time of last use of each part, by the hash of the artifact and all parts
    /// up to this one.
    parts: HashMap<u64, (u32, u64)>,
    tokens: u64,
}

impl PrefixCaches {
    /// Number of prompt tokens that are not cached at an engine. A part counts as cached only if
    /// all parts before it are.
    pub fn uncached_tokens(
        &self,
        upstream: &str,
        artifact: &Artifact,
        prompt: &[PromptPart],
    ) -> u64 {
        let total: u64 = prompt.iter().map(|p| u64::from(p.tokens)).sum();
        let Some(cache) = self.upstreams.get(upstream) else {
            return total;
        };
        let cached = prefix_hashes(artifact, prompt)
            .zip(prompt)
            .take_while(|(key, _)| cache.parts.contains_key(key));
        total - cached.map(|(_, p)| u64::from(p.tokens)).sum::<u64>()
    }

    /// Records that an engine processes a prompt. `kv_tokens` is the size of its KV memory; the
    /// least recently used parts beyond the cached fraction of it are evicted.
    pub fn record_prompt(
        &mut self,
        upstream: &str,
        artifact: &Artifact,
        prompt: &[PromptPart],
        kv_tokens: u64,
    ) {
        self.clock += 1;
        let cache = self.upstreams.entry(upstream.to_owned()).or_default();
        for (key, part) in prefix_hashes(artifact, prompt).zip(prompt) {
            let previous = cache.parts.insert(key, (part.tokens, self.clock));
            if previous.is_none() {
                cache.tokens += u64::from(part.tokens);
            }
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        cache.evict((kv_tokens as f64 * CACHED_FRACTION) as u64);
    }

    /// Removes the state of an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
    }
}

impl PrefixCache {
    fn evict(&mut self, room: u64) {
        if self.tokens <= room {
            return;
        }
        let mut by_use: Vec<_> = self.parts.iter().map(|(key, p)| (p.1, *key)).collect();
        by_use.sort_unstable();
        for (_, key) in by_use {
            if self.tokens <= room {
                return;
            }
            if let Some((tokens, _)) = self.parts.remove(&key) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}

/// Hash of the artifact and the parts up to each part, in order.
fn prefix_hashes(artifact: &Artifact, prompt: &[PromptPart]) -> impl Iterator<Item = u64> {
    let mut hasher = DefaultHasher::new();
    artifact.hash(&mut hasher);
    prompt.iter().map(move |part| {
        part.id.hash(&mut hasher);
        hasher.finish()
    })
}
