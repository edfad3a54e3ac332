//! The weight store that engines share: a rate of loads, and a number of transfers at once that
//! go at full speed. More transfers slow each other in proportion.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

/// Longest time between two looks at how many transfers share the store.
const STEP: Duration = Duration::from_millis(10);

/// Settings of a weight store.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Loads of models that may start in a second.
    pub loads_per_second: f64,
    /// Models that load at full speed at once.
    pub full_speed_models: u32,
    /// Adapters that load at full speed at once.
    pub full_speed_adapters: u32,
    /// Factor by which every transfer takes longer.
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

/// What a transfer carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter.
    Adapter,
}

/// A weight store. Clones share it.
#[derive(Clone)]
pub struct WeightStore {
    settings: Rc<RefCell<Settings>>,
    models: Rc<Lane>,
    adapters: Rc<Lane>,
    next_start: Rc<Cell<Option<Instant>>>,
}

#[derive(Default)]
struct Lane {
    in_flight: Cell<u32>,
    most: Cell<u32>,
}

struct InFlight<'a>(&'a Lane);

impl<'a> InFlight<'a> {
    fn new(lane: &'a Lane) -> Self {
        lane.in_flight.set(lane.in_flight.get() + 1);
        lane.most.set(lane.most.get().max(lane.in_flight.get()));
        Self(lane)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl WeightStore {
    /// Opens a store.
    pub fn open(settings: Settings) -> Self {
        Self {
            settings: Rc::new(RefCell::new(settings)),
            models: Rc::default(),
            adapters: Rc::default(),
            next_start: Rc::default(),
        }
    }

    /// Changes the settings, also for transfers under way.
    pub fn set(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    /// The settings in force.
    pub fn settings(&self) -> Settings {
        *self.settings.borrow()
    }

    /// Most model transfers that were in flight at once.
    pub fn most_models(&self) -> u32 {
        self.models.most.get()
    }

    /// Most adapter transfers that were in flight at once.
    pub fn most_adapters(&self) -> u32 {
        self.adapters.most.get()
    }

    /// Completes when a transfer that takes `bare` alone has ended.
    pub async fn transfer(&self, kind: Kind, bare: Duration) {
        let lane = match kind {
            Kind::Model => &self.models,
            Kind::Adapter => &self.adapters,
        };
        if kind == Kind::Model {
            self.wait_for_start().await;
        }
        let _in_flight = InFlight::new(lane);
        let mut left = bare.as_secs_f64();
        while left > 0.0 {
            let speed = self.speed(kind, lane.in_flight.get());
            let step = Duration::from_secs_f64(left / speed).min(STEP);
            let before = Instant::now();
            time::sleep(step).await;
            left -= before.elapsed().as_secs_f64() * speed;
        }
    }

    async fn wait_for_start(&self) {
        let interval = Duration::from_secs_f64(1.0 / self.settings.borrow().loads_per_second);
        let now = Instant::now();
        let start = self.next_start.get().map_or(now, |next| next.max(now));
        self.next_start.set(Some(start + interval));
        time::sleep_until(start).await;
    }

    fn speed(&self, kind: Kind, in_flight: u32) -> f64 {
        let settings = self.settings.borrow();
        let full = match kind {
            Kind::Model => settings.full_speed_models,
            Kind::Adapter => settings.full_speed_adapters,
        };
        let share = f64::from(full) / f64::from(in_flight.max(1));
        share.min(1.0) / settings.slowdown
    }
}
