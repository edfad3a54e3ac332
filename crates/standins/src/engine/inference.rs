//! Inference: from the request to the last token.

use std::{cell::RefCell, future, io, rc::Rc, time::Duration};

use actix_http::{
    Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use comfreyweir_external::engine::{REQUEST_ID_HEADER, WORKSPACE_HEADER};
use futures_util::stream;
use tokio::time::{self, Instant};

use super::{
    batch::Slot,
    completion::{Completion, Format, Output, Style, Usage},
    record::{Outcome, Receipt, Record, RequestRecord, TokenKind},
    settings::{Faults, Times},
    state::{self, State, Use},
};
use crate::{http, service::headers, tap::Breaker, timeline};

/// Header of a refusal which promises that the request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// A request's place in the record; what is not recorded otherwise counts as left by its caller.
struct Entry {
    record: Rc<RefCell<Record>>,
    index: Option<usize>,
}

impl Entry {
    fn open(record: &Rc<RefCell<Record>>, req: &Request, keep: bool) -> Self {
        let index = keep.then(|| {
            let requests = &mut record.borrow_mut().requests;
            requests.push(RequestRecord {
                at_us: timeline::now_us(),
                ended_us: 0,
                path: req.path().to_owned(),
                query: req.uri().query().unwrap_or_default().to_owned(),
                headers: headers(req),
                request_id: text(req, REQUEST_ID_HEADER),
                workspace: text(req, WORKSPACE_HEADER),
                model: String::new(),
                prompt_tokens: 0,
                output_tokens: 0,
                cached_tokens: 0,
                outcome: Outcome::Waiting,
            });
            requests.len() - 1
        });
        Self {
            record: Rc::clone(record),
            index,
        }
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut RequestRecord),
    {
        let mut record = self.record.borrow_mut();
        if let Some(entry) = self.index.and_then(|i| record.requests.get_mut(i)) {
            change(entry);
        }
    }

    fn end(&self, outcome: Outcome) {
        self.update(|entry| {
            entry.outcome = outcome;
            entry.ended_us = timeline::now_us();
        });
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.update(|entry| {
            let left = match entry.outcome {
                Outcome::Waiting => Outcome::LeftWaiting,
                Outcome::Running => Outcome::Cancelled,
                _ => return,
            };
            entry.outcome = left;
            entry.ended_us = timeline::now_us();
        });
    }
}

fn text(req: &Request, header: &str) -> String {
    http::header_text(req, header)
        .unwrap_or_default()
        .to_owned()
}

/// A run in a slot.
struct Run {
    entry: Entry,
    _slot: Slot,
    _replica: Use,
    output: Output,
    format: Format,
    workspace: String,
    request_id: String,
    include_usage: bool,
    keep: bool,
    next: u32,
    last: u32,
    finish: &'static str,
    usage: Usage,
    due: Instant,
    times: Times,
    faults: Faults,
    breaker: Breaker,
    ended: bool,
}

/// Serves a request of a completion path.
pub(super) async fn serve(
    state: Rc<RefCell<State>>,
    style: Style,
    mut req: Request,
) -> Response<BoxBody> {
    let (record, keep) = {
        let state = state.borrow();
        (Rc::clone(&state.record), state.settings().record)
    };
    let entry = Entry::open(&record, &req, keep);
    let Some(body) = http::read_body(&mut req).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    let completion = match Completion::parse(style, &req, &body) {
        Ok(completion) => completion,
        Err(message) => {
            entry.end(Outcome::Refused);
            return http::error(StatusCode::BAD_REQUEST, &message);
        }
    };
    entry.update(|entry| {
        entry.model.clone_from(&completion.model);
        entry.prompt_tokens = completion.prompt_tokens();
    });
    match start(&state, entry, &completion, &req).await {
        Ok(run) if completion.stream => run.stream(),
        Ok(run) => run.whole().await,
        Err(refusal) => refusal,
    }
}

async fn start(
    state: &Rc<RefCell<State>>,
    entry: Entry,
    completion: &Completion,
    req: &Request,
) -> Result<Run, Response<BoxBody>> {
    let refuse = |message: &str| {
        entry.end(Outcome::Refused);
        refusal(message)
    };
    if state.borrow().faults.borrow().refuse_runs {
        return Err(refuse("refused by a fault"));
    }
    let Some(replica) = state::use_replica(state, &completion.model) else {
        return Err(refuse("the model is not loaded"));
    };
    let batch = Rc::clone(&state.borrow().batch);
    let Ok(slot) = batch.enter(completion.priority).await else {
        return Err(refuse("the queue is full"));
    };
    let mut state = state.borrow_mut();
    let cached = state.cache.read(&completion.model, &completion.prompt);
    let prompt = completion.prompt_tokens();
    let times = state.settings().times;
    let limit = completion.max_tokens.unwrap_or(u32::MAX);
    let natural = state.settings().output_tokens;
    let fresh = u32::try_from(prompt - cached.min(prompt)).unwrap_or(u32::MAX);
    let until_first = Duration::from_micros(times.first_token_us)
        + Duration::from_micros(times.prompt_token_us) * fresh;
    let run = Run {
        output: Output::of(&completion.prompt),
        format: Format {
            style: completion.style,
            id: format!("cmpl-{}", text(req, REQUEST_ID_HEADER)),
            model: completion.model.clone(),
        },
        workspace: text(req, WORKSPACE_HEADER),
        request_id: text(req, REQUEST_ID_HEADER),
        include_usage: completion.include_usage,
        keep: state.settings().record,
        next: completion.resume_from,
        last: natural.min(limit).max(completion.resume_from),
        finish: if natural > limit { "length" } else { "stop" },
        usage: Usage {
            prompt,
            cached: cached.min(prompt),
            output: 0,
        },
        due: Instant::now() + until_first,
        times,
        faults: take_faults(&mut state.faults.borrow_mut()),
        breaker: http::breaker(req),
        ended: false,
        entry,
        _slot: slot,
        _replica: replica,
    };
    run.begin();
    Ok(run)
}

/// Takes the faults of one run.
fn take_faults(faults: &mut Faults) -> Faults {
    if faults.runs == 0 {
        return Faults::default();
    }
    faults.runs -= 1;
    *faults
}

fn refusal(message: &str) -> Response<BoxBody> {
    let mut answer = http::error(StatusCode::SERVICE_UNAVAILABLE, message);
    let name = actix_http::header::HeaderName::from_static(NOT_RUN_HEADER);
    let value = actix_http::header::HeaderValue::from_static("1");
    answer.headers_mut().insert(name, value);
    answer
}

impl Run {
    fn begin(&self) {
        self.entry.update(|entry| {
            entry.outcome = Outcome::Running;
            entry.cached_tokens = self.usage.cached;
        });
        self.receive(TokenKind::Prompt, self.usage.prompt);
    }

    fn receive(&self, kind: TokenKind, tokens: u64) {
        let receipt = Receipt {
            at_us: timeline::now_us(),
            workspace: self.workspace.clone(),
            kind,
            tokens,
            request_id: self.request_id.clone(),
        };
        let mut record = self.entry.record.borrow_mut();
        record.note_tokens(receipt, self.keep);
    }

    fn answer(&self) -> actix_http::ResponseBuilder {
        let mut answer = Response::build(StatusCode::OK);
        let echoed = if self.faults.wrong_echo {
            "crossed"
        } else {
            &self.request_id
        };
        answer.insert_header((REQUEST_ID_HEADER, echoed));
        answer
    }

    /// Generates the next token; `None` after the last. An error ends the connection.
    async fn token(&mut self) -> io::Result<Option<String>> {
        if self.next >= self.last {
            return Ok(None);
        }
        let generated = u32::try_from(self.usage.output).unwrap_or(u32::MAX);
        if self.faults.cut_after_tokens == Some(generated) {
            self.breaker.cut();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.faults.stall_after_tokens == Some(generated) {
            future::pending::<()>().await;
        }
        time::sleep_until(self.due).await;
        self.due += Duration::from_micros(self.times.token_us);
        let text = self.output.token(self.next);
        self.next += 1;
        self.usage.output += 1;
        self.receive(TokenKind::Output, 1);
        self.entry.update(|entry| entry.output_tokens += 1);
        Ok(Some(text))
    }

    async fn whole(mut self) -> Response<BoxBody> {
        let from = self.next;
        loop {
            match self.token().await {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return http::empty(StatusCode::OK),
            }
        }
        self.entry.end(Outcome::Done);
        let text = self.output.text(from, self.next);
        let body = self.format.whole(&text, self.finish, self.usage);
        self.answer()
            .insert_header(("content-type", "application/json"))
            .body(body.to_string())
            .map_into_boxed_body()
    }

    fn stream(self) -> Response<BoxBody> {
        let mut answer = self.answer();
        answer.insert_header(("content-type", "text/event-stream"));
        let chunks = stream::unfold(Some(self), |run| async move {
            let mut run = run?;
            match run.chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(run))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        let body = BodyStream::new(Box::pin(chunks));
        answer.body(body).map_into_boxed_body()
    }

    async fn chunk(&mut self) -> io::Result<Option<Bytes>> {
        if self.ended {
            return Ok(None);
        }
        if let Some(text) = self.token().await? {
            return Ok(Some(self.format.token(&text)));
        }
        self.ended = true;
        self.entry.end(Outcome::Done);
        let usage = self.include_usage.then_some(self.usage);
        Ok(Some(self.format.end(self.finish, usage)))
    }
}
