//! Lines are written in order, in a bounded amount, and never wait for the output.

use std::{
    io::{self, ErrorKind, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use comfreyweir_log::{LogWriter, MAX_LINE_BYTES, MAX_QUEUED_BYTES, dropped_lines, spawn_writer};
use serde_json::Value;
use spdlog::Logger;

/// Time in which the writer must have written what it can.
const LIMIT: Duration = Duration::from_secs(10);

/// Held by tests that drop lines, since the counter is one for the process.
static DROPS_LINES: Mutex<()> = Mutex::new(());

/// Output that keeps what is written. A write blocks until the test lets it through, if it has a gate.
#[derive(Clone, Default)]
struct Output {
    bytes: Arc<Mutex<Vec<u8>>>,
    gate: Option<Arc<Mutex<Receiver<()>>>>,
}

impl Output {
    /// An output that blocks until the sender is dropped.
    fn blocked() -> (Self, Sender<()>) {
        let (tx, rx) = channel();
        let gate = Some(Arc::new(Mutex::new(rx)));
        let bytes = Arc::default();
        (Self { bytes, gate }, tx)
    }

    fn lines(&self) -> Vec<Value> {
        let bytes = self.bytes.lock().unwrap();
        let text = str::from_utf8(&bytes).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some(gate) = &self.gate {
            let _ = gate.lock().unwrap().recv();
        }
        self.bytes.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logger(writer: &LogWriter) -> Logger {
    Logger::builder()
        .sink(Arc::new(writer.sink()))
        .build()
        .unwrap()
}

fn log_numbered(logger: &Logger, numbers: std::ops::Range<usize>) {
    let text = "x".repeat(200);
    for n in numbers {
        spdlog::info!(logger: logger, "line", kv: { n, text = text.as_str() });
    }
}

/// The number of a line that [`log_numbered`] has written.
fn number(line: &Value) -> Option<u64> {
    line["kv"]["n"].as_u64()
}

/// A queue that is not full loses no line and keeps their order, also at the end of the process.
#[test]
fn all_lines_that_fit_are_written_in_order() {
    const LINES: usize = 2_000;
    let output = Output::default();
    let writer = spawn_writer(output.clone()).unwrap();
    log_numbered(&logger(&writer), 0..LINES);
    writer.finish(LIMIT);
    let numbers: Vec<_> = output.lines().iter().filter_map(number).collect();
    assert_eq!(numbers, (0..LINES as u64).collect::<Vec<_>>());
}

/// While the output blocks, logging must neither wait nor use memory without end, and afterwards the
/// log must say where lines are missing and how many.
#[test]
fn lines_beyond_the_queue_are_dropped_counted_and_reported() {
    const LINES: usize = 30_000;
    let _lock = DROPS_LINES.lock();
    let (output, gate) = Output::blocked();
    let writer = spawn_writer(output.clone()).unwrap();
    let logger = logger(&writer);
    let dropped_before = dropped_lines().get();
    log_numbered(&logger, 0..LINES);
    let dropped = dropped_lines().get() - dropped_before;
    assert!(dropped > 0);
    drop(gate);
    let began = Instant::now();
    let is_notice = |line: &Value| line["level"] == "warn";
    while !output.lines().iter().any(is_notice) {
        assert!(
            began.elapsed() < LIMIT,
            "no line says how many were dropped"
        );
        thread::sleep(Duration::from_millis(10));
    }
    log_numbered(&logger, LINES..LINES + 1);
    writer.finish(LIMIT);
    let lines = output.lines();
    let written = lines.iter().filter_map(number).count();
    assert_eq!(written as u64 + dropped, LINES as u64 + 1);
    let notice = lines.iter().position(is_notice).unwrap();
    assert_eq!(lines[notice]["kv"]["lines"], dropped);
    // All lines before the notice precede the missing ones, and all after it follow them.
    let before: Vec<_> = lines[..notice].iter().filter_map(number).collect();
    assert_eq!(before, (0..notice as u64).collect::<Vec<_>>());
    let after: Vec<_> = lines[notice + 1..].iter().filter_map(number).collect();
    assert_eq!(after, [LINES as u64]);
    // The queue, and as much that the writer had taken.
    assert!(output.bytes.lock().unwrap().len() <= 2 * MAX_QUEUED_BYTES + MAX_LINE_BYTES);
}

/// A line may quote what others send. It stays within its bound and can still be decoded.
#[test]
fn long_lines_are_shortened() {
    let output = Output::default();
    let writer = spawn_writer(output.clone()).unwrap();
    let logger = logger(&writer);
    let text = "\u{1}ü".repeat(100_000);
    spdlog::info!(logger: logger, "{text}", kv: { text = text.as_str(), n = 7 });
    writer.finish(LIMIT);
    assert!(output.bytes.lock().unwrap().len() <= MAX_LINE_BYTES);
    let lines = output.lines();
    assert_eq!(number(&lines[0]), Some(7));
    assert!(lines[0]["shortened_from_bytes"].as_u64().unwrap() > 100_000);
}

/// The end of the process waits for a log that is not read for a bounded time only.
#[test]
fn finishing_a_blocked_log_takes_a_bounded_time() {
    const FINISH: Duration = Duration::from_millis(200);
    let (output, _gate) = Output::blocked();
    let writer = spawn_writer(output).unwrap();
    log_numbered(&logger(&writer), 0..10);
    let began = Instant::now();
    writer.finish(FINISH);
    let took = began.elapsed();
    assert!(took >= FINISH && took < LIMIT, "{took:?}");
}

/// Output whose writes fail.
struct ClosedOutput(Arc<AtomicUsize>);

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Err(ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody reads a closed output any more: the writer must not try without a pause.
#[test]
fn closed_output_does_not_keep_the_writer_busy() {
    let _lock = DROPS_LINES.lock();
    let count = Arc::default();
    let writer = spawn_writer(ClosedOutput(Arc::clone(&count))).unwrap();
    let logger = logger(&writer);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1_500) {
        log_numbered(&logger, 0..1);
        thread::sleep(Duration::from_millis(1));
    }
    // One at once, and one a second.
    let tried = count.load(Ordering::SeqCst);
    assert!((1..=3).contains(&tried), "{tried} writes");
    let began = Instant::now();
    writer.finish(LIMIT);
    assert!(began.elapsed() < LIMIT);
}
