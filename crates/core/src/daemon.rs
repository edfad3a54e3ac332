//! Main function shared by the daemons: command line, settings, logging and signals.

use std::{
    ffi::OsString,
    fmt::Display,
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use lexopt::{Arg, Parser};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};

use crate::logging;

/// Exit code after an error while starting or running.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Interval at which the settings file is read again, so that changes are noticed without SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Name and texts of a daemon, for `--help`, `--version` and `--print-defaults`.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the executable.
    pub name: &'static str,
    /// One-line description, for `--help`.
    pub about: &'static str,
    /// Sample settings, for `--print-defaults`.
    pub defaults: &'static str,
}

/// Action selected on the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Command {
    Run(PathBuf),
    Help,
    Version,
    PrintDefaults,
}

/// Error in the command line.
#[derive(Debug)]
#[derive(Snafu)]
enum UsageError {
    #[snafu(display("{source}; try --help"))]
    Arguments { source: lexopt::Error },
    #[snafu(display("no settings: give --config FILE, or see --print-defaults"))]
    NoConfig,
}

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully and returns the exit code.
///
/// `read_settings` loads and checks the settings file, and `spawn` starts the daemon. When the file
/// changes while the daemon runs, with or without SIGHUP, the new settings are checked and passed
/// to `reload`; invalid ones are logged and ignored.
pub fn run<S, ReadError, Handle, SpawnError>(
    program: Program,
    read_settings: impl Fn(&Path) -> Result<S, ReadError>,
    spawn: impl AsyncFnOnce(S) -> Result<Handle, SpawnError>,
    reload: impl Fn(&Handle, S),
    stop: impl AsyncFnOnce(Handle),
) -> ExitCode
where
    S: Clone + PartialEq,
    ReadError: Display,
    SpawnError: Display,
{
    let path = match parse_args(std::env::args_os().skip(1)) {
        Ok(Command::Run(path)) => path,
        Ok(command) => return print_text(program, &command),
        Err(e) => return report_error(program, &e, EXIT_USAGE),
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(e) => return report_error(program, &e, EXIT_USAGE),
    };
    let log = match logging::init(logging::Verbosity::Info) {
        Ok(log) => log,
        Err(e) => return report_error(program, &e, EXIT_FAILED),
    };
    actix_rt::System::new().block_on(async {
        let settings_file = WatchedSettingsFile {
            path,
            read_settings,
            current: settings.clone(),
        };
        match serve(program, spawn(settings), settings_file, reload, stop).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                log.write_text(&format!("{}: {e}", program.name));
                ExitCode::from(EXIT_FAILED)
            }
        }
    })
}

async fn serve<S, ReadError, Handle, SpawnError>(
    program: Program,
    spawning: impl Future<Output = Result<Handle, SpawnError>>,
    mut settings_file: WatchedSettingsFile<S, impl Fn(&Path) -> Result<S, ReadError>>,
    reload: impl Fn(&Handle, S),
    stop: impl AsyncFnOnce(Handle),
) -> Result<(), String>
where
    S: Clone + PartialEq,
    ReadError: Display,
    SpawnError: Display,
{
    // Registered before the daemon starts, so that a signal during start also stops it gracefully.
    let mut stop_signals = StopSignals::register().map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let handle = spawning.await.map_err(|e| e.to_string())?;
    spdlog::info!("{} started", program.name);
    loop {
        tokio::select! {
            () = stop_signals.wait() => break,
            _ = hangup.recv() => spdlog::info!("SIGHUP received; reading the settings again"),
            () = actix_rt::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        if let Some(settings) = settings_file.read_if_changed() {
            reload(&handle, settings);
        }
    }
    spdlog::info!("{} is stopping", program.name);
    stop(handle).await;
    spdlog::info!("{} stopped", program.name);
    Ok(())
}

/// Settings file of a running daemon and the settings last read from it.
struct WatchedSettingsFile<S, R> {
    path: PathBuf,
    read_settings: R,
    current: S,
}

impl<S, R, ReadError> WatchedSettingsFile<S, R>
where
    S: Clone + PartialEq,
    R: Fn(&Path) -> Result<S, ReadError>,
    ReadError: Display,
{
    /// Reads the file and returns its settings if they are valid and differ from the last valid
    /// ones. Logs an error if the file cannot be read or is invalid.
    fn read_if_changed(&mut self) -> Option<S> {
        match (self.read_settings)(&self.path) {
            Ok(settings) if settings == self.current => None,
            Ok(settings) => {
                self.current = settings.clone();
                Some(settings)
            }
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("cannot load the settings; keeping those in force", kv: {
                    reason = reason.as_str()
                });
                None
            }
        }
    }
}

/// Listens for SIGTERM and SIGINT, which no longer end the process once this is registered.
pub struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl StopSignals {
    /// Registers the signal handlers. Must be called within a Tokio runtime.
    pub fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn parse_args(args: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
    let mut parser = Parser::from_args(args);
    let mut config = None;
    while let Some(arg) = parser.next().context(ArgumentsSnafu)? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            Arg::Long("print-defaults") => return Ok(Command::PrintDefaults),
            Arg::Short('c') | Arg::Long("config") => {
                config = Some(PathBuf::from(parser.value().context(ArgumentsSnafu)?));
            }
            other => return Err(other.unexpected()).context(ArgumentsSnafu),
        }
    }
    config.map(Command::Run).ok_or(UsageError::NoConfig)
}

fn print_text(program: Program, command: &Command) -> ExitCode {
    match command {
        Command::PrintDefaults => print!("{}", program.defaults),
        Command::Version => println!("{} {}", program.name, env!("CARGO_PKG_VERSION")),
        Command::Help | Command::Run(_) => print!("{}", help_text(program)),
    }
    ExitCode::SUCCESS
}

fn help_text(program: Program) -> String {
    let Program { name, about, .. } = program;
    format!(
        "{name} {version}
{about}

USAGE:
    {name} --config FILE

OPTIONS:
    -c, --config FILE
        Settings of this process, in TOML. They are checked before anything is started.
    --print-defaults
        Print sample settings with all defaults, and exit.
    -V, --version
        Print the version, and exit.
    -h, --help
        Print this help, and exit.

SIGNALS:
    SIGTERM and SIGINT stop the process gracefully: it takes no new work, finishes what it has
    and exits with code 0. SIGHUP makes it read its settings again at once.

EXIT CODES:
    0   stopped as asked
    1   failed while running
    2   the command line or the settings are wrong
",
        version = env!("CARGO_PKG_VERSION"),
    )
}

/// Reports an error on standard error, directly: only before the log is set up.
fn report_error<E>(program: Program, e: &E, code: u8) -> ExitCode
where
    E: Display,
{
    eprintln!("{}: {e}", program.name);
    ExitCode::from(code)
}

/// Logs that changed settings need a restart. For daemons that cannot reload their settings.
pub fn log_restart_needed() {
    spdlog::warn!("settings have changed; restart the process to apply them");
}
