//! A caller of the system.

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

/// Longest time that a caller waits for anything.
const LIMIT: Duration = Duration::from_secs(30);
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// A caller with its own connections.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    addr: SocketAddr,
    key: Option<String>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time from the sending to the last byte.
    pub took: Duration,
}

/// A streamed answer.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Status.
    pub status: StatusCode,
    /// Text of all chunks.
    pub text: String,
    /// Chunks with text.
    pub chunks: usize,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// Usage, where it was sent.
    pub usage: Option<Value>,
    /// Error event or body, where there was one.
    pub error: Option<Value>,
    /// Time from the sending to the first chunk with text.
    pub first: Option<Duration>,
    /// Times between chunks with text.
    pub between: Vec<Duration>,
    /// Why the connection failed before the end, if it did.
    pub broken: Option<String>,
}

impl Answer {
    /// The body as JSON; null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Text of the answer of a completion path.
    pub fn text(&self) -> String {
        let choice = &self.json()["choices"][0];
        let text = choice["message"]["content"].as_str();
        let text = text.or(choice["text"].as_str());
        text.unwrap_or_default().to_owned()
    }

    /// Stable code of a refusal.
    pub fn code(&self) -> String {
        self.error_field("code")
    }

    /// What a refusal says of whether the request ran.
    pub fn run(&self) -> String {
        self.error_field("run")
    }

    fn error_field(&self, name: &str) -> String {
        let field = &self.json()["error"][name];
        field.as_str().unwrap_or_default().to_owned()
    }
}

impl Caller {
    /// A caller of the gate at `addr`.
    pub fn new(addr: SocketAddr, key: Option<&str>) -> Self {
        let connector = Connector::new().timeout(LIMIT).limit(0);
        let http = Client::builder()
            .connector(connector)
            .timeout(LIMIT)
            .finish();
        Self {
            http,
            addr,
            key: key.map(str::to_owned),
        }
    }

    /// A request that carries the key.
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
        let sent = Instant::now();
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
        let read = res.body().limit(ANSWER_LIMIT_BYTES).await;
        Ok(Answer {
            status: res.status(),
            headers,
            body: read.map_err(|e| failed(e.to_string()))?,
            took: sent.elapsed(),
        })
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Result<Answer, TestbedError> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Asks for a chat completion of one message.
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

    /// Asks for a streamed chat completion of one message and reads it to its end.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Streamed, TestbedError> {
        let path = "/v1/chat/completions";
        let sent = Instant::now();
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
        let mut streamed = Streamed {
            status: res.status(),
            ..Streamed::default()
        };
        if !res.status().is_success() {
            let body = res.body().await.unwrap_or_default();
            streamed.error = serde_json::from_slice(&body).ok();
            return Ok(streamed);
        }
        let mut reader = Reader::new(sent);
        while let Some(chunk) = res.next().await {
            match chunk {
                Ok(chunk) => reader.read(&chunk, &mut streamed),
                Err(e) => {
                    streamed.broken = Some(e.to_string());
                    break;
                }
            }
        }
        Ok(streamed)
    }
}

/// Body of a chat completion of one message.
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

/// Reads server-sent events.
struct Reader {
    rest: String,
    sent: Instant,
    last: Option<Instant>,
}

impl Reader {
    fn new(sent: Instant) -> Self {
        Self {
            rest: String::new(),
            sent,
            last: None,
        }
    }

    fn read(&mut self, chunk: &[u8], streamed: &mut Streamed) {
        self.rest.push_str(&String::from_utf8_lossy(chunk));
        while let Some(end) = self.rest.find('\n') {
            let line: String = self.rest.drain(..=end).collect();
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                self.event(data, streamed);
            }
        }
    }

    fn event(&mut self, data: &str, streamed: &mut Streamed) {
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
        match self.last {
            Some(last) => streamed.between.push(now - last),
            None => streamed.first = Some(now - self.sent),
        }
        self.last = Some(now);
    }
}
