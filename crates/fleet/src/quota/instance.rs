//! The instance's side of quotas: admits requests against the grants from the holder.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Bucket, EQUAL_SHARE_TIME, GRANT_TTL, Grant, GrantId, LastGrant, UsageTotals};
use crate::config::Allowance;

/// Longest `retry_after` of an instance that does not know what is left of the allowance: the caller
/// may reach another instance.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Age of a grant from which the holder is asked again for what it could not spare then.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Usage and current grant of each workspace at this instance.
#[derive(Debug, Default)]
pub struct InstanceQuotas {
    workspaces: HashMap<String, WorkspaceQuota>,
}

#[derive(Debug)]
struct WorkspaceQuota {
    /// Units spent since the start of the process.
    spent: f64,
    /// Units asked for since the start of the process.
    asked: f64,
    /// Number of the requests that asked for them.
    requests: f64,
    /// Units of the requests that currently wait for a larger grant.
    awaited: f64,
    grant: Option<ReceivedGrant>,
    /// Equal share of the allowance, used while no grant is fresh.
    equal_share: Bucket,
    /// Time until which the equal share may be used.
    equal_share_until: Instant,
}

/// The last grant that the holder sent for a workspace.
#[derive(Clone, Copy, Debug)]
struct ReceivedGrant {
    id: GrantId,
    /// Level of the bucket shared by all instances.
    bucket_level: f64,
    bucket: Bucket,
    received_at: Instant,
    /// The holder counts the grant from the report that asked for it.
    expires_at: Instant,
    /// Fraction of the refill rate that this instance may take, from 0 to 1.
    share: f64,
    /// The instance's `spent` total that the level already accounts for.
    included: f64,
    /// Units that the holder could still grant on request.
    spare: f64,
}

impl ReceivedGrant {
    /// Level of the bucket shared by all instances, if no other instance has taken anything since this
    /// grant.
    fn bucket_level_at(&self, allowance: Allowance, spent: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.received_at);
        let refilled = self.bucket_level + allowance.per_s * age.as_secs_f64();
        refilled.min(allowance.burst) - (spent - self.included).max(0.0)
    }
}

/// Refusal of a request that exceeds its workspace's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Time after which the allowance suffices if no other request takes it; from 10 ms to 60 s.
    pub retry_after: Duration,
    /// Whether the holder may grant the request if asked now.
    pub may_grant_more: bool,
    /// Whether the holder has said lately that the allowance of all instances together does not
    /// suffice.
    pub is_exhausted: bool,
    /// Units that the instance could admit.
    pub level: f64,
    /// Age of the grant that decided; none if the equal share did.
    pub grant_age: Option<Duration>,
    /// Level of the bucket shared by all instances, as of the last grant.
    pub bucket_level: Option<f64>,
}

impl InstanceQuotas {
    /// Counts `cost` units as demand, whether or not the request is admitted. Has no effect before
    /// the first [`Self::take`] or [`Self::apply_grant`] for the workspace.
    pub fn record_demand(&mut self, workspace: &str, cost: u64) {
        if let Some(quota) = self.workspaces.get_mut(workspace) {
            quota.asked += units(cost);
            quota.requests += 1.0;
        }
    }

