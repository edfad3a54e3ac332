//! The holder's desk: reports of all instances come in, views go out, planners decide.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{
    config::Service,
    duty::Tenure,
    load::{self, Load, Loads},
    planner::{Action, Placement, Planner, Waiting, World},
    quota::Levels,
    request::Artifact,
    upstream::Upstream,
};
use tokio::{sync::Notify, time::timeout};

use crate::{
    exchange::message::{Answer, DirectoryView, Report, View},
    ports::Platform,
    state::Cx,
};

/// Age at which an instance's report no longer says what it does now.
const REPORT_LAPSE: Duration = Duration::from_millis(1_500);

/// The holder's desk. Every instance has one; it is used while it has the duty.
pub(crate) struct Desk<P> {
    cx: Rc<Cx<P>>,
    tenure: Cell<Option<Tenure>>,
    paused_until: Cell<Duration>,
    /// Whether it gives the duty up and has given its last order.
    has_resigned: Cell<bool>,
    books: RefCell<Books>,
    /// Something happened that a decision may depend on.
    wake: Notify,
    /// The placement changed.
    placed: Notify,
}

/// What the holder has noted during one tenure.
#[derive(Default)]
struct Books {
    planners: BTreeMap<String, Planner>,
    actions: Vec<(String, Action)>,
    reports: HashMap<String, (Report, Instant)>,
    levels: Levels,
    /// Requests at upstreams, from all instances, as of the last decision.
    totals: HashMap<String, Load>,
    placement: Placement,
    /// Version at which an engine's part of the placement changed last.
    engine_versions: HashMap<String, u64>,
    version: u64,
    directory: Vec<Rc<Upstream>>,
    directory_version: u64,
}

