//! Child processes of a cluster.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use crate::{
    error::{FileSnafu, ProcessSnafu, TestbedError},
    wait::until_some,
};

/// Time in which a process that got SIGSTOP stops.
const STOP_LIMIT: Duration = Duration::from_secs(5);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Length of the end of a log that an error message shows.
const LOG_TAIL_BYTES: usize = 4_000;

/// A program with its settings and log files, and its child process while it runs. Dropping it
/// kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// User plus system time since the process started, in seconds.
    pub cpu_seconds: f64,
    /// Resident set size, in kB.
    pub resident_kb: u64,
}

impl Process {
    /// A process that is not started yet, with settings in `NAME.toml` and log in `NAME.log` in the
    /// folder. The caller writes the settings.
    pub fn new(name: &str, program: &Path, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            config: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Name of the process in its cluster, such as `gate-0`.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Path of the settings file.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// All that the process wrote to standard output and standard error, over all its starts. Empty
    /// if the log cannot be read.
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The last 4000 bytes of the log. All of it if it is shorter, or if the cut would split a
    /// character.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        log.get(start..).unwrap_or(&log).to_owned()
    }

    /// Starts the program and appends its output to the log.
    pub fn start(&mut self) -> Result<(), TestbedError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.context(FileSnafu { path: &self.log })?;
        let out = log.try_clone().context(FileSnafu { path: &self.log })?;
        let started = Command::new(&self.program)
            .arg("--config")
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log)
            .spawn();
        self.child = Some(started.context(ProcessSnafu { name: &self.name })?);
        Ok(())
    }

    /// Id of the started process; `None` before the start and after the process was waited for by
    /// `kill` or `terminate`.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Exit status of a started process that has exited; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Sends a signal. Does nothing if no process was started.
    pub fn signal(&self, signal: Signal) -> Result<(), TestbedError> {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        kill_process(pid, signal)
            .map_err(Into::into)
            .context(ProcessSnafu { name: &self.name })
    }

    /// Sends SIGSTOP and waits until no thread of the process runs any more.
    pub fn freeze(&self) -> Result<(), TestbedError> {
        self.signal(Signal::STOP)?;
        let deadline = Instant::now() + STOP_LIMIT;
        while self.is_running() {
            if Instant::now() >= deadline {
                let source = io::ErrorKind::TimedOut.into();
                return Err(source).context(ProcessSnafu { name: &self.name });
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether a thread of the process is neither stopped nor gone.
    fn is_running(&self) -> bool {
        let Some(id) = self.id() else { return false };
        let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
            return false;
        };
        threads.flatten().any(|thread| {
            let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the name of the program, which is in parentheses.
            let state = stat
                .rsplit_once(") ")
                .and_then(|(_, rest)| rest.chars().next());
            state.is_some_and(|state| !matches!(state, 'T' | 't' | 'Z' | 'X'))
        })
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits at most `limit` for the exit.
    pub async fn terminate(&mut self, limit: Duration) -> Result<ExitStatus, TestbedError> {
        self.signal(Signal::TERM)?;
        let what = format!("end of {} after SIGTERM", self.name);
        let status = until_some(limit, &what, async || self.exit_status()).await?;
        self.child = None;
        Ok(status)
    }

    /// CPU time so far and current memory, read from `/proc`.
    pub fn usage(&self) -> Result<ProcessUsage, TestbedError> {
        let id = self.id().unwrap_or_default();
        let path = PathBuf::from(format!("/proc/{id}/stat"));
        let stat = fs::read_to_string(&path).context(FileSnafu { path })?;
        let path = PathBuf::from(format!("/proc/{id}/status"));
        let status = fs::read_to_string(&path).context(FileSnafu { path })?;
        Ok(ProcessUsage {
            cpu_seconds: cpu_seconds(&stat),
            resident_kb: resident_kb(&status),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// User plus system time from the text of `/proc/PID/stat`. The program's name, in parentheses, may
/// hold spaces, so fields are counted after its closing parenthesis.
fn cpu_seconds(stat: &str) -> f64 {
    /// Index of the user time among the fields after the name; the system time follows it.
    const USER_TIME: usize = 11;
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(USER_TIME).take(2);
    let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    #[allow(clippy::cast_precision_loss)]
    let seconds = ticks as f64 / ticks_per_second as f64;
    seconds
}

fn resident_kb(status: &str) -> u64 {
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
