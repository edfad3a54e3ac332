//! How long an idle artifact stays loaded.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Decides how long an artifact stays loaded after its last use.
pub trait IdlePolicy {
    /// Notes that an artifact is in use or waited for.
    fn note_use(&mut self, served_name: &str, now: Instant);

    /// Time that the artifact stays loaded after its last use.
    fn keep_for(&self, served_name: &str) -> Duration;

    /// Expected time between two uses that lie apart; larger means less worth keeping.
    fn expected_gap(&self, served_name: &str) -> Duration;
}

/// The same time for all artifacts.
#[derive(Clone, Copy, Debug)]
pub struct FixedKeep(pub Duration);

impl IdlePolicy for FixedKeep {
    fn note_use(&mut self, _served_name: &str, _now: Instant) {}

    fn keep_for(&self, _served_name: &str) -> Duration {
        self.0
    }

    fn expected_gap(&self, _served_name: &str) -> Duration {
        self.0
    }
}

/// Uses closer than this belong to one period of use.
const SAME_USE: Duration = Duration::from_secs(5);
/// Weight of the latest gap.
const LATEST_WEIGHT: f64 = 0.3;
/// The time kept is this multiple of the expected gap.
const GAP_FACTOR: f64 = 2.0;
/// The time kept changes only when the expected gap asks for one outside this factor.
const HYSTERESIS: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Habit {
    last_use: Instant,
    gap: Option<Duration>,
    keep: Duration,
}

/// Twice the usual gap between uses, changed with hysteresis, and a short time for artifacts
/// whose gaps exceed the longest time worth keeping.
#[derive(Clone, Debug)]
pub struct AdaptiveKeep {
    shortest: Duration,
    longest: Duration,
    habits: BTreeMap<String, Habit>,
}

impl AdaptiveKeep {
    /// Creates a policy that keeps idle artifacts between `shortest` and `longest`.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            habits: BTreeMap::new(),
        }
    }

    fn target(&self, gap: Duration) -> Duration {
        let wanted = gap.mul_f64(GAP_FACTOR);
        if wanted > self.longest {
            self.shortest
        } else {
            wanted.max(self.shortest)
        }
    }
}

impl IdlePolicy for AdaptiveKeep {
    fn note_use(&mut self, served_name: &str, now: Instant) {
        let Some(habit) = self.habits.get(served_name).copied() else {
            let habit = Habit {
                last_use: now,
                gap: None,
                keep: self.longest,
            };
            self.habits.insert(served_name.to_owned(), habit);
            return;
        };
        let mut next = Habit {
            last_use: now,
            ..habit
        };
        let gap = now.duration_since(habit.last_use);
        if gap > SAME_USE {
            let usual = habit.gap.map_or(gap, |usual| {
                usual.mul_f64(1.0 - LATEST_WEIGHT) + gap.mul_f64(LATEST_WEIGHT)
            });
            next.gap = Some(usual);
            let target = self.target(usual);
            let is_outside =
                target > habit.keep.mul_f64(HYSTERESIS) || habit.keep > target.mul_f64(HYSTERESIS);
            if is_outside {
                next.keep = target;
            }
        }
        self.habits.insert(served_name.to_owned(), next);
    }

    fn keep_for(&self, served_name: &str) -> Duration {
        self.habits
            .get(served_name)
            .map_or(self.longest, |h| h.keep)
    }

    fn expected_gap(&self, served_name: &str) -> Duration {
        let habit = self.habits.get(served_name);
        habit.and_then(|h| h.gap).unwrap_or(self.longest)
    }
}
