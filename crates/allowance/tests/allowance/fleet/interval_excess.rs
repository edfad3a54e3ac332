//! Exact check of a record of used tokens against rate and burst over all intervals.

use comfreyweir_allowance::RateLimit;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// The most by which any interval exceeds rate times its length plus burst, in tokens. `events`
/// are pairs of nanoseconds and tokens.
pub fn excess(events: &[(u64, u64)], terms: RateLimit) -> u64 {
    let mut events = events.to_vec();
    events.sort_unstable();
    let burst = u128::from(terms.burst) * NANOS_PER_SECOND;
    let mut filled: u128 = 0;
    let mut before = 0;
    let mut worst: u128 = 0;
    for (at, tokens) in events {
        let drained = u128::from(at - before) * u128::from(terms.rate);
        filled = filled.saturating_sub(drained) + u128::from(tokens) * NANOS_PER_SECOND;
        worst = worst.max(filled.saturating_sub(burst));
        before = at;
    }
    u64::try_from(worst.div_ceil(NANOS_PER_SECOND)).expect("small numbers")
}
