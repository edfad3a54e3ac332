//! Relays answers to callers.
//!
//! Any answer but a successful stream is buffered completely, so that a truncated one is detected
//! before the caller gets any of it. Streams are relayed as they arrive; a resumable stream
//! continues at another upstream when the first one fails.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, Response, ResponseBuilder, StatusCode, body::BoxBody, header};
use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{health::Outcome, upstream::Upstream};
use comfreyweir_http::{
    body::{BodyPiece, PiecedBody, RelayedBody, declared_length},
    event_stream::EventSplitter,
    headers::end_to_end,
    upstream::{AnswerBody, CallError, UpstreamAnswer},
};
use snafu::Snafu;
use tokio::{sync::mpsc, time::timeout};

use super::{
    Refusal,
    admitted::AdmittedRequest,
    attempt::{self, AttemptResult, SentRequest},
    pick::{self, AvoidedUpstreams},
    retry::take_retry,
    trial,
};
use crate::{platform::Platform, state::EntryContext, work_times::Work};

/// Maximum size of a buffered answer, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Chunks of a stream that are buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 16;
/// Time without an event, after the first chunk, after which a resumable stream continues at another
/// upstream if one can take it. If none can, the upstream may be slow but sound, and the stream is kept
/// for as long as its caller waits.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause until it is checked again whether another upstream can take a stalled stream.
const STALL_RECHECK: Duration = Duration::from_millis(250);
/// Time for which a stream is not resumed at an upstream that failed it.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(10);

/// Reads the whole answer and builds the response from it.
pub(super) async fn respond_buffered<P>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
    mut answer: Box<UpstreamAnswer>,
    mut sent: Box<SentRequest<P>>,
) -> Result<Response<BoxBody>, Refusal>
where
    P: Platform,
{
    sent.record_first_byte();
    let now = cx.now();
    let left = request.time_left(now).min(cx.time_to_answer(now));
    let is_head = request.method == Method::HEAD;
    let body = if is_head {
        Bytes::new()
    } else {
        let waits_for_memory = Cell::new(false);
        let length = declared_length(&answer.headers);
        let hold = async |bytes| match &request.caller {
            Some(caller) => {
                waits_for_memory.set(true);
                let has_memory = caller.hold_buffered(bytes).await;
                waits_for_memory.set(!has_memory);
                has_memory
            }
            None => true,
        };
        let read = answer
            .body
            .read_held(MAX_BUFFERED_BYTES, length, left, hold);
        match timeout(left, read).await {
            Ok(Ok(body)) => body,
            // The upstream is not at fault, though it has run the request.
            _ if waits_for_memory.get() => {
                let reason = "this instance has no memory for the answer";
                return Err(Refusal::upstream_failed(reason));
            }
            Ok(Err(e)) => {
                sent.record_broken(request).await;
                return Err(Refusal::upstream_failed(e.to_string()));
            }
            Err(_) => {
                sent.note_outcome(Outcome::Bad);
                return Err(Refusal::timeout());
            }
        }
    };
    if answer.status.is_success() {
        sent.record_complete(&request.route.name);
    } else if !answer.status.is_server_error() {
        sent.note_outcome(Outcome::Good);
    }
    let status = answer.status.as_u16();
    log_answered(
        cx,
        request,
        &sent,
        Some(&answer.body),
        status,
        "whole",
        &ChunkTimes::default(),
    );
    let mut res = response_builder(&answer);
    if is_head {
        if let Some(length) = declared_length(&answer.headers) {
            res.no_chunking(length);
        }
        return Ok(with_body(res, BoxBody::new(actix_http::body::None::new())));
    }
    Ok(with_body(res, BoxBody::new(PiecedBody::new(body))))
}

