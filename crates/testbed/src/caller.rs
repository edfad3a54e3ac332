//! An HTTP client that calls gates as a customer's program does.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::{
    Client, ClientRequest, Connector,
    http::{Method, StatusCode},
};
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::error::{CallSnafu, TestbedError};

/// Time limit of each wait of a caller: for a connection and for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client with a connection pool of its own. Clones share the pool.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    addr: SocketAddr,
    key: Option<String>,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time from sending the request to the last byte of the answer.
    pub took: Duration,
}

/// What was received of a streamed chat completion.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Concatenated text of all chunks.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: usize,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// The `usage` object of the last event that had one.
    pub usage: Option<Value>,
    /// Error event of the stream, or the JSON body of an unsuccessful answer.
    pub error: Option<Value>,
    /// Time from sending the request to the first chunk with text.
    pub first_chunk_delay: Option<Duration>,
    /// Times between successive chunks with text.
    pub chunk_intervals: Vec<Duration>,
    /// The error, if the connection failed before the answer was complete.
    pub broken: Option<String>,
}

impl Answer {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Value of the first header of this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Generated text of an answer to a chat or text completion; empty if there is none.
    pub fn text(&self) -> String {
        let choice = &self.json()["choices"][0];
        let text = choice["message"]["content"].as_str();
        let text = text.or(choice["text"].as_str());
        text.unwrap_or_default().to_owned()
    }

    /// The `code` of an error answer; empty if there is none.
    pub fn code(&self) -> String {
        self.error_field("code")
    }

    /// The `run` field of an error answer, which says whether the request ran; empty if there is
    /// none.
    pub fn run_status(&self) -> String {
        self.error_field("run")
    }

    fn error_field(&self, name: &str) -> String {
        let field = &self.json()["error"][name];
        field.as_str().unwrap_or_default().to_owned()
    }
}

impl Caller {
    /// A caller of the gate at `addr`. Without a key, requests carry no authorization header.
    pub fn new(addr: SocketAddr, key: Option<&str>) -> Self {
        let connector = Connector::new().timeout(CALLER_TIMEOUT).limit(0);
        let http = Client::builder()
            .connector(connector)
            .timeout(CALLER_TIMEOUT)
            .finish();
        Self {
            http,
            addr,
            key: key.map(str::to_owned),
        }
    }

    /// A request with the key, if the caller has one.
    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        let req = self
            .http
            .request(method, format!("http://{}{path}", self.addr));
        match &self.key {
            Some(key) => req.bearer_auth(key),
            None => req,
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, TestbedError> {
        let mut req = self.request(method, path);
        for header in headers {
            req = req.insert_header(*header);
        }
        let sent_at = Instant::now();
        let failed = |reason: String| CallSnafu { url: path, reason }.build();
        let mut res = req
            .send_body(body)
            .await
            .map_err(|e| failed(e.to_string()))?;
        let headers = res.headers().iter();
        let headers = headers.map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        });
        let headers = headers.collect();
        let read = res.body().limit(MAX_ANSWER_BYTES).await;
        Ok(Answer {
            status: res.status(),
            headers,
            body: read.map_err(|e| failed(e.to_string()))?,
            took: sent_at.elapsed(),
        })
    }

    /// Sends a GET request and reads the whole answer.
    pub async fn get(&self, path: &str) -> Result<Answer, TestbedError> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Requests a chat completion of one user message.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answer, TestbedError> {
        let body = chat_body(model, prompt, max_tokens, false);
        let json = [("content-type", "application/json")];
        let path = "/v1/chat/completions";
        self.send(Method::POST, path, &json, body).await
    }

    /// Requests a streamed chat completion of one user message and reads the stream to its end. A
    /// failure after the head of the answer is part of the result.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<StreamedAnswer, TestbedError> {
        let path = "/v1/chat/completions";
        let sent_at = Instant::now();
        let req = self.request(Method::POST, path);
        let req = req.content_type("application/json");
        let mut res = req
            .send_body(chat_body(model, prompt, max_tokens, true))
            .await
            .map_err(|e| {
                CallSnafu {
                    url: path,
                    reason: e.to_string(),
                }
                .build()
            })?;
        let mut streamed = StreamedAnswer {
            status: res.status(),
            ..StreamedAnswer::default()
        };
        if !res.status().is_success() {
            let body = res.body().await.unwrap_or_default();
            streamed.error = serde_json::from_slice(&body).ok();
            return Ok(streamed);
        }
        let mut reader = SseReader::new(sent_at);
        while let Some(chunk) = res.next().await {
            match chunk {
                Ok(chunk) => reader.push(&chunk, &mut streamed),
                Err(e) => {
                    streamed.broken = Some(e.to_string());
                    break;
                }
            }
        }
        Ok(streamed)
    }
}

/// Request body of a chat completion of one user message.
pub(crate) fn chat_body(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Bytes {
    let mut body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    if stream {
        body["stream_options"] = json!({ "include_usage": true });
    }
    body.to_string().into()
}

/// Parses the server-sent events of a streamed chat completion.
struct SseReader {
    partial_line: String,
    sent_at: Instant,
    last_chunk: Option<Instant>,
}

impl SseReader {
    fn new(sent_at: Instant) -> Self {
        Self {
            partial_line: String::new(),
            sent_at,
            last_chunk: None,
        }
    }

    fn push(&mut self, chunk: &[u8], streamed: &mut StreamedAnswer) {
        self.partial_line.push_str(&String::from_utf8_lossy(chunk));
        while let Some(end) = self.partial_line.find('\n') {
            let line: String = self.partial_line.drain(..=end).collect();
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                self.apply_event(data, streamed);
            }
        }
    }

    fn apply_event(&mut self, data: &str, streamed: &mut StreamedAnswer) {
        if data == "[DONE]" {
            streamed.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            streamed.error = Some(event);
            return;
        }
        if event["usage"].is_object() {
            streamed.usage = Some(event["usage"].clone());
        }
        let choice = &event["choices"][0];
        let text = choice["delta"]["content"].as_str();
        let Some(text) = text.or(choice["text"].as_str()).filter(|t| !t.is_empty()) else {
            return;
        };
        streamed.text.push_str(text);
        streamed.chunks += 1;
        let now = Instant::now();
        match self.last_chunk {
            Some(last) => streamed.chunk_intervals.push(now - last),
            None => streamed.first_chunk_delay = Some(now - self.sent_at),
        }
        self.last_chunk = Some(now);
    }
}
