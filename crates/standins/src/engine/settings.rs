//! Settings and injected faults of an engine.

use std::{collections::BTreeMap, net::SocketAddr};

use comfreyweir_external::engine::CheckpointTier;
use serde::{Deserialize, Serialize};

/// Settings of an engine.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the upstream.
    pub name: String,
    /// Address for inference, orders and reports.
    pub listen: SocketAddr,
    /// Control address for tests; none means that there is none.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Memory for replicas, in MB.
    pub memory_mb: u64,
    /// Number of requests that can run at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Number of requests that can wait for a slot; more are refused.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether orders with an outdated fencing token are refused. If not, they are carried out and
    /// recorded as violations.
    #[serde(default = "default_true")]
    pub checks_fencing: bool,
    /// Whether loads that exceed the free memory are refused. They are recorded as violations in
    /// any case.
    #[serde(default = "default_true")]
    pub checks_memory: bool,
    /// Location of checkpoints at the start, by served name; those not listed are remote.
    #[serde(default)]
    pub checkpoints: BTreeMap<String, CheckpointTier>,
    /// Number of model checkpoints kept in the server's memory; beyond it, the one loaded longest
    /// ago moves to disk.
    #[serde(default = "default_memory_checkpoints")]
    pub memory_checkpoints: usize,
    /// Simulated durations and delays.
    #[serde(default)]
    pub times: Times,
    /// Number of output tokens of an answer, unless the request sets a lower limit.
    #[serde(default = "default_output_tokens")]
    pub output_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    #[serde(default = "default_cache_blocks")]
    pub cache_blocks: usize,
    /// One in this many cache events is never published; zero publishes all.
    #[serde(default)]
    pub cache_event_gap: u64,
    /// Whether requests, token receipts and received bytes are recorded.
    #[serde(default = "default_true")]
    pub record: bool,
}

impl Settings {
    /// Settings of an engine with short durations that checks fencing tokens and memory.
    pub fn new(name: &str, listen: SocketAddr, memory_mb: u64) -> Self {
        Self {
            name: name.to_owned(),
            listen,
            control: None,
            memory_mb,
            slots: default_slots(),
            queue: default_queue(),
            checks_fencing: default_true(),
            checks_memory: default_true(),
            checkpoints: BTreeMap::new(),
            memory_checkpoints: default_memory_checkpoints(),
            times: Times::default(),
            output_tokens: default_output_tokens(),
            cache_blocks: default_cache_blocks(),
            cache_event_gap: 0,
            record: default_true(),
        }
    }
}

/// Simulated durations and delays of an engine.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Time to load a model from the server's memory, in ms.
    pub load_memory_ms: u64,
    /// Time to load a model from the server's disk, in ms.
    pub load_disk_ms: u64,
    /// Time to load a model from the weight store at full speed, in ms.
    pub load_remote_ms: u64,
    /// Time to load an adapter from the weight store at full speed, in ms.
    pub adapter_ms: u64,
    /// Time from the start of a run to its first output token, without that for the prompt, in µs.
    pub first_token_us: u64,
    /// Time to process one uncached prompt token, in µs.
    pub prompt_token_us: u64,
    /// Time between two output tokens, in µs.
    pub token_us: u64,
    /// Age of the numbers of running and waiting requests in reports, in ms.
    pub report_lag_ms: u64,
    /// Delay before a cache event is published, in ms.
    pub cache_event_lag_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            load_memory_ms: 50,
            load_disk_ms: 200,
            load_remote_ms: 500,
            adapter_ms: 6,
            first_token_us: 5_000,
            prompt_token_us: 10,
            token_us: 2_000,
            report_lag_ms: 100,
            cache_event_lag_ms: 200,
        }
    }
}

/// Injected faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of upcoming runs to which `cut_after_tokens`, `stall_after_tokens` and `wrong_echo`
    /// apply.
    pub runs: u32,
    /// Number of output tokens after which the connection of such a run is reset.
    pub cut_after_tokens: Option<u32>,
    /// Number of output tokens after which such a run stalls forever.
    pub stall_after_tokens: Option<u32>,
    /// Whether the answer of such a run carries a wrong request identifier.
    pub wrong_echo: bool,
    /// Whether every completion request is refused before it runs.
    pub refuse_runs: bool,
    /// Number of upcoming orders that are processed but whose connection is reset without an
    /// answer.
    pub lose_order_answers: u32,
    /// Delay before an order is processed, in ms; it is processed even if the sender has
    /// disconnected by then.
    pub delay_orders_ms: u64,
    /// Number of upcoming loads that fail, each at the end of its load time.
    pub fail_loads: u32,
}

fn default_slots() -> u32 {
    8
}

fn default_queue() -> usize {
    64
}

fn default_true() -> bool {
    true
}

fn default_memory_checkpoints() -> usize {
    4
}

fn default_output_tokens() -> u32 {
    16
}

fn default_cache_blocks() -> usize {
    4_096
}
