//! What a gate notes of each request: a log line and a count of refusals. Never a key, and never a
//! query, in which a caller may have put one by mistake.

use std::time::Instant;

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use comfreyweir_clock::whole_millis;
use spdlog::{debug, info};

use crate::{Refusal, Run, auth, context::Cx};

/// What is known of a request before it is routed.
pub(crate) struct Reported {
    request_id: String,
    workspace: Option<String>,
    method: String,
    path: String,
    arrived: Instant,
}

impl Reported {
    /// Notes a request that has arrived.
    pub(crate) fn new<A, V>(cx: &Cx<A, V>, req: &Request, request_id: &str) -> Self {
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

    /// Notes the head of an answer.
    pub(crate) fn answered(&self, res: &Response<BoxBody>) {
        let (request_id, method, path) = self.names();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let status = res.status().as_u16();
        let ms = whole_millis(self.arrived.elapsed());
        info!("answered", kv: { request_id, workspace, method, path, status, ms });
    }

    /// Notes a refusal.
    pub(crate) fn refused<A, V>(&self, cx: &Cx<A, V>, refusal: &Refusal) {
        let catalog = &cx.follower.current().catalog;
        cx.metrics
            .refused(self.workspace.as_deref(), catalog, refusal);
        let (request_id, method, path) = self.names();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let status = refusal.status.as_u16();
        let code = refusal.code.as_str();
        let run = match refusal.run {
            Run::No => "no",
            Run::Unknown => "unknown",
        };
        let reason = refusal.message.as_str();
        let ms = whole_millis(self.arrived.elapsed());
        info!("refused", kv: { request_id, workspace, method, path, status, code, run, reason, ms });
    }

    fn names(&self) -> (&str, &str, &str) {
        (&self.request_id, &self.method, &self.path)
    }

    /// Notes a caller that left before its answer began.
    pub(crate) fn left(&self) {
        let request_id = self.request_id.as_str();
        let workspace = self.workspace.as_deref().unwrap_or_default();
        let ms = whole_millis(self.arrived.elapsed());
        debug!("caller left", kv: { request_id, workspace, ms });
    }
}
