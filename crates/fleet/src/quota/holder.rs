//! The holder's side of quotas: bucket levels over all instances, and the grants from them.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{Bucket, GRANT_TTL, Grant, UsageTotals};
use crate::config::Allowance;

/// Time after which the holder forgets a process that no longer reports. A process that was
/// disconnected for less is charged for what it admitted meanwhile.
const PROCESS_RETENTION: Duration = Duration::from_mins(10);
/// A new bucket starts with the refill of this time if no instance reports an earlier grant: all
/// instances may have been lost at once, after spending the whole allowance.
const INITIAL_REFILL_TIME: Duration = Duration::from_millis(500);
/// Time for which the holder reserves an equal share of the refill for an instance that stopped
/// reporting: it may be disconnected and admit requests against that share on its own.
const SILENT_INSTANCE_RESERVE_TIME: Duration = Duration::from_secs(20);
/// Time constant of the smoothed demand rate of a process.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Fraction of the refill rate that is added, over all processes, to the measured demand, so that
/// an idle instance has a grant to admit its first requests.
const IDLE_DEMAND_FRACTION: f64 = 0.1;
/// Fraction of a bucket that is granted in advance; the rest is kept for instances that
/// ask for more.
const ADVANCE_GRANT_FRACTION: f64 = 0.15;
/// Fraction of the advance grants that is split equally; the rest is split by demand. The equal
/// split is needed because requests move between instances from one exchange to the next.
const EQUAL_SPLIT_FRACTION: f64 = 0.3;

/// Bucket levels and reported usage of all workspaces, kept by the holder.
#[derive(Debug, Default)]
pub struct GrantAllocator {
    /// Number of silent instances per reporting instance.
    silent_ratio: f64,
    buckets: HashMap<String, SharedBucket>,
    processes: HashMap<String, ReportingProcess>,
}

/// The bucket of one workspace, shared by all instances.
#[derive(Clone, Copy, Debug)]
struct SharedBucket {
    bucket: Bucket,
    /// When a process received the previous holder's grant from which this bucket was restored.
    restored_grant_at: Option<Instant>,
    /// Units spent by all processes since the grants of the previous holder.
    spent_since_grants: f64,
}

impl SharedBucket {
    /// Restores the level from the last grant that a process received from the previous holder, if
    /// no other process had a later one, and charges what the process has spent since.
    fn restore(&mut self, totals: &UsageTotals, allowance: Allowance, now: Instant) {
        let Some(last_grant) = totals.last_grant else {
            return;
        };
        let Allowance { per_s, burst, .. } = allowance;
        let at = now.checked_sub(last_grant.age).unwrap_or(now);
        if self.restored_grant_at.is_none_or(|before| before < at) {
            self.restored_grant_at = Some(at);
            self.bucket = Bucket::new(last_grant.bucket_level, at);
            self.bucket.refill(per_s, burst, now);
            self.bucket.take(self.spent_since_grants);
        }
        let spent = totals.spent - last_grant.included;
        self.spent_since_grants += spent;
        self.bucket.take(spent);
    }
}

/// A process that reports its usage.
#[derive(Debug)]
struct ReportingProcess {
    /// Time of its last report.
    reported_at: Instant,
    /// Usage in its last report, by workspace.
    usage: HashMap<String, WorkspaceUsage>,
}

impl ReportingProcess {
    fn new(reported_at: Instant) -> Self {
        Self {
            reported_at,
            usage: HashMap::new(),
        }
    }

    /// Whether its last report is recent enough for its grants to be in force.
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < GRANT_TTL
    }
}

/// Reported usage of one workspace by one process, and the process's current grant.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUsage {
    totals: UsageTotals,
    reported_at: Instant,
    /// Smoothed demand in units per second.
    demand_per_s: f64,
    /// Last grant, against which it may have spent units that it has not reported yet.
    granted: IssuedGrant,
}

/// The last grant of a process.
#[derive(Clone, Copy, Debug, Default)]
struct IssuedGrant {
    level: f64,
    /// Refill rate of the grant, in units per second.
    per_s: f64,
    issued_at: Option<Instant>,
}

impl IssuedGrant {
    /// Units that the process may have spent unreported; 0 once the grant has expired.
    fn outstanding(&self, now: Instant) -> f64 {
        let age = self.issued_at.map(|at| now.saturating_duration_since(at));
        match age {
            Some(age) if age < GRANT_TTL => (self.level + self.per_s * age.as_secs_f64()).max(0.0),
            _ => 0.0,
        }
    }
}

impl GrantAllocator {
    /// Records a usage report of a process and charges what it has spent since its last one. `name`
    /// begins with the name of the instance, up to a slash.
    pub fn record_usage<F>(
        &mut self,
        name: &str,
        totals: &HashMap<String, UsageTotals>,
        allowance: F,
        now: Instant,
    ) where
        F: Fn(&str) -> Option<Allowance>,
    {
        self.processes
            .retain(|_, p| now.saturating_duration_since(p.reported_at) < PROCESS_RETENTION);
        let is_known = self.processes.contains_key(name);
        let process = self.processes.entry(name.to_owned());
        process
            .or_insert_with(|| ReportingProcess::new(now))
            .reported_at = now;
        self.silent_ratio = self.silent_ratio(now);
        let silent_ratio = self.silent_ratio;
        let process = self.processes.get_mut(name).expect("inserted above");
        for (workspace, totals) in totals {
            let Some(allowance) = allowance(workspace) else {
                continue;
            };
            let Allowance { per_s, burst, .. } = allowance;
            let per_s = per_s / (1.0 + silent_ratio);
            let before = process.usage.get(workspace).copied();
            let shared = shared_bucket(&mut self.buckets, workspace, (per_s, burst), now);
            shared.bucket.refill(per_s, burst, now);
            match before {
                Some(before) => shared.bucket.take(totals.spent - before.totals.spent),
                None if is_known => shared.bucket.take(totals.spent),
                None => shared.restore(totals, allowance, now),
            }
            let usage = WorkspaceUsage::after(before, *totals, now);
            process.usage.insert(workspace.clone(), usage);
        }
    }

