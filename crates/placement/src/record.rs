//! The cell record: holder, term and the whole plan of a cell in one value.
//!
//! The record is written before an order is sent, so it always covers at least what the engines
//! have been told to load.

use std::net::SocketAddr;

use comfreyweir_external::engine::Artifact;
use serde::{Deserialize, Serialize};

/// Value of the key `cell/NAME`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CellRecord {
    /// Name of the holder's instance.
    pub holder: String,
    /// Peer address of the holder's planner.
    pub address: Option<SocketAddr>,
    /// Fencing number of the holder's orders.
    pub term: u64,
    /// Counts the writes of the holder, so that each one changes the record.
    pub renewal: u64,
    /// Whether the holder has given the cell up; a successor need not wait for the lease.
    pub released: bool,
    /// What was decided.
    pub plan: Plan,
}

/// Everything that may occupy an engine by decision of a holder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// One entry for each artifact on each engine.
    pub reservations: Vec<Reservation>,
}

/// Memory and replica count that a decision has taken on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reservation {
    /// Name of the upstream.
    pub upstream: String,
    /// What is placed there.
    pub artifact: Artifact,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Engine process that the decision was made for.
    pub incarnation: u64,
    /// How far the decision has been carried out.
    pub stage: Stage,
    /// Highest term of a load order whose outcome is not known and that may still arrive.
    pub stray: Option<u64>,
    /// Decision that last changed the stage, in the sequence of this holder.
    #[serde(skip)]
    pub decision: u64,
}

/// How far a decision has been carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Decided; the engine is not known to have taken the order.
    Load,
    /// The engine has it, loading or ready.
    Placed,
    /// To be unloaded; takes no new requests.
    Retire,
    /// Gone from the engine, but a load order may still arrive there.
    Held,
}

impl Plan {
    /// Memory charged to an engine, in MB.
    pub fn charged_mb(&self, upstream: &str) -> u64 {
        self.on(upstream).map(|r| r.memory_mb).sum()
    }

    /// Replicas charged to an artifact, whatever their stage.
    pub fn charged_replicas(&self, served_name: &str) -> usize {
        self.of(served_name).count()
    }

    /// Reservations on an engine.
    pub fn on<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = &'a Reservation> {
        self.reservations
            .iter()
            .filter(move |r| r.upstream == upstream)
    }

    /// Reservations of an artifact.
    pub fn of<'a>(&'a self, served_name: &'a str) -> impl Iterator<Item = &'a Reservation> {
        self.reservations
            .iter()
            .filter(move |r| is_served_as(&r.artifact, served_name))
    }

    /// The reservation of an artifact on an engine.
    pub fn find(&self, upstream: &str, served_name: &str) -> Option<&Reservation> {
        self.reservations
            .iter()
            .find(|r| r.upstream == upstream && is_served_as(&r.artifact, served_name))
    }

    /// The reservation of an artifact on an engine, to change it.
    pub fn find_mut(&mut self, upstream: &str, served_name: &str) -> Option<&mut Reservation> {
        self.reservations
            .iter_mut()
            .find(|r| r.upstream == upstream && is_served_as(&r.artifact, served_name))
    }

    /// Prepares the plan of a predecessor. Unless it released the cell, each of its unfinished
    /// load orders may still arrive with the term `unreleased`.
    pub fn inherit(&mut self, unreleased: Option<u64>) {
        for r in &mut self.reservations {
            r.decision = 0;
            if r.stage == Stage::Load {
                r.stray = r.stray.max(unreleased);
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
