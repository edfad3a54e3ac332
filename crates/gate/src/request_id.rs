//! Identifiers of requests.

use std::fmt::Write;

/// Returns a new identifier: 128 random bits in hexadecimal, so that it cannot be guessed.
pub fn fresh() -> String {
    let bytes: [u8; 16] = rand::random();
    let mut id = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(id, "{byte:02x}");
    }
    id
}
