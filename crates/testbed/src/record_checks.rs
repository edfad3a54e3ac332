//! Checks over the records of all engines of a cluster.

use std::collections::BTreeMap;

use comfreyweir_standins::engine::{EngineRecord, ReplicaChange, ReplicaChangeKind, Violation};

/// Highest number of replicas of an artifact at any one time, summed over all engines.
///
/// A replica counts from the order to load it until the engine has released it.
pub fn max_concurrent_replicas(records: &[EngineRecord], served: &str) -> u32 {
    let mut replicas_by_engine: BTreeMap<usize, u32> = BTreeMap::new();
    let mut highest = 0;
    for (engine, change) in artifact_changes(records, served) {
        replicas_by_engine.insert(engine, change.replicas);
        highest = highest.max(replicas_by_engine.values().sum());
    }
    highest
}

/// Number of load orders for an artifact, summed over all engines.
pub fn count_load_orders(records: &[EngineRecord], served: &str) -> usize {
    let all = artifact_changes(records, served).into_iter();
    all.filter(|(_, change)| change.change == ReplicaChangeKind::LoadOrdered)
        .count()
}

/// Replica changes of an artifact on all engines in time order, each with the engine's index.
fn artifact_changes<'a>(
    records: &'a [EngineRecord],
    served: &str,
) -> Vec<(usize, &'a ReplicaChange)> {
    let by_engine = records.iter().enumerate();
    let all = by_engine.flat_map(|(i, record)| record.changes.iter().map(move |c| (i, c)));
    let mut found: Vec<_> = all.filter(|(_, c)| c.artifact == served).collect();
    found.sort_by_key(|(_, change)| change.at_us);
    found
}

/// Invariant violations that engines recorded.
pub fn broken_invariants(records: &[EngineRecord]) -> Vec<&Violation> {
    records.iter().flat_map(|record| &record.breaks).collect()
}

/// Highest excess, over all intervals, of the tokens that a workspace received in the interval over
/// `rate` times the interval's length in seconds. Must not exceed the workspace's burst.
pub fn max_excess_over_rate(records: &[EngineRecord], workspace: &str, rate: u64) -> f64 {
    let all = records.iter().flat_map(|record| &record.receipts);
    let mut receipts: Vec<(u64, u64)> = all
        .filter(|receipt| receipt.workspace == workspace)
        .map(|receipt| (receipt.at_us, receipt.tokens))
        .collect();
    receipts.sort_unstable();
    max_bucket_level(&receipts, rate)
}

/// Maximum, over all pairs of a first and a last receipt, of the tokens received from the first to
/// the last less the tokens that `rate` allows in between. That maximum is the highest level of a
/// leaky bucket that each receipt fills and that drains at `rate`.
#[allow(clippy::cast_precision_loss)]
fn max_bucket_level(receipts: &[(u64, u64)], rate: u64) -> f64 {
    let (mut level, mut highest, mut last_us) = (0.0_f64, 0.0_f64, 0);
    for (at_us, tokens) in receipts {
        let drained = rate as f64 * (at_us - last_us) as f64 / 1e6;
        level = (level - drained).max(0.0) + *tokens as f64;
        highest = highest.max(level);
        last_us = *at_us;
    }
    highest
}

/// Total of the tokens that a workspace received on all engines.
pub fn tokens(records: &[EngineRecord], workspace: &str) -> u64 {
    let by_engine = records.iter().filter_map(|r| r.tokens.get(workspace));
    by_engine.sum()
}
