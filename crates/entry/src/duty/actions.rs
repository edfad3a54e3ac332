//! Carrying out what the planner decides.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_clock::Clock;
use comfreyweir_fleet::{
    duty::Tenure,
    planner::{Action, Order, OrderResult},
    upstream::Upstream,
};

use super::desk::Desk;
use crate::{
    ports::{OrderAnswer, OrderCall, Platform},
    state::Cx,
};

/// Longest time of a call to an engine. Engines answer before they carry an order out.
const ENGINE_CALL: Duration = Duration::from_millis(150);
/// Pause before a reported failure is told to the planner, so that it does not ask at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Starts what the planners want done. Without leave for orders they are told that none was given.
pub(super) fn perform<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>, tenure: Tenure, may_order: bool)
where
    P: Platform,
{
    for (service, action) in desk.take_actions(may_order) {
        let (cx, desk) = (Rc::clone(cx), Rc::clone(desk));
        actix_rt::spawn(async move {
            match action {
                Action::Report { upstream } => report(&cx, &desk, &service, &upstream).await,
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
                    give(&cx, &desk, &service, &upstream, call).await;
                }
            }
            desk.wake();
        });
    }
}

async fn report<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>, service: &str, id: &str)
where
    P: Platform,
{
    let Some(upstream) = upstream(cx, id) else {
        return desk.with(service, |planner| planner.report_failed(id, cx.now()));
    };
    match cx.platform.report(&upstream, ENGINE_CALL).await {
        Ok(report) => {
            desk.with(service, |planner| planner.reported(id, &report, cx.now()));
        }
        Err(e) => {
            let reason = e.to_string();
            spdlog::warn!("engine gave no report", kv: { upstream = id, reason = reason.as_str() });
            sleep(FAILURE_PAUSE).await;
            desk.with(service, |planner| planner.report_failed(id, cx.now()));
        }
    }
}

async fn give<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>, service: &str, id: &str, call: OrderCall)
where
    P: Platform,
{
    let result = match (upstream(cx, id), desk.tenure()) {
        // Checked right before the call: the process may have stood still since the decision.
        (Some(upstream), Some(tenure)) if tenure.may_order(cx.clock.since_boot()) => {
            order(cx, desk, &upstream, &call).await
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
        cx.kept.borrow_mut().forget(id);
    }
    cx.metrics.ordered(op, &outcome);
    desk.with(service, |planner| {
        planner.ordered(id, &call.order, result, cx.now());
    });
}

async fn order<P>(
    cx: &Rc<Cx<P>>,
    desk: &Rc<Desk<P>>,
    upstream: &Upstream,
    call: &OrderCall,
) -> OrderResult
where
    P: Platform,
{
    match cx.platform.order(upstream, call, ENGINE_CALL).await {
        Ok(OrderAnswer::Result(result)) => result,
        Ok(OrderAnswer::Fenced) => {
            spdlog::warn!("planning duty lost: an engine has seen a higher fencing token", kv: {
                upstream = upstream.id.as_str(), fence = call.fence
            });
            desk.end();
            OrderResult::Rejected
        }
        Err(e) => {
            let reason = e.to_string();
            spdlog::warn!("order got no answer", kv: {
                upstream = upstream.id.as_str(), fence = call.fence, reason = reason.as_str()
            });
            OrderResult::Unknown
        }
    }
}

fn upstream<P>(cx: &Cx<P>, id: &str) -> Option<Rc<Upstream>> {
    cx.directory.borrow().get(id).cloned()
}
