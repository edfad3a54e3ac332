//! Whether the upstreams that could run a request have room for it, and requests that wait for that.

use std::time::{Duration, Instant};

use comfreyweir_clock::Clock;
use comfreyweir_fleet::{
    directory::UpstreamProcess,
    intake::Urgency,
    limits::{Room, Ticket},
};

use super::{
    admitted::AdmittedRequest,
    pick::{AvoidedUpstreams, holds_artifact},
};
use crate::{platform::Platform, state::EntryContext, zones};

/// Time that a cold upstream needs at least for an answer. A request with less time left neither waits for
/// one nor is sent there: its answer would come too late.
const COLD_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Fraction of a request's total time that [`COLD_ANSWER_TIME`] takes at most.
const COLD_ANSWER_FRACTION: f64 = 0.25;

/// Time that a request must have left to be sent to a cold upstream.
fn cold_answer_time(request: &AdmittedRequest, now: Instant) -> Duration {
    let waited = now.saturating_duration_since(request.arrived);
    let total = waited.saturating_add(request.time_left_to_first_byte(now));
    COLD_ANSWER_TIME.min(total.mul_f64(COLD_ANSWER_FRACTION))
}

/// Whether a request has too little time left for a cold upstream.
pub(super) fn is_too_late_for_cold(request: &AdmittedRequest, now: Instant) -> bool {
    request.time_left_to_first_byte(now) < cold_answer_time(request, now)
}

/// Time until one of the upstreams that could run a request wants requests again; none if there is
/// no such upstream.
pub(super) fn time_closed<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
    now: Instant,
) -> Option<Duration>
where
    P: Platform,
{
    let closed = closed_times(cx, request, avoided, None, now).into_iter();
    closed.map(|closed| closed.time).min()
}

/// Time until one of the upstreams that could run a request wants requests again, if none of them does
/// in the time left, or has room within its limit.
pub(super) fn hopeless_for(closed: &[ClosedTime], left: Duration) -> Option<Duration> {
    let is_hopeless = closed.iter().all(|c| c.is_full || c.time > left);
    let times = closed.iter().map(|closed| closed.time);
    times.min().filter(|_| is_hopeless)
}

/// How long an upstream wants no requests.
pub(super) struct ClosedTime {
    time: Duration,
    /// Whether that is because requests of all instances use up the limit that it names.
    is_full: bool,
    /// Whether it is cold. Requests wait for it as long as they can be served in time.
    is_cold: bool,
}

/// How long each of the upstreams that could run a request wants none.
pub(super) fn closed_times<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
    permit_wait: Option<&PermitWait<'_, P>>,
    now: Instant,
) -> Vec<ClosedTime>
where
    P: Platform,
{
    let directory = cx.directory.borrow();
    let closures = cx.closures.borrow();
    let limits = cx.limits.borrow();
    let since_boot = cx.clock.since_boot();
    let ready = zones::ready(cx, &directory, request);
    let able = ready.filter(|u| {
        avoided.has_required_software(u)
            && request
                .artifact()
                .is_none_or(|a| holds_artifact(cx, u, a, now))
    });
    let cold_answer_time = cold_answer_time(request, now);
    let closed = able.map(|u| {
        let closed_for = closures.time_closed(&u.id, now);
        let process = UpstreamProcess::of(u);
        let is_cold = limits.cold(&process, since_boot).is_some();
        let room = limits.room(&process, ticket(permit_wait, &process), since_boot);
        let full_for = match room {
            Room::Full(until) => until.saturating_sub(since_boot),
            Room::Now | Room::From(_) | Room::Unknown => Duration::ZERO,
        };
        let answer_time = if is_cold {
            cold_answer_time
        } else {
            Duration::ZERO
        };
        ClosedTime {
            time: closed_for.max(full_for + answer_time),
            is_full: matches!(room, Room::Full(_)) && !is_cold,
            is_cold,
        }
    });
    closed.collect()
}

/// Counts a request that is refused although a cold upstream could run it.
pub(super) fn count_refused<P>(cx: &EntryContext<P>, closed: &[ClosedTime])
where
    P: Platform,
{
    if closed.iter().any(|closed| closed.is_cold) {
        cx.metrics.count_cold_request("refused");
    }
}

/// Time until the first permit that a request awaits can be used.
pub(super) fn time_to_permit<P>(wait: Option<&PermitWait<'_, P>>) -> Duration
where
    P: Platform,
{
    let Some(wait) = wait else {
        return Duration::MAX;
    };
    let since_boot = wait.cx.clock.since_boot();
    let limits = wait.cx.limits.borrow();
    match limits.room(&wait.process, Some(wait.ticket), since_boot) {
        Room::From(from) => from.saturating_sub(since_boot),
        Room::Now | Room::Unknown | Room::Full(_) => Duration::MAX,
    }
}

/// The ticket of a request that waits for a permit, if it is for this upstream.
pub(super) fn ticket<P>(
    wait: Option<&PermitWait<'_, P>>,
    process: &UpstreamProcess,
) -> Option<Ticket>
where
    P: Platform,
{
    wait.filter(|wait| wait.process == *process)
        .map(|wait| wait.ticket)
}

/// Counts a request as waiting for a permit for an upstream, until dropped.
pub(super) struct PermitWait<'a, P>
where
    P: Platform,
{
    cx: &'a EntryContext<P>,
    pub(super) process: UpstreamProcess,
    ticket: Ticket,
}

impl<'a, P> PermitWait<'a, P>
where
    P: Platform,
{
    pub(super) fn begin(
        cx: &'a EntryContext<P>,
        process: UpstreamProcess,
        urgency: Urgency,
    ) -> Self {
        let since_boot = cx.clock.since_boot();
        let mut limits = cx.limits.borrow_mut();
        if limits.cold(&process, since_boot).is_some() {
            cx.metrics.count_cold_request("waited");
        }
        let ticket = limits.begin_urgent_wait(&process, urgency, since_boot);
        drop(limits);
        Self {
            cx,
            process,
            ticket,
        }
    }
}

impl<P> Drop for PermitWait<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut limits = self.cx.limits.borrow_mut();
        limits.end_wait(&self.process, self.ticket);
    }
}
