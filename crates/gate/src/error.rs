//! Refusals as callers see them.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use serde::Serialize;

/// Whether a request that was refused may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// Not one byte of the request has reached an upstream.
    No,
    /// The request may have run, in part or whole.
    Unknown,
}

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request cannot be understood.
    InvalidRequest,
    /// No key, or a key that is not valid.
    InvalidKey,
    /// The workspace may not use what it asked for.
    NotAllowed,
    /// No such model, adapter or route.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The body is larger than allowed.
    TooLarge,
    /// The body's encoding is not supported.
    UnsupportedEncoding,
    /// The caller sent its request too slowly.
    RequestTimeout,
    /// The workspace has used its rate and burst.
    RateLimited,
    /// The request costs more than the burst of its workspace.
    ExceedsBurst,
    /// Too many requests wait.
    Overloaded,
    /// The request cannot be served before its deadline.
    DeadlineExceeded,
    /// No upstream can serve the request.
    UpstreamUnavailable,
    /// The upstream failed or answered wrongly.
    UpstreamFailed,
    /// The instance cannot tell whether its configuration is in force.
    CutOff,
    /// The instance is stopping.
    Stopping,
    /// A call with the same idempotency key is under way or ended without an answer.
    IdempotencyConflict,
}

impl Code {
    /// The code as callers and metrics see it.
    pub fn as_str(self) -> String {
        let json = serde_json::to_value(self).ok();
        let text = json.as_ref().and_then(serde_json::Value::as_str);
        text.unwrap_or_default().to_owned()
    }
}

/// An honest refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code.
    pub code: Code,
    /// What happened and what to do.
    pub message: String,
    /// Whether the request may have run.
    pub run: Run,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    r#type: &'static str,
    code: Code,
    run: Run,
}

impl Refusal {
    /// A refusal of a request of which nothing has reached an upstream.
    pub fn not_run(status: StatusCode, code: Code, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: Run::No,
            retry_after: None,
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Marks a request that may have run.
    #[must_use]
    pub fn run_unknown(mut self) -> Self {
        self.run = Run::Unknown;
        self
    }

    /// The JSON body, in the style of `OpenAI`'s errors.
    pub fn to_json(&self) -> String {
        let body = Body {
            error: ErrorBody {
                message: &self.message,
                r#type: self.kind(),
                code: self.code,
                run: self.run,
            },
        };
        serde_json::to_string(&body).expect("a refusal is always serializable")
    }

    /// The whole response.
    pub fn to_response(&self) -> Response<BoxBody> {
        let mut res = Response::build(self.status);
        res.insert_header((
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        ));
        if let Some(after) = self.retry_after {
            res.insert_header((header::RETRY_AFTER, retry_after_seconds(after)));
        }
        res.body(self.to_json()).map_into_boxed_body()
    }

    fn kind(&self) -> &'static str {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// `Retry-After` counts whole seconds; rounding up keeps it true.
fn retry_after_seconds(after: Duration) -> u64 {
    let whole = after.as_secs();
    if after.subsec_nanos() > 0 {
        whole + 1
    } else {
        whole.max(1)
    }
}
