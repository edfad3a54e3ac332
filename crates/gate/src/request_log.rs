//! The log line of each request, and the count of refusals. Neither contains the caller's key or
//! the query of the URL, in which a caller may have put a key by mistake.

use std::time::Instant;

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use comfreyweir_clock::whole_millis;
use spdlog::{debug, info};

use crate::{MayHaveRun, Refusal, auth, context::GateContext};

/// The fields of a request that its log line needs, taken before it is routed.
pub(crate) struct RequestLog {
    request_id: String,
    workspace: Option<String>,
    method: String,
    path: String,
    arrived: Instant,
}

impl RequestLog {
    /// Takes the fields of a request that has just arrived. The workspace is left out if the caller
    /// cannot be authenticated.
    pub(crate) fn new<A, V>(cx: &GateContext<A, V>, req: &Request, request_id: &str) -> Self {
        let snapshot = cx.follower.current();
        let identity = auth::authenticate(&snapshot, req.headers()).ok();
        Self {
            request_id: request_id.to_owned(),
            workspace: identity.map(|identity| identity.workspace),
            method: req.method().to_string(),
            path: req.path().to_owned(),
            arrived: Instant::now(),
        }
    }

    /// Logs the status of an answer whose body may still be streaming.
    pub(crate) fn log_response(&self, res: &Response<BoxBody>) {
        let (request_id, method, path) = self.request_fields();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let status = res.status().as_u16();
        let ms = whole_millis(self.arrived.elapsed());
        info!("answered", kv: { request_id, workspace, method, path, status, ms });
    }

    /// Logs a refusal and counts it in the metrics.
    pub(crate) fn record_refusal<A, V>(&self, cx: &GateContext<A, V>, refusal: &Refusal) {
        let catalog = &cx.follower.current().catalog;
        cx.metrics
            .count_refusal(self.workspace.as_deref(), catalog, refusal);
        let (request_id, method, path) = self.request_fields();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let status = refusal.status.as_u16();
        let code = refusal.code.as_str();
        let run = match refusal.run {
            MayHaveRun::No => "no",
            MayHaveRun::Unknown => "unknown",
        };
        let reason = refusal.message.as_str();
        let ms = whole_millis(self.arrived.elapsed());
        info!("refused", kv: {
            request_id, workspace, method, path, status, code, run, reason, ms
        });
    }

    /// Request identifier, method and path.
    fn request_fields(&self) -> (&str, &str, &str) {
        (&self.request_id, &self.method, &self.path)
    }

    /// Logs that the caller disconnected before its answer began.
    pub(crate) fn log_caller_left(&self) {
        let request_id = self.request_id.as_str();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let ms = whole_millis(self.arrived.elapsed());
        debug!("caller left", kv: { request_id, workspace, ms });
    }
}
