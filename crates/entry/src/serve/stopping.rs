//! Requests that reach an instance while it stops.
//!
//! Callers keep coming for as long as the load balancer has not noticed the stop. A request that cannot
//! end before the end of the grace period would be cut off in the middle of its answer, so it is refused
//! while it is certain that it has not run, and another instance serves it.

use std::time::{Duration, Instant};

use super::{Refusal, admitted::AdmittedRequest};
use crate::{platform::Platform, state::EntryContext};

/// Minimum time that a request needs at an upstream; with less time left it is not sent.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// `Retry-After` of a refused request. The load balancer sends it to another instance, or to this one
/// until it has noticed the stop.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Refuses a request that has not been sent yet if it cannot be expected to end before this instance
/// stops. One that was sent before goes on for as long as there is time to answer it.
pub(super) fn check_time_to_stop<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    now: Instant,
) -> Result<(), Refusal>
where
    P: Platform,
{
    let left = cx.time_to_answer(now);
    if left == Duration::MAX {
        return Ok(());
    }
    let needed = if request.sent_to.borrow().is_empty() {
        let mut run_times = cx.run_times.borrow_mut();
        let expected = run_times.expected(&request.route.name, now);
        // Without a known time it may take all that it has.
        expected.unwrap_or_else(|| request.time_left(now))
    } else {
        Duration::ZERO
    };
    if left > needed.max(MIN_TIME_LEFT) {
        return Ok(());
    }
    cx.metrics.count_refused_at_stop();
    let reason = "this instance stops: send the request again, so that another takes it";
    Err(Refusal::not_run(reason, RETRY_AFTER))
}
