//! The holder's side of quotas: bucket levels over all instances, and the grants from them.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    time::{Duration, Instant},
};

use super::{
    EQUAL_SHARE_TIME, GRANT_TTL, Grant, GrantId, UsageTotals, issued_grant::IssuedGrant,
    shared_bucket::SharedBucket, waiting_index::WaitingIndex,
};
use crate::config::Allowance;

/// Time after which the holder forgets a process that no longer reports. A process that was
/// disconnected for less is charged for what it admitted meanwhile.
const PROCESS_RETENTION: Duration = Duration::from_mins(10);
/// Time for which the holder reserves an equal share of the refill for an instance that stopped
/// reporting: it may be disconnected and admit requests against that share on its own. Its time
/// counts from its last report, and clocks run at slightly different rates.
pub const SILENT_INSTANCE_RESERVE_TIME: Duration = EQUAL_SHARE_TIME.saturating_add(GRANT_TTL);
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
/// Number of processes up to which sums over all of them are computed for each grant.
const EXACT_SUM_PROCESSES: usize = 40;
/// Age of such sums up to which they are used in larger fleets, with the growth of grants since. Small
/// against the time constant of demand.
const SUM_MAX_AGE: Duration = Duration::from_millis(100);

/// Bucket levels and reported usage of all workspaces, kept by the holder.
#[derive(Debug, Default)]
pub struct GrantAllocator {
    /// Sums over all processes, by workspace.
    sums: HashMap<String, ProcessSums>,
    /// Number of live processes.
    live: f64,
    /// Time at which silent and live processes were counted.
    counted_at: Option<Instant>,
    /// Fencing token of the holder.
    fence: u64,
    /// Number of grants issued.
    grants: u64,
    /// Number of silent instances per reporting instance.
    silent_ratio: f64,
    /// Silent instances at the last count, with the time of their last report.
    silent: HashMap<String, Instant>,
    buckets: HashMap<String, SharedBucket>,
    /// Costs of requests, by workspace.
    costs: HashMap<String, RequestCosts>,
    processes: HashMap<String, ReportingProcess>,
    /// Requests that wait for units, by workspace.
    waiting: HashMap<String, WaitingIndex>,
    /// Instances of which only the previous holder or the store told, by name, with the time since
    /// which they are silent.
    unheard: HashMap<String, Instant>,
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

/// What the holder knew of a process before it reported usage.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Whether the process has reported to this holder before.
    is_known: bool,
    /// Whether it has not reported for so long that a part of the refill was reserved for it.
    was_silent: bool,
    /// Whether grants of the previous holder may still be in force at any process.
    has_old_grants: bool,
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
    /// Units of expired grants that it was charged for without having reported them.
    presumed_spent: f64,
    /// Its parts of the sums over all processes.
    summed_outstanding: f64,
    summed_per_s: f64,
    summed_demand_per_s: f64,
}

/// Costs of all requests for a workspace.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCosts {
    units: f64,
    requests: f64,
}

impl RequestCosts {
    /// Adds the requests between two reports of a process.
    fn record(&mut self, before: Option<&UsageTotals>, after: &UsageTotals) {
        let before = before.copied().unwrap_or_default();
        self.units += (after.asked - before.asked).max(0.0);
        self.requests += (after.requests - before.requests).max(0.0);
    }

    /// Mean cost of a request in units; 0 if there was none.
    fn mean(self) -> f64 {
        self.units / self.requests.max(1.0)
    }
}

/// Sums over all processes for one workspace.
#[derive(Clone, Copy, Debug)]
struct ProcessSums {
    computed_at: Instant,
    /// Units that processes may have spent unreported.
    outstanding: f64,
    /// Refill rate of their grants, by which that grows, in units per second.
    per_s: f64,
    /// Smoothed demand in units per second.
    demand_per_s: f64,
}

