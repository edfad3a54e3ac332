//! Bound of the log lines about requests: under load, lines must not take the processor from the
//! requests that they tell of.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Lines about requests in one period, at most. Far above what an instance serves on a usual day.
const MOST_LINES: u32 = 400;
/// The period.
const PERIOD: Duration = Duration::from_secs(1);

/// Lines about requests in the current period.
#[derive(Default)]
pub(crate) struct LineBudget {
    begun: Cell<Option<Instant>>,
    lines: Cell<u32>,
    left_out: Cell<u32>,
}

impl LineBudget {
    /// Whether another line may be written.
    pub(crate) fn take(&self, now: Instant) -> bool {
        let is_over = |begun: Instant| now.saturating_duration_since(begun) >= PERIOD;
        if self.begun.get().is_none_or(is_over) {
            self.begun.set(Some(now));
            self.lines.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                spdlog::warn!("lines about requests were left out", kv: { left_out });
            }
        }
        self.lines.set(self.lines.get() + 1);
        if self.lines.get() <= MOST_LINES {
            return true;
        }
        self.left_out.set(self.left_out.get() + 1);
        false
    }
}
