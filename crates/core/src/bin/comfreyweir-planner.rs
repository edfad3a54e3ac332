//! Planner daemon.

use std::process::ExitCode;

use comfreyweir_config::{settings::PlannerSettings, settings_file::SettingsFile};
use comfreyweir_core::daemon::{self, Program};

const PROGRAM: Program = Program {
    name: "comfreyweir-planner",
    about: "Decides which upstream holds which model, adapter and version, and orders it.",
    defaults: PlannerSettings::DEFAULTS,
};

fn main() -> ExitCode {
    daemon::run(
        PROGRAM,
        PlannerSettings::read,
        comfreyweir_planner::spawn,
        |_, _| daemon::log_restart_needed(),
        async |planner| planner.stop().await,
    )
}
