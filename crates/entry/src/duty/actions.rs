//! Runs the actions that the planners decide on: report requests and orders to engines.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_clock::Clock;
use comfreyweir_fleet::{
    duty::Tenure,
    planner::{Action, Order, OrderResult},
    upstream::Upstream,
};

use super::coordinator::Coordinator;
use crate::{
    platform::{OrderAnswer, OrderCall, Platform},
    state::{EntryContext, SendKind},
    work_times::Work,
    zones,
};

/// Timeout of a call to an engine. Engines answer an order before they carry it out.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the planner learns that a report request failed, so that it does not retry at once.
const REPORT_FAILURE_DELAY: Duration = Duration::from_millis(100);

/// Starts a task for each pending action. Without `may_order`, only report requests are started and
/// orders stay queued.
pub(super) fn start_actions<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    tenure: Tenure,
    may_order: bool,
) where
    P: Platform,
{
    for (service, action) in coordinator.take_actions(may_order) {
        let (cx, coordinator) = (Rc::clone(cx), Rc::clone(coordinator));
        actix_rt::spawn(async move {
            let run = run_action(&cx, &coordinator, tenure, &service, action);
            cx.work_times.measure(&cx.clock, Work::Orders, run).await;
            coordinator.request_step();
        });
    }
}

async fn run_action<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    tenure: Tenure,
    service: &str,
    action: Action,
) where
    P: Platform,
{
    match action {
        Action::Report { upstream } => report(cx, coordinator, service, &upstream).await,
        Action::Order {
            upstream,
            order,
            expected,
        } => {
            let call = OrderCall {
                order,
                expected,
                holder: cx.process.clone(),
                fence: tenure.fence,
            };
            execute_order(cx, coordinator, service, &upstream, call).await;
        }
    }
}

/// Requests an engine's report and passes it, or the failure, to the service's planner.
async fn report<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    service: &str,
    id: &str,
) where
    P: Platform,
{
    let Some(upstream) = find_upstream(cx, id) else {
        return coordinator.with_planner(service, |planner| planner.report_failed(id, cx.now()));
    };
    if !coordinator.take_permit(&upstream) {
        return coordinator.with_planner(service, |planner| planner.postpone_report(id));
    }
    cx.record_sent(&upstream, SendKind::Report);
    let sent_at = cx.clock.since_boot();
    let limit = ENGINE_CALL_TIMEOUT;
    // Only an answer that is certainly new can show that a limit has ended.
    let answer = if cx.limit_of(&upstream).is_some() {
        cx.platform.request_new_report(&upstream, limit).await
    } else {
        cx.platform.request_report(&upstream, limit).await
    };
    cx.record_notice(&upstream, answer.notice, (SendKind::Report, sent_at));
    match answer.result {
        Ok(report) => {
            coordinator.with_planner(service, |planner| {
                planner.apply_report(id, &report, cx.now());
            });
        }
        Err(e) => {
            let reason = e.to_string();
            spdlog::warn!("engine did not report", kv: { upstream = id, reason = reason.as_str() });
            sleep(REPORT_FAILURE_DELAY).await;
            coordinator.with_planner(service, |planner| planner.report_failed(id, cx.now()));
        }
    }
}

/// Sends an order if this instance may still do so, and passes the result to the service's planner.
async fn execute_order<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    service: &str,
    id: &str,
    call: OrderCall,
) where
    P: Platform,
{
    let result = match (find_upstream(cx, id), coordinator.tenure()) {
        // Checked right before the call: the process may have been suspended since the decision.
        (Some(upstream), Some(tenure))
            if tenure.may_order(cx.clock.since_boot())
                && zones::may_order(cx, &upstream)
                && coordinator.take_permit(&upstream) =>
        {
            send_order(cx, coordinator, &upstream, &call).await
        }
        _ => OrderResult::Conflict,
    };
    let artifact = call.order.artifact();
    let op = match &call.order {
        Order::Load(_) => "load",
        Order::Unload(_) => "unload",
    };
    let adapter = artifact.adapter.as_deref().unwrap_or_default();
    let outcome = format!("{result:?}");
    spdlog::info!("order", kv: {
        upstream = id, op, model = artifact.model.as_str(), adapter,
        expected = call.expected, fence = call.fence, outcome = outcome.as_str()
    });
    let is_done = matches!(result, OrderResult::Accepted | OrderResult::AlreadyDone);
    if is_done && matches!(&call.order, Order::Unload(a) if a.adapter.is_none()) {
        cx.prefix_caches.borrow_mut().forget(id);
    }
    cx.metrics.count_order(op, &outcome);
    coordinator.with_planner(service, |planner| {
        planner.record_order_result(id, &call.order, result, cx.now());
    });
}

async fn send_order<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    upstream: &Upstream,
    call: &OrderCall,
) -> OrderResult
where
    P: Platform,
{
    cx.record_sent(upstream, SendKind::Order);
    let sent_at = cx.clock.since_boot();
    let answer = cx
        .platform
        .send_order(upstream, call, ENGINE_CALL_TIMEOUT)
        .await;
    cx.record_notice(upstream, answer.notice, (SendKind::Order, sent_at));
    match answer.result {
        Ok(OrderAnswer::Result(result)) => result,
        Ok(OrderAnswer::Fenced) => {
            spdlog::warn!("planning duty lost: an engine has seen a higher fencing token", kv: {
                upstream = upstream.id.as_str(), fence = call.fence
            });
            coordinator.end_tenure();
            OrderResult::Rejected
        }
        Err(e) => {
            let reason = e.to_string();
            spdlog::warn!("no answer to order; its outcome is unknown", kv: {
                upstream = upstream.id.as_str(), fence = call.fence, reason = reason.as_str()
            });
            OrderResult::Unknown
        }
    }
}

fn find_upstream<P>(cx: &EntryContext<P>, id: &str) -> Option<Rc<Upstream>> {
    cx.directory.borrow().get(id).cloned()
}
