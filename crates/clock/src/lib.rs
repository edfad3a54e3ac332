//! The clock that every decision takes as a parameter.
//!
//! Decisions that read the system time cannot be tested over simulated hours or with clocks
//! that run at different rates, so all crates of the workspace read time through [`Clock`].

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: Clone + 'static {
    /// Monotonic time of this process.
    fn now(&self) -> Instant;

    /// Time since the machine was started, with the time that it was suspended. Leases are held
    /// by it: [`Clock::now`] stands still during a suspension.
    fn since_boot(&self) -> Duration;

    /// Wall-clock time, for logs and for records that people read. Never used for safety.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock that advances only when it is told to. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Creates a clock that stands at zero elapsed time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Rc::new(Cell::new(Duration::ZERO)),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }

    /// Time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed.get()
    }
}

/// Whole milliseconds of a time, for logs and records.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
