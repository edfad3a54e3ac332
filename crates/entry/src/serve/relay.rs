//! Relays answers to callers.
//!
//! Any answer but a successful stream is buffered completely, so that a truncated one is detected
//! before the caller gets any of it. Streams are relayed as they arrive; a resumable stream
//! continues at another upstream when the first one fails or stalls.

mod continuation;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, Response, ResponseBuilder, body::BoxBody, header};
use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::health::Outcome;
use comfreyweir_http::{
    body::{BodyPiece, PiecedBody, RelayedBody, declared_length},
    event_stream::EventSplitter,
    headers::end_to_end,
    upstream::{AnswerBody, CallError, UpstreamAnswer},
};
use tokio::{sync::mpsc, time::timeout};

use self::continuation::Continuation;
use super::{Refusal, admitted::AdmittedRequest, attempt::SentRequest};
use crate::{platform::Platform, state::EntryContext, work_times::Work};

/// Maximum size of a buffered answer, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Chunks of a stream that are buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 16;

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
        next_handover_at: cx.now(),
        declined_by: None,
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
    /// When the stream may be handed over again after another upstream did not take it.
    next_handover_at: Instant,
    /// The upstream that did not take the stream, and until when it is not asked again.
    declined_by: Option<(String, Instant)>,
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
enum StreamEnd<P>
where
    P: Platform,
{
    Complete,
    CallerLeft,
    OutOfTime,
    Failed(CallError),
    /// It stalls, and another upstream has begun to continue it.
    HandedOver(Continuation<P>),
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
                StreamEnd::HandedOver(_) => "handed_over",
            };
            match end {
                StreamEnd::Complete => self.sent.record_complete(&self.request.route.name),
                StreamEnd::Failed(CallError::Incomplete { .. }) => {
                    self.sent.record_broken(&self.request).await;
                }
                StreamEnd::Failed(_) | StreamEnd::OutOfTime | StreamEnd::HandedOver(_) => {
                    self.sent.note_outcome(Outcome::Bad);
                }
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
                StreamEnd::HandedOver(continuation) => {
                    let (from, stall) = (Rc::clone(&self.sent.upstream), self.stall_error());
                    self.take_over(continuation);
                    self.log_continuation(&from, &stall, &Ok(()));
                }
                StreamEnd::Failed(e) => {
                    let from = Rc::clone(&self.sent.upstream);
                    let resumed = self.resume().await;
                    self.log_continuation(&from, &e, &resumed);
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
    async fn relay_until_end(&mut self) -> StreamEnd<P> {
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
                Err(CallError::Stalled { .. }) => match self.hand_over().await {
                    Some(end) => return end,
                    None => continue,
                },
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
            if bytes.is_empty() {
                match self.hand_over().await {
                    Some(end) => return end,
                    None => continue,
                }
            }
            self.last_event_at = self.cx.now();
            self.record_origin();
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

    fn not_continued(&self, reason: &str) -> StreamEnd<P> {
        StreamEnd::Failed(CallError::NotContinued {
            addr: self.sent.upstream.addr,
            reason: reason.to_owned(),
        })
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
