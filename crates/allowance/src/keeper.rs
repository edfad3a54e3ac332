//! Keeping the share of one gate: joining, making room for others, growing, removing gates that
//! are gone, and leaving.
//!
//! The keeper is a state machine. [`Keeper::next`] names the next call to the key-value service,
//! and [`Keeper::answer`] takes its outcome. The order of steps is what keeps the sum of the
//! shares in use below the whole: what shrinks is used less before it is written, and what grows
//! is written before it is used.

mod call;
mod others;
mod own_lease;
mod plan;
mod seen;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

pub use self::call::{Call, Key, Outcome, Timing, Value, Version};
use self::{others::Others, own_lease::OwnLease, seen::Seen};
use crate::{
    drift,
    estimate::Lender,
    lease::LeaseRecord,
    ledger::Ledger,
    shares::{Edit, Member, ShareTable, Weight},
};

/// Renewals within one lapse, so that a few may fail.
const RENEWALS_PER_LAPSE: u32 = 6;
/// Longest wait for a change of the record.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Waits within one lapse.
const WAITS_PER_LAPSE: u32 = 40;
/// Contact periods during which the record must rest before a share grows.
const SETTLE_CONTACTS: u32 = 4;
/// Contact periods that a gate waits for the platform's list before it joins.
const LIST_CONTACTS: u32 = 4;

/// What the keeper has called for.
#[derive(Clone, Debug)]
enum Pending {
    OwnLeaseRead,
    Renewal,
    TableRead,
    TableWrite(ShareTable),
    OtherLeaseRead(Member),
    Revocation(Member),
    Watch,
}

/// A change that gave weight away and whose outcome is not known.
#[derive(Clone, Copy)]
struct Shrinking {
    from: Version,
    weight: Weight,
}

/// The state machine that keeps the share of one gate.
pub struct Keeper {
    timing: Timing,
    process: String,
    incarnations: u32,
    writes: u64,
    me: Member,
    seen: Seen,
    lease: OwnLease,
    others: Others,
    started: Instant,
    renew_at: Instant,
    pending: Option<Pending>,
    /// How this incarnation tried to enter the record.
    entry: Option<Edit>,
    /// Whether the share of this incarnation is in use.
    entered: bool,
    /// Whether an earlier incarnation of this process had a share; it knows its own loans.
    had_share: bool,
    shrinking: Option<Shrinking>,
    stage: Stage,
}

/// Whether the share is kept or given back.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Stage {
    Keeping,
    Leaving,
    Left,
}

