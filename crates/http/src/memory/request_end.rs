//! Finds where a request's header section ends, so that a connection hands over one request at a time.

use std::str;

/// Position in the header sections that a caller sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    /// Whether a line of the section has text. Empty lines before a request don't end it.
    has_text: bool,
    /// Whether the current line has text.
    line_has_text: bool,
}

impl HeadScanner {
    /// Scans the next bytes. Returns the length up to the end of the section, if it ends in them, and is
    /// then at the beginning of the next one.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut begin = 0;
        while let Some(length) = bytes[begin..].iter().position(|b| *b == b'\n') {
            let end = begin + length;
            let line = &bytes[begin..end];
            let is_empty = !self.line_has_text && matches!(line, [] | b"\r");
            begin = end + 1;
            self.line_has_text = false;
            if !is_empty {
                self.has_text = true;
            } else if self.has_text {
                self.has_text = false;
                return Some(begin);
            }
        }
        let rest = &bytes[begin..];
        self.line_has_text |= !matches!(rest, [] | b"\r");
        None
    }
}

/// Length of the body by the `content-length` line of a header section, if it has one.
pub fn body_length(head: &[u8]) -> Option<u64> {
    const NAME: &[u8] = b"content-length:";
    let mut lines = head.split(|b| *b == b'\n');
    let line = lines.find(|line| {
        line.get(..NAME.len())
            .is_some_and(|name| name.eq_ignore_ascii_case(NAME))
    })?;
    str::from_utf8(&line[NAME.len()..])
        .ok()?
        .trim()
        .parse()
        .ok()
}
