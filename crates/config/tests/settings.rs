//! Reads the settings files of the daemons.

use std::{fmt::Debug, fs, path::Path};

use comfreyweir_config::{
    entry_settings::EntrySettings,
    settings::{GateSettings, PlannerSettings, RequestLimits},
    settings_file::{SettingsError, SettingsFile},
};
use serde::{Serialize, de::DeserializeOwned};
use tempfile::NamedTempFile;

fn write_settings(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    fs::write(file.path(), text).unwrap();
    file
}

fn read_gate(text: &str) -> Result<GateSettings, SettingsError> {
    GateSettings::read(write_settings(text).path())
}

/// Uncomments the commented-out settings (`#name = ...`), but not the explanations (`# ...`).
fn uncomment_entries(sample: &str) -> String {
    let line = |line: &str| match line.strip_prefix('#') {
        Some(entry) if !entry.starts_with(' ') => entry.to_owned(),
        _ => line.to_owned(),
    };
    sample.lines().map(|l| line(l) + "\n").collect()
}

/// Checks that the sample lists every setting with its default value.
fn assert_sample_is_complete<S>(sample: &str, read_settings: fn(&Path) -> Result<S, SettingsError>)
where
    S: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let defaults = read_settings(write_settings(sample).path()).unwrap();
    let explicit = read_settings(write_settings(&uncomment_entries(sample)).path()).unwrap();
    assert_eq!(defaults, explicit);
    let all_settings = toml::Table::try_from(&defaults).unwrap();
    let in_sample: toml::Table = toml::from_str(&uncomment_entries(sample)).unwrap();
    assert_eq!(all_settings, in_sample);
}

#[test]
fn samples_show_every_setting_and_its_default() {
    assert_sample_is_complete(GateSettings::DEFAULTS, GateSettings::read);
    assert_sample_is_complete(PlannerSettings::DEFAULTS, PlannerSettings::read);
    assert_sample_is_complete(EntrySettings::DEFAULTS, EntrySettings::read);
}

#[test]
fn unknown_setting_is_named_with_file_and_line() {
    let text = GateSettings::DEFAULTS.replace("[limits]", "[limits]\nwaitng = 3");
    let line = text.lines().position(|l| l == "waitng = 3").unwrap() + 1;
    let error = read_gate(&text).unwrap_err().to_string();
    assert!(error.contains(&format!(":{line}:1: ")), "{error}");
    assert!(error.contains("waitng"), "{error}");
}

#[test]
fn invalid_settings_are_reported_together() {
    let mut settings = read_gate(GateSettings::DEFAULTS).unwrap();
    settings.admin = settings.listen;
    settings.timing.cut_off_ms = settings.timing.contact_ms;
    settings.limits = RequestLimits {
        waiting: 0,
        deadline_ms: 700_000,
        ..RequestLimits::default()
    };
    let mistakes = settings.mistakes().join("\n");
    for part in [
        "listen and admin are both 127.0.0.1:8080",
        "timing.cut_off_ms",
        "limits.waiting",
        "limits.max_deadline_ms",
    ] {
        assert!(mistakes.contains(part), "{part} is not in {mistakes}");
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = PlannerSettings::read(Path::new("/nonexistent/planner.toml")).unwrap_err();
    assert!(error.to_string().contains("/nonexistent/planner.toml"));
}
