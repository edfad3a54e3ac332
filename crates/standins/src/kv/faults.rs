//! Injected faults and rate limits of the key-value service.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Whether the service is down, and how it fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// The service is up.
    #[default]
    None,
    /// Every call is answered with 503 and has no effect.
    Unavailable,
    /// Calls are accepted and never answered, and have no effect.
    Silent,
}

/// Answers reads of some keys with an older version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StaleReads {
    /// Prefix of the keys that are read stale.
    pub prefix: String,
    /// How many versions before the newest one is read; beyond the stored history, the oldest
    /// stored version.
    pub versions: usize,
}

/// Injected faults and rate limits.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the whole service.
    pub outage: Outage,
    /// Delay added to each call, in ms.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but whose connection is reset without an answer.
    pub lose_answers: u32,
    /// Prefix of the keys to which `lose_answers` applies; empty means all keys.
    pub lose_answers_prefix: String,
    /// Stale reads; none means that every read returns the newest version.
    pub stale: Option<StaleReads>,
    /// Limit of reads, watches and lease calls together, per second; none means unlimited.
    pub reads_per_second: Option<f64>,
    /// Limit of writes per second; none means unlimited.
    pub writes_per_second: Option<f64>,
}

impl Faults {
    /// Whether the answer to this write of `key` is lost; if so, counts `lose_answers` down by one.
    pub(super) fn take_lost_answer(&mut self, key: &str) -> bool {
        if self.lose_answers == 0 || !key.starts_with(&self.lose_answers_prefix) {
            return false;
        }
        self.lose_answers -= 1;
        true
    }
}

/// Token bucket that starts full and holds at most one second's calls.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    /// Tokens in the bucket and when that was computed; `None` before the first limited call.
    level: Option<(f64, Instant)>,
}

impl RateLimiter {
    /// Takes a token if there is one; always true without a rate.
    pub(super) fn admit(&mut self, per_second: Option<f64>) -> bool {
        let Some(rate) = per_second else {
            return true;
        };
        let now = Instant::now();
        let available = match self.level {
            Some((tokens, updated_at)) => {
                (tokens + rate * (now - updated_at).as_secs_f64()).min(rate)
            }
            None => rate,
        };
        let admitted = available >= 1.0;
        let remaining = if admitted { available - 1.0 } else { available };
        self.level = Some((remaining, now));
        admitted
    }
}
