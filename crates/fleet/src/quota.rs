//! Allowances of workspaces over all instances.
//!
//! The holder of the planning duty adds up what all instances have spent and tells each the level
//! of every workspace's bucket. An instance admits against that level less what it has spent
//! since. Without a fresh level it admits against its own equal part, so that instances which
//! cannot reach each other do not exceed the allowance together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::config::Allowance;

/// Age at which a level from the holder is no longer used.
pub const LEVEL_LAPSE: Duration = Duration::from_millis(1_500);
/// Part of the burst that a holder starts with: it does not know what was spent before.
const INITIAL_PART: f64 = 0.5;

/// A token bucket whose level may be negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket with a level.
    pub fn new(level: f64, at: Instant) -> Self {
        Self { level, at }
    }

    /// Level at a time, with `per_s` flowing in up to `burst`.
    pub fn level(&mut self, per_s: f64, burst: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.level = (self.level + per_s * passed.as_secs_f64()).min(burst);
        self.at = now.max(self.at);
        self.level
    }

    /// Takes an amount.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}

/// What this instance has spent of each workspace's allowance, and what is left.
#[derive(Debug, Default)]
pub struct Quotas {
    workspaces: HashMap<String, Spent>,
}

#[derive(Debug)]
struct Spent {
    /// Units spent since the start of the process.
    total: f64,
    /// Level told by the holder, and what of `total` it includes.
    told: Option<(Bucket, Instant, f64)>,
    /// Own part, for times without a fresh level.
    own: Bucket,
}

/// Refusal of a request beyond its workspace's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time after which the allowance suffices if nobody else takes it.
    pub retry_after: Duration,
}

impl Quotas {
    /// Takes `cost` units, with `instances` sharing the allowance when levels are not fresh.
    pub fn take(
        &mut self,
        workspace: &str,
        allowance: Allowance,
        cost: u64,
        instances: usize,
        now: Instant,
    ) -> Result<(), OverQuota> {
        #[allow(clippy::cast_precision_loss)]
        let (cost, parts) = (cost as f64, instances.max(1) as f64);
        let Allowance { per_s, burst, .. } = allowance;
        let spent = self.spent(workspace, burst / parts, now);
        let own = spent.own.level(per_s / parts, burst / parts, now);
        let (level, per_s, burst) = match &mut spent.told {
            Some((bucket, at, included)) if now.duration_since(*at) < LEVEL_LAPSE => {
                let level = bucket.level(per_s, burst, now);
                (level - (spent.total - *included), per_s, burst)
            }
            _ => (own, per_s / parts, burst / parts),
        };
        // A request larger than the burst can only ever run from a full bucket.
        let wanted = cost.min(burst);
        if level < wanted {
            let wait = (wanted - level) / per_s.max(f64::MIN_POSITIVE);
            return Err(OverQuota {
                retry_after: Duration::from_secs_f64(wait.clamp(0.01, 60.0)),
            });
        }
        spent.total += cost;
        spent.own.take(cost);
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, workspace: &str, cost: u64) {
        if let Some(spent) = self.workspaces.get_mut(workspace) {
            #[allow(clippy::cast_precision_loss)]
            let cost = cost as f64;
            spent.total -= cost;
            spent.own.take(-cost);
        }
    }

    /// Units spent since the start of the process, by workspace.
    pub fn totals(&self) -> HashMap<String, f64> {
        let totals = self.workspaces.iter();
        totals.map(|(name, s)| (name.clone(), s.total)).collect()
    }

    /// Takes over a level from the holder that includes `included` of this instance's total.
    pub fn tell(&mut self, workspace: &str, level: f64, included: f64, now: Instant) {
        let spent = self.spent(workspace, 0.0, now);
        spent.told = Some((Bucket::new(level, now), now, included));
    }

    fn spent(&mut self, workspace: &str, own: f64, now: Instant) -> &mut Spent {
        if !self.workspaces.contains_key(workspace) {
            let spent = Spent {
                total: 0.0,
                told: None,
                own: Bucket::new(own, now),
            };
            self.workspaces.insert(workspace.to_owned(), spent);
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}

/// Levels over all instances, at the holder.
#[derive(Debug, Default)]
pub struct Levels {
    buckets: HashMap<String, Bucket>,
    /// Totals of each instance's process that were subtracted.
    counted: HashMap<String, HashMap<String, f64>>,
}

impl Levels {
    /// Adds what a process of an instance has spent since its last report.
    pub fn note<F>(
        &mut self,
        process: &str,
        totals: &HashMap<String, f64>,
        allowance: F,
        now: Instant,
    ) where
        F: Fn(&str) -> Option<Allowance>,
    {
        let is_known = self.counted.contains_key(process);
        let counted = self.counted.entry(process.to_owned()).or_default();
        for (workspace, total) in totals {
            let Some(Allowance { per_s, burst, .. }) = allowance(workspace) else {
                continue;
            };
            let before = counted.insert(workspace.clone(), *total);
            // What a process spent before its first report to this holder is in the initial part.
            let spent = match before {
                Some(before) => total - before,
                None if is_known => *total,
                None => 0.0,
            };
            let bucket = bucket(&mut self.buckets, workspace, burst, now);
            bucket.level(per_s, burst, now);
            bucket.take(spent);
        }
    }

    /// Level of a workspace.
    pub fn level(&mut self, workspace: &str, allowance: Allowance, now: Instant) -> f64 {
        let Allowance { per_s, burst, .. } = allowance;
        bucket(&mut self.buckets, workspace, burst, now).level(per_s, burst, now)
    }
}

fn bucket<'a>(
    buckets: &'a mut HashMap<String, Bucket>,
    workspace: &str,
    burst: f64,
    now: Instant,
) -> &'a mut Bucket {
    if !buckets.contains_key(workspace) {
        let initial = Bucket::new(burst * INITIAL_PART, now);
        buckets.insert(workspace.to_owned(), initial);
    }
    buckets.get_mut(workspace).expect("inserted above")
}
