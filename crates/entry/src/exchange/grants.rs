//! Asks the holder for larger grants of allowances, between two reports.
//!
//! The more instances share an allowance, the fewer of their requests fit into what they are granted in
//! advance. A report and its view for each of them would take most of the holder's processor time.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

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
        cx.grant_wanted.notified().await;
        if !cx.quotas.borrow().has_waiting() {
            continue;
        }
        match request_grants(&cx, &coordinator).await {
            Ok(()) => {
                outage_log.record_success(cx.now());
                sleep(MIN_PAUSE).await;
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(RETRY_PAUSE).await;
                cx.grant_wanted.notify_one();
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
        spent: cx.quotas.borrow().awaited_totals(requested_at),
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
        | ExchangeAnswer::Permits(_) => UnexpectedAnswerSnafu.fail(),
    }
}
