//! Tells the holder at once of limits that upstreams name, and asks it for permits to send to those
//! upstreams.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_clock::Clock;

use super::{
    client::{ExchangeError, NoHolderSnafu, UnexpectedAnswerSnafu, call_holder},
    message::{ExchangeAnswer, InstanceCall, PermitRequest},
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

/// Calls the holder whenever there is something to tell or to ask. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("permits of the holder of the planning duty");
    loop {
        cx.permits_wanted.notified().await;
        match call(&cx, &coordinator).await {
            Ok(has_called) => {
                if has_called {
                    outage_log.record_success(cx.now());
                }
                sleep(MIN_PAUSE).await;
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Calls the holder if there is anything to tell or to ask. Returns whether there was.
async fn call<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
) -> Result<bool, ExchangeError>
where
    P: Platform,
{
    let asked_at = cx.clock.since_boot();
    let has_news = cx.has_limit_news.replace(false);
    let asks = cx.limits.borrow_mut().take_asks(asked_at);
    if asks.is_empty() && !has_news {
        return Ok(false);
    }
    let request = PermitRequest {
        limits: cx.limits.borrow().heard(asked_at),
        asks,
    };
    let answer = if coordinator.has_duty() {
        Ok(coordinator.permits(&request))
    } else {
        call_other(cx, request.clone()).await
    };
    let answer = match answer {
        Ok(ExchangeAnswer::Permits(answer)) => answer,
        Ok(ExchangeAnswer::Elsewhere(..)) => return fail(cx, &request, NoHolderSnafu.fail()),
        Ok(_) => return fail(cx, &request, UnexpectedAnswerSnafu.fail()),
        Err(e) => return fail(cx, &request, Err(e)),
    };
    cx.apply_limits(&answer.limits);
    let now = cx.clock.since_boot();
    let mut limits = cx.limits.borrow_mut();
    limits.apply_answers(&answer.answers, asked_at, now);
    drop(limits);
    cx.state_changed.notify_waiters();
    Ok(true)
}

async fn call_other<P>(
    cx: &EntryContext<P>,
    request: PermitRequest,
) -> Result<ExchangeAnswer, ExchangeError>
where
    P: Platform,
{
    let link = cx.holder_link.borrow().clone();
    let link = link.filter(|link| !link.is_closed());
    let link = link.ok_or_else(|| NoHolderSnafu.build())?;
    let call = InstanceCall::Permits(request);
    call_holder(&link, &call, Duration::ZERO, CALL_TIMEOUT).await
}

/// Ends the wait of the requests for which permits were asked.
fn fail<P>(
    cx: &EntryContext<P>,
    request: &PermitRequest,
    result: Result<bool, ExchangeError>,
) -> Result<bool, ExchangeError>
where
    P: Platform,
{
    let now = cx.clock.since_boot();
    cx.limits.borrow_mut().record_no_answer(&request.asks, now);
    cx.state_changed.notify_waiters();
    result
}
