//! The clock interface of the workspace.
//!
//! All crates read time through a [`Clock`] that they are given, and not from the system. Tests
//! can then simulate hours, and clocks that run at different rates.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::ClockId;

/// A source of monotonic and wall-clock time.
pub trait Clock: Clone + 'static {
    /// Monotonic time of this process. Whether it advances while the machine is suspended depends on the
    /// clock.
    fn now(&self) -> Instant;

    /// Time since the machine was booted, including the time that it was suspended. Leases are
    /// measured with it, because a lease also expires during a suspension.
    fn since_boot(&self) -> Duration;

    /// Processor time that the calling thread has used.
    fn processor(&self) -> Duration;

    /// Wall-clock time, for logs and for records that people read. It can jump, so correctness
    /// must not depend on it.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system, whose monotonic time does not advance while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        read_clock(ClockId::Boottime)
    }

    fn processor(&self) -> Duration {
        read_clock(ClockId::ThreadCPUTime)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock of the operating system whose monotonic time advances while the machine is suspended, so that
/// what was heard before gets older meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Instant,
    started_since_boot: Duration,
}

impl BootClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            started_since_boot: SystemClock.since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.started_at + self.since_boot().saturating_sub(self.started_since_boot)
    }

    fn since_boot(&self) -> Duration {
        SystemClock.since_boot()
    }

    fn processor(&self) -> Duration {
        SystemClock.processor()
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall()
    }
}

fn read_clock(id: ClockId) -> Duration {
    let time = rustix::time::clock_gettime(id);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Clock for tests and simulations that only advances through [`ManualClock::advance`]. Clones
/// share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Creates a clock with zero elapsed time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Rc::new(Cell::new(Duration::ZERO)),
        }
    }

    /// Moves the clock and all its clones forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }

    /// Sum of all advances since the clock was created.
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

    fn processor(&self) -> Duration {
        self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed.get()
    }
}

/// Duration in milliseconds, rounded down, for logs and records. `u64::MAX` if it does not fit.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
