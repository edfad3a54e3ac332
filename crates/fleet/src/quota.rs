//! Allowances of workspaces over all instances.
//!
//! The holder of the planning duty adds up what all instances have spent. It tells each instance
//! how much of every workspace's bucket it may take, by how much was asked for there lately. An
//! instance admits against that level less what it has spent since. Without a fresh level it
//! admits against its own equal part, so that instances which cannot reach each other do not
//! exceed the allowance together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::config::Allowance;

/// Age at which a level from the holder is no longer used.
pub const LEVEL_LAPSE: Duration = Duration::from_millis(1_500);
/// Part of the burst that a holder starts with: it does not know what was spent before.
const INITIAL_PART: f64 = 0.5;
/// Time constant of the smoothed rate at which an instance is asked for units.
const ASKED_TIME: Duration = Duration::from_secs(1);
/// Part of an allowance that counts as asked for at all instances together although it was not,
/// so that an instance that was idle can admit at once.
const IDLE_PART: f64 = 0.1;
/// Part of the burst above which any instance may take all of a bucket: its workspace is well
/// inside its allowance. What instances take too much together until the next exchange is repaid
/// out of what flows in.
const AMPLE_PART: f64 = 0.6;
/// An instance may take its share of a bucket that is not ample times this: requests move between
/// instances from one exchange to the next.
const SHARE_MARGIN: f64 = 1.3;

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
    /// Units asked for since the start of the process.
    asked: f64,
    told: Option<Told>,
    /// Own part, for times without a fresh level.
    own: Bucket,
}

/// What the holder told of a workspace.
#[derive(Clone, Copy, Debug)]
struct Told {
    bucket: Bucket,
    at: Instant,
    /// Part of what flows in that this instance may take.
    share: f64,
    /// What of the instance's total the level includes.
    included: f64,
}

/// Units spent and asked for since the start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Units spent.
    pub spent: f64,
    /// Units asked for.
    pub asked: f64,
}

/// What an instance may take of a workspace's allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Units that it may take now; negative while too much was taken.
    pub level: f64,
    /// Part of what flows in that it may take.
    pub share: f64,
    /// What of its own total the level includes.
    pub included: f64,
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
        spent.asked += cost;
        let told = spent.told.as_mut();
        let fresh = told.filter(|t| now.saturating_duration_since(t.at) < LEVEL_LAPSE);
        let (level, per_s, burst) = if let Some(told) = fresh {
            // Its own part begins when the holder falls silent.
            spent.own = Bucket::new(0.0, now);
            let per_s = per_s * told.share;
            let level = told.bucket.level(per_s, burst, now);
            (level - (spent.total - told.included), per_s, burst)
        } else {
            let (per_s, burst) = (per_s / parts, burst / parts);
            (spent.own.level(per_s, burst, now), per_s, burst)
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

    /// Units spent and asked for since the start of the process, by workspace.
    pub fn totals(&self) -> HashMap<String, Totals> {
        let totals = self.workspaces.iter().map(|(name, s)| {
            let totals = Totals {
                spent: s.total,
                asked: s.asked,
            };
            (name.clone(), totals)
        });
        totals.collect()
    }

    /// Takes over what the holder grants.
    pub fn tell(&mut self, workspace: &str, grant: Grant, now: Instant) {
        let spent = self.spent(workspace, 0.0, now);
        spent.told = Some(Told {
            bucket: Bucket::new(grant.level, now),
            at: now,
            share: grant.share,
            included: grant.included,
        });
    }

    fn spent(&mut self, workspace: &str, own: f64, now: Instant) -> &mut Spent {
        if !self.workspaces.contains_key(workspace) {
            let spent = Spent {
                total: 0.0,
                asked: 0.0,
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
    /// What each process reported last, by workspace.
    reported: HashMap<String, HashMap<String, Reported>>,
}

/// What a process reported of a workspace.
#[derive(Clone, Copy, Debug)]
struct Reported {
    totals: Totals,
    at: Instant,
    /// Smoothed units asked for each second.
    asked_per_s: f64,
}

impl Levels {
    /// Adds what a process of an instance has spent since its last report.
    pub fn note<F>(
        &mut self,
        process: &str,
        totals: &HashMap<String, Totals>,
        allowance: F,
        now: Instant,
    ) where
        F: Fn(&str) -> Option<Allowance>,
    {
        let is_known = self.reported.contains_key(process);
        let reported = self.reported.entry(process.to_owned()).or_default();
        for (workspace, totals) in totals {
            let Some(Allowance { per_s, burst, .. }) = allowance(workspace) else {
                continue;
            };
            let before = reported.get(workspace).copied();
            // What a process spent before its first report to this holder is in the initial part.
            let spent = match before {
                Some(before) => totals.spent - before.totals.spent,
                None if is_known => totals.spent,
                None => 0.0,
            };
            let now_reported = Reported::after(before, *totals, now);
            reported.insert(workspace.clone(), now_reported);
            let bucket = bucket(&mut self.buckets, workspace, burst, now);
            bucket.level(per_s, burst, now);
            bucket.take(spent);
        }
    }

    /// What a process may take of a workspace's allowance.
    pub fn grant(
        &mut self,
        process: &str,
        workspace: &str,
        allowance: Allowance,
        now: Instant,
    ) -> Grant {
        let Allowance { per_s, burst, .. } = allowance;
        let level = bucket(&mut self.buckets, workspace, burst, now).level(per_s, burst, now);
        let share = self.share(process, workspace, per_s, now);
        let part = if level > burst * AMPLE_PART {
            1.0
        } else {
            (share * SHARE_MARGIN).min(1.0)
        };
        let own = self.reported.get(process).and_then(|r| r.get(workspace));
        Grant {
            level: if level > 0.0 { level * part } else { level },
            share,
            included: own.map_or(0.0, |r| r.totals.spent),
        }
    }

    /// Part of what is asked of a workspace that is asked through a process.
    fn share(&self, process: &str, workspace: &str, per_s: f64, now: Instant) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let idle = per_s * IDLE_PART / self.reported.len().max(1) as f64;
        let asked = |reported: &HashMap<String, Reported>| {
            idle + reported.get(workspace).map_or(0.0, |r| r.asked_now(now))
        };
        let all: f64 = self.reported.values().map(asked).sum();
        let own = self.reported.get(process).map_or(idle, asked);
        (own / all.max(own)).min(1.0)
    }
}

impl Reported {
    fn after(before: Option<Self>, totals: Totals, now: Instant) -> Self {
        let Some(before) = before else {
            return Self {
                totals,
                at: now,
                asked_per_s: 0.0,
            };
        };
        let asked = (totals.asked - before.totals.asked).max(0.0);
        Self {
            totals,
            at: now,
            asked_per_s: before.asked_now(now) + asked / ASKED_TIME.as_secs_f64(),
        }
    }

    fn asked_now(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.asked_per_s * (-passed.as_secs_f64() / ASKED_TIME.as_secs_f64()).exp()
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
