//! JSON lines of a log.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value, json};
use spdlog::{Level, Record};

/// Largest line of the log, in bytes.
pub const MAX_LINE_BYTES: usize = 16 << 10;
/// Largest text in a line that had to be shortened, in bytes. JSON may take six bytes for each.
const MAX_SHORTENED_TEXT_BYTES: usize = 256;

/// Formats a record whose line exceeds [`MAX_LINE_BYTES`] with shortened texts, and without its
/// fields if that does not suffice. `bytes` is the length of the whole line.
pub(crate) fn shortened(record: &Record<'_>, bytes: usize) -> String {
    let mut fields = Map::new();
    for (key, value) in record.key_values() {
        let value = match serde_json::to_value(&value) {
            Ok(Value::String(text)) => Value::from(prefix(&text)),
            Ok(value @ (Value::Number(_) | Value::Bool(_))) => value,
            _ => Value::Null,
        };
        fields.insert(prefix(key.as_str()).to_owned(), value);
    }
    let line = format_line(record, bytes, Some(fields));
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    format_line(record, bytes, None)
}

/// The line that states how many lines were dropped before it.
pub(crate) fn dropped_notice(lines: u64) -> String {
    let line = json!({
        "level": Level::Warn.as_str(),
        "timestamp": unix_millis(SystemTime::now()),
        "payload": "log lines were dropped because the log was not read",
        "kv": { "lines": lines },
    });
    format!("{line}\n")
}

fn format_line(record: &Record<'_>, bytes: usize, fields: Option<Map<String, Value>>) -> String {
    let mut line = json!({
        "level": record.level().as_str(),
        "timestamp": unix_millis(record.time()),
        "payload": prefix(record.payload()),
        "tid": record.tid(),
        "shortened_from_bytes": bytes,
    });
    if let Some(fields) = fields {
        line["kv"] = Value::Object(fields);
    }
    format!("{line}\n")
}

fn prefix(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_SHORTENED_TEXT_BYTES)]
}

fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
