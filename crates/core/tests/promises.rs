//! `docs/PROMISES.md` names only tests and files that exist.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Texts between backticks.
fn code_spans(markdown: &str) -> Vec<&str> {
    markdown.split('`').skip(1).step_by(2).collect()
}

/// Whether a text looks like a test name: lower case, with at least three underscores.
fn is_test_name(text: &str) -> bool {
    let is_word = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    text.matches('_').count() >= 3 && text.chars().all(is_word)
}

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Names of all functions in the `tests` folders of the crates and of the platform package.
fn test_functions() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let crates = fs::read_dir(repository_root().join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    for tests in crates
        .chain([repository_root().join("platform")])
        .map(|c| c.join("tests"))
    {
        let mut files = Vec::new();
        if tests.is_dir() {
            rust_files(&tests, &mut files);
        }
        for file in files {
            let text = fs::read_to_string(file).unwrap();
            let lines = text.lines().map(str::trim_start);
            let functions = lines.filter_map(|line| {
                let line = line.strip_prefix("async ").unwrap_or(line);
                line.strip_prefix("fn ")?.split('(').next()
            });
            names.extend(functions.map(str::to_owned));
        }
    }
    names
}

#[test]
fn promises_name_only_existing_tests_and_files() {
    let markdown = fs::read_to_string(repository_root().join("docs/PROMISES.md")).unwrap();
    let functions = test_functions();
    let spans = code_spans(&markdown);
    let named: Vec<_> = spans.iter().filter(|text| is_test_name(text)).collect();
    assert!(named.len() >= 13, "fewer than 13 test names found");
    for name in named {
        assert!(functions.contains(*name), "no test is called {name}");
    }
    let is_path = |text: &&&str| {
        ["crates/", "docs/", "platform/"]
            .iter()
            .any(|start| text.starts_with(start))
    };
    for path in spans.iter().filter(is_path) {
        assert!(repository_root().join(path).exists(), "no file {path}");
    }
}
