//! Parsing and checking of completion requests, and rewriting them for an engine.

use std::time::{Duration, Instant};

use actix_http::{StatusCode, header::HeaderMap};
use bytes::Bytes;
use comfreyweir_config::{
    catalog::{Catalog, Model},
    settings::RequestLimits,
};
use comfreyweir_external::engine::Artifact;
use comfreyweir_routing::affinity::PromptPrefixes;
use serde_json::{Map, Value, json};

use crate::{Refusal, RefusalCode, models::may_use};

/// Header with the caller's deadline for its request, in ms. It is capped at the configured
/// maximum.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Time reserved before the caller's deadline for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// A completion request that was checked and rewritten for an engine.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// URL path of the call to the engine.
    pub(crate) path: String,
    /// Name under which engines serve the artifact.
    pub(crate) served_name: String,
    /// Whether the answer is a stream of events.
    pub(crate) stream: bool,
    /// Whether the caller asked for usage figures in its stream.
    pub(crate) wants_usage: bool,
    /// Tokens of the prompt, estimated from its length in bytes.
    pub(crate) prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub(crate) output_tokens: u64,
    /// Prefixes of the prompt, for routing to an engine that has them in its KV cache.
    pub(crate) prefixes: PromptPrefixes,
    /// JSON body to send to the engine.
    pub(crate) body: Bytes,
}

impl CompletionRequest {
    /// Tokens charged before the request runs: the prompt and the output tokens still to come after
    /// `delivered_tokens`.
    pub(crate) fn cost(&self, delivered_tokens: u64) -> u64 {
        self.prompt_tokens + self.output_tokens.saturating_sub(delivered_tokens)
    }
}

/// Parses and checks a request body, and rewrites it for the engine.
pub(crate) fn parse(
    path: &str,
    body: &[u8],
    catalog: &Catalog,
    workspace: &str,
) -> Result<CompletionRequest, Refusal> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|e| invalid_request(format!("the body is not a JSON object: {e}")))?;
    let name = required_string(&fields, "model")?;
    let (artifact, model) = resolve_model(catalog, &name, workspace)?;
    let stream = optional_bool(&fields, "stream")?;
    check_single_choice(&fields)?;
    let prompt = prompt_text(path, &fields)?;
    let output_tokens = apply_output_limit(&mut fields, model)?;
    let wants_usage = stream && enable_usage_report(&mut fields)?;
    let served_name = artifact.served_name();
    fields.insert("model".to_owned(), json!(served_name));
    let bytes_per_token = u64::from(model.bytes_per_token.max(1));
    Ok(CompletionRequest {
        path: path.to_owned(),
        stream,
        wants_usage,
        prefixes: PromptPrefixes::of(&served_name, &prompt),
        served_name,
        prompt_tokens: (prompt.len() as u64).div_ceil(bytes_per_token),
        output_tokens,
        body: serde_json::to_vec(&fields)
            .map_err(|e| invalid_request(e.to_string()))?
            .into(),
    })
}

/// Time by which the answer must be ready: the caller's or the default deadline, minus the time for
/// sending the response.
pub(crate) fn deadline(
    headers: &HeaderMap,
    limits: &RequestLimits,
    arrived: Instant,
) -> Result<Instant, Refusal> {
    let requested = match headers.get(DEADLINE_HEADER) {
        None => limits.deadline_ms,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|v| v.trim().parse::<u64>().ok())
            .filter(|ms| *ms > 0)
            .ok_or_else(|| invalid_request(format!("{DEADLINE_HEADER} must be a number of ms")))?,
    };
    let time = Duration::from_millis(requested.min(limits.max_deadline_ms));
    Ok(arrived + time.saturating_sub(RESPONSE_MARGIN))
}

