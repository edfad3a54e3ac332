//! Splitting of an event stream at its events, so that it can go on at another upstream.

use bytes::{Bytes, BytesMut};

/// Collects the pieces of an event stream and hands out whole events.
///
/// Only whole events may be passed on where a stream may be resumed: the upstream that continues
/// it begins with the event after the last one that the caller has.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream of which the caller has events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Adds a piece and returns all events that are whole now.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        self.buf.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.buf) else {
            return Bytes::new();
        };
        let events = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// What is left at the end of a stream that is complete.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Drops the beginning of an event that was cut off.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// End of the last whole event: an event ends with an empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn rfind(buf: &[u8], part: &[u8]) -> Option<usize> {
    buf.windows(part.len()).rposition(|window| window == part)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    id.trim().parse().ok()
}
