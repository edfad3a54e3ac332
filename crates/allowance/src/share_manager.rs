//! Maintains the share of one gate in the share table: joining, shrinking to make room for new
//! gates, growing, removing gates whose lease has lapsed, and leaving.
//!
//! [`ShareManager`] is a state machine without I/O. [`ShareManager::next_call`] returns the next
//! call to the key-value service, and [`ShareManager::handle_outcome`] handles its outcome. The
//! order of steps ensures that the weights in use never sum to more than the whole: a smaller
//! weight is applied before it is written, and a larger one is written before it is applied.

mod call;
mod own_lease;
mod peer_leases;
mod plan;
mod table_cache;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

pub use self::call::{Call, Key, Outcome, Timing, Value, Version};
use self::{own_lease::OwnLease, peer_leases::PeerLeases, table_cache::TableCache};
use crate::{
    drift,
    estimate::Lender,
    lease::LeaseRecord,
    ledger::Ledger,
    shares::{Edit, Member, ShareTable, Weight},
};

/// Renewals per lease duration, so that a few may fail without losing the lease.
const RENEWALS_PER_LEASE: u32 = 6;
/// Upper limit of the time-out of a watch on the share table.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// A watch on a stable share table times out after the lease duration divided by this.
const WATCHES_PER_LEASE: u32 = 40;
/// Contact intervals for which the share table must be unchanged before this gate's share grows.
const STABLE_CONTACT_INTERVALS: u32 = 4;
/// Contact intervals that a gate waits for the platform's list of gates before it joins without it.
const LIST_WAIT_CONTACT_INTERVALS: u32 = 4;

/// The call whose outcome is awaited.
#[derive(Clone, Debug)]
enum PendingCall {
    OwnLeaseRead,
    Renewal,
    TableRead,
    TableWrite(ShareTable),
    PeerLeaseRead(Member),
    Revocation(Member),
    Watch,
}

/// A write that reduces this gate's weight and may not have taken effect yet.
#[derive(Clone, Copy)]
struct PendingShrink {
    /// Version of the share table that the write expects.
    expected: Version,
    weight: Weight,
}

/// State machine that maintains the share of one gate. The share takes effect in the [`Ledger`]
/// that the calls are given.
pub struct ShareManager {
    timing: Timing,
    process: String,
    incarnations: u32,
    writes: u64,
    me: Member,
    table_cache: TableCache,
    lease: OwnLease,
    peers: PeerLeases,
    started: Instant,
    renew_at: Instant,
    pending_call: Option<PendingCall>,
    /// The edit by which this incarnation tried to join the share table.
    join_edit: Option<Edit>,
    /// Whether this incarnation has started to use its share.
    joined: bool,
    /// Whether any incarnation of this process had a share. Loans granted since then are in the
    /// ledger, so no quarantine is needed.
    had_share: bool,
    pending_shrink: Option<PendingShrink>,
    stage: Stage,
}

/// Whether the share is maintained, being given back, or given back.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Stage {
    Active,
    Leaving,
    Left,
}

impl ShareManager {
    /// Creates the state machine for the gate at the peer address `addr`. The caller must already
    /// be listening on the address, which proves that an earlier process there has ended. `process`
    /// must be unique to this process.
    pub fn new(
        addr: SocketAddr,
        instance: String,
        process: String,
        timing: Timing,
        now: Instant,
    ) -> Self {
        let me = Member {
            addr,
            instance,
            incarnation: format!("{process}-0"),
        };
        Self {
            timing,
            process,
            incarnations: 0,
            writes: 0,
            me,
            table_cache: TableCache::new(now),
            lease: OwnLease::new(timing),
            peers: PeerLeases::new(timing, now),
            started: now,
            renew_at: now,
            pending_call: None,
            join_edit: None,
            joined: false,
            had_share: false,
            pending_shrink: None,
            stage: Stage::Active,
        }
    }

    /// The other gates and their weights in the latest share table that was read.
    pub fn lenders(&self) -> Vec<Lender> {
        let shares = self.table_cache.table().shares.iter();
        shares
            .filter(|(addr, _)| **addr != self.me.addr)
            .map(|(addr, share)| Lender {
                addr: *addr,
                weight: share.weight,
            })
            .collect()
    }

    /// Instance names of the other gates, by peer address.
    pub fn instances(&self) -> BTreeMap<SocketAddr, String> {
        let shares = self.table_cache.table().shares.iter();
        shares
            .filter(|(addr, _)| **addr != self.me.addr)
            .map(|(addr, share)| (*addr, share.instance.clone()))
            .collect()
    }

