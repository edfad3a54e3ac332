//! Server-sent events of completions.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Largest event accepted from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A JSON chunk of the answer.
    Chunk(Value),
    /// `[DONE]`: the answer is complete.
    Done,
}

/// Splits the bytes of a stream into events.
#[derive(Default)]
pub(crate) struct EventParser {
    buf: BytesMut,
}

/// Why the next event of a stream cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MalformedEvent(pub(crate) String);

impl EventParser {
    /// Appends bytes received from the engine.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, MalformedEvent> {
        while let Some((end, next)) = find_event_end(&self.buf) {
            let block = self.buf.split_to(next);
            if let Some(event) = parse_event(&block[..end])? {
                return Ok(Some(event));
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(MalformedEvent("an event is too large".to_owned()));
        }
        Ok(None)
    }
}

/// Encodes a JSON value as an event for the caller.
pub(crate) fn encode_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// The `[DONE]` event that ends a complete answer.
pub(crate) fn end_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Finds the blank line that ends an event. Returns the offsets of the event's end and of the next
/// event's start.
fn find_event_end(buf: &[u8]) -> Option<(usize, usize)> {
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

fn parse_event(block: &[u8]) -> Result<Option<Event>, MalformedEvent> {
    let text = std::str::from_utf8(block).map_err(|e| MalformedEvent(e.to_string()))?;
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data = data.map(str::trim).collect::<Vec<_>>().join("\n");
    match data.as_str() {
        "" => Ok(None),
        "[DONE]" => Ok(Some(Event::Done)),
        json => serde_json::from_str(json)
            .map(|value| Some(Event::Chunk(value)))
            .map_err(|e| MalformedEvent(format!("an event is not JSON: {e}"))),
    }
}
