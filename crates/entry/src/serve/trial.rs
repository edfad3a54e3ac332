//! Keeps requests with suspect prompt parts from upstreams, but for one at a time.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{
    directory::UpstreamProcess,
    quarantine::{BEGINNING, PartCheck, PartId, TrialAnswer, TrialId, TrialOutcome},
    upstream::Upstream,
};
use tokio::time::timeout;

use super::{Refusal, admitted::AdmittedRequest};
use crate::{platform::Platform, quarantine::TrialWait, state::EntryContext};

/// Longest time that a request waits for a trial.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Fraction of the time left to the first byte that a request waits for a trial.
const WAIT_FRACTION: f64 = 0.5;
/// Time in which a request must be sent after it got its trial; others wait meanwhile.
const USE_TIME: Duration = Duration::from_secs(1);
/// Time from the choice of an upstream after which another one is chosen.
const MAX_CHOICE_AGE: Duration = Duration::from_millis(50);
/// `Retry-After` when other requests were on trial all the time.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest `Retry-After` until the next trial.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` when there is no trial before an operator releases a part.
const BLOCKED_RETRY_AFTER: Duration = Duration::from_hours(1);
/// Time in which a connection to a running upstream is accepted, or refused by its host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The holder's permission to send one request with suspect parts once.
pub(super) struct Trial<P>
where
    P: Platform,
{
    cx: Rc<EntryContext<P>>,
    /// None if the holder has found that no trial is needed.
    id: Option<TrialId>,
    parts: Vec<PartId>,
    given_at: Instant,
    outcome: TrialOutcome,
}

impl<P> Trial<P>
where
    P: Platform,
{
    /// Records that the request is sent.
    fn record_sent(&mut self) {
        self.outcome = TrialOutcome::Unknown;
    }

    /// Whether it was given so recently that it may still be used.
    fn is_usable(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.given_at) < USE_TIME
    }
}

impl<P> Drop for Trial<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let parts = std::mem::take(&mut self.parts);
            self.cx.quarantine.end_trial(id, parts, self.outcome);
        }
    }
}

/// Refuses a request at once if one of its parts gets no trial soon.
pub(super) fn refuse_blocked<P>(
    cx: &EntryContext<P>,
    parts: &[PartId],
    now: Instant,
) -> Result<(), Refusal>
where
    P: Platform,
{
    let check = cx.quarantine.evidence().check(parts, false, now);
    if let PartCheck::Blocked(part, trial_in) = check {
        return Err(blocked(cx, part, trial_in));
    }
    Ok(())
}

fn blocked<P>(cx: &EntryContext<P>, part: PartId, trial_in: Option<Duration>) -> Refusal
where
    P: Platform,
{
    cx.metrics.count_quarantine_event("refused");
    let reason = format!("upstreams ended when they began to write on part {part} of the prompt");
    let retry_after = trial_in.unwrap_or(BLOCKED_RETRY_AFTER);
    Refusal::not_run(reason, retry_after.max(MIN_RETRY_AFTER))
}

/// Whether a request may be sent without a trial.
pub(super) fn is_unneeded<P>(cx: &EntryContext<P>, request: &AdmittedRequest, now: Instant) -> bool
where
    P: Platform,
{
    let has_ended_upstream = request.has_ended_upstream.get();
    let evidence = cx.quarantine.evidence();
    let check = evidence.check(&request.parts, has_ended_upstream, now);
    matches!(check, PartCheck::Free)
}

/// Whether a request may be sent now to an upstream chosen at `chosen_at`. If its parts are suspect, it
/// waits for a trial first; after a long wait another upstream is to be chosen.
pub(super) async fn may_send<P>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
    trial: &mut Option<Trial<P>>,
    chosen_at: Instant,
) -> Result<bool, Refusal>
where
    P: Platform,
{
    let now = cx.now();
    let has_ended_upstream = request.has_ended_upstream.get();
    let check = cx
        .quarantine
        .evidence()
        .check(&request.parts, has_ended_upstream, now);
    match check {
        PartCheck::Free => {
            *trial = None;
            return Ok(true);
        }
        PartCheck::Blocked(part, trial_in) => return Err(blocked(cx, part, trial_in)),
        PartCheck::NeedsTrial => {}
    }
    if trial.as_ref().is_some_and(|t| t.is_usable(now)) {
        return Ok(true);
    }
    *trial = None;
    *trial = Some(wait_for_trial(cx, request).await?);
    let waited = cx.now().saturating_duration_since(chosen_at);
    Ok(waited < MAX_CHOICE_AGE)
}

