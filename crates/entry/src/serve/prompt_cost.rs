//! Prompt tokens that an upstream has to read for a request, and whether it may take them now.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    intake::IntakeLimit,
    load::{Load, LoadTracker},
    prefix_cache::PrefixCaches,
    upstream::Upstream,
    upstream_choice::{home_upstreams, with_pauses},
};

use super::admitted::AdmittedRequest;
use crate::{platform::Platform, state::EntryContext};

/// What a request costs at each of the upstreams that could run it.
pub(super) struct PromptCost<'a> {
    request: &'a AdmittedRequest,
    prefix_caches: &'a PrefixCaches,
    /// Upstreams that are assumed to have the shared part of the prompt cached.
    homes: [Option<&'a str>; 2],
    /// Goal for pauses of the service's streams; zero if they have none.
    pause_goal: Duration,
}

impl<'a> PromptCost<'a> {
    /// Prepares the costs at `upstreams`. A shared part of the prompt counts as cached at its home
    /// upstreams if streams of the service have a goal for pauses and an upstream has any load.
    pub(super) fn new<P>(
        cx: &EntryContext<P>,
        request: &'a AdmittedRequest,
        prefix_caches: &'a PrefixCaches,
        upstreams: &[&'a Rc<Upstream>],
        (loads, now): (&LoadTracker, Instant),
    ) -> Self
    where
        P: Platform,
    {
        let pause_goal = request
            .artifact()
            .and_then(|_| cx.config().pause_goal(&request.service));
        let shared = request.declared.shared_prefix_id();
        let has_load = |u: &&Rc<Upstream>| loads.total(&u.id, now) != Load::default();
        let homes = match shared.filter(|_| pause_goal.is_some()) {
            Some(shared) if upstreams.iter().any(has_load) => {
                home_upstreams(upstreams.iter().map(|u| u.id.as_str()), shared)
            }
            _ => [None; 2],
        };
        Self {
            request,
            prefix_caches,
            homes,
            pause_goal: pause_goal.unwrap_or_default(),
        }
    }

    /// Prompt tokens that are not in the upstream's KV cache.
    pub(super) fn uncached_tokens(&self, upstream: &Upstream) -> u64 {
        let Some(artifact) = self.request.artifact() else {
            return 0;
        };
        let declared = &self.request.declared;
        if declared.prompt.is_empty() {
            return declared.prompt_tokens();
        }
        if self.homes.contains(&Some(upstream.id.as_str())) {
            return declared.unshared_tokens();
        }
        self.prefix_caches
            .uncached_tokens(&upstream.id, artifact, &declared.prompt)
    }

    /// The load by which an upstream is compared with others, on which the request has this number of
    /// uncached tokens.
    pub(super) fn load(&self, load: Load, uncached_tokens: u64) -> Load {
        if self.pause_goal.is_zero() {
            return load;
        }
        with_pauses(load, uncached_tokens)
    }

    /// Whether the upstream, with this load, may take the request in.
    pub(super) fn is_taken_in(&self, limit: &IntakeLimit, upstream: &Upstream, load: Load) -> bool {
        self.request.artifact().is_none()
            || limit.allows_within(
                load,
                upstream.slots,
                self.uncached_tokens(upstream),
                self.pause_goal,
            )
    }
}
