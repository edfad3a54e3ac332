//! Daemon of an entry instance.

use std::process::ExitCode;

use comfreyweir_config::{entry_settings::EntrySettings, settings_file::SettingsFile};
use comfreyweir_core::daemon::{self, Program};
use comfreyweir_platform::HttpPlatform;

const PROGRAM: Program = Program {
    name: "comfreyweir-entry",
    about: "Serves callers of a platform on one entry instance, and plans when it is its turn.",
    defaults: EntrySettings::DEFAULTS,
};

fn main() -> ExitCode {
    daemon::run(
        PROGRAM,
        EntrySettings::read,
        async |settings: EntrySettings| {
            let platform = HttpPlatform::new(settings.store.addr);
            comfreyweir_entry::spawn(settings, platform).await
        },
        comfreyweir_entry::Entry::reload,
        async |entry| entry.stop().await,
    )
}
