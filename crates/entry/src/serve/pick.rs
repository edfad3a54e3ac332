//! Choice of an upstream that can run a request, waiting for one if necessary.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{
    directory::UpstreamProcess,
    intake::IntakeLimit,
    limits::Room,
    request::Artifact,
    upstream::Upstream,
    upstream_choice::{self, Candidate},
};
use tokio::time::timeout;

use super::{
    Refusal,
    admitted::AdmittedRequest,
    prompt_cost::PromptCost,
    room::{
        PermitWait, closed_times, count_refused, hopeless_for, is_too_late_for_cold, ticket,
        time_to_permit,
    },
    stopping::{self, MIN_TIME_LEFT},
};
use crate::{platform::Platform, state::EntryContext, zones};

/// Maximum wait before the candidates are checked again.
const RECHECK_PERIOD: Duration = Duration::from_millis(100);
/// Fraction of its total time for which a request waits while its service has no ready upstream.
const NO_UPSTREAM_WAIT_FRACTION: f64 = 0.5;
/// `Retry-After` when no upstream could serve the request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The upstream chosen for a request.
pub(super) struct PickedUpstream {
    pub(super) upstream: Rc<Upstream>,
    /// Prompt tokens that are not in the upstream's KV cache.
    pub(super) uncached_tokens: u64,
}

/// What was found for a request.
enum Choice {
    /// An upstream that can run it now.
    Upstream(PickedUpstream),
    /// None now, but one that has named a limit could if the holder gives a permit.
    NeedsPermit(UpstreamProcess),
    /// None now, since the engines have too much to read.
    HeldBack,
    /// None now.
    None,
}

/// Upstreams that one request is not sent to.
#[derive(Clone, Default)]
pub(super) struct AvoidedUpstreams {
    /// Those that it is temporarily not sent to, with the time when that ends.
    until: HashMap<String, Instant>,
    /// Software version of the only upstreams that it may be sent to, if it resumes a stream.
    software: Option<String>,
}

impl AvoidedUpstreams {
    pub(super) fn avoid_until(&mut self, upstream: &str, until: Instant) {
        self.until.insert(upstream.to_owned(), until);
    }

    /// Avoids all upstreams of other software versions.
    pub(super) fn require_software(&mut self, software: &str) {
        self.software = Some(software.to_owned());
    }

    /// Whether no upstream was ever avoided.
    fn is_empty(&self) -> bool {
        self.until.is_empty() && self.software.is_none()
    }

    fn contains(&self, upstream: &Upstream, now: Instant) -> bool {
        let is_avoided = self.until.get(&upstream.id).is_some_and(|at| now < *at);
        is_avoided || !self.has_required_software(upstream)
    }

    pub(super) fn has_required_software(&self, upstream: &Upstream) -> bool {
        self.software
            .as_ref()
            .is_none_or(|s| *s == upstream.software)
    }
}

/// Waits until an upstream can run the request and returns the best one. Refuses as soon as the
/// request cannot be served in time.
///
/// Requests that wait for the same artifact go in the order of their urgency. Those that avoid an
/// upstream do not wait in line: the others must not wait until they may use it again.
pub(super) async fn pick<P>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
) -> Result<PickedUpstream, Refusal>
where
    P: Platform,
{
    let mut wait: Option<ArtifactWait<'_, P>> = None;
    let mut permit_wait: Option<PermitWait<'_, P>> = None;
    loop {
        let changed = cx.state_changed.notified();
        let taken_in = cx.intake_changed.notified();
        let now = cx.now();
        check_key_is_valid(cx, request)?;
        stopping::check_time_to_stop(cx, request, now)?;
        let ticket = wait.as_ref().and_then(|wait| wait.ticket);
        let may_go = !avoided.is_empty() || is_next(cx, request, ticket, now);
        let choice = if may_go {
            choose(cx, request, avoided, permit_wait.as_ref(), now)
        } else {
            Choice::None
        };
        let is_held_back = matches!(choice, Choice::HeldBack);
        match choice {
            Choice::Upstream(picked) => {
                drop(wait);
                if request.artifact().is_some() {
                    cx.intake_changed.notify_waiters();
                }
                return Ok(picked);
            }
            Choice::NeedsPermit(process) => {
                let is_asked = |wait: &PermitWait<'_, P>| wait.process == process;
                if !permit_wait.as_ref().is_some_and(is_asked) {
                    permit_wait = Some(PermitWait::begin(cx, process, request.urgency()));
                }
                cx.permits_wanted.notify_one();
            }
            Choice::HeldBack | Choice::None => {}
        }
        check_time_left(cx, request, avoided, permit_wait.as_ref(), now)?;
        check_software(cx, request, avoided)?;
        if wait.is_none() {
            wait = Some(ArtifactWait::begin(cx, request, avoided.is_empty()));
            log_waiting(cx, request, is_held_back, now);
        }
        let left = request.time_left(now);
        let recheck_in = RECHECK_PERIOD.min(time_to_permit(permit_wait.as_ref()));
        let _ = timeout(recheck_in.min(left), async {
            tokio::select! {
                () = changed => {}
                () = taken_in => {}
            }
        })
        .await;
    }
}

