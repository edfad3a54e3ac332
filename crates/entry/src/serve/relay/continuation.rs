//! Continuation of streams at other upstreams.
//!
//! A stream whose upstream has failed is resumed at another one. A stream that stalls is handed over: its
//! upstream may be sound, and slow for a moment, so it is left only once another one has taken the stream.
//! Whatever keeps the stream from going on elsewhere, its upstream still works on it.

use std::{pin::pin, rc::Rc, time::Duration};

use actix_http::StatusCode;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::upstream::Upstream;
use comfreyweir_http::{
    event_stream::EventSplitter,
    upstream::{CallError, CallProgress, UpstreamAnswer},
};
use snafu::Snafu;
use tokio::time::timeout;

use super::{StreamEnd, StreamRelay, caller_closed};
use crate::{
    platform::Platform,
    serve::{
        Refusal,
        attempt::{self, AttemptResult, HeadWait, SentRequest},
        pick::{self, AvoidedUpstreams, PickedUpstream},
        retry::take_retry,
        trial,
    },
};

/// Time without an event, after the first chunk, after which a resumable stream is handed over to another
/// upstream that can take it.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause until it is checked again whether another upstream can take a stalled stream.
const STALL_RECHECK: Duration = Duration::from_millis(250);
/// Time for which a stream is not continued at an upstream that failed it or did not take it.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(10);
/// Longest time for which two upstreams may work on a stream that is handed over. One that turns it away
/// does so at once.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// The answer that continues a stream, and the request that it answers.
pub(super) type Continuation<P> = (Box<UpstreamAnswer>, Box<SentRequest<P>>);

/// Why another upstream does not continue a stream.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum NotContinued {
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
    #[snafu(display("upstream {to} did not take it, and it stays where it is"))]
    Declined { to: String },
}

impl NotContinued {
    /// Name for metrics and logs.
    fn name(&self) -> &'static str {
        match self {
            Self::NotResumable => "not_resumable",
            Self::CallerLeft => "caller_left",
            Self::NoRunLeft => "no_run_left",
            Self::NoRetryLeft => "no_retry_left",
            Self::NoUpstream { .. } => "no_upstream",
            Self::Quarantined { .. } => "quarantined",
            Self::Declined { .. } => "declined",
        }
    }
}

