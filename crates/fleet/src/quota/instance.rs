//! The instance's side of quotas: admits requests against the grants from the holder.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{
    Bucket, Claim, EQUAL_SHARE_TIME, GRANT_TTL, Grant, GrantId, LastGrant, UsageTotals,
    waiting::{Waiter, WaitingLine},
};
use crate::{config::Allowance, intake::Urgency};

/// Longest `retry_after` of an instance that does not know what is left of the allowance: the caller
/// may reach another instance.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Age of a grant from which the holder is asked again for what it could not spare then.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);
/// Time after the last contact with a holder, or after the start of this process, in which a grant is
/// expected and requests wait for it: a lost holder's lease lapses within 2 s, and its successor grants
/// nothing for up to [`GRANT_TTL`].
const GRANT_EXPECTED_TIME: Duration = Duration::from_secs(2).saturating_add(GRANT_TTL);
/// Time after which the holder is asked again if no grant has come in answer.
const UNANSWERED_ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Usage and current grant of each workspace at this instance.
#[derive(Debug, Default)]
pub struct InstanceQuotas {
    workspaces: HashMap<String, WorkspaceQuota>,
    /// Time of the last contact with a holder, or before any, of the first use.
    contact_at: Option<Instant>,
}

#[derive(Debug)]
struct WorkspaceQuota {
    /// Units spent since the start of the process.
    spent: f64,
    /// Units asked for since the start of the process.
    asked: f64,
    /// Number of the requests that asked for them.
    requests: f64,
    /// Requests that wait for a larger grant.
    line: WaitingLine,
    /// Allowance and number of sharing instances, as of the last request that began to wait.
    terms: Option<(Allowance, f64)>,
    /// Time at which the holder is to be asked for the requests that wait.
    ask_at: Instant,
    /// What was ahead of the request that was refused last, and when.
    backlog: Option<Backlog>,
    grant: Option<ReceivedGrant>,
    /// Equal share of the allowance, used while no grant is fresh.
    equal_share: Bucket,
    /// Time until which the equal share may be used.
    equal_share_until: Instant,
    /// Time until which a grant is expected although none is fresh.
    grant_expected_until: Instant,
}

/// Units that are certain to be taken before a request of some urgency.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    urgency: Urgency,
    units: f64,
    at: Instant,
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
    /// Time of the message that it answers.
    reported_at: Instant,
    /// Units of more urgent requests elsewhere before the first one that waits here.
    ahead: f64,
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

impl OverQuota {
    /// Refusal of a request of which is not known what it lacks: more urgent ones of its instance wait,
    /// or neither a grant nor an equal share is in force.
    pub fn undecided() -> Self {
        Self {
            retry_after: UNKNOWN_RETRY_AFTER,
            may_grant_more: false,
            is_exhausted: false,
            level: 0.0,
            grant_age: None,
            bucket_level: None,
        }
    }
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

    /// Takes the units of a request, or lets it wait for them and returns its ticket. It waits if the bucket
    /// of all instances can cover it in its time, beside the more urgent requests that are known to wait.
    ///
    /// # Errors
    ///
    /// If it cannot be covered in time, or if the equal share does not suffice and no grant is expected.
    pub fn request(
        &mut self,
        workspace: &str,
        allowance: Allowance,
        claim: Claim,
        instances: usize,
        now: Instant,
    ) -> Result<Option<u64>, OverQuota> {
        #[allow(clippy::cast_precision_loss)]
        let sharing_instances = instances.max(1) as f64;
        let quota = self.workspace_quota(workspace, now);
        let before = quota.line.units_before(&claim, now);
        let checked = quota.check(allowance, claim.units(), sharing_instances, now);
        match checked {
            Ok(()) if before <= 0.0 => {
                quota.spend(claim.units());
                return Ok(None);
            }
            Ok(()) => {}
            Err(over) if over.grant_age.is_none() => {
                if now >= quota.grant_expected_until {
                    return Err(over);
                }
            }
            Err(over) => {
                let before = before.max(quota.known_backlog(&claim, now));
                quota.cover_in_time(allowance, &claim, before, over, now)?;
            }
        }
        Ok(Some(quota.join(allowance, claim, sharing_instances, now)))
    }

    /// Lets a request wait for a larger grant, whether or not the bucket can cover it in its time, and
    /// returns its ticket. The first one of a workspace in the order of urgency is asked for at once.
    pub fn begin_wait(
        &mut self,
        workspace: &str,
        allowance: Allowance,
        claim: Claim,
        instances: usize,
        now: Instant,
    ) -> u64 {
        #[allow(clippy::cast_precision_loss)]
        let sharing_instances = instances.max(1) as f64;
        let quota = self.workspace_quota(workspace, now);
        quota.join(allowance, claim, sharing_instances, now)
    }

