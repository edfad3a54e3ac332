//! Sending a call to the upstreams of a route, one after the other.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Method, StatusCode,
    header::{HeaderMap, HeaderName},
};
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_external::engine::REQUEST_ID_HEADER;
use tokio::time::{Instant, timeout_at};

use super::{
    balance::{self, Candidate},
    body::CallBody,
    send_permit::Permit,
};
use crate::{
    Code, Refusal,
    allowances::Allowances,
    auth::{self, Identity},
    completion,
    context::Cx,
    placement_view::PlacementView,
    upstream::{Answer, Call, Connection, Echo, Track},
};

/// Upstreams that one call is sent to at most, when it may be sent again.
const MAX_TRIES: usize = 3;
/// When to come back after no upstream could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call of a plain service on its way.
pub(super) struct ServiceCall {
    /// Name of the route.
    pub(super) route: String,
    /// Whether it may be sent again after a failure.
    pub(super) repeatable: bool,
    /// Who calls; none on an open route.
    pub(super) identity: Option<Identity>,
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    /// Headers for the upstream.
    pub(super) headers: HeaderMap,
    pub(super) deadline: std::time::Instant,
}

impl ServiceCall {
    /// Workspace that the call runs for; none on an open route.
    pub(super) fn workspace(&self) -> Option<&str> {
        self.identity
            .as_ref()
            .map(|identity| identity.workspace.as_str())
    }
}

/// What became of a call.
pub(super) enum Outcome {
    /// An upstream has begun to answer.
    Answered(Box<Answer>, balance::InFlight),
    /// Not one byte has reached an upstream.
    NotRun(Refusal),
    /// The call may have run.
    MayHaveRun(Refusal),
}

/// What became of one try.
enum Try {
    Answered(Box<Answer>),
    NotSent(String),
    MaybeSent(String),
}

/// Sends a call. `permit` is asked before each try.
pub(super) async fn send<A, V>(
    cx: &Rc<Cx<A, V>>,
    call: &ServiceCall,
    mut body: CallBody,
    permit: &Permit,
) -> Outcome
where
    A: Allowances,
    V: PlacementView,
{
    let mut failures = Failures::default();
    let candidates = match candidates(cx, call) {
        Ok(candidates) => candidates,
        Err(refusal) => return failures.judge(refusal),
    };
    for candidate in &candidates {
        if SystemClock.now() >= call.deadline || !permit.take() {
            permit.put_back();
            return failures.judge(completion::late());
        }
        let in_flight = cx.balance.begin(&candidate.name);
        match try_once(cx, call, candidate, body.for_one_try()).await {
            Try::Answered(answer) => return Outcome::Answered(answer, in_flight),
            Try::NotSent(reason) => {
                cx.balance.unreachable(&candidate.name, SystemClock.now());
                failures.note(reason);
                permit.put_back();
            }
            Try::MaybeSent(reason) => {
                failures.note(reason);
                failures.may_have_run = true;
                if !call.repeatable {
                    break;
                }
            }
        }
        if failures.count >= MAX_TRIES || !body.can_be_sent_again() {
            break;
        }
    }
    let refusal = failures.refusal(&call.route);
    failures.judge(refusal)
}

/// Upstreams that take the call now, the best first. Asked right before sending, because the call
/// may have waited since it arrived.
fn candidates<A, V>(cx: &Rc<Cx<A, V>>, call: &ServiceCall) -> Result<Vec<Candidate>, Refusal>
where
    V: PlacementView,
{
    let snapshot = cx.follower.current();
    if let Some(identity) = &call.identity {
        auth::recheck(&snapshot, identity)?;
    }
    let Some(route) = snapshot.catalog.routes.get(&call.route) else {
        return Err(Failures::default().refusal(&call.route));
    };
    let zone = &cx.settings.instance.zone;
    let now = SystemClock.now();
    let is_leaving = |upstream: &str| cx.view.is_leaving(upstream);
    Ok(cx
        .balance
        .candidates(&snapshot.catalog, route, zone, now, is_leaving))
}

async fn try_once<A, V>(
    cx: &Rc<Cx<A, V>>,
    call: &ServiceCall,
    candidate: &Candidate,
    body: actix_http::body::BoxBody,
) -> Try {
    let track = Track::new();
    let sent = cx
        .upstreams
        .send(upstream_call(call, candidate), body, &track);
    let reason = match timeout_at(Instant::from_std(call.deadline), sent).await {
        Ok(Ok(answer)) => return Try::Answered(Box::new(answer)),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no answer before the deadline".to_owned(),
    };
    spdlog::warn!("call of a plain service failed", kv: {
        upstream = candidate.name.as_str(), reason = reason.as_str(), sent = track.is_written()
    });
    if track.is_written() {
        Try::MaybeSent(reason)
    } else {
        Try::NotSent(reason)
    }
}

fn upstream_call(call: &ServiceCall, candidate: &Candidate) -> Call {
    Call {
        addr: candidate.addr,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        id_header: HeaderName::from_static(REQUEST_ID_HEADER),
        request_id: crate::request_id::fresh(),
        echo: Echo::IfPresent,
        connection: if call.repeatable {
            Connection::Reusable
        } else {
            Connection::Fresh
        },
    }
}

/// Failed tries of one call.
#[derive(Default)]
struct Failures {
    count: usize,
    may_have_run: bool,
    last: Option<String>,
}

impl Failures {
    fn note(&mut self, reason: String) {
        self.count += 1;
        self.last = Some(reason);
    }

    fn refusal(&self, route: &str) -> Refusal {
        match &self.last {
            Some(reason) if self.may_have_run => Refusal::not_run(
                StatusCode::BAD_GATEWAY,
                Code::UpstreamFailed,
                format!("the service behind `{route}` failed: {reason}"),
            ),
            _ => Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Code::UpstreamUnavailable,
                format!("no service behind `{route}` can be reached"),
            )
            .retry_after(RETRY_AFTER),
        }
    }

    /// Makes a refusal true for all tries together.
    fn judge(&self, refusal: Refusal) -> Outcome {
        if self.may_have_run {
            Outcome::MayHaveRun(refusal.run_unknown())
        } else {
            Outcome::NotRun(refusal)
        }
    }
}
