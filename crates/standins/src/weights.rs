//! Simulated weight store that engines share. It limits how many model loads start per second, and
//! how many transfers run at full speed at once. Beyond that number, all transfers slow down in
//! proportion.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

/// Longest interval between updates of a transfer's speed from the number of transfers in flight.
const SPEED_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Rates and limits of a weight store.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of model loads that may start per second.
    pub loads_per_second: f64,
    /// Number of model transfers that can run at full speed at once.
    pub full_speed_models: u32,
    /// Number of adapter transfers that can run at full speed at once.
    pub full_speed_adapters: u32,
    /// Factor by which the duration of every transfer is multiplied.
    pub slowdown: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads_per_second: 3.0,
            full_speed_models: 4,
            full_speed_adapters: 30,
            slowdown: 1.0,
        }
    }
}

/// Kind of artifact that is transferred; each kind has its own limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferKind {
    /// Model weights, whose starts are rate-limited.
    Model,
    /// Adapter weights, whose starts are not rate-limited.
    Adapter,
}

/// A weight store. Clones share the same settings and transfers.
#[derive(Clone)]
pub struct WeightStore {
    settings: Rc<RefCell<Settings>>,
    models: Rc<TransferCounter>,
    adapters: Rc<TransferCounter>,
    next_load_start: Rc<Cell<Option<Instant>>>,
}

#[derive(Default)]
struct TransferCounter {
    in_flight: Cell<u32>,
    max_in_flight: Cell<u32>,
}

struct InFlight<'a>(&'a TransferCounter);

impl<'a> InFlight<'a> {
    fn new(counter: &'a TransferCounter) -> Self {
        counter.in_flight.set(counter.in_flight.get() + 1);
        counter
            .max_in_flight
            .set(counter.max_in_flight.get().max(counter.in_flight.get()));
        Self(counter)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl WeightStore {
    /// Creates a store without transfers in flight.
    pub fn open(settings: Settings) -> Self {
        Self {
            settings: Rc::new(RefCell::new(settings)),
            models: Rc::default(),
            adapters: Rc::default(),
            next_load_start: Rc::default(),
        }
    }

    /// Replaces the settings, also for transfers in flight.
    pub fn set(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    /// The current settings.
    pub fn settings(&self) -> Settings {
        *self.settings.borrow()
    }

    /// Highest number of model transfers in flight at once so far.
    pub fn most_models(&self) -> u32 {
        self.models.max_in_flight.get()
    }

    /// Highest number of adapter transfers in flight at once so far.
    pub fn most_adapters(&self) -> u32 {
        self.adapters.max_in_flight.get()
    }

    /// Simulates one transfer that takes `full_speed_time` if nothing slows it down, and returns
    /// when it has ended.
    pub async fn transfer(&self, kind: TransferKind, full_speed_time: Duration) {
        let counter = match kind {
            TransferKind::Model => &self.models,
            TransferKind::Adapter => &self.adapters,
        };
        if kind == TransferKind::Model {
            self.wait_for_rate_limit().await;
        }
        let _in_flight = InFlight::new(counter);
        let mut remaining_s = full_speed_time.as_secs_f64();
        while remaining_s > 0.0 {
            let speed = self.speed(kind, counter.in_flight.get());
            let step = Duration::from_secs_f64(remaining_s / speed).min(SPEED_UPDATE_INTERVAL);
            let before = Instant::now();
            time::sleep(step).await;
            remaining_s -= before.elapsed().as_secs_f64() * speed;
        }
    }

    async fn wait_for_rate_limit(&self) {
        let interval = Duration::from_secs_f64(1.0 / self.settings.borrow().loads_per_second);
        let now = Instant::now();
        let start = self
            .next_load_start
            .get()
            .map_or(now, |earliest| earliest.max(now));
        self.next_load_start.set(Some(start + interval));
        time::sleep_until(start).await;
    }

    fn speed(&self, kind: TransferKind, in_flight: u32) -> f64 {
        let settings = self.settings.borrow();
        let full_speed_count = match kind {
            TransferKind::Model => settings.full_speed_models,
            TransferKind::Adapter => settings.full_speed_adapters,
        };
        let share = f64::from(full_speed_count) / f64::from(in_flight.max(1));
        share.min(1.0) / settings.slowdown
    }
}
