//! The cell record: holder, term and complete plan of a cell, stored as one value.
//!
//! The record is written before an order is sent, so it always contains at least the artifacts
//! that the engines have been ordered to load.

use std::net::SocketAddr;

use comfreyweir_external::engine::Artifact;
use serde::{Deserialize, Serialize};

/// Value stored under the key `cell/NAME`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CellRecord {
    /// Name of the holder's instance.
    pub holder: String,
    /// Peer address of the holder's planner.
    pub address: Option<SocketAddr>,
    /// Fencing token of the holder's orders.
    pub term: u64,
    /// Counts the writes of the holder, so that each one changes the record.
    pub renewal: u64,
    /// Whether the holder has released the cell, so that a successor need not wait for the lease to
    /// expire.
    pub released: bool,
    /// Reservations of the cell.
    pub plan: Plan,
}

/// All artifacts that may occupy memory on the engines of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// One entry for each artifact on each engine.
    pub reservations: Vec<Reservation>,
}

/// Memory on an engine that is reserved for an artifact. It also counts as a replica of the
/// artifact.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reservation {
    /// Name of the upstream.
    pub upstream: String,
    /// Artifact that the memory is reserved for.
    pub artifact: Artifact,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Engine process that the reservation was last made for or reconciled with; changes when the
    /// engine restarts.
    pub incarnation: u64,
    /// Progress of the decision.
    pub stage: Stage,
    /// Highest term of a load order whose outcome is not known and that may still arrive.
    #[serde(rename = "stray")]
    pub unsettled_load_term: Option<u64>,
    /// Sequence number of the decision that last changed the stage. It is local to the holder.
    #[serde(skip)]
    pub decision: u64,
}

/// Progress of a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// To be loaded; the engine is not known to have accepted the order.
    Load,
    /// The artifact is loading or ready on the engine.
    Placed,
    /// The replica is to be unloaded and takes no new requests.
    Retire,
    /// Not on the engine, but kept until the next report, or while a load order may still arrive
    /// there.
    Held,
}

impl Plan {
    /// Memory reserved on an engine, in MB.
    pub fn charged_mb(&self, upstream: &str) -> u64 {
        self.on_upstream(upstream).map(|r| r.memory_mb).sum()
    }

    /// Number of reservations of an artifact, in any stage.
    pub fn charged_replicas(&self, served_name: &str) -> usize {
        self.of_artifact(served_name).count()
    }

    /// Reservations on an engine.
    pub fn on_upstream<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = &'a Reservation> {
        self.reservations
            .iter()
            .filter(move |r| r.upstream == upstream)
    }

    /// Reservations of an artifact.
    pub fn of_artifact<'a>(
        &'a self,
        served_name: &'a str,
    ) -> impl Iterator<Item = &'a Reservation> {
        self.reservations
            .iter()
            .filter(move |r| is_served_as(&r.artifact, served_name))
    }

    /// Returns the reservation of an artifact on an engine, if there is one.
    pub fn find(&self, upstream: &str, served_name: &str) -> Option<&Reservation> {
        self.reservations
            .iter()
            .find(|r| r.upstream == upstream && is_served_as(&r.artifact, served_name))
    }

    /// Mutable version of [`Self::find`].
    pub fn find_mut(&mut self, upstream: &str, served_name: &str) -> Option<&mut Reservation> {
        self.reservations
            .iter_mut()
            .find(|r| r.upstream == upstream && is_served_as(&r.artifact, served_name))
    }

    /// Adapts the plan of a predecessor for a new holder. `unreleased_term` is the predecessor's
    /// term unless it released the cell: its pending load orders may still arrive with that term.
    pub fn inherit(&mut self, unreleased_term: Option<u64>) {
        for r in &mut self.reservations {
            r.decision = 0;
            if r.stage == Stage::Load {
                r.unsettled_load_term = r.unsettled_load_term.max(unreleased_term);
            }
        }
    }
}

/// Whether an engine serves the artifact under this name. Compares without building the name.
pub fn is_served_as(artifact: &Artifact, served_name: &str) -> bool {
    served_name
        .strip_prefix(artifact.name.as_str())
        .and_then(|rest| rest.strip_prefix('@'))
        .is_some_and(|version| version == artifact.version)
}
