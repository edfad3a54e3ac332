//! Upstreams and model engines as they describe themselves.

use std::{net::SocketAddr, time::Duration};

use crate::request::Artifact;

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Identifier. A restarted upstream may keep it; `born_ms` tells the processes apart.
    pub id: String,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address, which may be reused by another upstream later.
    pub addr: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Version of its software; empty if not reported.
    pub software: String,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Start time of the process under this identifier, in ms of Unix time, if reported.
    pub born_ms: Option<u64>,
    /// Time for which it stays cold, from when it wrote its entry on; zero if it is not cold.
    pub cold_for: Duration,
    /// Models and adapters that a model engine holds; empty for other upstreams.
    pub holds: Holding,
}

impl Upstream {
    /// Whether two entries differ at most in what an engine holds.
    pub fn is_same_but_for_holding(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            addr,
            zone,
            software,
            slots,
            phase,
            born_ms,
            cold_for,
            holds: _,
        } = self;
        (id, service, addr, zone) == (&other.id, &other.service, &other.addr, &other.zone)
            && (software, slots) == (&other.software, &other.slots)
            && (phase, born_ms, cold_for) == (&other.phase, &other.born_ms, &other.cold_for)
    }
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// It takes new requests.
    Ready,
    /// It finishes its running requests and then terminates, after this time if reported.
    Draining(Option<Duration>),
}

/// Models and adapters that an engine has loaded, and models that it can load from a local copy.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Models with a copy of their weights in main memory.
    pub in_memory: Vec<String>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<String>,
}

/// A loaded model.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
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

    /// The loaded model with this name.
    pub fn model(&self, name: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|m| m.name == name)
    }

    /// Whether the same models and adapters are loaded, in any order.
    pub fn has_same_artifacts(&self, other: &Self) -> bool {
        self.models.len() == other.models.len()
            && self.models.iter().all(|model| {
                other.model(&model.name).is_some_and(|other| {
                    model.adapters.len() == other.adapters.len()
                        && model.adapters.iter().all(|a| other.adapters.contains(a))
                })
            })
    }

    /// Number of adapters loaded for all models.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum()
    }
}

/// State that an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Models and adapters that the engine holds.
    pub holds: Holding,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine's start.
    pub orders: u64,
    /// Adapters that are being loaded.
    pub pending_adapters: Vec<Artifact>,
}
