//! The state of an admitted request.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, header::HeaderMap};
use bytes::Bytes;
use comfreyweir_fleet::{
    config::{Route, RouteKind, Workspace},
    intake::Urgency,
    quarantine::PartId,
    request::{Artifact, RequestMetadata},
};
use comfreyweir_http::caller::CallerConnection;

use crate::{platform::Platform, state::EntryContext};

/// A request that passed all checks of [`super::admit`], with its body read.
pub(crate) struct AdmittedRequest {
    /// Values that the platform's request headers declare.
    pub(crate) declared: RequestMetadata,
    /// Request identifier that the caller sent.
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    /// Name of the service that was drawn among those of the route.
    pub(crate) service: String,
    /// Workspace that the API key belongs to; none on a public route without a known key, or where
    /// no workspaces are configured.
    pub(crate) workspace: Option<Rc<Workspace>>,
    /// Units taken from the workspace's allowance.
    pub(crate) cost: u64,
    pub(crate) method: Method,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Rc<[PartId]>,
    /// Whether an upstream has ended at the beginning of an answer to it.
    pub(crate) has_ended_upstream: Cell<bool>,
    /// Addresses of the upstreams that it was sent to.
    pub(crate) sent_to: RefCell<HashSet<SocketAddr>>,
    /// Path and query.
    pub(crate) path: String,
    /// Headers to forward, without those that are set anew for each attempt.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// Time by which the whole answer must have been sent.
    pub(crate) deadline: Instant,
    /// Whether a stream of unknown length to the caller is not chunked, as in HTTP/1.0.
    pub(crate) is_unframed: bool,
    /// The caller's connection, if known; used to detect that the caller disconnected.
    pub(crate) caller: Option<CallerConnection>,
}

impl AdmittedRequest {
    /// Model and adapter that the request needs; none for services without engines.
    pub(crate) fn artifact(&self) -> Option<&Artifact> {
        self.declared.artifact.as_ref()
    }

    /// Key of [`Self::artifact`]; empty for services without engines.
    pub(crate) fn artifact_key(&self) -> String {
        self.artifact().map_or_else(String::new, Artifact::key)
    }

    /// Time left until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time left until the caller gives up waiting for the first byte: on streams, the idle
    /// timeout, which also limits the time to the first event; for other requests, the deadline.
    pub(crate) fn time_left_to_first_byte(&self, now: Instant) -> Duration {
        if !self.is_stream() {
            return self.time_left(now);
        }
        let time_to_first_byte =
            (self.arrived + self.route.stream_idle_timeout).saturating_duration_since(now);
        self.time_left(now).min(time_to_first_byte)
    }

    /// Whether the request may run more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        self.route.may_retry()
    }

    /// Whether the end of the caller's input ends the request. A caller that has left looks the same as
    /// one that still reads. What may run again, and a stream, is work for nobody if it has left. A
    /// request that may run only once is answered, since its run cannot be taken back.
    pub(crate) fn ends_with_input(&self) -> bool {
        self.route.kind != RouteKind::NonIdempotent
    }

    /// Whether the answer is an event stream.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Urgency among requests that wait for the same artifact.
    pub(crate) fn urgency(&self) -> Urgency {
        let now = self.arrived;
        Urgency {
            rank: self.priority(),
            goal: self.arrived + self.route.first_byte_goal,
            gives_up: now + self.time_left_to_first_byte(now),
        }
    }

    /// Priority at an engine, from 0 (most urgent) to 9. The workspace's rank overrides the
    /// route's.
    pub(crate) fn priority(&self) -> u8 {
        let workspace_rank = self.workspace.as_ref().and_then(|w| w.rank);
        workspace_rank.unwrap_or(self.route.rank).min(9)
    }

    /// Returns the cost to the workspace's allowance. Called for requests that certainly did not
    /// run.
    pub(crate) fn refund_allowance<P>(&self, cx: &EntryContext<P>)
    where
        P: Platform,
    {
        if let Some(workspace) = &self.workspace {
            cx.quotas.borrow_mut().give_back(&workspace.name, self.cost);
        }
    }
}
