//! What one entry instance knows and has, shared by its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_config::entry_settings::EntrySettings;
use comfreyweir_fleet::{
    budget::{BudgetLimits, RetryBudget},
    config::Config,
    directory::Directory,
    health::Health,
    kept::KeptParts,
    load::LoadBoard,
    planner::{DemandReport, Placement, Waiting},
    quota::{Grant, Quotas},
    request::Artifact,
};
use comfreyweir_http::{stopping::Stopping, upstream::Upstreams};
use comfreyweir_peer::Secret;
use tokio::sync::Notify;

use crate::{lines::LineBudget, metrics::Metrics, ports::Platform};

/// Longest time for opening a connection to an upstream. Far above the time between availability
/// zones; an upstream that has vanished must not take much of a request's time.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Time before the end of a stop at which requests get their final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Silence of the holder after which an instance watches who has the duty: some periods of the
/// exchange.
const HOLDER_SILENCE: Duration = Duration::from_millis(900);
/// Age at which the placement that the holder told is no longer used.
const PLACEMENT_LAPSE: Duration = Duration::from_millis(2_500);
/// Mistakes of one configuration that are logged, at most.
const MISTAKES_LOGGED: usize = 10;

/// State of one entry instance.
pub(crate) struct Cx<P> {
    pub(crate) platform: P,
    settings: RefCell<Rc<EntrySettings>>,
    pub(crate) clock: SystemClock,
    /// Name of the instance with a number drawn at start.
    pub(crate) process: String,
    config: RefCell<Rc<Config>>,
    config_value: RefCell<Bytes>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) members: RefCell<Members>,
    pub(crate) placement: RefCell<PlacementView>,
    pub(crate) loads: RefCell<LoadBoard>,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) health: RefCell<Health>,
    pub(crate) kept: RefCell<KeptParts>,
    pub(crate) demand: RefCell<Demand>,
    /// Something changed that a waiting request may wait for.
    pub(crate) changed: Notify,
    /// The holder has to hear of new demand at once.
    pub(crate) demand_changed: Notify,
    /// Whether the holder said that it has the duty no longer, and nobody else has been heard since.
    pub(crate) holder_resigned: Cell<bool>,
    /// The members or the secret changed.
    pub(crate) members_changed: Notify,
    pub(crate) upstreams: Upstreams,
    pub(crate) stopping: Rc<Stopping>,
    pub(crate) metrics: Metrics,
    pub(crate) lines: LineBudget,
    /// When the configuration in force was last known to be the newest.
    config_confirmed: Cell<Option<Instant>>,
    /// Instances that the holder knows of; 0 until it told.
    pub(crate) instances_told: Cell<usize>,
    /// When the process ends, once it stops.
    pub(crate) stops_at: Cell<Option<Instant>>,
    /// Bytes of request bodies in memory.
    pub(crate) body_bytes: Rc<Cell<usize>>,
}

/// The instances of the system, as their entries in the store say.
#[derive(Default)]
pub(crate) struct Members {
    /// Peer addresses by instance name.
    pub(crate) instances: BTreeMap<String, SocketAddr>,
    /// Who has the planning duty.
    pub(crate) holder: Option<Holder>,
    /// Revision of the duty's key; 0 where it does not exist or is not known.
    pub(crate) duty_revision: u64,
    /// Secret that authenticates the instances to each other.
    pub(crate) secret: Option<Secret>,
    /// Store revision of what is known.
    pub(crate) revision: u64,
    /// Whether the list was ever read.
    pub(crate) is_known: bool,
}

/// The holder of the planning duty.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct Holder {
    /// Its process.
    pub(crate) process: String,
    /// Its peer address.
    pub(crate) peer: SocketAddr,
}

impl Holder {
    /// Name of its instance.
    pub(crate) fn instance(&self) -> &str {
        self.process.split('/').next().unwrap_or_default()
    }
}

