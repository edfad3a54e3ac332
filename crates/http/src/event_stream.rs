//! Streams of server-sent events: where events end, and splitting a stream between them.

use bytes::{Bytes, BytesMut};

/// Where a position in an event stream lies: between two events, or inside one.
///
/// A blank line ends an event. Lines end with LF, CR LF or CR. Where an earlier line has ended with
/// CR LF, a CR alone at the end of an event is one whose LF is missing.
#[derive(Clone, Copy, Debug)]
pub struct EventPosition {
    line_is_blank: bool,
    has_seen_crlf: bool,
    line_break: LineBreak,
    unfinished_bytes: u64,
}

/// Whether the last byte may be the first half of a CR LF.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineBreak {
    Complete,
    /// After a CR. An LF belongs to the line that it has ended.
    AfterCr,
    /// After a CR at the end of an event, which the LF that is due completes.
    LfDue,
}

impl Default for EventPosition {
    fn default() -> Self {
        Self {
            line_is_blank: true,
            has_seen_crlf: false,
            line_break: LineBreak::Complete,
            unfinished_bytes: 0,
        }
    }
}

impl EventPosition {
    /// Moves past `bytes`, the next bytes of the stream. Returns the offset in `bytes` at which the
    /// last of the events that end there ends; `None` if none does.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            self.advance_by_one(*byte);
            if self.unfinished_bytes == 0 {
                end = Some(at + 1);
            }
        }
        end
    }

    /// The offset at which the first event ends.
    fn first_end(mut self, bytes: &[u8]) -> Option<usize> {
        let is_end = |byte: &u8| {
            self.advance_by_one(*byte);
            self.unfinished_bytes == 0
        };
        bytes.iter().position(is_end).map(|at| at + 1)
    }

    fn advance_by_one(&mut self, byte: u8) {
        let before = std::mem::replace(&mut self.line_break, LineBreak::Complete);
        if before == LineBreak::LfDue {
            self.unfinished_bytes = 0;
        }
        if byte == b'\n' && before != LineBreak::Complete {
            self.has_seen_crlf = true;
            self.unfinished_bytes += u64::from(self.unfinished_bytes > 0);
            return;
        }
        let ends_line = matches!(byte, b'\n' | b'\r');
        let ends_event = ends_line && self.line_is_blank;
        if byte == b'\r' {
            self.line_break = if ends_event && self.has_seen_crlf {
                LineBreak::LfDue
            } else {
                LineBreak::AfterCr
            };
        }
        self.unfinished_bytes += 1;
        if ends_event && self.line_break != LineBreak::LfDue {
            self.unfinished_bytes = 0;
        }
        self.line_is_blank = ends_line;
    }

    /// Bytes since the end of the last event; 0 between events.
    pub fn unfinished_bytes(&self) -> u64 {
        self.unfinished_bytes
    }
}

/// Buffers the chunks of an event stream and returns complete events.
///
/// A resumable stream must reach the caller in complete events only: the upstream that continues it
/// begins with the event after the last one that the caller received.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    position: EventPosition,
    last_id: Option<u64>,
    continuation: Continuation,
}

/// Whether the events of the present upstream follow those of the one before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Continuation {
    /// They do, or there was none.
    #[default]
    Shown,
    /// There is no event yet.
    Awaited,
    /// The first one does not.
    Broken,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose events up to `last_id` the caller already has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds a chunk and returns all events that are complete now; empty if there are none, or if they
    /// do not follow those of the upstream before.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        let buffered = self.buf.len();
        self.buf.extend_from_slice(chunk);
        let Some(end) = self.position.advance(chunk) else {
            return Bytes::new();
        };
        let events = self.buf.split_to(buffered + end).freeze();
        if self.continuation == Continuation::Awaited
            && let Some(first) = first_event(&events)
        {
            let id = last_event_id(first);
            self.continuation = if id.is_some() && id > self.last_id {
                Continuation::Shown
            } else {
                Continuation::Broken
            };
        }
        if self.continuation == Continuation::Broken {
            return Bytes::new();
        }
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Prepares for another upstream that continues the stream: discards the bytes of an incomplete
    /// event, and expects an event with a later identifier than the last one, if there is one.
    pub fn begin_continuation(&mut self) {
        self.buf.clear();
        self.position = EventPosition::default();
        self.continuation = if self.last_id.is_some() {
            Continuation::Awaited
        } else {
            Continuation::Shown
        };
    }

    /// Whether the present upstream has sent events that do not follow those of the one before.
    pub fn is_continuation_broken(&self) -> bool {
        self.continuation == Continuation::Broken
    }

    /// Whether the present upstream is to continue the stream and has sent no event yet.
    pub fn awaits_continuation(&self) -> bool {
        self.continuation == Continuation::Awaited
    }

    /// Identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// The first of some complete events. Comments between them, by which an upstream shows that it is there,
/// are none.
fn first_event(mut events: &[u8]) -> Option<&[u8]> {
    while let Some(end) = EventPosition::default().first_end(events) {
        let (event, rest) = events.split_at(end);
        let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
        if lines.any(|line| !line.is_empty() && !line.starts_with(b":")) {
            return Some(event);
        }
        events = rest;
    }
    None
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    id.trim().parse().ok()
}