fn resolve_model<'a>(
    catalog: &'a Catalog,
    name: &str,
    workspace: &str,
) -> Result<(Artifact, &'a Model), Refusal> {
    if let Some(model) = catalog.models.get(name)
        && may_use(&model.workspaces, workspace)
    {
        return Ok((model_artifact(name, model), model));
    }
    if let Some(adapter) = catalog.adapters.get(name)
        && may_use(&adapter.workspaces, workspace)
        && let Some(model) = catalog.models.get(&adapter.model)
    {
        let base = model_artifact(&adapter.model, model);
        let artifact = Artifact {
            name: name.to_owned(),
            version: adapter.version.clone(),
            base: Some(base.served_name()),
        };
        return Ok((artifact, model));
    }
    // The answer is the same for a model of other workspaces and for one that does not exist, so
    // that callers cannot find out the models of others.
    Err(Refusal::not_run(
        StatusCode::NOT_FOUND,
        RefusalCode::NotFound,
        format!("no model `{name}`: GET /v1/models lists what this key may use"),
    ))
}

fn model_artifact(name: &str, model: &Model) -> Artifact {
    Artifact {
        name: name.to_owned(),
        version: model.version.clone(),
        base: None,
    }
}

fn required_string(fields: &Map<String, Value>, name: &str) -> Result<String, Refusal> {
    match fields.get(name) {
        Some(Value::String(text)) => Ok(text.clone()),
        _ => Err(invalid_request(format!("`{name}` must be a string"))),
    }
}

fn optional_bool(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid_request(format!("`{name}` must be true or false"))),
    }
}

/// Rejects requests for more than one choice: charging and resuming handle only a single choice.
fn check_single_choice(fields: &Map<String, Value>) -> Result<(), Refusal> {
    for name in ["n", "best_of"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(invalid_request(format!("`{name}` must be 1"))),
        }
    }
    Ok(())
}

fn prompt_text(path: &str, fields: &Map<String, Value>) -> Result<String, Refusal> {
    let mut text = String::new();
    if path.ends_with("/chat/completions") {
        let messages = fields.get("messages").and_then(Value::as_array);
        let messages = messages.filter(|m| !m.is_empty()).ok_or_else(|| {
            invalid_request("`messages` must be a list with at least one message".to_owned())
        })?;
        for message in messages {
            let content = message.get("content");
            let content = content.filter(|_| message.is_object()).ok_or_else(|| {
                invalid_request(
                    "each message must be an object with `role` and `content`".to_owned(),
                )
            })?;
            append_text(&mut text, content);
        }
    } else {
        let prompt = fields
            .get("prompt")
            .filter(|p| p.is_string() || p.is_array())
            .ok_or_else(|| invalid_request("`prompt` must be a string".to_owned()))?;
        append_text(&mut text, prompt);
    }
    Ok(text)
}

/// Appends the text of a prompt, from which its tokens are estimated. Content that is not text is
/// appended as its JSON, which is longer than the content itself.
fn append_text(text: &mut String, content: &Value) {
    match content {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| append_text(text, part)),
        Value::Object(part) if part.get("text").is_some_and(Value::is_string) => {
            append_text(text, &part["text"]);
        }
        Value::Null => {}
        other => text.push_str(&other.to_string()),
    }
}

/// Replaces the caller's output limits by one `max_tokens` field, capped at the model's limit, and
/// returns it.
fn apply_output_limit(fields: &mut Map<String, Value>, model: &Model) -> Result<u64, Refusal> {
    let model_limit = u64::from(model.max_output_tokens);
    let mut limit = model_limit;
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.remove(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let requested = value.as_u64().filter(|n| *n > 0);
                let requested = requested
                    .ok_or_else(|| invalid_request(format!("`{name}` must be above zero")))?;
                limit = limit.min(requested);
            }
        }
    }
    fields.insert("max_tokens".to_owned(), json!(limit));
    Ok(limit)
}

/// Makes the engine report usage figures. Returns whether the caller had asked for them.
fn enable_usage_report(fields: &mut Map<String, Value>) -> Result<bool, Refusal> {
    let options = fields.entry("stream_options").or_insert_with(|| json!({}));
    if options.is_null() {
        *options = json!({});
    }
    let options = options
        .as_object_mut()
        .ok_or_else(|| invalid_request("`stream_options` must be an object".to_owned()))?;
    let previous = options.insert("include_usage".to_owned(), json!(true));
    Ok(previous == Some(Value::Bool(true)))
}

fn invalid_request(message: String) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_REQUEST,
        RefusalCode::InvalidRequest,
        message,
    )
}
