//! Gate daemon.

use std::process::ExitCode;

use comfreyweir_config::{settings::GateSettings, settings_file::SettingsFile};
use comfreyweir_core::daemon::{self, Program};

const PROGRAM: Program = Program {
    name: "comfreyweir-gate",
    about: "Authenticates, admits, queues, routes and streams requests from callers to upstreams.",
    defaults: GateSettings::DEFAULTS,
};

fn main() -> ExitCode {
    daemon::run(
        PROGRAM,
        GateSettings::read,
        comfreyweir_gate::spawn,
        |_, _| daemon::log_restart_needed(),
        async |gate| gate.stop().await,
    )
}
