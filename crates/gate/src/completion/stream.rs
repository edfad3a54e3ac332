//! Completions that are answered as a stream of server-sent events.
//!
//! When an engine fails during a stream, another replica resumes it after the tokens that the
//! caller already has. If that is not possible, the stream ends with an error event and without
//! `[DONE]`, so that the caller never takes a partial answer for a complete one.

use std::{
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{self, HeaderValue},
};
use bytes::Bytes;
use comfreyweir_clock::{Clock, SystemClock};
use futures_util::stream;
use serde_json::Value;
use tokio::time::timeout_at;

use super::{
    CompletionJob,
    attempt::{self, ActiveCall, Attempts, Failure},
    chunk::StreamProgress,
    events::{self, Event, EventParser},
};
use crate::{
    Refusal, allowances::Allowances, context::GateContext, dispatch::EngineCall,
    metrics::AnswerOutcome, placement_view::PlacementView, upstream::AnswerBody,
};

/// Tokens that an engine may have generated beyond those received, when its stream was not read to
/// the end. They are charged in addition.
const CANCEL_SLACK_TOKENS: u64 = 16;
/// Time limit for the engine to close its stream after the `[DONE]` event.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// The engine that currently serves the stream.
struct EngineStream<A>
where
    A: Allowances,
{
    call: EngineCall<A>,
    body: AnswerBody,
    events: EventParser,
}

/// The stream to one caller. If it is dropped before its end, the caller has disconnected: the
/// charge of the current engine is settled with the tokens received so far and
/// [`CANCEL_SLACK_TOKENS`].
struct Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    cx: Rc<GateContext<A, V>>,
    job: CompletionJob,
    engine: Option<EngineStream<A>>,
    attempts: Attempts,
    progress: StreamProgress,
    last_token: Instant,
    first_event: Option<Bytes>,
    outcome: Option<AnswerOutcome>,
}

/// Responds with a stream once the first event has been received.
pub(super) async fn serve<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: CompletionJob,
) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let progress = StreamProgress::new(job.request.wants_usage, SystemClock.wall());
    let mut streamer = Streamer {
        cx: Rc::clone(cx),
        job,
        engine: None,
        attempts: Attempts::default(),
        progress,
        last_token: Instant::now(),
        first_event: None,
        outcome: None,
    };
    streamer.wait_for_first_event().await?;
    let events = stream::unfold(streamer, |mut streamer| async move {
        let bytes = streamer.next_bytes().await?;
        Some((Ok::<_, Infallible>(bytes), streamer))
    });
    Ok(response(BodyStream::new(Box::pin(events))))
}

