//! Slots of the running batch, and the queue of requests that wait for one.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

/// Slots of an engine, the requests that wait for one, and a short history of both counts.
pub(super) struct Batch {
    slots: u32,
    max_waiting: usize,
    running: Cell<u32>,
    most_running: Cell<u32>,
    waiters: RefCell<Vec<Waiter>>,
    samples: RefCell<VecDeque<Sample>>,
    /// Age of the counts that reports show.
    report_lag: Duration,
}

struct Waiter {
    priority: i64,
    slot_sender: oneshot::Sender<BatchSlot>,
}

#[derive(Clone, Copy)]
struct Sample {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// An occupied slot. Dropping it passes the slot on to the next waiting request.
pub(super) struct BatchSlot {
    batch: Rc<Batch>,
}

/// No slot is free and the queue is full.
pub(super) struct QueueFull;

impl Batch {
    pub(super) fn new(slots: u32, max_waiting: usize, report_lag: Duration) -> Rc<Self> {
        Rc::new(Self {
            slots,
            max_waiting,
            running: Cell::new(0),
            most_running: Cell::new(0),
            waiters: RefCell::default(),
            samples: RefCell::default(),
            report_lag,
        })
    }

    /// Waits for a slot. Higher priorities go first, equal ones in order of arrival.
    pub(super) async fn acquire_slot(
        self: &Rc<Self>,
        priority: i64,
    ) -> Result<BatchSlot, QueueFull> {
        self.remove_cancelled_waiters();
        if self.running.get() < self.slots {
            return Ok(self.take_slot());
        }
        if self.waiters.borrow().len() >= self.max_waiting {
            return Err(QueueFull);
        }
        let (slot_sender, slot_receiver) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter {
            priority,
            slot_sender,
        });
        self.record_sample();
        slot_receiver.await.map_err(|_| QueueFull)
    }

    /// Numbers of running and waiting requests as they were `report_lag` ago, and that lag.
    pub(super) fn delayed_load(&self) -> (u32, u32, Duration) {
        let shown_at = Instant::now().checked_sub(self.report_lag);
        let samples = self.samples.borrow();
        let newest_first = samples.iter().rev();
        let shown =
            shown_at.and_then(|at| newest_first.clone().find(|sample| sample.at <= at).copied());
        let shown = shown.map_or((0, 0), |sample| (sample.running, sample.waiting));
        (shown.0, shown.1, self.report_lag)
    }

    pub(super) fn most_running(&self) -> u32 {
        self.most_running.get()
    }

    fn take_slot(self: &Rc<Self>) -> BatchSlot {
        self.running.set(self.running.get() + 1);
        self.most_running
            .set(self.most_running.get().max(self.running.get()));
        self.record_sample();
        BatchSlot {
            batch: Rc::clone(self),
        }
    }

    /// Removes waiters whose request was cancelled.
    fn remove_cancelled_waiters(&self) {
        self.waiters
            .borrow_mut()
            .retain(|waiter| !waiter.slot_sender.is_closed());
    }

    fn record_sample(&self) {
        let mut samples = self.samples.borrow_mut();
        let at = Instant::now();
        // The newest sample older than the lag is kept, because it is the one that reports show.
        while samples
            .get(1)
            .is_some_and(|second| second.at + self.report_lag < at)
        {
            samples.pop_front();
        }
        samples.push_back(Sample {
            at,
            running: self.running.get(),
            waiting: u32::try_from(self.waiters.borrow().len()).unwrap_or(u32::MAX),
        });
    }

    /// Removes the waiter of the highest priority that has waited longest.
    fn pop_next_waiter(&self) -> Option<Waiter> {
        let mut waiters = self.waiters.borrow_mut();
        let indexed = waiters.iter().enumerate();
        let first = indexed.max_by_key(|(i, waiter)| (waiter.priority, std::cmp::Reverse(*i)));
        let index = first.map(|(i, _)| i)?;
        Some(waiters.remove(index))
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let batch = Rc::clone(&self.batch);
        batch.running.set(batch.running.get() - 1);
        batch.remove_cancelled_waiters();
        if let Some(waiter) = batch.pop_next_waiter() {
            // If the receiver was dropped meanwhile, the slot comes back as an error and is
            // dropped, which passes it on to the next waiter.
            let _ = waiter.slot_sender.send(batch.take_slot());
        }
        batch.record_sample();
    }
}
