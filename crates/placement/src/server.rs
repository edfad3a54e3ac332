//! What the holder knows of each upstream of its cell.

use std::time::{Duration, Instant};

use comfreyweir_config::catalog::{Upstream, UpstreamKind};
use comfreyweir_external::{
    engine::{Artifact, CheckpointTier, LoadState, Report},
    instances::State,
};

/// An upstream whose last report is older takes no new load.
pub const REPORT_TOO_OLD: Duration = Duration::from_secs(2);

/// What the platform's list of instances says of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It has not been named since this holder took over.
    NeverNamed,
    /// It is in service.
    Live,
    /// It is about to go.
    Leaving,
    /// It was named and no longer is.
    Removed,
}

impl Listing {
    /// What is known after a further reading of the list.
    #[must_use]
    pub fn next(self, state: Option<State>) -> Self {
        match state {
            Some(State::Live) => Self::Live,
            Some(State::Leaving) => Self::Leaving,
            None if self == Self::NeverNamed => Self::NeverNamed,
            None => Self::Removed,
        }
    }
}

/// An upstream of the cell.
#[derive(Clone, Debug)]
pub struct Server {
    /// What the catalog says.
    pub config: Upstream,
    /// What the platform's list says of it.
    pub listing: Listing,
    /// Last report of the engine, read under the holder's term.
    pub report: Option<Report>,
    /// When the last report was read.
    pub report_at: Option<Instant>,
    /// Whether it has been asked for a report since the holder took over.
    pub asked: bool,
    /// Highest fencing number that the engine is known to have taken.
    pub fenced_term: u64,
    /// No load is decided here before this time, because the engine refused one.
    pub retry_at: Option<Instant>,
}

impl Server {
    /// Creates a server of which nothing is known yet.
    pub fn new(config: Upstream) -> Self {
        Self {
            config,
            listing: Listing::NeverNamed,
            report: None,
            report_at: None,
            asked: false,
            fenced_term: 0,
            retry_at: None,
        }
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        self.config.kind == UpstreamKind::Engine
    }

    /// Whether it takes no new work, according to the platform or the operator.
    pub fn is_leaving(&self) -> bool {
        self.listing == Listing::Leaving || self.config.draining
    }

    /// Whether the platform has removed the instance and its engine no longer answers.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.listing == Listing::Removed && !self.is_reachable(now)
    }

    /// Whether the engine has reported lately.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.report_at
            .is_some_and(|at| now.duration_since(at) < REPORT_TOO_OLD)
    }

    /// Whether a load may be decided here.
    pub fn takes_loads(&self, now: Instant) -> bool {
        self.is_engine()
            && !self.is_leaving()
            && self.report.is_some()
            && self.is_reachable(now)
            && self.retry_at.is_none_or(|at| at <= now)
    }

    /// Memory that may be used: the smaller of the operator's word and the engine's.
    pub fn memory_mb(&self) -> u64 {
        let reported = self.report.as_ref().map_or(0, |r| r.memory_mb);
        match (self.config.memory_mb, reported) {
            (0, reported) => reported,
            (configured, 0) => configured,
            (configured, reported) => configured.min(reported),
        }
    }

    /// Where the engine has a checkpoint.
    pub fn tier(&self, served_name: &str) -> CheckpointTier {
        let tiers = self.report.as_ref().map(|r| &r.checkpoints);
        let tier = tiers.and_then(|t| t.get(served_name));
        tier.copied().unwrap_or(CheckpointTier::Remote)
    }

    /// State of an artifact, as last reported.
    pub fn state(&self, served_name: &str) -> Option<LoadState> {
        let report = self.report.as_ref()?;
        let mut loaded = report.loaded.iter();
        loaded
            .find(|l| crate::record::is_served_as(&l.artifact, served_name))
            .map(|l| l.state)
    }

    /// Whether the engine had nothing to do at `at` or later. Its load figures lag.
    pub fn was_quiet_at(&self, at: Instant) -> bool {
        let Some((report, read_at)) = self.report.as_ref().zip(self.report_at) else {
            return false;
        };
        let lag = Duration::from_millis(report.load_age_ms);
        let figures_at = read_at.checked_sub(lag).unwrap_or(read_at);
        report.running == 0 && report.waiting == 0 && figures_at >= at
    }

    /// Whether an artifact of a reservation serves requests. Compares without building its name.
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

    /// Whether the artifact serves requests.
    pub fn has_ready(&self, served_name: &str) -> bool {
        self.state(served_name) == Some(LoadState::Ready)
    }
}
