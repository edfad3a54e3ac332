//! Levels of allowances over all instances, at the holder of the planning duty.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{Bucket, Grant, LEVEL_LAPSE, Totals};
use crate::config::Allowance;

/// Time after which the holder forgets a process that no longer reports. A process that was cut
/// off for less is charged for what it admitted meanwhile.
const MEMORY: Duration = Duration::from_mins(10);
/// A holder starts a bucket with what flows in for this long where no instance was told a level
/// before: all instances may have been lost at once, after they had spent everything.
const INITIAL_TIME: Duration = Duration::from_millis(500);
/// Time for which the holder leaves an instance that fell silent its equal part of what flows in:
/// it may be cut off and admit against that part by itself.
const SILENT_PART_TIME: Duration = Duration::from_secs(20);
/// Time constant of the smoothed rate at which an instance is asked for units.
const ASKED_TIME: Duration = Duration::from_secs(1);
/// Part of an allowance that counts as asked for at all instances together although it was not,
/// so that an instance that was idle can admit at once.
const IDLE_PART: f64 = 0.1;
/// Part of a bucket that is granted before anybody asks for it; the rest is for those that ask.
const GRANTED_PART: f64 = 0.15;
/// What is granted unasked goes in this part to all instances alike, and for the rest by what is
/// asked for there: requests move between instances from one exchange to the next.
const EQUAL_PART: f64 = 0.3;

/// Levels over all instances, at the holder.
#[derive(Debug, Default)]
pub struct Levels {
    /// Instances that are silent, for each one that reports.
    silent: f64,
    buckets: HashMap<String, Whole>,
    processes: HashMap<String, Process>,
}

/// An allowance's bucket over all instances.
#[derive(Clone, Copy, Debug)]
struct Whole {
    bucket: Bucket,
    /// When the holder before told the level that this one took over.
    recovered_at: Option<Instant>,
    /// Units that were spent since the holder before told of its levels.
    spent_since: f64,
}

impl Whole {
    /// Takes over the level that a process was told by the holder before, if it is the latest one,
    /// and charges what the process has spent since.
    fn recover(&mut self, totals: &Totals, allowance: Allowance, now: Instant) {
        let Some(told) = totals.told else {
            return;
        };
        let Allowance { per_s, burst, .. } = allowance;
        let at = now.checked_sub(told.age).unwrap_or(now);
        if self.recovered_at.is_none_or(|before| before < at) {
            self.recovered_at = Some(at);
            self.bucket = Bucket::new(told.whole, at);
            self.bucket.level(per_s, burst, now);
            self.bucket.take(self.spent_since);
        }
        let spent = totals.spent - told.included;
        self.spent_since += spent;
        self.bucket.take(spent);
    }
}

/// A process that reports.
#[derive(Debug)]
struct Process {
    /// When it reported last.
    at: Instant,
    /// What it reported last, by workspace.
    reported: HashMap<String, Reported>,
}

impl Process {
    fn new(at: Instant) -> Self {
        Self {
            at,
            reported: HashMap::new(),
        }
    }

    /// Whether it may still admit against what it was granted.
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LEVEL_LAPSE
    }
}

/// What a process reported of a workspace.
#[derive(Clone, Copy, Debug)]
struct Reported {
    totals: Totals,
    at: Instant,
    /// Smoothed units asked for each second.
    asked_per_s: f64,
    /// What it may have taken since without having reported it.
    granted: Granted,
}

/// What a process was granted.
#[derive(Clone, Copy, Debug, Default)]
struct Granted {
    level: f64,
    /// Units each second that flow in at the process.
    per_s: f64,
    at: Option<Instant>,
}

impl Granted {
    /// Units that the process may have taken of it, none once the grant has lapsed.
    fn outstanding(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        match age {
            Some(age) if age < LEVEL_LAPSE => {
                (self.level + self.per_s * age.as_secs_f64()).max(0.0)
            }
            _ => 0.0,
        }
    }
}

