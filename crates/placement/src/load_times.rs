//! Estimates load times from observed loads.
//!
//! There is one estimate for each class of loads: checkpoint tier, and model or adapter. Within a
//! class a load takes a fixed time plus a time in proportion to its size; both are fitted by least
//! squares. Older observations weigh exponentially less, so that the estimate follows a store that
//! slows down.

use std::{collections::BTreeMap, time::Duration};

use comfreyweir_external::engine::CheckpointTier;

use crate::artifact_spec::ArtifactSpec;

/// Factor by which the weight of earlier observations shrinks with each new one.
const DECAY: f64 = 0.6;
/// A load that is still running is expected to take at least this multiple of its age in total.
const OVERDUE_FACTOR: f64 = 1.25;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LoadClass {
    tier: CheckpointTier,
    is_adapter: bool,
}

/// Weighted sums of sizes (in MB) and times (in seconds) of observed loads.
#[derive(Clone, Copy, Debug, Default)]
struct LinearFit {
    weight: f64,
    size_mb: f64,
    seconds: f64,
    size_mb_squared: f64,
    size_mb_seconds: f64,
}

impl LinearFit {
    fn add(&mut self, size_mb: f64, seconds: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * DECAY + value;
        add(&mut self.weight, 1.0);
        add(&mut self.size_mb, size_mb);
        add(&mut self.seconds, seconds);
        add(&mut self.size_mb_squared, size_mb * size_mb);
        add(&mut self.size_mb_seconds, size_mb * seconds);
    }

    /// Fitted time, in seconds. Never decreases with size and is never negative.
    fn predict(&self, size_mb: f64) -> f64 {
        let (mean_size_mb, mean_seconds) = (self.size_mb / self.weight, self.seconds / self.weight);
        let variance = self.size_mb_squared / self.weight - mean_size_mb * mean_size_mb;
        let covariance = self.size_mb_seconds / self.weight - mean_size_mb * mean_seconds;
        let slope = if variance > f64::EPSILON * self.size_mb_squared {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        (mean_seconds + slope * (size_mb - mean_size_mb)).max(0.0)
    }
}

/// Load time estimates by class of load.
#[derive(Clone, Debug, Default)]
pub struct LoadTimes {
    fits: BTreeMap<LoadClass, LinearFit>,
}

impl LoadTimes {
    /// Adds the duration of a finished load.
    pub fn observe(&mut self, spec: &ArtifactSpec, tier: CheckpointTier, took: Duration) {
        let fit = self.fits.entry(class_of(spec, tier)).or_default();
        fit.add(size_mb_of(spec), took.as_secs_f64());
    }

    /// Expected duration of a load; `None` until a load of its class has been observed.
    pub fn expected(&self, spec: &ArtifactSpec, tier: CheckpointTier) -> Option<Duration> {
        let fit = self.fits.get(&class_of(spec, tier))?;
        Some(Duration::from_secs_f64(fit.predict(size_mb_of(spec))))
    }

    /// Expected remaining time of a load that has been running for `age`; `None` until a load of
    /// its class has been observed.
    pub fn remaining(
        &self,
        spec: &ArtifactSpec,
        tier: CheckpointTier,
        age: Duration,
    ) -> Option<Duration> {
        let expected = self.expected(spec, tier)?;
        let min_total = age.mul_f64(OVERDUE_FACTOR);
        Some(expected.max(min_total).saturating_sub(age))
    }
}

fn class_of(spec: &ArtifactSpec, tier: CheckpointTier) -> LoadClass {
    LoadClass {
        tier,
        is_adapter: spec.is_adapter(),
    }
}

// Memory sizes are far below 2^52 MB.
#[allow(clippy::cast_precision_loss)]
fn size_mb_of(spec: &ArtifactSpec) -> f64 {
    spec.memory_mb as f64
}
