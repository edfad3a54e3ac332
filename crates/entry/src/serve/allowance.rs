//! Takes the units of a request from its workspace's allowance, or waits for them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{
    config::{Route, RouteKind, Workspace},
    intake::Urgency,
    quota::{self, Claim, OverQuota},
    request::RequestMetadata,
};
use tokio::time::timeout;

use super::Refusal;
use crate::{allowance_metrics::WaitEnd, platform::Platform, state::EntryContext};

/// Fraction of the goal for the first byte in which a request should get its units. The rest is for the
/// engine: a request that gets them at the end of its goal is late, and takes what another one needs to be in
/// time.
const GOAL_WAIT_FRACTION: f64 = 0.5;

/// What decides how long a request may wait for its units, and before which others it gets them.
pub(super) struct Terms<'a> {
    pub(super) route: &'a Route,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
}

impl Terms<'_> {
    fn urgency(&self, workspace: &Workspace) -> Urgency {
        let goal = self.route.first_byte_goal;
        Urgency {
            rank: workspace.rank.unwrap_or(self.route.rank),
            goal: self.arrived + goal.mul_f64(GOAL_WAIT_FRACTION),
            gives_up: quota::wait_until(self.arrived, self.caller_gives_up(), goal),
        }
    }

    /// Time at which the caller gives up, if the answer has not begun.
    fn caller_gives_up(&self) -> Instant {
        if self.route.kind == RouteKind::Stream {
            let first_event_due = self.arrived + self.route.stream_idle_timeout;
            self.deadline.min(first_event_due)
        } else {
            self.deadline
        }
    }
}

/// Charges the request's cost to its workspace's allowance and returns the cost. If this instance's
/// grant is too small, the request waits for a larger one as long as the bucket of all instances can
/// cover it in time.
pub(super) async fn take_allowance<P>(
    cx: &Rc<EntryContext<P>>,
    workspace: Option<&Workspace>,
    declared: &RequestMetadata,
    terms: Terms<'_>,
) -> Result<u64, Refusal>
where
    P: Platform,
{
    let Some((workspace, allowance)) = workspace.and_then(|w| Some((w, w.allowance?))) else {
        return Ok(0);
    };
    let name = workspace.name.as_str();
    let cost = allowance.cost(declared.total_tokens());
    let claim = Claim {
        cost,
        urgency: terms.urgency(workspace),
    };
    let now = cx.now();
    let instances = cx.instance_count();
    let asked = {
        let mut quotas = cx.quotas.borrow_mut();
        let asked = quotas.request(name, allowance, claim, instances, now);
        quotas.record_demand(name, cost);
        asked
    };
    let taken = match asked {
        Ok(None) => Ok(()),
        Ok(Some(ticket)) => {
            cx.grant_wanted.notify_one();
            let to_serve = terms.deadline.saturating_duration_since(claim.wait_until());
            let mut wait = GrantWait::new(cx, name, ticket);
            wait.finish(claim.wait_until(), to_serve).await
        }
        Err(over) => Err(over),
    };
    taken.map_err(|over| {
        cx.metrics.allowances.count_refusal(&over);
        let waited_ms = whole_millis(cx.now().saturating_duration_since(now));
        let reason = over_quota_reason(name, cost, &over);
        let reason = format!("{reason}, after a wait of {waited_ms} ms");
        Refusal {
            status: if over.is_exhausted {
                StatusCode::TOO_MANY_REQUESTS
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            ..Refusal::not_run(reason, over.retry_after)
        }
    })?;
    Ok(cost)
}

/// A request that waits for a larger grant of its workspace's allowance, until dropped.
struct GrantWait<'a, P>
where
    P: Platform,
{
    cx: &'a EntryContext<P>,
    workspace: &'a str,
    ticket: u64,
    began_at: Instant,
    end: WaitEnd,
}

impl<'a, P> GrantWait<'a, P>
where
    P: Platform,
{
    fn new(cx: &'a EntryContext<P>, workspace: &'a str, ticket: u64) -> Self {
        Self {
            cx,
            workspace,
            ticket,
            began_at: cx.now(),
            end: WaitEnd::Abandoned,
        }
    }

    /// Waits until it is decided what becomes of the request, for as long as it may wait. While this
    /// instance stops, the time `to_serve` is left before its end, too.
    async fn finish(&mut self, wait_until: Instant, to_serve: Duration) -> Result<(), OverQuota> {
        let outcome = loop {
            let changed = self.cx.grants_changed.notified();
            if let Some(outcome) = self.outcome() {
                break outcome;
            }
            let now = self.cx.now();
            let until_stop = self.cx.time_to_answer(now).saturating_sub(to_serve);
            let left = wait_until.saturating_duration_since(now).min(until_stop);
            if timeout(left, changed).await.is_err() {
                break self.outcome().unwrap_or_else(|| Err(self.leave()));
            }
        };
        self.end = match outcome {
            Ok(()) => WaitEnd::Served,
            Err(_) => WaitEnd::Refused,
        };
        outcome
    }

    fn outcome(&self) -> Option<Result<(), OverQuota>> {
        let mut quotas = self.cx.quotas.borrow_mut();
        quotas.outcome(self.workspace, self.ticket)
    }

    fn leave(&self) -> OverQuota {
        let mut quotas = self.cx.quotas.borrow_mut();
        let over = quotas.leave(self.workspace, self.ticket, self.cx.now());
        over.unwrap_or_else(OverQuota::undecided)
    }
}

impl<P> Drop for GrantWait<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let _ = self.leave();
        // Others may get the units that it leaves.
        self.cx.grants_changed.notify_waiters();
        let waited = self.cx.now().saturating_duration_since(self.began_at);
        self.cx.metrics.allowances.record_wait(self.end, waited);
    }
}

/// Reason of a refusal, with the figures that decided it.
fn over_quota_reason(workspace: &str, cost: u64, over: &OverQuota) -> String {
    let level = over.level;
    let result = if over.is_exhausted {
        "is beyond its allowance"
    } else {
        "has no grant for the request here"
    };
    let from = match (over.grant_age, over.bucket_level) {
        (Some(age), Some(bucket)) => {
            let age_ms = whole_millis(age);
            format!("a grant of {age_ms} ms ago from a bucket with {bucket:.0}")
        }
        _ => "its equal share, without a grant".to_owned(),
    };
    format!("workspace {workspace} {result}: {cost} asked, {level:.0} left of {from}")
}