/// Builds the response of a stream and spawns the task that relays its events. `possible_runs` is
/// the number of upstreams that may have run the request, including this one.
pub(super) fn respond_streaming<P>(
    cx: &Rc<EntryContext<P>>,
    request: &Rc<AdmittedRequest>,
    mut answer: Box<UpstreamAnswer>,
    sent: Box<SentRequest<P>>,
    possible_runs: u32,
) -> Response<BoxBody>
where
    P: Platform,
{
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let res = response_builder(&answer);
    answer.body.expect_events();
    let is_resumable = request.route.is_resumable && answer.body.is_event_stream();
    // An upstream that resumes the stream may frame it differently, which changes its length.
    let length = declared_length(&answer.headers).filter(|_| !is_resumable);
    let relay = StreamRelay {
        cx: Rc::clone(cx),
        request: Rc::clone(request),
        tx,
        sent,
        body: Some(answer.body),
        events: is_resumable.then(|| EventSplitter::after(request.declared.last_event)),
        has_passed_events: request.declared.last_event.is_some(),
        possible_runs,
        chunk_times: ChunkTimes::default(),
        last_event_at: cx.now(),
    };
    let cx = Rc::clone(cx);
    actix_rt::spawn(async move {
        let times = &cx.work_times;
        times.measure(&cx.clock, Work::Requests, relay.run()).await;
    });
    let body = RelayedBody::new(rx, length).counted_for(request.caller.clone());
    with_body(res, BoxBody::new(body))
}

/// Starts a response with the status and the end-to-end headers of an answer.
fn response_builder(answer: &UpstreamAnswer) -> ResponseBuilder {
    let mut res = Response::build(answer.status);
    for (name, value) in &end_to_end(&answer.headers, |name, _| *name != header::CONTENT_LENGTH) {
        res.append_header((name.clone(), value.clone()));
    }
    res
}

fn with_body(mut res: ResponseBuilder, body: BoxBody) -> Response<BoxBody> {
    res.message_body(body)
        .expect("status and headers come from a valid answer")
}

/// The task that relays one stream.
struct StreamRelay<P>
where
    P: Platform,
{
    cx: Rc<EntryContext<P>>,
    request: Rc<AdmittedRequest>,
    tx: mpsc::Sender<BodyPiece>,
    sent: Box<SentRequest<P>>,
    /// `None` while the stream is being resumed at another upstream.
    body: Option<AnswerBody>,
    /// Splits the stream into events; `None` if it is not resumable.
    events: Option<EventSplitter>,
    /// Whether any event was passed on, so that the stream is bound to the software version that
    /// generated it.
    has_passed_events: bool,
    /// Upstreams that may have run the request.
    possible_runs: u32,
    chunk_times: ChunkTimes,
    /// When the upstream last brought an event, or the stream began there.
    last_event_at: Instant,
}

/// Arrival times of a stream's chunks.
#[derive(Default)]
struct ChunkTimes {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_gap: Duration,
    count: u64,
}

impl ChunkTimes {
    /// Records the arrival of a chunk. Returns whether it is the first.
    fn record_chunk(&mut self, now: Instant) -> bool {
        self.count += 1;
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.longest_gap = self.longest_gap.max(gap);
            return false;
        }
        self.first = Some(now);
        true
    }

    /// Mean time between two chunks; none with fewer than two.
    fn mean_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.count.checked_sub(1)?).ok()?;
        let time = self.last?.saturating_duration_since(self.first?);
        time.checked_div(gaps)
    }
}

/// Why relaying from one upstream ended.
enum StreamEnd {
    Complete,
    CallerLeft,
    OutOfTime,
    Failed(CallError),
}

/// Why a stream was not resumed at another upstream.
#[derive(Debug)]
#[derive(Snafu)]
enum NotResumed {
    #[snafu(display("it cannot be resumed"))]
    NotResumable,
    #[snafu(display("its caller has left"))]
    CallerLeft,
    #[snafu(display("it may have run on as many upstreams as its route allows"))]
    NoRunLeft,
    #[snafu(display("the retry budget is spent"))]
    NoRetryLeft,
    #[snafu(display("{}", refusal.reason))]
    NoUpstream { refusal: Refusal },
    #[snafu(display("{}", refusal.reason))]
    Quarantined { refusal: Refusal },
}

impl NotResumed {
    /// Name for metrics and logs.
    fn name(&self) -> &'static str {
        match self {
            Self::NotResumable => "not_resumable",
            Self::CallerLeft => "caller_left",
            Self::NoRunLeft => "no_run_left",
            Self::NoRetryLeft => "no_retry_left",
            Self::NoUpstream { .. } => "no_upstream",
            Self::Quarantined { .. } => "quarantined",
        }
    }
}

