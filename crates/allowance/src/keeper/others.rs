//! The leases of the other gates, and which of them are gone.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

use super::{Outcome, RENEWALS_PER_LAPSE, Timing, Value, Version};
use crate::{
    lease::Sighting,
    shares::{Member, ShareTable},
};

/// Gates whose leases one gate looks at, so that the reads of a fleet grow with its size only.
const WATCHED: usize = 4;

pub(super) struct Others {
    timing: Timing,
    sightings: BTreeMap<SocketAddr, Sighting>,
    look_at: Instant,
    to_look_at: VecDeque<SocketAddr>,
    /// A gate whose lease has lapsed at a version, and is to be revoked.
    lapsed: Option<(Member, Version)>,
    /// A gate whose lease is revoked, and whose share is to be removed.
    gone: Option<Member>,
}

impl Others {
    pub(super) fn new(timing: Timing, now: Instant) -> Self {
        Self {
            timing,
            sightings: BTreeMap::new(),
            look_at: now,
            to_look_at: VecDeque::new(),
            lapsed: None,
            gone: None,
        }
    }

    /// The next gate whose lease is to be looked at, if it is time.
    pub(super) fn take_due(
        &mut self,
        table: &ShareTable,
        me: &Member,
        now: Instant,
    ) -> Option<Member> {
        if self.to_look_at.is_empty() && now >= self.look_at {
            self.look_at = now + self.period();
            self.to_look_at = watched(table, me.addr);
            let watched = &self.to_look_at;
            self.sightings.retain(|addr, _| watched.contains(addr));
        }
        let addr = self.to_look_at.pop_front()?;
        let share = table.shares.get(&addr)?;
        Some(Member {
            addr,
            instance: share.instance.clone(),
            incarnation: share.incarnation.clone(),
        })
    }

    pub(super) fn answer_read(&mut self, member: &Member, outcome: Outcome, now: Instant) {
        let Outcome::Found(found) = outcome else {
            return;
        };
        let version = found.as_ref().map_or(0, |(version, _)| *version);
        let (mut lapse, mut hold) = (self.timing.lapse, self.timing.hold);
        if let Some((_, Value::Lease(lease))) = found {
            if lease.revoked && lease.incarnation == member.incarnation {
                self.gone = Some(member.clone());
                return;
            }
            (lapse, hold) = (lease.lapse(lapse), lease.hold(hold));
        }
        let first = Sighting::new(version, now);
        let sighting = self.sightings.entry(member.addr).or_insert(first);
        sighting.look(version, now);
        if sighting.has_lapsed(lapse, hold, now) {
            self.lapsed = Some((member.clone(), version));
        }
    }

    pub(super) fn take_lapsed(&mut self) -> Option<(Member, Version)> {
        self.lapsed.take()
    }

    pub(super) fn answer_revocation(&mut self, member: Member, outcome: &Outcome) {
        if matches!(outcome, Outcome::Written(_)) {
            self.gone = Some(member);
        }
    }

    pub(super) fn take_gone(&mut self) -> Option<Member> {
        self.gone.take()
    }

    fn period(&self) -> Duration {
        self.timing.lapse / (2 * RENEWALS_PER_LAPSE)
    }
}

/// The next gates in the order of their addresses, around the end. When some of them are gone
/// too, they are found by the gates before them.
fn watched(table: &ShareTable, own: SocketAddr) -> VecDeque<SocketAddr> {
    let after = table.shares.range((Bound::Excluded(own), Bound::Unbounded));
    let before = table.shares.range(..own);
    let next = after.chain(before).map(|(addr, _)| *addr);
    next.take(WATCHED).collect()
}
