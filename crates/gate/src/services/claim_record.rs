//! Record of a call with an idempotency key, and the decision that follows from it.

use base64::{Engine, prelude::BASE64_STANDARD};
use comfreyweir_config::keys;
use comfreyweir_external::kv::{RecordedValue, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Largest answer body that is recorded, in bytes. The key-value service limits values to 1 MB.
pub const MAX_RECORDED_BYTES: usize = 256 << 10;

/// Record of one idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Digest of method, path and body of the call.
    pub call: String,
    /// Name of the instance that claimed the key.
    pub gate: String,
    /// Wall-clock time, in ms since the Unix epoch, after which the claiming gate has given up the
    /// call. It only selects the refusal that later callers get; it never allows another run.
    pub given_up_at_ms: u64,
    /// State of the call.
    pub state: ClaimState,
}

/// State of a call whose idempotency key was claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The call did not run. The key can be claimed again.
    Free,
    /// The call is about to be sent or has been sent.
    Claimed,
    /// The call may have run, but its answer was not received.
    Unknown,
    /// The call ran and got this answer.
    Done(RecordedAnswer),
}

/// Answer of a call that ran, as stored in its record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `content-type`, if the answer had one.
    pub content_type: Option<String>,
    /// Value of the header `location`, if the answer had one.
    pub location: Option<String>,
    /// Body in base64; `None` when it was too large to be recorded.
    body: Option<String>,
}

impl RecordedAnswer {
    /// Creates a record without headers. `body` must be `None` if it is larger than
    /// [`MAX_RECORDED_BYTES`].
    pub fn new(status: u16, body: Option<&[u8]>) -> Self {
        let body = body.map(|body| BASE64_STANDARD.encode(body));
        Self {
            status,
            content_type: None,
            location: None,
            body,
        }
    }

    /// Decodes the body; `None` if it was too large to be recorded.
    pub fn body(&self) -> Option<Vec<u8>> {
        let body = self.body.as_ref()?;
        BASE64_STANDARD.decode(body).ok()
    }
}

/// What a gate does with a call, given the record of its idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Claim the key by a compare-and-swap at this version, then send the call.
    Claim(Version),
    /// Return the recorded answer.
    Replay(RecordedAnswer),
    /// Refuse: another request is running the call, and its answer may be recorded later.
    InProgress,
    /// Refuse: the call may have run, and its answer will not be known.
    OutcomeUnknown,
    /// Refuse: the key was used with a different call.
    DifferentCall,
}

/// Decides what to do with the call of this digest, from the record of its idempotency key.
/// `now_ms` is wall-clock time in ms since the Unix epoch.
pub fn decide_claim(
    found: Option<&(Version, RecordedValue<Claim>)>,
    digest: &str,
    now_ms: u64,
) -> ClaimDecision {
    let Some((version, RecordedValue { body: claim, .. })) = found else {
        return ClaimDecision::Claim(0);
    };
    if claim.state == ClaimState::Free {
        return ClaimDecision::Claim(*version);
    }
    if claim.call != digest {
        return ClaimDecision::DifferentCall;
    }
    match &claim.state {
        ClaimState::Done(answer) => ClaimDecision::Replay(answer.clone()),
        ClaimState::Claimed if now_ms <= claim.given_up_at_ms => ClaimDecision::InProgress,
        ClaimState::Free | ClaimState::Claimed | ClaimState::Unknown => {
            ClaimDecision::OutcomeUnknown
        }
    }
}

/// Digest of a call, to detect that a caller reuses an idempotency key for a different call. Parts
/// are length-prefixed, so that different splits give different digests.
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    keys::hex(&digest.finalize())
}

/// Key of the claim record. It includes the workspace, so that no workspace can read the answers of
/// another.
pub fn record_key(workspace: &str, route: &str, idempotency_key: &str) -> String {
    let digest = call_digest(workspace, route, idempotency_key.as_bytes());
    format!("idem/{digest}")
}
