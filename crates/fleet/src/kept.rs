//! Prompt parts that engines keep, as far as this instance sent them there.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::request::{Artifact, PromptPart};

/// Part of an engine's KV memory that is expected to hold kept parts; running requests take the
/// rest.
const KEPT_PART: f64 = 0.6;

/// Prompt parts that engines keep, by upstream.
#[derive(Debug, Default)]
pub struct KeptParts {
    upstreams: HashMap<String, Kept>,
    clock: u64,
}

#[derive(Debug, Default)]
struct Kept {
    /// By hash of the artifact and all parts up to this one: tokens and time of last use.
    parts: HashMap<u64, (u32, u64)>,
    tokens: u64,
}

impl KeptParts {
    /// Tokens of a prompt that an engine has to read anew. A part counts as kept only if all
    /// parts before it are.
    pub fn unread(&self, upstream: &str, artifact: &Artifact, prompt: &[PromptPart]) -> u64 {
        let all: u64 = prompt.iter().map(|p| u64::from(p.tokens)).sum();
        let Some(kept) = self.upstreams.get(upstream) else {
            return all;
        };
        let known = chain(artifact, prompt)
            .zip(prompt)
            .take_while(|(key, _)| kept.parts.contains_key(key));
        all - known.map(|(_, p)| u64::from(p.tokens)).sum::<u64>()
    }

    /// Notes that an engine reads a prompt. `room` is its KV memory in tokens.
    pub fn note(&mut self, upstream: &str, artifact: &Artifact, prompt: &[PromptPart], room: u64) {
        self.clock += 1;
        let kept = self.upstreams.entry(upstream.to_owned()).or_default();
        for (key, part) in chain(artifact, prompt).zip(prompt) {
            let before = kept.parts.insert(key, (part.tokens, self.clock));
            if before.is_none() {
                kept.tokens += u64::from(part.tokens);
            }
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        kept.evict((room as f64 * KEPT_PART) as u64);
    }

    /// Forgets what an upstream keeps.
    pub fn forget(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
    }
}

impl Kept {
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

/// Hashes of the artifact and the parts up to each part.
fn chain(artifact: &Artifact, prompt: &[PromptPart]) -> impl Iterator<Item = u64> {
    let mut hasher = DefaultHasher::new();
    artifact.hash(&mut hasher);
    prompt.iter().map(move |part| {
        part.id.hash(&mut hasher);
        hasher.finish()
    })
}
