//! One send of a request to one upstream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{
    StatusCode,
    body::{BoxBody, None as NoBody},
    header::{self, HeaderValue},
};
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{health::Outcome, upstream::Upstream};
use comfreyweir_http::upstream::{Answer, Call, Connection, Echo, Track};
use tokio::time::timeout;

use super::{admitted::Ticket, pick::Picked};
use crate::{ports::Platform, state::Cx};

/// What became of a send.
pub(super) enum Attempt<P>
where
    P: Platform,
{
    /// The upstream answers, and the answer bears its seal.
    Answered(Box<Answer>, Sent<P>),
    /// Not one byte was sent.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotRun(StatusCode),
    /// The upstream may have run it; its answer is not usable.
    Failed(String),
    /// The upstream may have run it and has not answered in time.
    Silent,
}

/// A request at an upstream, until it is dropped.
pub(super) struct Sent<P>
where
    P: Platform,
{
    cx: Rc<Cx<P>>,
    pub(super) upstream: Rc<Upstream>,
    key: String,
    unread: u64,
    has_started: bool,
    judged: bool,
    at: Instant,
}

impl<P> Sent<P>
where
    P: Platform,
{
    fn begin(cx: &Rc<Cx<P>>, ticket: &Ticket, picked: &Picked) -> Self {
        let key = ticket.load_key();
        let id = &picked.upstream.id;
        cx.loads.borrow_mut().begin(id, &key, picked.unread);
        Self {
            cx: Rc::clone(cx),
            upstream: Rc::clone(&picked.upstream),
            key,
            unread: picked.unread,
            has_started: false,
            judged: false,
            at: cx.now(),
        }
    }

    /// Notes the first byte of the answer's body.
    pub(super) fn started(&mut self) {
        if !self.has_started {
            self.has_started = true;
            let mut loads = self.cx.loads.borrow_mut();
            loads.started(&self.upstream.id, &self.key, self.unread);
        }
    }

    /// Notes how the upstream treated the request; only the first judgement counts.
    pub(super) fn judge(&mut self, outcome: Outcome) {
        if !self.judged {
            self.judged = true;
            let now = self.cx.now();
            let mut health = self.cx.health.borrow_mut();
            health.note(&self.upstream.id, outcome, now);
        }
    }

    /// Prompt tokens that the upstream had to read anew, as far as known.
    pub(super) fn unread(&self) -> u64 {
        self.unread
    }

    /// Time since it was sent.
    pub(super) fn age(&self) -> Duration {
        self.cx.now().saturating_duration_since(self.at)
    }
}

impl<P> Drop for Sent<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        self.started();
        let mut loads = self.cx.loads.borrow_mut();
        loads.ended(&self.upstream.id, &self.key);
    }
}

/// Sends the request and waits for the head of the answer, for at most `limit`.
pub(super) async fn send<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Ticket,
    picked: &Picked,
    last_event: Option<u64>,
    limit: Duration,
) -> Attempt<P>
where
    P: Platform,
{
    let mut sent = Sent::begin(cx, ticket, picked);
    note_prompt(cx, ticket, picked);
    let track = Track::new();
    let call = call(cx, ticket, &picked.upstream, last_event);
    let body = if ticket.body.is_empty() && !ticket.headers_declare_body() {
        BoxBody::new(NoBody::new())
    } else {
        BoxBody::new(ticket.body.clone())
    };
    let failed = match timeout(limit, cx.upstreams.send(call, body, &track)).await {
        Ok(Ok(answer)) => match check(cx, &answer) {
            Ok(()) => return Attempt::Answered(Box::new(answer), sent),
            Err(failed) => failed,
        },
        Ok(Err(e)) if !track.is_written() => Attempt::NotSent(e.to_string()),
        Ok(Err(e)) => Attempt::Failed(e.to_string()),
        Err(_) if track.is_written() => Attempt::Silent,
        Err(_) => Attempt::NotSent("no connection within the time left".to_owned()),
    };
    match &failed {
        Attempt::NotSent(_) => sent.judge(Outcome::Unreachable),
        // It tells of an old list and not of a failing upstream.
        Attempt::NotRun(StatusCode::MISDIRECTED_REQUEST) => {}
        _ => sent.judge(Outcome::Bad),
    }
    log_failed(ticket, &sent, &failed);
    failed
}

