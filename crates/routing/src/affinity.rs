//! Which upstream has which prefix of a prompt cached, as far as the gate has sent it there.
//!
//! The engines' cache events come late and with gaps; where a gate sent a prefix last is known at
//! once, and a wrong guess costs no more than a miss.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are looked at.
const MAX_BLOCKS: usize = 64;
/// Blocks that are remembered.
const CAPACITY: usize = 16_384;

/// Hashes of the prefixes of a prompt, from short to long.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prefixes(Vec<u64>);

impl Prefixes {
    /// Hashes the whole blocks of a prompt to an artifact.
    pub fn of(served_name: &str, prompt: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        served_name.hash(&mut hasher);
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let prefixes = blocks.map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        });
        Self(prefixes.collect())
    }
}

/// Prefixes that were sent to upstreams.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    upstreams: HashMap<u64, String>,
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Notes that a prompt was sent to an upstream.
    pub fn note(&mut self, prefixes: &Prefixes, upstream: &str) {
        for hash in &prefixes.0 {
            if self.upstreams.insert(*hash, upstream.to_owned()).is_none() {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.upstreams.remove(&oldest);
            }
        }
    }

    /// The upstream that was sent the longest prefix last, with the part of the prompt's blocks
    /// that it covers, from 0 to 1.
    pub fn longest(&self, prefixes: &Prefixes) -> Option<(&str, f64)> {
        let count = prefixes.0.len();
        let mut hashes = prefixes.0.iter().enumerate().rev();
        hashes.find_map(|(i, hash)| {
            let upstream = self.upstreams.get(hash)?;
            #[allow(clippy::cast_precision_loss)]
            let part = (i + 1) as f64 / count as f64;
            Some((upstream.as_str(), part))
        })
    }
}