    /// What was decided on a waiting request; none while it waits. A decided request leaves the line.
    pub fn outcome(&mut self, workspace: &str, ticket: u64) -> Option<Result<(), OverQuota>> {
        let quota = self.workspaces.get_mut(workspace)?;
        quota.line.take_outcome(ticket).map(|(_, outcome)| outcome)
    }

    /// Ends the wait of a request that no longer needs its units, and returns them if it had been admitted.
    /// Returns what it lacked if it was still waiting.
    pub fn leave(&mut self, workspace: &str, ticket: u64, now: Instant) -> Option<OverQuota> {
        let quota = self.workspaces.get_mut(workspace)?;
        if let Some((units, outcome)) = quota.line.take_outcome(ticket) {
            if outcome.is_ok() {
                quota.spend(-units);
                quota.settle(now);
            }
            return outcome.err();
        }
        let (allowance, sharing_instances) = quota.terms?;
        let waiter = quota.line.remove(ticket)?;
        let claim = waiter.claim;
        let before = quota.line.units_before(&claim, now) + quota.ahead_of(waiter.joined_at);
        let checked = quota.check(allowance, claim.units(), sharing_instances, now);
        quota.settle(now);
        let over = checked.err()?;
        Some(quota.lacking(allowance, &claim, before, over, now).0)
    }

    /// Decides on the requests that wait, from the grants as they are now.
    pub fn settle(&mut self, now: Instant) {
        self.workspaces
            .values_mut()
            .for_each(|quota| quota.settle(now));
    }

    /// Whether any request waits for a larger grant.
    pub fn has_waiting(&self) -> bool {
        let mut quotas = self.workspaces.values();
        quotas.any(|quota| !quota.line.is_empty())
    }

