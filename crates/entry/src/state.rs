//! State of one entry instance, shared by its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_clock::{BootClock, Clock, whole_millis};
use comfreyweir_config::entry_settings::EntrySettings;
use comfreyweir_fleet::{
    closures::Closures,
    directory::{Changes, Directory, StoredUpstream},
    freshness::Freshness,
    health::Health,
    intake::{IntakeLimit, WaitingLines},
    limits::InstanceLimits,
    load::LoadTracker,
    planner::{DemandReport, Placement, WaitingRequests},
    prefix_cache::PrefixCaches,
    quarantine::PartRecord,
    quota::{Grant, InstanceQuotas, SILENT_INSTANCE_RESERVE_TIME},
    request::Artifact,
    retry_budget::{BudgetLimits, RetryBudget},
    run_times::RunTimes,
    stream_origins::{
        Resumption, SETTLE_TIME, ServedSoftware, SoftwareRecord, SoftwareVersions, StreamKey,
        StreamOrigins,
    },
    upstream::Upstream,
    versioned_list::ListCopy,
};
use comfreyweir_http::{memory::CallerMemory, shutdown::ShutdownState, upstream::UpstreamClient};
use comfreyweir_peer::{PeerLink, PeerSecret, peer_capnp::entry};
use tokio::sync::Notify;

use crate::{
    follow::known_config::KnownConfig,
    log_limiter::RequestLogLimiter,
    metrics::Metrics,
    platform::{Platform, UpstreamNotice},
    quarantine::QuarantineState,
    serve::OriginQuery,
    work_times::WorkTimes,
    zones::ZoneState,
};

/// Timeout for opening a connection to an upstream. Far above the round-trip time between
/// availability zones, and short enough that an upstream that has disappeared doesn't use up much
/// of a request's deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time before the end of a shutdown at which requests that are still waiting get their final
/// answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Upper bound of the time that the holder spends on one report. The reporting period is at least
/// this times the number of instances, so that the exchange takes a small part of the holder's CPU
/// and bandwidth in large fleets too.
const HOLDER_TIME_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Time without an answer of the holder, several exchange periods, after which an instance watches
/// the store for a new holder.
const HOLDER_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for an answer of the holder, in addition to two exchange periods, where that is longer.
const HOLDER_ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Age at which the placement received from the holder is no longer used.
const PLACEMENT_MAX_AGE: Duration = Duration::from_millis(2_500);

