//! Which software version of a service began a stream.
//!
//! Upstreams of several software versions may serve a service side by side. What they generate does
//! not fit together, so a stream continues only at the version that began it, also when its caller
//! resumes it at another instance. Each instance remembers the streams that it sent. While several
//! versions are listed, it reports them to the holder of the planning duty, which other instances
//! ask, and which keeps them in the store for the case that all instances are killed.
//!
//! The streams that callers resume after that are the ones that had begun last. So a stream is reported
//! soon after it was sent to an upstream, while the prompt is still being read. From then on it is
//! bound to the version: sent to another one, it could be killed with its instance before the
//! correction is known.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::upstream::Upstream;

/// Time for which the origin of a stream is remembered: the longest time that a caller spends on one
/// stream, with its retries.
pub const ORIGIN_MEMORY: Duration = Duration::from_secs(30);
/// Time for which a version that is no longer listed is remembered. Its upstreams may still serve
/// instances that are cut off, so that streams begin there for a while.
pub const SOFTWARE_MEMORY: Duration = Duration::from_mins(1);
/// Time from the first listing of a version until requests are sent to it while others serve. All
/// instances have learned of the version by then, or know that their list is out of date.
pub const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Most streams in one report to the holder. The others follow in later reports.
const MAX_REPORTED: usize = 1_000;
/// Time for which a stream without events must have been at its upstream before it is reported. Most
/// upstreams that turn a request away do so sooner, and it may then go to any version.
pub const MIN_TIME_SENT: Duration = Duration::from_millis(20);

/// Identifies a stream on all instances: a hash of the identifier of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that the request of a workspace with this identifier began. Identifiers
    /// are the callers' own, so that two workspaces may use the same one.
    pub fn of(workspace: &str, request_id: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.as_bytes())
            .chain_update([0])
            .chain_update(request_id.as_bytes())
            .finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// Streams by the software version that began them, as reported to the holder.
pub type ReportedOrigins = BTreeMap<String, Vec<StreamKey>>;

/// Origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, Origin>,
    /// Streams in the order of their recording, with the time of it.
    recorded: VecDeque<(Instant, StreamKey)>,
}

#[derive(Debug)]
struct Origin {
    service: Rc<str>,
    software: Rc<str>,
    /// Whether this instance has sent or resumed it, and is to report it.
    is_own: bool,
    /// When it was sent to an upstream of the version; none if that has turned it away.
    sent_at: Option<Instant>,
    /// Whether its first event was passed on.
    has_begun: bool,
    /// Whether it was in a report, so that the holder may know of it.
    is_reported: bool,
    /// Fencing token of the holder that has acknowledged it; 0 if none has.
    acknowledged_by: u64,
}

/// Where a stream that a caller resumes may continue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// At any version: none is known.
    Anywhere,
    /// At the version that began it. If only one serves, it must still be named: another one may
    /// appear while the request waits for an upstream.
    At(String),
    /// Not known: several versions serve, and this instance has not begun the stream.
    Unknown,
}

/// Software versions of a service that may have served recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedSoftware {
    /// No upstream is known.
    None,
    /// Only this version.
    One(String),
    /// Several versions, or it is not known which.
    Several,
}

impl StreamOrigins {
    /// Records that a stream is being sent to an upstream of a version. False if it is bound to another
    /// version, and must not be sent there.
    pub fn begin(
        &mut self,
        stream: StreamKey,
        service: &str,
        software: &str,
        now: Instant,
    ) -> bool {
        if let Some(origin) = self.streams.get_mut(&stream) {
            if *origin.software == *software {
                origin.sent_at.get_or_insert(now);
                return true;
            }
            if origin.has_begun || origin.is_reported {
                return false;
            }
            origin.software = software.into();
            origin.sent_at = Some(now);
            return true;
        }
        let origin = Origin {
            service: service.into(),
            software: software.into(),
            is_own: true,
            sent_at: Some(now),
            has_begun: false,
            is_reported: false,
            acknowledged_by: 0,
        };
        self.insert(stream, origin, now);
        true
    }

    /// Records that no upstream has a stream any more that has not begun. Unless it was reported, it may
    /// go to any version.
    pub fn end_attempt(&mut self, stream: StreamKey) {
        if let Some(origin) = self.streams.get_mut(&stream)
            && !origin.has_begun
        {
            origin.sent_at = None;
        }
    }

