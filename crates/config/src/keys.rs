//! Generates and hashes callers' keys. Only the hashes are stored.

use std::fmt::Write;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use sha2::{Digest, Sha256};

/// SHA-256 of a key.
pub type KeyHash = [u8; 32];

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;
/// Prefix of every key, by which secret scanners find keys that leaked into files.
const KEY_PREFIX: &str = "cw-";

/// Generates a key. The caller shows it to the operator once and must not store it.
pub fn generate() -> String {
    let secret = rand::random::<[u8; KEY_BYTES]>();
    format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(secret))
}

/// Hash of a key.
///
/// A hash without salt or stretching is enough: keys are random, so dictionary attacks do not
/// apply.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key).into()
}

/// Formats bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether a text starts like a key. Used to detect a key given in place of its hash.
pub(crate) fn looks_like_key(text: &str) -> bool {
    text.starts_with(KEY_PREFIX)
}

/// Parses a hash. `None` unless the text is 64 lower-case hexadecimal digits.
pub fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    let digits = text.as_bytes();
    let is_lower_hex = |d: &u8| d.is_ascii_digit() || (b'a'..=b'f').contains(d);
    if digits.len() != 2 * hash.len() || !digits.iter().all(is_lower_hex) {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(hash)
}