/// Whether a request comes before all others that wait for the same artifact.
fn is_next<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    ticket: Option<u64>,
    now: Instant,
) -> bool
where
    P: Platform,
{
    request.artifact().is_none()
        || cx.waiting_lines.borrow().is_first(
            &request.artifact_key(),
            ticket,
            request.urgency(),
            now,
        )
}

fn log_waiting<P>(cx: &EntryContext<P>, request: &AdmittedRequest, is_held_back: bool, now: Instant)
where
    P: Platform,
{
    if is_held_back {
        cx.metrics.count_held_back();
    }
    if !cx.request_log_limiter.try_acquire(now) {
        return;
    }
    let artifact = request.artifact_key();
    let placement = cx.placement.borrow();
    let limits = cx.intake_limits.borrow();
    let limit = limits.get(&request.service);
    spdlog::info!("request waits for an upstream", kv: {
        request_id = request.id.as_str(), service = request.service.as_str(),
        artifact = artifact.as_str(), left_ms = whole_millis(request.time_left_to_first_byte(now)),
        placement = placement.fence_and_version().1, fence = placement.fence_and_version().0,
        held_back = is_held_back, read_tokens_per_ms = limit.map_or(0.0, IntakeLimit::tokens_per_ms)
    });
}

/// Checks the API key again, since it may have been revoked while the request waited.
fn check_key_is_valid<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> Result<(), Refusal>
where
    P: Platform,
{
    let (Some(workspace), Some(key)) = (&request.workspace, &request.declared.key) else {
        return Ok(());
    };
    let config = cx.config();
    let current = config.workspace_of(key).map(|w| w.name.as_str());
    if current == Some(workspace.name.as_str()) || request.route.is_public {
        return Ok(());
    }
    let status = actix_http::StatusCode::UNAUTHORIZED;
    Err(Refusal::client_error(
        status,
        "the request's key was withdrawn",
    ))
}

/// Refuses as soon as it is known that the request cannot be served in time.
fn check_time_left<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
    permit_wait: Option<&PermitWait<'_, P>>,
    now: Instant,
) -> Result<(), Refusal>
where
    P: Platform,
{
    let left = request.time_left_to_first_byte(now);
    if left <= MIN_TIME_LEFT {
        return Err(Refusal::not_run(
            "nothing could serve the request in time",
            RETRY_AFTER,
        ));
    }
    let directory = cx.directory.borrow();
    if zones::ready(cx, &directory, request).next().is_none() {
        let waited = now.saturating_duration_since(request.arrived);
        if waited > (waited + left).mul_f64(NO_UPSTREAM_WAIT_FRACTION) {
            let reason = format!("service {} has no upstream", request.service);
            return Err(Refusal::not_run(reason, RETRY_AFTER));
        }
    }
    drop(directory);
    let closed = closed_times(cx, request, avoided, permit_wait, now);
    let closed_for = hopeless_for(&closed, left);
    let placement = cx.placement.borrow();
    let ready_in = request.artifact().and_then(|artifact| {
        let known = placement.ready_in.iter().find(|(a, _)| a == artifact);
        known.map(|(_, time)| *time)
    });
    // Where it is loaded next may be another software version.
    let opens_elsewhere = avoided.software.is_none() && ready_in.is_some_and(|time| time <= left);
    if let Some(closed_for) = closed_for
        && !opens_elsewhere
    {
        count_refused(cx, &closed);
        let reason = "all upstreams that could serve the request want no more for a time";
        return Err(Refusal::not_run(reason, closed_for));
    }
    if ready_in.is_some_and(|time| time > left) {
        let reason = "the model cannot be loaded in time";
        return Err(Refusal::not_run(reason, ready_in.unwrap_or(RETRY_AFTER)));
    }
    Ok(())
}

