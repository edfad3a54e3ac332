//! Chunks of a streamed completion: what was delivered, and what the caller may see.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::attempt;

/// How far a stream has come, over all engines that served it.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    wants_usage: bool,
    /// Beginning of the answer, in seconds of Unix time.
    begun: u64,
    tokens: u64,
    source_tokens: u64,
    sources: u32,
    identity: Option<(Value, Value)>,
    finished: bool,
    usage: Option<u64>,
}

impl Progress {
    /// A stream that has not begun. The caller sees usage figures only if it asked for them.
    pub(crate) fn new(wants_usage: bool, begun: SystemTime) -> Self {
        let begun = begun.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            wants_usage,
            begun: begun.as_secs(),
            ..Self::default()
        }
    }

    /// Output tokens that the caller was given.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Output tokens of the current engine.
    pub(crate) fn source_tokens(&self) -> u64 {
        self.source_tokens
    }

    /// Tokens that the engine says were used.
    pub(crate) fn used_tokens(&self) -> Option<u64> {
        self.usage
    }

    /// Whether the caller has everything but the end mark.
    pub(crate) fn is_complete(&self) -> bool {
        self.finished && (!self.wants_usage || self.usage.is_some())
    }

    /// Notes that another engine goes on.
    pub(crate) fn begin_source(&mut self) {
        self.source_tokens = 0;
        self.sources += 1;
    }

    /// Takes a chunk of the engine and gives what the caller should see of it.
    pub(crate) fn take(&mut self, mut chunk: Value) -> Result<Option<Value>, String> {
        if let Some(message) = chunk["error"]["message"].as_str() {
            return Err(message.to_owned());
        }
        let Some(fields) = chunk.as_object_mut() else {
            return Err("an event is not a JSON object".to_owned());
        };
        let usage = fields.get("usage").and_then(attempt::used_tokens);
        self.usage = usage.or(self.usage);
        if !self.wants_usage {
            fields.remove("usage");
        }
        self.unify(&mut chunk);
        let choice = &chunk["choices"][0];
        if choice.is_null() {
            self.add_usage(&mut chunk);
            return Ok(self.wants_usage.then_some(chunk));
        }
        let has_token = has_token(choice);
        let finishes = !choice["finish_reason"].is_null();
        if self.finished || (self.sources > 1 && !has_token && !finishes) {
            // The opening chunk of an engine that goes on, or an end that the caller has.
            return Ok(None);
        }
        if has_token {
            self.tokens += 1;
            self.source_tokens += 1;
        }
        self.finished |= finishes;
        Ok(Some(chunk))
    }

    /// The figures of an engine count its own tokens only; the caller sees those of the answer.
    fn add_usage(&self, chunk: &mut Value) {
        if self.sources < 2 || !chunk["usage"].is_object() {
            return;
        }
        let prompt = chunk["usage"]["prompt_tokens"].as_u64();
        chunk["usage"]["completion_tokens"] = json!(self.tokens);
        chunk["usage"]["total_tokens"] = json!(prompt.unwrap_or_default() + self.tokens);
    }

    /// Gives the chunks of all engines the identity of the first, with a time if it sent none.
    fn unify(&mut self, chunk: &mut Value) {
        let begun = self.begun;
        let (id, created) = self.identity.get_or_insert_with(|| {
            let sent = chunk["created"].as_u64();
            (chunk["id"].clone(), json!(sent.unwrap_or(begun)))
        });
        chunk["id"] = id.clone();
        chunk["created"] = created.clone();
    }
}

/// Whether a choice carries output: text, or any part of a message beside the role.
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
