//! How long the holder of the planning duty may delay its answer to an instance with waiting requests.
//!
//! The holder answers such an instance as soon as there is news for it. Without news it answers soon
//! at first, with its estimates for what the instance waits for, and then less and less often, until
//! the instance costs it no more than one without waiting requests.

use std::time::Duration;

/// Longest delay of the first answer after new demand.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Upper bound of the delay. Instances use their equal share of an allowance for some time after a
/// report, and the holder reserves it from the report on.
const MAX_WAIT: Duration = Duration::from_millis(600);

/// Pace of one instance's reports.
#[derive(Debug, Default)]
pub struct ReportPacing {
    /// Answers without news since there was new demand.
    answers: u32,
}

impl ReportPacing {
    /// Longest delay of the answer to the next report of an instance with waiting requests, in a
    /// fleet whose instances report once in `period` by themselves.
    pub fn answer_wait(&self, period: Duration) -> Duration {
        let wait = FIRST_WAIT.saturating_mul(2_u32.saturating_pow(self.answers));
        wait.min(period).min(MAX_WAIT)
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Records that requests wait for something that no request has waited for before.
    pub fn record_new_demand(&mut self) {
        self.answers = 0;
    }
}
