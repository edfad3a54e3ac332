//! Time stamps of records, comparable between the processes of one machine.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Microseconds since the Unix epoch. Monotonic within a process: the wall clock is read once.
pub fn now_us() -> u64 {
    let (start, epoch) = START.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        (Instant::now(), epoch.unwrap_or_default())
    });
    let at = *epoch + start.elapsed();
    u64::try_from(at.as_micros()).unwrap_or(u64::MAX)
}
