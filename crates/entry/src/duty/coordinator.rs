//! State and decisions of the holder of the planning duty: it collects the reports of all
//! instances, runs the planners, and answers each report with a view of the whole system.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{
    config::Service,
    directory::UpstreamProcess,
    duty::Tenure,
    limits::PermitLedger,
    load::{self, Loads},
    origin_index::OriginIndex,
    placement_log::PlacementLog,
    planner::{Action, ArrivalTotals, Placement, Planner, PlanningInput, WaitingRequests},
    quarantine::{EvidenceReport, PartLedger, PartRecord},
    quota::GrantAllocator,
    request::Artifact,
    stream_origins::ReportedOrigins,
    upstream::Upstream,
    versioned_list::{ListVersion, VersionedList},
    zones::EvacuationSource,
};
use tokio::{sync::Notify, time::timeout};

use super::{config_sources::ConfigSources, quarantine_log::log_quarantine};
use crate::{
    exchange::{
        config::ConfigId,
        message::{
            DirectoryView, ExchangeAnswer, GrantRequest, InstanceReport, OriginReport, OriginsView,
            SystemView, TrialRequest, Trials,
        },
    },
    platform::Platform,
    state::EntryContext,
    zones,
};

mod permits;

/// Age at which an instance's report is stale: its loads, waiting requests and unreachable
/// upstreams are then ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Runs the planners and answers other instances' reports. Every instance has one; it is active
/// only while the instance holds the planning duty.
pub(crate) struct Coordinator<P> {
    cx: Rc<EntryContext<P>>,
    tenure: Cell<Option<Tenure>>,
    /// Era of the store in which the tenure began.
    tenure_era: Cell<Option<u64>>,
    orders_paused_until: Cell<Duration>,
    /// Whether this instance is giving up the duty and sends no more orders.
    has_stopped_ordering: Cell<bool>,
    state: RefCell<TenureState>,
    /// Notified when the planners should run without waiting for the next periodic step.
    step_needed: Notify,
    /// Reports whose answers are delayed until there is news for them.
    held_reports: RefCell<HeldReports>,
    /// Notified when the records of prompt parts change.
    records_changed: Notify,
    /// Notified when streams are reported that the store does not have, or a tenure begins.
    origins_changed: Notify,
}

/// What the holder knows; discarded when the next tenure begins.
#[derive(Default)]
struct TenureState {
    quarantine: PartLedger,
    /// Limits of upstreams, and the permits given.
    permits: PermitLedger,
    planners: BTreeMap<String, Planner>,
    actions: Vec<(String, Action)>,
    reports: HashMap<String, (InstanceReport, Instant)>,
    grant_allocator: GrantAllocator,
    /// Requests at upstreams, from all instances, as of the last planner run, as views have them.
    totals: Bytes,
    /// Placement in this tenure.
    placement: PlacementLog,
    directory: VersionedList,
    /// Store revision at which `directory` was read, and when.
    directory_read: Option<(u64, Instant)>,
    arrivals: ArrivalTotals,
    /// Streams that instances began while several software versions served.
    origins: OriginIndex,
    /// Upstreams that told any instance that they leave, as of the last planner run.
    leaving: BTreeSet<UpstreamProcess>,
    /// Instances to get the configuration from, as of the last planner run.
    config_sources: ConfigSources,
    /// Upstreams in evacuated zones, as of the last planner run.
    evacuated: BTreeSet<String>,
}

