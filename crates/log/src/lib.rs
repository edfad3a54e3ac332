//! Log output that never blocks the threads that log.
//!
//! Lines go through a bounded queue to a writer thread. Lines that do not fit are dropped and
//! counted, and one line says how many once lines can be written again.

mod line;
mod queue;
mod sink;
mod writer;

pub use self::{
    queue::{MAX_QUEUED_BYTES, dropped_lines},
    sink::QueuedSink,
    writer::{LogWriter, spawn_writer},
};
pub use line::MAX_LINE_BYTES;
