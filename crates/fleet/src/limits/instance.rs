//! An instance's side of limits.

use std::time::Duration;

use super::statements::{LimitChange, Statement, Statements};
use crate::directory::UpstreamProcess;

/// What this instance knows of the limits of upstreams. Times are since boot.
#[derive(Debug, Default)]
pub struct InstanceLimits {
    /// What upstreams have said to this instance.
    own: Statements,
    /// What they have said to others.
    elsewhere: Statements,
}

impl InstanceLimits {
    /// Records an answer of an upstream to a request that was sent at `sent_at`: the limit that it
    /// names, in requests a second, or that it names none. Returns what changed.
    pub fn record_answer(
        &mut self,
        process: &UpstreamProcess,
        limit: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.known(process);
        let before = known.and_then(|known| known.limit);
        let holds = match (limit, known) {
            (Some(_), known) => known.is_none_or(|known| sent_at > known.sent_at),
            (None, Some(known)) => known.limit.is_some() && sent_at > known.heard_at,
            (None, None) => false,
        };
        if holds {
            self.own.forget_old(now);
            let statement = Statement {
                limit,
                sent_at,
                heard_at: now,
            };
            self.own.set(process, statement);
        } else if let (Some(_), Some(known)) = (limit, known)
            && known.limit.is_some()
        {
            let heard_at = now;
            self.own.set(process, Statement { heard_at, ..known });
        }
        LimitChange::between(before, self.limit(process))
    }

    /// Requests a second that an upstream takes from all instances together, if it has said so.
    pub fn limit(&self, process: &UpstreamProcess) -> Option<f64> {
        self.known(process)?.limit
    }

    fn known(&self, process: &UpstreamProcess) -> Option<Statement> {
        self.own.newest(&self.elsewhere, process)
    }
}
