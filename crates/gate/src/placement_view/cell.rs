//! What a holder has said of one cell.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A replica as the holder described it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KnownReplica {
    pub(super) upstream: String,
    pub(super) artifact: String,
    pub(super) ready: bool,
    pub(super) ready_in: Duration,
}

/// Load of an upstream as the holder described it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KnownLoad {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) at: Instant,
    pub(super) leaving: bool,
}

/// What a holder has said of one cell.
#[derive(Clone, Debug, Default)]
pub(super) struct CellView {
    pub(super) term: u64,
    pub(super) version: u64,
    pub(super) heard_at: Option<Instant>,
    pub(super) replicas: Vec<KnownReplica>,
    pub(super) loads: BTreeMap<String, KnownLoad>,
    /// Time until artifacts can be served that cannot be served in time.
    pub(super) refusals: BTreeMap<String, Duration>,
}

impl CellView {
    /// Takes a newer view. A view of an earlier holder is passed over; `replicas` is `None` when
    /// they have not changed.
    pub(super) fn update(&mut self, newer: Self, replicas: Option<Vec<KnownReplica>>) {
        if newer.term < self.term {
            return;
        }
        let kept = std::mem::take(&mut self.replicas);
        *self = newer;
        self.replicas = replicas.unwrap_or(kept);
    }

    /// Time that remains of an estimate the holder gave.
    pub(super) fn left(&self, estimate: Duration, now: Instant) -> Duration {
        let age = self.heard_at.map(|at| now.duration_since(at));
        estimate.saturating_sub(age.unwrap_or_default())
    }
}