impl<P> StreamRelay<P>
where
    P: Platform,
{
    async fn run(mut self) {
        loop {
            let end = self.relay_until_end().await;
            let outcome = match &end {
                StreamEnd::Complete => "complete",
                StreamEnd::CallerLeft => "caller_left",
                StreamEnd::OutOfTime => "out_of_time",
                StreamEnd::Failed(_) => "broken",
            };
            match end {
                StreamEnd::Complete => self.sent.record_complete(&self.request.route.name),
                StreamEnd::Failed(CallError::Incomplete { .. }) => {
                    self.sent.record_broken(&self.request).await;
                }
                StreamEnd::Failed(_) | StreamEnd::OutOfTime => self.sent.note_outcome(Outcome::Bad),
                StreamEnd::CallerLeft => {}
            }
            if self.chunk_times.first.is_some() {
                self.adapt_intake();
            }
            log_answered(
                &self.cx,
                &self.request,
                &self.sent,
                self.body.as_ref(),
                200,
                outcome,
                &self.chunk_times,
            );
            match end {
                StreamEnd::Complete => {
                    let _ = self.tx.send(BodyPiece::End).await;
                    return;
                }
                StreamEnd::Failed(e) => {
                    let from = Rc::clone(&self.sent.upstream);
                    let resumed = self.resume().await;
                    self.log_resumption(&from, &e, &resumed);
                    if resumed.is_ok() {
                        continue;
                    }
                    self.reset_unframed();
                    let _ = self.tx.send(BodyPiece::Failed(e)).await;
                    return;
                }
                // Dropping the sender without `BodyPiece::End` aborts the response.
                StreamEnd::CallerLeft | StreamEnd::OutOfTime => {
                    self.reset_unframed();
                    return;
                }
            }
        }
    }

    /// Has the caller's connection reset if nothing but its close marks the end of the response.
    fn reset_unframed(&self) {
        if self.request.is_unframed
            && let Some(caller) = &self.request.caller
        {
            caller.reset_on_close();
        }
    }

    /// Adapts what engines take in to the pauses of this stream.
    fn adapt_intake(&self) {
        let pause = self.chunk_times.longest_gap;
        let goal = self.request.route.pause_goal;
        if self.request.artifact().is_some() && !goal.is_zero() {
            let mut limits = self.cx.intake_limits.borrow_mut();
            let limit = limits.entry(self.request.service.clone()).or_default();
            limit.record_stream(pause, goal, self.cx.now());
            if let Some(mean) = self.chunk_times.mean_gap() {
                limit.record_event_time(mean);
            }
        }
    }

    /// Records how fast the upstream has read the prompt.
    fn record_reading(&self) {
        if self.request.artifact().is_some() {
            let mut limits = self.cx.intake_limits.borrow_mut();
            let limit = limits.entry(self.request.service.clone()).or_default();
            limit.record_first_event(self.sent.uncached_tokens(), self.sent.elapsed());
        }
    }

    /// Relays chunks until the stream completes, fails or times out, or the caller disconnects.
    async fn relay_until_end(&mut self) -> StreamEnd {
        loop {
            let left = self.request.time_left(self.cx.now());
            if left.is_zero() {
                return StreamEnd::OutOfTime;
            }
            let stall_timeout = self.time_to_stall_check().min(left);
            let Some(body) = &mut self.body else {
                return StreamEnd::OutOfTime;
            };
            let read = tokio::select! {
                read = body.next(stall_timeout) => read,
                () = self.tx.closed() => return StreamEnd::CallerLeft,
                () = caller_closed(&self.request) => return StreamEnd::CallerLeft,
            };
            let piece = match read {
                Ok(Some(piece)) => piece,
                Ok(None) if self.awaits_continuation() => {
                    return self.not_continued("it has no event");
                }
                Ok(None) => return StreamEnd::Complete,
                Err(CallError::Stalled { .. })
                    if self.request.time_left(self.cx.now()).is_zero() =>
                {
                    return StreamEnd::OutOfTime;
                }
                Err(CallError::Stalled { .. }) if self.keeps_stalled() => continue,
                Err(e) => return StreamEnd::Failed(e),
            };
            if self.chunk_times.record_chunk(self.cx.now()) {
                self.record_reading();
                self.cx.metrics.observe_first_byte(
                    self.request
                        .workspace
                        .as_ref()
                        .map_or("", |w| w.name.as_str()),
                    self.cx
                        .now()
                        .saturating_duration_since(self.request.arrived),
                );
            }
            self.sent.record_piece();
            let bytes = match &mut self.events {
                Some(events) => events.push(&piece),
                None => piece,
            };
            let events = self.events.as_ref();
            if events.is_some_and(EventSplitter::is_continuation_broken) {
                return self.not_continued("its first event does not follow the last one");
            }
            if !bytes.is_empty() {
                self.last_event_at = self.cx.now();
                self.record_origin();
            } else if self.has_stalled() && !self.keeps_stalled() {
                let addr = self.sent.upstream.addr;
                let after = self.time_without_event();
                return StreamEnd::Failed(CallError::Stalled { addr, after });
            }
            if bytes.is_empty() {
                continue;
            }
            if let Some(caller) = &self.request.caller {
                let is_queue_empty =
                    || self.tx.capacity() == CHANNEL_CAPACITY || self.tx.is_closed();
                caller.hold_piece(bytes.len(), is_queue_empty).await;
            }
            if self.tx.send(BodyPiece::Bytes(bytes)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }

    /// Whether an upstream that is to continue the stream has sent no event yet.
    fn awaits_continuation(&self) -> bool {
        let events = self.events.as_ref();
        events.is_some_and(EventSplitter::awaits_continuation)
    }

    fn not_continued(&self, reason: &str) -> StreamEnd {
        StreamEnd::Failed(CallError::NotContinued {
            addr: self.sent.upstream.addr,
            reason: reason.to_owned(),
        })
    }

    fn time_without_event(&self) -> Duration {
        self.cx.now().saturating_duration_since(self.last_event_at)
    }

    /// Whether a resumable stream has brought no event for so long that it should go on elsewhere.
    fn has_stalled(&self) -> bool {
        self.events.is_some()
            && self.chunk_times.first.is_some()
            && self.time_without_event() >= STALL_TIMEOUT
    }

    /// Time without data after which a stall is to be considered.
    fn time_to_stall_check(&self) -> Duration {
        if self.events.is_none() || self.chunk_times.first.is_none() {
            return Duration::MAX;
        }
        let left = STALL_TIMEOUT.saturating_sub(self.time_without_event());
        left.max(STALL_RECHECK)
    }

    /// Whether a stalled stream stays at its upstream: no other one can take it, and its caller still
    /// waits.
    fn keeps_stalled(&self) -> bool {
        let waited = self.time_without_event();
        if waited < STALL_TIMEOUT {
            return true;
        }
        if waited >= self.request.route.stream_idle_timeout {
            return false;
        }
        let may_run_again = self.possible_runs < self.request.route.max_upstreams;
        !may_run_again || !pick::can_choose(&self.cx, &self.request, &self.avoided())
    }

    /// The upstreams that cannot continue the stream.
    fn avoided(&self) -> AvoidedUpstreams {
        let mut avoided = AvoidedUpstreams::default();
        avoided.avoid_until(&self.sent.upstream.id, self.cx.now() + AVOID_AFTER_FAILURE);
        if self.has_passed_events {
            avoided.require_software(&self.sent.upstream.software);
        } else if let Some(software) = attempt::bound_software(&self.cx, &self.request) {
            avoided.require_software(&software);
        }
        avoided
    }

    /// Records which software version began the stream, before the caller gets its first event.
    fn record_origin(&mut self) {
        if self.has_passed_events || !self.request.route.is_resumable {
            return;
        }
        self.has_passed_events = true;
        let stream = self.request.stream_key(&self.request.id);
        let software = &self.sent.upstream.software;
        let mut origins = self.cx.origins.borrow_mut();
        origins.record(stream, &self.request.service, software, self.cx.now());
    }

    /// Resumes a broken stream at another upstream, after the last complete event that was relayed.
    async fn resume(&mut self) -> Result<(), NotResumed> {
        let Some(events) = &mut self.events else {
            return Err(NotResumed::NotResumable);
        };
        events.begin_continuation();
        // Close the connection first: only one engine at a time may work on a request.
        self.body = None;
        let last_event = events.last_id();
        // Without an identifier, no upstream can be told where to go on.
        if self.has_passed_events && last_event.is_none() {
            return Err(NotResumed::NotResumable);
        }
        let mut avoided = self.avoided();
        let mut trial = None;
        let mut has_retry = false;
        while self.possible_runs < self.request.route.max_upstreams {
            if let Some(software) = attempt::bound_software(&self.cx, &self.request) {
                avoided.require_software(&software);
            }
            let picked = tokio::select! {
                picked = pick::pick(&self.cx, &self.request, &avoided) => picked,
                () = self.tx.closed() => return Err(NotResumed::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotResumed::CallerLeft),
            };
            let picked = picked.map_err(|refusal| NotResumed::NoUpstream { refusal })?;
            let may_send = tokio::select! {
                may = trial::may_send(&self.cx, &self.request, &mut trial, self.cx.now()) => may,
                () = self.tx.closed() => return Err(NotResumed::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotResumed::CallerLeft),
            };
            match may_send {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return Err(NotResumed::Quarantined { refusal }),
            }
            if !has_retry && !take_retry(&self.cx, &self.request) {
                return Err(NotResumed::NoRetryLeft);
            }
            has_retry = false;
            let time_left = self.request.time_left(self.cx.now());
            let attempt = tokio::select! {
                attempt = attempt::send(
                    &self.cx,
                    &self.request,
                    &picked,
                    (last_event, trial.take()),
                    time_left,
                ) => attempt,
                () = self.tx.closed() => return Err(NotResumed::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotResumed::CallerLeft),
            };
            if let AttemptResult::NotPermitted(unused) = attempt {
                (trial, has_retry) = (unused, true);
                continue;
            }
            avoided.avoid_until(&picked.upstream.id, self.cx.now() + AVOID_AFTER_FAILURE);
            match attempt {
                AttemptResult::Answered(mut answer, sent) if may_continue(&answer) => {
                    answer.body.expect_events();
                    self.sent = sent;
                    self.body = Some(answer.body);
                    self.last_event_at = self.cx.now();
                    self.possible_runs += 1;
                    return Ok(());
                }
                AttemptResult::NotSent(_)
                | AttemptResult::NotRun(_)
                | AttemptResult::NotPermitted(_) => {}
                AttemptResult::Answered(..)
                | AttemptResult::Failed(_)
                | AttemptResult::TimedOut => self.possible_runs += 1,
            }
        }
        Err(NotResumed::NoRunLeft)
    }

    /// Logs and counts whether the stream goes on after `from` failed it with `error`.
    fn log_resumption(&self, from: &Upstream, error: &CallError, resumed: &Result<(), NotResumed>) {
        let (outcome, reason) = match resumed {
            Ok(()) => ("resumed", String::new()),
            Err(e) => (e.name(), e.to_string()),
        };
        let now = self.cx.now();
        self.cx.metrics.count_continuation(outcome);
        if !self.cx.request_log_limiter.try_acquire(now) {
            return;
        }
        let (error, upstream) = (error.to_string(), &self.sent.upstream.id);
        spdlog::info!("stream failed at an upstream", kv: {
            request_id = self.request.id.as_str(), from = from.id.as_str(), error = error.as_str(),
            outcome, reason = reason.as_str(), upstream = upstream.as_str(),
            silent_ms = whole_millis(self.time_without_event()), possible_runs = self.possible_runs
        });
    }
}

/// Whether an answer may continue a stream: nothing else is joined to it, also not with a success.
fn may_continue(answer: &UpstreamAnswer) -> bool {
    answer.status == StatusCode::OK && answer.body.may_be_events()
}

/// Completes when the caller has closed its sending direction, or its connection has failed; never if
/// the connection is not known.
async fn caller_closed(request: &AdmittedRequest) {
    match &request.caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}

fn log_answered<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    sent: &SentRequest<P>,
    body: Option<&AnswerBody>,
    status: u16,
    outcome: &str,
    chunk_times: &ChunkTimes,
) where
    P: Platform,
{
    let ms = whole_millis(cx.now().saturating_duration_since(request.arrived));
    let workspace = request.workspace.as_ref().map_or("", |w| w.name.as_str());
    cx.metrics.count_answer(workspace, status, outcome);
    if !cx.request_log_limiter.try_acquire(cx.now()) {
        return;
    }
    let first = chunk_times
        .first
        .map(|at| at.saturating_duration_since(request.arrived));
    let artifact = request.artifact_key();
    let prompt = request.declared.prompt_text();
    let framing = body.map_or("", |body| body.framing().name());
    let unfinished_event_bytes = body.map_or(0, AnswerBody::unfinished_event_bytes);
    spdlog::info!("request answered", kv: {
        request_id = request.id.as_str(), route = request.route.name.as_str(), workspace,
        upstream = sent.upstream.id.as_str(), artifact = artifact.as_str(), status, outcome, ms,
        upstream_ms = whole_millis(sent.elapsed()), unread = sent.uncached_tokens(),
        first_ms = first.map_or(ms, whole_millis), gap_ms = whole_millis(chunk_times.longest_gap),
        framing, unfinished_event_bytes, chunks = chunk_times.count, prompt = prompt.as_str()
    });
}