    /// Starts to give the share back. It is removed from the share table once none of it is
    /// reserved, charged or lent.
    pub fn leave(&mut self) {
        self.stage = Stage::Leaving;
    }

    /// Returns the next call to make. `listed` is the number of gates that the platform lists, if
    /// known. [`ShareManager::handle_outcome`] must get the outcome before the next call.
    pub fn next_call(&mut self, ledger: &mut Ledger, listed: Option<usize>, now: Instant) -> Call {
        if self.stage == Stage::Left {
            return Call::Done;
        }
        if now >= self.renew_at {
            return self.renew(now);
        }
        if self.table_cache.is_stale() {
            self.pending_call = Some(PendingCall::TableRead);
            return Call::Get(Key::Shares);
        }
        self.apply_table(ledger, now);
        if let Some(edit) = self.plan(ledger, listed, now) {
            return self.write_edit(&edit, ledger, now);
        }
        if let Some(call) = self.check_peer_leases(now) {
            return call;
        }
        self.pending_call = Some(PendingCall::Watch);
        Call::Watch {
            after: self.table_cache.version(),
            wait: self.watch_timeout(now),
        }
    }

    /// Handles the outcome of the last call; ignored when no call is pending.
    pub fn handle_outcome(&mut self, ledger: &mut Ledger, outcome: Outcome, now: Instant) {
        let Some(pending_call) = self.pending_call.take() else {
            return;
        };
        match pending_call {
            PendingCall::OwnLeaseRead => self.lease.handle_read(&outcome),
            PendingCall::Renewal => self.handle_renewal(ledger, &outcome, now),
            PendingCall::TableRead => self.table_cache.handle_read(outcome, now),
            PendingCall::Watch => self.table_cache.handle_watch(outcome, now),
            PendingCall::TableWrite(table) => self.handle_table_write(ledger, table, &outcome, now),
            PendingCall::PeerLeaseRead(member) => self.peers.handle_read(&member, outcome, now),
            PendingCall::Revocation(member) => self.peers.handle_revocation(member, &outcome),
        }
    }

    fn renew(&mut self, now: Instant) -> Call {
        let Some(expected) = self.lease.version() else {
            self.pending_call = Some(PendingCall::OwnLeaseRead);
            return Call::Get(Key::Lease(self.me.addr));
        };
        let write_id = self.write_id();
        let attempt = self.lease.attempt(&self.me.incarnation, write_id, now);
        self.pending_call = Some(PendingCall::Renewal);
        Call::Swap {
            key: Key::Lease(self.me.addr),
            expected,
            write_id: attempt.write_id,
            value: Value::Lease(attempt.record),
        }
    }

    fn handle_renewal(&mut self, ledger: &mut Ledger, outcome: &Outcome, now: Instant) {
        if self.lease.handle_swap(outcome) {
            self.start_new_incarnation(ledger, now);
            return;
        }
        ledger.set_valid_until(self.lease.valid_until(), now);
        if let Some(confirmed) = self.lease.confirmed() {
            self.renew_at = confirmed + self.timing.lease_duration / RENEWALS_PER_LEASE;
        }
    }

    /// Stops using the share and continues as a new incarnation, after the lease was revoked.
    fn start_new_incarnation(&mut self, ledger: &mut Ledger, now: Instant) {
        ledger.set_valid_until(None, now);
        self.incarnations += 1;
        self.me.incarnation = format!("{}-{}", self.process, self.incarnations);
        self.lease = OwnLease::new(self.timing);
        self.join_edit = None;
        self.joined = false;
        self.pending_shrink = None;
        self.renew_at = now;
    }

    /// Applies this gate's weight in the share table to the ledger.
    fn apply_table(&mut self, ledger: &mut Ledger, now: Instant) {
        let version = self.table_cache.version();
        // A write that expects an earlier version can no longer succeed.
        self.pending_shrink = self
            .pending_shrink
            .filter(|shrink| version <= shrink.expected);
        let Some(recorded) = self.table_cache.table().weight_of(&self.me) else {
            return;
        };
        if !self.joined {
            self.start_using_share(ledger, recorded, now);
        }
        let shrunk = self.pending_shrink.map(|shrink| shrink.weight);
        let weight = shrunk.map_or(recorded, |shrunk| shrunk.min(recorded));
        if ledger.weight() != weight {
            ledger.set_weight(weight, now);
        }
    }

