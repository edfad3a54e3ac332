//! Waiting for an upstream that can run a request, and choosing it.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{
    choice::{self, Candidate},
    request::Artifact,
    upstream::Upstream,
};
use tokio::time::timeout;

use super::{Refusal, admitted::Ticket};
use crate::{ports::Platform, state::Cx};

/// Longest wait before candidates are looked at again.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time that a request needs at an upstream at the least; with less left it is not sent.
const LEAST_RUN: Duration = Duration::from_millis(20);
/// Part of its time that a request waits for an upstream of a service without any.
const ABSENT_PART: f64 = 0.5;
/// When to come back after nothing could serve the request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// An upstream that was chosen for a request.
pub(super) struct Picked {
    pub(super) upstream: Rc<Upstream>,
    /// Prompt tokens that it has to read anew.
    pub(super) unread: u64,
}

/// Upstreams that a request is not sent to for a time.
#[derive(Default)]
pub(super) struct Avoided(HashMap<String, Instant>);

impl Avoided {
    pub(super) fn until(&mut self, upstream: &str, until: Instant) {
        self.0.insert(upstream.to_owned(), until);
    }

    fn contains(&self, upstream: &str, now: Instant) -> bool {
        self.0.get(upstream).is_some_and(|until| now < *until)
    }
}

/// Waits until an upstream can run the request, and chooses the best.
pub(super) async fn pick<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Ticket,
    avoided: &Avoided,
) -> Result<Picked, Refusal>
where
    P: Platform,
{
    let mut waiting = None;
    loop {
        let changed = cx.changed.notified();
        let now = cx.now();
        check_key(cx, ticket)?;
        if let Some(picked) = choose(cx, ticket, avoided, now) {
            return Ok(picked);
        }
        check_time(cx, ticket, now)?;
        if waiting.is_none() {
            waiting = Some(Waiting::begin(cx, ticket));
            log_waiting(cx, ticket, now);
        }
        let left = ticket.left(now);
        let _ = timeout(LOOK_PERIOD.min(left), changed).await;
    }
}

fn log_waiting<P>(cx: &Cx<P>, ticket: &Ticket, now: Instant)
where
    P: Platform,
{
    if !cx.lines.take(now) {
        return;
    }
    let artifact = ticket.load_key();
    let placement = cx.placement.borrow();
    spdlog::info!("request waits for an upstream", kv: {
        request_id = ticket.id.as_str(), service = ticket.service.as_str(),
        artifact = artifact.as_str(), left_ms = whole_millis(ticket.left_to_start(now)),
        placement = placement.known.1, fence = placement.known.0
    });
}

/// The key may have been withdrawn while the request waited.
fn check_key<P>(cx: &Cx<P>, ticket: &Ticket) -> Result<(), Refusal>
where
    P: Platform,
{
    let (Some(workspace), Some(key)) = (&ticket.workspace, &ticket.declared.key) else {
        return Ok(());
    };
    let config = cx.config();
    let still = config.workspace_of(key).map(|w| w.name.as_str());
    if still == Some(workspace.name.as_str()) || ticket.route.is_public {
        return Ok(());
    }
    let status = actix_http::StatusCode::UNAUTHORIZED;
    Err(Refusal::wrong(status, "the request's key was withdrawn"))
}

