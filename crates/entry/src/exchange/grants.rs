//! Asks the holder for larger grants of allowances, between two reports.
//!
//! The more instances share an allowance, the fewer of their requests fit into what they are granted in
//! advance. A report and its view for each of them would take most of the holder's processor time.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use tokio::time::timeout;

use super::{
    client::{ExchangeError, NoHolderSnafu, UnexpectedAnswerSnafu, call_holder},
    message::{ExchangeAnswer, GrantRequest, InstanceCall},
};
use crate::{
    duty::Coordinator, follow::outage_log::OutageLog, platform::Platform, state::EntryContext,
};

/// Timeout of a call to the holder.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest pause between two calls, in which further requests join the next one.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a failed call. The exchange finds out whether the holder is lost.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Asks for larger grants whenever requests wait for them. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("grants of the holder of the planning duty");
    loop {
        let next_ask = cx.quotas.borrow().next_ask();
        let wanted = cx.grant_wanted.notified();
        match next_ask.map(|at| at.saturating_duration_since(cx.now())) {
            None => {
                wanted.await;
                continue;
            }
            Some(Duration::ZERO) => {}
            Some(left) => {
                // Either way, the time of the next call is read again.
                let _ = timeout(left, wanted).await;
                continue;
            }
        }
        match request_grants(&cx, &coordinator).await {
            Ok(()) => {
                outage_log.record_success(cx.now());
                sleep(MIN_PAUSE).await;
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(RETRY_PAUSE).await;
                // Without a grant, the equal share may suffice by now.
                cx.quotas.borrow_mut().settle(cx.now());
                cx.grants_changed.notify_waiters();
            }
        }
    }
}

async fn request_grants<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
) -> Result<(), ExchangeError>
where
    P: Platform,
{
    let requested_at = cx.now();
    let request = GrantRequest {
        process: cx.process.clone(),
        spent: cx.quotas.borrow_mut().awaited_totals(requested_at),
    };
    let answer = if coordinator.has_duty() {
        coordinator.grants(&request)
    } else {
        let link = cx.holder_link.borrow().clone();
        let link = link.filter(|link| !link.is_closed());
        let link = link.ok_or_else(|| NoHolderSnafu.build())?;
        let call = InstanceCall::Grants(request);
        call_holder(&link, &call, Duration::ZERO, CALL_TIMEOUT).await?
    };
    match answer {
        ExchangeAnswer::Grants(grants) if !grants.is_empty() => {
            cx.apply_grants(&grants, requested_at);
            Ok(())
        }
        ExchangeAnswer::Grants(_) | ExchangeAnswer::Elsewhere(..) => NoHolderSnafu.fail(),
        ExchangeAnswer::View(_)
        | ExchangeAnswer::Trials(_)
        | ExchangeAnswer::Origins(_)
        | ExchangeAnswer::Permits(_)
        | ExchangeAnswer::Config(_) => UnexpectedAnswerSnafu.fail(),
    }
}