    fn start_using_share(&mut self, ledger: &mut Ledger, recorded: Weight, now: Instant) {
        match self.join_edit.take() {
            Some(Edit::Join { weight, untouched }) if weight == recorded => {
                ledger.set_first_weight(weight, untouched, now);
            }
            Some(Edit::Inherit { .. }) if !self.had_share => {
                ledger.set_weight(recorded, now);
                // The earlier process counted its loans for the guarded hold time (see
                // [`Ledger::lend`]), and its clock may have been slower than this one.
                let hold = drift::guarded(drift::guarded(self.lease.previous_hold()));
                ledger.quarantine(now + hold, now);
            }
            _ => ledger.set_weight(recorded, now),
        }
        self.joined = true;
        self.had_share = true;
    }

    fn write_edit(&mut self, edit: &Edit, ledger: &mut Ledger, now: Instant) -> Call {
        match edit {
            Edit::Shrink { weight } => self.reduce_weight(ledger, *weight, now),
            Edit::Leave => self.reduce_weight(ledger, 0, now),
            _ => {}
        }
        if !self.joined {
            self.join_edit = Some(edit.clone());
        }
        self.write(self.table_cache.table().with_edit(&self.me, edit))
    }

    fn reduce_weight(&mut self, ledger: &mut Ledger, weight: Weight, now: Instant) {
        ledger.set_weight(weight, now);
        self.pending_shrink = Some(PendingShrink {
            expected: self.table_cache.version(),
            weight,
        });
    }

    fn write(&mut self, table: ShareTable) -> Call {
        // Until the outcome is known, the write may or may not have taken effect.
        self.table_cache.set_stale();
        let value = Value::Shares(table.clone());
        self.pending_call = Some(PendingCall::TableWrite(table));
        Call::Swap {
            key: Key::Shares,
            expected: self.table_cache.version(),
            write_id: self.write_id(),
            value,
        }
    }

    fn handle_table_write(
        &mut self,
        ledger: &mut Ledger,
        table: ShareTable,
        outcome: &Outcome,
        now: Instant,
    ) {
        if let Outcome::Written(version) = *outcome {
            self.table_cache.set(version, table, now);
            if self.is_leaving() && self.table_cache.table().weight_of(&self.me).is_none() {
                self.stage = Stage::Left;
            }
            self.apply_table(ledger, now);
        }
    }

    fn check_peer_leases(&mut self, now: Instant) -> Option<Call> {
        if let Some(revoked_member) = self.peers.take_revoked() {
            let table = self.table_cache.table().without_member(&revoked_member)?;
            return Some(self.write(table));
        }
        if let Some((member, version)) = self.peers.take_lapsed() {
            return Some(self.revoke(member, version));
        }
        let member = self
            .peers
            .next_to_check(self.table_cache.table(), &self.me, now)?;
        let key = Key::Lease(member.addr);
        self.pending_call = Some(PendingCall::PeerLeaseRead(member));
        Some(Call::Get(key))
    }

    fn revoke(&mut self, member: Member, expected: Version) -> Call {
        let record = LeaseRecord {
            incarnation: member.incarnation.clone(),
            renewal: 0,
            revoked: true,
            lapse_ms: 0,
            hold_ms: 0,
        };
        let key = Key::Lease(member.addr);
        self.pending_call = Some(PendingCall::Revocation(member));
        Call::Swap {
            key,
            expected,
            write_id: self.write_id(),
            value: Value::Lease(record),
        }
    }

    fn is_leaving(&self) -> bool {
        self.stage == Stage::Leaving
    }

    fn is_stable(&self, now: Instant) -> bool {
        let unchanged_for = now.saturating_duration_since(self.table_cache.changed_at());
        unchanged_for >= self.timing.contact_interval * STABLE_CONTACT_INTERVALS
    }

    fn watch_timeout(&self, now: Instant) -> Duration {
        let contact_interval = self.timing.contact_interval;
        let stable = !self.is_leaving() && self.joined && self.is_stable(now);
        if !stable {
            return contact_interval;
        }
        let timeout = (self.timing.lease_duration / WATCHES_PER_LEASE).min(MAX_WATCH_TIMEOUT);
        timeout.max(contact_interval)
    }

    fn write_id(&mut self) -> String {
        self.writes += 1;
        format!("{}-w{}", self.process, self.writes)
    }
}
