//! Clock drift that is tolerated between instances.

use std::time::Duration;

/// Largest rate error of a clock against real time, fast or slow, in parts per thousand.
pub const CLOCK_DRIFT_PER_MILLE: u32 = 1;

/// Divisor of a period that gives the time added to it: four times the tolerated drift, twice what
/// a fast and a slow clock can differ by.
const GUARD_DIVISOR: u32 = 1_000 / (4 * CLOCK_DRIFT_PER_MILLE);

/// Extends `period` so that, once the result has elapsed on this clock, `period` has elapsed on
/// every other clock within the tolerated drift.
pub fn guarded(period: Duration) -> Duration {
    period + period / GUARD_DIVISOR
}