/// Refuses a request that resumes a stream if no upstream of the software version that began it takes
/// requests.
fn check_software<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
) -> Result<(), Refusal>
where
    P: Platform,
{
    let directory = cx.directory.borrow();
    let mut ready = zones::ready(cx, &directory, request);
    if avoided.software.is_none() || ready.any(|u| avoided.has_required_software(u)) {
        return Ok(());
    }
    let reason = "no upstream of the software version that the stream is bound to takes requests";
    Err(Refusal::not_run(reason, RETRY_AFTER))
}

/// The best upstream that can run the request now, if there is one and its key is still valid.
pub(super) fn pick_now<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
) -> Option<PickedUpstream>
where
    P: Platform,
{
    check_key_is_valid(cx, request).ok()?;
    match choose(cx, request, avoided, None, cx.now()) {
        Choice::Upstream(picked) => Some(picked),
        _ => None,
    }
}

fn choose<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    avoided: &AvoidedUpstreams,
    permit_wait: Option<&PermitWait<'_, P>>,
    now: Instant,
) -> Choice
where
    P: Platform,
{
    let directory = cx.directory.borrow();
    let health = cx.health.borrow();
    let closures = cx.closures.borrow();
    let loads = cx.loads.borrow();
    let prefix_caches = cx.prefix_caches.borrow();
    let mut limits = cx.intake_limits.borrow_mut();
    let limit = limits.entry(request.service.clone()).or_default();
    let mut is_held_back = false;
    let usable = |u: &&Rc<Upstream>| {
        !avoided.contains(u, now)
            && !health.is_in_backoff(&u.id, now)
            && closures.allows(&u.id, now)
            && request
                .artifact()
                .is_none_or(|a| holds_artifact(cx, u, a, now))
    };
    let upstreams = zones::ready(cx, &directory, request).filter(usable);
    let mut upstreams: Vec<_> = upstreams.collect();
    let cost = PromptCost::new(cx, request, &prefix_caches, &upstreams, (&loads, now));
    upstreams.retain(|u| {
        let takes_in = cost.is_taken_in(limit, u, loads.total(&u.id, now));
        is_held_back |= !takes_in;
        takes_in
    });
    if request.route.is_resumable && avoided.software.is_none() {
        let versions = cx.software.borrow();
        upstreams.retain(|u| versions.is_settled(&u.service, &u.software, now));
    }
    if upstreams.is_empty() && is_held_back {
        limit.record_held_back();
    }
    drop(limits);
    let unpermitted = remove_unpermitted(cx, (request, now), &mut upstreams, permit_wait);
    let best = |upstreams: &[&Rc<Upstream>]| {
        let settings = cx.settings();
        let candidates: Vec<_> = upstreams
            .iter()
            .map(|u| (u, cost.uncached_tokens(u)))
            .map(|(u, uncached_tokens)| Candidate {
                id: &u.id,
                is_near: u.zone == settings.instance.zone,
                load: cost.load(loads.total(&u.id, now), uncached_tokens),
                slots: u.slots,
                uncached_tokens,
                failure_rate: health.failure_rate(&u.id, now),
            })
            .collect();
        let chosen = upstream_choice::choose(&candidates, request.declared.shared_prefix_id())?;
        Some(PickedUpstream {
            upstream: Rc::clone(upstreams[chosen]),
            uncached_tokens: candidates[chosen].uncached_tokens,
        })
    };
    if let Some(picked) = best(&upstreams) {
        ask_in_passing(cx, &unpermitted);
        return Choice::Upstream(picked);
    }
    // A request that waits for a permit would lose it at another upstream.
    let awaited = permit_wait.map(|wait| &wait.process);
    let is_awaited = |u: &&&Rc<Upstream>| awaited == Some(&UpstreamProcess::of(u));
    if let (Some(process), Some(_)) = (awaited, unpermitted.iter().find(is_awaited)) {
        return Choice::NeedsPermit(process.clone());
    }
    match best(&unpermitted) {
        Some(limited) => Choice::NeedsPermit(UpstreamProcess::of(&limited.upstream)),
        None if upstreams.is_empty() && is_held_back => Choice::HeldBack,
        None => Choice::None,
    }
}