    /// Time at which the holder is to be asked for larger grants; none while no request waits for one.
    pub fn next_ask(&self) -> Option<Instant> {
        let waiting = self.workspaces.values();
        let waiting = waiting.filter(|quota| !quota.line.is_empty());
        waiting.map(|quota| quota.ask_at).min()
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

    /// Usage of the workspaces for which requests wait for a larger grant, to ask the holder for it now.
    pub fn awaited_totals(&mut self, now: Instant) -> HashMap<String, UsageTotals> {
        let mut awaited = HashMap::new();
        for (name, quota) in &mut self.workspaces {
            if !quota.line.is_empty() {
                quota.ask_at = now + UNANSWERED_ASK_INTERVAL;
                awaited.insert(name.clone(), quota.totals(now));
            }
        }
        awaited
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
        self.contact_at = self.contact_at.max(Some(reported_at));
        let quota = self.workspace_quota(workspace, now);
        let is_older =
            |known: GrantId| known.fence == grant.id.fence && known.number > grant.id.number;
        if quota.grant.is_some_and(|known| is_older(known.id)) {
            return;
        }
        quota.equal_share_until = quota.equal_share_until.max(reported_at + EQUAL_SHARE_TIME);
        quota.grant_expected_until = reported_at + GRANT_EXPECTED_TIME;
        quota.grant = Some(ReceivedGrant {
            id: grant.id,
            bucket_level: grant.bucket_level,
            bucket: Bucket::new(grant.level, now),
            received_at: now,
            expires_at: reported_at + GRANT_TTL,
            share: grant.share,
            included: grant.included,
            spare: grant.spare,
            reported_at,
            ahead: grant.ahead,
        });
        quota.settle(now);
        let first = quota.line.first(now);
        let is_described = first.is_some_and(|first| first.joined_at <= reported_at);
        quota.ask_at = if is_described {
            now + grant.ask_again_in
        } else {
            now
        };
    }

    fn workspace_quota(&mut self, workspace: &str, now: Instant) -> &mut WorkspaceQuota {
        if !self.workspaces.contains_key(workspace) {
            let quota = WorkspaceQuota {
                spent: 0.0,
                asked: 0.0,
                requests: 0.0,
                line: WaitingLine::default(),
                terms: None,
                ask_at: now,
                backlog: None,
                grant: None,
                // Other instances may have spent the whole allowance right before this process
                // started.
                equal_share: Bucket::new(0.0, now),
                equal_share_until: now + EQUAL_SHARE_TIME,
                grant_expected_until: *self.contact_at.get_or_insert(now) + GRANT_EXPECTED_TIME,
            };
            self.workspaces.insert(workspace.to_owned(), quota);
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}

impl WorkspaceQuota {
    fn totals(&self, now: Instant) -> UsageTotals {
        let mut totals = UsageTotals {
            spent: self.spent,
            asked: self.asked,
            requests: self.requests,
            awaited: 0.0,
            waiting: Default::default(),
            last_grant: self.grant.map(|grant| LastGrant {
                id: grant.id,
                bucket_level: grant.bucket_level,
                age: now.saturating_duration_since(grant.received_at),
                included: grant.included,
            }),
        };
        self.line.describe(&mut totals, now);
        totals
    }

    fn join(
        &mut self,
        allowance: Allowance,
        claim: Claim,
        sharing_instances: f64,
        now: Instant,
    ) -> u64 {
        if self.line.units_before(&claim, now) <= 0.0 {
            self.ask_at = now;
        }
        self.terms = Some((allowance, sharing_instances));
        self.line.join(claim, now)
    }

    /// Decides on the requests that wait, in the order of their urgency. Without a fresh grant, none is
    /// refused while one is expected: a new holder may cover it.
    fn settle(&mut self, now: Instant) {
        let Some((allowance, sharing_instances)) = self.terms else {
            return;
        };
        if self.line.is_empty() {
            return;
        }
        let mut line = std::mem::take(&mut self.line);
        let mut before = 0.0;
        let decide = |waiter: &Waiter| {
            let claim = waiter.claim;
            let units = claim.units();
            if now >= claim.wait_until() {
                // Its wait is ended by whoever waits for it.
                return None;
            }
            let checked = self.check(allowance, units, sharing_instances, now);
            if checked.is_ok() && before <= 0.0 {
                self.spend(units);
                return Some(Ok(()));
            }
            if let Err(over) = checked
                && over.grant_age.is_none()
                && now >= self.grant_expected_until
            {
                return Some(Err(over));
            }
            let ahead = before + self.ahead_of(waiter.joined_at);
            if let Err(over) = checked
                && over.grant_age.is_some()
                && let Err(over) = self.cover_in_time(allowance, &claim, ahead, over, now)
            {
                self.backlog = Some(Backlog {
                    urgency: claim.urgency,
                    units: ahead,
                    at: now,
                });
                return Some(Err(over));
            }
            before += units;
            None
        };
        line.decide(decide, now);
        self.line = line;
    }

    /// Units of more urgent requests elsewhere, for a request that joined at `joined_at`: what the holder
    /// said in answer to an earlier message does not apply to it.
    fn ahead_of(&self, joined_at: Instant) -> f64 {
        let grant = self.grant.filter(|grant| joined_at <= grant.reported_at);
        grant.map_or(0.0, |grant| grant.ahead)
    }

    /// Units before a new request, as far as they are known from one that was refused lately and was not
    /// less urgent. A later grant accounts for those that have been served meanwhile.
    fn known_backlog(&self, claim: &Claim, now: Instant) -> f64 {
        let order = claim.urgency.order(now);
        let known = self.backlog.filter(|backlog| {
            now.saturating_duration_since(backlog.at) < ASK_AGAIN_AFTER
                && self
                    .grant
                    .is_some_and(|grant| grant.received_at <= backlog.at)
                && backlog.urgency.order(now) <= order
        });
        known.map_or(0.0, |backlog| backlog.units)
    }

    /// What a request lacks if `before` units are taken before it, and whether the refill covers that
    /// within its time.
    fn lacking(
        &self,
        allowance: Allowance,
        claim: &Claim,
        before: f64,
        over: OverQuota,
        now: Instant,
    ) -> (OverQuota, bool) {
        let Allowance { per_s, burst, .. } = allowance;
        let grant = self.grant.filter(|grant| now < grant.expires_at);
        let Some(bucket) = grant.map(|g| g.bucket_level_at(allowance, self.spent, now)) else {
            return (over, false);
        };
        let lacking = claim.units().min(burst) + before - bucket;
        let left = claim.wait_until().saturating_duration_since(now);
        let over = OverQuota {
            retry_after: refill_time(lacking, per_s),
            is_exhausted: lacking > 0.0,
            ..over
        };
        (over, lacking <= per_s * left.as_secs_f64())
    }

    /// Whether the bucket of all instances can cover a request within its time.
    fn cover_in_time(
        &self,
        allowance: Allowance,
        claim: &Claim,
        before: f64,
        over: OverQuota,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let (over, is_in_time) = self.lacking(allowance, claim, before, over, now);
        if is_in_time { Ok(()) } else { Err(over) }
    }

    fn take(
        &mut self,
        allowance: Allowance,
        cost: f64,
        sharing_instances: f64,
        now: Instant,
    ) -> Result<(), OverQuota> {
        self.check(allowance, cost, sharing_instances, now)?;
        self.spend(cost);
        Ok(())
    }

    fn spend(&mut self, cost: f64) {
        self.spent += cost;
        self.equal_share.take(cost);
    }

    /// Whether `cost` units can be taken.
    fn check(
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
                return Err(OverQuota::undecided());
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