impl<P> Desk<P>
where
    P: Platform,
{
    pub(crate) fn new(cx: Rc<Cx<P>>) -> Self {
        Self {
            cx,
            tenure: Cell::new(None),
            paused_until: Cell::default(),
            has_resigned: Cell::default(),
            books: RefCell::default(),
            wake: Notify::new(),
            placed: Notify::new(),
        }
    }

    /// Begins a tenure with empty books.
    pub(super) fn begin(&self, tenure: Tenure) {
        *self.books.borrow_mut() = Books::default();
        self.tenure.set(Some(tenure));
        self.has_resigned.set(false);
    }

    /// Gives no more orders. The holder goes on telling until the duty ends.
    pub(super) fn resign(&self) {
        self.has_resigned.set(true);
    }

    /// Ends the tenure.
    pub(super) fn end(&self) {
        if let Some(tenure) = self.tenure.take() {
            spdlog::info!("planning duty ended", kv: { fence = tenure.fence });
            if self.cx.is_holder() {
                self.cx.members.borrow_mut().holder = None;
            }
        }
        self.wake.notify_one();
    }

    /// The tenure, while it lasts.
    pub(super) fn tenure(&self) -> Option<Tenure> {
        self.tenure.get()
    }

    /// Whether this instance has the duty. Until its lease has surely ended nobody else can have
    /// it, so it goes on telling and granting for longer than it gives orders.
    pub(crate) fn has_duty(&self) -> bool {
        let now = self.cx.clock.since_boot();
        self.tenure.get().is_some_and(|t| !t.has_lapsed(now))
    }

    /// Fencing token, and whether orders may be given now.
    pub(crate) fn duty(&self) -> Option<(u64, bool)> {
        let now = self.cx.clock.since_boot();
        self.tenure.get().map(|t| (t.fence, t.may_order(now)))
    }

    pub(super) fn renewed(&self, called: Duration) {
        if let Some(mut tenure) = self.tenure.get() {
            tenure.renew(called);
            self.tenure.set(Some(tenure));
        }
    }

    /// Has all engines asked for their reports again, before the first orders of a tenure.
    pub(super) fn forget_reports(&self) {
        let mut books = self.books.borrow_mut();
        books
            .actions
            .retain(|(_, action)| matches!(action, Action::Report { .. }));
        books
            .planners
            .values_mut()
            .for_each(Planner::forget_reports);
    }

    /// Holds orders back for a time.
    pub(super) fn pause_orders(&self, time: Duration) {
        self.paused_until.set(self.cx.clock.since_boot() + time);
    }

    pub(super) fn is_paused(&self) -> bool {
        self.has_resigned.get() || self.cx.clock.since_boot() < self.paused_until.get()
    }

    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Hands an event to the planner of a service.
    pub(super) fn with<F>(&self, service: &str, event: F)
    where
        F: FnOnce(&mut Planner),
    {
        if let Some(planner) = self.books.borrow_mut().planners.get_mut(service) {
            event(planner);
        }
    }

    /// Lets the planners decide on what is known now.
    pub(super) fn step(&self) {
        let now = self.cx.now();
        let config = self.cx.config();
        let directory: Vec<_> = self.cx.directory.borrow().iter().cloned().collect();
        let mut books = self.books.borrow_mut();
        books.note_directory(&directory);
        let loads = books.loads(now);
        let suspects = books.suspects(now);
        for service in config.services.values() {
            books.plan(service, &directory, (&loads, &suspects), now);
        }
        books.note_totals(&loads);
        if books.note_placement() {
            self.placed.notify_waiters();
        }
    }

    /// What the planners want done; without leave for orders they are kept for later.
    pub(super) fn take_actions(&self, may_order: bool) -> Vec<(String, Action)> {
        let mut books = self.books.borrow_mut();
        let actions = std::mem::take(&mut books.actions);
        let (now, later) = actions
            .into_iter()
            .partition(|(_, action)| may_order || matches!(action, Action::Report { .. }));
        books.actions = later;
        now
    }

    /// Takes an instance's report, and answers with what all see. While the instance's requests
    /// wait, the answer waits for a change of placement, for at most `wait`.
    pub(crate) async fn exchange(&self, report: Report, wait: Duration) -> Answer {
        if !self.has_duty() {
            let members = self.cx.members.borrow();
            return Answer::Elsewhere(members.holder.as_ref().map(|h| h.peer));
        }
        let known = report.placement;
        let request = Asked::of(&report);
        self.note(report);
        let until = self.cx.now() + wait;
        loop {
            let placed = self.placed.notified();
            let left = until.saturating_duration_since(self.cx.now());
            if left.is_zero() || self.placement_version() != known {
                return Answer::View(Box::new(self.view(&request)));
            }
            let _ = timeout(left, placed).await;
        }
    }

    fn note(&self, report: Report) {
        let now = self.cx.now();
        let config = self.cx.config();
        let mut books = self.books.borrow_mut();
        let allowance = |name: &str| config.workspaces.get(name)?.allowance;
        books
            .levels
            .note(&report.process, &report.spent, allowance, now);
        let has_waiting = !report.demand.waiting.is_empty();
        books.reports.insert(report.process.clone(), (report, now));
        if has_waiting {
            self.wake.notify_one();
        }
    }

    fn placement_version(&self) -> (u64, u64) {
        let fence = self.tenure.get().map_or(0, |t| t.fence);
        (fence, self.books.borrow().version)
    }

    fn view(&self, asked: &Asked) -> View {
        let now = self.cx.now();
        let config = self.cx.config();
        let placement = self.placement_version();
        let mut books = self.books.borrow_mut();
        let mut grants = HashMap::new();
        for workspace in config.workspaces.values() {
            if let Some(allowance) = workspace.allowance {
                let name = &workspace.name;
                let grant = books.levels.grant(&asked.process, name, allowance, now);
                grants.insert(name.clone(), grant);
            }
        }
        let newer = config.version > asked.config;
        let value = self.cx.config_value();
        View {
            placement,
            is_whole: asked.placement.0 != placement.0,
            engines: books.engines_since(placement.0, asked.placement),
            ready_in_ms: books.ready_in(&asked.waiting, now),
            others: books.others(&asked.process, now),
            grants,
            directory: self.directory_view(&books, asked.directory, now),
            config: newer.then(|| String::from_utf8_lossy(&value).into_owned()),
            config_age_ms: self.cx.config_age(now).map_or(u64::MAX, whole_millis),
            instances: self.cx.members.borrow().instances.len(),
            holder: self.cx.members.borrow().holder.clone(),
        }
    }

    fn directory_view(&self, books: &Books, known: u64, now: Instant) -> DirectoryView {
        let directory = self.cx.directory.borrow();
        let is_new = known != books.directory_version;
        let list = || books.directory.iter().map(|u| (**u).clone()).collect();
        DirectoryView {
            version: books.directory_version,
            revision: directory.revision(),
            age_ms: directory.age(now).map(whole_millis),
            list: is_new.then(list),
        }
    }
}

/// What an instance needs its view for.
struct Asked {
    process: String,
    placement: (u64, u64),
    directory: u64,
    config: u64,
    waiting: Vec<(String, Artifact)>,
}

impl Asked {
    fn of(report: &Report) -> Self {
        let waiting = report.demand.waiting.iter().flat_map(|(service, waiting)| {
            let artifacts = waiting.iter();
            artifacts.map(|w| (service.clone(), w.artifact.clone()))
        });
        Self {
            process: report.process.clone(),
            placement: report.placement,
            directory: report.directory,
            config: report.config,
            waiting: waiting.collect(),
        }
    }
}

impl Books {
    /// Gives the list of upstreams a new version when its content changes.
    fn note_directory(&mut self, directory: &[Rc<Upstream>]) {
        // Entries stay the same object until the list is read again.
        let is_same = |(a, b): (&Rc<Upstream>, &Rc<Upstream>)| Rc::ptr_eq(a, b) || a == b;
        let same = self.directory.len() == directory.len()
            && self.directory.iter().zip(directory).all(is_same);
        if !same || self.directory_version == 0 {
            self.directory = directory.to_vec();
            // Versions of different holders must not be taken for each other.
            self.directory_version = rand::random();
        }
    }

