//! Keeping this gate's share: joining, making room for others, growing, removing gates that are
//! gone, and leaving.
//!
//! The order of steps is what keeps the sum of the shares in use below the whole: what shrinks
//! is used less before it is written, and what grows is written before it is used.

use std::{net::SocketAddr, rc::Rc, time::Duration, time::Instant};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_allowance::{
    drift,
    estimate::Lender,
    lease::Lease,
    shares::{Edit, Member, Weight},
};
use comfreyweir_clock::Clock;
use comfreyweir_platform::kv::{Kv, KvError, Version};
use spdlog::{info, warn};
use tokio::{sync::oneshot, time::timeout};

use super::{
    SharedAllowances,
    evict::Sightings,
    gather::Lenders,
    record::{Record, Written, write_id},
    renewal::{OwnLease, RENEWALS_PER_LAPSE, Renewal},
    shared::State,
};

/// Longest pause between two looks at the record.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Pauses within one lapse.
const PAUSES_PER_LAPSE: u32 = 40;
/// Contact periods during which the record must rest before a share grows.
const SETTLE_CONTACTS: u32 = 4;
/// Contact periods that a gate waits for the platform's list before it joins.
const LIST_CONTACTS: u32 = 4;
/// Tries to remove the own share at a graceful stop.
const LEAVE_TRIES: u32 = 5;

/// A running task that keeps this gate's share.
pub struct ShareKeeper {
    task: JoinHandle<()>,
    loans: JoinHandle<()>,
    leave: Option<oneshot::Sender<()>>,
}

impl ShareKeeper {
    /// Starts to keep a share for the gate at the peer address `addr`. The address must be
    /// listened on already: that is the evidence that an earlier process there has ended.
    pub fn spawn<C, K, L>(allowances: &SharedAllowances<C, L>, kv: K, addr: SocketAddr) -> Self
    where
        C: Clock,
        K: Kv,
        L: Lenders,
    {
        let (leave, left) = oneshot::channel();
        let keeper = Keeper::new(allowances.clone(), kv, addr);
        let task = actix_rt::spawn(keeper.run(left));
        Self {
            task,
            loans: actix_rt::spawn(end_loans(allowances.clone())),
            leave: Some(leave),
        }
    }

    /// Gives the share back. To be called when all requests have ended; takes at most `limit`.
    /// A share that cannot be given back in time lapses.
    pub async fn leave(mut self, limit: Duration) {
        if let Some(leave) = self.leave.take() {
            let _ = leave.send(());
        }
        if timeout(limit, &mut self.task).await.is_err() {
            warn!("share of the allowances was not given back in time and will lapse");
        }
    }
}

impl Drop for ShareKeeper {
    fn drop(&mut self) {
        self.task.abort();
        self.loans.abort();
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random::<f64>())
}

/// Ends loans soon after they are not needed any more.
async fn end_loans<C, L>(allowances: SharedAllowances<C, L>)
where
    C: Clock,
    L: Lenders,
{
    loop {
        sleep(allowances.state.timing.contact / 4).await;
        allowances.end_loans();
    }
}

/// A change that gave weight away and whose outcome is not known.
#[derive(Clone, Copy)]
struct Shrinking {
    from: Version,
    weight: Weight,
}

struct Keeper<C, K, L> {
    allowances: SharedAllowances<C, L>,
    state: Rc<State<C>>,
    me: Member,
    record: Record<K>,
    lease: OwnLease<K>,
    sightings: Sightings<K>,
    started: Instant,
    renew_at: Instant,
    look_at: Instant,
    /// How this incarnation tried to enter the record.
    entry: Option<Edit>,
    /// Whether the share of this incarnation is in use.
    entered: bool,
    /// Whether an earlier incarnation of this process had a share; it knows its own loans.
    had_share: bool,
    shrinking: Option<Shrinking>,
}