impl<P> Coordinator<P>
where
    P: Platform,
{
    pub(crate) fn new(cx: Rc<EntryContext<P>>) -> Self {
        Self {
            cx,
            tenure: Cell::new(None),
            tenure_era: Cell::default(),
            orders_paused_until: Cell::default(),
            has_stopped_ordering: Cell::default(),
            state: RefCell::default(),
            step_needed: Notify::new(),
            held_reports: RefCell::default(),
            records_changed: Notify::new(),
            origins_changed: Notify::new(),
        }
    }

    /// State of the instance that this coordinator belongs to.
    pub(crate) fn context(&self) -> &EntryContext<P> {
        &self.cx
    }

    /// Begins a tenure, discarding the state of an earlier one.
    pub(super) fn begin_tenure(&self, tenure: Tenure) {
        let now = self.cx.now();
        let silent = self.cx.members.borrow().possibly_silent(now);
        let mut state = TenureState {
            grant_allocator: GrantAllocator::begin(tenure.fence, silent, now),
            directory: VersionedList::new(rand::random()),
            quarantine: PartLedger::begin(tenure.fence, now),
            permits: self.begin_permits(),
            origins: self.state.take().origins.begin_tenure(),
            ..TenureState::default()
        };
        let own = self.cx.quarantine.evidence().records();
        state.quarantine.merge(&own, now);
        let stored = self.cx.members.borrow().quarantine.clone();
        state.quarantine.merge(&stored, now);
        *self.state.borrow_mut() = state;
        self.records_changed.notify_one();
        self.origins_changed.notify_one();
        self.tenure.set(Some(tenure));
        self.tenure_era.set(self.cx.platform.store_era());
        self.has_stopped_ordering.set(false);
    }

    /// Stops sending orders. Reports are still answered until the tenure ends.
    pub(super) fn stop_ordering(&self) {
        self.has_stopped_ordering.set(true);
    }

    /// Ends the tenure, if there is one.
    pub(super) fn end_tenure(&self) {
        if let Some(tenure) = self.tenure.take() {
            spdlog::info!("planning duty ended", kv: { fence = tenure.fence });
            if self.cx.is_holder() {
                self.cx.members.borrow_mut().holder = None;
            }
            let mut directory = self.cx.directory.borrow_mut();
            directory.set_leaving_elsewhere(BTreeSet::new());
        }
        self.step_needed.notify_one();
    }

    /// Ends a tenure that began in an earlier era of the store.
    pub(crate) fn end_tenure_before(&self, era: u64) {
        if self.tenure_era.get() != Some(era) {
            self.end_tenure();
        }
    }

    /// The current tenure; none if this instance does not hold the duty.
    pub(super) fn tenure(&self) -> Option<Tenure> {
        self.tenure.get()
    }

    /// Whether this instance holds the duty. No other instance can hold it before the lease has
    /// certainly expired, so views and quota grants continue for longer than orders.
    pub(crate) fn has_duty(&self) -> bool {
        let now = self.cx.clock.since_boot();
        self.tenure.get().is_some_and(|t| !t.has_lapsed(now))
    }

    /// Fencing token, and whether the lease allows orders now; none if the duty is not held.
    pub(crate) fn duty_status(&self) -> Option<(u64, bool)> {
        let now = self.cx.clock.since_boot();
        self.tenure.get().map(|t| (t.fence, t.may_order(now)))
    }

    /// Extends the tenure after a renewal by a call that began at `called_at` (time since boot).
    pub(super) fn record_renewal(&self, called_at: Duration) {
        if let Some(mut tenure) = self.tenure.get() {
            tenure.renew(called_at);
            self.tenure.set(Some(tenure));
        }
    }

    /// Discards engine reports and queued orders, so that planners request new reports before the
    /// first orders of a tenure.
    pub(super) fn forget_reports(&self) {
        let mut state = self.state.borrow_mut();
        state
            .actions
            .retain(|(_, action)| matches!(action, Action::Report { .. }));
        state
            .planners
            .values_mut()
            .for_each(Planner::forget_reports);
    }

    /// Sends no orders for `time` from now.
    pub(super) fn pause_orders(&self, time: Duration) {
        self.orders_paused_until
            .set(self.cx.clock.since_boot() + time);
    }

    pub(super) fn is_ordering_paused(&self) -> bool {
        self.has_stopped_ordering.get()
            || self.cx.clock.since_boot() < self.orders_paused_until.get()
    }

    pub(super) fn request_step(&self) {
        self.step_needed.notify_one();
    }

    pub(super) async fn step_requested(&self) {
        self.step_needed.notified().await;
    }

    /// Calls `update` with the planner of a service; does nothing if the service has no planner.
    pub(super) fn with_planner<F>(&self, service: &str, update: F)
    where
        F: FnOnce(&mut Planner),
    {
        if let Some(planner) = self.state.borrow_mut().planners.get_mut(service) {
            update(planner);
        }
    }

    /// Runs the planners of all services and queues their actions.
    pub(super) fn run_planners(&self) {
        let now = self.cx.now();
        let config = self.cx.config();
        let leaving = self.state.borrow_mut().update_leaving(now);
        self.cx
            .directory
            .borrow_mut()
            .set_leaving_elsewhere(leaving);
        let known = self.cx.directory.borrow();
        let directory: Vec<_> = known.iter().cloned().collect();
        let mut state = self.state.borrow_mut();
        state.directory.update(&directory, known.missing());
        state.directory_read = known.read();
        drop(known);
        state.evacuated = zones::evacuated(&self.cx, &directory);
        let loads = state.loads(now);
        let suspects = state.suspects(now);
        let mut closed = self.cx.closures.borrow().ends(now);
        let limits = state.limits_of(&directory);
        state.close_limited(&self.cx, &directory, &mut closed);
        for service in config.services.values() {
            let asked = (&loads, &suspects);
            state.plan_service(service, &directory, asked, (&closed, &limits), now);
        }
        state.update_totals(&loads);
        let members = self.cx.members.borrow();
        let reports = state.fresh_reports(now);
        let sources = ConfigSources::of(reports, &members.instances);
        drop(members);
        state.config_sources = sources;
        self.update_quarantine(&mut state, now);
        let wanted = state.planners.values().map(Planner::wanted_count).sum();
        self.cx.work_times.record_wanted(wanted);
        if state.update_placement() {
            self.held_reports.borrow().notify(&state.placement);
        }
    }

    /// Takes the queued actions. Without `may_order`, orders stay in the queue.
    pub(super) fn take_actions(&self, may_order: bool) -> Vec<(String, Action)> {
        let mut state = self.state.borrow_mut();
        let actions = std::mem::take(&mut state.actions);
        let (allowed, postponed) = actions
            .into_iter()
            .partition(|(_, action)| may_order || matches!(action, Action::Report { .. }));
        state.actions = postponed;
        allowed
    }

    /// Records an instance's report and answers with a view of the whole system. The answer is delayed
    /// until an engine holds one of the artifacts that the instance's requests wait for, for at most
    /// `wait`.
    pub(crate) async fn exchange(&self, report: InstanceReport, wait: Duration) -> ExchangeAnswer {
        if !self.has_duty() {
            return self.elsewhere();
        }
        let request = ViewRequest::of(&report);
        self.record_report(report);
        let received_at = self.cx.now();
        if !wait.is_zero() && !self.has_news(&request) {
            let held = HeldReport::hold(&self.held_reports, &request);
            let _ = timeout(wait, held.news.notified()).await;
            // The duty may have ended meanwhile, and grants of it must not be given any more.
            if !self.has_duty() {
                return self.elsewhere();
            }
        }
        let mut view = self.view(&request);
        view.delay = self.cx.now().saturating_duration_since(received_at);
        ExchangeAnswer::View(Box::new(view))
    }

    /// Where the holder is, as far as this instance knows.
    fn elsewhere(&self) -> ExchangeAnswer {
        let members = self.cx.members.borrow();
        let holder = members.holder.as_ref().map(|h| h.peer);
        ExchangeAnswer::Elsewhere(holder, zones::news(&self.cx))
    }

    /// Answers a request for larger grants.
    pub(crate) fn grants(&self, request: &GrantRequest) -> ExchangeAnswer {
        if !self.has_duty() {
            return self.elsewhere();
        }
        let now = self.cx.now();
        let config = self.cx.config();
        let allowance = |name: &str| config.workspaces.get(name)?.allowance;
        let GrantRequest { process, spent } = request;
        let mut state = self.state.borrow_mut();
        let allocator = &mut state.grant_allocator;
        let mut grants = HashMap::new();
        if allocator.record_partial_usage(process, spent, allowance, now) {
            for workspace in spent.keys() {
                let allowance = allowance(workspace);
                let grant =
                    allowance.and_then(|a| allocator.grant_more(process, workspace, a, now));
                grants.extend(grant.map(|grant| (workspace.clone(), grant)));
            }
        }
        ExchangeAnswer::Grants(grants)
    }

    /// Takes over an instance's evidence on prompt parts and answers its requests for trials.
    pub(crate) fn trials(&self, request: &TrialRequest) -> ExchangeAnswer {
        if !self.has_duty() {
            return self.elsewhere();
        }
        let now = self.cx.now();
        let fence = self.fence();
        let mut state = self.state.borrow_mut();
        let ledger = &mut state.quarantine;
        ledger.record_report(&request.process, &request.evidence, now);
        for (id, parts, outcome) in &request.outcomes {
            ledger.record_outcome(*id, parts, *outcome, now);
        }
        for part in &request.released {
            ledger.release(*part);
        }
        self.update_quarantine(&mut state, now);
        let ledger = &mut state.quarantine;
        let answers = request.wanted.iter();
        let answers = answers.map(|(n, parts)| (*n, ledger.request_trial(parts, now)));
        let answers = answers.collect();
        let quarantine = ledger.view(request.evidence.known, now);
        ExchangeAnswer::Trials(Trials {
            fence,
            quarantine,
            answers,
        })
    }

    /// Takes over which versions began an instance's streams, and answers for those that it asks for.
    pub(crate) fn origins(&self, report: &OriginReport) -> ExchangeAnswer {
        let Some(tenure) = self.tenure.get().filter(|_| self.has_duty()) else {
            return self.elsewhere();
        };
        let origins = &mut self.state.borrow_mut().origins;
        if origins.record(&report.begun, self.cx.now()) {
            self.origins_changed.notify_one();
        }
        let streams = report.resumed.iter().map(|stream| {
            let software = origins.software(*stream);
            (*stream, software.map(str::to_owned))
        });
        ExchangeAnswer::Origins(OriginsView {
            fence: tenure.fence,
            streams: streams.collect(),
            remembered: origins.count(),
            has_stored: origins.has_stored(),
            tenure: tenure.age(self.cx.clock.since_boot()),
        })
    }

    /// Decides anew which prompt parts are suspect.
    fn update_quarantine(&self, state: &mut TenureState, now: Instant) {
        let ledger = &mut state.quarantine;
        let before = ledger.version();
        ledger.update(self.cx.exchange_period() * 2, now);
        if ledger.version() != before {
            self.records_changed.notify_one();
        }
        for event in ledger.take_events() {
            self.cx.metrics.count_quarantine(event);
            log_quarantine(event);
        }
    }

    /// Records of the suspect prompt parts.
    pub(super) fn suspect_records(&self) -> Vec<PartRecord> {
        let records = self.state.borrow().quarantine.records(self.cx.now());
        records.into_iter().filter(|r| r.is_suspect).collect()
    }

    /// Waits until the records of prompt parts may have changed.
    pub(super) async fn records_changed(&self) {
        self.records_changed.notified().await;
    }

    /// Waits until there may be streams that the store does not have.
    pub(super) async fn origins_changed(&self) {
        self.origins_changed.notified().await;
    }

    /// Whether the origins of streams that the store has are known.
    pub(super) fn has_stored_origins(&self) -> bool {
        self.state.borrow().origins.has_stored()
    }

    /// Takes over the origins of streams that the store has, in the tenure with this fencing token.
    pub(super) fn record_stored_origins(&self, fence: u64, batches: &[ReportedOrigins]) {
        if fence == self.fence() {
            let mut state = self.state.borrow_mut();
            state.origins.record_stored(batches, self.cx.now());
        }
    }

    /// Whether there are streams that the store does not have.
    pub(super) fn has_pending_origins(&self) -> bool {
        self.state.borrow().origins.has_pending()
    }

    /// The fencing token, and the next batch of origins for the store.
    pub(super) fn take_origins(&self) -> (u64, ReportedOrigins) {
        (self.fence(), self.state.borrow_mut().origins.take_batch())
    }

    /// Takes back a batch that could not be written in the tenure with this fencing token.
    pub(super) fn put_back_origins(&self, fence: u64, batch: ReportedOrigins) {
        if fence == self.fence() {
            self.state.borrow_mut().origins.put_back(batch);
        }
    }

    fn record_report(&self, report: InstanceReport) {
        let now = self.cx.now();
        let config = self.cx.config();
        let mut state = self.state.borrow_mut();
        let source = EvacuationSource::Instance;
        zones::learn_news(&self.cx, report.evacuations.as_ref(), source, None);
        let evidence: &EvidenceReport = &report.evidence;
        state
            .quarantine
            .record_report(&report.process, evidence, now);
        let allowance = |name: &str| config.workspaces.get(name)?.allowance;
        state
            .grant_allocator
            .record_usage(&report.process, &report.spent, allowance, now);
        state
            .arrivals
            .record(&report.process, &report.demand.arrivals);
        state
            .permits
            .hear(&report.limits, self.cx.clock.since_boot());
        let has_waiting = !report.demand.waiting.is_empty();
        state.reports.insert(report.process.clone(), (report, now));
        if has_waiting {
            self.step_needed.notify_one();
        }
    }

    /// Fencing token, 0 if the duty is not held.
    fn fence(&self) -> u64 {
        self.tenure.get().map_or(0, |t| t.fence)
    }

    /// Fencing token and version of the placement.
    fn fence_and_version(&self) -> (u64, u64) {
        (self.fence(), self.state.borrow().placement.version())
    }

    /// Whether an instance has to learn of a new holder, or of an engine that has begun to hold
    /// something that its requests wait for.
    fn has_news(&self, request: &ViewRequest) -> bool {
        let (known_fence, known_version) = request.placement;
        let awaited = request.waiting.iter().map(|(_, artifact)| artifact);
        let state = self.state.borrow();
        known_fence != self.fence() || state.placement.has_gained(awaited, known_version)
    }

    fn view(&self, request: &ViewRequest) -> SystemView {
        let now = self.cx.now();
        let config = self.cx.config();
        let placement = self.fence_and_version();
        let mut state = self.state.borrow_mut();
        let mut grants = HashMap::new();
        for workspace in config.workspaces.values() {
            if let Some(allowance) = workspace.allowance {
                let name = &workspace.name;
                let allocator = &mut state.grant_allocator;
                let grant = allocator.grant(&request.process, name, allowance, now);
                grants.extend(grant.map(|grant| (name.clone(), grant)));
            }
        }
        SystemView {
            placement,
            is_whole: request.placement.0 != placement.0,
            engines: state.engines_changed_since(placement.0, request.placement),
            delay: Duration::ZERO,
            ready_in_ms: state.ready_in(&request.waiting, now),
            totals: state.totals.clone(),
            grants,
            silent: state.grant_allocator.silent_instances(now),
            directory: state.directory_view(request.directory, now),
            leaving: state.leaving.iter().cloned().collect(),
            limits: state.permits.told(self.cx.clock.since_boot()),
            mixed: state.mixed_services(now),
            recorded: self.cx.recorded_software(),
            quarantine: state.quarantine.view(request.quarantine, now),
            config: request.config.and_then(|id| self.cx.config_for_view(id)),
            config_bytes: self.cx.config_value().len(),
            config_sources: state.config_sources.draw(),
            config_version: config.version,
            config_age_ms: self.cx.config_age(now).map_or(u64::MAX, whole_millis),
            evacuations: zones::news(&self.cx),
            instances: self.cx.members.borrow().instances.len(),
            holder: self.cx.members.borrow().holder.clone(),
            store_reach: self.cx.directory.borrow().store_reach(now),
        }
    }
}

