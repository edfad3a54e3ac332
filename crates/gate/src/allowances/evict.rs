//! Finding gates that are gone, and revoking their leases.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration, time::Instant};

use comfreyweir_allowance::{
    lease::{LeaseRecord, Sighting},
    shares::{Member, ShareTable},
};
use comfreyweir_platform::kv::{self, Kv, KvError, Recorded, Swap};

use super::{record::write_id, renewal::lease_key};

/// What this gate has seen of the leases of the others.
pub(super) struct Sightings<K> {
    kv: K,
    lapse: Duration,
    seen: BTreeMap<SocketAddr, Sighting>,
}

impl<K> Sightings<K>
where
    K: Kv,
{
    pub(super) fn new(kv: K, lapse: Duration) -> Self {
        Self {
            kv,
            lapse,
            seen: BTreeMap::new(),
        }
    }

    /// Looks at the leases of all other gates. Returns one whose lease is revoked, by this gate
    /// or another, so that its share can be removed.
    pub(super) async fn find_gone<F>(
        &mut self,
        table: &ShareTable,
        own: SocketAddr,
        clock: F,
    ) -> Result<Option<Member>, KvError>
    where
        F: Fn() -> Instant,
    {
        self.seen.retain(|addr, _| table.shares.contains_key(addr));
        for (addr, share) in &table.shares {
            if *addr == own {
                continue;
            }
            if self.is_revoked(*addr, &share.incarnation, &clock).await? {
                return Ok(Some(Member {
                    addr: *addr,
                    incarnation: share.incarnation.clone(),
                }));
            }
        }
        Ok(None)
    }

    async fn is_revoked<F>(
        &mut self,
        addr: SocketAddr,
        incarnation: &str,
        clock: F,
    ) -> Result<bool, KvError>
    where
        F: Fn() -> Instant,
    {
        let key = lease_key(addr);
        let found = kv::get_recorded::<K, LeaseRecord>(&self.kv, &key).await?;
        let version = found.as_ref().map_or(0, |(version, _)| *version);
        if found.is_some_and(|(_, lease)| lease.body.revoked) {
            return Ok(true);
        }
        let now = clock();
        let sighting = self.seen.entry(addr).or_insert(Sighting::new(version, now));
        sighting.look(version, now);
        if !sighting.has_lapsed(self.lapse, now) {
            return Ok(false);
        }
        let revocation = Recorded {
            write_id: write_id(),
            body: LeaseRecord {
                incarnation: incarnation.to_owned(),
                renewal: 0,
                revoked: true,
            },
        };
        let outcome = kv::swap_recorded(&self.kv, &key, version, &revocation).await?;
        Ok(matches!(outcome, Swap::Written(_)))
    }
}
