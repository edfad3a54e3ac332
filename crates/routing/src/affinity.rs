//! Predicts which upstream has a prompt prefix cached, from where this gate sent the prefix last.
//!
//! Cache events of the engines arrive late and with gaps, whereas the gate's own routing is known
//! at once. A wrong prediction costs no more than a cache miss.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Size of a block, the unit in which prompts are hashed.
const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are hashed; the rest of a longer prompt is ignored.
const MAX_HASHED_BLOCKS: usize = 64;
/// Prefixes that the index holds before it evicts the oldest.
const MAX_INDEXED_PREFIXES: usize = 16_384;

/// Hashes of the prefixes of a prompt, from the first block to the longest prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptPrefixes(Vec<u64>);

impl PromptPrefixes {
    /// Hashes the prefixes of a prompt in whole blocks; a partial last block is ignored. The same
    /// prompt to another `served_name` has other hashes.
    pub fn of(served_name: &str, prompt: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        served_name.hash(&mut hasher);
        let blocks = prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .take(MAX_HASHED_BLOCKS);
        let prefixes = blocks.map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        });
        Self(prefixes.collect())
    }
}

/// The upstream to which each prefix was sent last.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    upstreams: HashMap<u64, String>,
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Records that a prompt was sent to an upstream.
    pub fn record_sent(&mut self, prefixes: &PromptPrefixes, upstream: &str) {
        for hash in &prefixes.0 {
            if self.upstreams.insert(*hash, upstream.to_owned()).is_none() {
                self.insertion_order.push_back(*hash);
            }
        }
        while self.insertion_order.len() > MAX_INDEXED_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.upstreams.remove(&oldest);
            }
        }
    }

    /// The upstream to which the longest known prefix was sent last, and the fraction of the
    /// prompt's hashed blocks that the prefix covers, from 0 to 1.
    pub fn longest_match(&self, prefixes: &PromptPrefixes) -> Option<(&str, f64)> {
        let count = prefixes.0.len();
        let mut hashes = prefixes.0.iter().enumerate().rev();
        hashes.find_map(|(i, hash)| {
            let upstream = self.upstreams.get(hash)?;
            #[allow(clippy::cast_precision_loss)]
            let covered = (i + 1) as f64 / count as f64;
            Some((upstream.as_str(), covered))
        })
    }
}