impl<A, V> Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    /// Waits for the first event of an engine, trying other engines on failure. A failure up to
    /// this point can still be reported by the response status.
    async fn wait_for_first_event(&mut self) -> Result<(), Refusal> {
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        loop {
            self.open_engine().await?;
            let event = timeout_at(deadline, self.read_event()).await;
            match event {
                Ok(Ok(event)) => {
                    self.first_event = Some(event);
                    self.record_first_event();
                    return Ok(());
                }
                Ok(Err(failure)) => self.handle_failure(failure)?,
                Err(_) => return Err(attempt::deadline_exceeded().run_unknown()),
            }
        }
    }

    /// The next bytes for the caller; `None` after the last.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if let Some(event) = self.first_event.take() {
            return Some(event);
        }
        loop {
            if self.outcome.is_some() {
                return None;
            }
            let failure = match self.read_event().await {
                Ok(bytes) => return Some(bytes),
                Err(failure) => failure,
            };
            if self.progress.is_complete() {
                self.finish();
                return Some(events::end_event());
            }
            if let Err(refusal) = self.resume(failure).await {
                return Some(self.end_with_error(&refusal));
            }
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.handle_failure(failure)?;
        // The deadline applies to the first token, which was in time. The resumed call gets as much
        // time again.
        let time = self.job.deadline - self.job.arrived;
        self.job.deadline = Instant::now() + time;
        self.open_engine().await?;
        self.cx.metrics.count_resumed_stream();
        Ok(())
    }

    async fn open_engine(&mut self) -> Result<(), Refusal> {
        let delivered_tokens = self.progress.tokens();
        let active_call =
            attempt::start_call(&self.cx, &self.job, delivered_tokens, &mut self.attempts).await?;
        let ActiveCall { call, answer } = active_call;
        self.progress.begin_engine();
        self.engine = Some(EngineStream {
            call,
            body: answer.body,
            events: EventParser::default(),
        });
        Ok(())
    }

    /// Reads from the engine until there is an event for the caller.
    async fn read_event(&mut self) -> Result<Bytes, Failure> {
        let stall_timeout = Duration::from_millis(self.cx.settings.limits.stall_ms);
        loop {
            let Some(engine) = &mut self.engine else {
                return Err(Failure::MayHaveRun("no engine".to_owned()));
            };
            let event = engine.events.next_event();
            match event.map_err(|e| Failure::MayHaveRun(e.0))? {
                Some(Event::Done) => return self.read_to_close().await,
                Some(Event::Chunk(chunk)) => {
                    if let Some(bytes) = self.process_chunk(chunk)? {
                        return Ok(bytes);
                    }
                }
                None => {
                    let piece = engine.body.next(stall_timeout).await;
                    match piece.map_err(|e| attempt::body_read_failure(&e))? {
                        Some(piece) => engine.events.push(&piece),
                        None => return Err(Failure::MayHaveRun("its stream was cut".to_owned())),
                    }
                }
            }
        }
    }

    fn process_chunk(&mut self, chunk: Value) -> Result<Option<Bytes>, Failure> {
        let before = self.progress.tokens();
        let chunk = self
            .progress
            .apply_chunk(chunk)
            .map_err(Failure::MayHaveRun)?;
        if self.progress.tokens() > before {
            self.record_token();
            let used = self.job.request.prompt_tokens + self.progress.engine_tokens();
            if let Some(engine) = &mut self.engine {
                engine.call.progress(used);
            }
        }
        Ok(chunk.map(|chunk| events::encode_event(&chunk)))
    }

    async fn read_to_close(&mut self) -> Result<Bytes, Failure> {
        if let Some(engine) = &mut self.engine {
            // Reading to the end lets the connection serve another call.
            let _ = engine.body.next(CLOSE_TIMEOUT).await;
        }
        self.finish();
        Ok(events::end_event())
    }

    fn handle_failure(&mut self, failure: Failure) -> Result<(), Refusal> {
        let upstream = self.engine.as_ref().map(|engine| {
            engine.call.running_call.note_failed();
            engine.call.upstream.clone()
        });
        self.settle_incomplete();
        let upstream = upstream.unwrap_or_default();
        self.attempts.record_failure(&self.job, &upstream, failure)
    }

    fn finish(&mut self) {
        if let Some(engine) = self.engine.take() {
            engine.call.finish(self.progress.used_tokens());
        }
        self.record_outcome(AnswerOutcome::Whole);
    }

    fn end_with_error(&mut self, refusal: &Refusal) -> Bytes {
        self.settle_incomplete();
        self.record_outcome(AnswerOutcome::Incomplete);
        let message = format!("the answer is incomplete: {}", refusal.message);
        let refusal = Refusal {
            message,
            ..refusal.clone().run_unknown()
        };
        Bytes::from(format!("data: {}\n\n", refusal.to_json()))
    }

    /// Settles the charge of an engine whose stream was not read to its end.
    fn settle_incomplete(&mut self) {
        if let Some(engine) = self.engine.take() {
            let prompt = self.job.request.prompt_tokens;
            let used = prompt + self.progress.engine_tokens() + CANCEL_SLACK_TOKENS;
            engine.call.settle(used);
        }
    }

    fn record_first_event(&mut self) {
        self.last_token = Instant::now();
        if let Some(engine) = &self.engine {
            engine.call.running_call.note_answer(true);
        }
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        let time = self.job.arrived.elapsed();
        self.cx
            .metrics
            .observe_first_token(workspace, catalog, time);
    }

    fn record_token(&mut self) {
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        let time = self.last_token.elapsed();
        if self.progress.tokens() > 1 {
            self.cx.metrics.observe_token_gap(workspace, catalog, time);
        }
        self.last_token = Instant::now();
    }

    fn record_outcome(&mut self, outcome: AnswerOutcome) {
        self.outcome = Some(outcome);
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        self.cx.metrics.count_answer(workspace, catalog, outcome);
    }
}

impl<A, V> Drop for Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    fn drop(&mut self) {
        if self.engine.is_some() {
            self.settle_incomplete();
            self.record_outcome(AnswerOutcome::Left);
        }
    }
}

fn response<B>(body: B) -> Response<BoxBody>
where
    B: actix_http::body::MessageBody + 'static,
{
    let mut res = Response::build(StatusCode::OK);
    res.insert_header((
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    ));
    res.insert_header((header::CACHE_CONTROL, HeaderValue::from_static("no-cache")));
    res.body(body).map_into_boxed_body()
}
