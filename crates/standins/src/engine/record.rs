//! Record of an engine, by which tests judge.

use std::collections::BTreeMap;

use comfreyweir_external::engine::{Artifact, CheckpointTier};
use serde::{Deserialize, Serialize};

use crate::timeline;

/// What happened to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A load was ordered and began; memory is taken from now on.
    LoadOrdered,
    /// The load ended, and the replica serves.
    Ready,
    /// The load failed; memory is free.
    LoadFailed,
    /// An unload was ordered; running requests go on.
    UnloadOrdered,
    /// The replica is gone; memory is free.
    Gone,
    /// The engine process ended and lost everything.
    Crashed,
}

/// A change of a replica.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaChange {
    /// When, in µs since the Unix epoch.
    pub at_us: u64,
    /// What happened.
    pub change: Change,
    /// Served name.
    pub artifact: String,
    /// Term of the order; zero when there was none.
    pub term: u64,
    /// Replicas of the artifact on this engine after the change.
    pub replicas: u32,
    /// Memory taken on this engine after the change, in MB.
    pub used_mb: u64,
    /// Where the checkpoint was when the change was noted.
    pub checkpoint: CheckpointTier,
}

/// An invariant that the engine saw broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakKind {
    /// A load was ordered that does not fit into the memory left.
    MemoryOverLimit,
    /// An unload was ordered while requests were running on the replica.
    UnloadWhileRunning,
    /// An order with an old fencing number was obeyed.
    OldTermObeyed,
}

/// A broken invariant.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Break {
    /// When, in µs since the Unix epoch.
    pub at_us: u64,
    /// Which.
    pub kind: BreakKind,
    /// Served name.
    pub artifact: String,
    /// Term of the order.
    pub term: u64,
    /// What was seen.
    pub detail: String,
}

/// Kind of tokens that a workspace received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenKind {
    /// Prompt, received at the start of a run.
    Prompt,
    /// Output, received one by one.
    Output,
}

/// Tokens that a workspace received.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Receipt {
    /// When, in µs since the Unix epoch.
    pub at_us: u64,
    /// Workspace.
    pub workspace: String,
    /// Prompt or output.
    pub kind: TokenKind,
    /// Number of tokens.
    pub tokens: u64,
    /// Request identifier.
    pub request_id: String,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Read, or waiting for a slot.
    Waiting,
    /// Running.
    Running,
    /// Answered whole.
    Done,
    /// Its caller left or its connection was cut while it ran.
    Cancelled,
    /// Refused before it ran.
    Refused,
    /// Its caller left while it waited; it did not run.
    LeftWaiting,
}

/// A request for inference.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RequestRecord {
    /// When its head was read, in µs since the Unix epoch.
    pub at_us: u64,
    /// When it ended, in µs since the Unix epoch; zero while it runs.
    pub ended_us: u64,
    /// Path.
    pub path: String,
    /// Query.
    pub query: String,
    /// Headers in the order of their arrival.
    pub headers: Vec<(String, String)>,
    /// Request identifier.
    pub request_id: String,
    /// Workspace that it says it runs for.
    pub workspace: String,
    /// Served name asked for.
    pub model: String,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// Record of an engine since its stand-in started, crashes included.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Name of the upstream.
    pub name: String,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Most memory that was taken at once, in MB.
    pub most_used_mb: u64,
    /// Changes of replicas.
    pub changes: Vec<ReplicaChange>,
    /// Broken invariants.
    pub breaks: Vec<Break>,
    /// Tokens received, one by one.
    pub receipts: Vec<Receipt>,
    /// Tokens received in all, by workspace.
    pub tokens: BTreeMap<String, u64>,
    /// Requests for inference.
    pub requests: Vec<RequestRecord>,
    /// Orders taken, refused ones included.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
    /// Reports given.
    pub reports: u64,
    /// Most requests that ran at once.
    pub most_running: u32,
}

impl Record {
    pub(super) fn note_break(
        &mut self,
        kind: BreakKind,
        artifact: &Artifact,
        term: u64,
        detail: String,
    ) {
        self.breaks.push(Break {
            at_us: timeline::now_us(),
            kind,
            artifact: artifact.served_name(),
            term,
            detail,
        });
    }

    pub(super) fn note_tokens(&mut self, receipt: Receipt, keep: bool) {
        *self.tokens.entry(receipt.workspace.clone()).or_default() += receipt.tokens;
        if keep {
            self.receipts.push(receipt);
        }
    }
}
