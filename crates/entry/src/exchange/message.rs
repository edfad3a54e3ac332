//! Messages of the exchange.

use std::{collections::HashMap, net::SocketAddr};

use comfreyweir_fleet::{
    load::{Load, Loads},
    planner::{DemandReport, Placement},
    quota::{Grant, Totals},
    request::Artifact,
    upstream::Upstream,
};
use serde::{Deserialize, Serialize};

use crate::state::Holder;

/// What an instance sees.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Report {
    /// Process that reports.
    pub(crate) process: String,
    /// Requests that it has at upstreams.
    pub(crate) loads: Loads,
    /// What its requests ask for.
    pub(crate) demand: DemandReport,
    /// Units that workspaces have asked for and spent through it.
    pub(crate) spent: HashMap<String, Totals>,
    /// Upstreams that it could not reach lately.
    pub(crate) unreachable: Vec<String>,
    /// Fencing token and version of the placement that it knows.
    pub(crate) placement: (u64, u64),
    /// Version of the holder's list of upstreams that it knows.
    pub(crate) directory: u64,
    /// Version of its configuration.
    pub(crate) config: u64,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Answer {
    /// What all instances see.
    View(Box<View>),
    /// The asked instance does not have the duty; who has, as far as it knows.
    Elsewhere(Option<SocketAddr>),
}

/// What all instances see together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct View {
    /// Fencing token of the holder and version of the placement.
    pub(crate) placement: (u64, u64),
    /// Engines whose models or adapters changed since the version that the instance knows.
    pub(crate) engines: Placement,
    /// Whether the engines are all there are, and not only those that changed.
    pub(crate) is_whole: bool,
    /// Time in ms until artifacts can be used that its requests wait for.
    pub(crate) ready_in_ms: Vec<(Artifact, u64)>,
    /// Requests that the other instances have at upstreams.
    pub(crate) others: HashMap<String, Load>,
    /// What the instance may take of each workspace's allowance.
    pub(crate) grants: HashMap<String, Grant>,
    /// The holder's list of upstreams.
    pub(crate) directory: DirectoryView,
    /// The configuration, where the instance has an older one.
    pub(crate) config: Option<String>,
    /// Time in ms since the holder knew that its configuration is the newest.
    pub(crate) config_age_ms: u64,
    /// Instances of the system.
    pub(crate) instances: usize,
    /// Who has the planning duty.
    pub(crate) holder: Option<Holder>,
}

/// The holder's list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DirectoryView {
    /// Version of the list's content at this holder.
    pub(crate) version: u64,
    /// Store revision at which it was read.
    pub(crate) revision: u64,
    /// Age of the list in ms; none if the holder has none.
    pub(crate) age_ms: Option<u64>,
    /// The list, where the instance knows another version.
    pub(crate) list: Option<Vec<Upstream>>,
}
