//! One attempt to send a request to one upstream.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{
    StatusCode,
    body::{BoxBody, None as NoBody},
    header::{self, HeaderValue},
};
use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{health::Outcome, stream_origins::StreamKey, upstream::Upstream};
use comfreyweir_http::upstream::{
    CallProgress, ConnectionKind, RequestIdEcho, UpstreamAnswer, UpstreamCall,
};
use tokio::time::timeout;

use super::{
    admitted::AdmittedRequest,
    pick::PickedUpstream,
    trial::{Beginning, Trial},
};
use crate::{
    platform::Platform,
    state::{EntryContext, SendKind},
    zones,
};

/// Pause until it is checked again whether a request can leave an upstream that does not answer.
const LEAVE_RECHECK: Duration = Duration::from_millis(100);

/// The result of one attempt.
pub(super) enum AttemptResult<P>
where
    P: Platform,
{
    /// The upstream sent the head of an answer, and it has the upstream's seal header.
    Answered(Box<UpstreamAnswer>, Box<SentRequest<P>>),
    /// No byte of the request was sent.
    NotSent(String),
    /// The upstream reported that it did not run the request.
    NotRun(StatusCode),
    /// The upstream may have run the request, but there is no usable answer.
    Failed(String),
    /// The upstream may have run the request, but did not answer in time.
    TimedOut,
    /// Nothing was sent: the upstream has named a limit and takes no more now, or its zone was evacuated
    /// meanwhile. Returns the trial.
    NotPermitted(Option<Trial<P>>),
}

/// A request at an upstream. Counts towards the upstream's load until dropped.
pub(super) struct SentRequest<P>
where
    P: Platform,
{
    cx: Rc<EntryContext<P>>,
    pub(super) upstream: Rc<Upstream>,
    artifact_key: String,
    uncached_tokens: u64,
    has_started: bool,
    has_outcome: bool,
    sent_at: Instant,
    beginning: Beginning<P>,
}

impl<P> SentRequest<P>
where
    P: Platform,
{
    fn begin(
        cx: &Rc<EntryContext<P>>,
        request: &AdmittedRequest,
        picked: &PickedUpstream,
        trial: Option<Trial<P>>,
    ) -> Self {
        let artifact_key = request.artifact_key();
        let id = &picked.upstream.id;
        cx.loads
            .borrow_mut()
            .begin(id, &artifact_key, picked.uncached_tokens);
        Self {
            cx: Rc::clone(cx),
            upstream: Rc::clone(&picked.upstream),
            artifact_key,
            uncached_tokens: picked.uncached_tokens,
            has_started: false,
            has_outcome: false,
            sent_at: cx.now(),
            beginning: Beginning::new(cx, request, trial),
        }
    }

    /// Records a piece of the answer's body.
    pub(super) fn record_piece(&mut self) {
        self.record_first_byte();
        self.beginning.record_piece(self.cx.now());
    }

    /// Records that the answer to a request of a route is complete.
    pub(super) fn record_complete(&mut self, route: &str) {
        let mut run_times = self.cx.run_times.borrow_mut();
        run_times.record(route, self.elapsed(), self.cx.now());
        drop(run_times);
        self.note_outcome(Outcome::Good);
        self.beginning.record_past();
    }

    /// Records that the connection ended before the answer did.
    pub(super) async fn record_broken(&mut self, request: &AdmittedRequest) {
        self.note_outcome(Outcome::Bad);
        self.beginning.record_broken(request, &self.upstream).await;
    }

    /// Records that the answer's body has begun, so that the upstream's load no longer includes
    /// reading the prompt.
    pub(super) fn record_first_byte(&mut self) {
        if !self.has_started {
            self.has_started = true;
            let mut loads = self.cx.loads.borrow_mut();
            loads.started(&self.upstream.id, &self.artifact_key, self.uncached_tokens);
            drop(loads);
            if !self.artifact_key.is_empty() {
                self.cx.intake_changed.notify_waiters();
            }
        }
    }

    /// Reports the outcome to the upstream's health record; only the first outcome counts.
    pub(super) fn note_outcome(&mut self, outcome: Outcome) {
        if !self.has_outcome {
            self.has_outcome = true;
            let now = self.cx.now();
            let mut health = self.cx.health.borrow_mut();
            health.record_outcome(&self.upstream.id, outcome, now);
        }
    }

    /// Estimated prompt tokens that were not in the upstream's KV cache.
    pub(super) fn uncached_tokens(&self) -> u64 {
        self.uncached_tokens
    }

    /// Time since the attempt began.
    pub(super) fn elapsed(&self) -> Duration {
        self.cx.now().saturating_duration_since(self.sent_at)
    }
}

impl<P> Drop for SentRequest<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        // The load tracker needs a start before each end, also of a request that got no answer.
        self.record_first_byte();
        let mut loads = self.cx.loads.borrow_mut();
        loads.ended(&self.upstream.id, &self.artifact_key);
    }
}

/// How long an attempt waits for the response head.
pub(super) struct HeadWait<F> {
    /// Time after which the upstream is given up if the request can go elsewhere.
    pub(super) patience: Duration,
    /// Time after which it is given up anyway.
    pub(super) limit: Duration,
    /// Whether the request can go elsewhere now.
    pub(super) can_leave: F,
}

