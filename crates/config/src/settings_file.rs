//! Reading the settings of a daemon.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    location::Position,
    settings::{GateSettings, Instance, PlannerSettings},
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
        /// What failed.
        source: io::Error,
    },
    /// The file is not TOML, or does not have the settings that the daemon takes.
    #[snafu(display("{}:{position}: {message}; --print-defaults shows all settings", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where in the file.
        position: Position,
        /// What is wrong.
        message: String,
    },
    /// Settings that cannot work, all of them.
    #[snafu(display("settings file {}: {}", path.display(), mistakes.join("; ")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        mistakes: Vec<String>,
    },
}

/// Settings of a daemon, which it reads from a file.
pub trait SettingsFile: DeserializeOwned {
    /// Sample settings with all defaults.
    const DEFAULTS: &'static str;

    /// Settings that cannot work.
    fn mistakes(&self) -> Vec<String>;

    /// Reads and checks the settings in a file.
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
        let mut mistakes = Mistakes::default();
        mistakes.instance(&self.instance);
        mistakes.addresses(&[
            ("listen", self.listen),
            ("admin", self.admin),
            ("peer", self.peer),
            ("planner", self.planner),
            ("instance.kv", self.instance.kv),
            ("instance.instances", self.instance.instances),
        ]);
        mistakes.fixed_port("peer", self.peer);
        mistakes.fixed_port("planner", self.planner);
        mistakes.gate_limits(self);
        mistakes.gate_timing(self);
        mistakes.0
    }
}

impl SettingsFile for PlannerSettings {
    const DEFAULTS: &'static str = include_str!("planner_defaults.toml");

    fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Mistakes::default();
        mistakes.instance(&self.instance);
        mistakes.addresses(&[
            ("admin", self.admin),
            ("peer", self.peer),
            ("instance.kv", self.instance.kv),
            ("instance.instances", self.instance.instances),
        ]);
        mistakes.fixed_port("peer", self.peer);
        let timing = &self.timing;
        mistakes.positive("timing.lease_ms", timing.lease_ms);
        mistakes.positive("timing.margin_ms", timing.margin_ms);
        mistakes.positive("timing.report_ms", timing.report_ms);
        mistakes.unless(
            timing.margin_ms.saturating_mul(2) <= timing.lease_ms,
            "timing.margin_ms must be at most half of timing.lease_ms, or the holder of a lease \
             can hardly use it",
        );
        mistakes.0
    }
}

fn parse<S>(path: &Path) -> Result<S, SettingsError>
where
    S: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).map_err(|e| SettingsError::Parse {
        path: path.to_owned(),
        position: Position::of(&text, e.span().map_or(0, |span| span.start)),
        message: e.message().to_owned(),
    })
}

#[derive(Default)]
pub(crate) struct Mistakes(pub(crate) Vec<String>);

impl Mistakes {
    pub(crate) fn unless(&mut self, holds: bool, mistake: &str) {
        if !holds {
            self.0.push(mistake.to_owned());
        }
    }

    pub(crate) fn positive(&mut self, name: &str, value: u64) {
        self.unless(value > 0, &format!("{name} must be above zero"));
    }

    fn instance(&mut self, instance: &Instance) {
        let named = |text: &str| !text.trim().is_empty();
        self.unless(named(&instance.name), "instance.name is empty");
        self.unless(named(&instance.zone), "instance.zone is empty");
    }

    /// Two servers cannot share an address. Port zero stands for any free port.
    pub(crate) fn addresses(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (i, (name, addr)) in addresses.iter().enumerate() {
            for (other, same) in &addresses[i + 1..] {
                if addr == same && addr.port() != 0 {
                    self.0.push(format!("{name} and {other} are both {addr}"));
                }
            }
        }
    }

    /// Other processes find this one by its address.
    pub(crate) fn fixed_port(&mut self, name: &str, addr: SocketAddr) {
        self.unless(
            addr.port() != 0,
            &format!("{name} needs a port other than 0"),
        );
    }

    fn gate_limits(&mut self, settings: &GateSettings) {
        let limits = &settings.limits;
        let counts = [
            ("limits.body_bytes", limits.body_bytes),
            ("limits.waiting", limits.waiting),
            ("limits.connections", limits.connections),
        ];
        for (name, count) in counts {
            self.unless(count > 0, &format!("{name} must be above zero"));
        }
        self.positive("limits.deadline_ms", limits.deadline_ms);
        self.positive("limits.head_ms", limits.head_ms);
        self.positive("limits.stall_ms", limits.stall_ms);
        self.unless(
            limits.deadline_ms <= limits.max_deadline_ms,
            "limits.deadline_ms must not exceed limits.max_deadline_ms",
        );
    }

    fn gate_timing(&mut self, settings: &GateSettings) {
        let timing = &settings.timing;
        self.positive("timing.contact_ms", timing.contact_ms);
        self.unless(
            timing.contact_ms.saturating_mul(4) <= timing.cut_off_ms,
            "timing.cut_off_ms must be at least four times timing.contact_ms, or a single lost \
             answer cuts the gate off",
        );
        self.unless(
            timing.share_lapse_ms > timing.cut_off_ms,
            "timing.share_lapse_ms must exceed timing.cut_off_ms",
        );
    }
}
