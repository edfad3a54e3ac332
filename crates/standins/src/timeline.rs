//! Timestamps for records, comparable between processes on one machine.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Microseconds since the Unix epoch. Monotonic within a process: the wall clock is read once, at
/// the first call, and the elapsed monotonic time is added to it.
pub fn now_us() -> u64 {
    let (start, epoch) = START.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        (Instant::now(), epoch.unwrap_or_default())
    });
    let now = *epoch + start.elapsed();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