impl HeadWait<fn() -> bool> {
    /// Waits for at most `limit`.
    pub(super) fn until(limit: Duration) -> Self {
        Self {
            patience: limit,
            limit,
            can_leave: || true,
        }
    }
}

impl<F> HeadWait<F>
where
    F: Fn() -> bool,
{
    /// Waits for `call`; `None` if the upstream is given up.
    async fn wait<C>(&self, call: C) -> Option<C::Output>
    where
        C: Future,
    {
        let mut call = pin!(call);
        let (mut waited, mut next) = (Duration::ZERO, self.patience.min(self.limit));
        loop {
            if let Ok(output) = timeout(next, &mut call).await {
                return Some(output);
            }
            waited += next;
            let left = self.limit.saturating_sub(waited);
            if left.is_zero() || (self.can_leave)() {
                return None;
            }
            next = LEAVE_RECHECK.min(left);
        }
    }
}

/// Sends the request and waits for the response head. `progress` shows how far it has come meanwhile.
pub(super) async fn send<P, F>(
    cx: &Rc<EntryContext<P>>,
    request: &AdmittedRequest,
    picked: &PickedUpstream,
    (last_event, trial): (Option<u64>, Option<Trial<P>>),
    head_wait: HeadWait<F>,
    progress: &Rc<CallProgress>,
) -> AttemptResult<P>
where
    P: Platform,
    F: Fn() -> bool,
{
    if !zones::may_send(cx, request, &picked.upstream) || !cx.take_permit(&picked.upstream) {
        return AttemptResult::NotPermitted(trial);
    }
    if !bind_origin(cx, request, &picked.upstream) {
        let reason = "another software version may have begun the stream".to_owned();
        return AttemptResult::NotSent(reason);
    }
    let mut sent = SentRequest::begin(cx, request, picked, trial);
    note_prompt(cx, request, picked);
    let kind = if request.sent_to.borrow().is_empty() {
        SendKind::Request
    } else {
        SendKind::Repeat
    };
    cx.record_sent(&picked.upstream, kind);
    let sent_at = cx.clock.since_boot();
    let connection = request.record_send(picked.upstream.addr);
    let call = build_call(cx, request, &picked.upstream, last_event, connection);
    let body = if request.body.is_empty() && !request.method_may_have_body() {
        BoxBody::new(NoBody::new())
    } else {
        BoxBody::new(request.body.clone())
    };
    let answer = head_wait.wait(cx.upstreams.send(call, body, progress));
    let failure = match answer.await {
        Some(Ok(answer)) => {
            let notice = cx.platform.headers().notice(answer.status, &answer.headers);
            cx.record_notice(&picked.upstream, notice, (kind, sent_at));
            match check_answer(cx, &answer) {
                Ok(()) => return AttemptResult::Answered(Box::new(answer), Box::new(sent)),
                Err(failure) => failure,
            }
        }
        Some(Err(e)) if !progress.has_written_bytes() => {
            if e.is_refused_connection() {
                cx.record_refused_connection(&picked.upstream);
            }
            AttemptResult::NotSent(e.to_string())
        }
        Some(Err(e)) => AttemptResult::Failed(e.to_string()),
        None if progress.has_written_bytes() => AttemptResult::TimedOut,
        None => AttemptResult::NotSent("no connection within the time left".to_owned()),
    };
    match &failure {
        AttemptResult::NotSent(_) => sent.note_outcome(Outcome::Unreachable),
        // 421 shows that this instance's list of upstreams is out of date, not a failing upstream.
        AttemptResult::NotRun(StatusCode::MISDIRECTED_REQUEST) => {}
        AttemptResult::Failed(_) if progress.has_ended() => sent.record_broken(request).await,
        _ => sent.note_outcome(Outcome::Bad),
    }
    log_failure(request, &sent, &failure);
    failure
}

/// Records which software version is to begin a stream that can be resumed. False if it is bound to
/// another one.
fn bind_origin<P>(cx: &EntryContext<P>, request: &AdmittedRequest, upstream: &Upstream) -> bool
where
    P: Platform,
{
    let Some(stream) = request.begun_stream() else {
        return true;
    };
    let now = cx.now();
    if cx.software.borrow().is_mixed(&upstream.service, now) {
        cx.origins_due.notify_one();
    }
    let mut origins = cx.origins.borrow_mut();
    origins.begin(stream, &upstream.service, &upstream.software, now)
}

/// Records that no upstream runs the request any more, which is to be sent again.
pub(super) fn end_attempt<P>(cx: &EntryContext<P>, request: &AdmittedRequest)
where
    P: Platform,
{
    if let Some(stream) = request.begun_stream() {
        cx.origins.borrow_mut().end_attempt(stream);
    }
}

/// The software version to which a stream that the request begins is bound, if any.
pub(super) fn bound_software<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> Option<String>
where
    P: Platform,
{
    let origins = cx.origins.borrow();
    let software = origins.bound_software(request.begun_stream()?)?;
    Some(software.to_owned())
}

