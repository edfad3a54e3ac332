//! Messages of the state exchange, encoded with postcard.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use comfreyweir_fleet::{
    directory::UpstreamProcess,
    limits::{PermitAnswer, PermitAsk, ToldLimit},
    load::Loads,
    planner::{DemandReport, Placement},
    quarantine::{EvidenceReport, PartId, QuarantineView, TrialAnswer, TrialId, TrialOutcome},
    quota::{Grant, UsageTotals},
    request::Artifact,
    store_contact::StoreReachAge,
    stream_origins::{ReportedOrigins, StreamKey},
    versioned_list::{ListChanges, ListVersion},
    zones::EvacuationNews,
};
use serde::{Deserialize, Serialize};

use super::config::{ConfigAnswer, ConfigId, ConfigPart, ConfigRequest};
use crate::state::Holder;

/// What an instance sends to the holder.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum InstanceCall {
    /// Its local state. The answer is a view.
    Report(Box<InstanceReport>),
    /// A request for larger grants, between two reports. The answer is grants.
    Grants(GrantRequest),
    /// New evidence on prompt parts, and requests for trials, between two reports. The answer is
    /// trials.
    Trials(Box<TrialRequest>),
    /// Streams that it has begun, and those whose origin it asks for, between two reports. The answer
    /// is what the holder knows of them.
    Origins(OriginReport),
    /// Limits that upstreams have named to it, and requests for permits, between two reports. The answer
    /// is permits.
    Permits(PermitRequest),
    /// A request for the configuration, which any instance answers.
    Config(ConfigRequest),
}

/// Limits of upstreams, and requests for permits.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// What upstreams have said to the instance.
    pub(crate) limits: Vec<ToldLimit>,
    /// The permits that it needs.
    pub(crate) asks: Vec<PermitAsk>,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Permits {
    /// What upstreams have said to all instances.
    pub(crate) limits: Vec<ToldLimit>,
    /// The permits.
    pub(crate) answers: Vec<PermitAnswer>,
}

/// Streams by the software versions that began them, and streams whose version is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OriginReport {
    /// Streams that the instance began while several software versions served.
    pub(crate) begun: ReportedOrigins,
    /// Streams that requests resume, of which it does not know which version began them.
    pub(crate) resumed: Vec<StreamKey>,
}

impl OriginReport {
    /// Whether there is nothing to tell or to ask.
    pub(crate) fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.resumed.is_empty()
    }
}

/// New evidence on prompt parts, and requests for trials.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TrialRequest {
    /// Name of the process.
    pub(crate) process: String,
    /// What it has observed.
    pub(crate) evidence: EvidenceReport,
    /// Trials that have ended, with the parts that they were for.
    pub(crate) outcomes: Vec<(TrialId, Vec<PartId>, TrialOutcome)>,
    /// Parts for which its requests need trials, by a number of the request.
    pub(crate) wanted: Vec<(u64, Vec<PartId>)>,
    /// Parts that an operator has released.
    pub(crate) released: Vec<PartId>,
}

/// Answer to a [`TrialRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Trials {
    /// Fencing token of the holder.
    pub(crate) fence: u64,
    /// Its records of prompt parts, if the instance knows another version.
    pub(crate) quarantine: Option<QuarantineView>,
    /// Answers by number of the request.
    pub(crate) answers: Vec<(u64, TrialAnswer)>,
}

/// A request for larger grants.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct GrantRequest {
    /// Name of the process.
    pub(crate) process: String,
    /// Quota units that workspaces have requested and spent through it, of the workspaces whose
    /// requests wait for a grant.
    pub(crate) spent: HashMap<String, UsageTotals>,
}

/// An instance's local state, as reported to the holder.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct InstanceReport {
    /// Name of the reporting process, unique for each start.
    pub(crate) process: String,
    /// Requests that it has in flight at upstreams.
    pub(crate) loads: Loads,
    /// Artifacts that its requests wait for, and request counters by model.
    pub(crate) demand: DemandReport,
    /// Quota units that workspaces have requested and spent through it.
    pub(crate) spent: HashMap<String, UsageTotals>,
    /// Upstreams that it recently failed to reach.
    pub(crate) unreachable: Vec<String>,
    /// Listed upstreams that told it that they leave.
    pub(crate) leaving: Vec<UpstreamProcess>,
    /// Limits that upstreams have named to it, or ended.
    pub(crate) limits: Vec<ToldLimit>,
    /// Services of which it has recently listed several software versions.
    pub(crate) mixed: Vec<String>,
    /// What it has observed of prompt parts.
    pub(crate) evidence: EvidenceReport,
    /// Fencing token and version of the placement that it knows.
    pub(crate) placement: (u64, u64),
    /// Version of the holder's list of upstreams that it knows.
    pub(crate) directory: ListVersion,
    /// The configuration that it has.
    pub(crate) config: ConfigId,
    /// Whether it would apply a newer one at once.
    pub(crate) takes_config: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub(crate) link_mbps: f64,
    /// Evacuations that it knows.
    pub(crate) evacuations: Option<EvacuationNews>,
    /// When it, or another instance as far as it knows, reached the store last.
    pub(crate) store_reach: Option<StoreReachAge>,
}