impl Levels {
    /// Adds what a process of an instance has spent since its last report.
    pub fn note<F>(
        &mut self,
        name: &str,
        totals: &HashMap<String, Totals>,
        allowance: F,
        now: Instant,
    ) where
        F: Fn(&str) -> Option<Allowance>,
    {
        self.processes
            .retain(|_, p| now.saturating_duration_since(p.at) < MEMORY);
        let is_known = self.processes.contains_key(name);
        let process = self.processes.entry(name.to_owned());
        process.or_insert_with(|| Process::new(now)).at = now;
        self.silent = self.silent_share(now);
        let silent = self.silent;
        let process = self.processes.get_mut(name).expect("inserted above");
        for (workspace, totals) in totals {
            let Some(allowance) = allowance(workspace) else {
                continue;
            };
            let Allowance { per_s, burst, .. } = allowance;
            let per_s = per_s / (1.0 + silent);
            let before = process.reported.get(workspace).copied();
            let whole = whole(&mut self.buckets, workspace, (per_s, burst), now);
            whole.bucket.level(per_s, burst, now);
            match before {
                Some(before) => whole.bucket.take(totals.spent - before.totals.spent),
                None if is_known => whole.bucket.take(totals.spent),
                None => whole.recover(totals, allowance, now),
            }
            let now_reported = Reported::after(before, *totals, now);
            process.reported.insert(workspace.clone(), now_reported);
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
        let per_s = per_s / (1.0 + self.silent);
        let whole = whole(&mut self.buckets, workspace, (per_s, burst), now);
        let level = whole.bucket.level(per_s, burst, now);
        let live = self.live(now);
        let share = self.share(process, workspace, per_s / live, now);
        let free = level - self.outstanding(process, workspace, now);
        let unasked = GRANTED_PART * ((1.0 - EQUAL_PART) * share + EQUAL_PART / live);
        let Some(process) = self.processes.get_mut(process) else {
            return Grant::default();
        };
        let own = process.reported.entry(workspace.to_owned());
        let own = own.or_insert_with(|| Reported::new(Totals::default(), now));
        let wanted = own.totals.awaited.max(level * unasked);
        let granted = wanted.min(free.max(level.min(0.0)));
        own.granted = Granted {
            level: granted,
            per_s: per_s * share,
            at: Some(now),
        };
        Grant {
            whole: level,
            level: granted,
            share,
            included: own.totals.spent,
            spare: (free - granted).max(0.0),
        }
    }

    /// Instances that fell silent lately, for each one that reports.
    fn silent_share(&self, now: Instant) -> f64 {
        let (mut live, mut silent) = (HashSet::new(), HashSet::new());
        for (name, process) in &self.processes {
            let instance = name.split('/').next().unwrap_or_default();
            if process.is_live(now) {
                live.insert(instance);
            } else if now.saturating_duration_since(process.at) < SILENT_PART_TIME {
                silent.insert(instance);
            }
        }
        #[allow(clippy::cast_precision_loss)]
        let share = silent.difference(&live).count() as f64 / live.len().max(1) as f64;
        share
    }

    /// Processes that report.
    fn live(&self, now: Instant) -> f64 {
        let live = self.processes.values().filter(|p| p.is_live(now)).count();
        #[allow(clippy::cast_precision_loss)]
        let live = live.max(1) as f64;
        live
    }

    /// What all other processes may have taken of a workspace's allowance without having reported
    /// it.
    fn outstanding(&self, process: &str, workspace: &str, now: Instant) -> f64 {
        let others = self.processes.iter().filter(|(name, _)| *name != process);
        let granted = others.filter_map(|(_, p)| p.reported.get(workspace));
        granted.map(|r| r.granted.outstanding(now)).sum()
    }

    /// Part of what is asked of a workspace that is asked through a process, with the equal part of
    /// each in what flows in.
    fn share(&self, process: &str, workspace: &str, equal_per_s: f64, now: Instant) -> f64 {
        let idle = equal_per_s * IDLE_PART;
        let asked = |process: &Process| {
            let reported = process.reported.get(workspace);
            idle + reported.map_or(0.0, |r| r.asked_now(now))
        };
        let live = self.processes.values().filter(|p| p.is_live(now));
        let all: f64 = live.map(asked).sum();
        let own = self.processes.get(process).map_or(idle, asked);
        (own / all.max(own)).min(1.0)
    }
}

impl Reported {
    /// What is known of a process that was not asked before.
    fn new(totals: Totals, now: Instant) -> Self {
        Self {
            totals,
            at: now,
            asked_per_s: 0.0,
            granted: Granted::default(),
        }
    }

    fn after(before: Option<Self>, totals: Totals, now: Instant) -> Self {
        let Some(before) = before else {
            return Self::new(totals, now);
        };
        let asked = (totals.asked - before.totals.asked).max(0.0);
        Self {
            totals,
            at: now,
            asked_per_s: before.asked_now(now) + asked / ASKED_TIME.as_secs_f64(),
            granted: before.granted,
        }
    }

    fn asked_now(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.asked_per_s * (-passed.as_secs_f64() / ASKED_TIME.as_secs_f64()).exp()
    }
}

fn whole<'a>(
    buckets: &'a mut HashMap<String, Whole>,
    workspace: &str,
    (per_s, burst): (f64, f64),
    now: Instant,
) -> &'a mut Whole {
    if !buckets.contains_key(workspace) {
        let initial = Whole {
            bucket: Bucket::new(burst.min(per_s * INITIAL_TIME.as_secs_f64()), now),
            recovered_at: None,
            spent_since: 0.0,
        };
        buckets.insert(workspace.to_owned(), initial);
    }
    buckets.get_mut(workspace).expect("inserted above")
}
