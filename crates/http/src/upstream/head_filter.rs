//! Heads of answers on their way to the HTTP client.
//!
//! An HTTP/1.1 answer that declares neither a length nor chunks ends with its connection. The
//! client takes such an answer for empty, but reads one of HTTP/1.0 to the end of the connection,
//! so that its version is changed before the client sees it.

use bytes::{Buf, BytesMut};

/// Largest head that is looked at, in bytes. The client refuses larger ones by itself.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Informational answers precede the head proper and are left as they are.
const INFORMATIONAL: u8 = b'1';
/// Statuses of answers that never have a body.
const WITHOUT_BODY: [&[u8]; 2] = [b"204", b"304"];

/// Holds the beginning of an answer back until its head is whole.
#[derive(Debug)]
pub(super) struct HeadFilter {
    buf: BytesMut,
    is_open: bool,
}

impl HeadFilter {
    /// A filter before the first byte. Without `has_body` the answer passes as it is.
    pub(super) fn new(has_body: bool) -> Self {
        Self {
            buf: BytesMut::new(),
            is_open: !has_body,
        }
    }

    /// Whether bytes pass without being held back.
    pub(super) fn is_open(&self) -> bool {
        self.is_open && self.buf.is_empty()
    }

    /// Takes bytes that were read.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
        while !self.is_open {
            let Some(end) = head_end(&self.buf) else {
                self.is_open = self.buf.len() > MAX_HEAD_BYTES;
                return;
            };
            let head = &mut self.buf[..end];
            if status(head).first() == Some(&INFORMATIONAL) {
                // The head proper follows. What comes before it is rare and small.
                self.is_open = true;
                return;
            }
            if is_unframed(head) {
                head[..HTTP_10.len()].copy_from_slice(HTTP_10);
            }
            self.is_open = true;
        }
    }

    /// Lets everything pass: no more will come.
    pub(super) fn open(&mut self) {
        self.is_open = true;
    }

    /// Moves bytes that may pass to the client.
    pub(super) fn pull(&mut self, to: &mut tokio::io::ReadBuf<'_>) -> usize {
        if !self.is_open {
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

fn head_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(at + 4)
}

fn status(head: &[u8]) -> &[u8] {
    head.get(HTTP_11.len() + 1..HTTP_11.len() + 4)
        .unwrap_or_default()
}

/// Whether an HTTP/1.1 answer with a body declares neither its length nor chunks.
fn is_unframed(head: &[u8]) -> bool {
    if !head.starts_with(HTTP_11) || WITHOUT_BODY.contains(&status(head)) {
        return false;
    }
    let declares = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.eq_ignore_ascii_case(b"content-length")
            || name.eq_ignore_ascii_case(b"transfer-encoding")
    };
    !head.split(|byte| *byte == b'\n').any(declares)
}
