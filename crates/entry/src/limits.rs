//! Limits on what is sent to upstreams: those that they name, and the rate that they tolerate while
//! they are cold.

use std::time::Duration;

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{
    config::ColdStart,
    directory::UpstreamProcess,
    limits::{Cold, LimitChange, ToldLimit},
    upstream::Upstream,
};

use crate::{
    platform::{LimitNotice, Platform},
    state::{EntryContext, SendKind},
};

/// Longest time that a read of the list of upstreams takes. An entry may have been written that much
/// later than the read began, which is what the age of the list counts from.
const MAX_LIST_READ_TIME: Duration = Duration::from_secs(2);

/// Time for which an upstream that refuses connections is taken for another process, which is cold.
/// Longer than it takes a list with that process to arrive, 1.4 s.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// Whether something may be sent to an upstream as far as limits are concerned. If so, it counts as sent.
    pub(crate) fn take_permit(&self, upstream: &Upstream) -> bool {
        if self.limits.borrow().is_empty() {
            return true;
        }
        let process = UpstreamProcess::of(upstream);
        let now = self.clock.since_boot();
        self.limits.borrow_mut().take(&process, now)
    }

    /// The limit that an upstream has named, if any, in requests a second.
    pub(crate) fn limit_of(&self, upstream: &Upstream) -> Option<f64> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return None;
        }
        limits.limit(&UpstreamProcess::of(upstream))
    }

    /// Takes over which limits other instances have heard.
    pub(crate) fn apply_limits(&self, told: &[ToldLimit]) {
        let mut limits = self.limits.borrow_mut();
        let changes = limits.set_elsewhere(told, self.clock.since_boot());
        drop(limits);
        for (process, change) in changes {
            self.announce_limit(&process, change, "holder");
        }
    }

    pub(crate) fn record_limit(
        &self,
        upstream: &Upstream,
        notice: LimitNotice,
        (kind, sent_at): (SendKind, Duration),
    ) {
        let limit = match notice {
            LimitNotice::Named(limit) => Some(limit),
            LimitNotice::Absent => None,
            LimitNotice::Unknown => return,
            LimitNotice::Unusable => {
                self.metrics.count_notice("unusable_limit");
                if self.request_log_limiter.try_acquire(self.now()) {
                    spdlog::warn!("upstream names a limit that is no number of requests", kv: {
                        upstream = upstream.id.as_str()
                    });
                }
                return;
            }
        };
        let process = UpstreamProcess::of(upstream);
        let since_boot = self.clock.since_boot();
        let mut limits = self.limits.borrow_mut();
        let change = match kind {
            SendKind::Request | SendKind::Repeat => {
                limits.record_answer(&process, limit, sent_at, since_boot)
            }
            SendKind::Report | SendKind::Order => {
                limits.record_call_answer(&process, limit, sent_at, since_boot)
            }
        };
        drop(limits);
        if let Some(change) = change {
            self.announce_limit(&process, change, "answer");
            self.has_limit_news.set(true);
            self.permits_wanted.notify_one();
        }
    }

    /// Logs that the limit of an upstream has changed, and notifies waiting requests.
    fn announce_limit(&self, process: &UpstreamProcess, change: LimitChange, source: &str) {
        let upstream = process.id.as_str();
        match change {
            LimitChange::Begun(limit) => {
                self.metrics.count_notice("limit");
                spdlog::info!("upstream names a limit", kv: { upstream, source, limit });
            }
            LimitChange::Changed { from, to } => {
                spdlog::info!("upstream names another limit", kv: { upstream, source, from, to });
            }
            LimitChange::Ended => {
                self.metrics.count_notice("limit_ended");
                spdlog::info!("upstream has ended its limit", kv: { upstream, source });
            }
        }
        self.state_changed.notify_waiters();
    }

    /// What upstreams of a service tolerate while they are cold, if they need care.
    fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.config().services.get(service)?.cold
    }

    /// Whether an upstream is cold, as far as this instance knows.
    pub(crate) fn cold(&self, upstream: &Upstream) -> Option<Cold> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return None;
        }
        limits.cold(&UpstreamProcess::of(upstream), self.clock.since_boot())
    }

    /// Takes over from the list of upstreams which of them are cold. Called whenever the list or the
    /// configuration changes, before anything is sent to a new upstream, and when a list is confirmed.
    pub(crate) fn record_cold_list(&self) {
        let config = self.config();
        if config.services.values().all(|s| s.cold.is_none()) {
            return;
        }
        let since_boot = self.clock.since_boot();
        let directory = self.directory.borrow();
        let age = directory.age(self.now()).unwrap_or_default();
        let read_at = since_boot.saturating_sub(age.saturating_sub(MAX_LIST_READ_TIME));
        let list = directory.iter().filter_map(|upstream| {
            let cold = config.services.get(&upstream.service)?.cold?;
            Some((&**upstream, cold.per_s))
        });
        let mut limits = self.limits.borrow_mut();
        let newly_cold = limits.record_list(list, read_at, since_boot);
        drop(limits);
        for process in newly_cold {
            self.announce_cold(&process, "list");
        }
    }

    /// Makes the upstreams of a zone count as cold for as long as their service's upstreams are after a
    /// start, whatever their entries say. To be called when the zone takes requests again.
    pub(crate) fn presume_cold(&self, zone: &str) {
        let config = self.config();
        let times = config.services.values().filter_map(|s| Some(s.cold?.time));
        let Some(time) = times.max() else { return };
        let since_boot = self.clock.since_boot();
        let mut limits = self.limits.borrow_mut();
        limits.presume_cold(zone, since_boot + time, since_boot);
        drop(limits);
        spdlog::info!("upstreams of a zone are presumed to be cold", kv: {
            zone, ms = whole_millis(time)
        });
        self.record_cold_list();
    }

    /// Records that an upstream has said in an answer that it stays cold for a time.
    pub(crate) fn record_cold_answer(&self, upstream: &Upstream, cold_for: Option<Duration>) {
        let (Some(cold_for), Some(start)) = (cold_for, self.cold_start(&upstream.service)) else {
            return;
        };
        let process = UpstreamProcess::of(upstream);
        let since_boot = self.clock.since_boot();
        let cold = Cold {
            per_s: start.per_s,
            until: since_boot + cold_for,
        };
        let mut limits = self.limits.borrow_mut();
        let is_news = limits.record_cold_answer(&process, cold, since_boot);
        drop(limits);
        if is_news {
            self.announce_cold(&process, "answer");
            self.has_limit_news.set(true);
            self.permits_wanted.notify_one();
        }
    }

    /// Records that nobody listens at the address of an upstream. The next process that does is another
    /// one, which may come to the list later than its first request.
    pub(crate) fn record_refused_connection(&self, upstream: &Upstream) {
        let Some(start) = self.cold_start(&upstream.service) else {
            return;
        };
        let process = UpstreamProcess::of(upstream);
        let since_boot = self.clock.since_boot();
        let cold = Cold {
            per_s: start.per_s,
            until: since_boot + REPLACEMENT_TIME,
        };
        let mut limits = self.limits.borrow_mut();
        let is_news = limits.presume_process_cold(&process, cold, since_boot);
        drop(limits);
        if is_news {
            self.announce_cold(&process, "refused");
        }
    }

    fn announce_cold(&self, process: &UpstreamProcess, source: &str) {
        let since_boot = self.clock.since_boot();
        let cold = self.limits.borrow().cold(process, since_boot);
        let Some(cold) = cold else { return };
        self.metrics.count_notice("cold");
        let ms = whole_millis(cold.until.saturating_sub(since_boot));
        spdlog::info!("upstream is cold", kv: {
            upstream = process.id.as_str(), source, per_s = cold.per_s, ms
        });
        self.state_changed.notify_waiters();
    }

    pub(crate) fn count_cold_send(&self, upstream: &Upstream, kind: SendKind) {
        if self.cold(upstream).is_some() {
            self.metrics.count_cold_request(kind.name());
        }
    }
}