impl Keeper {
    /// A keeper for the gate at the peer address `addr`. The address must be listened on already:
    /// that is the evidence that an earlier process there has ended. `process` must differ from
    /// process to process.
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
            seen: Seen::new(now),
            lease: OwnLease::new(timing),
            others: Others::new(timing, now),
            started: now,
            renew_at: now,
            pending: None,
            entry: None,
            entered: false,
            had_share: false,
            shrinking: None,
            stage: Stage::Keeping,
        }
    }

    /// Other gates and their weights, by the record as last seen.
    pub fn lenders(&self) -> Vec<Lender> {
        let shares = self.seen.table().shares.iter();
        shares
            .filter(|(addr, _)| **addr != self.me.addr)
            .map(|(addr, share)| Lender {
                addr: *addr,
                weight: share.weight,
            })
            .collect()
    }

    /// Instances of the other gates by their peer addresses.
    pub fn instances(&self) -> BTreeMap<SocketAddr, String> {
        let shares = self.seen.table().shares.iter();
        shares
            .filter(|(addr, _)| **addr != self.me.addr)
            .map(|(addr, share)| (*addr, share.instance.clone()))
            .collect()
    }

    /// Gives the share back from the next call on, as soon as nothing of it is charged or lent.
    pub fn leave(&mut self) {
        self.stage = Stage::Leaving;
    }

    /// The next call. `listed` is the number of gates that the platform lists, if it is known.
    pub fn next(&mut self, ledger: &mut Ledger, listed: Option<usize>, now: Instant) -> Call {
        if self.stage == Stage::Left {
            return Call::Done;
        }
        if now >= self.renew_at {
            return self.renew(now);
        }
        if self.seen.is_stale() {
            self.pending = Some(Pending::TableRead);
            return Call::Get(Key::Shares);
        }
        self.use_record(ledger, now);
        if let Some(edit) = self.plan(ledger, listed, now) {
            return self.change(&edit, ledger, now);
        }
        if let Some(call) = self.look_at_others(now) {
            return call;
        }
        self.pending = Some(Pending::Watch);
        Call::Watch {
            after: self.seen.version(),
            wait: self.wait(now),
        }
    }

    /// Takes the outcome of the last call.
    pub fn answer(&mut self, ledger: &mut Ledger, outcome: Outcome, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match pending {
            Pending::OwnLeaseRead => self.lease.answer_read(&outcome),
            Pending::Renewal => self.answer_renewal(ledger, &outcome, now),
            Pending::TableRead => self.seen.answer_read(outcome, now),
            Pending::Watch => self.seen.answer_watch(outcome, now),
            Pending::TableWrite(table) => self.answer_write(ledger, table, &outcome, now),
            Pending::OtherLeaseRead(member) => self.others.answer_read(&member, outcome, now),
            Pending::Revocation(member) => self.others.answer_revocation(member, &outcome),
        }
    }

    fn renew(&mut self, now: Instant) -> Call {
        let Some(expected) = self.lease.version() else {
            self.pending = Some(Pending::OwnLeaseRead);
            return Call::Get(Key::Lease(self.me.addr));
        };
        let write_id = self.write_id();
        let attempt = self.lease.attempt(&self.me.incarnation, write_id, now);
        self.pending = Some(Pending::Renewal);
        Call::Swap {
            key: Key::Lease(self.me.addr),
            expected,
            write_id: attempt.write_id,
            value: Value::Lease(attempt.record),
        }
    }

    fn answer_renewal(&mut self, ledger: &mut Ledger, outcome: &Outcome, now: Instant) {
        if self.lease.answer_swap(outcome) {
            self.start_again(ledger, now);
            return;
        }
        ledger.set_valid_until(self.lease.valid_until(), now);
        if let Some(confirmed) = self.lease.confirmed() {
            self.renew_at = confirmed + self.timing.lapse / RENEWALS_PER_LAPSE;
        }
    }

    /// Starts again under a new incarnation, after the lease was revoked.
    fn start_again(&mut self, ledger: &mut Ledger, now: Instant) {
        ledger.set_valid_until(None, now);
        self.incarnations += 1;
        self.me.incarnation = format!("{}-{}", self.process, self.incarnations);
        self.lease = OwnLease::new(self.timing);
        self.entry = None;
        self.entered = false;
        self.shrinking = None;
        self.renew_at = now;
    }

    /// Uses the share as the record has it.
    fn use_record(&mut self, ledger: &mut Ledger, now: Instant) {
        let version = self.seen.version();
        // A change from an earlier version cannot take effect any more.
        self.shrinking = self.shrinking.filter(|shrinking| version <= shrinking.from);
        let Some(recorded) = self.seen.table().weight_of(&self.me) else {
            return;
        };
        if !self.entered {
            self.enter(ledger, recorded, now);
        }
        let shrunk = self.shrinking.map(|shrinking| shrinking.weight);
        let weight = shrunk.map_or(recorded, |shrunk| shrunk.min(recorded));
        if ledger.weight() != weight {
            ledger.set_weight(weight, now);
        }
    }

    fn enter(&mut self, ledger: &mut Ledger, recorded: Weight, now: Instant) {
        match self.entry.take() {
            Some(Edit::Join { weight, untouched }) if weight == recorded => {
                ledger.set_first_weight(weight, untouched, now);
            }
            Some(Edit::Inherit { .. }) if !self.had_share => {
                ledger.set_weight(recorded, now);
                let hold = drift::guarded(drift::guarded(self.lease.earlier_hold()));
                ledger.quarantine(now + hold, now);
            }
            _ => ledger.set_weight(recorded, now),
        }
        self.entered = true;
        self.had_share = true;
    }

    fn change(&mut self, edit: &Edit, ledger: &mut Ledger, now: Instant) -> Call {
        match edit {
            Edit::Shrink { weight } => self.use_less(ledger, *weight, now),
            Edit::Leave => self.use_less(ledger, 0, now),
            _ => {}
        }
        if !self.entered {
            self.entry = Some(edit.clone());
        }
        self.write(self.seen.table().with(&self.me, edit))
    }

    fn use_less(&mut self, ledger: &mut Ledger, weight: Weight, now: Instant) {
        ledger.set_weight(weight, now);
        self.shrinking = Some(Shrinking {
            from: self.seen.version(),
            weight,
        });
    }

    fn write(&mut self, table: ShareTable) -> Call {
        // Until the outcome is known the record may be in either state.
        self.seen.set_stale();
        let value = Value::Shares(table.clone());
        self.pending = Some(Pending::TableWrite(table));
        Call::Swap {
            key: Key::Shares,
            expected: self.seen.version(),
            write_id: self.write_id(),
            value,
        }
    }

    fn answer_write(
        &mut self,
        ledger: &mut Ledger,
        table: ShareTable,
        outcome: &Outcome,
        now: Instant,
    ) {
        if let Outcome::Written(version) = *outcome {
            self.seen.take(version, table, now);
            if self.is_leaving() && self.seen.table().weight_of(&self.me).is_none() {
                self.stage = Stage::Left;
            }
            self.use_record(ledger, now);
        }
    }

    fn look_at_others(&mut self, now: Instant) -> Option<Call> {
        if let Some(gone) = self.others.take_gone() {
            let table = self.seen.table().without(&gone)?;
            return Some(self.write(table));
        }
        if let Some((member, version)) = self.others.take_lapsed() {
            return Some(self.revoke(member, version));
        }
        let member = self.others.take_due(self.seen.table(), &self.me, now)?;
        let key = Key::Lease(member.addr);
        self.pending = Some(Pending::OtherLeaseRead(member));
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
        self.pending = Some(Pending::Revocation(member));
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

    fn is_settled(&self, now: Instant) -> bool {
        let rest = now.saturating_duration_since(self.seen.changed_at());
        rest >= self.timing.contact * SETTLE_CONTACTS
    }

    fn wait(&self, now: Instant) -> Duration {
        let contact = self.timing.contact;
        let settled = !self.is_leaving() && self.entered && self.is_settled(now);
        if !settled {
            return contact;
        }
        let wait = (self.timing.lapse / WAITS_PER_LAPSE).min(MAX_WAIT);
        wait.max(contact)
    }

    fn write_id(&mut self) -> String {
        self.writes += 1;
        format!("{}-w{}", self.process, self.writes)
    }
}
