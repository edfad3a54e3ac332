//! What a plan does, with times.

use std::{cell::RefCell, time::Instant};

/// Lines for the soak's output, each with the time since the plan began.
pub(crate) struct EventLog {
    began_at: Instant,
    lines: RefCell<Vec<String>>,
}

impl EventLog {
    pub(crate) fn begin() -> Self {
        Self {
            began_at: Instant::now(),
            lines: RefCell::default(),
        }
    }

    pub(crate) fn began_at(&self) -> Instant {
        self.began_at
    }

    pub(crate) fn record(&self, what: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        self.lines.borrow_mut().push(format!("{at:.2} s: {what}"));
    }

    /// Returns the lines, after which there are none.
    pub(crate) fn take(&self) -> Vec<String> {
        self.lines.take()
    }
}
