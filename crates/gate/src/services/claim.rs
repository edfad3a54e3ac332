//! What is recorded of a call with an idempotency key, and what follows from a record.

use base64::{Engine, prelude::BASE64_STANDARD};
use comfreyweir_config::keys;
use comfreyweir_external::kv::{Recorded, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Largest answer body that is recorded, in bytes. The key-value service takes values up to 1 MB.
pub const MAX_RECORDED_BYTES: usize = 256 << 10;

/// Record of one idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Digest of method, path and body of the call.
    pub call: String,
    /// Name of the instance that claimed the key.
    pub gate: String,
    /// Wall-clock time in ms after which the claiming gate has given the call up. It only words
    /// the refusal and is never a reason to run the call again.
    pub given_up_at_ms: u64,
    /// How far the call got.
    pub state: ClaimState,
}

/// How far a call got.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The call did not run. The key can be claimed again.
    Free,
    /// The call is about to be sent or has been sent.
    Claimed,
    /// The call may have run, and its answer is lost.
    Unknown,
    /// The call ran, and this was its answer.
    Done(RecordedAnswer),
}

/// Answer of a call that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `content-type`, if it had one.
    pub content_type: Option<String>,
    /// Value of the header `location`, if it had one.
    pub location: Option<String>,
    /// Body in base64; `None` when it was too large to be recorded.
    body: Option<String>,
}

impl RecordedAnswer {
    /// Records an answer. The caller leaves out a body above [`MAX_RECORDED_BYTES`].
    pub fn new(status: u16, body: Option<&[u8]>) -> Self {
        let body = body.map(|body| BASE64_STANDARD.encode(body));
        Self {
            status,
            content_type: None,
            location: None,
            body,
        }
    }

    /// The body, unless it was too large to be recorded.
    pub fn body(&self) -> Option<Vec<u8>> {
        let body = self.body.as_ref()?;
        BASE64_STANDARD.decode(body).ok()
    }
}

/// What a gate does with a call after it has read the record of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Claim the key by a swap at this version, then send.
    Take(Version),
    /// Give the recorded answer.
    Replay(RecordedAnswer),
    /// Another gate runs the call; its answer may be recorded later.
    InProgress,
    /// The call may have run, and nobody will learn its answer.
    OutcomeUnknown,
    /// The key was used with another call.
    DifferentCall,
}

/// Decides what to do with a call, from the record of its key.
pub fn next_step(found: Option<&(Version, Recorded<Claim>)>, call: &str, now_ms: u64) -> Step {
    let Some((version, Recorded { body: claim, .. })) = found else {
        return Step::Take(0);
    };
    if claim.state == ClaimState::Free {
        return Step::Take(*version);
    }
    if claim.call != call {
        return Step::DifferentCall;
    }
    match &claim.state {
        ClaimState::Done(answer) => Step::Replay(answer.clone()),
        ClaimState::Claimed if now_ms <= claim.given_up_at_ms => Step::InProgress,
        ClaimState::Free | ClaimState::Claimed | ClaimState::Unknown => Step::OutcomeUnknown,
    }
}

/// Digest of a call: the same key with another call is a mistake of the caller.
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    keys::hex(&digest.finalize())
}

/// Key of the record. It is bound to the workspace, so that no workspace sees another's answers.
pub fn record_key(workspace: &str, route: &str, idempotency_key: &str) -> String {
    let digest = call_digest(workspace, route, idempotency_key.as_bytes());
    format!("idem/{digest}")
}