/// Refuses as soon as it is known that the request cannot be served in time.
fn check_time<P>(cx: &Cx<P>, ticket: &Ticket, now: Instant) -> Result<(), Refusal>
where
    P: Platform,
{
    let stopping = cx.time_to_answer(now);
    if stopping <= LEAST_RUN {
        let reason = "this instance stops: send the request again, so that another takes it";
        return Err(Refusal::not_run(reason, RETRY_AFTER));
    }
    let left = ticket.left_to_start(now);
    if left <= LEAST_RUN {
        return Err(Refusal::not_run(
            "nothing could serve the request in time",
            RETRY_AFTER,
        ));
    }
    let directory = cx.directory.borrow();
    if directory.ready(&ticket.service).next().is_none() {
        let waited = now.saturating_duration_since(ticket.arrived);
        if waited > (waited + left).mul_f64(ABSENT_PART) {
            let reason = format!("service {} has no upstream", ticket.service);
            return Err(Refusal::not_run(reason, RETRY_AFTER));
        }
    }
    let placement = cx.placement.borrow();
    let ready_in = ticket.artifact().and_then(|artifact| {
        let known = placement.ready_in.iter().find(|(a, _)| a == artifact);
        known.map(|(_, time)| *time)
    });
    if ready_in.is_some_and(|time| time > left) {
        let reason = "the model cannot be loaded in time";
        return Err(Refusal::not_run(reason, ready_in.unwrap_or(RETRY_AFTER)));
    }
    Ok(())
}

fn choose<P>(cx: &Cx<P>, ticket: &Ticket, avoided: &Avoided, now: Instant) -> Option<Picked>
where
    P: Platform,
{
    let directory = cx.directory.borrow();
    let health = cx.health.borrow();
    let usable = |u: &&Rc<Upstream>| {
        !avoided.contains(&u.id, now)
            && !health.is_resting(&u.id, now)
            && ticket.artifact().is_none_or(|a| holds(cx, u, a, now))
    };
    let upstreams: Vec<_> = directory.ready(&ticket.service).filter(usable).collect();
    let loads = cx.loads.borrow();
    let kept = cx.kept.borrow();
    let settings = cx.settings();
    let candidates: Vec<_> = upstreams
        .iter()
        .map(|u| Candidate {
            id: &u.id,
            is_near: u.zone == settings.instance.zone,
            load: loads.total(&u.id),
            slots: u.slots,
            unread: unread(&kept, u, ticket),
            failing: health.failing(&u.id, now),
        })
        .collect();
    let at = choice::choose(&candidates, ticket.declared.subject())?;
    Some(Picked {
        upstream: Rc::clone(upstreams[at]),
        unread: candidates[at].unread,
    })
}

fn unread(kept: &comfreyweir_fleet::kept::KeptParts, upstream: &Upstream, ticket: &Ticket) -> u64 {
    let Some(artifact) = ticket.artifact() else {
        return 0;
    };
    let prompt = &ticket.declared.prompt;
    if prompt.is_empty() {
        return ticket.declared.prompt_tokens();
    }
    kept.unread(&upstream.id, artifact, prompt)
}

/// Whether an engine holds an artifact: as the holder of the planning duty says, and without it as
/// the engine itself said last.
fn holds<P>(cx: &Cx<P>, upstream: &Upstream, artifact: &Artifact, now: Instant) -> bool
where
    P: Platform,
{
    let placement = cx.placement.borrow();
    let told = placement.engines.get(&upstream.id);
    match told.filter(|_| placement.is_fresh(now)) {
        Some(models) => models.get(&artifact.model).is_some_and(|adapters| {
            let adapter = artifact.adapter.as_ref();
            adapter.is_none_or(|adapter| adapters.contains(adapter))
        }),
        None => upstream.holds.has(artifact),
    }
}

/// A request that waits for an artifact, as the holder of the planning duty hears of it.
struct Waiting<'a, P>
where
    P: Platform,
{
    cx: &'a Cx<P>,
    service: &'a str,
    artifact: Option<&'a Artifact>,
}

impl<'a, P> Waiting<'a, P>
where
    P: Platform,
{
    fn begin(cx: &'a Cx<P>, ticket: &'a Ticket) -> Self {
        let artifact = ticket.artifact();
        if let Some(artifact) = artifact {
            let is_first = cx.demand.borrow_mut().begin(&ticket.service, artifact);
            if is_first {
                cx.demand_changed.notify_one();
            }
        }
        Self {
            cx,
            service: &ticket.service,
            artifact,
        }
    }
}

impl<P> Drop for Waiting<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if let Some(artifact) = self.artifact {
            self.cx.demand.borrow_mut().end(self.service, artifact);
        }
    }
}