/// Answer of the instance that was called.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ExchangeAnswer {
    /// The combined state of all instances.
    View(Box<SystemView>),
    /// Grants by workspace. Empty if the instance has to report first.
    Grants(HashMap<String, Grant>),
    /// Trials.
    Trials(Trials),
    /// What the holder knows of streams.
    Origins(OriginsView),
    /// Permits.
    Permits(Permits),
    /// The configuration.
    Config(ConfigAnswer),
    /// The called instance does not hold the duty. The holder's peer address, if it knows one, and the
    /// evacuations that it knows.
    Elsewhere(Option<SocketAddr>, Option<EvacuationNews>),
}

/// The combined state of all instances, as the holder sends it to one of them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SystemView {
    /// Time for which the holder has delayed the answer.
    pub(crate) delay: Duration,
    /// Fencing token of the holder and version of the placement.
    pub(crate) placement: (u64, u64),
    /// Engines whose models or adapters changed since the placement version that the instance
    /// knows.
    pub(crate) engines: Placement,
    /// Whether `engines` is the complete placement, which replaces the known one.
    pub(crate) is_whole: bool,
    /// Expected time in ms until the artifacts that the instance's requests wait for are ready.
    pub(crate) ready_in_ms: Vec<(Artifact, u64)>,
    /// Requests that all instances have in flight, by upstream: a list of pairs of an upstream's
    /// identifier and its load, encoded with postcard. It is encoded once for all instances, since
    /// in large fleets it is most of a view.
    pub(crate) totals: Bytes,
    /// The instance's share of each workspace's allowance. Empty while grants of the previous holder
    /// may be in force.
    pub(crate) grants: HashMap<String, Grant>,
    /// Instances that stopped reporting to the holder, with the time since then.
    pub(crate) silent: HashMap<String, Duration>,
    /// The holder's list of upstreams.
    pub(crate) directory: DirectoryView,
    /// Upstreams that told any instance that they leave. Apart from the list, since an instance that
    /// has read a newer list ignores the holder's.
    pub(crate) leaving: Vec<UpstreamProcess>,
    /// Limits that upstreams have named to any instance, or ended.
    pub(crate) limits: Vec<ToldLimit>,
    /// Services of which any instance has recently listed several software versions.
    pub(crate) mixed: Vec<String>,
    /// Era of the store, and services whose software versions are recorded in it, each with a store
    /// revision at which they were.
    pub(crate) recorded: (Option<u64>, BTreeMap<String, u64>),
    /// The holder's records of prompt parts, if the instance knows another version.
    pub(crate) quarantine: Option<QuarantineView>,
    /// The difference to the holder's configuration, if it is a short one.
    pub(crate) config: Option<ConfigPart>,
    /// Size of the holder's configuration in bytes.
    pub(crate) config_bytes: usize,
    /// Peer addresses of instances to ask for the configuration.
    pub(crate) config_sources: Vec<SocketAddr>,
    /// Version of the holder's configuration.
    pub(crate) config_version: u64,
    /// Time in ms since the holder's configuration was last confirmed to be the newest; `u64::MAX`
    /// if never.
    pub(crate) config_age_ms: u64,
    /// Evacuations that the holder knows.
    pub(crate) evacuations: Option<EvacuationNews>,
    /// Number of registered instances.
    pub(crate) instances: usize,
    /// Holder of the planning duty, as the sender knows it.
    pub(crate) holder: Option<Holder>,
    /// When any instance reached the store last, as far as the holder knows.
    pub(crate) store_reach: Option<StoreReachAge>,
}

/// What the holder knows of the streams that an instance asks for.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OriginsView {
    /// Fencing token of the holder.
    pub(crate) fence: u64,
    /// The version that began each stream, if it is known.
    pub(crate) streams: Vec<(StreamKey, Option<String>)>,
    /// Number of streams whose version the holder remembers.
    pub(crate) remembered: usize,
    /// Whether it has read those that the store has.
    pub(crate) has_stored: bool,
    /// Time since the holder took the duty.
    pub(crate) tenure: Duration,
}

/// The holder's list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DirectoryView {
    /// Store revision at which it was read.
    pub(crate) revision: u64,
    /// Age of the list in ms; none if the holder has not read it yet.
    pub(crate) age_ms: Option<u64>,
    /// Changes of the list, if the instance does not know its current version.
    pub(crate) changes: Option<ListChanges>,
}
