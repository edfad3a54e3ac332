//! Ends of events in streams of server-sent events.

/// Where a position in an event stream lies: between two events, or inside one.
///
/// A blank line ends an event. Lines end with LF, CR LF or CR.
#[derive(Clone, Copy, Debug)]
pub struct EventPosition {
    line_is_blank: bool,
    after_cr: bool,
    unfinished_bytes: u64,
}

impl Default for EventPosition {
    fn default() -> Self {
        Self {
            line_is_blank: true,
            after_cr: false,
            unfinished_bytes: 0,
        }
    }
}

impl EventPosition {
    /// Moves past `bytes`, the next bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.advance_by_one(*byte);
        }
    }

    fn advance_by_one(&mut self, byte: u8) {
        let ends_line = match byte {
            // The second byte of CR LF belongs to the line that the CR has ended.
            b'\n' if self.after_cr => {
                self.after_cr = false;
                self.unfinished_bytes += u64::from(self.unfinished_bytes > 0);
                return;
            }
            b'\n' | b'\r' => true,
            _ => false,
        };
        self.after_cr = byte == b'\r';
        self.unfinished_bytes += 1;
        if ends_line && self.line_is_blank {
            self.unfinished_bytes = 0;
        }
        self.line_is_blank = ends_line;
    }

    /// Bytes since the end of the last event; 0 between events.
    pub fn unfinished_bytes(&self) -> u64 {
        self.unfinished_bytes
    }
}
