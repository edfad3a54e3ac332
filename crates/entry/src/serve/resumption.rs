//! Finds the software version at which a stream continues that a caller resumes.

use std::{rc::Rc, time::Duration};

use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::stream_origins::{Resumption, StreamKey};
use tokio::time::timeout;

use super::{Refusal, admitted::AdmittedRequest};
use crate::{
    platform::Platform,
    state::{EntryContext, OriginQuery},
};

/// Time in addition to an exchange period for which the holder is asked. The instance that began the
/// stream may not have reported it yet.
const ASK_MARGIN: Duration = Duration::from_millis(300);
/// `Retry-After` when it is not known which version began a stream.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The software version to which a request is bound, because it resumes a stream; none if it may go
/// to any. Refuses a request for which that is not known, since streams of two versions must not be
/// joined.
pub(super) async fn required_software<P>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
) -> Result<Option<String>, Refusal>
where
    P: Platform,
{
    if !request.is_stream() || request.declared.last_event.is_none() {
        return Ok(None);
    }
    let stream = request.declared.resumes.as_deref().map(StreamKey::of);
    let asked_at = cx.now();
    let deadline = asked_at + (cx.exchange_period() + ASK_MARGIN).min(request.time_left(asked_at));
    let mut query = None;
    let resumption = loop {
        let changed = cx.state_changed.notified();
        let now = cx.now();
        let resumption = cx.resumption(&request.service, stream, now);
        let is_recorded = cx.software.borrow().is_recorded(&request.service);
        if resumption != Resumption::Unknown || (stream.is_none() && is_recorded) {
            break resumption;
        }
        if now >= deadline || (is_recorded && !cx.is_holder_responding()) {
            break resumption;
        }
        if let Some(stream) = stream {
            query.get_or_insert_with(|| PendingQuery::begin(cx, stream, &request.service));
        }
        cx.demand_changed.notify_one();
        let _ = timeout(deadline.saturating_duration_since(now), changed).await;
    };
    let waited = cx.now().saturating_duration_since(asked_at);
    let query = query.map(|query| query.state()).unwrap_or_default();
    log_resumption(cx, request, &resumption, &query, waited);
    match resumption {
        Resumption::Anywhere => Ok(None),
        Resumption::At(software) => {
            if let Some(stream) = stream {
                let mut origins = cx.origins.borrow_mut();
                origins.record(stream, &request.service, &software, cx.now());
            }
            Ok(Some(software))
        }
        Resumption::Unknown => Err(Refusal::not_run(
            "it is not known which software version began the stream",
            RETRY_AFTER,
        )),
    }
}

fn log_resumption<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    resumption: &Resumption,
    query: &OriginQuery,
    time: Duration,
) where
    P: Platform,
{
    let (outcome, software) = match resumption {
        Resumption::Anywhere => ("anywhere", ""),
        Resumption::At(software) => ("at", software.as_str()),
        Resumption::Unknown => ("unknown", ""),
    };
    cx.metrics.count_resumption(outcome);
    if !cx.request_log_limiter.try_acquire(cx.now()) {
        return;
    }
    let resumes = request.declared.resumes.as_deref().unwrap_or_default();
    let up_ms = whole_millis(cx.now().saturating_duration_since(cx.started_at));
    spdlog::info!("caller resumes a stream", kv: {
        request_id = request.id.as_str(), resumes, outcome, software,
        last_event = request.declared.last_event.unwrap_or_default(), ms = whole_millis(time),
        answers = query.answers, holder_remembers = query.holder_remembers,
        holder_ms = whole_millis(query.holder_tenure), up_ms
    });
}

/// Asks the holder for the origin of a stream, with each report, until dropped.
struct PendingQuery<'a, P>
where
    P: Platform,
{
    cx: &'a EntryContext<P>,
    stream: StreamKey,
}

impl<'a, P> PendingQuery<'a, P>
where
    P: Platform,
{
    fn begin(cx: &'a EntryContext<P>, stream: StreamKey, service: &str) -> Self {
        let mut queries = cx.origin_queries.borrow_mut();
        let query = queries.entry(stream).or_insert_with(|| OriginQuery {
            service: service.to_owned(),
            ..OriginQuery::default()
        });
        query.requests += 1;
        Self { cx, stream }
    }

    fn state(&self) -> OriginQuery {
        let queries = self.cx.origin_queries.borrow();
        queries.get(&self.stream).cloned().unwrap_or_default()
    }
}

impl<P> Drop for PendingQuery<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut queries = self.cx.origin_queries.borrow_mut();
        if let Some(query) = queries.get_mut(&self.stream) {
            query.requests -= 1;
            if query.requests == 0 {
                queries.remove(&self.stream);
            }
        }
    }
}
