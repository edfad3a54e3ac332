//! Processes of a cluster.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use crate::{
    error::{FileSnafu, ProcessSnafu, TestbedError},
    wait::until_some,
};

/// Bytes of a log's end that an error shows.
const LOG_TAIL_BYTES: usize = 4_000;

/// A program with its settings file. Its process is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in kB.
    pub resident_kb: u64,
}

impl Process {
    /// Describes a process that is not started yet.
    pub fn new(name: &str, program: &Path, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            config: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Name in the cluster.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Settings file.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// What it wrote on standard output and standard error so far.
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        log.get(start..).unwrap_or(&log).to_owned()
    }

    /// Starts the program. Its log goes on where it ended.
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

    /// Process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// How it ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), TestbedError> {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        kill_process(pid, signal)
            .map_err(Into::into)
            .context(ProcessSnafu { name: &self.name })
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the end.
    pub async fn terminate(&mut self, limit: Duration) -> Result<ExitStatus, TestbedError> {
        self.signal(Signal::TERM)?;
        let what = format!("end of {} after SIGTERM", self.name);
        let status = until_some(limit, &what, async || self.ended()).await?;
        self.child = None;
        Ok(status)
    }

    /// Processor time and memory so far.
    pub fn usage(&self) -> Result<Usage, TestbedError> {
        let id = self.id().unwrap_or_default();
        let path = PathBuf::from(format!("/proc/{id}/stat"));
        let stat = fs::read_to_string(&path).context(FileSnafu { path })?;
        let path = PathBuf::from(format!("/proc/{id}/status"));
        let status = fs::read_to_string(&path).context(FileSnafu { path })?;
        Ok(Usage {
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

/// User and system time of `/proc/PID/stat`, whose fields follow the name in parentheses.
fn cpu_seconds(stat: &str) -> f64 {
    /// Place of the user time after the name; the system time follows it.
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