impl GrantAllocator {
    /// Begins a tenure. `silent` names instances that may admit requests without having reported to
    /// this holder, with the time since their last known contact with a holder. Instances that
    /// report are removed from it.
    pub fn begin<I>(fence: u64, silent: I, now: Instant) -> Self
    where
        I: IntoIterator<Item = (String, Duration)>,
    {
        let silent = silent.into_iter();
        let since = |age: Duration| now.checked_sub(age).unwrap_or(now);
        Self {
            fence,
            unheard: silent.map(|(name, age)| (name, since(age))).collect(),
            ..Self::default()
        }
    }

    /// Instances that stopped reporting and may admit requests against an equal share, with the
    /// time since their last report. In large fleets, as of the last count.
    pub fn silent_instances(&self, now: Instant) -> HashMap<String, Duration> {
        let age = |since: Instant| now.saturating_duration_since(since);
        let ages = |silent: &HashMap<String, Instant>| {
            let silent = silent.iter();
            silent
                .map(|(name, since)| (name.clone(), age(*since)))
                .collect()
        };
        if self.is_recent(self.counted_at, now) {
            ages(&self.silent)
        } else {
            ages(&self.find_silent(now))
        }
    }

    /// Number of silent instances for each instance that reports, as of the last count.
    pub fn silent_ratio(&self) -> f64 {
        self.silent_ratio
    }

    /// Finds the silent instances, with the time of their last report.
    fn find_silent(&self, now: Instant) -> HashMap<String, Instant> {
        let mut live = HashSet::new();
        let mut silent: HashMap<&str, Instant> = HashMap::new();
        for (name, process) in &self.processes {
            let instance = instance_of(name);
            if process.is_live(now) {
                live.insert(instance);
            } else {
                let since = silent.entry(instance).or_insert(process.reported_at);
                *since = process.reported_at.max(*since);
            }
        }
        for (name, since) in &self.unheard {
            silent.entry(name).or_insert(*since);
        }
        let age = |since: Instant| now.saturating_duration_since(since);
        let silent = silent.into_iter().filter(|(name, since)| {
            !live.contains(name) && age(*since) < SILENT_INSTANCE_RESERVE_TIME
        });
        silent
            .map(|(name, since)| (name.to_owned(), since))
            .collect()
    }

    /// Charges processes for expired grants that they have not reported on: they may be lost or cut
    /// off after having spent them. A later report corrects this.
    fn charge_expired_grants(&mut self, now: Instant) {
        for process in self.processes.values_mut() {
            if process.is_live(now) {
                continue;
            }
            for (workspace, usage) in &mut process.usage {
                if !usage.granted.has_expired(now) {
                    continue;
                }
                let presumed = usage.granted.outstanding(now);
                usage.granted = IssuedGrant::default();
                usage.presumed_spent += presumed;
                if let Some(shared) = self.buckets.get_mut(workspace) {
                    shared.take(presumed);
                }
            }
        }
    }

