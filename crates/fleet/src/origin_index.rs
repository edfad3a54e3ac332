//! The holder's index of the software versions that began streams, and what of it the store does not
//! have yet.
//!
//! The store has the index as batches, each written once and never changed. A new holder reads them
//! all, and gets from the instances what they have sent since they began to remember.

use std::{collections::BTreeMap, time::Instant};

use crate::stream_origins::{ReportedOrigins, StreamKey, StreamOrigins};

/// Most streams in one batch: well within the largest value of a store.
const MAX_BATCH: usize = 20_000;

/// What the holder knows of streams.
#[derive(Debug, Default)]
pub struct OriginIndex {
    origins: StreamOrigins,
    /// Streams that are in no batch yet.
    pending: ReportedOrigins,
    has_stored: bool,
}

impl OriginIndex {
    /// The index at the beginning of another tenure: what is known is still true, and the store may
    /// have lost it.
    #[must_use]
    pub fn begin_tenure(self) -> Self {
        Self {
            pending: self.origins.remembered(),
            origins: self.origins,
            has_stored: false,
        }
    }

    /// Takes over an instance's report. Returns whether any of it is new.
    pub fn record(&mut self, reported: &ReportedOrigins, now: Instant) -> bool {
        let mut is_new = false;
        for (software, streams) in reported {
            let unknown = streams.iter().copied();
            let unknown = unknown.filter(|stream| self.origins.software(*stream).is_none());
            let unknown: Vec<_> = unknown.collect();
            if !unknown.is_empty() {
                is_new = true;
                let pending = self.pending.entry(software.clone()).or_default();
                pending.extend(unknown);
            }
        }
        self.origins.learn(reported, now);
        is_new
    }

    /// Takes over the batches that the store has.
    pub fn record_stored(&mut self, batches: &[ReportedOrigins], now: Instant) {
        for batch in batches {
            self.origins.learn(batch, now);
        }
        self.has_stored = true;
    }

    /// Whether the batches of the store have been taken over.
    pub fn has_stored(&self) -> bool {
        self.has_stored
    }

    /// Whether there are streams that are in no batch yet.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the next batch for the store; empty if there is none. Streams that are no longer remembered
    /// are left out.
    pub fn take_batch(&mut self) -> ReportedOrigins {
        let mut batch = BTreeMap::new();
        let mut room = MAX_BATCH;
        while room > 0
            && let Some((software, mut streams)) = self.pending.pop_first()
        {
            streams.retain(|stream| self.origins.software(*stream).is_some());
            if streams.is_empty() {
                continue;
            }
            if streams.len() > room {
                let rest = streams.split_off(room);
                self.pending.insert(software.clone(), rest);
            }
            room -= streams.len();
            batch.insert(software, streams);
        }
        batch
    }

    /// Takes back a batch that could not be written.
    pub fn put_back(&mut self, batch: ReportedOrigins) {
        for (software, streams) in batch {
            self.pending.entry(software).or_default().extend(streams);
        }
    }

    /// The version that began a stream, if it is known.
    pub fn software(&self, stream: StreamKey) -> Option<&str> {
        self.origins.software(stream)
    }

    /// Number of streams that are known.
    pub fn count(&self) -> usize {
        self.origins.count()
    }
}
