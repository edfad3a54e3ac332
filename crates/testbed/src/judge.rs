//! Judgements over the records of the engines.

use std::collections::BTreeMap;

use comfreyweir_standins::engine::{Break, Change, Record, ReplicaChange};

/// Most replicas of an artifact that were held at once on all engines together.
///
/// A replica counts from the order of its load until the engine has let it go.
pub fn most_replicas(records: &[Record], served: &str) -> u32 {
    let mut held: BTreeMap<usize, u32> = BTreeMap::new();
    let mut most = 0;
    for (engine, change) in changes(records, served) {
        held.insert(engine, change.replicas);
        most = most.max(held.values().sum());
    }
    most
}

/// Number of loads of an artifact that were ordered on all engines together.
pub fn loads(records: &[Record], served: &str) -> usize {
    let all = changes(records, served).into_iter();
    all.filter(|(_, change)| change.change == Change::LoadOrdered)
        .count()
}

fn changes<'a>(records: &'a [Record], served: &str) -> Vec<(usize, &'a ReplicaChange)> {
    let by_engine = records.iter().enumerate();
    let all = by_engine.flat_map(|(i, record)| record.changes.iter().map(move |c| (i, c)));
    let mut found: Vec<_> = all.filter(|(_, c)| c.artifact == served).collect();
    found.sort_by_key(|(_, change)| change.at_us);
    found
}

/// Invariants that engines saw broken.
pub fn breaks(records: &[Record]) -> Vec<&Break> {
    records.iter().flat_map(|record| &record.breaks).collect()
}

/// Most tokens that a workspace received in any interval beyond `rate` times its length; to be
/// compared with the burst.
pub fn most_beyond_rate(records: &[Record], workspace: &str, rate: u64) -> f64 {
    let all = records.iter().flat_map(|record| &record.receipts);
    let mut receipts: Vec<(u64, u64)> = all
        .filter(|receipt| receipt.workspace == workspace)
        .map(|receipt| (receipt.at_us, receipt.tokens))
        .collect();
    receipts.sort_unstable();
    most_in_any_interval(&receipts, rate)
}

/// Over all pairs of a first and a last receipt, the most of their sum less the rate's part. A
/// bucket that fills at the rate holds exactly what this leaves.
#[allow(clippy::cast_precision_loss)]
fn most_in_any_interval(receipts: &[(u64, u64)], rate: u64) -> f64 {
    let (mut level, mut most, mut last_us) = (0.0_f64, 0.0_f64, 0);
    for (at_us, tokens) in receipts {
        let refilled = rate as f64 * (at_us - last_us) as f64 / 1e6;
        level = (level - refilled).max(0.0) + *tokens as f64;
        most = most.max(level);
        last_us = *at_us;
    }
    most
}

/// Tokens that a workspace received in all.
pub fn tokens(records: &[Record], workspace: &str) -> u64 {
    let of_engines = records.iter().filter_map(|r| r.tokens.get(workspace));
    of_engines.sum()
}
