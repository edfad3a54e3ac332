//! Tells the holder of ends of upstreams and asks it for trials, between two reports.
//!
//! Each end that the holder learns of an exchange period later can cost another upstream.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{
    client::{ExchangeError, NoHolderSnafu, UnexpectedAnswerSnafu, call_holder},
    message::{ExchangeAnswer, InstanceCall, TrialRequest},
};
use crate::{
    duty::Coordinator, follow::outage_log::OutageLog, platform::Platform, state::EntryContext,
};

/// Timeout of a call to the holder.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before the holder is asked again for trials while others are open.
const BUSY_PAUSE: Duration = Duration::from_millis(50);

/// Calls the holder whenever there is something to tell or to ask. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("trials of the holder of the planning duty");
    loop {
        if !cx.quarantine.has_news() {
            cx.quarantine.news().await;
            continue;
        }
        match call(&cx, &coordinator).await {
            Ok(()) => {
                outage_log.record_success(cx.now());
                if cx.quarantine.has_news() {
                    sleep(BUSY_PAUSE).await;
                }
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn call<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
) -> Result<(), ExchangeError>
where
    P: Platform,
{
    let request = TrialRequest {
        process: cx.process.clone(),
        ..cx.quarantine.request()
    };
    let answer = if coordinator.has_duty() {
        coordinator.trials(&request)
    } else {
        let link = cx.holder_link.borrow().clone();
        let link = link.filter(|link| !link.is_closed());
        let link = link.ok_or_else(|| NoHolderSnafu.build())?;
        let call = InstanceCall::Trials(Box::new(request.clone()));
        call_holder(&link, &call, Duration::ZERO, CALL_TIMEOUT).await?
    };
    match answer {
        ExchangeAnswer::Trials(trials) => {
            cx.quarantine.apply_trials(&request, trials, cx.now());
            Ok(())
        }
        ExchangeAnswer::Elsewhere(..) => NoHolderSnafu.fail(),
        ExchangeAnswer::View(_)
        | ExchangeAnswer::Grants(_)
        | ExchangeAnswer::Origins(_)
        | ExchangeAnswer::Permits(_)
        | ExchangeAnswer::Config(_) => UnexpectedAnswerSnafu.fail(),
    }
}
