//! Answers of the system's own: a request is not served, and why.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};

/// A request is not served.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// Why, for the caller and the log.
    pub(crate) reason: String,
    /// Whether an upstream may have run it.
    pub(crate) may_have_run: bool,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request is wrong, and will be every time.
    pub(crate) fn wrong<R>(status: StatusCode, reason: R) -> Self
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

    /// The request has not run and will not; it can be sent again after a time.
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

    /// An upstream may have run the request, and its answer is not there.
    pub(crate) fn failed<R>(reason: R) -> Self
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
    pub(crate) fn late() -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::failed("no answer within the time that the request has")
        }
    }

    /// The response for the caller.
    pub(crate) fn to_response(&self) -> Response<BoxBody> {
        let mut res = Response::build(self.status);
        res.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
        if let Some(after) = self.retry_after {
            // Seconds with a fraction: callers on this platform take them.
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.insert_header((header::RETRY_AFTER, value));
            }
        }
        let body = BoxBody::new(format!("{}\n", self.reason));
        res.message_body(body).expect("the headers above are valid")
    }
}
