//! Bounded queue of lines between the threads that log and the writer thread.

use std::{
    mem,
    sync::{Condvar, LazyLock, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use prometheus_client::metrics::counter::Counter;

/// Most bytes of lines that wait for the writer thread. At 300 bytes a line, these are the lines of
/// more than ten seconds of the rate limit of requests. The writer holds as many bytes again.
pub const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Queued bytes at which the writer thread starts writing without waiting for more lines.
const PROMPT_BYTES: usize = 32 << 10;

/// Lines that this process has dropped.
static DROPPED_LINES: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Counter of the log lines that this process has dropped since it started.
pub fn dropped_lines() -> Counter {
    DROPPED_LINES.clone()
}

/// Lines that wait for the writer thread.
#[derive(Default)]
pub(crate) struct Queue {
    state: Mutex<QueueState>,
    /// Wakes the writer thread.
    changed: Condvar,
    /// Wakes a thread that waits for all lines to be written.
    drained: Condvar,
}

#[derive(Default)]
struct QueueState {
    bytes: Vec<u8>,
    /// Lines dropped since the last batch was taken.
    dropped: u64,
    /// Whether the writer thread waits for the first line, and not for more of them.
    is_idle: bool,
    is_writing: bool,
    is_closing: bool,
}

/// Lines to be written in one go.
pub(crate) struct Batch {
    pub(crate) bytes: Vec<u8>,
    /// Lines that were dropped after these.
    pub(crate) dropped: u64,
}

impl Queue {
    /// Adds a line, or drops it if the queue is full.
    pub(crate) fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        // Once a line was dropped, all later ones are until the writer has taken the batch, so that
        // its notice stands where the lines are missing.
        if state.dropped > 0 || state.bytes.len() + line.len() > MAX_QUEUED_BYTES {
            state.dropped += 1;
            DROPPED_LINES.inc();
            return;
        }
        let before = state.bytes.len();
        state.bytes.extend_from_slice(line);
        let is_due = before < PROMPT_BYTES && state.bytes.len() >= PROMPT_BYTES;
        if state.is_idle || is_due {
            state.is_idle = false;
            self.changed.notify_one();
        }
    }

    /// Counts lines that were lost for another reason than a full queue.
    pub(crate) fn record_dropped(&self, lines: u64) {
        DROPPED_LINES.inc_by(lines);
        self.carry_over(lines);
    }

    /// Adds lines that are counted already to those that the next batch has to report.
    pub(crate) fn carry_over(&self, lines: u64) {
        let mut state = self.lock();
        state.dropped += lines;
        if state.is_idle {
            state.is_idle = false;
            self.changed.notify_one();
        }
    }

    /// Waits for lines, and then for at most `collect` for more of them. `spare` is used as the
    /// queue's next buffer.
    pub(crate) fn take(&self, mut spare: Vec<u8>, collect: Duration) -> Batch {
        let mut state = self.lock();
        state.is_writing = false;
        if state.bytes.is_empty() {
            self.drained.notify_all();
        }
        while state.bytes.is_empty() && state.dropped == 0 {
            state.is_idle = true;
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.is_idle = false;
        let until = Instant::now() + collect;
        while state.bytes.len() < PROMPT_BYTES && !state.is_closing {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.is_writing = true;
        spare.clear();
        Batch {
            bytes: mem::replace(&mut state.bytes, spare),
            dropped: mem::take(&mut state.dropped),
        }
    }

    /// Waits until all lines are written, for at most `limit`. From then on, the writer does not
    /// wait for more lines.
    pub(crate) fn drain(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let mut state = self.lock();
        state.is_closing = true;
        self.changed.notify_one();
        while !state.bytes.is_empty() || state.dropped > 0 || state.is_writing {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.drained.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for `pause` after a failed write. Returns false if the process is ending: what is queued
    /// is then discarded, and nothing more is to be written.
    pub(crate) fn pause(&self, pause: Duration) -> bool {
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), pause, |state| !state.is_closing);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        if state.is_closing {
            state.bytes = Vec::new();
            state.dropped = 0;
            state.is_writing = false;
            self.drained.notify_all();
        }
        !state.is_closing
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
