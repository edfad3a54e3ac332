//! Prefix cache of an engine, and its events, which are published with a delay.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// Bytes of a prompt in one cache block.
pub const BLOCK_BYTES: usize = 64;
/// Bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;
/// Most events that are kept; beyond it the older half is dropped.
const MAX_EVENTS: usize = 10_000;

/// What happened to a cache block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was removed, for lack of space or because its artifact was unloaded.
    Evicted,
}

/// A change of one cache block. A number missing from the sequence is an event that was never
/// published.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Sequence number; rises by one with each event, published or not.
    pub number: u64,
    /// What happened to the block.
    pub change: CacheChange,
    /// Served name of the artifact.
    pub artifact: String,
    /// Hash of the prompt prefix that ends with the block, as [`prefix_hashes`] gives it.
    pub prefix: u64,
}

/// Answer of `/control/cache-events`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvents {
    /// Published events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Least-recently-used cache of prompt prefixes. A key is a served name and a prefix hash.
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// Value of `use_count` at the last use of each block.
    last_uses: HashMap<(String, u64), u64>,
    /// Blocks in the order of their last use.
    by_last_use: BTreeMap<u64, (String, u64)>,
    use_count: u64,
    events: Vec<(Instant, CacheEvent)>,
    last_event: u64,
    publish_delay: Duration,
    /// Events whose number is a multiple of this are never published; zero publishes all.
    gap_interval: u64,
}

impl PrefixCache {
    pub(super) fn new(max_blocks: usize, publish_delay: Duration, gap_interval: u64) -> Self {
        Self {
            max_blocks,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: Vec::new(),
            last_event: 0,
            publish_delay,
            gap_interval,
        }
    }

    /// Caches all whole blocks of a prompt, and returns how many of its tokens were already cached.
    pub(super) fn insert_prompt(&mut self, artifact: &str, prompt: &str) -> u64 {
        let prefixes = prefix_hashes(prompt.as_bytes());
        let is_cached = |prefix: &&u64| {
            self.last_uses
                .contains_key(&(artifact.to_owned(), **prefix))
        };
        let hits = prefixes.iter().take_while(is_cached).count();
        for prefix in prefixes {
            self.touch((artifact.to_owned(), prefix));
        }
        self.evict_excess();
        (hits * BLOCK_BYTES / TOKEN_BYTES) as u64
    }

    /// Evicts all blocks of an artifact.
    pub(super) fn evict_artifact(&mut self, artifact: &str) {
        let evicted = self.by_last_use.iter().filter(|(_, key)| key.0 == artifact);
        let evicted: Vec<u64> = evicted.map(|(last_use, _)| *last_use).collect();
        for last_use in evicted {
            self.remove(last_use);
        }
    }

    /// Published events with numbers above `after`.
    pub(super) fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let newer = self.events.iter().filter(|(_, event)| event.number > after);
        let published =
            newer.filter(|(at, event)| *at + self.publish_delay <= now && !self.is_withheld(event));
        CacheEvents {
            events: published.map(|(_, event)| event.clone()).collect(),
        }
    }

    fn is_withheld(&self, event: &CacheEvent) -> bool {
        self.gap_interval > 0 && event.number.is_multiple_of(self.gap_interval)
    }

    /// Marks a block as used now, and adds it if it is not cached.
    fn touch(&mut self, key: (String, u64)) {
        self.use_count += 1;
        let previous_use = self.last_uses.insert(key.clone(), self.use_count);
        self.by_last_use.insert(self.use_count, key.clone());
        match previous_use {
            Some(last_use) => {
                self.by_last_use.remove(&last_use);
            }
            None => self.publish(CacheChange::Stored, key),
        }
    }

    /// Evicts the least recently used blocks beyond the capacity.
    fn evict_excess(&mut self) {
        while self.by_last_use.len() > self.max_blocks {
            let Some(oldest_use) = self.by_last_use.keys().next().copied() else {
                return;
            };
            self.remove(oldest_use);
        }
    }

    fn remove(&mut self, last_use: u64) {
        if let Some(key) = self.by_last_use.remove(&last_use) {
            self.last_uses.remove(&key);
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
        if self.events.len() == MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        self.events.push((Instant::now(), event));
    }
}

/// Hashes of the prefixes of a prompt that end with a whole block, shortest first. Each is the
/// first 8 bytes, big endian, of the SHA-256 of the previous hash (zero for the first block) and
/// the block.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0_u64;
    let hashes = prompt.chunks_exact(BLOCK_BYTES).map(|block| {
        let mut sha = Sha256::new();
        sha.update(hash.to_be_bytes());
        sha.update(block);
        let digest = sha.finalize();
        hash = digest
            .iter()
            .take(8)
            .fold(0, |number, byte| number << 8 | u64::from(*byte));
        hash
    });
    hashes.collect()
}
