//! Accounting of a running call.

use std::time::{Duration, Instant};

use comfreyweir_routing::load::CallId;

use super::Queues;

/// Time for which an engine that refused a call because it was full gets no new calls.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Time for which an engine on which a call failed gets no new calls.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Counts a call as running on its upstream until dropped.
pub(crate) struct RunningCall {
    queues: Queues,
    upstream: String,
    served_name: String,
    call: CallId,
    started_at: Instant,
}

impl RunningCall {
    pub(super) fn new(
        queues: Queues,
        upstream: String,
        served_name: String,
        call: CallId,
        started_at: Instant,
    ) -> Self {
        Self {
            queues,
            upstream,
            served_name,
            call,
            started_at,
        }
    }

    /// Records the arrival of the answer, or of the first token of a stream, for the service times.
    pub(crate) fn note_answer(&self, is_stream: bool) {
        let mut state = self.queues.0.state.borrow_mut();
        let Some(queue) = state.artifacts.get_mut(&self.served_name) else {
            return;
        };
        queue.observe_answer(is_stream, self.started_at.elapsed());
    }

    /// Sends no new calls to the upstream for a short time, because it is full.
    pub(crate) fn note_full(&self) {
        self.pause(FULL_PAUSE);
    }

    /// Sends no new calls to the upstream for a while, because a call failed on it.
    pub(crate) fn note_failed(&self) {
        self.pause(FAILED_PAUSE);
    }

    fn pause(&self, duration: Duration) {
        let mut state = self.queues.0.state.borrow_mut();
        if let Some(calls) = state.upstreams.get_mut(&self.upstream) {
            calls.pause(Instant::now() + duration);
        }
        let queues = self.queues.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(duration).await;
            queues.wake();
        });
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut state = self.queues.0.state.borrow_mut();
        if let Some(calls) = state.upstreams.get_mut(&self.upstream) {
            calls.end(self.call, Instant::now());
        }
        if let Some(queue) = state.artifacts.get_mut(&self.served_name) {
            queue.running -= 1;
            queue
                .service_times
                .occupied
                .observe(self.started_at.elapsed());
        }
        self.queues.wake();
    }
}
