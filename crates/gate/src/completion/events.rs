//! Server-sent events of completions.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Largest event that is taken from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A part of the answer.
    Chunk(Value),
    /// The end of the answer.
    Done,
}

/// Splits the bytes of a stream into events.
#[derive(Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

/// Why a stream cannot be read on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Malformed(pub(crate) String);

impl Events {
    /// Adds bytes from the engine.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next event that is there in full.
    pub(crate) fn take(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some((end, next)) = find_end(&self.buf) {
            let block = self.buf.split_to(next);
            if let Some(event) = parse(&block[..end])? {
                return Ok(Some(event));
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(Malformed("an event is too large".to_owned()));
        }
        Ok(None)
    }
}

/// An event with a JSON value, as sent to callers.
pub(crate) fn encode(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// The event that ends a whole answer.
pub(crate) fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Finds the blank line that ends an event: where the event ends, and where the next begins.
fn find_end(buf: &[u8]) -> Option<(usize, usize)> {
    for (i, byte) in buf.iter().enumerate() {
        let rest = &buf[i + 1..];
        match byte {
            b'\n' if rest.starts_with(b"\n") => return Some((i, i + 2)),
            b'\n' if rest.starts_with(b"\r\n") => return Some((i, i + 3)),
            _ => {}
        }
    }
    None
}

fn parse(block: &[u8]) -> Result<Option<Event>, Malformed> {
    let text = std::str::from_utf8(block).map_err(|e| Malformed(e.to_string()))?;
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data = data.map(str::trim).collect::<Vec<_>>().join("\n");
    match data.as_str() {
        "" => Ok(None),
        "[DONE]" => Ok(Some(Event::Done)),
        json => serde_json::from_str(json)
            .map(|value| Some(Event::Chunk(value)))
            .map_err(|e| Malformed(format!("an event is not JSON: {e}"))),
    }
}
