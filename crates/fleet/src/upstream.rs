//! An upstream as it describes itself.

use std::{net::SocketAddr, time::Duration};

use crate::request::Artifact;

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Identifier of this start of the upstream.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its address. May belong to another upstream later.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Start of the process under this identifier, in ms of Unix time, where it is told.
    pub born_ms: Option<u64>,
    /// What it holds, for model engines.
    pub holds: Holding,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has, and ends, after this time where it is told.
    Draining(Option<Duration>),
}

/// Models and adapters in the memory of an engine, and copies from which it loads fast.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// Loaded models.
    pub models: Vec<HeldModel>,
    /// Models with a copy of their weights in main memory.
    pub in_memory: Vec<String>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<String>,
}

/// A loaded model.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HeldModel {
    /// Name of the model.
    pub name: String,
    /// Adapters that are loaded for it.
    pub adapters: Vec<String>,
}

impl Holding {
    /// Whether a request for `artifact` can run.
    pub fn has(&self, artifact: &Artifact) -> bool {
        self.model(&artifact.model)
            .is_some_and(|m| match &artifact.adapter {
                Some(adapter) => m.adapters.contains(adapter),
                None => true,
            })
    }

    /// A loaded model by name.
    pub fn model(&self, name: &str) -> Option<&HeldModel> {
        self.models.iter().find(|m| m.name == name)
    }

    /// Number of adapters loaded for all models.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum()
    }
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// What it holds.
    pub holds: Holding,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Adapters on their way into memory.
    pub pending_adapters: Vec<Artifact>,
}