/// State of one entry instance.
pub(crate) struct EntryContext<P> {
    pub(crate) platform: P,
    settings: RefCell<Rc<EntrySettings>>,
    pub(crate) clock: BootClock,
    /// When this process started.
    pub(crate) started_at: Instant,
    /// Name of this process: the instance's name and a random number drawn at start.
    pub(crate) process: String,
    pub(crate) known_config: KnownConfig,
    pub(crate) directory: RefCell<Directory>,
    /// Software versions in the list of upstreams.
    pub(crate) software: RefCell<SoftwareVersions>,
    /// Software versions that began the streams that this instance knows.
    pub(crate) origins: RefCell<StreamOrigins>,
    /// Notified when the holder is to be told of streams, or asked for their origin.
    pub(crate) origins_due: Notify,
    /// When this instance last began to read the origins of streams from the store.
    pub(crate) origins_read_at: Cell<Option<Instant>>,
    /// Streams whose origin requests wait for.
    pub(crate) origin_queries: RefCell<HashMap<StreamKey, OriginQuery>>,
    pub(crate) members: RefCell<Members>,
    pub(crate) placement: RefCell<PlacementView>,
    pub(crate) loads: RefCell<LoadTracker>,
    pub(crate) quotas: RefCell<InstanceQuotas>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) health: RefCell<Health>,
    /// Upstreams that asked for no requests for a time.
    pub(crate) closures: RefCell<Closures>,
    /// Limits that upstreams have named, and permits to send to them.
    pub(crate) limits: RefCell<InstanceLimits>,
    /// Set when an upstream has named a limit, or ended it, of which the holder is to be told.
    pub(crate) has_limit_news: Cell<bool>,
    /// Notified when the holder is to be told of limits, or asked for permits.
    pub(crate) permits_wanted: Notify,
    pub(crate) prefix_caches: RefCell<PrefixCaches>,
    /// How long requests run, by route.
    pub(crate) run_times: RefCell<RunTimes>,
    pub(crate) demand: RefCell<Demand>,
    /// Evidence on prompt parts that end upstreams, and trials of requests with them.
    pub(crate) quarantine: QuarantineState,
    /// What engines take in at a time, by service.
    pub(crate) intake_limits: RefCell<HashMap<String, IntakeLimit>>,
    /// Requests that wait for an engine, by artifact.
    pub(crate) waiting_lines: RefCell<WaitingLines>,
    /// Notifies waiting requests that an engine may take in another one, or that another request is
    /// the first in its line.
    pub(crate) intake_changed: Notify,
    /// Notifies waiting requests that the configuration, upstreams, placement or grants may have
    /// changed.
    pub(crate) state_changed: Notify,
    /// Link to the holder, while this instance has one.
    pub(crate) holder_link: RefCell<Option<Rc<PeerLink<entry::Client>>>>,
    /// Notified when a request waits for a larger grant of its workspace's allowance.
    pub(crate) grant_wanted: Notify,
    /// Notified when the holder has sent grants.
    pub(crate) grants_changed: Notify,
    /// Notified when new demand has to be reported to the holder at once.
    pub(crate) demand_changed: Notify,
    /// Set when an instance that was called as the holder answers that it doesn't hold the duty
    /// and names no other instance. Cleared by the next answer that names one or is the holder's.
    pub(crate) holder_resigned: Cell<bool>,
    /// Notified when the members or the shared secret change.
    pub(crate) members_changed: Notify,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) shutdown: Rc<ShutdownState>,
    pub(crate) metrics: Metrics,
    /// Evacuated zones, and regions of zones.
    pub(crate) zones: ZoneState,
    pub(crate) work_times: WorkTimes,
    pub(crate) request_log_limiter: RequestLogLimiter,
    /// Number of instances according to the holder's last answer; 0 before the first one.
    pub(crate) instances_reported: Cell<usize>,
    /// When the store was last seen to have come back from a copy, in time since boot.
    pub(crate) store_copied_at: Cell<Option<Duration>>,
    /// End of the shutdown's grace period, once a shutdown has begun.
    pub(crate) shutdown_deadline: Cell<Option<Instant>>,
    /// What connections hold for callers, over all ports.
    pub(crate) caller_memory: Rc<CallerMemory>,
}

/// What is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// A caller's request for the first time.
    Request,
    /// A caller's request once more, or a stream that goes on.
    Repeat,
    /// A report request.
    Report,
    /// An order.
    Order,
}

impl SendKind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Repeat => "repeat",
            Self::Report => "report",
            Self::Order => "order",
        }
    }
}

/// The instances of the system and the holder of the planning duty, as read from the store.
#[derive(Default)]
pub(crate) struct Members {
    /// Peer addresses by instance name.
    pub(crate) instances: BTreeMap<String, SocketAddr>,
    /// Holder of the planning duty, also updated by the holder's answers.
    pub(crate) holder: Option<Holder>,
    /// Revision of the duty's key; 0 if the key does not exist or its revision is not known.
    pub(crate) duty_revision: u64,
    /// Shared secret that instances authenticate each other with.
    pub(crate) secret: Option<PeerSecret>,
    /// The secret as the store has it.
    pub(crate) secret_bytes: Option<Bytes>,
    /// Records of prompt parts that the store has.
    pub(crate) quarantine: Vec<PartRecord>,
    /// Software versions that the store has, with the revision of that record.
    pub(crate) software: (SoftwareRecord, u64),
    /// Store revision of the last read or change.
    pub(crate) revision: u64,
    /// Whether the entries have been read at least once.
    pub(crate) is_known: bool,
    /// Instances whose entry in the store has gone, with the time when that was seen.
    pub(crate) departed: HashMap<String, Instant>,
    /// Instances that had stopped reporting to the holder at its last answer, with the time since
    /// when.
    silent: HashMap<String, Instant>,
}

impl Members {
    /// Replaces the instances that the holder reports as silent, with the time since their last
    /// report.
    pub(crate) fn set_silent(&mut self, silent: &HashMap<String, Duration>, now: Instant) {
        let since = |age: &Duration| now.checked_sub(*age).unwrap_or(now);
        let silent = silent.iter().map(|(name, age)| (name.clone(), since(age)));
        self.silent = silent.collect();
        self.departed
            .retain(|_, at| now.saturating_duration_since(*at) < SILENT_INSTANCE_RESERVE_TIME);
    }

