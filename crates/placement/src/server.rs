//! The holder's state for each upstream of its cell.

use std::time::{Duration, Instant};

use comfreyweir_config::catalog::{Upstream, UpstreamKind};
use comfreyweir_external::{
    engine::{Artifact, CheckpointTier, LoadState, Report},
    instances::InstanceState,
};

/// Age of the last report from which an engine counts as unreachable and takes no new loads.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// State of an upstream in the platform's list of instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingState {
    /// Not listed since this holder took over.
    NeverListed,
    /// Listed as in service.
    Live,
    /// Listed as about to be removed.
    Leaving,
    /// Listed earlier, and no longer.
    Removed,
}

impl ListingState {
    /// Returns the state after another read of the list; `state` is `None` if the upstream is not
    /// listed.
    #[must_use]
    pub fn updated(self, state: Option<InstanceState>) -> Self {
        match state {
            Some(InstanceState::Live) => Self::Live,
            Some(InstanceState::Leaving) => Self::Leaving,
            None if self == Self::NeverListed => Self::NeverListed,
            None => Self::Removed,
        }
    }
}

/// An upstream of the cell and what the holder has learned about it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Entry in the catalog.
    pub config: Upstream,
    /// State in the platform's list of instances.
    pub listing: ListingState,
    /// Last report of the engine that the holder could act on: an engine that checks fencing must
    /// have accepted the holder's term first.
    pub report: Option<Report>,
    /// When a report was last read, including one that the holder could not act on.
    pub report_at: Option<Instant>,
    /// Whether a report has been requested since the holder took over, even if that failed.
    pub report_requested: bool,
    /// Highest term that the engine is known to have accepted as fencing token.
    pub fenced_term: u64,
    /// Time before which no load is decided here, because the engine refused one.
    pub retry_at: Option<Instant>,
}

impl Server {
    /// Creates a server without a report.
    pub fn new(config: Upstream) -> Self {
        Self {
            config,
            listing: ListingState::NeverListed,
            report: None,
            report_at: None,
            report_requested: false,
            fenced_term: 0,
            retry_at: None,
        }
    }

    /// Whether it is a model engine, which loads artifacts on order.
    pub fn is_engine(&self) -> bool {
        self.config.kind == UpstreamKind::Engine
    }

    /// Whether it takes no new work because the platform is removing it or the operator drains it.
    pub fn is_leaving(&self) -> bool {
        self.listing == ListingState::Leaving || self.config.draining
    }

    /// Whether the platform has removed the instance and its engine no longer answers.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.listing == ListingState::Removed && !self.is_reachable(now)
    }

    /// Whether the last report is less than `MAX_REPORT_AGE` old.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.report_at
            .is_some_and(|at| now.duration_since(at) < MAX_REPORT_AGE)
    }

    /// Whether a load may be decided here.
    pub fn takes_loads(&self, now: Instant) -> bool {
        self.is_engine()
            && !self.is_leaving()
            && self.report.is_some()
            && self.is_reachable(now)
            && self.retry_at.is_none_or(|at| at <= now)
    }

    /// Usable memory, in MB: the smaller of the configured and the reported value, where 0 means
    /// not given.
    pub fn memory_mb(&self) -> u64 {
        let reported = self.report.as_ref().map_or(0, |r| r.memory_mb);
        match (self.config.memory_mb, reported) {
            (0, reported) => reported,
            (configured, 0) => configured,
            (configured, reported) => configured.min(reported),
        }
    }

    /// Storage tier of a checkpoint, as last reported; `Remote` if the report does not list it.
    pub fn tier(&self, served_name: &str) -> CheckpointTier {
        let tiers = self.report.as_ref().map(|r| &r.checkpoints);
        let tier = tiers.and_then(|t| t.get(served_name));
        tier.copied().unwrap_or(CheckpointTier::Remote)
    }

    /// State of an artifact, as last reported; `None` if it is not loaded.
    pub fn state(&self, served_name: &str) -> Option<LoadState> {
        let report = self.report.as_ref()?;
        let mut loaded = report.loaded.iter();
        loaded
            .find(|l| crate::record::is_served_as(&l.artifact, served_name))
            .map(|l| l.state)
    }

    /// Whether the engine had no running or waiting requests at some time from `at` on. Takes into
    /// account that the load figures are older than the report.
    pub fn was_idle_at_or_after(&self, at: Instant) -> bool {
        let Some((report, read_at)) = self.report.as_ref().zip(self.report_at) else {
            return false;
        };
        let lag = Duration::from_millis(report.load_age_ms);
        let figures_at = read_at.checked_sub(lag).unwrap_or(read_at);
        report.running == 0 && report.waiting == 0 && figures_at >= at
    }

    /// Like [`Self::has_ready`] for an artifact, without allocating its served name.
    pub fn serves(&self, artifact: &Artifact) -> bool {
        let Some(report) = self.report.as_ref() else {
            return false;
        };
        let mut loaded = report.loaded.iter();
        loaded.any(|l| {
            l.state == LoadState::Ready
                && l.artifact.name == artifact.name
                && l.artifact.version == artifact.version
        })
    }

    /// Whether the artifact is ready to serve requests, as last reported.
    pub fn has_ready(&self, served_name: &str) -> bool {
        self.state(served_name) == Some(LoadState::Ready)
    }
}