    /// Records the version that began a stream. The first record of a stream counts.
    pub fn record(&mut self, stream: StreamKey, service: &str, software: &str, now: Instant) {
        if self.begin(stream, service, software, now)
            && let Some(origin) = self.streams.get_mut(&stream)
        {
            origin.has_begun = true;
        }
    }

    /// Takes over streams that other instances have reported.
    pub fn learn(&mut self, reported: &ReportedOrigins, now: Instant) {
        for (software, streams) in reported {
            let software: Rc<str> = software.as_str().into();
            for stream in streams {
                let origin = Origin {
                    service: "".into(),
                    software: Rc::clone(&software),
                    is_own: false,
                    sent_at: Some(now),
                    has_begun: true,
                    is_reported: true,
                    acknowledged_by: 0,
                };
                if !self.streams.contains_key(stream) {
                    self.insert(*stream, origin, now);
                }
            }
        }
    }

    fn insert(&mut self, stream: StreamKey, origin: Origin, now: Instant) {
        self.expire(now);
        self.streams.insert(stream, origin);
        self.recorded.push_back((now, stream));
    }

    /// The version that a stream is bound to: it has begun there, or the holder may believe so.
    pub fn bound_software(&self, stream: StreamKey) -> Option<&str> {
        let origin = self.streams.get(&stream)?;
        (origin.has_begun || origin.is_reported).then_some(&*origin.software)
    }

    /// Number of streams whose version is remembered.
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    /// The version that a stream was sent to last, if it is known.
    pub fn software(&self, stream: StreamKey) -> Option<&str> {
        self.streams.get(&stream).map(|o| &*o.software)
    }

    /// Where a stream may continue, given the versions that may have served recently.
    pub fn resumption(&self, stream: Option<StreamKey>, served: ServedSoftware) -> Resumption {
        let begun_by = stream.and_then(|stream| self.software(stream));
        match (begun_by, served) {
            (Some(software), _) => Resumption::At(software.to_owned()),
            (None, ServedSoftware::One(software)) => Resumption::At(software),
            (None, ServedSoftware::Several) => Resumption::Unknown,
            (None, ServedSoftware::None) => Resumption::Anywhere,
        }
    }

    /// Streams of services with several versions that the holder with the fencing token `fence` has
    /// not acknowledged, the latest first. They are bound to their versions from now on.
    pub fn report<F>(&mut self, fence: u64, is_mixed: F, now: Instant) -> ReportedOrigins
    where
        F: Fn(&str) -> bool,
    {
        let mut reported = ReportedOrigins::new();
        let mut count = 0;
        for (_, stream) in self.recorded.iter().rev() {
            let Some(origin) = self.streams.get_mut(stream) else {
                continue;
            };
            let is_at_upstream = origin
                .sent_at
                .is_some_and(|at| now.saturating_duration_since(at) >= MIN_TIME_SENT);
            let is_due = origin.is_own
                && origin.acknowledged_by != fence
                && (origin.has_begun || origin.is_reported || is_at_upstream)
                && is_mixed(&origin.service);
            if is_due {
                origin.is_reported = true;
                let streams = reported.entry(origin.software.to_string()).or_default();
                streams.push(*stream);
                count += 1;
            }
            if count == MAX_REPORTED {
                break;
            }
        }
        reported
    }

    /// All streams that are remembered, by the version that began them.
    pub fn remembered(&self) -> ReportedOrigins {
        let mut remembered = ReportedOrigins::new();
        for (stream, origin) in &self.streams {
            let streams = remembered.entry(origin.software.to_string()).or_default();
            streams.push(*stream);
        }
        remembered
    }

    /// Records that the holder with the fencing token `fence` has received a report.
    pub fn acknowledge(&mut self, reported: &ReportedOrigins, fence: u64) {
        for stream in reported.values().flatten() {
            if let Some(origin) = self.streams.get_mut(stream) {
                origin.acknowledged_by = fence;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, stream)) = self.recorded.front()
            && now.saturating_duration_since(*at) > ORIGIN_MEMORY
        {
            self.streams.remove(stream);
            self.recorded.pop_front();
        }
    }
}

/// The software versions that serve, or may have served recently. The holder keeps them in the store,
/// where they outlive all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SoftwareRecord {
    /// Era of the store in which the record was written. In a later one the store has lost what was
    /// written last, so that versions may be missing.
    pub era: Option<u64>,
    /// Versions by service.
    pub services: BTreeMap<String, BTreeSet<String>>,
    /// Those of them that all instances know, by service. Records of earlier releases do not have it.
    #[serde(default)]
    pub settled: BTreeMap<String, BTreeSet<String>>,
}

