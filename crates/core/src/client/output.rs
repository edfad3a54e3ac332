//! Prints results and errors, as text or with `--json` as JSON.

use std::process::ExitCode;

use serde_json::Value;

use super::error::ClientError;

/// Printer of results and errors.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON if `json` is set, and text otherwise.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result on standard output, in the form that was selected.
    pub fn print_result(self, text: &str, json: &Value) {
        if self.json {
            println!("{json}");
        } else {
            println!("{}", text.trim_end());
        }
    }

    /// Prints a note on standard error, also with `--json`.
    pub fn print_note(text: &str) {
        eprintln!("comfreyweir: {text}");
    }

    /// Prints an error and returns its exit code. JSON goes to standard output, text to standard
    /// error.
    pub fn report_error(self, error: &ClientError) -> ExitCode {
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