    /// Instances that may admit requests without reporting to a new holder, with the time since
    /// their last known contact with a holder.
    pub(crate) fn possibly_silent(&self, now: Instant) -> Vec<(String, Duration)> {
        let age = |since: &Instant| now.saturating_duration_since(*since);
        let silent = self.silent.iter().map(|(name, since)| (name, age(since)));
        let others = self.instances.keys().chain(self.departed.keys());
        let others = others.filter(|name| !self.silent.contains_key(*name));
        let others = others.map(|name| (name, Duration::ZERO));
        silent
            .chain(others)
            .map(|(name, age)| (name.clone(), age))
            .collect()
    }
}

/// The holder of the planning duty.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct Holder {
    /// Name of the process.
    pub(crate) process: String,
    /// Address of its peer port.
    pub(crate) peer: SocketAddr,
}

impl Holder {
    /// Name of the instance: the part of the process name before the slash.
    pub(crate) fn instance(&self) -> &str {
        self.process.split('/').next().unwrap_or_default()
    }
}

/// Placement of models and adapters, as received from the holder of the planning duty.
#[derive(Default)]
pub(crate) struct PlacementView {
    /// Fencing token of the holder and version of the placement, and their age.
    freshness: Freshness<(u64, u64)>,
    /// The holder's list of upstreams.
    pub(crate) holder_list: ListCopy,
    /// Models and adapters by engine.
    pub(crate) engines: Placement,
    /// Expected time until the artifacts that requests wait for are ready, as of the last answer.
    pub(crate) ready_in: Vec<(Artifact, Duration)>,
}

impl PlacementView {
    /// Fencing token of the holder, and the version of the placement.
    pub(crate) fn fence_and_version(&self) -> (u64, u64) {
        self.freshness.version()
    }

    /// Records that a holder sends or confirms a placement at `now`. False if it is an earlier holder
    /// than that of a placement that can still be used.
    pub(crate) fn take(&mut self, fence_and_version: (u64, u64), now: Instant) -> bool {
        let accepts = self
            .freshness
            .accepts_after(fence_and_version, PLACEMENT_MAX_AGE, now);
        if accepts {
            self.freshness.take(fence_and_version, Some(now), now);
        }
        accepts
    }

    /// Time since the holder last confirmed the placement; none if it never has.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Whether the placement is recent enough to be used.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.freshness.is_younger(PLACEMENT_MAX_AGE, now)
    }
}

/// Demand at this instance: its waiting requests, and its arrivals by service and model since
/// start.
#[derive(Default)]
pub(crate) struct Demand {
    waiting: BTreeMap<String, BTreeMap<Artifact, u32>>,
    arrivals: BTreeMap<String, BTreeMap<String, u64>>,
    /// Counters in the last report that the holder answered.
    acknowledged: BTreeMap<String, BTreeMap<String, u64>>,
}

impl Demand {
    /// Counts a request for a model.
    pub(crate) fn count_arrival(&mut self, service: &str, model: &str) {
        let models = self.arrivals.entry(service.to_owned()).or_default();
        *models.entry(model.to_owned()).or_default() += 1;
    }

    /// Counts a request that begins to wait for an artifact. Returns whether it is the only one.
    pub(crate) fn add_waiting(&mut self, service: &str, artifact: &Artifact) -> bool {
        let artifacts = self.waiting.entry(service.to_owned()).or_default();
        let requests = artifacts.entry(artifact.clone()).or_default();
        *requests += 1;
        *requests == 1
    }

    /// Removes a request that no longer waits for an artifact.
    pub(crate) fn remove_waiting(&mut self, service: &str, artifact: &Artifact) {
        let Some(artifacts) = self.waiting.get_mut(service) else {
            return;
        };
        if let Some(count) = artifacts.get_mut(artifact) {
            *count -= 1;
            if *count == 0 {
                artifacts.remove(artifact);
            }
        }
    }

