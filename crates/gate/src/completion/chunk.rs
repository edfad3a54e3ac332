//! Chunks of a streamed completion: tracks what was delivered and rewrites chunks for the caller.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::attempt;

/// Progress of one stream across all engines that served it.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    wants_usage: bool,
    /// Start of the answer, in seconds of Unix time.
    started_at: u64,
    tokens: u64,
    engine_tokens: u64,
    /// Number of engines that served the stream so far.
    engine_count: u32,
    /// `id` and `created` of the first chunk.
    id_and_created: Option<(Value, Value)>,
    /// Whether a chunk with a finish reason was received.
    finished: bool,
    used_tokens: Option<u64>,
}

impl StreamProgress {
    /// Progress of a stream before its first chunk. `wants_usage` tells whether the caller asked
    /// for usage figures; without it they are removed from the chunks.
    pub(crate) fn new(wants_usage: bool, started_at: SystemTime) -> Self {
        let started_at = started_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            wants_usage,
            started_at: started_at.as_secs(),
            ..Self::default()
        }
    }

    /// Output tokens sent to the caller, from all engines.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Output tokens sent to the caller from the current engine.
    pub(crate) fn engine_tokens(&self) -> u64 {
        self.engine_tokens
    }

    /// Prompt and output tokens as last reported by an engine.
    pub(crate) fn used_tokens(&self) -> Option<u64> {
        self.used_tokens
    }

    /// Whether the caller has received everything except `[DONE]`.
    pub(crate) fn is_complete(&self) -> bool {
        self.finished && (!self.wants_usage || self.used_tokens.is_some())
    }

    /// Called when an engine starts or resumes the stream: resets the tokens of the current engine.
    pub(crate) fn begin_engine(&mut self) {
        self.engine_tokens = 0;
        self.engine_count += 1;
    }

    /// Applies a chunk from the engine. Returns the chunk to send to the caller, or `None` if the
    /// caller must not see it. Fails if the chunk reports an error or is not a JSON object.
    pub(crate) fn apply_chunk(&mut self, mut chunk: Value) -> Result<Option<Value>, String> {
        if let Some(message) = chunk["error"]["message"].as_str() {
            return Err(message.to_owned());
        }
        let Some(fields) = chunk.as_object_mut() else {
            return Err("an event is not a JSON object".to_owned());
        };
        let usage = fields.get("usage").and_then(attempt::used_tokens);
        self.used_tokens = usage.or(self.used_tokens);
        if !self.wants_usage {
            fields.remove("usage");
        }
        self.set_identity(&mut chunk);
        let choice = &chunk["choices"][0];
        if choice.is_null() {
            self.rewrite_usage(&mut chunk);
            return Ok(self.wants_usage.then_some(chunk));
        }
        let has_token = has_token(choice);
        let finishes = !choice["finish_reason"].is_null();
        if self.finished || (self.engine_count > 1 && !has_token && !finishes) {
            // Either the opening chunk of an engine that resumed the stream, or a chunk after the
            // finish reason, which the caller has already received.
            return Ok(None);
        }
        if has_token {
            self.tokens += 1;
            self.engine_tokens += 1;
        }
        self.finished |= finishes;
        Ok(Some(chunk))
    }

    /// After a resume, an engine's usage counts only the tokens that it generated itself. Replaces
    /// it by the totals of the whole answer.
    fn rewrite_usage(&self, chunk: &mut Value) {
        if self.engine_count < 2 || !chunk["usage"].is_object() {
            return;
        }
        let prompt = chunk["usage"]["prompt_tokens"].as_u64();
        chunk["usage"]["completion_tokens"] = json!(self.tokens);
        chunk["usage"]["total_tokens"] = json!(prompt.unwrap_or_default() + self.tokens);
    }

    /// Gives the chunks of all engines the `id` and `created` of the first chunk. If that has no
    /// `created`, the start of the stream is used.
    fn set_identity(&mut self, chunk: &mut Value) {
        let started_at = self.started_at;
        let (id, created) = self.id_and_created.get_or_insert_with(|| {
            let sent = chunk["created"].as_u64();
            (chunk["id"].clone(), json!(sent.unwrap_or(started_at)))
        });
        chunk["id"] = id.clone();
        chunk["created"] = created.clone();
    }
}

/// Whether a choice carries output: non-empty text, or any part of a message besides the role.
fn has_token(choice: &Value) -> bool {
    if let Some(text) = choice["text"].as_str() {
        return !text.is_empty();
    }
    let Some(delta) = choice["delta"].as_object() else {
        return false;
    };
    delta.iter().any(|(name, part)| match part {
        Value::Null => false,
        Value::String(text) => name != "role" && !text.is_empty(),
        _ => true,
    })
}