/// The parts of a report that its view depends on: which versions the instance already knows, and
/// the artifacts that its requests wait for.
struct ViewRequest {
    process: String,
    placement: (u64, u64),
    directory: ListVersion,
    /// The configuration that the instance has, if it would apply a newer one at once.
    config: Option<ConfigId>,
    waiting: Vec<(String, Artifact)>,
    /// Fencing token and version of the records of prompt parts.
    quarantine: (u64, u64),
}

impl ViewRequest {
    fn of(report: &InstanceReport) -> Self {
        let waiting = report.demand.waiting.iter().flat_map(|(service, waiting)| {
            let artifacts = waiting.iter();
            artifacts.map(|w| (service.clone(), w.artifact.clone()))
        });
        Self {
            process: report.process.clone(),
            placement: report.placement,
            directory: report.directory,
            config: report.takes_config.then_some(report.config),
            waiting: waiting.collect(),
            quarantine: report.evidence.known,
        }
    }
}

/// Reports whose answers are delayed.
#[derive(Default)]
struct HeldReports {
    last_id: u64,
    /// The artifacts that each instance awaits, the placement version that it knows, and what wakes
    /// its answer.
    reports: HashMap<u64, (Vec<Artifact>, u64, Rc<Notify>)>,
}

impl HeldReports {
    /// Wakes the answers for which the placement has news.
    fn notify(&self, placement: &PlacementLog) {
        for (awaited, known_version, news) in self.reports.values() {
            if placement.has_gained(awaited, *known_version) {
                news.notify_one();
            }
        }
    }
}

