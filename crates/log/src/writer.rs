//! Thread that writes the lines.

use std::{
    io::{self, ErrorKind, Write},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    line,
    queue::{Batch, Queue},
    sink::QueuedSink,
};

/// Time for which the writer collects lines after the first one. It bounds the wake-ups of the
/// thread to 50 a second.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Pause before a write is tried again where the output is in non-blocking mode and full.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed write, so that a closed output does not keep the thread busy.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Largest write of several lines, in bytes: `PIPE_BUF` of Linux, up to which the writes of several
/// processes to one pipe are not mixed.
const MAX_WRITE_BYTES: usize = 4096;
/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Handle to a running writer thread. The thread runs until the process ends.
#[derive(Clone)]
pub struct LogWriter(Arc<Queue>);

/// Starts a thread that writes lines to `out`.
pub fn spawn_writer<W>(out: W) -> io::Result<LogWriter>
where
    W: Write + Send + 'static,
{
    let queue = Arc::new(Queue::default());
    let lines = Arc::clone(&queue);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(out, &lines))?;
    Ok(LogWriter(queue))
}

impl LogWriter {
    /// Sink for a logger whose lines this thread writes.
    pub fn sink(&self) -> QueuedSink {
        QueuedSink::new(Arc::clone(&self.0))
    }

    /// Adds a line of plain text.
    pub fn write_text(&self, text: &str) {
        self.0.push(format!("{text}\n").as_bytes());
    }

    /// Waits until all lines are written, for at most `limit`. To be called at the end of the
    /// process: lines that are not written by then are lost.
    pub fn finish(&self, limit: Duration) {
        self.0.drain(limit);
    }
}

fn write_lines<W>(mut out: W, queue: &Queue)
where
    W: Write,
{
    let mut spare = Vec::new();
    loop {
        let batch = queue.take(spare, COLLECT_TIME);
        if let Err(lost_lines) = write_batch(&mut out, &batch) {
            queue.record_dropped(lost_lines);
            queue.carry_over(batch.dropped);
            if !queue.pause(FAILURE_PAUSE) {
                return;
            }
        }
        spare = batch.bytes;
    }
}

/// Writes the lines, and how many were dropped after them. Fails with the number of lines that were
/// not written, without the notice.
fn write_batch<W>(out: &mut W, batch: &Batch) -> Result<(), u64>
where
    W: Write,
{
    let mut rest = batch.bytes.as_slice();
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(piece_length(rest));
        write_piece(out, piece).map_err(|_| count_lines(rest))?;
        rest = after;
    }
    if batch.dropped > 0 {
        let notice = line::dropped_notice(batch.dropped);
        write_piece(out, notice.as_bytes()).map_err(|_| 0_u64)?;
    }
    Ok(())
}

/// Length of the whole lines at the start of `bytes` that fit into one write; of the first line if it
/// does not fit.
fn piece_length(bytes: &[u8]) -> usize {
    let is_end = |b: &u8| *b == b'\n';
    let head = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    let last_end = head.iter().rposition(is_end);
    let end = last_end.or_else(|| bytes.iter().position(is_end));
    end.map_or(bytes.len(), |end| end + 1)
}

fn count_lines(bytes: &[u8]) -> u64 {
    bytes.split_inclusive(|b| *b == b'\n').count() as u64
}

fn write_piece<W>(out: &mut W, mut piece: &[u8]) -> io::Result<()>
where
    W: Write,
{
    while !piece.is_empty() {
        match out.write(piece) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => piece = &piece[n..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(RETRY_PAUSE),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
