//! Reads, merges and validates the configuration folder that operators maintain.

use std::fs;

use comfreyweir_config::{
    catalog::Catalog,
    folder::{self, FolderError},
    keys,
};
use tempfile::TempDir;

const VALID_CONFIG: &str = r#"
[workspaces.school]
rate = 100
burst = 4000

[models.summary]
version = "3"
memory_mb = 8000
max_output_tokens = 512
workspaces = ["school"]

[adapters.tender]
model = "summary"
version = "1"
memory_mb = 100

[upstreams.engine-1]
kind = "engine"
address = "127.0.0.1:9001"
zone = "mid-a"
memory_mb = 24000

[upstreams.orders-1]
kind = "service"
address = "127.0.0.1:9002"
zone = "mid-a"

[routes.orders]
prefix = "/orders"
upstreams = ["orders-1"]
"#;

fn write_folder(files: &[(&str, &str)]) -> TempDir {
    let dir = TempDir::new().unwrap();
    for (name, text) in files {
        fs::write(dir.path().join(name), text).unwrap();
    }
    dir
}

fn read_catalog(files: &[(&str, &str)]) -> Catalog {
    folder::read(write_folder(files).path()).unwrap()
}

/// Reads an invalid folder and returns its mistakes as `FILE:LINE: TEXT`.
fn mistakes(files: &[(&str, &str)]) -> Vec<String> {
    match folder::read(write_folder(files).path()) {
        Err(FolderError::Mistakes { mistakes }) => mistakes
            .into_iter()
            .map(|m| {
                let file = m
                    .location
                    .file
                    .file_name()
                    .unwrap()
                    .to_string_lossy()
                    .into_owned();
                format!("{file}:{}: {}", m.location.position.line, m.text)
            })
            .collect(),
        other => panic!("expected mistakes: {other:?}"),
    }
}

/// Replaces `from` by `to` in the valid configuration and returns the only mistake that results.
fn single_mistake(from: &str, to: &str) -> String {
    assert!(VALID_CONFIG.contains(from), "{from}");
    let found = mistakes(&[("10.toml", &VALID_CONFIG.replacen(from, to, 1))]);
    assert_eq!(found.len(), 1, "{found:#?}");
    found.into_iter().next().unwrap()
}

#[test]
fn omitted_settings_take_their_defaults() {
    let catalog = read_catalog(&[("10.toml", VALID_CONFIG)]);
    assert_eq!(catalog.models["summary"].replicas, 1);
    assert_eq!(catalog.upstreams["engine-1"].cell, "main");
    assert!(!catalog.routes["orders"].repeatable);
}

#[test]
fn later_file_overrides_single_settings() {
    let later = "[models.summary]\nreplicas = 3\n[upstreams.engine-1]\ndraining = true\n";
    let catalog = read_catalog(&[("20.toml", later), ("10.toml", VALID_CONFIG)]);
    assert_eq!(catalog.models["summary"].replicas, 3);
    assert_eq!(catalog.models["summary"].memory_mb, 8000);
    assert!(catalog.upstreams["engine-1"].draining);
}

#[test]
fn hidden_files_and_other_extensions_are_ignored() {
    let broken = "= nonsense";
    read_catalog(&[
        ("10.toml", VALID_CONFIG),
        (".20.toml", broken),
        ("notes.md", broken),
    ]);
}

#[test]
fn every_mistake_is_reported_at_once() {
    let bad = r#"[models.small]
version = "1"
memry_mb = 3
replicas = "two"
workspaces = ["nobody"]

[keys.k1]
workspace = "school"
sha256 = "abc"

[model.x]
version = "1"
"#;
    let found = mistakes(&[("10.toml", VALID_CONFIG), ("20.toml", bad)]);
    let expected = [
        "20.toml:1: model `small` has no `memory_mb`",
        "20.toml:3: model `small` has an unknown setting `memry_mb`; did you mean `memory_mb`?",
        "20.toml:4: model `small`: `replicas`: invalid type: string \"two\", expected u32",
        "20.toml:5: model `small` names the workspace `nobody`, which is not declared",
        "20.toml:9: key `k1` has a `sha256` that is not 64",
        "20.toml:11: unknown table `model`; did you mean `models`?",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}\n{expected}");
    }
}

#[test]
fn syntax_errors_of_several_files_are_reported() {
    let found = mistakes(&[
        ("10.toml", VALID_CONFIG),
        ("20.toml", "[models.a\nversion = 1\n"),
        ("30.toml", "\n\nx = = 2\n"),
    ]);
    assert!(
        found.iter().any(|m| m.starts_with("20.toml:1: ")),
        "{found:#?}"
    );
    assert!(
        found.iter().any(|m| m.starts_with("30.toml:3: ")),
        "{found:#?}"
    );
}

#[test]
fn setting_given_twice_in_a_file_is_a_mistake() {
    let text = single_mistake("rate = 100", "rate = 100\nrate = 200");
    assert!(text.starts_with("10.toml:4: "), "{text}");
}