    /// Whether any request waits for an artifact.
    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting.values().any(|artifacts| !artifacts.is_empty())
    }

    /// Builds the demand part of the report to the holder.
    pub(crate) fn report(&self) -> DemandReport {
        let waiting = self.waiting.iter().filter(|(_, a)| !a.is_empty());
        let waiting = waiting.map(|(service, artifacts)| {
            let artifacts = artifacts
                .iter()
                .map(|(artifact, requests)| WaitingRequests {
                    artifact: artifact.clone(),
                    requests: *requests,
                });
            (service.clone(), artifacts.collect())
        });
        DemandReport {
            waiting: waiting.collect(),
            arrivals: self.changed_arrivals(),
        }
    }

    /// Counters that differ from those that the holder has acknowledged.
    fn changed_arrivals(&self) -> BTreeMap<String, BTreeMap<String, u64>> {
        let services = self.arrivals.iter().map(|(service, models)| {
            let known = self.acknowledged.get(service);
            let is_new = |model: &String, count| known.and_then(|k| k.get(model)) != Some(count);
            let changed = models.iter().filter(|(model, count)| is_new(model, count));
            let changed = changed.map(|(model, count)| (model.clone(), *count));
            (service.clone(), changed.collect::<BTreeMap<_, _>>())
        });
        services.filter(|(_, models)| !models.is_empty()).collect()
    }

    /// Records that the holder has received the counters of a report.
    pub(crate) fn acknowledge(&mut self, reported: BTreeMap<String, BTreeMap<String, u64>>) {
        for (service, models) in reported {
            self.acknowledged.entry(service).or_default().extend(models);
        }
    }
}

