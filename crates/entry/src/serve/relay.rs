//! Passing answers on.
//!
//! A short answer is read whole first, so that a broken one can be told from a whole one before
//! the caller gets any of it. A stream is passed on as it arrives; one that may be resumed goes on
//! at another upstream when the first fails.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, Response, ResponseBuilder, body::BoxBody, header};
use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{events::EventSplitter, health::Outcome};
use comfreyweir_http::{
    body::{Piece, RelayedBody, declared_length},
    headers::end_to_end,
    upstream::{Answer, AnswerBody, CallError},
};
use tokio::{sync::mpsc, time::timeout};

use super::{
    Refusal,
    admitted::Ticket,
    attempt::{self, Attempt, Sent},
    pick::{self, Avoided},
    retry::take_repeat,
};
use crate::{ports::Platform, state::Cx};

/// Largest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Pieces of an answer that may wait for a slow caller.
const PIECES: usize = 16;
/// Pause between events after which a stream is continued elsewhere.
const STALL: Duration = Duration::from_millis(1_500);
/// Time for which a stream is not continued at an upstream that failed it.
const AVOID_FAILED: Duration = Duration::from_secs(10);

/// Reads a whole answer and makes the response.
pub(super) async fn whole<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Ticket,
    mut answer: Box<Answer>,
    mut sent: Sent<P>,
) -> Result<Response<BoxBody>, Refusal>
where
    P: Platform,
{
    sent.started();
    let now = cx.now();
    let left = ticket.left(now).min(cx.time_to_answer(now));
    let is_head = ticket.method == Method::HEAD;
    let body = if is_head {
        Bytes::new()
    } else {
        let read = answer.body.read_all(MAX_WHOLE_BYTES, left);
        match timeout(left, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                sent.judge(Outcome::Bad);
                return Err(Refusal::failed(e.to_string()));
            }
            Err(_) => {
                sent.judge(Outcome::Bad);
                return Err(Refusal::late());
            }
        }
    };
    if !answer.status.is_server_error() {
        sent.judge(Outcome::Good);
    }
    let status = answer.status.as_u16();
    log_answered(cx, ticket, &sent, status, "whole", &Pieces::default());
    let mut res = begin(&answer);
    if is_head {
        if let Some(length) = declared_length(&answer.headers) {
            res.no_chunking(length);
        }
        return Ok(finish(res, BoxBody::new(actix_http::body::None::new())));
    }
    Ok(finish(res, BoxBody::new(body)))
}

/// Makes the response of a stream and passes its events on.
pub(super) fn stream<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Rc<Ticket>,
    answer: Box<Answer>,
    sent: Sent<P>,
    ran: u32,
) -> Response<BoxBody>
where
    P: Platform,
{
    let (tx, rx) = mpsc::channel(PIECES);
    let res = begin(&answer);
    let is_resumable = ticket.route.is_resumable;
    // What continues a stream may frame it differently.
    let length = declared_length(&answer.headers).filter(|_| !is_resumable);
    let relay = Relay {
        cx: Rc::clone(cx),
        ticket: Rc::clone(ticket),
        tx,
        sent,
        body: Some(answer.body),
        events: is_resumable.then(|| EventSplitter::after(ticket.declared.last_event)),
        ran,
        pieces: Pieces::default(),
    };
    actix_rt::spawn(relay.run());
    finish(res, BoxBody::new(RelayedBody::new(rx, length)))
}

/// A response with the status and the headers of an answer.
fn begin(answer: &Answer) -> ResponseBuilder {
    let mut res = Response::build(answer.status);
    for (name, value) in &end_to_end(&answer.headers, |name, _| *name != header::CONTENT_LENGTH) {
        res.append_header((name.clone(), value.clone()));
    }
    res
}

fn finish(mut res: ResponseBuilder, body: BoxBody) -> Response<BoxBody> {
    res.message_body(body)
        .expect("status and headers come from a valid answer")
}

/// A stream that is being passed on.
struct Relay<P>
where
    P: Platform,
{
    cx: Rc<Cx<P>>,
    ticket: Rc<Ticket>,
    tx: mpsc::Sender<Piece>,
    sent: Sent<P>,
    /// Nothing while the stream is being continued elsewhere.
    body: Option<AnswerBody>,
    /// Splits the stream where it may be resumed.
    events: Option<EventSplitter>,
    /// Upstreams that may have run the request.
    ran: u32,
    pieces: Pieces,
}

/// When pieces of a stream came.
#[derive(Default)]
struct Pieces {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_gap: Duration,
}

impl Pieces {
    /// Notes a piece; true for the first.
    fn note(&mut self, now: Instant) -> bool {
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.longest_gap = self.longest_gap.max(gap);
            return false;
        }
        self.first = Some(now);
        true
    }
}

/// How a stream ended.
enum End {
    Complete,
    CallerLeft,
    OutOfTime,
    Failed(CallError),
}

