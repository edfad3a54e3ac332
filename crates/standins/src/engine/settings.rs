//! Settings and faults of an engine.

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
    /// Address for inference and control orders.
    pub listen: SocketAddr,
    /// Control address for tests.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Requests that run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that may wait for a slot.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether orders with an old fencing number are refused.
    #[serde(default = "default_true")]
    pub checks_fencing: bool,
    /// Whether loads over the memory are refused.
    #[serde(default = "default_true")]
    pub checks_memory: bool,
    /// Where checkpoints are at the start, by served name; absent means remote.
    #[serde(default)]
    pub checkpoints: BTreeMap<String, CheckpointTier>,
    /// Checkpoints that stay in the server's memory after an unload.
    #[serde(default = "default_memory_checkpoints")]
    pub memory_checkpoints: usize,
    /// Times.
    #[serde(default)]
    pub times: Times,
    /// Output tokens of a run, unless its limit is lower.
    #[serde(default = "default_output_tokens")]
    pub output_tokens: u32,
    /// Blocks of prompt prefixes that are cached.
    #[serde(default = "default_cache_blocks")]
    pub cache_blocks: usize,
    /// One in so many cache events is never published; zero publishes all.
    #[serde(default)]
    pub cache_event_gap: u64,
    /// Whether requests, receipts and received bytes are recorded.
    #[serde(default = "default_true")]
    pub record: bool,
}

impl Settings {
    /// An engine that is quick and checks fencing numbers and memory.
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

/// Times of an engine.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Load from the server's memory, in ms.
    pub load_memory_ms: u64,
    /// Load from the server's disk, in ms.
    pub load_disk_ms: u64,
    /// Load from the weight store at full speed, in ms.
    pub load_remote_ms: u64,
    /// Load of an adapter at full speed, in ms.
    pub adapter_ms: u64,
    /// From the start of a run to its first token, without the prompt, in µs.
    pub first_token_us: u64,
    /// Reading of one prompt token that is not cached, in µs.
    pub prompt_token_us: u64,
    /// Between two output tokens, in µs.
    pub token_us: u64,
    /// Age of load figures in reports, in ms.
    pub report_lag_ms: u64,
    /// Time until a cache event is published, in ms.
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

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of coming runs that fail as said below.
    pub runs: u32,
    /// Output tokens after which such a run's connection is cut.
    pub cut_after_tokens: Option<u32>,
    /// Output tokens after which such a run stalls.
    pub stall_after_tokens: Option<u32>,
    /// Whether such a run's answer echoes a wrong request identifier.
    pub wrong_echo: bool,
    /// Whether every inference request is refused before it runs.
    pub refuse_runs: bool,
    /// Number of coming orders that take effect and whose connection is closed unanswered.
    pub lose_order_answers: u32,
    /// Time that an order is on its way, in ms; its connection may be gone meanwhile.
    pub delay_orders_ms: u64,
    /// Number of coming loads that fail at their end.
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
