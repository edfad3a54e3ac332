//! Rate limit of log lines about requests, so that logging does not take CPU time from serving
//! requests under load.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Maximum number of lines in one period. Far above an instance's usual request rate.
const MAX_LINES_PER_PERIOD: u32 = 400;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Counts log lines about requests in fixed periods.
#[derive(Default)]
pub(crate) struct RequestLogLimiter {
    period_start: Cell<Option<Instant>>,
    lines: Cell<u32>,
    left_out: Cell<u32>,
}

impl RequestLogLimiter {
    /// Counts a line and returns whether it may be written. The number of suppressed lines is
    /// logged at the start of the next period.
    pub(crate) fn try_acquire(&self, now: Instant) -> bool {
        let has_ended =
            |period_start: Instant| now.saturating_duration_since(period_start) >= PERIOD;
        if self.period_start.get().is_none_or(has_ended) {
            self.period_start.set(Some(now));
            self.lines.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                spdlog::warn!("request log lines suppressed by the rate limit", kv: { left_out });
            }
        }
        self.lines.set(self.lines.get() + 1);
        if self.lines.get() <= MAX_LINES_PER_PERIOD {
            return true;
        }
        self.left_out.set(self.left_out.get() + 1);
        false
    }
}
