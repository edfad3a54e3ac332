//! Load times learnt from observed loads.
//!
//! Times are kept for each place of the checkpoint, and for models and adapters apart. Within a
//! class a load takes a fixed time and a time in proportion to its size; both are fitted to the
//! observations, of which the latest weigh most, so that a store that slows down shows.

use std::{collections::BTreeMap, time::Duration};

use comfreyweir_external::engine::CheckpointTier;

use crate::spec::Spec;

/// Weight of the observations so far when a further one comes.
const KEPT_WEIGHT: f64 = 0.6;
/// A load that is still running is expected to take at least this multiple of its age.
const OVERDUE_FACTOR: f64 = 1.25;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Class {
    tier: CheckpointTier,
    is_adapter: bool,
}

/// Weighted sums of sizes (in MB) and times (in seconds) of observed loads.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    weight: f64,
    size: f64,
    time: f64,
    size_squared: f64,
    size_time: f64,
}

impl Fit {
    fn add(&mut self, size: f64, time: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * KEPT_WEIGHT + value;
        add(&mut self.weight, 1.0);
        add(&mut self.size, size);
        add(&mut self.time, time);
        add(&mut self.size_squared, size * size);
        add(&mut self.size_time, size * time);
    }

    /// The fitted time. Larger loads never take less time than smaller ones, and none takes less
    /// than none at all.
    fn time_of(&self, size: f64) -> f64 {
        let (mean_size, mean_time) = (self.size / self.weight, self.time / self.weight);
        let variance = self.size_squared / self.weight - mean_size * mean_size;
        let covariance = self.size_time / self.weight - mean_size * mean_time;
        let slope = if variance > f64::EPSILON * self.size_squared {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        (mean_time + slope * (size - mean_size)).max(0.0)
    }
}

/// Load times learnt from observed loads.
#[derive(Clone, Debug, Default)]
pub struct LoadTimes {
    fits: BTreeMap<Class, Fit>,
}

impl LoadTimes {
    /// Notes that a load has taken `took`.
    pub fn observe(&mut self, spec: &Spec, tier: CheckpointTier, took: Duration) {
        let fit = self.fits.entry(class_of(spec, tier)).or_default();
        fit.add(size_of(spec), took.as_secs_f64());
    }

    /// Expected time of a load; `None` while none of its class has been observed.
    pub fn expect(&self, spec: &Spec, tier: CheckpointTier) -> Option<Duration> {
        let fit = self.fits.get(&class_of(spec, tier))?;
        Some(Duration::from_secs_f64(fit.time_of(size_of(spec))))
    }

    /// Expected time that a running load of this age still takes.
    pub fn remaining(&self, spec: &Spec, tier: CheckpointTier, age: Duration) -> Option<Duration> {
        let expected = self.expect(spec, tier)?;
        let at_least = age.mul_f64(OVERDUE_FACTOR);
        Some(expected.max(at_least).saturating_sub(age))
    }
}

fn class_of(spec: &Spec, tier: CheckpointTier) -> Class {
    Class {
        tier,
        is_adapter: spec.is_adapter(),
    }
}

// Memory sizes are far below 2^52 MB.
#[allow(clippy::cast_precision_loss)]
fn size_of(spec: &Spec) -> f64 {
    spec.memory_mb as f64
}