/// Removes the upstreams whose limits allow nothing now, and returns those for which there is a permit
/// soon, or the holder can be asked for one.
fn remove_unpermitted<'a, P>(
    cx: &EntryContext<P>,
    (request, now): (&AdmittedRequest, Instant),
    upstreams: &mut Vec<&'a Rc<Upstream>>,
    permit_wait: Option<&PermitWait<'_, P>>,
) -> Vec<&'a Rc<Upstream>>
where
    P: Platform,
{
    let limits = cx.limits.borrow();
    if limits.is_empty() {
        return Vec::new();
    }
    let since_boot = cx.clock.since_boot();
    let mut unpermitted = Vec::new();
    let is_too_late_for_cold = is_too_late_for_cold(request, now);
    upstreams.retain(|u| {
        let process = UpstreamProcess::of(u);
        if is_too_late_for_cold && limits.cold(&process, since_boot).is_some() {
            return false;
        }
        match limits.room(&process, ticket(permit_wait, &process), since_boot) {
            Room::Now => true,
            Room::Full(_) => false,
            Room::From(_) | Room::Unknown => {
                unpermitted.push(*u);
                false
            }
        }
    });
    unpermitted
}

/// Asks for permits for upstreams that a request could have used which another one runs. Without them,
/// nothing would show that a limit has ended.
fn ask_in_passing<P>(cx: &EntryContext<P>, unpermitted: &[&Rc<Upstream>])
where
    P: Platform,
{
    let mut limits = cx.limits.borrow_mut();
    for upstream in unpermitted {
        if limits.record_usable(&UpstreamProcess::of(upstream)) {
            cx.permits_wanted.notify_one();
        }
    }
}

/// Whether an engine has an artifact loaded, according to the placement received from the holder of
/// the planning duty. If that is out of date or does not list the engine, the engine's entry in the
/// list of upstreams decides, if this instance has read it from the store.
pub(super) fn holds_artifact<P>(
    cx: &EntryContext<P>,
    upstream: &Upstream,
    artifact: &Artifact,
    now: Instant,
) -> bool
where
    P: Platform,
{
    let placement = cx.placement.borrow();
    let planned = placement.engines.get(&upstream.id);
    // The holder's list comes with the placement and is no newer.
    let is_newest = placement.is_fresh(now) || cx.directory.borrow().is_any_copy();
    match planned.filter(|_| is_newest) {
        Some(models) => models.get(&artifact.model).is_some_and(|adapters| {
            let adapter = artifact.adapter.as_ref();
            adapter.is_none_or(|adapter| adapters.contains(adapter))
        }),
        None => upstream.holds.has(artifact),
    }
}

/// Counts a request as waiting for its artifact, in the demand reported to the holder of the
/// planning duty, until dropped.
struct ArtifactWait<'a, P>
where
    P: Platform,
{
    cx: &'a EntryContext<P>,
    service: &'a str,
    artifact: Option<&'a Artifact>,
    /// Ticket in the line of requests for the artifact, if it waits in line.
    ticket: Option<u64>,
}

impl<'a, P> ArtifactWait<'a, P>
where
    P: Platform,
{
    fn begin(cx: &'a EntryContext<P>, request: &'a AdmittedRequest, waits_in_line: bool) -> Self {
        let artifact = request.artifact();
        let mut ticket = None;
        if let Some(artifact) = artifact {
            ticket = waits_in_line.then(|| {
                let mut lines = cx.waiting_lines.borrow_mut();
                lines.join(&artifact.key(), request.urgency())
            });
            let is_first = cx
                .demand
                .borrow_mut()
                .add_waiting(&request.service, artifact);
            if is_first {
                cx.demand_changed.notify_one();
            }
        }
        Self {
            cx,
            service: &request.service,
            artifact,
            ticket,
        }
    }
}

impl<P> Drop for ArtifactWait<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if let Some(artifact) = self.artifact {
            let cx = self.cx;
            cx.demand
                .borrow_mut()
                .remove_waiting(self.service, artifact);
            if let Some(ticket) = self.ticket {
                let mut lines = cx.waiting_lines.borrow_mut();
                lines.leave(&artifact.key(), ticket);
            }
        }
    }
}
