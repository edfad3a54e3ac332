//! The tasks that keep this gate's share and end its loans.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_allowance::share_manager::{Call, Outcome, ShareManager, Timing};
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::Kv;
use spdlog::{info, warn};
use tokio::{sync::oneshot, time::timeout};

use super::{
    SharedAllowances, borrower::Lenders, share_calls, shared::AllowanceTiming, shared::State,
};

/// A running task that keeps this gate's share.
pub struct ShareKeeper {
    task: JoinHandle<()>,
    loans: JoinHandle<()>,
    leave: Option<oneshot::Sender<()>>,
}

impl From<AllowanceTiming> for Timing {
    fn from(timing: AllowanceTiming) -> Self {
        Self {
            contact: timing.contact,
            lapse: timing.lapse,
            hold: timing.loan_hold,
        }
    }
}

impl ShareKeeper {
    /// Starts to keep a share for the gate at the peer address `addr` of an instance. The address
    /// must be listened on already: that is the evidence that an earlier process there has ended.
    pub fn spawn<C, K, L>(
        allowances: &SharedAllowances<C, L>,
        kv: K,
        addr: SocketAddr,
        instance: &str,
    ) -> Self
    where
        C: Clock,
        K: Kv,
        L: Lenders,
    {
        let (leave, left) = oneshot::channel();
        let task = KeeperTask::new(allowances.clone(), kv, addr, instance);
        Self {
            task: actix_rt::spawn(task.run(left)),
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

struct KeeperTask<C, K, L> {
    allowances: SharedAllowances<C, L>,
    state: Rc<State<C>>,
    kv: K,
    keeper: ShareManager,
    weight: u32,
}

impl<C, K, L> KeeperTask<C, K, L>
where
    C: Clock,
    K: Kv,
    L: Lenders,
{
    fn new(allowances: SharedAllowances<C, L>, kv: K, addr: SocketAddr, instance: &str) -> Self {
        let state = Rc::clone(&allowances.state);
        let process = format!("{:032x}", rand::random::<u128>());
        let keeper = ShareManager::new(
            addr,
            instance.to_owned(),
            process,
            state.timing.into(),
            state.now(),
        );
        Self {
            allowances,
            state,
            kv,
            keeper,
            weight: 0,
        }
    }

    async fn run(mut self, mut leave: oneshot::Receiver<()>) {
        let mut leaving = false;
        loop {
            let call = self.next();
            if call == Call::Done {
                info!("share of the allowances was given back");
                return;
            }
            // A wait for changes is cut short by a stop; other calls are short.
            let waits = matches!(call, Call::Watch { .. });
            let made = share_calls::make(&self.kv, call);
            let outcome = tokio::select! {
                biased;
                _ = &mut leave, if waits && !leaving => {
                    leaving = true;
                    self.keeper.leave();
                    continue;
                }
                outcome = made => outcome,
            };
            let outcome = outcome.unwrap_or_else(|e| {
                warn!("share of the allowances cannot be kept for now: {}", e);
                Outcome::Unknown
            });
            self.answer(outcome).await;
        }
    }

    fn next(&mut self) -> Call {
        let listed = self.allowances.gatherer.listed();
        let mut ledger = self.state.ledger.borrow_mut();
        let call = self.keeper.next_call(&mut ledger, listed, self.state.now());
        let weight = ledger.weight();
        drop(ledger);
        self.note_weight(weight);
        call
    }

    async fn answer(&mut self, outcome: Outcome) {
        let pause = matches!(outcome, Outcome::Conflict | Outcome::Unknown);
        self.take(outcome);
        if pause {
            let contact = self.state.timing.contact;
            sleep(contact.mul_f64(rand::random::<f64>())).await;
        }
    }

    fn take(&mut self, outcome: Outcome) {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        self.keeper.handle_outcome(&mut ledger, outcome, now);
        let lenders = self.keeper.lenders();
        let instances = self.keeper.instances();
        self.allowances.gatherer.set_instances(instances);
        self.state.estimates.borrow_mut().retain(&lenders);
        *self.state.lenders.borrow_mut() = lenders;
    }

    fn note_weight(&mut self, weight: u32) {
        self.state.metrics.set_weight(weight);
        self.state
            .has_had_share
            .set(self.state.has_had_share.get() || weight > 0);
        if weight != self.weight {
            info!("share of the allowances: {} ppm", weight);
            self.weight = weight;
        }
    }
}
