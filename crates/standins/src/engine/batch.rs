//! The batch of running requests, and the queue before it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

/// Slots of an engine and those who wait for one.
pub(super) struct Batch {
    slots: u32,
    queue: usize,
    running: Cell<u32>,
    most_running: Cell<u32>,
    waiters: RefCell<Vec<Waiter>>,
    samples: RefCell<VecDeque<Sample>>,
    lag: Duration,
}

struct Waiter {
    priority: i64,
    slot: oneshot::Sender<Slot>,
}

#[derive(Clone, Copy)]
struct Sample {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// A taken slot. Dropping it lets the next request run.
pub(super) struct Slot {
    batch: Rc<Batch>,
}

/// The queue is full.
pub(super) struct QueueFull;

impl Batch {
    pub(super) fn new(slots: u32, queue: usize, lag: Duration) -> Rc<Self> {
        Rc::new(Self {
            slots,
            queue,
            running: Cell::new(0),
            most_running: Cell::new(0),
            waiters: RefCell::default(),
            samples: RefCell::default(),
            lag,
        })
    }

    /// Waits for a slot; larger priorities go first, equal ones in the order of arrival.
    pub(super) async fn enter(self: &Rc<Self>, priority: i64) -> Result<Slot, QueueFull> {
        self.forget_gone();
        if self.running.get() < self.slots {
            return Ok(self.take());
        }
        if self.waiters.borrow().len() >= self.queue {
            return Err(QueueFull);
        }
        let (slot, granted) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter { priority, slot });
        self.sample();
        granted.await.map_err(|_| QueueFull)
    }

    /// Load figures as they were one lag ago, with their age.
    pub(super) fn lagging(&self) -> (u32, u32, Duration) {
        let shown_at = Instant::now().checked_sub(self.lag);
        let samples = self.samples.borrow();
        let past = samples.iter().rev();
        let shown = shown_at.and_then(|at| past.clone().find(|sample| sample.at <= at).copied());
        let shown = shown.map_or((0, 0), |sample| (sample.running, sample.waiting));
        (shown.0, shown.1, self.lag)
    }

    pub(super) fn most_running(&self) -> u32 {
        self.most_running.get()
    }

    fn take(self: &Rc<Self>) -> Slot {
        self.running.set(self.running.get() + 1);
        self.most_running
            .set(self.most_running.get().max(self.running.get()));
        self.sample();
        Slot {
            batch: Rc::clone(self),
        }
    }

    fn forget_gone(&self) {
        self.waiters
            .borrow_mut()
            .retain(|waiter| !waiter.slot.is_closed());
    }

    fn sample(&self) {
        let mut samples = self.samples.borrow_mut();
        let at = Instant::now();
        // The newest sample before the lag is still needed.
        while samples
            .get(1)
            .is_some_and(|second| second.at + self.lag < at)
        {
            samples.pop_front();
        }
        samples.push_back(Sample {
            at,
            running: self.running.get(),
            waiting: u32::try_from(self.waiters.borrow().len()).unwrap_or(u32::MAX),
        });
    }

    fn next(&self) -> Option<Waiter> {
        let mut waiters = self.waiters.borrow_mut();
        let indexed = waiters.iter().enumerate();
        let first = indexed.max_by_key(|(i, waiter)| (waiter.priority, std::cmp::Reverse(*i)));
        let index = first.map(|(i, _)| i)?;
        Some(waiters.remove(index))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let batch = Rc::clone(&self.batch);
        batch.running.set(batch.running.get() - 1);
        batch.forget_gone();
        if let Some(waiter) = batch.next() {
            // A waiter that left meanwhile drops the slot, which lets the next one run.
            let _ = waiter.slot.send(batch.take());
        }
        batch.sample();
    }
}
