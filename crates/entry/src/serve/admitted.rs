//! A request that was admitted.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, header::HeaderMap};
use bytes::Bytes;
use comfreyweir_fleet::{
    config::{Route, RouteKind, Workspace},
    request::{Artifact, Declared},
};
use comfreyweir_http::caller::Caller;

use crate::{ports::Platform, state::Cx};

/// A request that was admitted.
pub(crate) struct Ticket {
    /// What it declares.
    pub(crate) declared: Declared,
    /// Its identifier.
    pub(crate) id: String,
    /// Its route.
    pub(crate) route: Rc<Route>,
    /// Name of the service that was drawn for it.
    pub(crate) service: String,
    /// Whose key it came with.
    pub(crate) workspace: Option<Rc<Workspace>>,
    /// Units that it took of the workspace's allowance.
    pub(crate) cost: u64,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers for upstreams, without those that are set for each send.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    pub(super) _memory: BodyMemory,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// When its answer has to have ended.
    pub(crate) until: Instant,
    /// Its caller's connection.
    pub(crate) caller: Option<Caller>,
}

impl Ticket {
    /// What it asks an engine for.
    pub(crate) fn artifact(&self) -> Option<&Artifact> {
        self.declared.artifact.as_ref()
    }

    /// Key of what it asks an engine for; empty for plain services.
    pub(crate) fn load_key(&self) -> String {
        self.artifact().map_or_else(String::new, Artifact::key)
    }

    /// Time that is left.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// Time that is left until its caller gives up for want of a first byte.
    pub(crate) fn left_to_start(&self, now: Instant) -> Duration {
        if !self.is_stream() {
            return self.left(now);
        }
        let patience = (self.arrived + self.route.patience).saturating_duration_since(now);
        self.left(now).min(patience)
    }

    /// Whether it may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.may_repeat()
    }

    /// Whether its answer is a series of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Urgency at an engine, 0 to 9.
    pub(crate) fn urgency(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.rank);
        workspace.unwrap_or(self.route.rank).min(9)
    }

    /// Gives back what a request took that did not run.
    pub(crate) fn give_back<P>(&self, cx: &Cx<P>)
    where
        P: Platform,
    {
        if let Some(workspace) = &self.workspace {
            cx.quotas.borrow_mut().give_back(&workspace.name, self.cost);
        }
    }
}

/// Memory that a body takes, as long as the request lasts.
pub(super) struct BodyMemory {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyMemory {
    /// Adds `bytes` to a total until it is dropped.
    pub(super) fn take(total: &Rc<Cell<usize>>, bytes: usize) -> Self {
        total.set(total.get() + bytes);
        Self {
            total: Rc::clone(total),
            bytes,
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
