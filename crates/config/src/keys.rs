//! Callers' keys: only their hashes are stored.

use std::fmt::Write;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use sha2::{Digest, Sha256};

/// SHA-256 of a key.
pub type KeyHash = [u8; 32];

/// Random bytes of a key.
const KEY_BYTES: usize = 32;
/// Start of every key, which lets scanners find keys that leaked into files.
const KEY_PREFIX: &str = "cw-";

/// Generates a key. It is shown to the operator once and stored nowhere.
pub fn generate() -> String {
    let secret = rand::random::<[u8; KEY_BYTES]>();
    format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(secret))
}

/// Hash of a key.
///
/// A plain hash is enough because keys are random; there is no dictionary to try.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key).into()
}

/// Lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether a text looks like a key rather than its hash.
pub(crate) fn looks_like_key(text: &str) -> bool {
    text.starts_with(KEY_PREFIX)
}

/// Reads a hash in lower-case hexadecimal. `None` when it is not one.
pub fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    let digits = text.as_bytes();
    let lower = |d: &u8| d.is_ascii_digit() || (b'a'..=b'f').contains(d);
    if digits.len() != 2 * hash.len() || !digits.iter().all(lower) {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(hash)
}
