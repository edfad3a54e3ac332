//! Sink of the logger.

use std::sync::Arc;

use spdlog::{
    Record, StringBuf,
    error::Error,
    formatter::{FormatterContext, JsonFormatter},
    sink::{GetSinkProp, Sink, SinkProp},
};

use crate::{
    line::{self, MAX_LINE_BYTES},
    queue::Queue,
};

/// Sink that puts JSON lines into the queue of a writer thread and never waits for it.
pub struct QueuedSink {
    prop: SinkProp,
    queue: Arc<Queue>,
}

impl QueuedSink {
    pub(crate) fn new(queue: Arc<Queue>) -> Self {
        let prop = SinkProp::default();
        prop.set_formatter(JsonFormatter::new());
        Self { prop, queue }
    }
}

impl GetSinkProp for QueuedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for QueuedSink {
    fn log(&self, record: &Record) -> Result<(), Error> {
        let mut buf = StringBuf::new();
        let mut cx = FormatterContext::new();
        let formatted = self.prop.formatter().format(record, &mut buf, &mut cx);
        if formatted.is_err() {
            // The logger would write the error to standard error itself, which may block.
            self.queue.record_dropped(1);
        } else if buf.len() > MAX_LINE_BYTES {
            self.queue
                .push(line::shortened(record, buf.len()).as_bytes());
        } else {
            self.queue.push(buf.as_bytes());
        }
        Ok(())
    }

    /// Does nothing: the writer thread writes each line without being asked, and waiting for it could
    /// block.
    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
