//! Cache of prompt prefixes, and its late events.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// Bytes of a prompt that make up one block.
pub const BLOCK_BYTES: usize = 64;
/// Bytes of a prompt that make up one token.
pub const TOKEN_BYTES: usize = 4;
const EVENTS_KEPT: usize = 10_000;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// An event of the cache. Numbers that are left out are gaps.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; rises by one with each.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
    /// Served name.
    pub artifact: String,
    /// Hash of the prefix that ends with the block.
    pub prefix: u64,
}

/// Answer to a reading of events.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvents {
    /// Events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

pub(super) struct PrefixCache {
    blocks: usize,
    used_at: HashMap<(String, u64), u64>,
    by_use: BTreeMap<u64, (String, u64)>,
    uses: u64,
    events: Vec<(Instant, CacheEvent)>,
    last_event: u64,
    lag: Duration,
    gap: u64,
}

impl PrefixCache {
    pub(super) fn new(blocks: usize, lag: Duration, gap: u64) -> Self {
        Self {
            blocks,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: Vec::new(),
            last_event: 0,
            lag,
            gap,
        }
    }

    /// Caches a prompt and returns how many of its tokens were cached before.
    pub(super) fn read(&mut self, artifact: &str, prompt: &str) -> u64 {
        let prefixes = prefix_hashes(prompt.as_bytes());
        let known = |prefix: &&u64| self.used_at.contains_key(&(artifact.to_owned(), **prefix));
        let hits = prefixes.iter().take_while(known).count();
        for prefix in prefixes {
            self.touch((artifact.to_owned(), prefix));
        }
        self.evict();
        (hits * BLOCK_BYTES / TOKEN_BYTES) as u64
    }

    /// Forgets all blocks of an artifact.
    pub(super) fn forget(&mut self, artifact: &str) {
        let gone = self.by_use.iter().filter(|(_, key)| key.0 == artifact);
        let gone: Vec<u64> = gone.map(|(used, _)| *used).collect();
        for used in gone {
            self.remove(used);
        }
    }

    /// Events that are published by now.
    pub(super) fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let newer = self.events.iter().filter(|(_, event)| event.number > after);
        let published = newer.filter(|(at, event)| *at + self.lag <= now && !self.is_gap(event));
        CacheEvents {
            events: published.map(|(_, event)| event.clone()).collect(),
        }
    }

    fn is_gap(&self, event: &CacheEvent) -> bool {
        self.gap > 0 && event.number.is_multiple_of(self.gap)
    }

    fn touch(&mut self, key: (String, u64)) {
        self.uses += 1;
        let before = self.used_at.insert(key.clone(), self.uses);
        self.by_use.insert(self.uses, key.clone());
        match before {
            Some(used) => {
                self.by_use.remove(&used);
            }
            None => self.publish(CacheChange::Stored, key),
        }
    }

    fn evict(&mut self) {
        while self.by_use.len() > self.blocks {
            let Some(used) = self.by_use.keys().next().copied() else {
                return;
            };
            self.remove(used);
        }
    }

    fn remove(&mut self, used: u64) {
        if let Some(key) = self.by_use.remove(&used) {
            self.used_at.remove(&key);
            self.publish(CacheChange::Evicted, key);
        }
    }

    fn publish(&mut self, change: CacheChange, (artifact, prefix): (String, u64)) {
        self.last_event += 1;
        let event = CacheEvent {
            number: self.last_event,
            change,
            artifact,
            prefix,
        };
        if self.events.len() == EVENTS_KEPT {
            self.events.drain(..EVENTS_KEPT / 2);
        }
        self.events.push((Instant::now(), event));
    }
}

/// Hashes of all whole-block prefixes of a prompt: the first 8 bytes, big endian, of the SHA-256
/// of the hash before and the block.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0_u64;
    let chained = prompt.chunks_exact(BLOCK_BYTES).map(|block| {
        let mut sha = Sha256::new();
        sha.update(hash.to_be_bytes());
        sha.update(block);
        let digest = sha.finalize();
        hash = digest
            .iter()
            .take(8)
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        hash
    });
    chained.collect()
}