/// Checks that the intended upstream ran the request and that its answer is usable.
fn check_answer<P>(cx: &EntryContext<P>, answer: &UpstreamAnswer) -> Result<(), AttemptResult<P>>
where
    P: Platform,
{
    let names = cx.platform.headers();
    let is_misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if answer.headers.contains_key(&names.not_run) || is_misdirected {
        return Err(AttemptResult::NotRun(answer.status));
    }
    if !answer.headers.contains_key(&names.seal) {
        let reason = format!("answer {} without a seal", answer.status.as_u16());
        return Err(AttemptResult::Failed(reason));
    }
    if answer.headers.contains_key(header::CONTENT_ENCODING) {
        let reason = "answer with an encoding that was not asked for".to_owned();
        return Err(AttemptResult::Failed(reason));
    }
    Ok(())
}

fn note_prompt<P>(cx: &EntryContext<P>, request: &AdmittedRequest, picked: &PickedUpstream)
where
    P: Platform,
{
    let Some(artifact) = request.artifact() else {
        return;
    };
    let config = cx.config();
    let engine = config
        .services
        .get(&request.service)
        .and_then(|s| s.engine.as_ref());
    let kv_capacity = engine.map_or(0, |engine| engine.kv_tokens);
    let prompt = &request.declared.prompt;
    cx.prefix_caches
        .borrow_mut()
        .record_prompt(&picked.upstream.id, artifact, prompt, kv_capacity);
}

fn build_call<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    upstream: &Upstream,
    last_event: Option<u64>,
    connection: ConnectionKind,
) -> UpstreamCall
where
    P: Platform,
{
    let names = cx.platform.headers();
    let mut headers = request.headers.clone();
    let left = whole_millis(request.time_left(cx.now())).max(1);
    headers.insert(names.deadline.clone(), header_number(left));
    if let Ok(id) = HeaderValue::from_str(&upstream.id) {
        headers.insert(names.expect_upstream.clone(), id);
    }
    if let Some(name) = request
        .workspace
        .as_ref()
        .and_then(|w| HeaderValue::from_str(&w.name).ok())
    {
        headers.insert(names.workspace.clone(), name);
    }
    if request.artifact().is_some() {
        let priority = u64::from(request.priority());
        headers.insert(names.priority.clone(), header_number(priority));
    }
    if let Some(id) = last_event {
        headers.insert(names.last_event.clone(), header_number(id));
    }
    UpstreamCall {
        addr: upstream.addr,
        method: request.method.clone(),
        path: request.path.clone(),
        headers,
        id_header: names.request_id.clone(),
        request_id: request.id.clone(),
        echo: RequestIdEcho::IfPresent,
        connection,
    }
}

fn header_number(n: u64) -> HeaderValue {
    HeaderValue::from(n)
}

fn log_failure<P>(request: &AdmittedRequest, sent: &SentRequest<P>, failure: &AttemptResult<P>)
where
    P: Platform,
{
    let (outcome, reason) = match failure {
        AttemptResult::Answered(..) | AttemptResult::NotPermitted(_) => return,
        AttemptResult::NotSent(reason) => ("not_sent", reason.clone()),
        AttemptResult::NotRun(status) => ("not_run", status.as_u16().to_string()),
        AttemptResult::Failed(reason) => ("failed", reason.clone()),
        AttemptResult::TimedOut => ("silent", String::new()),
    };
    if !sent.cx.request_log_limiter.try_acquire(sent.cx.now()) {
        return;
    }
    let ms = whole_millis(sent.elapsed());
    let artifact = request.artifact_key();
    let prompt = request.declared.prompt_text();
    spdlog::info!("upstream did not serve the request", kv: {
        request_id = request.id.as_str(), upstream = sent.upstream.id.as_str(), outcome,
        artifact = artifact.as_str(), prompt = prompt.as_str(), reason = reason.as_str(), ms
    });
}

impl AdmittedRequest {
    /// The key of the stream that a request of the same workspace began.
    pub(super) fn stream_key(&self, request_id: &str) -> StreamKey {
        let workspace = self.workspace.as_ref().map_or("", |w| w.name.as_str());
        StreamKey::of(workspace, request_id)
    }

    /// The stream that the request begins, if it is one that can be resumed.
    fn begun_stream(&self) -> Option<StreamKey> {
        let begins = self.route.is_resumable && self.declared.last_event.is_none();
        begins.then(|| self.stream_key(&self.id))
    }

    /// Records that it is sent to `addr`, and returns which connections it may use there.
    ///
    /// An upstream may write an answer once more on a kept connection. If the request is sent there
    /// again, its identifier does not tell an earlier answer from the one to the new send.
    fn record_send(&self, addr: SocketAddr) -> ConnectionKind {
        if self.sent_to.borrow_mut().insert(addr) {
            ConnectionKind::Reusable
        } else {
            ConnectionKind::Fresh
        }
    }

    /// Whether the method allows a body. If so, an empty body is sent as such.
    fn method_may_have_body(&self) -> bool {
        use actix_http::Method;

        self.method != Method::GET && self.method != Method::HEAD
    }
}
