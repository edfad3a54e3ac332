//! Reading the settings of the daemons.

use std::{fmt::Debug, fs, path::Path};

use comfreyweir_config::{
    entry_settings::EntrySettings,
    settings::{GateSettings, Limits, PlannerSettings},
    settings_file::{SettingsError, SettingsFile},
};
use serde::{Serialize, de::DeserializeOwned};
use tempfile::NamedTempFile;

fn file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    fs::write(file.path(), text).unwrap();
    file
}

fn read_gate(text: &str) -> Result<GateSettings, SettingsError> {
    GateSettings::read(file(text).path())
}

/// Removes the comment marks of the entries, but not of the explanations.
fn uncommented(sample: &str) -> String {
    let line = |line: &str| match line.strip_prefix('#') {
        Some(entry) if !entry.starts_with(' ') => entry.to_owned(),
        _ => line.to_owned(),
    };
    sample.lines().map(|l| line(l) + "\n").collect()
}

/// The sample shows every setting with the value it has when it is left out.
fn sample_is_complete<S>(sample: &str, read: fn(&Path) -> Result<S, SettingsError>)
where
    S: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let implied = read(file(sample).path()).unwrap();
    let shown = read(file(&uncommented(sample)).path()).unwrap();
    assert_eq!(implied, shown);
    let all = toml::Table::try_from(&implied).unwrap();
    let in_sample: toml::Table = toml::from_str(&uncommented(sample)).unwrap();
    assert_eq!(all, in_sample);
}

#[test]
fn samples_show_every_setting_and_its_default() {
    sample_is_complete(GateSettings::DEFAULTS, GateSettings::read);
    sample_is_complete(PlannerSettings::DEFAULTS, PlannerSettings::read);
    sample_is_complete(EntrySettings::DEFAULTS, EntrySettings::read);
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
fn settings_that_cannot_work_are_reported_together() {
    let mut settings = read_gate(GateSettings::DEFAULTS).unwrap();
    settings.admin = settings.listen;
    settings.timing.cut_off_ms = settings.timing.contact_ms;
    settings.limits = Limits {
        waiting: 0,
        deadline_ms: 700_000,
        ..Limits::default()
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
fn missing_file_is_named() {
    let error = PlannerSettings::read(Path::new("/nonexistent/planner.toml")).unwrap_err();
    assert!(error.to_string().contains("/nonexistent/planner.toml"));
}
