//! Exact check of token usage against rate and burst over all intervals.

use comfreyweir_allowance::RateLimit;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// The largest amount, in tokens, by which usage in any interval exceeds `rate * length + burst`.
/// Each event is a time in nanoseconds and the tokens used at that time.
///
/// Simulates a leaky bucket that drains at `rate`; what it holds beyond `burst` is the excess.
pub fn excess(events: &[(u64, u64)], limit: RateLimit) -> u64 {
    let mut events = events.to_vec();
    events.sort_unstable();
    let burst = u128::from(limit.burst) * NANOS_PER_SECOND;
    let mut level: u128 = 0;
    let mut last_at = 0;
    let mut max_excess: u128 = 0;
    for (at, tokens) in events {
        let drained = u128::from(at - last_at) * u128::from(limit.rate);
        level = level.saturating_sub(drained) + u128::from(tokens) * NANOS_PER_SECOND;
        max_excess = max_excess.max(level.saturating_sub(burst));
        last_at = at;
    }
    u64::try_from(max_excess.div_ceil(NANOS_PER_SECOND)).expect("small numbers")
}
