//! Checks the leases of other gates, to find those that have lapsed or were revoked.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

use super::{Outcome, RENEWALS_PER_LEASE, Timing, Value, Version};
use crate::{
    lease::ObservedLease,
    shares::{Member, ShareTable},
};

/// Number of gates whose leases one gate checks. With a fixed number, the reads of all gates grow
/// linearly with the number of gates.
const MAX_CHECKED: usize = 4;

pub(super) struct PeerLeases {
    timing: Timing,
    observed: BTreeMap<SocketAddr, ObservedLease>,
    next_check_at: Instant,
    to_check: VecDeque<SocketAddr>,
    /// A gate whose lease is to be revoked, and the version at which the lease lapsed.
    lapsed: Option<(Member, Version)>,
    /// A gate whose lease is revoked and whose share is to be removed.
    revoked_member: Option<Member>,
}

impl PeerLeases {
    pub(super) fn new(timing: Timing, now: Instant) -> Self {
        Self {
            timing,
            observed: BTreeMap::new(),
            next_check_at: now,
            to_check: VecDeque::new(),
            lapsed: None,
            revoked_member: None,
        }
    }

    /// The next gate whose lease is to be read, if a check is due.
    pub(super) fn next_to_check(
        &mut self,
        table: &ShareTable,
        me: &Member,
        now: Instant,
    ) -> Option<Member> {
        if self.to_check.is_empty() && now >= self.next_check_at {
            self.next_check_at = now + self.check_interval();
            self.to_check = peers_to_check(table, me.addr);
            let to_check = &self.to_check;
            self.observed.retain(|addr, _| to_check.contains(addr));
        }
        let addr = self.to_check.pop_front()?;
        let share = table.shares.get(&addr)?;
        Some(Member {
            addr,
            instance: share.instance.clone(),
            incarnation: share.incarnation.clone(),
        })
    }

    pub(super) fn handle_read(&mut self, member: &Member, outcome: Outcome, now: Instant) {
        let Outcome::Found(found) = outcome else {
            return;
        };
        let version = found.as_ref().map_or(0, |(version, _)| *version);
        let (mut lease_duration, mut max_token_hold) =
            (self.timing.lease_duration, self.timing.max_token_hold);
        if let Some((_, Value::Lease(lease))) = found {
            if lease.revoked && lease.incarnation == member.incarnation {
                self.revoked_member = Some(member.clone());
                return;
            }
            (lease_duration, max_token_hold) = (
                lease.lease_duration(lease_duration),
                lease.max_token_hold(max_token_hold),
            );
        }
        let first = ObservedLease::new(version, now);
        let observed_lease = self.observed.entry(member.addr).or_insert(first);
        observed_lease.observe(version, now);
        if observed_lease.is_revocable(lease_duration, max_token_hold, now) {
            self.lapsed = Some((member.clone(), version));
        }
    }

    pub(super) fn take_lapsed(&mut self) -> Option<(Member, Version)> {
        self.lapsed.take()
    }

    pub(super) fn handle_revocation(&mut self, member: Member, outcome: &Outcome) {
        if matches!(outcome, Outcome::Written(_)) {
            self.revoked_member = Some(member);
        }
    }

    pub(super) fn take_revoked(&mut self) -> Option<Member> {
        self.revoked_member.take()
    }

    fn check_interval(&self) -> Duration {
        self.timing.lease_duration / (2 * RENEWALS_PER_LEASE)
    }
}

/// The gates that follow `own` in the order of addresses, wrapping around. Each gate is thus
/// checked by [`MAX_CHECKED`] gates before it. If some of those fail too, the gates before them
/// detect that.
fn peers_to_check(table: &ShareTable, own: SocketAddr) -> VecDeque<SocketAddr> {
    let after = table.shares.range((Bound::Excluded(own), Bound::Unbounded));
    let before = table.shares.range(..own);
    let next = after.chain(before).map(|(addr, _)| *addr);
    next.take(MAX_CHECKED).collect()
}
