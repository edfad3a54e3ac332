//! What the holder knows of the last grant of a process.

use std::time::{Duration, Instant};

use super::{GRANT_TTL, GrantId};

/// Time that a grant takes at most to reach its process, unless the answer is lost.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// The last grant of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IssuedGrant {
    pub(super) id: GrantId,
    pub(super) level: f64,
    /// Refill rate of the grant, in units per second.
    pub(super) per_s: f64,
    /// Units left of earlier grants that the process can spend until this one arrives; 0 if it is
    /// known to have arrived.
    pub(super) carried: f64,
    /// Refill rate of the earlier grants, in units per second.
    pub(super) carried_per_s: f64,
    /// The process's `spent` total that the grant accounts for.
    pub(super) included: f64,
    pub(super) issued_at: Option<Instant>,
}

impl IssuedGrant {
    /// Units that the process may have spent unreported.
    pub(super) fn outstanding(&self, now: Instant) -> f64 {
        let Some(issued_at) = self.issued_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(issued_at).min(GRANT_TTL);
        let of_grant = self.level + self.per_s * age.as_secs_f64();
        let of_earlier = if age < ANSWER_TIME {
            self.carried + self.carried_per_s * age.as_secs_f64()
        } else {
            0.0
        };
        of_grant.max(of_earlier).max(0.0)
    }

    /// Rate at which [`Self::outstanding`] grows, in units per second.
    pub(super) fn refill_per_s(&self, now: Instant) -> f64 {
        if self.issued_at.is_none() || self.has_expired(now) {
            0.0
        } else {
            self.per_s
        }
    }

    pub(super) fn has_expired(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= GRANT_TTL;
        self.issued_at.is_some_and(is_old)
    }

    /// Records that the process received this grant, and no longer spends earlier ones.
    pub(super) fn confirm(&mut self) {
        self.carried = 0.0;
        self.carried_per_s = 0.0;
    }
}
