//! Renewing the lease of this gate's share.

use std::{net::SocketAddr, time::Instant};

use comfreyweir_allowance::lease::{Lease, LeaseRecord};
use comfreyweir_platform::kv::{self, Kv, KvError, Recorded, Swap, Version};

use super::record::write_id;

/// Renewals within one lapse, so that a few may fail.
pub(super) const RENEWALS_PER_LAPSE: u32 = 6;

/// Key of the lease of a gate.
pub(super) fn lease_key(addr: SocketAddr) -> String {
    format!("share-lease/{addr}")
}

/// What a renewal came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Renewal {
    /// The lease is held.
    Held,
    /// The lease was revoked.
    Revoked,
}

/// A renewal whose outcome is not known yet.
struct Attempt {
    record: Recorded<LeaseRecord>,
    started: Instant,
}

/// The lease of this gate, with its key.
pub(super) struct OwnLease<K> {
    kv: K,
    key: String,
    incarnation: String,
    lease: Lease,
    renewals: u64,
    version: Option<Version>,
    attempt: Option<Attempt>,
}

impl<K> OwnLease<K>
where
    K: Kv,
{
    pub(super) fn new(kv: K, addr: SocketAddr, incarnation: String, lease: Lease) -> Self {
        Self {
            kv,
            key: lease_key(addr),
            incarnation,
            lease,
            renewals: 0,
            version: None,
            attempt: None,
        }
    }

    pub(super) fn valid_until(&self) -> Option<Instant> {
        self.lease.valid_until()
    }

    /// Starts again under a new incarnation, after the lease was revoked.
    pub(super) fn restart(&mut self, incarnation: String) {
        self.lease.revoke();
        self.incarnation = incarnation;
        self.version = None;
        self.attempt = None;
    }

    /// Takes or renews the lease. After an unknown outcome, the next call tries the same write
    /// again, and the lease counts from the first try.
    pub(super) async fn renew(&mut self, now: Instant) -> Result<Renewal, KvError> {
        let held = self.version.is_some() && self.valid_until().is_some();
        let expected = self.expected().await?;
        let attempt = self.attempt.take();
        let attempt = attempt.unwrap_or_else(|| self.next_attempt(now));
        let outcome = kv::swap_recorded(&self.kv, &self.key, expected, &attempt.record).await;
        match outcome {
            Ok(Swap::Written(version)) => {
                self.version = Some(version);
                self.lease.confirm(attempt.started);
                Ok(Renewal::Held)
            }
            Ok(Swap::Conflict) if held => Ok(Renewal::Revoked),
            Ok(Swap::Conflict) => {
                // Not taken yet: look at the key again.
                self.version = None;
                Ok(Renewal::Held)
            }
            Err(e) => {
                self.attempt = Some(attempt);
                Err(e)
            }
        }
    }

    async fn expected(&mut self) -> Result<Version, KvError> {
        if let Some(version) = self.version {
            return Ok(version);
        }
        let found = self.kv.get(&self.key).await?;
        let version = found.map_or(0, |found| found.version);
        self.version = Some(version);
        Ok(version)
    }

    fn next_attempt(&mut self, now: Instant) -> Attempt {
        self.renewals += 1;
        Attempt {
            record: Recorded {
                write_id: write_id(),
                body: LeaseRecord {
                    incarnation: self.incarnation.clone(),
                    renewal: self.renewals,
                    revoked: false,
                },
            },
            started: now,
        }
    }
}