    /// Whether some instance may still hold a grant of the previous holder.
    fn has_old_grants(&self, now: Instant) -> bool {
        let holds_grant = |since: &Instant| now.saturating_duration_since(*since) < GRANT_TTL;
        self.unheard.values().any(holds_grant)
    }

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
        if !self.is_recent(self.counted_at, now) {
            self.charge_expired_grants(now);
        }
        let unheard_since = self.unheard.remove(instance_of(name));
        let has_old_grants = self.has_old_grants(now);
        let process = self.processes.entry(name.to_owned());
        let is_known = matches!(process, Entry::Occupied(_));
        let process = process.or_insert_with(|| ReportingProcess::new(now));
        let silent_since = if is_known {
            Some(process.reported_at)
        } else {
            unheard_since
        };
        let was_silent =
            silent_since.is_some_and(|at| now.saturating_duration_since(at) >= GRANT_TTL);
        process.reported_at = now;
        if !is_known || was_silent || !self.is_recent(self.counted_at, now) {
            self.charge_expired_grants(now);
            self.count_processes(now);
        }
        let contact = Contact {
            is_known,
            was_silent,
            has_old_grants,
        };
        self.record_totals(name, totals, allowance, contact, now);
    }

    /// Records the usage of some workspaces by a process between two of its reports, so that it can be
    /// granted more of them. Returns whether the process may be granted anything: it must have
    /// reported recently.
    ///
    /// This is no sign of life. Without reports, the grants of other workspaces expire, and the process
    /// may use its equal shares of them.
    pub fn record_partial_usage<F>(
        &mut self,
        name: &str,
        totals: &HashMap<String, UsageTotals>,
        allowance: F,
        now: Instant,
    ) -> bool
    where
        F: Fn(&str) -> Option<Allowance>,
    {
        let process = self.processes.get(name);
        if !process.is_some_and(|process| process.is_live(now)) {
            return false;
        }
        let contact = Contact {
            is_known: true,
            was_silent: false,
            has_old_grants: self.has_old_grants(now),
        };
        self.record_totals(name, totals, allowance, contact, now);
        true
    }

    fn record_totals<F>(
        &mut self,
        name: &str,
        totals: &HashMap<String, UsageTotals>,
        allowance: F,
        contact: Contact,
        now: Instant,
    ) where
        F: Fn(&str) -> Option<Allowance>,
    {
        let silent_ratio = self.silent_ratio;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for (workspace, totals) in totals {
            let Some(allowance) = allowance(workspace) else {
                continue;
            };
            let before = process.usage.get(workspace).copied();
            let costs = self.costs.entry(workspace.clone()).or_default();
            costs.record(before.map(|usage| usage.totals).as_ref(), totals);
            if let Some(index) = self.waiting.get_mut(workspace) {
                index.record(name, totals, now);
            } else if totals.awaited > 0.0 {
                let index = self.waiting.entry(workspace.clone()).or_default();
                index.record(name, totals, now);
            }
            let shared = shared_bucket(&mut self.buckets, workspace, allowance, now);
            if !contact.has_old_grants {
                shared.refill(allowance, silent_ratio, now);
            }
            match before {
                Some(before) => {
                    let spent = totals.spent - before.totals.spent;
                    shared.charge(spent - before.presumed_spent, contact.was_silent);
                }
                None if contact.is_known => shared.charge(totals.spent, contact.was_silent),
                None => shared.restore(totals, contact.was_silent, now),
            }
            let mut usage = WorkspaceUsage::after(before.as_ref(), *totals, now);
            if totals.last_grant.map(|g| g.id) == Some(usage.granted.id) {
                usage.granted.confirm();
            }
            if let Some(sums) = self.sums.get_mut(workspace) {
                sums.demand_per_s += usage.demand_per_s - usage.summed_demand_per_s;
                usage.summed_demand_per_s = usage.demand_per_s;
            }
            process.usage.insert(workspace.clone(), usage);
        }
    }

    /// Computes and records the grant of a process for a workspace. A process that has not reported
    /// gets an empty grant. None while grants of the previous holder may still be in force at
    /// instances that have not reported: the process then continues with its earlier grant.
    pub fn grant(
        &mut self,
        process: &str,
        workspace: &str,
        allowance: Allowance,
        now: Instant,
    ) -> Option<Grant> {
        self.issue(process, workspace, allowance, false, now)
    }

    /// Computes and records a grant between two reports of a process. It leaves the process what it
    /// may have left of its earlier grant: the answers to two calls are on their way at a time, and
    /// nothing tells when each of them arrives.
    pub fn grant_more(
        &mut self,
        process: &str,
        workspace: &str,
        allowance: Allowance,
        now: Instant,
    ) -> Option<Grant> {
        self.issue(process, workspace, allowance, true, now)
    }

    fn issue(
        &mut self,
        process: &str,
        workspace: &str,
        allowance: Allowance,
        keeps_earlier: bool,
        now: Instant,
    ) -> Option<Grant> {
        if self.has_old_grants(now) {
            return None;
        }
        let per_s = allowance.per_s / (1.0 + self.silent_ratio);
        let shared = shared_bucket(&mut self.buckets, workspace, allowance, now);
        let level = shared.refill(allowance, self.silent_ratio, now);
        let live = self.live.max(1.0);
        let sums = self.sums(workspace, now);
        let mean_cost = self.costs.get(workspace).map_or(0.0, |costs| costs.mean());
        let share = self.demand_share(process, workspace, per_s / live, sums, now);
        let own = self.own_usage(process, workspace);
        let elapsed = now.saturating_duration_since(sums.computed_at);
        let others = own.map_or(sums.outstanding, |own| {
            let per_s = (sums.per_s - own.summed_per_s).max(0.0);
            sums.outstanding - own.summed_outstanding + per_s * elapsed.as_secs_f64()
        });
        let free = level - others.max(0.0);
        let advance_share = ADVANCE_GRANT_FRACTION
            * ((1.0 - EQUAL_SPLIT_FRACTION) * share + EQUAL_SPLIT_FRACTION / live);
        // Parts in which no request fits would be lost to all instances until the next report.
        let advance = level * advance_share;
        let is_useful = advance + per_s * share * GRANT_TTL.as_secs_f64() >= mean_cost;
        let index = self.waiting.get_mut(workspace);
        let coverage = index.map(|index| index.cover(process, allowance, (free, level), now));
        let coverage = coverage.unwrap_or_default();
        // What is granted in advance is missing where requests wait for it.
        let (advance, share) = if is_useful && !coverage.is_contended() {
            (advance, share)
        } else {
            (0.0, 0.0)
        };
        let Some(process) = self.processes.get_mut(process) else {
            return Some(Grant::default());
        };
        let own = process.usage.entry(workspace.to_owned());
        let own = own.or_insert_with(|| WorkspaceUsage::new(UsageTotals::default(), now));
        let before = own.granted;
        let spent_since = own.totals.spent - before.included;
        let left = (before.outstanding(now) - spent_since).max(0.0);
        let kept = if keeps_earlier { left } else { 0.0 };
        let wanted = coverage.units.max(advance).max(kept);
        // Outstanding grants lower a grant to 0 at most; a negative level is granted as it is.
        let granted = wanted.min(free.max(level.min(0.0)));
        self.grants += 1;
        let id = GrantId {
            fence: self.fence,
            number: self.grants,
        };
        own.granted = IssuedGrant {
            id,
            level: granted,
            per_s: per_s * share,
            carried: left,
            carried_per_s: before.per_s.max(before.carried_per_s),
            included: own.totals.spent,
            issued_at: Some(now),
        };
        if let Some(sums) = self.sums.get_mut(workspace) {
            let outstanding = own.granted.outstanding(now);
            sums.outstanding += outstanding - own.summed_outstanding;
            own.summed_outstanding = outstanding;
            sums.per_s += own.granted.per_s - own.summed_per_s;
            own.summed_per_s = own.granted.per_s;
        }
        Some(Grant {
            id,
            bucket_level: level,
            level: granted,
            share,
            included: own.totals.spent,
            spare: (free - granted - coverage.elsewhere).max(0.0),
            ahead: coverage.ahead,
            ask_again_in: coverage.ask_again_in(per_s, live),
        })
    }

    /// Whether something computed at `at` is recent enough to be used.
    fn is_recent(&self, at: Option<Instant>, now: Instant) -> bool {
        let is_large = self.processes.len() > EXACT_SUM_PROCESSES;
        is_large && at.is_some_and(|at| now.saturating_duration_since(at) < SUM_MAX_AGE)
    }

    /// Counts live processes, and silent instances per instance that reports.
    fn count_processes(&mut self, now: Instant) {
        let live = self.processes.iter().filter(|(_, p)| p.is_live(now));
        let instances: HashSet<_> = live.clone().map(|(name, _)| instance_of(name)).collect();
        self.silent = self.find_silent(now);
        #[allow(clippy::cast_precision_loss)]
        let (live, instances, silent) = (
            live.count().max(1) as f64,
            instances.len().max(1) as f64,
            self.silent.len() as f64,
        );
        self.live = live;
        self.silent_ratio = silent / instances;
        self.counted_at = Some(now);
    }

    fn own_usage(&self, process: &str, workspace: &str) -> Option<&WorkspaceUsage> {
        self.processes.get(process)?.usage.get(workspace)
    }

    /// Sums over all processes for a workspace.
    fn sums(&mut self, workspace: &str, now: Instant) -> ProcessSums {
        let known = self.sums.get(workspace).copied();
        if let Some(sums) = known.filter(|sums| self.is_recent(Some(sums.computed_at), now)) {
            return sums;
        }
        let mut sums = ProcessSums {
            computed_at: now,
            outstanding: 0.0,
            per_s: 0.0,
            demand_per_s: 0.0,
        };
        for process in self.processes.values_mut() {
            let is_live = process.is_live(now);
            if let Some(usage) = process.usage.get_mut(workspace) {
                usage.summed_outstanding = usage.granted.outstanding(now);
                sums.outstanding += usage.summed_outstanding;
                usage.summed_per_s = usage.granted.refill_per_s(now);
                sums.per_s += usage.summed_per_s;
                usage.summed_demand_per_s = if is_live { usage.demand_at(now) } else { 0.0 };
                sums.demand_per_s += usage.summed_demand_per_s;
            }
        }
        self.sums.insert(workspace.to_owned(), sums);
        sums
    }

    /// Fraction of the demand for a workspace that arrives at a process. `equal_per_s` is the
    /// refill rate divided by the number of live processes; a fraction of it counts as idle demand.
    fn demand_share(
        &self,
        process: &str,
        workspace: &str,
        equal_per_s: f64,
        sums: ProcessSums,
        now: Instant,
    ) -> f64 {
        let idle = equal_per_s * IDLE_DEMAND_FRACTION;
        let own = self.own_usage(process, workspace);
        let own = idle + own.map_or(0.0, |usage| usage.demand_at(now));
        let all = sums.demand_per_s + idle * self.live.max(1.0);
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
            presumed_spent: 0.0,
            summed_outstanding: 0.0,
            summed_per_s: 0.0,
            summed_demand_per_s: 0.0,
        }
    }

    fn after(before: Option<&Self>, totals: UsageTotals, now: Instant) -> Self {
        let Some(before) = before else {
            return Self::new(totals, now);
        };
        let asked = (totals.asked - before.totals.asked).max(0.0);
        Self {
            totals,
            reported_at: now,
            demand_per_s: before.demand_at(now) + asked / DEMAND_TIME_CONSTANT.as_secs_f64(),
            granted: before.granted,
            presumed_spent: 0.0,
            summed_outstanding: before.summed_outstanding,
            summed_per_s: before.summed_per_s,
            summed_demand_per_s: before.summed_demand_per_s,
        }
    }

    fn demand_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.reported_at);
        self.demand_per_s * (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Name of the instance that a process belongs to: the part of its name before the slash.
fn instance_of(process: &str) -> &str {
    process.split('/').next().unwrap_or_default()
}

fn shared_bucket<'a>(
    buckets: &'a mut HashMap<String, SharedBucket>,
    workspace: &str,
    allowance: Allowance,
    now: Instant,
) -> &'a mut SharedBucket {
    if !buckets.contains_key(workspace) {
        buckets.insert(workspace.to_owned(), SharedBucket::new(allowance, now));
    }
    buckets.get_mut(workspace).expect("inserted above")
}