    /// Counts a request that waits for a grant of `cost` more units. Each call needs one
    /// [`Self::end_wait`].
    pub fn begin_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(quota) = self.workspaces.get_mut(workspace) {
            quota.awaited += units(cost);
        }
    }

    /// Ends a wait that [`Self::begin_wait`] began with the same cost.
    pub fn end_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(quota) = self.workspaces.get_mut(workspace) {
            quota.awaited -= units(cost);
        }
    }

    /// Whether any request waits for a larger grant.
    pub fn has_waiting(&self) -> bool {
        self.workspaces.values().any(|quota| quota.awaited > 0.0)
    }

    /// Takes `cost` units. Without a fresh grant, this instance may use its equal share among
    /// `instances`.
    pub fn take(
        &mut self,
        workspace: &str,
        allowance: Allowance,
        cost: u64,
        instances: usize,
        now: Instant,
    ) -> Result<(), OverQuota> {
        #[allow(clippy::cast_precision_loss)]
        let sharing_instances = instances.max(1) as f64;
        let quota = self.workspace_quota(workspace, now);
        quota.take(allowance, units(cost), sharing_instances, now)
    }

    /// Returns the units of an admitted request that did not run.
    pub fn give_back(&mut self, workspace: &str, cost: u64) {
        if let Some(quota) = self.workspaces.get_mut(workspace) {
            quota.spent -= units(cost);
            quota.equal_share.take(-units(cost));
        }
    }

    /// Usage to report to the holder, by workspace.
    pub fn totals(&self, now: Instant) -> HashMap<String, UsageTotals> {
        let workspaces = self.workspaces.iter();
        workspaces
            .map(|(name, s)| (name.clone(), s.totals(now)))
            .collect()
    }

    /// Usage of the workspaces for which requests wait for a larger grant, to ask the holder for it.
    pub fn awaited_totals(&self, now: Instant) -> HashMap<String, UsageTotals> {
        let awaited = self.workspaces.iter().filter(|(_, s)| s.awaited > 0.0);
        awaited
            .map(|(name, s)| (name.clone(), s.totals(now)))
            .collect()
    }

    /// Replaces the grant of a workspace by one that the holder sent in answer to a report built at
    /// `reported_at`. An earlier grant of the same holder has no effect.
    pub fn apply_grant(
        &mut self,
        workspace: &str,
        grant: Grant,
        reported_at: Instant,
        now: Instant,
    ) {
        let quota = self.workspace_quota(workspace, now);
        let is_older =
            |known: GrantId| known.fence == grant.id.fence && known.number > grant.id.number;
        if quota.grant.is_some_and(|known| is_older(known.id)) {
            return;
        }
        quota.equal_share_until = quota.equal_share_until.max(reported_at + EQUAL_SHARE_TIME);
        quota.grant = Some(ReceivedGrant {
            id: grant.id,
            bucket_level: grant.bucket_level,
            bucket: Bucket::new(grant.level, now),
            received_at: now,
            expires_at: reported_at + GRANT_TTL,
            share: grant.share,
            included: grant.included,
            spare: grant.spare,
        });
    }

    fn workspace_quota(&mut self, workspace: &str, now: Instant) -> &mut WorkspaceQuota {
        if !self.workspaces.contains_key(workspace) {
            let quota = WorkspaceQuota {
                spent: 0.0,
                asked: 0.0,
                requests: 0.0,
                awaited: 0.0,
                grant: None,
                // Other instances may have spent the whole allowance right before this process
                // started.
                equal_share: Bucket::new(0.0, now),
                equal_share_until: now + EQUAL_SHARE_TIME,
            };
            self.workspaces.insert(workspace.to_owned(), quota);
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}

impl WorkspaceQuota {
    fn totals(&self, now: Instant) -> UsageTotals {
        UsageTotals {
            spent: self.spent,
            asked: self.asked,
            requests: self.requests,
            awaited: self.awaited,
            last_grant: self.grant.map(|grant| LastGrant {
                id: grant.id,
                bucket_level: grant.bucket_level,
                age: now.saturating_duration_since(grant.received_at),
                included: grant.included,
            }),
        }
    }

    fn take(
        &mut self,
        allowance: Allowance,
        cost: f64,
        sharing_instances: f64,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let Allowance { per_s, burst, .. } = allowance;
        let grant = self.grant.as_mut();
        let fresh_grant = grant.filter(|g| now < g.expires_at);
        let bucket_now = fresh_grant
            .as_ref()
            .map(|g| g.bucket_level_at(allowance, self.spent, now));
        let spare = fresh_grant.as_ref().map_or(0.0, |g| g.spare);
        let grant_age = fresh_grant
            .as_ref()
            .map(|g| now.saturating_duration_since(g.received_at));
        let bucket_level = fresh_grant.as_ref().map(|g| g.bucket_level);
        let (level, per_s, burst) = if let Some(grant) = fresh_grant {
            // The equal share starts empty when the grant expires.
            self.equal_share = Bucket::new(0.0, now);
            let per_s = per_s * grant.share;
            // The bucket does not account for the units spent since the grant. They are subtracted
            // below, so the refill may exceed the burst by as much.
            let since = self.spent - grant.included;
            let level = grant.bucket.refill(per_s, burst + since.max(0.0), now);
            (level - since, per_s, burst)
        } else {
            let (per_s, burst) = (per_s / sharing_instances, burst / sharing_instances);
            let level = self.equal_share.refill(per_s, burst, now);
            if now >= self.equal_share_until {
                return Err(OverQuota {
                    retry_after: UNKNOWN_RETRY_AFTER,
                    may_grant_more: false,
                    is_exhausted: false,
                    level: 0.0,
                    grant_age,
                    bucket_level,
                });
            }
            (level, per_s, burst)
        };
        // A request larger than the burst is admitted when the bucket is full.
        let wanted = cost.min(burst);
        if level < wanted {
            let wait = if grant_age.is_some() {
                // Before that, the holder is not asked again.
                refill_time(wanted - level - spare, allowance.per_s).max(ASK_AGAIN_AFTER)
            } else {
                UNKNOWN_RETRY_AFTER
            };
            let is_left = bucket_now.is_some_and(|bucket| bucket >= wanted);
            let may_have_changed = grant_age.is_some_and(|age| age >= ASK_AGAIN_AFTER);
            let may_grant_more = wanted <= level + spare || is_left && may_have_changed;
            return Err(OverQuota {
                retry_after: refill_time(wanted - level, per_s).min(wait),
                may_grant_more,
                is_exhausted: grant_age.is_some() && !may_grant_more,
                level,
                grant_age,
                bucket_level,
            });
        }
        self.spent += cost;
        self.equal_share.take(cost);
        Ok(())
    }
}

/// Time in which a bucket is refilled by `missing` units, from 10 ms to 60 s.
fn refill_time(missing: f64, per_s: f64) -> Duration {
    let time_s = missing / per_s.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(time_s.clamp(0.01, 60.0))
}

#[allow(clippy::cast_precision_loss)]
fn units(cost: u64) -> f64 {
    cost as f64
}