impl<P> EntryContext<P>
where
    P: Platform,
{
    pub(crate) fn new(platform: P, settings: EntrySettings) -> Self {
        let (clock, metrics) = (BootClock::start(), Metrics::new());
        let limits = retry_budget_limits(&settings);
        let process = format!("{}/{:08x}", settings.instance.name, rand::random::<u32>());
        Self {
            platform,
            clock,
            started_at: clock.now(),
            process,
            known_config: KnownConfig::default(),
            directory: RefCell::default(),
            software: RefCell::default(),
            origins: RefCell::default(),
            origins_due: Notify::new(),
            origins_read_at: Cell::default(),
            origin_queries: RefCell::default(),
            members: RefCell::default(),
            placement: RefCell::default(),
            loads: RefCell::default(),
            quotas: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(limits)),
            health: RefCell::default(),
            closures: RefCell::default(),
            limits: RefCell::new(InstanceLimits::new(clock.since_boot())),
            has_limit_news: Cell::default(),
            permits_wanted: Notify::new(),
            prefix_caches: RefCell::default(),
            run_times: RefCell::default(),
            demand: RefCell::default(),
            quarantine: QuarantineState::default(),
            intake_limits: RefCell::default(),
            waiting_lines: RefCell::default(),
            intake_changed: Notify::new(),
            state_changed: Notify::new(),
            holder_link: RefCell::default(),
            grant_wanted: Notify::new(),
            grants_changed: Notify::new(),
            demand_changed: Notify::new(),
            holder_resigned: Cell::new(false),
            members_changed: Notify::new(),
            upstreams: crate::caller_memory::open_client(&settings, CONNECT_TIMEOUT),
            shutdown: Rc::default(),
            caller_memory: crate::caller_memory::open(&settings, &metrics),
            metrics,
            zones: ZoneState::new(settings.instance.regions()),
            work_times: WorkTimes::default(),
            request_log_limiter: RequestLogLimiter::default(),
            instances_reported: Cell::default(),
            store_copied_at: Cell::default(),
            shutdown_deadline: Cell::default(),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies new settings. The instance's identity, the listen addresses and the store's address
    /// stay as they were, since changing them needs a restart.
    pub(crate) fn reload(&self, mut settings: EntrySettings) {
        let previous = self.settings();
        let needs_restart = previous.instance != settings.instance
            || previous.listen != settings.listen
            || previous.store.addr != settings.store.addr;
        settings.instance.clone_from(&previous.instance);
        settings.listen.clone_from(&previous.listen);
        settings.store.addr = previous.store.addr;
        self.retry_budget
            .borrow_mut()
            .set_limits(retry_budget_limits(&settings));
        *self.settings.borrow_mut() = Rc::new(settings);
        spdlog::info!("settings in force", kv: { needs_restart });
    }

    /// Replaces the link to the holder. Calls on the one before go on to their end.
    pub(crate) fn set_holder_link(&self, link: Option<Rc<PeerLink<entry::Client>>>) {
        *self.holder_link.borrow_mut() = link;
    }

    /// Current monotonic time. It goes on while the machine is suspended: what was heard gets older.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Whether the holder of the planning duty answered recently. The limit is shorter than that of
    /// the placement's age, so that an instance finds another holder, or becomes it, while it can
    /// still use the placement.
    pub(crate) fn is_holder_responding(&self) -> bool {
        let age = self.placement.borrow().age(self.now());
        let timeout = HOLDER_SILENCE_TIMEOUT.max(self.exchange_period() * 2 + HOLDER_ANSWER_MARGIN);
        !self.holder_resigned.get() && age.is_some_and(|age| age < timeout)
    }

    /// Period of the reports to the holder while no demand makes them more frequent.
    pub(crate) fn exchange_period(&self) -> Duration {
        let instances = u32::try_from(self.instance_count()).unwrap_or(u32::MAX);
        let interval = self.settings().timing.exchange_interval();
        interval.max(HOLDER_TIME_PER_INSTANCE * instances)
    }

    /// Time left to answer a request before the shutdown ends; [`Duration::MAX`] if there is no
    /// shutdown.
    pub(crate) fn time_to_answer(&self, now: Instant) -> Duration {
        self.shutdown_deadline.get().map_or(Duration::MAX, |at| {
            at.saturating_duration_since(now)
                .saturating_sub(ANSWER_MARGIN)
        })
    }

    /// Number of instances that share system-wide limits, at least 1.
    pub(crate) fn instance_count(&self) -> usize {
        let registered = self.members.borrow().instances.len();
        self.instances_reported.get().max(registered).max(1)
    }

    /// Takes over the number of instances, and the place of this one in the order of their names, for the
    /// time without a holder.
    pub(crate) fn update_place(&self) {
        let settings = self.settings();
        let own = settings.instance.name.as_str();
        let members = self.members.borrow();
        let names = members.instances.keys();
        let place = names.take_while(|name| name.as_str() < own).count();
        drop(members);
        let instances = self.instance_count();
        self.limits.borrow_mut().set_place(instances, place);
    }

    /// Replaces the list of upstreams with the holder's, which it read at `at`, or confirms it.
    pub(crate) fn replace_directory(&self, list: &ListCopy, revision: u64, at: Instant) {
        let mut directory = self.directory.borrow_mut();
        let age_before = directory.age(at);
        let is_confirmed = directory.is_copy(list);
        let changes = directory.replace(list, revision, at);
        drop(directory);
        self.record_cold_list();
        if is_confirmed {
            return;
        }
        self.announce_upstreams(&changes, revision, age_before, "holder");
    }

    /// Replaces the list of upstreams with one that this instance has read from the store by a call
    /// that began at `called_at`.
    pub(crate) fn replace_directory_read(
        &self,
        list: Vec<StoredUpstream>,
        revision: u64,
        called_at: Instant,
    ) {
        let mut directory = self.directory.borrow_mut();
        let age_before = directory.age(called_at);
        let changes = directory.replace_read(list, revision, called_at);
        drop(directory);
        self.record_cold_list();
        self.announce_upstreams(&changes, revision, age_before, "store");
    }

    /// Takes over the software versions of a new list, logs its changes, discards health records and
    /// prefix caches of added and removed upstreams, and notifies waiting requests.
    pub(crate) fn announce_upstreams(
        &self,
        changes: &Changes,
        revision: u64,
        age_before: Option<Duration>,
        source: &str,
    ) {
        self.software
            .borrow_mut()
            .update(self.directory.borrow().iter(), self.now());
        if changes.is_empty() {
            return;
        }
        for id in changes.removed.iter().chain(&changes.added) {
            self.prefix_caches.borrow_mut().forget(id);
            self.health.borrow_mut().forget(id);
            self.closures.borrow_mut().forget(id);
        }
        if !changes.kept.is_empty() {
            spdlog::info!("upstreams are missing and kept", kv: {
                revision, source, kept = changes.kept.join(" ").as_str(),
                gap_ms = age_before.map_or(0, whole_millis)
            });
        }
        let (added, removed) = (changes.added.join(" "), changes.removed.join(" "));
        let draining = changes.draining.join(" ");
        if added.is_empty() && removed.is_empty() && draining.is_empty() {
            return;
        }
        spdlog::info!("upstreams changed", kv: {
            revision, source, added = added.as_str(), removed = removed.as_str(),
            draining = draining.as_str()
        });
        self.state_changed.notify_waiters();
    }

    /// Takes over which upstreams of a part of the list drain, before the whole list is known.
    pub(crate) fn note_draining(&self, page: &[StoredUpstream]) {
        let mut directory = self.directory.borrow_mut();
        let upstreams = page.iter().map(|entry| &entry.upstream);
        let draining = upstreams.filter(|u| directory.record_draining(u));
        let ids: Vec<_> = draining.map(|u| u.id.as_str()).collect();
        if ids.is_empty() {
            return;
        }
        spdlog::info!("upstreams changed", kv: {
            revision = directory.revision(), source = "page", added = "", removed = "",
            draining = ids.join(" ").as_str()
        });
        self.state_changed.notify_waiters();
    }

    /// Where a stream of a service may continue that a caller resumes here.
    ///
    /// Without a recent list of upstreams, this instance cannot tell that only one software version
    /// serves, and neither can a holder whose list is no newer.
    pub(crate) fn resumption(
        &self,
        service: &str,
        stream: Option<StreamKey>,
        now: Instant,
    ) -> Resumption {
        let directory = self.directory.borrow();
        let served = if directory.age(now).is_some_and(|age| age < SETTLE_TIME) {
            let versions = self.software.borrow();
            versions.served(service, directory.revision(), now)
        } else {
            ServedSoftware::Several
        };
        self.origins.borrow().resumption(stream, served)
    }

    /// Records that something is sent to an upstream. All that reaches upstreams passes here.
    pub(crate) fn record_sent(&self, upstream: &Upstream, kind: SendKind) {
        let now = self.now();
        self.closures.borrow_mut().record_sent(&upstream.id, now);
        self.count_cold_send(upstream, kind);
        let Some(limit) = self.limit_of(upstream) else {
            return;
        };
        self.metrics.count_limited_send(kind.name());
        if self.request_log_limiter.try_acquire(now) {
            spdlog::info!("sent to an upstream that has named a limit", kv: {
                upstream = upstream.id.as_str(), kind = kind.name(), limit
            });
        }
    }

    /// Records what an upstream has said of itself beside an answer: to what, and when that was sent, in
    /// time since boot.
    pub(crate) fn record_notice(
        &self,
        upstream: &Upstream,
        notice: UpstreamNotice,
        (kind, sent_at): (SendKind, Duration),
    ) {
        let now = self.now();
        self.record_limit(upstream, notice.limit, (kind, sent_at));
        self.record_cold_answer(upstream, notice.cold_for);
        let id = upstream.id.as_str();
        if notice.is_leaving && self.directory.borrow_mut().record_leaving(upstream, now) {
            spdlog::info!("upstream says that it leaves", kv: { upstream = id });
            self.metrics.count_notice("leaving");
            self.state_changed.notify_waiters();
        }
        let mut closures = self.closures.borrow_mut();
        let Some(time) = notice.closed_for else {
            closures.record_answer(id, now);
            return;
        };
        if closures.close(id, time, rand::random(), now).is_some() {
            self.metrics.count_notice("closed");
            if self.request_log_limiter.try_acquire(now) {
                spdlog::info!("upstream wants no requests for a time", kv: {
                    upstream = id, ms = whole_millis(time)
                });
            }
        }
    }

    /// Applies the holder's grants, the answer to a report built at `reported_at`, to the local
    /// quotas.
    pub(crate) fn apply_grants(&self, grants: &HashMap<String, Grant>, reported_at: Instant) {
        let now = self.now();
        let mut quotas = self.quotas.borrow_mut();
        for (workspace, grant) in grants {
            quotas.apply_grant(workspace, *grant, reported_at, now);
        }
        drop(quotas);
        self.grants_changed.notify_waiters();
    }
}

fn retry_budget_limits(settings: &EntrySettings) -> BudgetLimits {
    BudgetLimits {
        ratio: settings.repeats.ratio,
        extra: settings.repeats.extra,
        window: settings.repeats.window(),
    }
}
