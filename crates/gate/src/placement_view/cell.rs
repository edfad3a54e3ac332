//! The last view of one cell that its holder sent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A replica as the holder reported it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KnownReplica {
    pub(super) upstream: String,
    pub(super) artifact: String,
    pub(super) ready: bool,
    pub(super) ready_in: Duration,
}

/// Load of an upstream as the holder reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KnownLoad {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) at: Instant,
    pub(super) leaving: bool,
}

/// State of one cell as its holder last reported it.
#[derive(Clone, Debug, Default)]
pub(super) struct CellView {
    /// Term of the holder that sent the view. A later holder of the cell has a higher one.
    pub(super) term: u64,
    /// Version of the placement; rises with every change within a term.
    pub(super) version: u64,
    pub(super) received_at: Option<Instant>,
    pub(super) replicas: Vec<KnownReplica>,
    pub(super) loads: BTreeMap<String, KnownLoad>,
    /// Artifacts that cannot be served in time, with the estimated time until they can be.
    pub(super) refusals: BTreeMap<String, Duration>,
}

impl CellView {
    /// Replaces the view by a newer one. A view with an earlier term is ignored; `replicas` is
    /// `None` if they have not changed.
    pub(super) fn update(&mut self, newer: Self, replicas: Option<Vec<KnownReplica>>) {
        if newer.term < self.term {
            return;
        }
        let previous = std::mem::take(&mut self.replicas);
        *self = newer;
        self.replicas = replicas.unwrap_or(previous);
    }

    /// What remains of an estimate that the holder gave in this view.
    pub(super) fn remaining(&self, estimate: Duration, now: Instant) -> Duration {
        let age = self.received_at.map(|at| now.duration_since(at));
        estimate.saturating_sub(age.unwrap_or_default())
    }
}
