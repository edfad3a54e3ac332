//! Completions that are answered as a stream of events.
//!
//! When an engine fails in the middle, the stream goes on from another replica after the tokens
//! that the caller already has. Where that cannot be done the stream ends with an error event and
//! without `[DONE]`, so that a part is never taken for the whole.

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
    Job,
    attempt::{self, Failure, Opened, Tries},
    chunk::Progress,
    events::{self, Event, Events},
};
use crate::{
    Refusal, allowances::Allowances, context::Cx, dispatch::Run, metrics::Outcome,
    placement_view::PlacementView, upstream::AnswerBody,
};

/// Tokens that an engine may have made for a caller that left, beyond those that were received.
const CANCEL_SLACK_TOKENS: u64 = 16;
/// Time that an engine has for closing a stream after its last event.
const CLOSE_TIME: Duration = Duration::from_millis(20);

/// An engine that sends events.
struct Source<A>
where
    A: Allowances,
{
    run: Run<A>,
    body: AnswerBody,
    events: Events,
}

/// A stream on its way to the caller.
struct Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    cx: Rc<Cx<A, V>>,
    job: Job,
    source: Option<Source<A>>,
    tries: Tries,
    progress: Progress,
    last_token: Instant,
    first: Option<Bytes>,
    outcome: Option<Outcome>,
}

/// Answers as a stream, once the first event is there.
pub(super) async fn serve<A, V>(cx: &Rc<Cx<A, V>>, job: Job) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let progress = Progress::new(job.ask.wants_usage, SystemClock.wall());
    let mut streamer = Streamer {
        cx: Rc::clone(cx),
        job,
        source: None,
        tries: Tries::default(),
        progress,
        last_token: Instant::now(),
        first: None,
        outcome: None,
    };
    streamer.begin().await?;
    let events = stream::unfold(streamer, |mut streamer| async move {
        let bytes = streamer.next().await?;
        Some((Ok::<_, Infallible>(bytes), streamer))
    });
    Ok(response(BodyStream::new(Box::pin(events))))
}

impl<A, V> Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    /// Opens a source and waits for its first event, so that a failure before it can still be
    /// told by the status.
    async fn begin(&mut self) -> Result<(), Refusal> {
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        loop {
            self.open().await?;
            let piece = timeout_at(deadline, self.read()).await;
            match piece {
                Ok(Ok(piece)) => {
                    self.first = Some(piece);
                    self.note_first();
                    return Ok(());
                }
                Ok(Err(failure)) => self.fail(failure)?,
                Err(_) => return Err(attempt::late().run_unknown()),
            }
        }
    }

    /// The next bytes for the caller; `None` after the last.
    async fn next(&mut self) -> Option<Bytes> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        loop {
            if self.outcome.is_some() {
                return None;
            }
            let failure = match self.read().await {
                Ok(bytes) => return Some(bytes),
                Err(failure) => failure,
            };
            if self.progress.is_complete() {
                self.finish();
                return Some(events::done());
            }
            if let Err(refusal) = self.resume(failure).await {
                return Some(self.give_up(&refusal));
            }
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.fail(failure)?;
        // The first token was in time; what follows has the time that the request had.
        let time = self.job.deadline - self.job.arrived;
        self.job.deadline = Instant::now() + time;
        self.open().await?;
        self.cx.metrics.resumed();
        Ok(())
    }

    async fn open(&mut self) -> Result<(), Refusal> {
        let done = self.progress.tokens();
        let opened = attempt::open(&self.cx, &self.job, done, &mut self.tries).await?;
        let Opened { run, answer } = opened;
        self.progress.begin_source();
        self.source = Some(Source {
            run,
            body: answer.body,
            events: Events::default(),
        });
        Ok(())
    }

    /// Reads what can be sent to the caller next.
    async fn read(&mut self) -> Result<Bytes, Failure> {
        let stall = Duration::from_millis(self.cx.settings.limits.stall_ms);
        loop {
            let Some(source) = &mut self.source else {
                return Err(Failure::MayHaveRun("no engine".to_owned()));
            };
            let event = source.events.take();
            match event.map_err(|e| Failure::MayHaveRun(e.0))? {
                Some(Event::Done) => return self.end().await,
                Some(Event::Chunk(chunk)) => {
                    if let Some(bytes) = self.chunk(chunk)? {
                        return Ok(bytes);
                    }
                }
                None => {
                    let piece = source.body.next(stall).await;
                    match piece.map_err(|e| attempt::body_failure(&e))? {
                        Some(piece) => source.events.push(&piece),
                        None => return Err(Failure::MayHaveRun("its stream was cut".to_owned())),
                    }
                }
            }
        }
    }

    fn chunk(&mut self, chunk: Value) -> Result<Option<Bytes>, Failure> {
        let before = self.progress.tokens();
        let chunk = self.progress.take(chunk).map_err(Failure::MayHaveRun)?;
        if self.progress.tokens() > before {
            self.note_token();
            let used = self.job.ask.prompt_tokens + self.progress.source_tokens();
            if let Some(source) = &mut self.source {
                source.run.progress(used);
            }
        }
        Ok(chunk.map(|chunk| events::encode(&chunk)))
    }

    async fn end(&mut self) -> Result<Bytes, Failure> {
        if let Some(source) = &mut self.source {
            // Reading to the end lets the connection serve another call.
            let _ = source.body.next(CLOSE_TIME).await;
        }
        self.finish();
        Ok(events::done())
    }

    fn fail(&mut self, failure: Failure) -> Result<(), Refusal> {
        let upstream = self.source.as_ref().map(|source| {
            source.run.slot.note_failed();
            source.run.upstream.clone()
        });
        self.settle_part();
        let upstream = upstream.unwrap_or_default();
        self.tries.note(&self.job, &upstream, failure)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source.run.finish(self.progress.used_tokens());
        }
        self.note_outcome(Outcome::Whole);
    }

    fn give_up(&mut self, refusal: &Refusal) -> Bytes {
        self.settle_part();
        self.note_outcome(Outcome::Incomplete);
        let message = format!("the answer is incomplete: {}", refusal.message);
        let refusal = Refusal {
            message,
            ..refusal.clone().run_unknown()
        };
        Bytes::from(format!("data: {}\n\n", refusal.to_json()))
    }

    /// Settles a source that was not read to its end.
    fn settle_part(&mut self) {
        if let Some(source) = self.source.take() {
            let prompt = self.job.ask.prompt_tokens;
            let used = prompt + self.progress.source_tokens() + CANCEL_SLACK_TOKENS;
            source.run.settle(used);
        }
    }

    fn note_first(&mut self) {
        self.last_token = Instant::now();
        if let Some(source) = &self.source {
            source.run.slot.note_answer(true);
        }
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        let time = self.job.arrived.elapsed();
        self.cx.metrics.first_token(workspace, catalog, time);
    }

    fn note_token(&mut self) {
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        let time = self.last_token.elapsed();
        if self.progress.tokens() > 1 {
            self.cx.metrics.between_tokens(workspace, catalog, time);
        }
        self.last_token = Instant::now();
    }

    fn note_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
        let catalog = &self.cx.follower.current().catalog;
        let workspace = &self.job.identity.workspace;
        self.cx.metrics.answered(workspace, catalog, outcome);
    }
}

impl<A, V> Drop for Streamer<A, V>
where
    A: Allowances,
    V: PlacementView,
{
    fn drop(&mut self) {
        if self.source.is_some() {
            self.settle_part();
            self.note_outcome(Outcome::Left);
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
