//! Allowed difference between the clocks of two instances.

use std::time::Duration;

/// Fraction, in parts per thousand, that a clock may run faster or slower than real time.
pub const CLOCK_DRIFT_PER_MILLE: u32 = 1;

/// Parts of a period that cover one clock running fast and the other slow, with room to spare.
const GUARD_DIVISOR: u32 = 1_000 / (4 * CLOCK_DRIFT_PER_MILLE);

/// How long to wait on the own clock until a period has surely passed on any other clock.
pub fn guarded(period: Duration) -> Duration {
    period + period / GUARD_DIVISOR
}