impl<P> Relay<P>
where
    P: Platform,
{
    async fn run(mut self) {
        loop {
            let end = self.pass_on().await;
            let outcome = match &end {
                End::Complete => "complete",
                End::CallerLeft => "caller_left",
                End::OutOfTime => "out_of_time",
                End::Failed(_) => "broken",
            };
            match end {
                End::Complete => self.sent.judge(Outcome::Good),
                End::Failed(_) | End::OutOfTime => self.sent.judge(Outcome::Bad),
                End::CallerLeft => {}
            }
            log_answered(
                &self.cx,
                &self.ticket,
                &self.sent,
                200,
                outcome,
                &self.pieces,
            );
            match end {
                End::Complete => {
                    let _ = self.tx.send(Piece::End).await;
                    return;
                }
                End::Failed(e) => {
                    if self.resume().await {
                        continue;
                    }
                    let _ = self.tx.send(Piece::Failed(e)).await;
                    return;
                }
                // Dropping the sender breaks the response off.
                End::CallerLeft | End::OutOfTime => return,
            }
        }
    }

    /// Passes pieces on until the stream ends in some way.
    async fn pass_on(&mut self) -> End {
        loop {
            let left = self.ticket.left(self.cx.now());
            if left.is_zero() {
                return End::OutOfTime;
            }
            let stall = if self.events.is_some() && self.pieces.first.is_some() {
                STALL.min(left)
            } else {
                left
            };
            let Some(body) = &mut self.body else {
                return End::OutOfTime;
            };
            let read = tokio::select! {
                read = body.next(stall) => read,
                () = self.tx.closed() => return End::CallerLeft,
                () = left_caller(&self.ticket) => return End::CallerLeft,
            };
            let piece = match read {
                Ok(Some(piece)) => piece,
                Ok(None) => return self.complete().await,
                Err(CallError::Stalled { .. }) if self.ticket.left(self.cx.now()).is_zero() => {
                    return End::OutOfTime;
                }
                Err(e) => return End::Failed(e),
            };
            if self.pieces.note(self.cx.now()) {
                self.cx.metrics.first_byte(
                    self.ticket
                        .workspace
                        .as_ref()
                        .map_or("", |w| w.name.as_str()),
                    self.cx.now().saturating_duration_since(self.ticket.arrived),
                );
            }
            self.sent.started();
            let bytes = match &mut self.events {
                Some(events) => events.push(&piece),
                None => piece,
            };
            if !bytes.is_empty() && self.tx.send(Piece::Bytes(bytes)).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    async fn complete(&mut self) -> End {
        let rest = self
            .events
            .as_mut()
            .map(EventSplitter::rest)
            .unwrap_or_default();
        if !rest.is_empty() && self.tx.send(Piece::Bytes(rest)).await.is_err() {
            return End::CallerLeft;
        }
        End::Complete
    }

    /// Continues a broken stream at another upstream, after the last event that the caller has.
    async fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        events.drop_partial();
        // Closed before another is asked: only one engine may work on a request.
        self.body = None;
        let last_event = events.last_id();
        let mut avoided = Avoided::default();
        avoided.until(&self.sent.upstream.id, self.cx.now() + AVOID_FAILED);
        while self.ran < self.ticket.route.max_upstreams {
            if !take_repeat(&self.cx, &self.ticket) {
                return false;
            }
            let picked = tokio::select! {
                picked = pick::pick(&self.cx, &self.ticket, &avoided) => picked,
                () = self.tx.closed() => return false,
                () = left_caller(&self.ticket) => return false,
            };
            let Ok(picked) = picked else { return false };
            let limit = self.ticket.left(self.cx.now());
            let attempt = tokio::select! {
                attempt = attempt::send(&self.cx, &self.ticket, &picked, last_event, limit) => attempt,
                () = self.tx.closed() => return false,
                () = left_caller(&self.ticket) => return false,
            };
            avoided.until(&picked.upstream.id, self.cx.now() + AVOID_FAILED);
            match attempt {
                Attempt::Answered(answer, sent) if answer.status.is_success() => {
                    self.sent = sent;
                    self.body = Some(answer.body);
                    self.ran += 1;
                    return true;
                }
                Attempt::NotSent(_) | Attempt::NotRun(_) => {}
                Attempt::Answered(..) | Attempt::Failed(_) | Attempt::Silent => self.ran += 1,
            }
        }
        false
    }
}

/// Completes when the caller has closed its connection.
async fn left_caller(ticket: &Ticket) {
    match &ticket.caller {
        Some(caller) => caller.left().await,
        None => std::future::pending().await,
    }
}

fn log_answered<P>(
    cx: &Cx<P>,
    ticket: &Ticket,
    sent: &Sent<P>,
    status: u16,
    outcome: &str,
    pieces: &Pieces,
) where
    P: Platform,
{
    let ms = whole_millis(cx.now().saturating_duration_since(ticket.arrived));
    let workspace = ticket.workspace.as_ref().map_or("", |w| w.name.as_str());
    cx.metrics.answered(workspace, status, outcome);
    if !cx.lines.take(cx.now()) {
        return;
    }
    let first = pieces
        .first
        .map(|at| at.saturating_duration_since(ticket.arrived));
    let artifact = ticket.load_key();
    spdlog::info!("request answered", kv: {
        request_id = ticket.id.as_str(), route = ticket.route.name.as_str(), workspace,
        upstream = sent.upstream.id.as_str(), artifact = artifact.as_str(), status, outcome, ms,
        upstream_ms = whole_millis(sent.age()), unread = sent.unread(),
        first_ms = first.map_or(ms, whole_millis), gap_ms = whole_millis(pieces.longest_gap)
    });
}