/// Where models are, as the holder of the planning duty told.
#[derive(Default)]
pub(crate) struct PlacementView {
    /// Fencing token of the holder, and its version of the placement.
    pub(crate) known: (u64, u64),
    /// Version of the holder's list of upstreams.
    pub(crate) directory: u64,
    /// Models and adapters by engine.
    pub(crate) engines: Placement,
    /// Time until artifacts that requests wait for can be used.
    pub(crate) ready_in: Vec<(Artifact, Duration)>,
    told_at: Option<Instant>,
}

impl PlacementView {
    /// Notes that the view is what the holder believes now.
    pub(crate) fn confirm(&mut self, now: Instant) {
        self.told_at = Some(now);
    }

    /// Time since the holder told it.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.told_at?))
    }

    /// Whether the holder told it lately.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.told_at
            .is_some_and(|at| now.saturating_duration_since(at) < PLACEMENT_LAPSE)
    }
}

/// Demand at this instance.
#[derive(Default)]
pub(crate) struct Demand {
    waiting: BTreeMap<String, BTreeMap<Artifact, u32>>,
    arrivals: BTreeMap<String, BTreeMap<String, u64>>,
}

impl Demand {
    /// Counts a request for a model.
    pub(crate) fn arrived(&mut self, service: &str, model: &str) {
        let models = self.arrivals.entry(service.to_owned()).or_default();
        *models.entry(model.to_owned()).or_default() += 1;
    }

    /// Counts a request that waits for an artifact. Says whether it is the first one.
    pub(crate) fn begin(&mut self, service: &str, artifact: &Artifact) -> bool {
        let artifacts = self.waiting.entry(service.to_owned()).or_default();
        let requests = artifacts.entry(artifact.clone()).or_default();
        *requests += 1;
        *requests == 1
    }

    /// Ends the wait of a request.
    pub(crate) fn end(&mut self, service: &str, artifact: &Artifact) {
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

    /// Whether a request waits.
    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting.values().any(|artifacts| !artifacts.is_empty())
    }

    /// The demand as the holder takes it.
    pub(crate) fn report(&self) -> DemandReport {
        let waiting = self.waiting.iter().filter(|(_, a)| !a.is_empty());
        let waiting = waiting.map(|(service, artifacts)| {
            let artifacts = artifacts.iter().map(|(artifact, requests)| Waiting {
                artifact: artifact.clone(),
                requests: *requests,
            });
            (service.clone(), artifacts.collect())
        });
        DemandReport {
            waiting: waiting.collect(),
            arrivals: self.arrivals.clone(),
        }
    }
}

