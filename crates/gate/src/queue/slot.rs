//! A call in the gate's own counts.

use std::time::{Duration, Instant};

use comfreyweir_routing::load::CallId;

use super::Queues;

/// Time for which an engine that did not take a call gets no new one.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Time for which an engine that failed a call gets no new one.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// A call that runs on an upstream, until it is dropped.
pub(crate) struct Slot {
    queues: Queues,
    upstream: String,
    served_name: String,
    call: CallId,
    begun: Instant,
}

impl Slot {
    pub(super) fn new(
        queues: Queues,
        upstream: String,
        served_name: String,
        call: CallId,
        begun: Instant,
    ) -> Self {
        Self {
            queues,
            upstream,
            served_name,
            call,
            begun,
        }
    }

    /// Notes that the answer is there, or the first token of a stream.
    pub(crate) fn note_answer(&self, is_stream: bool) {
        let mut state = self.queues.0.state.borrow_mut();
        let Some(queue) = state.artifacts.get_mut(&self.served_name) else {
            return;
        };
        queue.observe_answer(is_stream, self.begun.elapsed());
    }

    /// Gives the upstream a short pause because it is full.
    pub(crate) fn note_full(&self) {
        self.pause(FULL_PAUSE);
    }

    /// Gives the upstream a pause because it has failed.
    pub(crate) fn note_failed(&self) {
        self.pause(FAILED_PAUSE);
    }

    fn pause(&self, time: Duration) {
        let mut state = self.queues.0.state.borrow_mut();
        if let Some(calls) = state.upstreams.get_mut(&self.upstream) {
            calls.pause(Instant::now() + time);
        }
        let queues = self.queues.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(time).await;
            queues.wake();
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.queues.0.state.borrow_mut();
        if let Some(calls) = state.upstreams.get_mut(&self.upstream) {
            calls.end(self.call, Instant::now());
        }
        if let Some(queue) = state.artifacts.get_mut(&self.served_name) {
            queue.running -= 1;
            queue.pace.occupied.observe(self.begun.elapsed());
        }
        self.queues.wake();
    }
}
