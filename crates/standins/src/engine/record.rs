//! Record of what an engine did and received, which tests evaluate.

use std::collections::BTreeMap;

use comfreyweir_external::engine::{Artifact, CheckpointTier};
use serde::{Deserialize, Serialize};

use crate::timeline;

/// What happened to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaChangeKind {
    /// A load was ordered and began; the replica uses memory from now on.
    LoadOrdered,
    /// The load succeeded, and the replica serves requests.
    Ready,
    /// The load failed, and its memory was freed.
    LoadFailed,
    /// An unload was ordered while requests used the replica; they continue, and the replica is
    /// removed after the last one.
    UnloadOrdered,
    /// The replica was unloaded, and its memory was freed.
    Gone,
    /// The engine process crashed, and the replica was lost with it.
    Crashed,
}

/// A change of a replica.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaChange {
    /// Time, in µs since the Unix epoch.
    pub at_us: u64,
    /// What happened to the replica.
    pub change: ReplicaChangeKind,
    /// Served name of the artifact.
    pub artifact: String,
    /// Fencing token of the order; zero for a crash.
    pub term: u64,
    /// Replicas of the artifact on this engine after the change.
    pub replicas: u32,
    /// Memory in use on this engine after the change, in MB.
    pub used_mb: u64,
    /// Where the artifact's checkpoint was after the change.
    pub checkpoint: CheckpointTier,
}

/// Kind of invariant violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A load was ordered that exceeds the free memory.
    MemoryOverLimit,
    /// An unload was ordered while requests used the replica, running or waiting for a slot.
    UnloadWhileRunning,
    /// An order with an outdated fencing token was carried out.
    OldTermObeyed,
}

/// An invariant violation that the engine observed.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Violation {
    /// Time, in µs since the Unix epoch.
    pub at_us: u64,
    /// Kind of violation.
    pub kind: ViolationKind,
    /// Served name of the artifact.
    pub artifact: String,
    /// Fencing token of the order.
    pub term: u64,
    /// Description for people.
    pub detail: String,
}

/// Whether tokens are of a prompt or of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenKind {
    /// Prompt tokens, counted at the start of a run.
    Prompt,
    /// Output tokens, counted one by one as they are generated.
    Output,
}

/// Tokens that an engine processed for a workspace.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct TokenReceipt {
    /// Time, in µs since the Unix epoch.
    pub at_us: u64,
    /// Workspace named in the request.
    pub workspace: String,
    /// Whether they are prompt or output tokens.
    pub kind: TokenKind,
    /// Number of tokens.
    pub tokens: u64,
    /// Identifier of the request.
    pub request_id: String,
}

/// State of a request, or how it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Its body is being read, or it waits for a slot.
    Waiting,
    /// It occupies a slot.
    Running,
    /// It was answered completely.
    Done,
    /// Its caller disconnected or its connection was cut while it ran.
    Cancelled,
    /// It was refused before it ran.
    Refused,
    /// It ended without running, because its caller disconnected or its body could not be read.
    LeftWaiting,
}

/// A completion request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RequestRecord {
    /// Time at which its head was read, in µs since the Unix epoch.
    pub at_us: u64,
    /// Time at which it ended, in µs since the Unix epoch; zero until then.
    pub ended_us: u64,
    /// Path of the URL.
    pub path: String,
    /// Query of the URL; empty if there is none.
    pub query: String,
    /// All header fields, in order of arrival.
    pub headers: Vec<(String, String)>,
    /// Request identifier from its header; empty if there is none.
    pub request_id: String,
    /// Workspace from its header; empty if there is none.
    pub workspace: String,
    /// Served name that it asks for.
    pub model: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens generated so far.
    pub output_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// State, or how it ended.
    pub outcome: RequestOutcome,
}

/// Record of an engine since its stand-in started; survives crashes of the engine process.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct EngineRecord {
    /// Name of the upstream.
    pub name: String,
    /// Memory limit, in MB.
    pub memory_mb: u64,
    /// Highest use of memory, in MB.
    pub most_used_mb: u64,
    /// Changes of replicas, oldest first.
    pub changes: Vec<ReplicaChange>,
    /// Invariant violations, oldest first.
    pub breaks: Vec<Violation>,
    /// Tokens as they were processed, oldest first; empty unless the settings ask for a record.
    pub receipts: Vec<TokenReceipt>,
    /// Total of prompt and output tokens, by workspace.
    pub tokens: BTreeMap<String, u64>,
    /// Completion requests, oldest first; empty unless the settings ask for a record.
    pub requests: Vec<RequestRecord>,
    /// Orders received, refused ones included.
    pub orders: u64,
    /// Orders refused because of an outdated fencing token.
    pub fenced: u64,
    /// Reports answered.
    pub reports: u64,
    /// Highest number of requests running at the same time.
    pub most_running: u32,
}

impl EngineRecord {
    pub(super) fn record_violation(
        &mut self,
        kind: ViolationKind,
        artifact: &Artifact,
        term: u64,
        detail: String,
    ) {
        self.breaks.push(Violation {
            at_us: timeline::now_us(),
            kind,
            artifact: artifact.served_name(),
            term,
            detail,
        });
    }

    /// Adds to the workspace's total, and keeps the receipt if `keep_receipt` is set.
    pub(super) fn record_tokens(&mut self, receipt: TokenReceipt, keep_receipt: bool) {
        *self.tokens.entry(receipt.workspace.clone()).or_default() += receipt.tokens;
        if keep_receipt {
            self.receipts.push(receipt);
        }
    }
}
