//! Requests in flight, and the states of a planned stop.

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;

/// State of a gate between start and exit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Takes requests.
    #[default]
    Serving,
    /// Takes requests, but tells the balancer not to send more.
    Noticing,
    /// Finishes what is in flight.
    Draining,
}

/// Counts requests in flight, from the first byte of the head that was understood to the last
/// byte of the answer.
#[derive(Default)]
pub struct Stopping {
    phase: Cell<Phase>,
    in_flight: Cell<usize>,
    changed: Notify,
}

/// A request in flight.
pub struct InFlight(Rc<Stopping>);

impl Stopping {
    /// State of the gate.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request until the returned value is dropped.
    pub fn enter(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Moves on to another phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Completes when the gate finishes what is in flight.
    pub async fn draining(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() == Phase::Draining {
                return;
            }
            changed.await;
        }
    }

    /// Completes when no request is in flight.
    pub async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.changed.notify_waiters();
        }
    }
}
