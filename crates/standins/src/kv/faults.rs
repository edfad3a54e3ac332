//! Faults and limits of the service.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How the service fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// It does not.
    #[default]
    None,
    /// It answers 503.
    Unavailable,
    /// It takes calls and never answers them. Nothing takes effect.
    Silent,
}

/// Reads that are answered with an older version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StaleReads {
    /// Keys that start with this are concerned.
    pub prefix: String,
    /// Number of versions to go back.
    pub versions: usize,
}

/// Faults and limits in force.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage.
    pub outage: Outage,
    /// Time that each call takes longer, in ms.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and whose connection is closed without an answer.
    pub lose_answers: u32,
    /// Only writes of keys that start with this lose their answers.
    pub lose_answers_prefix: String,
    /// Stale reads.
    pub stale: Option<StaleReads>,
    /// Reads a second, watches and renewals of leases included; none means unlimited.
    pub reads_per_second: Option<f64>,
    /// Writes a second; none means unlimited.
    pub writes_per_second: Option<f64>,
}

impl Faults {
    /// Takes one of the answers to lose, if this key is concerned.
    pub(super) fn take_lost_answer(&mut self, key: &str) -> bool {
        if self.lose_answers == 0 || !key.starts_with(&self.lose_answers_prefix) {
            return false;
        }
        self.lose_answers -= 1;
        true
    }
}

/// A limit of calls a second, which lets one second's calls through at once.
#[derive(Debug, Default)]
pub(super) struct Limit {
    left: Option<(f64, Instant)>,
}

impl Limit {
    pub(super) fn admit(&mut self, per_second: Option<f64>) -> bool {
        let Some(rate) = per_second else {
            return true;
        };
        let now = Instant::now();
        let left = match self.left {
            Some((left, at)) => (left + rate * (now - at).as_secs_f64()).min(rate),
            None => rate,
        };
        let admitted = left >= 1.0;
        let rest = if admitted { left - 1.0 } else { left };
        self.left = Some((rest, now));
        admitted
    }
}