impl SoftwareRecord {
    /// Removes the services that `is_kept` does not name.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&str) -> bool,
    {
        self.services.retain(|service, _| is_kept(service));
        self.settled.retain(|service, _| is_kept(service));
    }
}

/// Software versions of each service that are or were listed.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    services: HashMap<String, BTreeMap<String, Listed>>,
    /// Services with several versions in the lists of any instance, according to the holder.
    mixed_elsewhere: BTreeSet<String>,
    /// Services whose versions are recorded in the store, so that none is unknown which served before
    /// this instance started, with the store revision of the first record that this instance knew.
    recorded: BTreeMap<String, u64>,
    /// When the first list was taken over.
    first_listed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Listed {
    /// When this instance first listed it; none if it never has.
    since: Option<Instant>,
    /// Whether it has settled, as the record says, or since it was the only version.
    has_settled: bool,
    /// When it was no longer listed.
    gone_at: Option<Instant>,
}

impl SoftwareVersions {
    /// Takes over the versions in a list of upstreams.
    pub fn update<'a, I>(&mut self, upstreams: I, now: Instant)
    where
        I: IntoIterator<Item = &'a Rc<Upstream>>,
    {
        self.settle_only_versions(now);
        for listed in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            listed.gone_at.get_or_insert(now);
        }
        for upstream in upstreams {
            if !self.services.contains_key(&upstream.service) {
                let service = upstream.service.clone();
                self.services.insert(service, BTreeMap::new());
            }
            let Some(versions) = self.services.get_mut(&upstream.service) else {
                continue;
            };
            if let Some(listed) = versions.get_mut(&upstream.software) {
                listed.gone_at = None;
                listed.since.get_or_insert(now);
                continue;
            }
            let listed = Listed {
                since: Some(now),
                has_settled: false,
                gone_at: None,
            };
            versions.insert(upstream.software.clone(), listed);
        }
        self.first_listed_at.get_or_insert(now);
        for versions in self.services.values_mut() {
            versions.retain(|_, listed| !listed.is_forgotten(now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Sets the services with several versions according to the holder.
    pub fn set_mixed_elsewhere(&mut self, services: Vec<String>) {
        self.mixed_elsewhere = services.into_iter().collect();
    }

    /// Takes over a record that the store, which is in the given era, has since a revision. Versions that
    /// are not listed count as gone since now; those that are known stay as they are.
    pub fn remember(
        &mut self,
        record: &SoftwareRecord,
        (era, revision): (Option<u64>, u64),
        now: Instant,
    ) {
        for (service, recorded) in &record.services {
            if record.era == era {
                self.recorded.entry(service.clone()).or_insert(revision);
            }
            let versions = self.services.entry(service.clone()).or_default();
            let settled = record.settled.get(service);
            for version in recorded {
                let listed = versions.entry(version.clone()).or_insert(Listed {
                    since: None,
                    has_settled: false,
                    gone_at: Some(now),
                });
                listed.has_settled |= settled.is_some_and(|s| s.contains(version));
            }
        }
    }

    /// Forgets which services are recorded: the store has come back from a copy, which may lack a version.
    pub fn forget_recorded(&mut self) {
        self.recorded.clear();
    }

    /// Records that the holder knows these services to be recorded, each since a store revision.
    pub fn set_recorded_elsewhere(&mut self, services: BTreeMap<String, u64>) {
        for (service, revision) in services {
            self.recorded.entry(service).or_insert(revision);
        }
    }

    /// Services whose versions are recorded, each with a store revision at which they were.
    pub fn recorded(&self) -> &BTreeMap<String, u64> {
        &self.recorded
    }

    /// Records that the store had no record after the first list was read. Nobody can take a version for
    /// the only one then by an older list than this, so that the versions in it have settled.
    pub fn settle_first_list(&mut self) {
        for (service, versions) in &mut self.services {
            if !self.recorded.contains_key(service) {
                settle_all(versions);
            }
        }
    }

    /// Whether the versions of a service are recorded, and a list that was read at a store revision has
    /// those that were listed before.
    pub fn is_informed(&self, service: &str, list_revision: u64) -> bool {
        let recorded_at = self.recorded.get(service);
        recorded_at.is_some_and(|revision| list_revision >= *revision)
    }

    /// Time since the first list was taken over; none before.
    pub fn listing_time(&self, now: Instant) -> Option<Duration> {
        let at = self.first_listed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// The record that the store should have in the given era.
    pub fn record(&self, era: Option<u64>, now: Instant) -> SoftwareRecord {
        let services = self.services.iter().map(|(service, versions)| {
            let remembered = versions.iter().filter(|(_, l)| !l.is_forgotten(now));
            let versions = remembered.map(|(version, _)| version.clone());
            (service.clone(), versions.collect())
        });
        let services = services.filter(|(_, versions): &(_, BTreeSet<_>)| !versions.is_empty());
        let services: BTreeMap<_, _> = services.collect();
        let mut settled = services.clone();
        for (service, versions) in &mut settled {
            versions.retain(|version| self.is_settled(service, version, now));
        }
        settled.retain(|_, versions| !versions.is_empty());
        SoftwareRecord {
            era,
            services,
            settled,
        }
    }

    /// Whether several versions of a service are listed, or were in the last
    /// [`SOFTWARE_MEMORY`].
    pub fn is_mixed(&self, service: &str, now: Instant) -> bool {
        self.mixed_elsewhere.contains(service)
            || self
                .services
                .get(service)
                .is_some_and(|versions| count_remembered(versions, now) > 1)
    }

    /// Whether several versions of any service are listed, or were in the last [`SOFTWARE_MEMORY`].
    pub fn has_mixed(&self, now: Instant) -> bool {
        let mut services = self.services.values();
        !self.mixed_elsewhere.is_empty() || services.any(|v| count_remembered(v, now) > 1)
    }

    /// The versions of a service that are listed, or were in the last [`SOFTWARE_MEMORY`], by a list that
    /// was read at a store revision. Several while those that served before this instance started are
    /// not known.
    pub fn served(&self, service: &str, list_revision: u64, now: Instant) -> ServedSoftware {
        if !self.is_informed(service, list_revision) || self.is_mixed(service, now) {
            return ServedSoftware::Several;
        }
        let versions = self.services.get(service).into_iter().flatten();
        let mut remembered = versions.filter(|(_, listed)| !listed.is_forgotten(now));
        let only = remembered.next().map(|(version, _)| version.clone());
        only.map_or(ServedSoftware::None, ServedSoftware::One)
    }

    /// Services with several versions in the lists of this instance.
    pub fn mixed(&self, now: Instant) -> Vec<String> {
        let services = self.services.iter();
        let mixed = services.filter(|(_, versions)| count_remembered(versions, now) > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// Whether every instance knows of a version, or knows that its own list is out of date. Another one
    /// may take the version that it knows for the only one before, and continue streams of this one there.
    ///
    /// That is so [`SETTLE_TIME`] after any instance has first listed the version, as this instance has
    /// seen or the record says, and for the only version of a service that is recorded.
    pub fn is_settled(&self, service: &str, software: &str, now: Instant) -> bool {
        let versions = self.services.get(service);
        let Some(listed) = versions.and_then(|versions| versions.get(software)) else {
            return false;
        };
        let time = |at: Instant| now.saturating_duration_since(at);
        listed.has_settled
            || listed.since.is_some_and(|at| time(at) >= SETTLE_TIME)
            || self.recorded.contains_key(service) && !self.is_mixed(service, now)
    }

    /// Marks as settled what the only versions of their services are so far.
    fn settle_only_versions(&mut self, now: Instant) {
        let (recorded, mixed_elsewhere) = (&self.recorded, &self.mixed_elsewhere);
        for (service, versions) in &mut self.services {
            let is_only = recorded.contains_key(service)
                && !mixed_elsewhere.contains(service)
                && count_remembered(versions, now) == 1;
            if is_only {
                settle_all(versions);
            }
        }
    }
}

fn settle_all(versions: &mut BTreeMap<String, Listed>) {
    for listed in versions.values_mut() {
        listed.has_settled = true;
    }
}

fn count_remembered(versions: &BTreeMap<String, Listed>, now: Instant) -> usize {
    versions.values().filter(|l| !l.is_forgotten(now)).count()
}

impl Listed {
    fn is_forgotten(&self, now: Instant) -> bool {
        self.gone_at
            .is_some_and(|at| now.saturating_duration_since(at) > SOFTWARE_MEMORY)
    }
}
