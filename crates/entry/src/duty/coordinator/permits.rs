//! The holder's part in limits of upstreams: it gives permits, and takes them for its own calls.

use std::{collections::HashMap, rc::Rc, time::Instant};

use comfreyweir_clock::Clock;
use comfreyweir_fleet::{directory::UpstreamProcess, limits::PermitLedger, upstream::Upstream};

use super::{Coordinator, TenureState};
use crate::{
    exchange::message::{ExchangeAnswer, PermitRequest, Permits},
    platform::Platform,
    state::EntryContext,
};

impl<P> Coordinator<P>
where
    P: Platform,
{
    pub(super) fn begin_permits(&self) -> PermitLedger {
        let since_boot = self.cx.clock.since_boot();
        let known = self.cx.limits.borrow().all_known(since_boot);
        PermitLedger::begin(&known, since_boot)
    }

    /// Takes over which limits an instance has heard, and gives it permits.
    pub(crate) fn permits(&self, request: &PermitRequest) -> ExchangeAnswer {
        if !self.has_duty() {
            return self.elsewhere();
        }
        let now = self.cx.clock.since_boot();
        let mut state = self.state.borrow_mut();
        let silent_ratio = state.grant_allocator.silent_ratio();
        state.permits.hear(&request.limits, now);
        let asks = request.asks.iter();
        let answers = asks.filter_map(|ask| state.permits.ask(ask, silent_ratio, now));
        let answers = answers.collect();
        ExchangeAnswer::Permits(Permits {
            limits: state.permits.told(now),
            answers,
        })
    }

    /// Takes a permit for a call of the holder to an upstream. False if the upstream takes nothing
    /// more now.
    pub(in crate::duty) fn take_permit(&self, upstream: &Upstream) -> bool {
        let now = self.cx.clock.since_boot();
        let mut state = self.state.borrow_mut();
        let silent_ratio = state.grant_allocator.silent_ratio();
        let process = UpstreamProcess::of(upstream);
        state.record_cold(&self.cx, upstream);
        state.permits.take(&process, silent_ratio, now)
    }
}

impl TenureState {
    /// Takes over whether the holder's own instance knows an upstream as cold.
    fn record_cold<P>(&mut self, cx: &EntryContext<P>, upstream: &Upstream)
    where
        P: Platform,
    {
        if let Some(cold) = cx.cold(upstream) {
            let process = UpstreamProcess::of(upstream);
            self.permits
                .record_cold(&process, cold, cx.clock.since_boot());
        }
    }

    /// Adds the limited upstreams without room to those that want nothing for a time.
    pub(super) fn close_limited<P>(
        &mut self,
        cx: &EntryContext<P>,
        directory: &[Rc<Upstream>],
        closed: &mut HashMap<String, Instant>,
    ) where
        P: Platform,
    {
        let (now, since_boot) = (cx.now(), cx.clock.since_boot());
        let silent_ratio = self.grant_allocator.silent_ratio();
        for upstream in directory {
            let process = UpstreamProcess::of(upstream);
            self.record_cold(cx, upstream);
            let permits = &mut self.permits;
            let wait = permits.time_to_room(&process, silent_ratio, since_boot);
            if !wait.is_zero() {
                let until = closed.entry(process.id).or_insert(now);
                *until = (now + wait).max(*until);
            }
        }
    }

    /// Limits that the listed upstreams have named, in requests a second, by identifier. A cold one is
    /// warm before another engine has loaded its models.
    pub(super) fn limits_of(&self, directory: &[Rc<Upstream>]) -> HashMap<String, f64> {
        let limited = directory.iter().filter_map(|upstream| {
            let limit = self.permits.limit(&UpstreamProcess::of(upstream))?;
            Some((upstream.id.clone(), limit))
        });
        limited.collect()
    }
}
