//! Sends orders to one engine and reads its reports, one call at a time.
//!
//! A report is requested only after the call with the previous order has ended, so it shows the
//! effect of that order.

use std::{
    future::{Future, poll_fn},
    pin::pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use comfreyweir_clock::Clock;
use comfreyweir_external::engine::{EngineControl, EngineError, Order};
use comfreyweir_placement::engine_orders::OrderOutcome;
use spdlog::{info, warn};

use crate::{context::PlannerContext, held_cell::HeldCell};

/// Timeout of one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after an order that was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends orders and reads reports until the engine is removed from the cell or the planner stops
/// ordering in this cell.
pub(crate) async fn run(cx: Rc<PlannerContext>, held: Rc<HeldCell>, name: String) {
    let mut wakeups = held.order_wakeups.subscribe();
    while !held.is_stopping.get() {
        let Some(control) = engine_control(&cx, &held, &name) else {
            return;
        };
        wakeups.mark_unchanged();
        let order = held.holder.borrow_mut().next_order(&name, cx.clock.now());
        if let Some(order) = order {
            send_order(&cx, &held, &name, &control, &order).await;
        }
        if held.is_stopping.get() {
            return;
        }
        read_report(&cx, &held, &name, &control).await;
        let now = cx.clock.now();
        let report_interval =
            held.holder
                .borrow()
                .report_interval(&name, cx.report_interval(), now);
        tokio::select! {
            () = actix_rt::time::sleep(report_interval) => {}
            _ = wakeups.changed() => {}
        }
    }
}

fn engine_control(cx: &PlannerContext, held: &HeldCell, name: &str) -> Option<EngineControl> {
    let holder = held.holder.borrow();
    let server = holder.servers().get(name)?;
    let addr = server.config.address;
    Some(EngineControl::new(cx.http.clone(), addr, CALL_TIMEOUT))
}

async fn send_order(
    cx: &PlannerContext,
    held: &HeldCell,
    name: &str,
    control: &EngineControl,
    order: &Order,
) {
    let outcome = match run_within_lease(cx, held, name, control.send_order(order)).await {
        Some(Ok(())) => OrderOutcome::Taken,
        Some(Err(EngineError::Fenced { .. })) => OrderOutcome::Fenced,
        Some(Err(EngineError::Refused { .. })) => OrderOutcome::Refused,
        None | Some(Err(EngineError::Unreachable { .. })) => OrderOutcome::Unknown,
    };
    cx.metrics.count_order(&order.action, outcome);
    let now = cx.clock.now();
    held.holder
        .borrow_mut()
        .apply_order_outcome(name, order, outcome, now);
    if outcome == OrderOutcome::Taken {
        info!(
            "order was taken",
            kv: { upstream = name, term = order.term, action:? = order.action }
        );
    } else {
        warn!(
            "order was not taken",
            kv: { upstream = name, term = order.term, action:? = order.action, outcome:? = outcome }
        );
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// Runs a call only while the lease allows orders; returns `None` once it does not. The lease is
/// checked before every poll of the call, so a process that was paused while connecting does not
/// send the order when it resumes.
async fn run_within_lease<F>(
    cx: &PlannerContext,
    held: &HeldCell,
    name: &str,
    call: F,
) -> Option<F::Output>
where
    F: Future,
{
    let mut call = pin!(call);
    poll_fn(|task| {
        if !held.holder.borrow().may_order(name, cx.clock.now()) {
            return Poll::Ready(None);
        }
        call.as_mut().poll(task).map(Some)
    })
    .await
}

async fn read_report(cx: &PlannerContext, held: &HeldCell, name: &str, control: &EngineControl) {
    let answer = control.request_report().await;
    let mut holder = held.holder.borrow_mut();
    let needs_pass = answer
        .as_ref()
        .is_ok_and(|report| holder.needs_placement_pass(name, report));
    match answer {
        Ok(report) => holder.apply_report(name, &report, cx.clock.now()),
        Err(_) => holder.note_report_failure(name),
    }
    if needs_pass {
        held.placement_due.notify_one();
    }
}
