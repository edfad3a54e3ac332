//! Orders to one engine, and its reports, one at a time.
//!
//! A report is asked for only after the order before it is settled, so it shows what that order
//! has done.

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

use crate::{context::Cx, held_cell::Hold};

/// Longest time of one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after an order that was not taken.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Orders and reads reports until the engine leaves the cell or the hold ends.
pub(crate) async fn run(cx: Rc<Cx>, hold: Rc<Hold>, name: String) {
    let mut wake = hold.orders.subscribe();
    while !hold.ending.get() {
        let Some(control) = control(&cx, &hold, &name) else {
            return;
        };
        wake.mark_unchanged();
        let order = hold.holder.borrow_mut().next_order(&name, cx.clock.now());
        if let Some(order) = order {
            give(&cx, &hold, &name, &control, &order).await;
        }
        if hold.ending.get() {
            return;
        }
        read_report(&cx, &hold, &name, &control).await;
        let now = cx.clock.now();
        let pause = hold
            .holder
            .borrow()
            .report_interval(&name, cx.report_every(), now);
        tokio::select! {
            () = actix_rt::time::sleep(pause) => {}
            _ = wake.changed() => {}
        }
    }
}

fn control(cx: &Cx, hold: &Hold, name: &str) -> Option<EngineControl> {
    let holder = hold.holder.borrow();
    let server = holder.servers().get(name)?;
    let addr = server.config.address;
    Some(EngineControl::new(cx.http.clone(), addr, CALL_TIMEOUT))
}

async fn give(cx: &Cx, hold: &Hold, name: &str, control: &EngineControl, order: &Order) {
    let outcome = match in_lease(cx, hold, name, control.order(order)).await {
        Some(Ok(())) => OrderOutcome::Taken,
        Some(Err(EngineError::Fenced { .. })) => OrderOutcome::Fenced,
        Some(Err(EngineError::Refused { .. })) => OrderOutcome::Refused,
        None | Some(Err(EngineError::Unreachable { .. })) => OrderOutcome::Unknown,
    };
    cx.metrics.count_order(&order.action, outcome);
    let now = cx.clock.now();
    hold.holder
        .borrow_mut()
        .apply_order_outcome(name, order, outcome, now);
    if outcome == OrderOutcome::Taken {
        info!("order was taken", kv: { upstream = name, term = order.term, action:? = order.action });
    } else {
        warn!("order was not taken", kv: { upstream = name, term = order.term, action:? = order.action, outcome:? = outcome });
        actix_rt::time::sleep(FAILED_PAUSE).await;
    }
}

/// Runs a call only as long as the lease allows it. The lease is looked at before every step, so
/// a process that was paused while connecting does not send the order when it resumes.
async fn in_lease<F>(cx: &Cx, hold: &Hold, name: &str, call: F) -> Option<F::Output>
where
    F: Future,
{
    let mut call = pin!(call);
    poll_fn(|task| {
        if !hold.holder.borrow().may_order(name, cx.clock.now()) {
            return Poll::Ready(None);
        }
        call.as_mut().poll(task).map(Some)
    })
    .await
}

async fn read_report(cx: &Cx, hold: &Hold, name: &str, control: &EngineControl) {
    let answer = control.report().await;
    let mut holder = hold.holder.borrow_mut();
    let is_news = answer
        .as_ref()
        .is_ok_and(|report| holder.needs_placement_pass(name, report));
    match answer {
        Ok(report) => holder.apply_report(name, &report, cx.clock.now()),
        Err(_) => holder.note_report_failure(name),
    }
    if is_news {
        hold.decide.notify_one();
    }
}
