//! Allowances of workspaces over all instances.
//!
//! The holder of the planning duty adds up what all instances have spent. It grants each instance
//! a part of every workspace's bucket, by how much was asked for there lately, and an instance
//! admits against its grant less what it has spent since. All grants together never exceed the
//! bucket, so that any number of instances stays inside the allowance. An instance whose grant is
//! too small for a request while the bucket holds enough asks for more at once. Without a fresh
//! grant it admits against its own equal part, so that instances which cannot reach each other do
//! not exceed the allowance together.

mod holder;
mod instance;

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use self::{
    holder::Levels,
    instance::{OverQuota, Quotas},
};

/// Age at which a level from the holder is no longer used.
pub const LEVEL_LAPSE: Duration = Duration::from_millis(1_500);

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

/// Units spent and asked for since the start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Units spent.
    pub spent: f64,
    /// Units asked for.
    pub asked: f64,
    /// Units of the requests that wait for a larger grant.
    pub awaited: f64,
    /// What a holder told last.
    pub told: Option<LastTold>,
}

/// What a process was told last of an allowance, for a new holder.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LastTold {
    /// Level of the whole bucket.
    pub whole: f64,
    /// Time since then.
    pub age: Duration,
    /// What of the process's total the level includes.
    pub included: f64,
}

/// What an instance may take of a workspace's allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Level of the whole bucket.
    pub whole: f64,
    /// Units that it may take now; negative while too much was taken.
    pub level: f64,
    /// Part of what flows in that it may take.
    pub share: f64,
    /// What of its own total the level includes.
    pub included: f64,
    /// Units that the bucket has besides for those that ask.
    pub spare: f64,
}
