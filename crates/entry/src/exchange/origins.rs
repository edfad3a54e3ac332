//! Tells the holder which software versions begin streams, and asks it for those that began streams
//! which callers resume here, between two reports.
//!
//! What the holder learns an exchange period later is lost if all instances are killed meanwhile, and
//! the streams that have just begun are the ones that are resumed then.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_fleet::stream_origins::MIN_TIME_SENT;

use super::{
    client::{ExchangeError, NoHolderSnafu, UnexpectedAnswerSnafu, call_holder},
    message::{ExchangeAnswer, InstanceCall, OriginReport, OriginsView},
};
use crate::{
    duty::Coordinator, follow::outage_log::OutageLog, platform::Platform, state::EntryContext,
};

/// Timeout of a call to the holder.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Calls the holder whenever there is something to tell or to ask. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("origins of streams at the holder of the planning duty");
    loop {
        cx.origins_due.notified().await;
        if cx.origin_queries.borrow().is_empty() {
            sleep(MIN_TIME_SENT).await;
        }
        loop {
            let report = build_report(&cx);
            if report.is_empty() {
                break;
            }
            match call(&cx, &coordinator, report).await {
                Ok(()) => {
                    outage_log.record_success(cx.now());
                    break;
                }
                Err(e) => {
                    outage_log.record_failure(&e, cx.now());
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Streams that the holder does not know yet, if several software versions of their service serve, and
/// those that it is asked for.
fn build_report<P>(cx: &EntryContext<P>) -> OriginReport
where
    P: Platform,
{
    let now = cx.now();
    let fence = cx.placement.borrow().fence_and_version().0;
    let software = cx.software.borrow();
    let is_mixed = |service: &str| software.is_mixed(service, now);
    let mut origins = cx.origins.borrow_mut();
    OriginReport {
        begun: origins.report(fence, is_mixed, now),
        resumed: cx.origin_queries.borrow().keys().copied().collect(),
    }
}

async fn call<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
    report: OriginReport,
) -> Result<(), ExchangeError>
where
    P: Platform,
{
    let begun = report.begun.clone();
    let answer = if coordinator.has_duty() {
        coordinator.origins(&report)
    } else {
        let link = cx.holder_link.borrow().clone();
        let link = link.filter(|link| !link.is_closed());
        let link = link.ok_or_else(|| NoHolderSnafu.build())?;
        let call = InstanceCall::Origins(report);
        call_holder(&link, &call, Duration::ZERO, CALL_TIMEOUT).await?
    };
    match answer {
        ExchangeAnswer::Origins(view) => {
            let mut origins = cx.origins.borrow_mut();
            origins.acknowledge(&begun, view.fence);
            drop(origins);
            apply(cx, view);
            Ok(())
        }
        ExchangeAnswer::Elsewhere(..) => NoHolderSnafu.fail(),
        ExchangeAnswer::View(_)
        | ExchangeAnswer::Grants(_)
        | ExchangeAnswer::Trials(_)
        | ExchangeAnswer::Permits(_)
        | ExchangeAnswer::Config(_) => UnexpectedAnswerSnafu.fail(),
    }
}

/// Takes over what the holder knows of the streams that were asked for.
fn apply<P>(cx: &EntryContext<P>, view: OriginsView)
where
    P: Platform,
{
    let mut queries = cx.origin_queries.borrow_mut();
    for (stream, software) in view.streams {
        let Some(query) = queries.get_mut(&stream) else {
            continue;
        };
        query.answers += 1;
        query.holder_remembers = view.remembered;
        if view.has_stored {
            query.completely_answered_at = Some(cx.now());
        }
        query.holder_tenure = view.tenure;
        if let Some(software) = software {
            let mut origins = cx.origins.borrow_mut();
            origins.record(stream, &query.service, &software, cx.now());
        }
    }
    drop(queries);
    cx.state_changed.notify_waiters();
}
