//! Inference: serves completion requests, from the request to the last output token.

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
    batch::BatchSlot,
    completion::{AnswerFormat, Completion, Endpoint, GeneratedText, TokenUsage},
    record::{EngineRecord, RequestOutcome, RequestRecord, TokenKind, TokenReceipt},
    settings::{Faults, Times},
    state::{self, EngineState, ReplicaGuard},
};
use crate::{http, recording_stream::ResetHandle, service::headers, timeline};

/// Header of a refusal which guarantees that the request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// A request's entry in the record. Dropping it before the request has ended records that the
/// caller disconnected.
struct RequestEntry {
    record: Rc<RefCell<EngineRecord>>,
    /// Index in the requests of the record; `None` if requests are not recorded.
    index: Option<usize>,
}

impl RequestEntry {
    fn open(record: &Rc<RefCell<EngineRecord>>, req: &Request, records_requests: bool) -> Self {
        let index = records_requests.then(|| {
            let requests = &mut record.borrow_mut().requests;
            requests.push(RequestRecord {
                at_us: timeline::now_us(),
                ended_us: 0,
                path: req.path().to_owned(),
                query: req.uri().query().unwrap_or_default().to_owned(),
                headers: headers(req),
                request_id: header_or_empty(req, REQUEST_ID_HEADER),
                workspace: header_or_empty(req, WORKSPACE_HEADER),
                model: String::new(),
                prompt_tokens: 0,
                output_tokens: 0,
                cached_tokens: 0,
                outcome: RequestOutcome::Waiting,
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

    fn end(&self, outcome: RequestOutcome) {
        self.update(|entry| {
            entry.outcome = outcome;
            entry.ended_us = timeline::now_us();
        });
    }
}

impl Drop for RequestEntry {
    fn drop(&mut self) {
        self.update(|entry| {
            let outcome = match entry.outcome {
                RequestOutcome::Waiting => RequestOutcome::LeftWaiting,
                RequestOutcome::Running => RequestOutcome::Cancelled,
                _ => return,
            };
            entry.outcome = outcome;
            entry.ended_us = timeline::now_us();
        });
    }
}

fn header_or_empty(req: &Request, header: &str) -> String {
    http::header_text(req, header)
        .unwrap_or_default()
        .to_owned()
}

/// A completion that occupies a slot.
struct InferenceRun {
    entry: RequestEntry,
    _slot: BatchSlot,
    _replica: ReplicaGuard,
    generated_text: GeneratedText,
    answer_format: AnswerFormat,
    workspace: String,
    request_id: String,
    include_usage: bool,
    records_receipts: bool,
    /// Index of the next output token.
    next_token: u32,
    /// Index after that of the last output token.
    end_token: u32,
    finish_reason: &'static str,
    usage: TokenUsage,
    /// When the next output token is generated.
    next_token_at: Instant,
    times: Times,
    faults: Faults,
    breaker: ResetHandle,
    /// Whether the final chunks of a stream were produced.
    stream_ended: bool,
}

/// Serves a request to a completion endpoint.
pub(super) async fn serve(
    state: Rc<RefCell<EngineState>>,
    endpoint: Endpoint,
    mut req: Request,
) -> Response<BoxBody> {
    let (record, records_requests) = {
        let state = state.borrow();
        (Rc::clone(&state.record), state.settings().record)
    };
    let entry = RequestEntry::open(&record, &req, records_requests);
    let Some(body) = http::read_body(&mut req).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    let completion = match Completion::parse(endpoint, &req, &body) {
        Ok(completion) => completion,
        Err(message) => {
            entry.end(RequestOutcome::Refused);
            return http::error(StatusCode::BAD_REQUEST, &message);
        }
    };
    entry.update(|entry| {
        entry.model.clone_from(&completion.model);
        entry.prompt_tokens = completion.prompt_tokens();
    });
    match start_run(&state, entry, &completion, &req).await {
        Ok(run) if completion.stream => run.stream_answer(),
        Ok(run) => run.whole_answer().await,
        Err(refusal) => refusal,
    }
}

/// Waits for a slot and starts the run; the error is the answer to a refused request.
async fn start_run(
    state: &Rc<RefCell<EngineState>>,
    entry: RequestEntry,
    completion: &Completion,
    req: &Request,
) -> Result<InferenceRun, Response<BoxBody>> {
    let refuse = |message: &str| {
        entry.end(RequestOutcome::Refused);
        refusal(message)
    };
    if state.borrow().faults.borrow().refuse_runs {
        return Err(refuse("refused by a fault"));
    }
    let Some(replica) = state::acquire_replica(state, &completion.model) else {
        return Err(refuse("the model is not loaded"));
    };
    let batch = Rc::clone(&state.borrow().batch);
    let Ok(slot) = batch.acquire_slot(completion.priority).await else {
        return Err(refuse("the queue is full"));
    };
    let mut state = state.borrow_mut();
    let cached_tokens = state
        .cache
        .insert_prompt(&completion.model, &completion.prompt);
    let prompt_tokens = completion.prompt_tokens();
    let times = state.settings().times;
    let max_tokens = completion.max_tokens.unwrap_or(u32::MAX);
    let configured_tokens = state.settings().output_tokens;
    let uncached_tokens =
        u32::try_from(prompt_tokens - cached_tokens.min(prompt_tokens)).unwrap_or(u32::MAX);
    let time_to_first_token = Duration::from_micros(times.first_token_us)
        + Duration::from_micros(times.prompt_token_us) * uncached_tokens;
    let run = InferenceRun {
        generated_text: GeneratedText::for_prompt(&completion.prompt),
        answer_format: AnswerFormat {
            endpoint: completion.endpoint,
            id: format!("cmpl-{}", header_or_empty(req, REQUEST_ID_HEADER)),
            model: completion.model.clone(),
        },
        workspace: header_or_empty(req, WORKSPACE_HEADER),
        request_id: header_or_empty(req, REQUEST_ID_HEADER),
        include_usage: completion.include_usage,
        records_receipts: state.settings().record,
        next_token: completion.resume_from,
        end_token: configured_tokens
            .min(max_tokens)
            .max(completion.resume_from),
        finish_reason: if configured_tokens > max_tokens {
            "length"
        } else {
            "stop"
        },
        usage: TokenUsage {
            prompt: prompt_tokens,
            cached: cached_tokens.min(prompt_tokens),
            output: 0,
        },
        next_token_at: Instant::now() + time_to_first_token,
        times,
        faults: take_run_faults(&mut state.faults.borrow_mut()),
        breaker: http::reset_handle(req),
        stream_ended: false,
        entry,
        _slot: slot,
        _replica: replica,
    };
    run.record_start();
    Ok(run)
}

/// Faults that apply to a run that starts now, none once `runs` is zero. Counts `runs` down by one.
fn take_run_faults(faults: &mut Faults) -> Faults {
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

impl InferenceRun {
    fn record_start(&self) {
        self.entry.update(|entry| {
            entry.outcome = RequestOutcome::Running;
            entry.cached_tokens = self.usage.cached;
        });
        self.record_tokens(TokenKind::Prompt, self.usage.prompt);
    }

    fn record_tokens(&self, kind: TokenKind, tokens: u64) {
        let receipt = TokenReceipt {
            at_us: timeline::now_us(),
            workspace: self.workspace.clone(),
            kind,
            tokens,
            request_id: self.request_id.clone(),
        };
        let mut record = self.entry.record.borrow_mut();
        record.record_tokens(receipt, self.records_receipts);
    }

    /// Start of the answer, with the request identifier, or with a wrong one as a fault.
    fn answer_builder(&self) -> actix_http::ResponseBuilder {
        let mut answer = Response::build(StatusCode::OK);
        let echoed_id = if self.faults.wrong_echo {
            "crossed"
        } else {
            &self.request_id
        };
        answer.insert_header((REQUEST_ID_HEADER, echoed_id));
        answer
    }

    /// Generates the next output token when it is due; `None` after the last. After an error the
    /// connection is broken.
    async fn generate_token(&mut self) -> io::Result<Option<String>> {
        if self.next_token >= self.end_token {
            return Ok(None);
        }
        let generated = u32::try_from(self.usage.output).unwrap_or(u32::MAX);
        if self.faults.cut_after_tokens == Some(generated) {
            self.breaker.reset();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.faults.stall_after_tokens == Some(generated) {
            future::pending::<()>().await;
        }
        time::sleep_until(self.next_token_at).await;
        self.next_token_at += Duration::from_micros(self.times.token_us);
        let text = self.generated_text.token(self.next_token);
        self.next_token += 1;
        self.usage.output += 1;
        self.record_tokens(TokenKind::Output, 1);
        self.entry.update(|entry| entry.output_tokens += 1);
        Ok(Some(text))
    }

    async fn whole_answer(mut self) -> Response<BoxBody> {
        let first_token = self.next_token;
        loop {
            match self.generate_token().await {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return http::empty(StatusCode::OK),
            }
        }
        self.entry.end(RequestOutcome::Done);
        let text = self.generated_text.range_text(first_token, self.next_token);
        let body = self
            .answer_format
            .whole_answer(&text, self.finish_reason, self.usage);
        self.answer_builder()
            .insert_header(("content-type", "application/json"))
            .body(body.to_string())
            .map_into_boxed_body()
    }

    fn stream_answer(self) -> Response<BoxBody> {
        let mut answer = self.answer_builder();
        answer.insert_header(("content-type", "text/event-stream"));
        let chunks = stream::unfold(Some(self), |run| async move {
            let mut run = run?;
            match run.next_chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(run))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        let body = BodyStream::new(Box::pin(chunks));
        answer.body(body).map_into_boxed_body()
    }

    /// Next chunk of a stream; `None` after the final ones.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        if self.stream_ended {
            return Ok(None);
        }
        if let Some(text) = self.generate_token().await? {
            return Ok(Some(self.answer_format.token_chunk(&text)));
        }
        self.stream_ended = true;
        self.entry.end(RequestOutcome::Done);
        let usage = self.include_usage.then_some(self.usage);
        Ok(Some(
            self.answer_format.final_chunks(self.finish_reason, usage),
        ))
    }
}
