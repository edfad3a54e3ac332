//! Finds the software version at which a stream continues that a caller resumes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::stream_origins::{Resumption, StreamKey};
use rand::RngExt;
use tokio::time::timeout;

use super::{Refusal, admitted::AdmittedRequest};
use crate::{follow::origins, platform::Platform, state::EntryContext};

/// Time in addition to an exchange period in which all instances report to the holder what they have
/// begun.
const REPORT_MARGIN: Duration = Duration::from_millis(50);
/// Least time without an answer of a holder that knows what the store has, after which the store is
/// read for the origin of a stream, and pause until it is read again.
const STORE_READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest addition to that time, drawn for each request, so that not all instances read at once.
const STORE_READ_JITTER: Duration = Duration::from_millis(200);
/// Longest pause until it is checked again whether the origin is known.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which the origin of a stream is asked for. When the holder was killed, there is
/// another one by then.
const MAX_ASK_TIME: Duration = Duration::from_millis(3_500);
/// `Retry-After` when it is not known which version began a stream.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A stream whose origin the holder is asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginQuery {
    pub(crate) service: String,
    /// Requests that wait for the answer.
    pub(crate) requests: u32,
    /// Answers of the holder so far.
    pub(crate) answers: u32,
    /// Number of streams whose origin the holder remembered at its last answer.
    pub(crate) holder_remembers: usize,
    /// Last answer of a holder that had read what the store has.
    pub(crate) completely_answered_at: Option<Instant>,
    /// Time for which the holder had the duty at its last answer.
    pub(crate) holder_tenure: Duration,
}

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
    let resumes = request.declared.resumes.as_deref();
    let stream = resumes.map(|id| request.stream_key(id));
    let asked_at = cx.now();
    let mut search = OriginSearch {
        cx,
        service: &request.service,
        stream,
        asked_at,
        deadline: asked_at + MAX_ASK_TIME.min(request.time_left(asked_at)),
        query: None,
        last_ask: None,
        store_read_delay: rand::rng().random_range(Duration::ZERO..STORE_READ_JITTER),
    };
    let resumption = search.run().await;
    log_resumption(cx, request, &resumption, &search);
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

/// The search for the version that began a stream: in this instance's memory, at the holder, and
/// while that doesn't answer in the store.
struct OriginSearch<'a, P>
where
    P: Platform,
{
    cx: &'a Rc<EntryContext<P>>,
    service: &'a str,
    /// None if the caller does not tell.
    stream: Option<StreamKey>,
    asked_at: Instant,
    deadline: Instant,
    /// The query to the holder, once there is one.
    query: Option<PendingQuery<'a, P>>,
    /// When the holder was asked last, and the number of its answers before.
    last_ask: Option<(Instant, u32)>,
    /// Addition to the time after which the store is read.
    store_read_delay: Duration,
}

impl<P> OriginSearch<'_, P>
where
    P: Platform,
{
    async fn run(&mut self) -> Resumption {
        let cx = self.cx;
        loop {
            let changed = cx.state_changed.notified();
            let now = cx.now();
            let resumption = cx.resumption(self.service, self.stream, now);
            if resumption != Resumption::Unknown || self.has_failed(now) {
                return resumption;
            }
            if let Some(stream) = self.stream {
                self.query
                    .get_or_insert_with(|| PendingQuery::begin(cx, stream, self.service));
                if self.should_read_store(now) {
                    cx.origins_read_at.set(Some(now));
                    self.read_store().await;
                    continue;
                }
            }
            self.ask_if_due(now);
            let left = self.deadline.saturating_duration_since(now);
            let _ = timeout(left.min(CHECK_PAUSE), changed).await;
        }
    }

    /// Time in which all instances report to a holder.
    fn report_time(&self) -> Duration {
        self.cx.exchange_period() + REPORT_MARGIN
    }

    /// Has the holder asked at once, and again after the time in which it hears of all streams.
    fn ask_if_due(&mut self, now: Instant) {
        let time = |at: Instant| now.saturating_duration_since(at);
        let is_due = self
            .last_ask
            .is_none_or(|(at, _)| time(at) >= self.report_time());
        if is_due {
            self.last_ask = Some((now, self.query_state().answers));
            self.cx.origins_due.notify_one();
        }
    }

    /// Whether nobody can know the origin, or there is no more time to find it.
    fn has_failed(&self, now: Instant) -> bool {
        if now >= self.deadline || self.cx.time_to_answer(now).is_zero() {
            return true;
        }
        // Until the versions are recorded and listed, the only one may be known soon.
        let list_revision = self.cx.directory.borrow().revision();
        let versions = self.cx.software.borrow();
        if !versions.is_informed(self.service, list_revision) {
            return false;
        }
        drop(versions);
        if self.stream.is_none() {
            return true;
        }
        // A holder that has just taken the duty has not heard from all instances either.
        let report_time = self.report_time();
        let query = self.query_state();
        self.last_ask.is_some_and(|(at, answers)| {
            at >= self.asked_at + report_time
                && query.answers > answers
                && query
                    .completely_answered_at
                    .is_some_and(|answer| answer >= at)
                && query.holder_tenure >= report_time
        })
    }

    /// Whether no holder that knows what the store has answers, and this instance has not read it itself
    /// recently.
    fn should_read_store(&self, now: Instant) -> bool {
        let pause = STORE_READ_PAUSE.max(self.report_time() * 2);
        let time = |at: Instant| now.saturating_duration_since(at);
        let answered_at = self.query_state().completely_answered_at;
        let silent_for = time(answered_at.unwrap_or(self.asked_at));
        let read_at = self.cx.origins_read_at.get();
        silent_for >= pause + self.store_read_delay && read_at.is_none_or(|at| time(at) >= pause)
    }

    async fn read_store(&self) {
        match origins::read(self.cx).await {
            Ok(batches) => {
                let mut origins = self.cx.origins.borrow_mut();
                for batch in &batches {
                    origins.learn(batch, self.cx.now());
                }
                drop(origins);
                // Others wait for the same.
                self.cx.state_changed.notify_waiters();
            }
            Err(e) => {
                let reason = e.to_string();
                spdlog::warn!("origins of streams could not be read", kv: {
                    reason = reason.as_str()
                });
            }
        }
    }

    fn query_state(&self) -> OriginQuery {
        let state = self.query.as_ref().map(PendingQuery::state);
        state.unwrap_or_default()
    }
}

fn log_resumption<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    resumption: &Resumption,
    search: &OriginSearch<'_, P>,
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
    let query = search.query_state();
    let time = cx.now().saturating_duration_since(search.asked_at);
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
