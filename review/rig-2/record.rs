//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{self, Write},
    time::Instant,
};

pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: File::create(path)?,
            began: Instant::now(),
        })
    }

    /// Writes a line about now.
    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about an earlier moment.
    pub fn line_at(&mut self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.began).as_millis();
        println!("{ms:>7} ms  {text}");
        let _ = writeln!(self.file, "{ms:>7} ms  {text}");
    }
}
