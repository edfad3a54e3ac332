//! Authentication of callers by API key.

use actix_http::{
    StatusCode,
    header::{self, HeaderMap},
};
use comfreyweir_config::keys::{self, KeyHash};
use comfreyweir_store::{KeyRefusal, Snapshot};

use crate::{Refusal, RefusalCode};

/// Header in which a key is accepted if there is none in `Authorization`.
pub const API_KEY_HEADER: &str = "x-api-key";

/// A caller's key in plain text. It does not implement `Debug`, so that it cannot be logged.
#[derive(Clone, Eq, PartialEq)]
pub struct CallerKey(String);

impl CallerKey {
    /// The key in plain text; never log it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An authenticated caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// Workspace of the key.
    pub workspace: String,
    /// Public identifier of the key.
    pub key_id: String,
    /// Hash of the key, for [`recheck`].
    key: KeyHash,
}

/// Returns the key in a request's headers; a bearer token takes precedence over
/// [`API_KEY_HEADER`].
pub fn key_of(headers: &HeaderMap) -> Option<CallerKey> {
    bearer(headers).or_else(|| api_key(headers))
}

/// Identifies the caller by the key in `headers`. Refuses with 401 if there is no key, or the key
/// is unknown or withdrawn.
pub fn authenticate(snapshot: &Snapshot, headers: &HeaderMap) -> Result<CallerIdentity, Refusal> {
    let Some(key) = key_of(headers) else {
        return Err(unauthorized("no key: send `Authorization: Bearer KEY`"));
    };
    let hash = keys::hash(key.as_str());
    let owner = snapshot.owner(&hash).map_err(key_refused)?;
    Ok(CallerIdentity {
        workspace: owner.workspace.clone(),
        key_id: owner.id.clone(),
        key: hash,
    })
}

/// Refuses a caller whose key, since it was authenticated, has been withdrawn or given to another
/// workspace.
pub fn recheck(snapshot: &Snapshot, identity: &CallerIdentity) -> Result<(), Refusal> {
    let owner = snapshot.owner(&identity.key).map_err(key_refused)?;
    if owner.workspace == identity.workspace {
        Ok(())
    } else {
        Err(unauthorized("the key has moved to another workspace"))
    }
}

fn key_refused(refusal: KeyRefusal) -> Refusal {
    match refusal {
        KeyRefusal::Unknown => unauthorized("the key is not valid"),
        KeyRefusal::Withdrawn => unauthorized("the key has been withdrawn"),
    }
}

fn unauthorized(message: &str) -> Refusal {
    Refusal::not_run(StatusCode::UNAUTHORIZED, RefusalCode::InvalidKey, message)
}

fn bearer(headers: &HeaderMap) -> Option<CallerKey> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    let is_bearer = scheme.eq_ignore_ascii_case("bearer") && !key.is_empty();
    is_bearer.then(|| CallerKey(key.to_owned()))
}

fn api_key(headers: &HeaderMap) -> Option<CallerKey> {
    let key = headers.get(API_KEY_HEADER)?.to_str().ok()?.trim();
    (!key.is_empty()).then(|| CallerKey(key.to_owned()))
}
