//! The tasks that maintain this gate's share and end loans that are no longer needed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_allowance::share_manager::{Call, Outcome, ShareManager, Timing};
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::Kv;
use spdlog::{info, warn};
use tokio::{sync::oneshot, time::timeout};

use super::{
    SharedAllowances, borrower::Lenders, share_calls, shared::AllowanceState,
    shared::AllowanceTiming,
};

/// The running tasks that maintain this gate's share and end its loans. Dropping it stops them.
pub struct ShareTasks {
    task: JoinHandle<()>,
    loan_task: JoinHandle<()>,
    leave_tx: Option<oneshot::Sender<()>>,
}

impl From<AllowanceTiming> for Timing {
    fn from(timing: AllowanceTiming) -> Self {
        Self {
            contact_interval: timing.contact_interval,
            lease_duration: timing.lease_duration,
            max_token_hold: timing.loan_hold,
        }
    }
}

impl ShareTasks {
    /// Starts to maintain a share for the gate at the peer address `addr` of an instance. The
    /// process must already listen on the address: that proves that an earlier process there has
    /// ended.
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
        let (leave_tx, leave_rx) = oneshot::channel();
        let task = ShareManagerLoop::new(allowances.clone(), kv, addr, instance);
        Self {
            task: actix_rt::spawn(task.run(leave_rx)),
            loan_task: actix_rt::spawn(end_loans(allowances.clone())),
            leave_tx: Some(leave_tx),
        }
    }

    /// Returns the share. Must be called after all requests have ended; takes at most `limit`. A
    /// share that cannot be returned in time expires.
    pub async fn leave(mut self, limit: Duration) {
        if let Some(leave_tx) = self.leave_tx.take() {
            let _ = leave_tx.send(());
        }
        if timeout(limit, &mut self.task).await.is_err() {
            warn!("share of the allowances was not given back in time and will lapse");
        }
    }
}

impl Drop for ShareTasks {
    fn drop(&mut self) {
        self.task.abort();
        self.loan_task.abort();
    }
}

/// Ends loans that are no longer needed, four times per contact period.
async fn end_loans<C, L>(allowances: SharedAllowances<C, L>)
where
    C: Clock,
    L: Lenders,
{
    loop {
        sleep(allowances.state.timing.contact_interval / 4).await;
        allowances.end_loans();
    }
}

struct ShareManagerLoop<C, K, L> {
    allowances: SharedAllowances<C, L>,
    state: Rc<AllowanceState<C>>,
    kv: K,
    share_manager: ShareManager,
    weight: u32,
}

impl<C, K, L> ShareManagerLoop<C, K, L>
where
    C: Clock,
    K: Kv,
    L: Lenders,
{
    fn new(allowances: SharedAllowances<C, L>, kv: K, addr: SocketAddr, instance: &str) -> Self {
        let state = Rc::clone(&allowances.state);
        let process = format!("{:032x}", rand::random::<u128>());
        let share_manager = ShareManager::new(
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
            share_manager,
            weight: 0,
        }
    }

    async fn run(mut self, mut leave_rx: oneshot::Receiver<()>) {
        let mut leaving = false;
        loop {
            let call = self.next_call();
            if call == Call::Done {
                info!("share of the allowances was given back");
                return;
            }
            // Leaving interrupts a watch; other calls are short and run to their end.
            let is_watch = matches!(call, Call::Watch { .. });
            let running_call = share_calls::execute(&self.kv, call);
            let outcome = tokio::select! {
                biased;
                _ = &mut leave_rx, if is_watch && !leaving => {
                    leaving = true;
                    self.share_manager.leave();
                    continue;
                }
                outcome = running_call => outcome,
            };
            let outcome = outcome.unwrap_or_else(|e| {
                warn!("share of the allowances cannot be kept for now: {}", e);
                Outcome::Unknown
            });
            self.handle_outcome(outcome).await;
        }
    }

    fn next_call(&mut self) -> Call {
        let listed = self.allowances.borrower.listed_gates();
        let mut ledger = self.state.ledger.borrow_mut();
        let call = self
            .share_manager
            .next_call(&mut ledger, listed, self.state.now());
        let weight = ledger.weight();
        drop(ledger);
        self.record_weight(weight);
        call
    }

    async fn handle_outcome(&mut self, outcome: Outcome) {
        let pause = matches!(outcome, Outcome::Conflict | Outcome::Unknown);
        self.apply_outcome(outcome);
        if pause {
            // Random, so that gates do not retry at the same time.
            let contact = self.state.timing.contact_interval;
            sleep(contact.mul_f64(rand::random::<f64>())).await;
        }
    }

    fn apply_outcome(&mut self, outcome: Outcome) {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        self.share_manager.handle_outcome(&mut ledger, outcome, now);
        let lenders = self.share_manager.lenders();
        let instances = self.share_manager.instances();
        self.allowances.borrower.set_lender_names(instances);
        self.state.estimates.borrow_mut().retain(&lenders);
        *self.state.lenders.borrow_mut() = lenders;
    }

    fn record_weight(&mut self, weight: u32) {
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
