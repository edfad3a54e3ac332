//! Error responses that this instance generates itself.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};

/// The reason why a request is not served, and the error response that says so.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Text for the response body and the log.
    pub(crate) reason: String,
    /// Whether an upstream may have run the request.
    pub(crate) may_have_run: bool,
    /// Value for the `Retry-After` header.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request is invalid; sending it again unchanged does not help.
    pub(crate) fn client_error<R>(status: StatusCode, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self {
            status,
            reason: reason.into(),
            may_have_run: false,
            retry_after: None,
        }
    }

    /// The request did not run and will not run; the caller may send it again after `retry_after`.
    pub(crate) fn not_run<R>(reason: R, retry_after: Duration) -> Self
    where
        R: Into<String>,
    {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            may_have_run: false,
            retry_after: Some(retry_after),
        }
    }

    /// An upstream may have run the request, but there is no usable answer.
    pub(crate) fn upstream_failed<R>(reason: R) -> Self
    where
        R: Into<String>,
    {
        Self {
            status: StatusCode::BAD_GATEWAY,
            reason: reason.into(),
            may_have_run: true,
            retry_after: None,
        }
    }

    /// An upstream may have run the request, but did not answer in time.
    pub(crate) fn timeout() -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::upstream_failed("no answer within the time that the request has")
        }
    }

    pub(crate) fn to_response(&self) -> Response<BoxBody> {
        let mut res = Response::build(self.status);
        res.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
        if let Some(after) = self.retry_after {
            // Fractional seconds, unlike in the HTTP standard: callers on this platform accept
            // them.
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.insert_header((header::RETRY_AFTER, value));
            }
        }
        let body = BoxBody::new(format!("{}\n", self.reason));
        res.message_body(body).expect("the headers above are valid")
    }
}