/// Text to replace in the valid configuration, its replacement, and the start of the expected
/// mistake.
const INVALID_CHANGES: &[(&str, &str, &str)] = &[
    (
        "rate = 100",
        "rate = 0",
        "10.toml:3: workspace `school` needs `rate` above zero",
    ),
    (
        "burst = 4000",
        "burst = 500",
        "10.toml:4: workspace `school` has a burst of 500 tokens",
    ),
    (
        "memory_mb = 8000",
        "memory_mb = 24001",
        "10.toml:8: model `summary` needs 24001 MB",
    ),
    (
        "memory_mb = 100",
        "memory_mb = 16001",
        "10.toml:15: adapter `tender` needs 24001 MB",
    ),
    (
        "version = \"3\"",
        "version = \"3@4\"",
        "10.toml:7: model `summary` has a version",
    ),
    (
        "model = \"summary\"",
        "model = \"sumary\"",
        "10.toml:13: adapter `tender` extends",
    ),
    (
        "[adapters.tender]",
        "[adapters.summary]",
        "10.toml:12: adapter `summary` has the name",
    ),
    (
        "[models.summary]",
        "[models.\"a b\"]",
        "10.toml:6: model `a b` has a name",
    ),
    (
        "127.0.0.1:9002",
        "127.0.0.1:9001",
        "10.toml:25: upstream `orders-1` has the same",
    ),
    (
        "127.0.0.1:9002",
        "127.0.0.1",
        "10.toml:25: upstream `orders-1`: `address`",
    ),
    (
        "127.0.0.1:9002",
        "0.0.0.0:80",
        "10.toml:25: upstream `orders-1` cannot be reached",
    ),
    (
        "\"service\"",
        "\"server\"",
        "10.toml:24: upstream `orders-1`: `kind`",
    ),
    (
        "\"/orders\"",
        "\"/v1/orders\"",
        "10.toml:29: route `orders` has a `prefix` within /v1",
    ),
    (
        "\"/orders\"",
        "\"/orders/\"",
        "10.toml:29: route `orders` has a `prefix` with an empty",
    ),
    (
        "\"/orders\"",
        "\"orders\"",
        "10.toml:29: route `orders` needs a `prefix` that begins",
    ),
    (
        "[\"orders-1\"]",
        "[\"engine-1\"]",
        "10.toml:30: route `orders` names the upstream",
    ),
    (
        "[\"orders-1\"]",
        "[]",
        "10.toml:30: route `orders` has no upstream",
    ),
    (
        "[\"orders-1\"]",
        "[\"orders-1\"]\ncost = 4001",
        "10.toml:31: route `orders` costs",
    ),
    (
        "[\"orders-1\"]",
        "[\"orders-1\"]\nopen = true\ncost = 1",
        "10.toml:32: route `orders` is open",
    ),
    (
        "[\"orders-1\"]",
        "[\"orders-1\"]\n[routes.other]\nprefix = \"/orders\"\nupstreams = [\"orders-1\"]",
        "10.toml:32: route `other` has the same prefix as route `orders`",
    ),
];

#[test]
fn invalid_settings_are_reported_with_their_line() {
    for (from, to, expected) in INVALID_CHANGES {
        let (from, to, expected) = (*from, *to, *expected);
        let found = if from == "[models.summary]" {
            // Renaming the model also invalidates the adapter's reference to it: a second mistake.
            mistakes(&[("10.toml", &VALID_CONFIG.replacen(from, to, 1))]).remove(0)
        } else {
            single_mistake(from, to)
        };
        assert!(found.starts_with(expected), "{found}\n{expected}");
    }
}

#[test]
fn key_hashes_are_validated() {
    let hash = keys::hex(&keys::hash("cw-one"));
    let key = |id: &str, sha256: &str| {
        format!("[keys.{id}]\nworkspace = \"school\"\nsha256 = \"{sha256}\"\n")
    };
    read_catalog(&[("10.toml", VALID_CONFIG), ("20.toml", &key("k1", &hash))]);
    let twice = key("k1", &hash) + &key("k2", &hash);
    let found = mistakes(&[("10.toml", VALID_CONFIG), ("20.toml", &twice)]);
    assert!(
        found[0].contains("has the same hash as key `k1`"),
        "{found:#?}"
    );
    let unhashed = key("k1", &keys::generate());
    let found = mistakes(&[("10.toml", VALID_CONFIG), ("20.toml", &unhashed)]);
    assert!(
        found[0].contains("holds a key where its hash belongs"),
        "{found:#?}"
    );
    assert!(
        !found[0].contains("cw-"),
        "a message must not repeat the key"
    );
}

#[test]
fn folder_without_settings_files_is_an_error() {
    let dir = write_folder(&[("readme.md", "")]);
    let error = folder::read(dir.path()).unwrap_err();
    assert!(matches!(error, FolderError::Empty { .. }));
}
