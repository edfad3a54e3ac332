//! Reads and checks the settings file of a daemon.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    location::Position,
    settings::{GateSettings, InstanceSettings, PlannerSettings},
};

/// Why the settings of a daemon cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {} cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid TOML, or its settings are unknown, missing or of the wrong type.
    #[snafu(display(
        "{}:{position}: {message}; --print-defaults shows all settings",
        path.display()
    ))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Position in the file.
        position: Position,
        /// Message of the TOML parser.
        message: String,
    },
    /// Some settings have values that cannot work. All of them are reported together.
    #[snafu(display("settings file {}: {}", path.display(), mistakes.join("; ")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// One message for each mistake.
        mistakes: Vec<String>,
    },
}

/// Settings that a daemon reads from a TOML file.
pub trait SettingsFile: DeserializeOwned {
    /// Sample file that shows every setting, with those that have a default commented out.
    const DEFAULTS: &'static str;

    /// Checks the values and returns one message for each that cannot work.
    fn mistakes(&self) -> Vec<String>;

    /// Reads and checks a settings file.
    fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = parse(path)?;
        let mistakes = settings.mistakes();
        ensure!(mistakes.is_empty(), InvalidSnafu { path, mistakes });
        Ok(settings)
    }
}

impl SettingsFile for GateSettings {
    const DEFAULTS: &'static str = include_str!("gate_defaults.toml");

    fn mistakes(&self) -> Vec<String> {
        let mut check = SettingsCheck::default();
        check.require_instance_names(&self.instance);
        check.require_distinct_addresses(&[
            ("listen", self.listen),
            ("admin", self.admin),
            ("peer", self.peer),
            ("planner", self.planner),
            ("instance.kv", self.instance.kv),
            ("instance.instances", self.instance.instances),
        ]);
        check.require_fixed_port("peer", self.peer);
        check.require_fixed_port("planner", self.planner);
        check.require_valid_limits(self);
        check.require_valid_timing(self);
        check.0
    }
}

impl SettingsFile for PlannerSettings {
    const DEFAULTS: &'static str = include_str!("planner_defaults.toml");

    fn mistakes(&self) -> Vec<String> {
        let mut check = SettingsCheck::default();
        check.require_instance_names(&self.instance);
        check.require_distinct_addresses(&[
            ("admin", self.admin),
            ("peer", self.peer),
            ("instance.kv", self.instance.kv),
            ("instance.instances", self.instance.instances),
        ]);
        check.require_fixed_port("peer", self.peer);
        let timing = &self.timing;
        check.require_positive("timing.lease_ms", timing.lease_ms);
        check.require_positive("timing.margin_ms", timing.margin_ms);
        check.require_positive("timing.report_ms", timing.report_ms);
        check.require(
            timing.margin_ms.saturating_mul(2) <= timing.lease_ms,
            "timing.margin_ms must be at most half of timing.lease_ms, or the holder of a lease \
             can hardly use it",
        );
        check.0
    }
}

fn parse<S>(path: &Path) -> Result<S, SettingsError>
where
    S: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).map_err(|e| SettingsError::Parse {
        path: path.to_owned(),
        position: Position::from_offset(&text, e.span().map_or(0, |span| span.start)),
        message: e.message().to_owned(),
    })
}

/// Checks values of settings and collects a message for each mistake.
#[derive(Default)]
pub(crate) struct SettingsCheck(pub(crate) Vec<String>);

impl SettingsCheck {
    /// Adds `mistake` unless `holds`.
    pub(crate) fn require(&mut self, holds: bool, mistake: &str) {
        if !holds {
            self.0.push(mistake.to_owned());
        }
    }

    pub(crate) fn require_positive(&mut self, name: &str, value: u64) {
        self.require(value > 0, &format!("{name} must be above zero"));
    }

    fn require_instance_names(&mut self, instance: &InstanceSettings) {
        let is_not_blank = |text: &str| !text.trim().is_empty();
        self.require(is_not_blank(&instance.name), "instance.name is empty");
        self.require(is_not_blank(&instance.zone), "instance.zone is empty");
    }

    /// Reports addresses that are the same, since two servers cannot share one. Port 0 is exempt:
    /// it stands for any free port.
    pub(crate) fn require_distinct_addresses(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (i, (name, addr)) in addresses.iter().enumerate() {
            for (other_name, other_addr) in &addresses[i + 1..] {
                if addr == other_addr && addr.port() != 0 {
                    self.0
                        .push(format!("{name} and {other_name} are both {addr}"));
                }
            }
        }
    }

    /// Reports port 0 in an address by which other processes find this one.
    pub(crate) fn require_fixed_port(&mut self, name: &str, addr: SocketAddr) {
        self.require(
            addr.port() != 0,
            &format!("{name} needs a port other than 0"),
        );
    }

    fn require_valid_limits(&mut self, settings: &GateSettings) {
        let limits = &settings.limits;
        let counts = [
            ("limits.body_bytes", limits.body_bytes),
            ("limits.waiting", limits.waiting),
            ("limits.connections", limits.connections),
        ];
        for (name, count) in counts {
            self.require(count > 0, &format!("{name} must be above zero"));
        }
        self.require_positive("limits.deadline_ms", limits.deadline_ms);
        self.require_positive("limits.head_ms", limits.head_ms);
        self.require_positive("limits.stall_ms", limits.stall_ms);
        self.require(
            limits.deadline_ms <= limits.max_deadline_ms,
            "limits.deadline_ms must not exceed limits.max_deadline_ms",
        );
    }

    fn require_valid_timing(&mut self, settings: &GateSettings) {
        let timing = &settings.timing;
        self.require_positive("timing.contact_ms", timing.contact_ms);
        self.require(
            timing.contact_ms.saturating_mul(4) <= timing.cut_off_ms,
            "timing.cut_off_ms must be at least four times timing.contact_ms, or a single lost \
             answer cuts the gate off",
        );
        self.require(
            timing.share_lapse_ms > timing.cut_off_ms,
            "timing.share_lapse_ms must exceed timing.cut_off_ms",
        );
    }
}
