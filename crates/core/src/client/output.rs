//! What the client prints: text for people, JSON for scripts.

use std::process::ExitCode;

use serde_json::Value;

use super::error::ClientError;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output in JSON or in text.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result on standard output.
    pub fn done(self, text: &str, json: &Value) {
        if self.json {
            println!("{json}");
        } else {
            println!("{}", text.trim_end());
        }
    }

    /// Prints a note for people on standard error.
    pub fn note(text: &str) {
        eprintln!("comfreyweir: {text}");
    }

    /// Prints an error and gives its exit code. Scripts find it on standard output.
    pub fn fail(self, error: &ClientError) -> ExitCode {
        if self.json {
            println!("{}", error.json());
        } else {
            eprintln!("comfreyweir: {error}");
        }
        ExitCode::from(error.exit_code())
    }
}

/// Appends a line.
pub fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