impl<P> Cx<P>
where
    P: Platform,
{
    pub(crate) fn new(platform: P, settings: EntrySettings) -> Self {
        let limits = budget_limits(&settings);
        let process = format!("{}/{:08x}", settings.instance.name, rand::random::<u32>());
        Self {
            platform,
            clock: SystemClock,
            process,
            config: RefCell::default(),
            config_value: RefCell::default(),
            directory: RefCell::default(),
            members: RefCell::default(),
            placement: RefCell::default(),
            loads: RefCell::default(),
            quotas: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(limits)),
            health: RefCell::default(),
            kept: RefCell::default(),
            demand: RefCell::default(),
            changed: Notify::new(),
            demand_changed: Notify::new(),
            holder_resigned: Cell::new(false),
            members_changed: Notify::new(),
            upstreams: Upstreams::new(CONNECT_LIMIT),
            stopping: Rc::default(),
            metrics: Metrics::new(),
            lines: LineBudget::default(),
            config_confirmed: Cell::default(),
            instances_told: Cell::default(),
            stops_at: Cell::default(),
            body_bytes: Rc::default(),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts settings into force. What is bound to a port or a name stays as it was.
    pub(crate) fn reload(&self, mut settings: EntrySettings) {
        let before = self.settings();
        let needs_restart = before.instance != settings.instance
            || before.listen != settings.listen
            || before.store.addr != settings.store.addr;
        settings.instance.clone_from(&before.instance);
        settings.listen.clone_from(&before.listen);
        settings.store.addr = before.store.addr;
        self.budget
            .borrow_mut()
            .set_limits(budget_limits(&settings));
        *self.settings.borrow_mut() = Rc::new(settings);
        spdlog::info!("settings in force", kv: { needs_restart });
    }

    /// Monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force. Its version is 0 until one is known.
    pub(crate) fn config(&self) -> Rc<Config> {
        Rc::clone(&self.config.borrow())
    }

    /// The configuration in force as the operator wrote it.
    pub(crate) fn config_value(&self) -> Bytes {
        self.config_value.borrow().clone()
    }

    /// Puts a configuration into force unless it is older than the one in force.
    pub(crate) fn apply_config(&self, value: &Bytes, source: &str) {
        if *value == *self.config_value.borrow() {
            return;
        }
        let (config, mistakes) = match self.platform.decode_config(value) {
            Ok(decoded) => decoded,
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("configuration cannot be read; the last one stays in force", kv: {
                    source, reason = reason.as_str()
                });
                return;
            }
        };
        let before = self.config.borrow().version;
        let version = config.version;
        if version <= before {
            return;
        }
        for mistake in mistakes.iter().take(MISTAKES_LOGGED) {
            let reason = mistake.to_string();
            spdlog::error!("a part of the configuration is left out", kv: {
                version, reason = reason.as_str()
            });
        }
        *self.config.borrow_mut() = Rc::new(config);
        *self.config_value.borrow_mut() = value.clone();
        spdlog::info!("configuration in force", kv: {
            version, before, source, mistakes = mistakes.len()
        });
        self.changed.notify_waiters();
    }

    /// Notes that the configuration in force was the newest at a time.
    pub(crate) fn confirm_config(&self, at: Option<Instant>) {
        let known = self.config_confirmed.get();
        self.config_confirmed.set(known.max(at));
    }

    /// Time since the configuration in force was known to be the newest.
    pub(crate) fn config_age(&self, now: Instant) -> Option<Duration> {
        let at = self.config_confirmed.get()?;
        Some(now.saturating_duration_since(at))
    }

    /// Whether the holder of the planning duty answered lately. Shorter than its placement is
    /// used: who hears nothing has to look for another holder, or to become it.
    pub(crate) fn hears_holder(&self) -> bool {
        let age = self.placement.borrow().age(self.now());
        !self.holder_resigned.get() && age.is_some_and(|age| age < HOLDER_SILENCE)
    }

    /// Time in which a request that is under way has to be answered, at a stop.
    pub(crate) fn time_to_answer(&self, now: Instant) -> Duration {
        self.stops_at.get().map_or(Duration::MAX, |at| {
            at.saturating_duration_since(now)
                .saturating_sub(ANSWER_MARGIN)
        })
    }

    /// Instances that share what is bounded over all of them.
    pub(crate) fn instance_count(&self) -> usize {
        let listed = self.members.borrow().instances.len();
        self.instances_told.get().max(listed).max(1)
    }

    /// Takes over an answered list of upstreams.
    pub(crate) fn replace_directory(
        &self,
        list: Vec<comfreyweir_fleet::upstream::Upstream>,
        revision: u64,
        at: Instant,
        source: &str,
    ) {
        let changes = self.directory.borrow_mut().replace(list, revision, at);
        if changes.is_empty() {
            return;
        }
        for id in changes.removed.iter().chain(&changes.added) {
            self.kept.borrow_mut().forget(id);
            self.health.borrow_mut().forget(id);
        }
        let (added, removed) = (changes.added.join(" "), changes.removed.join(" "));
        let draining = changes.draining.join(" ");
        spdlog::info!("upstreams changed", kv: {
            revision, source, added = added.as_str(), removed = removed.as_str(),
            draining = draining.as_str()
        });
        self.changed.notify_waiters();
    }

    /// Takes over what the holder grants of allowances.
    pub(crate) fn tell_grants(&self, grants: &HashMap<String, Grant>, now: Instant) {
        let mut quotas = self.quotas.borrow_mut();
        for (workspace, grant) in grants {
            quotas.tell(workspace, *grant, now);
        }
    }
}

fn budget_limits(settings: &EntrySettings) -> BudgetLimits {
    BudgetLimits {
        ratio: settings.repeats.ratio,
        extra: settings.repeats.extra,
        window: settings.repeats.window(),
    }
}
