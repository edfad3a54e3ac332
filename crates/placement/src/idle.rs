//! How long an idle artifact stays loaded.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Decides how long an artifact stays loaded after its last use.
pub trait IdlePolicy {
    /// Records that an artifact is in use or in demand.
    fn note_use(&mut self, served_name: &str, now: Instant);

    /// Time that the artifact stays loaded after its last use.
    fn keep_for(&self, served_name: &str) -> Duration;

    /// Expected gap between two separate periods of use. Artifacts with larger gaps are evicted
    /// first.
    fn expected_gap(&self, served_name: &str) -> Duration;
}

/// Keeps every idle artifact for the same time.
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

/// Uses that are at most this far apart belong to one period of use and do not count as a gap.
const MIN_GAP: Duration = Duration::from_secs(5);
/// Weight of the latest gap in the moving average of gaps.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Ratio of the keep time to the mean gap.
const KEEP_GAP_RATIO: f64 = 2.0;
/// The keep time changes only if the new one is larger or smaller by more than this factor.
const HYSTERESIS_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct UsageHistory {
    last_use: Instant,
    mean_gap: Option<Duration>,
    keep: Duration,
}

/// Keeps an idle artifact for twice its mean gap between uses, with hysteresis. An artifact whose
/// gaps would need more than the longest keep time is kept only for the shortest.
#[derive(Clone, Debug)]
pub struct AdaptiveKeep {
    shortest: Duration,
    longest: Duration,
    histories: BTreeMap<String, UsageHistory>,
}

impl AdaptiveKeep {
    /// Creates a policy that keeps idle artifacts between `shortest` and `longest`.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            histories: BTreeMap::new(),
        }
    }

    fn target(&self, gap: Duration) -> Duration {
        let keep = gap.mul_f64(KEEP_GAP_RATIO);
        if keep > self.longest {
            self.shortest
        } else {
            keep.max(self.shortest)
        }
    }
}

impl IdlePolicy for AdaptiveKeep {
    fn note_use(&mut self, served_name: &str, now: Instant) {
        let Some(history) = self.histories.get(served_name).copied() else {
            let history = UsageHistory {
                last_use: now,
                mean_gap: None,
                keep: self.longest,
            };
            self.histories.insert(served_name.to_owned(), history);
            return;
        };
        let mut next = UsageHistory {
            last_use: now,
            ..history
        };
        let gap = now.duration_since(history.last_use);
        if gap > MIN_GAP {
            let mean = history.mean_gap.map_or(gap, |mean| {
                mean.mul_f64(1.0 - SMOOTHING_FACTOR) + gap.mul_f64(SMOOTHING_FACTOR)
            });
            next.mean_gap = Some(mean);
            let target = self.target(mean);
            let is_outside = target > history.keep.mul_f64(HYSTERESIS_FACTOR)
                || history.keep > target.mul_f64(HYSTERESIS_FACTOR);
            if is_outside {
                next.keep = target;
            }
        }
        self.histories.insert(served_name.to_owned(), next);
    }

    fn keep_for(&self, served_name: &str) -> Duration {
        self.histories
            .get(served_name)
            .map_or(self.longest, |history| history.keep)
    }

    fn expected_gap(&self, served_name: &str) -> Duration {
        let history = self.histories.get(served_name);
        history
            .and_then(|history| history.mean_gap)
            .unwrap_or(self.longest)
    }
}

/// Number of histogram buckets; the upper end of each is twice that of the one before.
const GAP_BUCKETS: usize = 16;
/// Upper end of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 8.0;
/// Weight of the histogram of all artifacts, as a number of gaps, in that of one artifact.
const PRIOR_WEIGHT: f64 = 4.0;
/// The keep time changes only if that saves at least this fraction of the cost.
const MIN_SAVING: f64 = 0.1;

/// Histogram of gaps between uses, by length.
#[derive(Clone, Debug, Default)]
struct GapHistogram([f64; GAP_BUCKETS]);

impl GapHistogram {
    fn add(&mut self, gap: Duration) {
        self.0[bucket_of(gap.as_secs_f64())] += 1.0;
    }

    fn count(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns this histogram plus `other` scaled to a total of `weight` gaps.
    fn with_prior(&self, other: &Self, weight: f64) -> Self {
        let scale = weight / other.count().max(1.0);
        let mut mixed = self.clone();
        for (own, common) in mixed.0.iter_mut().zip(&other.0) {
            *own += common * scale;
        }
        mixed
    }

    /// Mean cost of a gap, in seconds, if the artifact is kept for `keep` seconds: the idle time,
    /// plus `cold_start` for each gap that is longer than `keep`.
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
struct GapHistory {
    last_use: Instant,
    gaps: GapHistogram,
    keep_seconds: f64,
}

/// Keeps an idle artifact for the time that would have cost least over the gaps seen so far, with
/// a cold start counted as a given idle time. The gaps of all artifacts serve as a prior for
/// artifacts with few gaps of their own.
#[derive(Clone, Debug)]
pub struct LearnedKeep {
    cold_start: Duration,
    longest: Duration,
    all_gaps: GapHistogram,
    histories: BTreeMap<String, GapHistory>,
}

impl LearnedKeep {
    /// Creates a policy that counts one cold start as costly as `cold_start` of idle time and
    /// never keeps an artifact for longer than `longest`.
    pub fn new(cold_start: Duration, longest: Duration) -> Self {
        Self {
            cold_start,
            longest,
            all_gaps: GapHistogram::default(),
            histories: BTreeMap::new(),
        }
    }

    /// Returns the keep time with the lowest cost for these gaps, in seconds, or `current` if the
    /// best one saves less than `MIN_SAVING`.
    fn best_keep(&self, gaps: &GapHistogram, current: f64) -> f64 {
        let cold_start = self.cold_start.as_secs_f64();
        let longest = self.longest.as_secs_f64();
        let ends = (0..GAP_BUCKETS).map(bucket_end);
        let options = ends.filter(|end| *end <= longest).chain([longest]);
        let cost = |keep: &f64| gaps.cost(*keep, cold_start);
        let best = options.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let best = best.unwrap_or(current);
        if cost(&best) < cost(&current) * (1.0 - MIN_SAVING) {
            best
        } else {
            current
        }
    }
}

impl IdlePolicy for LearnedKeep {
    fn note_use(&mut self, served_name: &str, now: Instant) {
        let longest = self.longest.as_secs_f64();
        let known = self.histories.remove(served_name);
        let mut history = known.unwrap_or_else(|| GapHistory {
            last_use: now,
            gaps: GapHistogram::default(),
            keep_seconds: longest,
        });
        let gap = now.duration_since(history.last_use);
        history.last_use = now;
        if gap > MIN_GAP {
            history.gaps.add(gap);
            self.all_gaps.add(gap);
            let gaps = history.gaps.with_prior(&self.all_gaps, PRIOR_WEIGHT);
            history.keep_seconds = self.best_keep(&gaps, history.keep_seconds);
        }
        self.histories.insert(served_name.to_owned(), history);
    }

    fn keep_for(&self, served_name: &str) -> Duration {
        let history = self.histories.get(served_name);
        history.map_or(self.longest, |h| Duration::from_secs_f64(h.keep_seconds))
    }

    fn expected_gap(&self, served_name: &str) -> Duration {
        let Some(history) = self.histories.get(served_name) else {
            return self.longest;
        };
        let gaps = history.gaps.with_prior(&self.all_gaps, PRIOR_WEIGHT);
        // An artifact that is always kept has no cold starts: its mean cost is the mean gap.
        Duration::from_secs_f64(gaps.cost(f64::INFINITY, 0.0))
    }
}
