//! Phases of a planned stop, and the count of requests in flight.

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;

/// Phase of a process between start and exit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Accepts requests.
    #[default]
    Serving,
    /// Still accepts requests, but reports itself as not ready, so that the balancer in front stops
    /// sending more.
    StopNotice,
    /// Stops accepting connections and finishes the requests in flight.
    Draining,
}

/// Phase of the process and number of requests in flight. A request counts from when its head was
/// parsed until the last byte of its answer was sent.
#[derive(Default)]
pub struct ShutdownState {
    phase: Cell<Phase>,
    in_flight: Cell<usize>,
    changed: Notify,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightRequest(Rc<ShutdownState>);

impl ShutdownState {
    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest(Rc::clone(self))
    }

    /// Enters a phase and wakes the tasks that wait for it.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Completes when the phase is `Draining`, at once if it already is.
    pub async fn wait_until_draining(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() == Phase::Draining {
                return;
            }
            changed.await;
        }
    }

    /// Completes when no request is in flight, at once if there is none.
    pub async fn wait_until_idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.changed.notify_waiters();
        }
    }
}