impl<P> StreamRelay<P>
where
    P: Platform,
{
    fn time_without_event(&self) -> Duration {
        self.cx.now().saturating_duration_since(self.last_event_at)
    }

    /// Whether a resumable stream has brought no event for so long that it should go on elsewhere.
    pub(super) fn has_stalled(&self) -> bool {
        self.events.is_some()
            && self.chunk_times.first.is_some()
            && self.time_without_event() >= STALL_TIMEOUT
    }

    /// Time without data after which a stall is to be considered.
    pub(super) fn time_to_stall_check(&self) -> Duration {
        if self.events.is_none() || self.chunk_times.first.is_none() {
            return Duration::MAX;
        }
        let left = STALL_TIMEOUT.saturating_sub(self.time_without_event());
        left.max(STALL_RECHECK)
    }

    /// Hands a stalled stream over to another upstream that can take it now, if there is one. Returns how
    /// relaying from its upstream has ended; `None` if the stream stays there.
    ///
    /// Nothing is read from its upstream meanwhile: the other one continues after the last event that
    /// was relayed.
    pub(super) async fn hand_over(&mut self) -> Option<StreamEnd<P>> {
        let (picked, last_event) = self.handover_target()?;
        let (cx, request) = (Rc::clone(&self.cx), Rc::clone(&self.request));
        let progress = CallProgress::new();
        let left = request.time_left(cx.now());
        let position = (last_event, None);
        let wait = HeadWait::until(left);
        let attempt = attempt::send(&cx, &request, &picked, position, wait, &progress);
        let mut attempt = pin!(attempt);
        let early = tokio::select! {
            attempt = timeout(MAX_OVERLAP, &mut attempt) => attempt,
            () = self.tx.closed() => return Some(StreamEnd::CallerLeft),
            () = caller_closed(&request) => return Some(StreamEnd::CallerLeft),
        };
        let attempt = match early {
            Ok(attempt) => attempt,
            Err(_) if !progress.has_written_bytes() => {
                AttemptResult::NotSent("no connection in time".to_owned())
            }
            Err(_) => {
                self.body = None;
                tokio::select! {
                    attempt = &mut attempt => attempt,
                    () = self.tx.closed() => return Some(StreamEnd::CallerLeft),
                    () = caller_closed(&request) => return Some(StreamEnd::CallerLeft),
                }
            }
        };
        match attempt {
            AttemptResult::Answered(answer, sent) if may_continue(&answer) => {
                return Some(StreamEnd::HandedOver((answer, sent)));
            }
            AttemptResult::NotSent(_)
            | AttemptResult::NotRun(_)
            | AttemptResult::NotPermitted(_) => {}
            AttemptResult::Answered(..) | AttemptResult::Failed(_) | AttemptResult::TimedOut => {
                self.possible_runs += 1;
            }
        }
        let now = self.cx.now();
        let to = picked.upstream.id.clone();
        self.next_handover_at = now + STALL_TIMEOUT;
        self.declined_by = Some((to.clone(), now + AVOID_AFTER_FAILURE));
        if self.body.is_none() {
            return Some(StreamEnd::Failed(self.stall_error()));
        }
        let from = Rc::clone(&self.sent.upstream);
        let declined = NotContinued::Declined { to };
        self.log_continuation(&from, &self.stall_error(), &Err(declined));
        None
    }

    /// The upstream to which a stalled stream is to be handed over now, and the last event that it is
    /// told. Takes a retry from the budget.
    fn handover_target(&self) -> Option<(PickedUpstream, Option<u64>)> {
        let now = self.cx.now();
        let may_run_again = self.possible_runs < self.request.route.max_upstreams;
        let last_event = self.events.as_ref().and_then(EventSplitter::last_id);
        // Without an identifier, no upstream can be told where to go on.
        let has_position = !self.has_passed_events || last_event.is_some();
        let is_due = self.has_stalled() && now >= self.next_handover_at;
        if !(is_due && may_run_again && has_position) {
            return None;
        }
        let picked = pick::pick_now(&self.cx, &self.request, &self.avoided())?;
        let may_send =
            trial::is_unneeded(&self.cx, &self.request, now) && take_retry(&self.cx, &self.request);
        may_send.then_some((picked, last_event))
    }

    /// Goes on with the answer of another upstream. Closes the connection to the one before: only one
    /// engine at a time may work on a request.
    pub(super) fn take_over(&mut self, (mut answer, sent): Continuation<P>) {
        if let Some(events) = &mut self.events {
            events.begin_continuation();
        }
        answer.body.expect_events();
        self.body = Some(answer.body);
        self.sent = sent;
        self.last_event_at = self.cx.now();
        self.possible_runs += 1;
    }

    /// The pause of a stalled stream.
    pub(super) fn stall_error(&self) -> CallError {
        CallError::Stalled {
            addr: self.sent.upstream.addr,
            after: self.time_without_event(),
        }
    }

    /// The upstreams that cannot continue the stream.
    fn avoided(&self) -> AvoidedUpstreams {
        let mut avoided = AvoidedUpstreams::default();
        avoided.avoid_until(&self.sent.upstream.id, self.cx.now() + AVOID_AFTER_FAILURE);
        if let Some((id, until)) = &self.declined_by {
            avoided.avoid_until(id, *until);
        }
        if self.has_passed_events {
            avoided.require_software(&self.sent.upstream.software);
        } else if let Some(software) = attempt::bound_software(&self.cx, &self.request) {
            avoided.require_software(&software);
        }
        avoided
    }

    /// Resumes a broken stream at another upstream, after the last complete event that was relayed.
    pub(super) async fn resume(&mut self) -> Result<(), NotContinued> {
        let Some(events) = &mut self.events else {
            return Err(NotContinued::NotResumable);
        };
        events.begin_continuation();
        // Close the connection first: only one engine at a time may work on a request.
        self.body = None;
        let last_event = events.last_id();
        // Without an identifier, no upstream can be told where to go on.
        if self.has_passed_events && last_event.is_none() {
            return Err(NotContinued::NotResumable);
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
                () = self.tx.closed() => return Err(NotContinued::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotContinued::CallerLeft),
            };
            let picked = picked.map_err(|refusal| NotContinued::NoUpstream { refusal })?;
            let may_send = tokio::select! {
                may = trial::may_send(&self.cx, &self.request, &mut trial, self.cx.now()) => may,
                () = self.tx.closed() => return Err(NotContinued::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotContinued::CallerLeft),
            };
            match may_send {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return Err(NotContinued::Quarantined { refusal }),
            }
            if !has_retry && !take_retry(&self.cx, &self.request) {
                return Err(NotContinued::NoRetryLeft);
            }
            has_retry = false;
            let time_left = self.request.time_left(self.cx.now());
            let progress = CallProgress::new();
            let attempt = tokio::select! {
                attempt = attempt::send(
                    &self.cx,
                    &self.request,
                    &picked,
                    (last_event, trial.take()),
                    HeadWait::until(time_left),
                    &progress,
                ) => attempt,
                () = self.tx.closed() => return Err(NotContinued::CallerLeft),
                () = caller_closed(&self.request) => return Err(NotContinued::CallerLeft),
            };
            if let AttemptResult::NotPermitted(unused) = attempt {
                (trial, has_retry) = (unused, true);
                continue;
            }
            avoided.avoid_until(&picked.upstream.id, self.cx.now() + AVOID_AFTER_FAILURE);
            match attempt {
                AttemptResult::Answered(answer, sent) if may_continue(&answer) => {
                    self.take_over((answer, sent));
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
        Err(NotContinued::NoRunLeft)
    }

    /// Logs and counts whether the stream goes on after `from` failed it with `error`.
    pub(super) fn log_continuation(
        &self,
        from: &Upstream,
        error: &CallError,
        continued: &Result<(), NotContinued>,
    ) {
        let (outcome, reason) = match continued {
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
