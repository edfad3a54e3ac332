//! Authentication of callers.

use std::fmt::Write;

use actix_http::{
    StatusCode,
    header::{self, HeaderMap},
};
use comfreyweir_store::Snapshot;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

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
    let Some((key_id, workspace)) = find_key(snapshot, &key) else {
        return Err(unauthorized("the key is not valid or has been withdrawn"));
    };
    Ok(Identity {
        workspace: workspace.to_owned(),
        key_id: key_id.to_owned(),
    })
}

/// Refuses a caller whose key has been withdrawn since it was authenticated.
pub fn recheck(snapshot: &Snapshot, identity: &Identity) -> Result<(), Refusal> {
    let key = snapshot.catalog.keys.get(&identity.key_id);
    match key {
        Some(key) if !key.withdrawn && key.workspace == identity.workspace => Ok(()),
        _ => Err(unauthorized("the key has been withdrawn")),
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

/// Finds the catalog's entry of a key. Every hash is compared in constant time, so that the time
/// tells nothing of a hash.
fn find_key<'a>(snapshot: &'a Snapshot, key: &CallerKey) -> Option<(&'a str, &'a str)> {
    let hash = hex(&Sha256::digest(key.as_str()));
    let mut found = None;
    for (id, entry) in &snapshot.catalog.keys {
        let is_same: bool = entry.sha256.as_bytes().ct_eq(hash.as_bytes()).into();
        if is_same && !entry.withdrawn {
            found = Some((id.as_str(), entry.workspace.as_str()));
        }
    }
    found
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
