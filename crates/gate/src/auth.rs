//! Authentication of callers.

use actix_http::{
    StatusCode,
    header::{self, HeaderMap},
};
use comfreyweir_config::keys::{self, KeyHash};
use comfreyweir_store::{KeyRefusal, Snapshot};

use crate::{Code, Refusal};

/// Header in which a key is accepted beside `Authorization`.
pub const API_KEY_HEADER: &str = "x-api-key";

/// A caller's key as it was sent. It has no `Debug`, so that it cannot be logged.
#[derive(Clone, Eq, PartialEq)]
pub struct CallerKey(String);

impl CallerKey {
    /// The key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Who calls, as proved by a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Workspace of the key.
    pub workspace: String,
    /// Public identifier of the key.
    pub key_id: String,
    /// Hash of the key, with which it is checked again.
    key: KeyHash,
}

/// Finds the key in the headers of a request.
pub fn key_of(headers: &HeaderMap) -> Option<CallerKey> {
    bearer(headers).or_else(|| api_key(headers))
}

/// Tells who calls, or refuses.
pub fn authenticate(snapshot: &Snapshot, headers: &HeaderMap) -> Result<Identity, Refusal> {
    let Some(key) = key_of(headers) else {
        return Err(unauthorized("no key: send `Authorization: Bearer KEY`"));
    };
    let hash = keys::hash(key.as_str());
    let owner = snapshot.owner(&hash).map_err(key_refused)?;
    Ok(Identity {
        workspace: owner.workspace.clone(),
        key_id: owner.id.clone(),
        key: hash,
    })
}

/// Refuses a caller whose key has been withdrawn since it was authenticated.
pub fn recheck(snapshot: &Snapshot, identity: &Identity) -> Result<(), Refusal> {
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
    Refusal::not_run(StatusCode::UNAUTHORIZED, Code::InvalidKey, message)
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
