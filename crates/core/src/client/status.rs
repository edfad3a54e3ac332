//! `status`: shows the status pages of gates and planners.

use std::{net::SocketAddr, process::ExitCode};

use futures_util::future::join_all;
use serde_json::{Value, json};

use super::{
    error::{ClientError, EXIT_FAILED},
    output::{Output, push_line},
    remote,
};

/// Number of spaces by which each level of nested values is indented.
const INDENT: usize = 2;

/// Prints the status pages at the given admin addresses. Exits with [`EXIT_FAILED`] if one of them
/// cannot be fetched.
pub(super) async fn show_status(
    admin_addrs: &[SocketAddr],
    output: Output,
) -> Result<ExitCode, ClientError> {
    let pages = join_all(admin_addrs.iter().map(|addr| remote::fetch_status(*addr))).await;
    let any_failed = pages.iter().any(Result::is_err);
    let mut text = String::new();
    let mut json = Vec::new();
    for (addr, page) in admin_addrs.iter().zip(pages) {
        match page {
            Ok(page) => {
                text += &summary(*addr, &page);
                render(&page, INDENT, &mut text);
                json.push(json!({ "admin": addr, "status": page }));
            }
            Err(e) => {
                push_line(&mut text, &format!("{addr}: no status: {e}"));
                json.push(json!({ "admin": addr, "error": e }));
            }
        }
    }
    output.print_result(&text, &json!({ "instances": json }));
    Ok(ExitCode::from(if any_failed { EXIT_FAILED } else { 0 }))
}

fn summary(addr: SocketAddr, page: &Value) -> String {
    let instance = page["gate"]["instance"].as_str();
    let name = instance
        .or_else(|| page["instance"].as_str())
        .unwrap_or("?");
    let role = if page["gate"].is_object() {
        "gate"
    } else {
        "planner"
    };
    let revision =
        remote::revision_in_force(page).map_or_else(|| "?".to_owned(), |r| r.to_string());
    format!("{addr}: {role} of {name}, revision {revision} in force\n")
}

/// Appends a value as indented lines.
fn render(value: &Value, indent: usize, text: &mut String) {
    let pad = " ".repeat(indent);
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                render_field(&format!("{pad}{name}:"), field, indent, text);
            }
        }
        Value::Array(items) => {
            for item in items {
                render_field(&format!("{pad}-"), item, indent, text);
            }
        }
        plain => push_line(text, &format!("{pad}{}", scalar(plain))),
    }
}

fn render_field(start: &str, value: &Value, indent: usize, text: &mut String) {
    if is_empty(value) {
        push_line(text, &format!("{start} none"));
    } else if let Some(line) = single_line(value) {
        push_line(text, &format!("{start} {line}"));
    } else {
        push_line(text, start);
        render(value, indent + INDENT, text);
    }
}

fn is_empty(value: &Value) -> bool {
    match value {
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.is_empty(),
        Value::Null => true,
        _ => false,
    }
}

/// Formats a value on one line, or returns `None` if it holds nested objects or arrays.
fn single_line(value: &Value) -> Option<String> {
    match value {
        Value::Object(fields) if fields.values().all(is_scalar) => {
            let fields = fields.iter().map(|(n, v)| format!("{n} {}", scalar(v)));
            Some(fields.collect::<Vec<_>>().join(", "))
        }
        Value::Array(items) if items.iter().all(is_scalar) => {
            Some(items.iter().map(scalar).collect::<Vec<_>>().join(", "))
        }
        plain if is_scalar(plain) => Some(scalar(plain)),
        _ => None,
    }
}

fn is_scalar(value: &Value) -> bool {
    !value.is_object() && !value.is_array()
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
