//! Error responses to callers.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use serde::Serialize;

/// Whether a refused request may have run on an upstream, which tells the caller whether a retry
/// could run it twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MayHaveRun {
    /// No byte of the request has reached an upstream.
    No,
    /// The request may have run, partly or completely.
    Unknown,
}

/// Code of a refusal for programs. Codes are part of the API and stay the same between releases.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
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
    /// The caller sent the request body too slowly.
    RequestTimeout,
    /// The workspace has used its rate and burst.
    RateLimited,
    /// The request costs more than the burst of its workspace.
    ExceedsBurst,
    /// Too many requests are queued.
    Overloaded,
    /// The request cannot be served before its deadline.
    DeadlineExceeded,
    /// No upstream can serve the request.
    UpstreamUnavailable,
    /// The upstream failed or sent an invalid answer.
    UpstreamFailed,
    /// The instance is in contact neither with the key-value service nor with its peers, so its
    /// configuration may be out of date.
    CutOff,
    /// The instance is stopping.
    Stopping,
    /// A call with the same idempotency key is in progress or ended without an answer.
    IdempotencyConflict,
}

impl RefusalCode {
    /// The code as callers and metrics see it.
    pub fn as_str(self) -> String {
        let json = serde_json::to_value(self).ok();
        let text = json.as_ref().and_then(serde_json::Value::as_str);
        text.unwrap_or_default().to_owned()
    }
}

/// Error response to a caller whose request is not served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Code for programs.
    pub code: RefusalCode,
    /// What went wrong and, where possible, what the caller can do; for people.
    pub message: String,
    /// Whether the request may have run.
    pub run: MayHaveRun,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    message: &'a str,
    r#type: &'static str,
    code: RefusalCode,
    run: MayHaveRun,
}

impl Refusal {
    /// A refusal of a request of which nothing has reached an upstream.
    pub fn not_run(status: StatusCode, code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: MayHaveRun::No,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should retry (`Retry-After`).
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets `run` to [`MayHaveRun::Unknown`].
    #[must_use]
    pub fn run_unknown(mut self) -> Self {
        self.run = MayHaveRun::Unknown;
        self
    }

    /// The JSON body, in the error format of the `OpenAI` API.
    pub fn to_json(&self) -> String {
        let body = ErrorResponse {
            error: ErrorDetails {
                message: &self.message,
                r#type: self.error_type(),
                code: self.code,
                run: self.run,
            },
        };
        serde_json::to_string(&body).expect("a refusal is always serializable")
    }

    /// The response with status, headers and JSON body.
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

    /// The error type of the `OpenAI` API for the status.
    fn error_type(&self) -> &'static str {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// Value of `Retry-After` in whole seconds: rounded up, so that the caller does not retry too
/// early, and at least 1.
fn retry_after_seconds(after: Duration) -> u64 {
    let seconds = after.as_secs();
    if after.subsec_nanos() > 0 {
        seconds + 1
    } else {
        seconds.max(1)
    }
}
