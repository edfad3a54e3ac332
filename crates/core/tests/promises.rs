//! The page of promises names only tests and files that exist.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Texts between back quotes.
fn quoted(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

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

/// Names of the functions in all test files.
fn test_functions() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let crates = fs::read_dir(root().join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    for tests in crates
        .chain([root().join("platform")])
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
fn promises_name_only_what_exists() {
    let page = fs::read_to_string(root().join("docs/PROMISES.md")).unwrap();
    let functions = test_functions();
    let texts = quoted(&page);
    let named: Vec<_> = texts.iter().filter(|text| is_test_name(text)).collect();
    assert!(named.len() >= 13, "every promise names a test");
    for name in named {
        assert!(functions.contains(*name), "no test is called {name}");
    }
    let is_path = |text: &&&str| {
        ["crates/", "docs/", "platform/"]
            .iter()
            .any(|start| text.starts_with(start))
    };
    for path in texts.iter().filter(is_path) {
        assert!(root().join(path).exists(), "no file {path}");
    }
}
