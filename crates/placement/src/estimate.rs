//! Load times learnt from observed loads.
//!
//! Times are kept for each place of the checkpoint and for models and adapters apart, per
//! megabyte for models and per load for adapters, whose time hardly depends on their size.

use std::{collections::BTreeMap, time::Duration};

use comfreyweir_platform::engine::CheckpointTier;

use crate::spec::Spec;

/// Weight of the latest observation.
const LATEST_WEIGHT: f64 = 0.5;
/// A load that is still running is expected to take at least this multiple of its age.
const OVERDUE_FACTOR: f64 = 1.25;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Class {
    tier: CheckpointTier,
    is_adapter: bool,
}

/// Load times learnt from observed loads.
#[derive(Clone, Debug, Default)]
pub struct LoadTimes {
    seconds_per_unit: BTreeMap<Class, f64>,
}

impl LoadTimes {
    /// Notes that a load has taken `took`.
    pub fn observe(&mut self, spec: &Spec, tier: CheckpointTier, took: Duration) {
        let class = class_of(spec, tier);
        let latest = took.as_secs_f64() / units(spec);
        let entry = self.seconds_per_unit.entry(class).or_insert(latest);
        *entry += (latest - *entry) * LATEST_WEIGHT;
    }

    /// Expected time of a load; `None` while none of its class has been observed.
    pub fn expect(&self, spec: &Spec, tier: CheckpointTier) -> Option<Duration> {
        let per_unit = self.seconds_per_unit.get(&class_of(spec, tier))?;
        Some(Duration::from_secs_f64(per_unit * units(spec)))
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
fn units(spec: &Spec) -> f64 {
    if spec.is_adapter() {
        1.0
    } else {
        spec.memory_mb.max(1) as f64
    }
}
