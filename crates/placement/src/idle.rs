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

/// Buckets of gaps; each is twice as long as the one before.
const GAP_BUCKETS: usize = 16;
/// Upper end of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 8.0;
/// Weight of what is known of all artifacts together, in gaps.
const COMMON_WEIGHT: f64 = 4.0;
/// A change of the time kept must save at least this part of its cost.
const WORTHWHILE_PART: f64 = 0.1;

/// Gaps of one artifact, or of all together, by length.
#[derive(Clone, Debug, Default)]
struct Gaps([f64; GAP_BUCKETS]);

impl Gaps {
    fn add(&mut self, gap: Duration) {
        self.0[bucket_of(gap.as_secs_f64())] += 1.0;
    }

    fn count(&self) -> f64 {
        self.0.iter().sum()
    }

    /// This histogram with `other` mixed in at the weight of `weight` gaps.
    fn mixed(&self, other: &Self, weight: f64) -> Self {
        let scale = weight / other.count().max(1.0);
        let mut mixed = self.clone();
        for (own, common) in mixed.0.iter_mut().zip(&other.0) {
            *own += common * scale;
        }
        mixed
    }

    /// Mean cost of a gap, in seconds, when the artifact is kept for `keep`: the idle time, and
    /// `cold_start` for each gap that is longer.
    fn cost(&self, keep: f64, cold_start: f64) -> f64 {
        let mut cost = 0.0;
        for (bucket, count) in self.0.iter().enumerate() {
            let gap = bucket_end(bucket);
            cost += count * if gap <= keep { gap } else { keep + cold_start };
        }
        cost / self.count().max(1.0)
    }
}

fn bucket_end(bucket: usize) -> f64 {
    let doublings = u32::try_from(bucket).unwrap_or(u32::MAX);
    FIRST_BUCKET_SECONDS * f64::from(2_u32.saturating_pow(doublings))
}

fn bucket_of(seconds: f64) -> usize {
    let bucket = (0..GAP_BUCKETS).find(|b| seconds <= bucket_end(*b));
    bucket.unwrap_or(GAP_BUCKETS - 1)
}

#[derive(Clone, Debug)]
struct Learned {
    last_use: Instant,
    gaps: Gaps,
    keep: f64,
}

/// The time that costs least for the gaps seen so far, when a cold start is worth a given idle
/// time. Artifacts that are little known borrow from all others.
#[derive(Clone, Debug)]
pub struct LearnedKeep {
    cold_start: Duration,
    longest: Duration,
    common: Gaps,
    learned: BTreeMap<String, Learned>,
}

impl LearnedKeep {
    /// Creates a policy that would keep an artifact idle for up to `cold_start` to save one cold
    /// start, and never longer than `longest`.
    pub fn new(cold_start: Duration, longest: Duration) -> Self {
        Self {
            cold_start,
            longest,
            common: Gaps::default(),
            learned: BTreeMap::new(),
        }
    }

    /// The best time for these gaps, unless `kept` is nearly as good.
    fn best(&self, gaps: &Gaps, kept: f64) -> f64 {
        let cold_start = self.cold_start.as_secs_f64();
        let longest = self.longest.as_secs_f64();
        let ends = (0..GAP_BUCKETS).map(bucket_end);
        let options = ends.filter(|end| *end <= longest).chain([longest]);
        let cost = |keep: &f64| gaps.cost(*keep, cold_start);
        let best = options.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let best = best.unwrap_or(kept);
        if cost(&best) < cost(&kept) * (1.0 - WORTHWHILE_PART) {
            best
        } else {
            kept
        }
    }
}

impl IdlePolicy for LearnedKeep {
    fn note_use(&mut self, served_name: &str, now: Instant) {
        let longest = self.longest.as_secs_f64();
        let known = self.learned.remove(served_name);
        let mut learned = known.unwrap_or_else(|| Learned {
            last_use: now,
            gaps: Gaps::default(),
            keep: longest,
        });
        let gap = now.duration_since(learned.last_use);
        learned.last_use = now;
        if gap > SAME_USE {
            learned.gaps.add(gap);
            self.common.add(gap);
            let gaps = learned.gaps.mixed(&self.common, COMMON_WEIGHT);
            learned.keep = self.best(&gaps, learned.keep);
        }
        self.learned.insert(served_name.to_owned(), learned);
    }

    fn keep_for(&self, served_name: &str) -> Duration {
        let learned = self.learned.get(served_name);
        learned.map_or(self.longest, |l| Duration::from_secs_f64(l.keep))
    }

    fn expected_gap(&self, served_name: &str) -> Duration {
        let Some(learned) = self.learned.get(served_name) else {
            return self.longest;
        };
        let gaps = learned.gaps.mixed(&self.common, COMMON_WEIGHT);
        Duration::from_secs_f64(gaps.cost(f64::INFINITY, 0.0))
    }
}