/// A report whose answer is delayed until this is dropped.
struct HeldReport<'a> {
    held: &'a RefCell<HeldReports>,
    id: u64,
    news: Rc<Notify>,
}

impl<'a> HeldReport<'a> {
    fn hold(held: &'a RefCell<HeldReports>, request: &ViewRequest) -> Self {
        let mut reports = held.borrow_mut();
        reports.last_id += 1;
        let id = reports.last_id;
        let awaited = request.waiting.iter().map(|(_, artifact)| artifact.clone());
        let news = Rc::new(Notify::new());
        let report = (awaited.collect(), request.placement.1, Rc::clone(&news));
        reports.reports.insert(id, report);
        Self { held, id, news }
    }
}

impl Drop for HeldReport<'_> {
    fn drop(&mut self) {
        self.held.borrow_mut().reports.remove(&self.id);
    }
}

impl TenureState {
    /// The list of upstreams as of the last planner run, for an instance that knows a version of it.
    fn directory_view(&self, known_version: ListVersion, now: Instant) -> DirectoryView {
        let age = |at: Instant| whole_millis(now.saturating_duration_since(at));
        DirectoryView {
            revision: self.directory_read.map_or(0, |(revision, _)| revision),
            age_ms: self.directory_read.map(|(_, at)| age(at)),
            changes: self.directory.changes_since(known_version),
        }
    }