impl<C, K, L> Keeper<C, K, L>
where
    C: Clock,
    K: Kv,
    L: Lenders,
{
    fn new(allowances: SharedAllowances<C, L>, kv: K, addr: SocketAddr) -> Self {
        let state = Rc::clone(&allowances.state);
        let now = state.now();
        let lapse = state.timing.lapse;
        let me = Member {
            addr,
            incarnation: write_id(),
        };
        let lease = Lease::new(lapse);
        Self {
            record: Record::new(kv.clone(), now),
            lease: OwnLease::new(kv.clone(), addr, me.incarnation.clone(), lease),
            sightings: Sightings::new(kv, lapse),
            started: now,
            renew_at: now,
            look_at: now,
            entry: None,
            entered: false,
            had_share: false,
            shrinking: None,
            allowances,
            state,
            me,
        }
    }

    async fn run(mut self, mut leave: oneshot::Receiver<()>) {
        loop {
            tokio::select! {
                biased;
                _ = &mut leave => break,
                () = self.round() => {}
            }
        }
        self.leave().await;
    }

    /// One round, and the pause after it.
    async fn round(&mut self) {
        let kept = self.keep().await;
        if let Err(e) = kept {
            warn!("share of the allowances cannot be kept for now: {}", e);
            sleep(jittered(self.state.timing.contact)).await;
        }
    }

    async fn keep(&mut self) -> Result<(), KvError> {
        self.renew().await?;
        self.record.refresh(self.state.now()).await?;
        self.take_record();
        if let Some(edit) = self.plan() {
            return self.change(edit).await;
        }
        if self.evict().await? {
            return Ok(());
        }
        let clock = self.state.clock.clone();
        self.record.watch(self.pause(), || clock.now()).await
    }

    async fn renew(&mut self) -> Result<(), KvError> {
        let now = self.state.now();
        if now < self.renew_at {
            return Ok(());
        }
        match self.lease.renew(now).await? {
            Renewal::Held => self.hold_lease(),
            Renewal::Revoked => self.lose_lease(),
        }
        Ok(())
    }

    fn hold_lease(&mut self) {
        let now = self.state.now();
        let until = self.lease.valid_until();
        let mut ledger = self.state.ledger.borrow_mut();
        ledger.set_valid_until(until, now);
        if let Some(until) = until {
            let lapse = self.state.timing.lapse;
            let renewed = until.checked_sub(lapse).unwrap_or(now);
            self.renew_at = renewed + lapse / RENEWALS_PER_LAPSE;
        }
    }

    fn lose_lease(&mut self) {
        warn!("lease of the share was revoked; the share starts again empty");
        let now = self.state.now();
        self.state.ledger.borrow_mut().set_valid_until(None, now);
        self.me.incarnation = write_id();
        self.lease.restart(self.me.incarnation.clone());
        self.entry = None;
        self.entered = false;
        self.shrinking = None;
        self.renew_at = now;
    }

    /// Uses the share as the record has it.
    fn take_record(&mut self) {
        self.settle_shrinking();
        self.take_lenders();
        let Some(recorded) = self.record.table().weight_of(&self.me) else {
            return;
        };
        let now = self.state.now();
        if !self.entered {
            self.enter(recorded, now);
        }
        let weight = self
            .shrinking
            .map_or(recorded, |shrinking| shrinking.weight.min(recorded));
        let mut ledger = self.state.ledger.borrow_mut();
        if ledger.weight() != weight {
            ledger.set_weight(weight, now);
        }
        self.state.metrics.set_weight(ledger.weight());
    }

    fn enter(&mut self, recorded: Weight, now: Instant) {
        let mut ledger = self.state.ledger.borrow_mut();
        match self.entry.take() {
            Some(Edit::Join { weight, untouched }) if weight == recorded => {
                ledger.set_first_weight(weight, untouched, now);
            }
            Some(Edit::Inherit { .. }) if !self.had_share => {
                ledger.set_weight(recorded, now);
                let hold = drift::guarded(self.state.timing.loan_hold);
                ledger.quarantine(now + drift::guarded(hold), now);
            }
            _ => ledger.set_weight(recorded, now),
        }
        info!("share of the allowances: {} ppm", recorded);
        self.entered = true;
        self.had_share = true;
    }

    /// A change that was written from an earlier version cannot take effect any more.
    fn settle_shrinking(&mut self) {
        let version = self.record.version();
        self.shrinking = self.shrinking.filter(|shrinking| version <= shrinking.from);
    }

    fn take_lenders(&self) {
        let shares = self.record.table().shares.iter();
        let lenders: Vec<Lender> = shares
            .filter(|(addr, _)| **addr != self.me.addr)
            .map(|(addr, share)| Lender {
                addr: *addr,
                weight: share.weight,
            })
            .collect();
        self.state.estimates.borrow_mut().retain(&lenders);
        *self.state.lenders.borrow_mut() = lenders;
    }

    fn plan(&self) -> Option<Edit> {
        let table = self.record.table();
        if table.weight_of(&self.me).is_none() {
            return self.plan_join();
        }
        if let Some(Edit::Shrink { weight }) = table.plan_shrink(&self.me) {
            let least = self.state.ledger.borrow().least_weight();
            let weight = weight.max(least);
            let own = table.weight_of(&self.me).unwrap_or(0);
            return (weight < own).then_some(Edit::Shrink { weight });
        }
        let settled = self.is_settled();
        table.plan_grow(&self.me).filter(|_| settled)
    }

    fn plan_join(&self) -> Option<Edit> {
        self.lease.valid_until()?;
        let listed = self.allowances.gatherer.listed();
        let waited = self.state.now().saturating_duration_since(self.started);
        if listed.is_none() && waited < self.state.timing.contact * LIST_CONTACTS {
            return None;
        }
        let table = self.record.table();
        table.plan_join(&self.me, listed.unwrap_or(1))
    }

    fn is_settled(&self) -> bool {
        let rest = self.state.timing.contact * SETTLE_CONTACTS;
        let now = self.state.now();
        now.saturating_duration_since(self.record.changed_at()) >= rest
    }

    async fn change(&mut self, edit: Edit) -> Result<(), KvError> {
        if let Edit::Shrink { weight } = edit {
            self.use_less(weight);
        }
        if !self.entered {
            self.entry = Some(edit.clone());
        }
        let table = self.record.table().with(&self.me, &edit);
        match self.record.write(table, self.state.now()).await? {
            Written::Yes => self.take_record(),
            Written::No => sleep(jittered(self.state.timing.contact)).await,
        }
        Ok(())
    }

    fn use_less(&mut self, weight: Weight) {
        let now = self.state.now();
        self.state.ledger.borrow_mut().set_weight(weight, now);
        self.shrinking = Some(Shrinking {
            from: self.record.version(),
            weight,
        });
    }

    /// Removes one gate whose lease was revoked. Tells whether the record has to be read again.
    async fn evict(&mut self) -> Result<bool, KvError> {
        let now = self.state.now();
        if now < self.look_at {
            return Ok(false);
        }
        self.look_at = now + self.state.timing.lapse / (2 * RENEWALS_PER_LAPSE);
        let clock = self.state.clock.clone();
        let gone = self
            .sightings
            .find_gone(self.record.table(), self.me.addr, || clock.now())
            .await?;
        let table = gone
            .as_ref()
            .and_then(|gone| self.record.table().without(gone));
        let (Some(gone), Some(table)) = (gone, table) else {
            return Ok(false);
        };
        info!("gate {} is gone; its share is free again", gone.addr);
        self.look_at = now;
        self.record.write(table, self.state.now()).await?;
        Ok(true)
    }

    fn pause(&self) -> Duration {
        let timing = &self.state.timing;
        let pause = (timing.lapse / PAUSES_PER_LAPSE).clamp(timing.contact, MAX_PAUSE);
        if self.is_settled() {
            pause
        } else {
            timing.contact.min(pause)
        }
    }

    /// Stops using the share, and then removes it from the record.
    async fn leave(&mut self) {
        self.end_all_use().await;
        for _ in 0..LEAVE_TRIES {
            let left = self.try_leave().await;
            match left {
                Ok(Written::Yes) => return,
                Ok(Written::No) => sleep(jittered(self.state.timing.contact)).await,
                Err(e) => {
                    warn!("share cannot be given back yet: {}", e);
                    sleep(jittered(self.state.timing.contact)).await;
                }
            }
        }
    }

    /// Waits until nothing is charged or lent, and uses nothing from then on.
    async fn end_all_use(&mut self) {
        while !self.try_end_use() {
            sleep(self.state.timing.contact / 4).await;
        }
    }

    fn try_end_use(&self) -> bool {
        let now = self.state.now();
        self.allowances.end_loans();
        let mut ledger = self.state.ledger.borrow_mut();
        ledger.refresh(now);
        let unused = ledger.least_weight() == 0;
        if unused {
            ledger.set_valid_until(None, now);
        }
        unused
    }

    async fn try_leave(&mut self) -> Result<Written, KvError> {
        self.record.refresh(self.state.now()).await?;
        let table = self.record.table();
        if table.weight_of(&self.me).is_none() {
            return Ok(Written::Yes);
        }
        let table = table.with(&self.me, &Edit::Leave);
        self.record.write(table, self.state.now()).await
    }
}