async fn wait_for_trial<P>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
) -> Result<Trial<P>, Refusal>
where
    P: Platform,
{
    let begun_at = cx.now();
    let left = request.time_left_to_first_byte(begun_at);
    let deadline = begun_at + MAX_WAIT.min(left.mul_f64(WAIT_FRACTION));
    // The holder may know more parts as suspect than this instance.
    let wait = cx.quarantine.wait_for_trial(request.parts.to_vec());
    let answer = match &wait {
        Some(wait) => answer_until(cx, wait, deadline).await,
        None => None,
    };
    let (id, parts) = match answer {
        Some((TrialAnswer::Granted(id), parts)) => (Some(id), parts),
        Some((TrialAnswer::NotNeeded, parts)) => (None, parts),
        Some((TrialAnswer::Later(part, trial_in), _)) => {
            return Err(blocked(cx, part, trial_in));
        }
        _ => {
            cx.metrics.count_quarantine_event("refused");
            let reason = "another request with a suspect part of the prompt is on trial";
            return Err(Refusal::not_run(reason, RETRY_AFTER));
        }
    };
    log_trial(cx, request, id, begun_at);
    Ok(Trial {
        cx: Rc::clone(cx),
        id,
        parts,
        given_at: cx.now(),
        outcome: TrialOutcome::Unused,
    })
}

async fn answer_until<P>(
    cx: &EntryContext<P>,
    wait: &TrialWait<'_>,
    deadline: Instant,
) -> Option<(TrialAnswer, Vec<PartId>)>
where
    P: Platform,
{
    loop {
        let answered = cx.quarantine.answered.notified();
        if let Some(answer) = wait.take_answer() {
            return Some(answer);
        }
        let left = deadline.saturating_duration_since(cx.now());
        if left.is_zero() || timeout(left, answered).await.is_err() {
            return wait.take_answer();
        }
    }
}

fn log_trial<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    id: Option<TrialId>,
    begun_at: Instant,
) where
    P: Platform,
{
    let now = cx.now();
    if !cx.request_log_limiter.try_acquire(now) {
        return;
    }
    let (fence, trial) = id.map_or((0, 0), |id| (id.fence, id.number));
    let prompt = request.declared.prompt_text();
    spdlog::info!("request is sent as a trial of its prompt parts", kv: {
        request_id = request.id.as_str(), prompt = prompt.as_str(), fence, trial,
        is_needed = id.is_some(), ms = whole_millis(now.saturating_duration_since(begun_at))
    });
}

/// Observes whether an upstream gets past the beginning of its answer.
pub(super) struct Beginning<P>
where
    P: Platform,
{
    cx: Rc<EntryContext<P>>,
    parts: Rc<[PartId]>,
    trial: Option<Trial<P>>,
    first_byte_at: Option<Instant>,
    is_past: bool,
}

impl<P> Beginning<P>
where
    P: Platform,
{
    /// Begins when the request is sent.
    pub(super) fn new(
        cx: &Rc<EntryContext<P>>,
        request: &AdmittedRequest,
        mut trial: Option<Trial<P>>,
    ) -> Self {
        if let Some(trial) = &mut trial {
            trial.record_sent();
        }
        Self {
            cx: Rc::clone(cx),
            parts: Rc::clone(&request.parts),
            trial,
            first_byte_at: None,
            is_past: false,
        }
    }

    /// Records a piece of the answer's body.
    pub(super) fn record_piece(&mut self, now: Instant) {
        let first = *self.first_byte_at.get_or_insert(now);
        if now.saturating_duration_since(first) >= BEGINNING {
            self.record_past();
        }
    }

    /// Records that the upstream got past the beginning of the answer, or has completed it.
    pub(super) fn record_past(&mut self) {
        if self.is_past {
            return;
        }
        self.is_past = true;
        if !self.parts.is_empty() {
            let quarantine = &self.cx.quarantine;
            quarantine.record_begun(&self.parts, self.cx.now());
        }
        if let Some(mut trial) = self.trial.take() {
            trial.outcome = TrialOutcome::Begun;
        }
    }

    /// Records that the connection ended before the answer did. At the beginning of an answer that
    /// speaks against the prompt's parts if the upstream has ended too.
    pub(super) async fn record_broken(&mut self, request: &AdmittedRequest, upstream: &Upstream) {
        if self.is_past || self.parts.is_empty() {
            return;
        }
        let cx = &self.cx;
        if !cx.upstreams.is_refused(upstream.addr, PROBE_TIMEOUT).await {
            return;
        }
        request.has_ended_upstream.set(true);
        let process = UpstreamProcess::of(upstream);
        let counts = cx.quarantine.record_end(process, &self.parts, cx.now());
        if let Some(mut trial) = self.trial.take() {
            trial.outcome = TrialOutcome::Ended;
        }
        cx.metrics.count_quarantine_event("end");
        if cx.request_log_limiter.try_acquire(cx.now()) {
            let prompt = request.declared.prompt_text();
            spdlog::info!("upstream ended at the beginning of an answer", kv: {
                request_id = request.id.as_str(), upstream = upstream.id.as_str(),
                prompt = prompt.as_str(), counts
            });
        }
    }
}