    fn plan(
        &mut self,
        service: &Service,
        directory: &[Rc<Upstream>],
        (loads, suspects): (&Loads, &BTreeSet<String>),
        now: Instant,
    ) {
        let Some(spec) = &service.engine else { return };
        let of_service = directory.iter().filter(|u| u.service == service.name);
        let upstreams: Vec<_> = of_service.cloned().collect();
        let waiting = self.waiting(&service.name, now);
        let arrivals = self.arrivals(&service.name);
        let planner = self.planners.entry(service.name.clone()).or_default();
        let world = World {
            upstreams: &upstreams,
            spec,
            loads,
            waiting: &waiting,
            suspects,
            arrivals: &arrivals,
        };
        let actions = planner.step(world, now);
        let actions = actions.into_iter();
        self.actions
            .extend(actions.map(|action| (service.name.clone(), action)));
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Report> {
        let fresh = move |at: Instant| now.saturating_duration_since(at) < REPORT_LAPSE;
        let reports = self.reports.values();
        reports.filter(move |(_, at)| fresh(*at)).map(|(r, _)| r)
    }

    /// Requests at upstreams from all instances.
    fn loads(&self, now: Instant) -> Loads {
        let mut sum = Loads::new();
        for report in self.fresh(now) {
            for (upstream, loads) in &report.loads {
                let total = sum.entry(upstream.clone()).or_default();
                for (key, load) in loads {
                    total.entry(key.clone()).or_default().add(*load);
                }
            }
        }
        sum
    }

    fn note_totals(&mut self, loads: &Loads) {
        let totals = loads.keys();
        self.totals = totals
            .map(|id| (id.clone(), load::of_upstream(loads, id)))
            .collect();
    }

    /// Requests at upstreams from all instances but one.
    fn others(&self, process: &str, now: Instant) -> HashMap<String, Load> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_LAPSE;
        let own = self.reports.get(process).filter(|(_, at)| fresh(*at));
        let others = self.totals.iter().map(|(id, total)| {
            let own = own.map_or_else(Load::default, |(r, _)| load::of_upstream(&r.loads, id));
            (id.clone(), total.without(own))
        });
        others
            .filter(|(_, load)| *load != Load::default())
            .collect()
    }

    /// Takes over what the planners believe; true if anything changed.
    fn note_placement(&mut self) -> bool {
        let planners = self.planners.values();
        let placement: Placement = planners.flat_map(|p| p.placement().clone()).collect();
        if placement == self.placement {
            return false;
        }
        self.version += 1;
        // An engine that has gone is told as one that holds nothing.
        let gone = self
            .placement
            .keys()
            .filter(|id| !placement.contains_key(*id));
        let gone: Vec<_> = gone.cloned().collect();
        let changed = placement
            .iter()
            .filter(|(id, models)| self.placement.get(*id) != Some(models));
        for id in changed.map(|(id, _)| id).chain(&gone) {
            self.engine_versions.insert(id.clone(), self.version);
        }
        self.placement = placement;
        true
    }

    /// Engines that changed since a placement that an instance knows; all for another holder's.
    fn engines_since(&self, fence: u64, (known_fence, known): (u64, u64)) -> Placement {
        let is_new = |id: &String| known_fence != fence || self.engine_versions[id] > known;
        let changed = self.engine_versions.keys().filter(|id| is_new(id));
        changed
            .map(|id| {
                (
                    id.clone(),
                    self.placement.get(id).cloned().unwrap_or_default(),
                )
            })
            .collect()
    }

    fn waiting(&self, service: &str, now: Instant) -> Vec<Waiting> {
        let mut sum: BTreeMap<Artifact, u32> = BTreeMap::new();
        for report in self.fresh(now) {
            for waiting in report.demand.waiting.get(service).into_iter().flatten() {
                *sum.entry(waiting.artifact.clone()).or_default() += waiting.requests;
            }
        }
        let mut sum: Vec<_> = sum
            .into_iter()
            .map(|(artifact, requests)| Waiting { artifact, requests })
            .collect();
        sum.sort_by_key(|waiting| std::cmp::Reverse(waiting.requests));
        sum
    }

    /// Upstreams that an instance could not reach lately.
    fn suspects(&self, now: Instant) -> BTreeSet<String> {
        let reports = self.fresh(now);
        reports
            .flat_map(|r| r.unreachable.iter().cloned())
            .collect()
    }

    fn arrivals(&self, service: &str) -> HashMap<String, u64> {
        let mut sum: HashMap<String, u64> = HashMap::new();
        for (report, _) in self.reports.values() {
            for (model, count) in report.demand.arrivals.get(service).into_iter().flatten() {
                *sum.entry(model.clone()).or_default() += count;
            }
        }
        sum
    }

    fn ready_in(&self, waiting: &[(String, Artifact)], now: Instant) -> Vec<(Artifact, u64)> {
        let times = waiting.iter().filter_map(|(service, artifact)| {
            let time = self.planners.get(service)?.ready_in(artifact, now)?;
            Some((artifact.clone(), whole_millis(time)))
        });
        times.collect()
    }
}