    fn plan_service(
        &mut self,
        service: &Service,
        directory: &[Rc<Upstream>],
        (loads, suspects): (&Loads, &BTreeSet<String>),
        (closed, limits): (&HashMap<String, Instant>, &HashMap<String, f64>),
        now: Instant,
    ) {
        let Some(spec) = &service.engine else { return };
        let upstreams_of_service = directory.iter().filter(|u| u.service == service.name);
        let upstreams: Vec<_> = upstreams_of_service.cloned().collect();
        let waiting = self.waiting_by_artifact(&service.name, now);
        let arrivals = self.arrivals.of_service(&service.name);
        let planner = self.planners.entry(service.name.clone()).or_default();
        planner.set_evacuated(&self.evacuated);
        let input = PlanningInput {
            upstreams: &upstreams,
            spec,
            loads,
            waiting: &waiting,
            suspects,
            closed,
            limits,
            arrivals: &arrivals,
        };
        let actions = planner.step(input, now);
        let actions = actions.into_iter();
        self.actions
            .extend(actions.map(|action| (service.name.clone(), action)));
    }

    /// Reports younger than [`REPORT_MAX_AGE`].
    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = &InstanceReport> {
        let is_fresh = move |at: Instant| now.saturating_duration_since(at) < REPORT_MAX_AGE;
        let reports = self.reports.values();
        reports.filter(move |(_, at)| is_fresh(*at)).map(|(r, _)| r)
    }

