//! Control interface of a model engine: orders and reports.
//!
//! `POST /control/orders` takes an [`Order`]; status 409 with an [`OrderRefusal`] refuses an old
//! fencing token. `GET /control/report` gives a [`Report`], whose load figures lag.
//! Inference uses the usual completion paths; the model named there is [`Artifact::served_name`].

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use awc::http::StatusCode;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Header with the identifier of a request; the engine echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the workspace that a request runs for.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the number of output tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header that an upstream sets to `1` if it has not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the priority of a request; larger goes first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// A model or an adapter at one version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Artifact {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
    /// For an adapter, the served name of the model it extends.
    #[serde(default)]
    pub base: Option<String>,
}

impl Artifact {
    /// Name under which engines serve the artifact: `NAME@VERSION`.
    pub fn served_name(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

/// What an order asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase", tag = "action")]
pub enum OrderAction {
    /// Load an artifact. Has no effect if it is already loaded.
    Load {
        /// What to load.
        artifact: Artifact,
        /// Memory that the artifact occupies, in MB.
        memory_mb: u64,
    },
    /// Unload an artifact once its running requests have ended.
    Unload {
        /// What to unload.
        artifact: Artifact,
    },
    /// Change nothing but the engine's fencing token.
    Fence,
}

/// An order from a planner to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Fencing token: the term of the planner that sends the order.
    pub term: u64,
    /// What the engine is to do.
    pub action: OrderAction,
}

/// Refusal of an order with an old fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRefusal {
    /// Highest fencing token that the engine has seen.
    pub term: u64,
    /// Why the order was refused.
    pub reason: String,
}

/// State of an artifact on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadState {
    /// Memory is reserved, and the weights are being loaded.
    Loading,
    /// Serves requests.
    Ready,
    /// Finishes running requests, and is then unloaded.
    Unloading,
}

/// Where an engine can load a checkpoint from, from the fastest tier to the slowest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CheckpointTier {
    /// In the server's memory.
    Memory,
    /// On the server's disk.
    Disk,
    /// In the weight store only.
    Remote,
}

/// An artifact on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadedArtifact {
    /// The model or adapter.
    pub artifact: Artifact,
    /// Whether it is loading, serving or unloading.
    pub state: LoadState,
    /// Memory that it occupies, in MB.
    pub memory_mb: u64,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Identifier of the engine process; a restarted engine has another one.
    pub incarnation: u64,
    /// Highest fencing token seen.
    pub term: u64,
    /// Total memory of the engine, in MB.
    pub memory_mb: u64,
    /// Artifacts that are loading, ready or unloading. Current, unlike the load figures.
    pub loaded: Vec<LoadedArtifact>,
    /// Fastest tier that has a checkpoint, by served name; [`CheckpointTier::Remote`] if absent.
    pub checkpoints: BTreeMap<String, CheckpointTier>,
    /// Number of running requests, as of `load_age_ms` ago.
    pub running: u32,
    /// Number of waiting requests, as of `load_age_ms` ago.
    pub waiting: u32,
    /// Age of the load figures, in ms.
    pub load_age_ms: u64,
}

/// Why an engine did not take an order or give a report.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EngineError {
    /// The engine did not answer. An order may have taken effect.
    #[snafu(display("engine {addr} did not answer: {reason}"))]
    Unreachable {
        /// Address of the engine.
        addr: SocketAddr,
        /// Transport or decoding error, or status of the response.
        reason: String,
    },
    /// The engine has seen a higher fencing token.
    #[snafu(display("engine {addr} refused an order: it has seen term {term}"))]
    Fenced {
        /// Address of the engine.
        addr: SocketAddr,
        /// Highest term that the engine has seen.
        term: u64,
    },
    /// The engine refused the order for another reason, for example its memory.
    #[snafu(display("engine {addr} refused an order: {reason}"))]
    Refused {
        /// Address of the engine.
        addr: SocketAddr,
        /// Status of the response.
        reason: String,
    },
}

/// Client of one engine's control interface.
#[derive(Clone)]
pub struct EngineControl {
    http: awc::Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl EngineControl {
    /// Creates a client for the engine at `addr`; `timeout` bounds each call.
    pub fn new(http: awc::Client, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            addr,
            timeout,
        }
    }

    /// Sends an order. The engine answers once it has accepted the order, before it is carried out.
    pub async fn send_order(&self, order: &Order) -> Result<(), EngineError> {
        let url = format!("http://{}/control/orders", self.addr);
        let req = self.http.post(url).timeout(self.timeout);
        let mut res = req
            .send_json(order)
            .await
            .map_err(|e| self.unreachable(&e))?;
        let addr = self.addr;
        match res.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let refusal = res
                    .json::<OrderRefusal>()
                    .await
                    .map_err(|e| self.unreachable(&e))?;
                Err(EngineError::Fenced {
                    addr,
                    term: refusal.term,
                })
            }
            status if status.is_client_error() => Err(EngineError::Refused {
                addr,
                reason: status.to_string(),
            }),
            status => Err(self.unreachable(&status)),
        }
    }

    /// Requests the engine's report. A report that cannot be decoded gives
    /// [`EngineError::Unreachable`].
    pub async fn request_report(&self) -> Result<Report, EngineError> {
        let url = format!("http://{}/control/report", self.addr);
        let req = self.http.get(url).timeout(self.timeout);
        let mut res = req.send().await.map_err(|e| self.unreachable(&e))?;
        if !res.status().is_success() {
            return Err(self.unreachable(&res.status()));
        }
        res.json::<Report>().await.map_err(|e| self.unreachable(&e))
    }

    fn unreachable<E>(&self, e: &E) -> EngineError
    where
        E: ToString,
    {
        EngineError::Unreachable {
            addr: self.addr,
            reason: e.to_string(),
        }
    }
}
