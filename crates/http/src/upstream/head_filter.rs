//! Filter for the heads of answers, between the connection and the HTTP client.
//!
//! The body of an HTTP/1.1 answer with neither `content-length` nor `transfer-encoding` ends with
//! the connection. The HTTP client takes such a body for empty, but reads an HTTP/1.0 body to the
//! end of the connection. The filter therefore changes the version of such an answer to HTTP/1.0.
//!
//! Informational answers are dropped, since the HTTP client takes them for the final one.

use bytes::{Buf, BytesMut};

/// Largest head that is held back, in bytes. Longer heads pass unchanged; the HTTP client rejects
/// them.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// First digit of the statuses of informational (1xx) answers, which precede the final answer.
const INFORMATIONAL_CLASS: u8 = b'1';
/// The one 1xx status that no other answer follows.
const SWITCHING_PROTOCOLS: &[u8] = b"101";
/// Statuses of answers that have no body, even without a length.
const BODILESS_STATUSES: [&[u8]; 2] = [b"204", b"304"];

/// Buffers an answer until its head is complete, then rewrites the version if needed and releases
/// the buffer.
#[derive(Debug)]
pub(super) struct HeadFilter {
    buf: BytesMut,
    /// Bytes at the begin of the buffer that are known not to begin the blank line.
    searched: usize,
    /// Whether buffered bytes may be pulled.
    is_released: bool,
    /// Whether the answer may have a body.
    has_body: bool,
}

impl HeadFilter {
    /// Creates a filter for one answer. If the answer cannot have a body (`has_body` is false), its
    /// version is not changed.
    pub(super) fn new(has_body: bool) -> Self {
        Self {
            buf: BytesMut::new(),
            searched: 0,
            is_released: false,
            has_body,
        }
    }

    /// Whether the filter is done and its buffer empty, so that later bytes can bypass it.
    pub(super) fn is_bypassed(&self) -> bool {
        self.is_released && self.buf.is_empty()
    }

    /// Adds bytes that were read from the connection.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
        while !self.is_released {
            let Some(blank_line) = find_blank_line(&self.buf[self.searched..]) else {
                self.searched = self.buf.len().saturating_sub(BLANK_LINE.len() - 1);
                self.is_released = self.buf.len() > MAX_HEAD_BYTES;
                return;
            };
            let length = self.searched + blank_line + BLANK_LINE.len();
            self.searched = 0;
            let head = &mut self.buf[..length];
            if is_informational(head) {
                self.buf.advance(length);
                continue;
            }
            if self.has_body && ends_with_connection(head) {
                head[..HTTP_10.len()].copy_from_slice(HTTP_10);
            }
            self.is_released = true;
        }
    }

    /// Releases an incomplete head because the connection has ended.
    pub(super) fn release(&mut self) {
        self.is_released = true;
    }

    /// Moves released bytes to the HTTP client's buffer and returns their number.
    pub(super) fn pull(&mut self, to: &mut tokio::io::ReadBuf<'_>) -> usize {
        if !self.is_released {
            return 0;
        }
        let n = self.buf.len().min(to.remaining());
        to.put_slice(&self.buf[..n]);
        self.buf.advance(n);
        n
    }
}

const HTTP_10: &[u8] = b"HTTP/1.0";
const HTTP_11: &[u8] = b"HTTP/1.1";

/// End of the last line of a head, and the blank line after it.
const BLANK_LINE: &[u8] = b"\r\n\r\n";

/// Position of the blank line that ends a head; `None` if it is not there yet.
fn find_blank_line(buf: &[u8]) -> Option<usize> {
    buf.windows(BLANK_LINE.len())
        .position(|window| window == BLANK_LINE)
}

/// Status code as three digits; empty if the head is too short for one.
fn status(head: &[u8]) -> &[u8] {
    head.get(HTTP_11.len() + 1..HTTP_11.len() + 4)
        .unwrap_or_default()
}

fn is_informational(head: &[u8]) -> bool {
    let status = status(head);
    status.first() == Some(&INFORMATIONAL_CLASS) && status != SWITCHING_PROTOCOLS
}

/// Whether an HTTP/1.1 answer may have a body and declares neither a length nor a transfer
/// encoding.
fn ends_with_connection(head: &[u8]) -> bool {
    if !head.starts_with(HTTP_11) || BODILESS_STATUSES.contains(&status(head)) {
        return false;
    }
    let declares_framing = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.eq_ignore_ascii_case(b"content-length")
            || name.eq_ignore_ascii_case(b"transfer-encoding")
    };
    !head.split(|byte| *byte == b'\n').any(declares_framing)
}