/// Whether an answer is one to the request, from the upstream that was meant.
fn check<P>(cx: &Cx<P>, answer: &Answer) -> Result<(), Attempt<P>>
where
    P: Platform,
{
    let names = cx.platform.headers();
    let is_misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if answer.headers.contains_key(&names.not_run) || is_misdirected {
        return Err(Attempt::NotRun(answer.status));
    }
    if !answer.headers.contains_key(&names.seal) {
        let reason = format!("answer {} without a seal", answer.status.as_u16());
        return Err(Attempt::Failed(reason));
    }
    if answer.headers.contains_key(header::CONTENT_ENCODING) {
        let reason = "answer with an encoding that was not asked for".to_owned();
        return Err(Attempt::Failed(reason));
    }
    Ok(())
}

fn note_prompt<P>(cx: &Cx<P>, ticket: &Ticket, picked: &Picked)
where
    P: Platform,
{
    let Some(artifact) = ticket.artifact() else {
        return;
    };
    let config = cx.config();
    let engine = config
        .services
        .get(&ticket.service)
        .and_then(|s| s.engine.as_ref());
    let room = engine.map_or(0, |engine| engine.kv_tokens);
    let prompt = &ticket.declared.prompt;
    cx.kept
        .borrow_mut()
        .note(&picked.upstream.id, artifact, prompt, room);
}

fn call<P>(cx: &Cx<P>, ticket: &Ticket, upstream: &Upstream, last_event: Option<u64>) -> Call
where
    P: Platform,
{
    let names = cx.platform.headers();
    let mut headers = ticket.headers.clone();
    let left = whole_millis(ticket.left(cx.now())).max(1);
    headers.insert(names.deadline.clone(), number(left));
    if let Ok(id) = HeaderValue::from_str(&upstream.id) {
        headers.insert(names.expect_upstream.clone(), id);
    }
    if let Some(name) = ticket
        .workspace
        .as_ref()
        .and_then(|w| HeaderValue::from_str(&w.name).ok())
    {
        headers.insert(names.workspace.clone(), name);
    }
    if ticket.artifact().is_some() {
        let urgency = u64::from(ticket.urgency());
        headers.insert(names.priority.clone(), number(urgency));
    }
    if let Some(id) = last_event {
        headers.insert(names.last_event.clone(), number(id));
    }
    Call {
        addr: upstream.addr,
        method: ticket.method.clone(),
        path: ticket.path.clone(),
        headers,
        id_header: names.request_id.clone(),
        request_id: ticket.id.clone(),
        echo: Echo::IfPresent,
        connection: Connection::Reusable,
    }
}

fn number(n: u64) -> HeaderValue {
    HeaderValue::from(n)
}

fn log_failed<P>(ticket: &Ticket, sent: &Sent<P>, failed: &Attempt<P>)
where
    P: Platform,
{
    let (outcome, reason) = match failed {
        Attempt::Answered(..) => return,
        Attempt::NotSent(reason) => ("not_sent", reason.clone()),
        Attempt::NotRun(status) => ("not_run", status.as_u16().to_string()),
        Attempt::Failed(reason) => ("failed", reason.clone()),
        Attempt::Silent => ("silent", String::new()),
    };
    if !sent.cx.lines.take(sent.cx.now()) {
        return;
    }
    let ms = whole_millis(sent.age());
    let artifact = ticket.load_key();
    spdlog::info!("upstream did not serve the request", kv: {
        request_id = ticket.id.as_str(), upstream = sent.upstream.id.as_str(), outcome,
        artifact = artifact.as_str(), reason = reason.as_str(), ms
    });
}

impl Ticket {
    /// Whether its head announced a body, which may be empty.
    fn headers_declare_body(&self) -> bool {
        use actix_http::Method;

        self.method != Method::GET && self.method != Method::HEAD
    }
}
