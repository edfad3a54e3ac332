//! Sends a call to the upstreams of a route, one after the other, until one answers.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Method, StatusCode,
    header::{HeaderMap, HeaderName},
};
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_external::engine::REQUEST_ID_HEADER;
use tokio::time::{Instant, timeout_at};

use super::{
    balancer::{self, Candidate},
    body::CallBody,
    send_permit::SendPermit,
};
use crate::{
    Refusal, RefusalCode,
    allowances::Allowances,
    auth::{self, CallerIdentity},
    completion,
    context::GateContext,
    placement_view::PlacementView,
    upstream::{CallProgress, ConnectionKind, RequestIdEcho, UpstreamAnswer, UpstreamCall},
};

/// Limit on the attempts to send one call.
const MAX_ATTEMPTS: usize = 3;
/// `Retry-After` of a refusal when no upstream could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A checked call of a plain service, ready to be sent.
pub(super) struct ServiceCall {
    /// Name of the route in the catalog.
    pub(super) route: String,
    /// Whether it may be sent again after a failure.
    pub(super) repeatable: bool,
    /// Identity of the caller; `None` on an open route.
    pub(super) identity: Option<CallerIdentity>,
    pub(super) method: Method,
    /// Path and query, without the caller's key.
    pub(super) path: String,
    /// Headers to send upstream, already filtered.
    pub(super) headers: HeaderMap,
    pub(super) deadline: std::time::Instant,
}

impl ServiceCall {
    /// Workspace of the caller; `None` on an open route.
    pub(super) fn workspace(&self) -> Option<&str> {
        self.identity
            .as_ref()
            .map(|identity| identity.workspace.as_str())
    }
}

/// Result of a call after all its attempts.
pub(super) enum CallOutcome {
    /// An upstream has sent the head of its answer.
    Answered(Box<UpstreamAnswer>, balancer::InFlightCall),
    /// No byte of the call has reached an upstream.
    NotRun(Refusal),
    /// The call may have run, and there is no answer.
    MayHaveRun(Refusal),
}

/// Result of one attempt.
enum AttemptResult {
    Answered(Box<UpstreamAnswer>),
    NotSent(String),
    MayHaveBeenSent(String),
}

/// Sends a call to one candidate after the other. Before each attempt it acquires `permit`, and
/// stops if the call was given up.
pub(super) async fn send<A, V>(
    cx: &Rc<GateContext<A, V>>,
    call: &ServiceCall,
    mut body: CallBody,
    permit: &SendPermit,
) -> CallOutcome
where
    A: Allowances,
    V: PlacementView,
{
    let mut failures = FailedAttempts::default();
    let candidates = match candidates(cx, call) {
        Ok(candidates) => candidates,
        Err(refusal) => return failures.outcome(refusal),
    };
    for candidate in &candidates {
        if SystemClock.now() >= call.deadline || !permit.try_acquire() {
            permit.release();
            return failures.outcome(completion::deadline_exceeded());
        }
        let in_flight = cx.balancer.begin_call(&candidate.name);
        match attempt_call(cx, call, candidate, body.for_next_attempt()).await {
            AttemptResult::Answered(answer) => return CallOutcome::Answered(answer, in_flight),
            AttemptResult::NotSent(reason) => {
                cx.balancer
                    .mark_unreachable(&candidate.name, SystemClock.now());
                failures.record(reason);
                permit.release();
            }
            AttemptResult::MayHaveBeenSent(reason) => {
                failures.record(reason);
                failures.may_have_run = true;
                if !call.repeatable {
                    break;
                }
            }
        }
        if failures.count >= MAX_ATTEMPTS || !body.can_be_sent_again() {
            break;
        }
    }
    let refusal = failures.refusal(&call.route);
    failures.outcome(refusal)
}

/// Upstreams that can take the call now, the best first. Uses the current configuration and
/// checks the caller's key again, because the call may have waited since it arrived.
fn candidates<A, V>(
    cx: &Rc<GateContext<A, V>>,
    call: &ServiceCall,
) -> Result<Vec<Candidate>, Refusal>
where
    V: PlacementView,
{
    let snapshot = cx.follower.current();
    if let Some(identity) = &call.identity {
        auth::recheck(&snapshot, identity)?;
    }
    let Some(route) = snapshot.catalog.routes.get(&call.route) else {
        return Err(FailedAttempts::default().refusal(&call.route));
    };
    let zone = &cx.settings.instance.zone;
    let now = SystemClock.now();
    let is_leaving = |upstream: &str| cx.view.is_leaving(upstream);
    Ok(cx
        .balancer
        .candidates(&snapshot.catalog, route, zone, now, is_leaving))
}

async fn attempt_call<A, V>(
    cx: &Rc<GateContext<A, V>>,
    call: &ServiceCall,
    candidate: &Candidate,
    body: actix_http::body::BoxBody,
) -> AttemptResult {
    let progress = CallProgress::new();
    let sending = cx
        .upstreams
        .send(upstream_call(call, candidate), body, &progress);
    let reason = match timeout_at(Instant::from_std(call.deadline), sending).await {
        Ok(Ok(answer)) => return AttemptResult::Answered(Box::new(answer)),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no answer before the deadline".to_owned(),
    };
    spdlog::warn!("call of a plain service failed", kv: {
        upstream = candidate.name.as_str(), reason = reason.as_str(), sent = progress.has_written_bytes()
    });
    if progress.has_written_bytes() {
        AttemptResult::MayHaveBeenSent(reason)
    } else {
        AttemptResult::NotSent(reason)
    }
}

fn upstream_call(call: &ServiceCall, candidate: &Candidate) -> UpstreamCall {
    UpstreamCall {
        addr: candidate.addr,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        id_header: HeaderName::from_static(REQUEST_ID_HEADER),
        request_id: crate::request_id::fresh(),
        echo: RequestIdEcho::IfPresent,
        connection: if call.repeatable {
            ConnectionKind::Reusable
        } else {
            ConnectionKind::Fresh
        },
    }
}

/// Failed attempts of one call.
#[derive(Default)]
struct FailedAttempts {
    count: usize,
    may_have_run: bool,
    last_reason: Option<String>,
}

impl FailedAttempts {
    fn record(&mut self, reason: String) {
        self.count += 1;
        self.last_reason = Some(reason);
    }

    fn refusal(&self, route: &str) -> Refusal {
        match &self.last_reason {
            Some(reason) if self.may_have_run => Refusal::not_run(
                StatusCode::BAD_GATEWAY,
                RefusalCode::UpstreamFailed,
                format!("the service behind `{route}` failed: {reason}"),
            ),
            _ => Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                RefusalCode::UpstreamUnavailable,
                format!("no service behind `{route}` can be reached"),
            )
            .retry_after(RETRY_AFTER),
        }
    }

    /// Turns a refusal into an outcome that holds for all attempts: if any attempt may have run
    /// the call, the refusal says so.
    fn outcome(&self, refusal: Refusal) -> CallOutcome {
        if self.may_have_run {
            CallOutcome::MayHaveRun(refusal.run_unknown())
        } else {
            CallOutcome::NotRun(refusal)
        }
    }
}