    /// Computes and records the grant of a process for a workspace. A process that has not reported
    /// gets an empty grant.
    pub fn grant(
        &mut self,
        process: &str,
        workspace: &str,
        allowance: Allowance,
        now: Instant,
    ) -> Grant {
        let Allowance { per_s, burst, .. } = allowance;
        let per_s = per_s / (1.0 + self.silent_ratio);
        let shared = shared_bucket(&mut self.buckets, workspace, (per_s, burst), now);
        let level = shared.bucket.refill(per_s, burst, now);
        let live = self.live_processes(now);
        let share = self.demand_share(process, workspace, per_s / live, now);
        let free = level - self.outstanding(process, workspace, now);
        let advance_share = ADVANCE_GRANT_FRACTION
            * ((1.0 - EQUAL_SPLIT_FRACTION) * share + EQUAL_SPLIT_FRACTION / live);
        let Some(process) = self.processes.get_mut(process) else {
            return Grant::default();
        };
        let own = process.usage.entry(workspace.to_owned());
        let own = own.or_insert_with(|| WorkspaceUsage::new(UsageTotals::default(), now));
        let wanted = own.totals.awaited.max(level * advance_share);
        // Outstanding grants lower a grant to 0 at most; a negative level is granted as it is.
        let granted = wanted.min(free.max(level.min(0.0)));
        own.granted = IssuedGrant {
            level: granted,
            per_s: per_s * share,
            issued_at: Some(now),
        };
        Grant {
            bucket_level: level,
            level: granted,
            share,
            included: own.totals.spent,
            spare: (free - granted).max(0.0),
        }
    }

    /// Number of instances that stopped reporting recently, per instance that reports.
    fn silent_ratio(&self, now: Instant) -> f64 {
        let (mut live, mut silent) = (HashSet::new(), HashSet::new());
        for (name, process) in &self.processes {
            let instance = name.split('/').next().unwrap_or_default();
            if process.is_live(now) {
                live.insert(instance);
            } else if now.saturating_duration_since(process.reported_at)
                < SILENT_INSTANCE_RESERVE_TIME
            {
                silent.insert(instance);
            }
        }
        #[allow(clippy::cast_precision_loss)]
        let ratio = silent.difference(&live).count() as f64 / live.len().max(1) as f64;
        ratio
    }

    /// Number of live processes, at least 1.
    fn live_processes(&self, now: Instant) -> f64 {
        let live = self.processes.values().filter(|p| p.is_live(now)).count();
        #[allow(clippy::cast_precision_loss)]
        let live = live.max(1) as f64;
        live
    }

    /// Units that all other processes may have spent of a workspace's allowance unreported.
    fn outstanding(&self, process: &str, workspace: &str, now: Instant) -> f64 {
        let others = self.processes.iter().filter(|(name, _)| *name != process);
        let granted = others.filter_map(|(_, p)| p.usage.get(workspace));
        granted.map(|r| r.granted.outstanding(now)).sum()
    }

    /// Fraction of the demand for a workspace that arrives at a process. `equal_per_s` is the
    /// refill rate divided by the number of live processes; a fraction of it counts as idle demand.
    fn demand_share(&self, process: &str, workspace: &str, equal_per_s: f64, now: Instant) -> f64 {
        let idle = equal_per_s * IDLE_DEMAND_FRACTION;
        let demand = |process: &ReportingProcess| {
            let reported = process.usage.get(workspace);
            idle + reported.map_or(0.0, |r| r.demand_at(now))
        };
        let live = self.processes.values().filter(|p| p.is_live(now));
        let all: f64 = live.map(demand).sum();
        let own = self.processes.get(process).map_or(idle, demand);
        (own / all.max(own)).min(1.0)
    }
}

impl WorkspaceUsage {
    /// State of a process without earlier demand.
    fn new(totals: UsageTotals, now: Instant) -> Self {
        Self {
            totals,
            reported_at: now,
            demand_per_s: 0.0,
            granted: IssuedGrant::default(),
        }
    }

    fn after(before: Option<Self>, totals: UsageTotals, now: Instant) -> Self {
        let Some(before) = before else {
            return Self::new(totals, now);
        };
        let asked = (totals.asked - before.totals.asked).max(0.0);
        Self {
            totals,
            reported_at: now,
            demand_per_s: before.demand_at(now) + asked / DEMAND_TIME_CONSTANT.as_secs_f64(),
            granted: before.granted,
        }
    }

    fn demand_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.reported_at);
        self.demand_per_s * (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

fn shared_bucket<'a>(
    buckets: &'a mut HashMap<String, SharedBucket>,
    workspace: &str,
    (per_s, burst): (f64, f64),
    now: Instant,
) -> &'a mut SharedBucket {
    if !buckets.contains_key(workspace) {
        let initial = SharedBucket {
            bucket: Bucket::new(burst.min(per_s * INITIAL_REFILL_TIME.as_secs_f64()), now),
            restored_grant_at: None,
            spent_since_grants: 0.0,
        };
        buckets.insert(workspace.to_owned(), initial);
    }
    buckets.get_mut(workspace).expect("inserted above")
}
