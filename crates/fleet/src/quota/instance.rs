//! What an instance may admit.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Bucket, Grant, LEVEL_LAPSE, LastTold, Totals};
use crate::config::Allowance;

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
    /// Units of the requests that wait for a larger grant.
    awaited: f64,
    told: Option<Told>,
    /// Own part, for times without a fresh level.
    own: Bucket,
}

/// What the holder told of a workspace.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Level of the whole bucket.
    whole: f64,
    bucket: Bucket,
    at: Instant,
    /// Part of what flows in that this instance may take.
    share: f64,
    /// What of the instance's total the level includes.
    included: f64,
    /// Units that the holder had besides for those that ask.
    spare: f64,
}

/// Refusal of a request beyond its workspace's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time after which the allowance suffices if nobody else takes it.
    pub retry_after: Duration,
    /// Whether the holder may grant the request if it is asked now.
    pub can_ask: bool,
}

impl Quotas {
    /// Notes that a request asks for `cost` units.
    pub fn note_asked(&mut self, workspace: &str, cost: u64) {
        if let Some(spent) = self.workspaces.get_mut(workspace) {
            spent.asked += units(cost);
        }
    }

    /// Notes that a request waits until the holder grants `cost` units more.
    pub fn begin_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(spent) = self.workspaces.get_mut(workspace) {
            spent.awaited += units(cost);
        }
    }

    /// Notes that it does not wait any more.
    pub fn end_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(spent) = self.workspaces.get_mut(workspace) {
            spent.awaited -= units(cost);
        }
    }

    /// Whether a request waits for a larger grant.
    pub fn has_waiting(&self) -> bool {
        self.workspaces.values().any(|spent| spent.awaited > 0.0)
    }

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
        let parts = instances.max(1) as f64;
        let spent = self.spent(workspace, now);
        spent.take(allowance, units(cost), parts, now)
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, workspace: &str, cost: u64) {
        if let Some(spent) = self.workspaces.get_mut(workspace) {
            spent.total -= units(cost);
            spent.own.take(-units(cost));
        }
    }

    /// What the holder has to know of this process, by workspace.
    pub fn totals(&self, now: Instant) -> HashMap<String, Totals> {
        let totals = self.workspaces.iter().map(|(name, s)| {
            let totals = Totals {
                spent: s.total,
                asked: s.asked,
                awaited: s.awaited,
                told: s.told.map(|told| LastTold {
                    whole: told.whole,
                    age: now.saturating_duration_since(told.at),
                    included: told.included,
                }),
            };
            (name.clone(), totals)
        });
        totals.collect()
    }

    /// Takes over what the holder grants.
    pub fn tell(&mut self, workspace: &str, grant: Grant, now: Instant) {
        let spent = self.spent(workspace, now);
        spent.told = Some(Told {
            whole: grant.whole,
            bucket: Bucket::new(grant.level, now),
            at: now,
            share: grant.share,
            included: grant.included,
            spare: grant.spare,
        });
    }

    fn spent(&mut self, workspace: &str, now: Instant) -> &mut Spent {
        if !self.workspaces.contains_key(workspace) {
            let spent = Spent {
                total: 0.0,
                asked: 0.0,
                awaited: 0.0,
                told: None,
                // Others may have spent everything right before this process started.
                own: Bucket::new(0.0, now),
            };
            self.workspaces.insert(workspace.to_owned(), spent);
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}

impl Spent {
    fn take(
        &mut self,
        allowance: Allowance,
        cost: f64,
        parts: f64,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let Allowance { per_s, burst, .. } = allowance;
        let told = self.told.as_mut();
        let fresh = told.filter(|t| now.saturating_duration_since(t.at) < LEVEL_LAPSE);
        let spare = fresh.as_ref().map_or(0.0, |t| t.spare);
        let (level, per_s, burst) = if let Some(told) = fresh {
            // Its own part begins when the holder falls silent.
            self.own = Bucket::new(0.0, now);
            let per_s = per_s * told.share;
            // What was spent since makes room in the bucket for what flows in.
            let since = self.total - told.included;
            let level = told.bucket.level(per_s, burst + since.max(0.0), now);
            (level - since, per_s, burst)
        } else {
            let (per_s, burst) = (per_s / parts, burst / parts);
            (self.own.level(per_s, burst, now), per_s, burst)
        };
        // A request larger than the burst can only ever run from a full bucket.
        let wanted = cost.min(burst);
        if level < wanted {
            let wait = (wanted - level) / per_s.max(f64::MIN_POSITIVE);
            return Err(OverQuota {
                retry_after: Duration::from_secs_f64(wait.clamp(0.01, 60.0)),
                can_ask: wanted <= level + spare,
            });
        }
        self.total += cost;
        self.own.take(cost);
        Ok(())
    }
}

#[allow(clippy::cast_precision_loss)]
fn units(cost: u64) -> f64 {
    cost as f64
}
