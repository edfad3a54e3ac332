//! A daemon whose log is not read goes on.

use std::{
    fs,
    io::{PipeReader, Read, Write},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use comfreyweir_testbed::LoopbackBlock;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Capacity of a pipe, in bytes.
const PIPE_BYTES: usize = 64 << 10;
/// Time within which the daemon starts, and answers an operator.
const LIMIT: Duration = Duration::from_secs(10);
/// Time in which requests are finished at a planned stop, in seconds.
const GRACE_S: u64 = 2;
/// Time for which the daemon still accepts requests at a planned stop, in ms.
const STOP_NOTICE_MS: u64 = 500;

/// A daemon whose standard output and standard error are one pipe.
struct Daemon {
    child: Child,
    output: Option<PipeReader>,
    admin: SocketAddr,
    _folder: TempDir,
    _block: LoopbackBlock,
}

impl Daemon {
    /// Starts a daemon whose store is out of reach. `filled` are the bytes that the pipe holds by then.
    fn start(filled: usize) -> Self {
        let block = LoopbackBlock::claim().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let config = folder.path().join("entry.toml");
        let addr = |port| block.addr(10, port);
        let text = format!(
            "[instance]\nname = \"e1\"\nzone = \"a\"\n\n[listen]\ncallers = \"{}\"\nready = \"{}\"\n\
             peer = \"{}\"\nadmin = \"{}\"\n\n[store]\naddr = \"{}\"\n\n[timing]\ngrace_s = {GRACE_S}.0\n\
             stop_notice_ms = {STOP_NOTICE_MS}\n",
            addr(8_080),
            addr(8_081),
            addr(8_082),
            addr(8_083),
            addr(7_000),
        );
        fs::write(&config, text).unwrap();
        let (reader, mut writer) = std::io::pipe().unwrap();
        writer.write_all(&vec![b'\n'; filled]).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_comfreyweir-entry"))
            .args(["--config".as_ref(), config.as_os_str()])
            .stdin(Stdio::null())
            .stdout(writer.try_clone().unwrap())
            .stderr(writer)
            .spawn()
            .unwrap();
        Self {
            child,
            output: Some(reader),
            admin: addr(8_083),
            _folder: folder,
            _block: block,
        }
    }

    /// The answer to an operator's request for the metrics, within [`LIMIT`].
    async fn metrics(&self) -> Option<String> {
        let began = Instant::now();
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(1))
            .finish();
        let url = format!("http://{}/metrics", self.admin);
        while began.elapsed() < LIMIT {
            if let Ok(mut res) = http.get(&url).send().await {
                let body = res.body().await.ok()?;
                return Some(String::from_utf8_lossy(&body).into_owned());
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Asks the daemon to stop, and waits until it has ended. `None` if it takes longer than the
    /// grace time and [`LIMIT`].
    fn stop(&mut self) -> Option<ExitStatus> {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
        let deadline = Instant::now() + Duration::from_secs(GRACE_S) + LIMIT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Reads all output in a thread, and returns it once the daemon has ended.
    fn read_output(&mut self) -> mpsc::Receiver<String> {
        let mut reader = self.output.take().unwrap();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let mut output = Vec::new();
            reader.read_to_end(&mut output).unwrap();
            let _ = tx.send(String::from_utf8_lossy(&output).into_owned());
        });
        rx
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a log that a supervisor does not see because it collects the output of descriptors 1
/// and 2 only.
#[actix_rt::test]
async fn log_is_written_to_no_other_descriptor_than_standard_error() {
    let daemon = Daemon::start(0);
    assert!(daemon.metrics().await.is_some());
    let folder = format!("/proc/{}/fd", daemon.child.id());
    // Connections may be closed while the descriptors are listed.
    let target = |name: &str| fs::read_link(format!("{folder}/{name}")).ok();
    let output = target("2");
    assert!(output.is_some());
    let descriptors = fs::read_dir(&folder).unwrap();
    let names = descriptors.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut shared: Vec<_> = names.filter(|name| target(name) == output).collect();
    shared.sort();
    assert_eq!(shared, ["1", "2"]);
}

/// The daemon's only thread once wrote the log, and stopped with the first line that the full pipe did
/// not take.
#[actix_rt::test]
async fn daemon_with_a_full_output_pipe_answers_and_stops() {
    let mut daemon = Daemon::start(PIPE_BYTES);
    let metrics = daemon.metrics().await;
    let metrics = metrics.expect("the daemon answers while nobody reads its log");
    assert!(
        metrics.contains("comfreyweir_log_lines_dropped_total"),
        "{metrics}"
    );
    let status = daemon
        .stop()
        .expect("the daemon ends while nobody reads its log");
    assert!(status.success(), "{status}");
}

/// What was logged while the pipe was full appears once it is read, and an orderly stop loses nothing.
#[actix_rt::test]
async fn lines_are_written_once_the_pipe_is_read_again() {
    let mut daemon = Daemon::start(PIPE_BYTES);
    assert!(daemon.metrics().await.is_some());
    let output = daemon.read_output();
    assert!(daemon.stop().is_some_and(|status| status.success()));
    let output = output.recv_timeout(LIMIT).unwrap();
    for line in ["started", "is stopping", "stopped"] {
        let line = format!("comfreyweir-entry {line}");
        assert!(output.contains(&line), "no line {line:?} in {output}");
    }
}

/// A write to a pipe that nobody can read any more fails, which must not end the daemon.
#[actix_rt::test]
async fn daemon_with_a_closed_output_pipe_answers_and_stops() {
    let mut daemon = Daemon::start(0);
    drop(daemon.output.take());
    assert!(daemon.metrics().await.is_some());
    let status = daemon.stop().expect("the daemon ends");
    assert!(status.success(), "{status}");
}
