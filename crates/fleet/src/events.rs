//! Splits a server-sent event stream between events, so that another upstream can continue it.

use bytes::{Bytes, BytesMut};

/// Buffers the chunks of an event stream and returns complete events.
///
/// A resumable stream must reach the caller in complete events only: the upstream that continues it
/// begins with the event after the last one that the caller received.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose events up to `last_id` the caller already has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Adds a chunk and returns all events that are complete now; empty if there are none.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.buf.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.buf) else {
            return Bytes::new();
        };
        let events = self.buf.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Takes the bytes after the last complete event, at the end of a stream that was not cut off.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards the bytes of an incomplete event, before another upstream continues the stream.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Offset of the end of the last complete event: an event ends with an empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn rfind(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    id.trim().parse().ok()
}