    /// Sums the requests at upstreams over all instances with a fresh report.
    fn loads(&self, now: Instant) -> Loads {
        let mut sum = Loads::new();
        for report in self.fresh_reports(now) {
            for (upstream, loads) in &report.loads {
                let total = sum.entry(upstream.clone()).or_default();
                for (key, load) in loads {
                    total.entry(key.clone()).or_default().add(*load);
                }
            }
        }
        sum
    }

    /// Encodes the sums of the loads for the views of all instances.
    fn update_totals(&mut self, loads: &Loads) {
        let totals = loads.keys().map(|id| (id, load::of_upstream(loads, id)));
        let totals: Vec<_> = totals.collect();
        match postcard::to_allocvec(&totals) {
            Ok(totals) => self.totals = Bytes::from(totals),
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("loads cannot be encoded; keeping the previous ones", kv: {
                    reason = reason.as_str()
                });
            }
        }
    }

    /// Merges the planners' placements; returns whether anything changed.
    fn update_placement(&mut self) -> bool {
        let planners = self.planners.values();
        let placement: Placement = planners.flat_map(|p| p.placement().clone()).collect();
        self.placement.update(placement)
    }

    /// Engines that changed since the placement version that an instance knows. If that version is
    /// of another holder (its fencing token differs), all engines.
    fn engines_changed_since(
        &self,
        fence: u64,
        (known_fence, known_version): (u64, u64),
    ) -> Placement {
        let known_version = if known_fence == fence {
            known_version
        } else {
            0
        };
        self.placement.changes_since(known_version)
    }

    /// Sums a service's waiting requests by artifact over all instances, most requested first.
    fn waiting_by_artifact(&self, service: &str, now: Instant) -> Vec<WaitingRequests> {
        let mut sum: BTreeMap<Artifact, u32> = BTreeMap::new();
        for report in self.fresh_reports(now) {
            for waiting in report.demand.waiting.get(service).into_iter().flatten() {
                *sum.entry(waiting.artifact.clone()).or_default() += waiting.requests;
            }
        }
        let mut sum: Vec<_> = sum
            .into_iter()
            .map(|(artifact, requests)| WaitingRequests { artifact, requests })
            .collect();
        sum.sort_by_key(|waiting| std::cmp::Reverse(waiting.requests));
        sum
    }

    /// Upstreams that any instance recently failed to reach.
    fn suspects(&self, now: Instant) -> BTreeSet<String> {
        let reports = self.fresh_reports(now);
        reports
            .flat_map(|r| r.unreachable.iter().cloned())
            .collect()
    }

    /// Services of which any instance has recently listed several software versions.
    fn mixed_services(&self, now: Instant) -> Vec<String> {
        let reports = self.fresh_reports(now);
        let services: BTreeSet<_> = reports.flat_map(|r| &r.mixed).collect();
        services.into_iter().cloned().collect()
    }

    /// Collects the upstreams that told any instance that they leave.
    fn update_leaving(&mut self, now: Instant) -> BTreeSet<UpstreamProcess> {
        let reports = self.fresh_reports(now);
        self.leaving = reports.flat_map(|r| r.leaving.iter().cloned()).collect();
        self.leaving.clone()
    }

    /// Expected time in ms until each artifact is loaded; artifacts without an estimate are left
    /// out.
    fn ready_in(&self, waiting: &[(String, Artifact)], now: Instant) -> Vec<(Artifact, u64)> {
        let times = waiting.iter().filter_map(|(service, artifact)| {
            let time = self.planners.get(service)?.ready_in(artifact, now)?;
            Some((artifact.clone(), whole_millis(time)))
        });
        times.collect()
    }
}
