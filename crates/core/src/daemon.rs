//! What the mains of the daemons have in common: command line, settings, logs and signals.

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

/// Exit code after an error while running.
pub const EXIT_FAILED: u8 = 1;
/// Exit code after a mistake on the command line or in the settings.
pub const EXIT_USAGE: u8 = 2;

/// Period of looking whether the settings have changed: they may do so without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Names and texts of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// What it does, for `--help`.
    pub about: &'static str,
    /// Sample settings, for `--print-defaults`.
    pub defaults: &'static str,
}

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Command {
    Run(PathBuf),
    Help,
    Version,
    PrintDefaults,
}

/// Why the command line cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
enum UsageError {
    #[snafu(display("{source}; try --help"))]
    Arguments { source: lexopt::Error },
    #[snafu(display("no settings: give --config FILE, or see --print-defaults"))]
    NoConfig,
}

/// Runs a daemon to its end: reads the command line and the settings, spawns, waits for SIGTERM
/// or SIGINT, and stops gracefully. Settings that change meanwhile, with or without SIGHUP, are
/// checked and handed to `reload`.
pub fn run<S, ReadError, Handle, SpawnError>(
    program: Program,
    read: impl Fn(&Path) -> Result<S, ReadError>,
    spawn: impl AsyncFnOnce(S) -> Result<Handle, SpawnError>,
    reload: impl Fn(&Handle, S),
    stop: impl AsyncFnOnce(Handle),
) -> ExitCode
where
    S: Clone + PartialEq,
    ReadError: Display,
    SpawnError: Display,
{
    let path = match parse(std::env::args_os().skip(1)) {
        Ok(Command::Run(path)) => path,
        Ok(command) => return print(program, &command),
        Err(e) => return fail(program, &e, EXIT_USAGE),
    };
    let settings = match read(&path) {
        Ok(settings) => settings,
        Err(e) => return fail(program, &e, EXIT_USAGE),
    };
    if let Err(e) = logging::init(logging::Detail::Info) {
        return fail(program, &e, EXIT_FAILED);
    }
    actix_rt::System::new().block_on(async {
        let file = SettingsFile {
            path,
            read,
            current: settings.clone(),
        };
        match serve(program, spawn(settings), file, reload, stop).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(program, &e, EXIT_FAILED),
        }
    })
}

async fn serve<S, ReadError, Handle, SpawnError>(
    program: Program,
    spawning: impl Future<Output = Result<Handle, SpawnError>>,
    mut file: SettingsFile<S, impl Fn(&Path) -> Result<S, ReadError>>,
    reload: impl Fn(&Handle, S),
    stop: impl AsyncFnOnce(Handle),
) -> Result<(), String>
where
    S: Clone + PartialEq,
    ReadError: Display,
    SpawnError: Display,
{
    // Registered first: a signal during start must still end in a graceful stop.
    let mut stopping = StopSignals::register().map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let handle = spawning.await.map_err(|e| e.to_string())?;
    spdlog::info!("{} runs", program.name);
    loop {
        tokio::select! {
            () = stopping.wait() => break,
            _ = hangup.recv() => spdlog::info!("SIGHUP: settings are read again"),
            () = actix_rt::time::sleep(SETTINGS_PERIOD) => {}
        }
        if let Some(settings) = file.changed() {
            reload(&handle, settings);
        }
    }
    spdlog::info!("{} stops", program.name);
    stop(handle).await;
    spdlog::info!("{} has stopped", program.name);
    Ok(())
}

/// The settings file of a running process.
struct SettingsFile<S, R> {
    path: PathBuf,
    read: R,
    current: S,
}

impl<S, R, ReadError> SettingsFile<S, R>
where
    S: Clone + PartialEq,
    R: Fn(&Path) -> Result<S, ReadError>,
    ReadError: Display,
{
    /// Settings that are valid and differ from those in force.
    fn changed(&mut self) -> Option<S> {
        match (self.read)(&self.path) {
            Ok(settings) if settings == self.current => None,
            Ok(settings) => {
                self.current = settings.clone();
                Some(settings)
            }
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("settings cannot be used; those in force stay", kv: {
                    reason = reason.as_str()
                });
                None
            }
        }
    }
}

/// SIGTERM and SIGINT, from the moment they are registered.
pub struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl StopSignals {
    /// Starts to listen for the signals.
    pub fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Completes on the first of the signals.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
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

fn print(program: Program, command: &Command) -> ExitCode {
    match command {
        Command::PrintDefaults => print!("{}", program.defaults),
        Command::Version => println!("{} {}", program.name, env!("CARGO_PKG_VERSION")),
        Command::Help | Command::Run(_) => print!("{}", help(program)),
    }
    ExitCode::SUCCESS
}

fn help(program: Program) -> String {
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

fn fail<E>(program: Program, e: &E, code: u8) -> ExitCode
where
    E: Display,
{
    eprintln!("{}: {e}", program.name);
    ExitCode::from(code)
}

/// Tells that changed settings are not taken over by a running process.
pub fn log_restart_needed() {
    spdlog::warn!("settings have changed; they take effect when the process is started again");
}
