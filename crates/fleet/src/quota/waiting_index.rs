//! The holder's side of waiting: which requests wait for units of a workspace at which process.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{DESCRIBED_REQUESTS, UsageTotals};
use crate::{config::Allowance, intake::Urgency};

/// Age up to which a process's waiting requests count at the holder. A process asks again for requests that
/// wait several times in this time, so older ones have ended without notice.
const WAITING_MAX_AGE: Duration = Duration::from_millis(600);
/// Shortest time after which a process asks again for the same requests.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest such time in fleets of up to 200 processes. Units that other processes return are found after
/// this time at the latest.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time added to the interval for each live process, which limits the calls to the holder to 1,000 a second
/// for requests that keep waiting, in fleets of any size.
const ASK_INTERVAL_PER_PROCESS: Duration = Duration::from_millis(1);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    units: f64,
    urgency: Urgency,
}

/// The waiting requests of one process.
#[derive(Clone, Copy, Debug)]
struct ProcessEntries {
    heard_at: Instant,
    /// In the order of their urgency. Those that a grant covers are removed.
    entries: [Option<Entry>; DESCRIBED_REQUESTS],
    /// Units of further requests that wait there.
    further: f64,
}

/// Waiting requests of one workspace, by process.
#[derive(Debug, Default)]
pub(super) struct WaitingIndex {
    processes: HashMap<String, ProcessEntries>,
}

/// Which waiting requests of a process a grant covers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    /// Units of the covered requests.
    pub(super) units: f64,
    /// Units that wait at other processes.
    pub(super) elsewhere: f64,
    /// Units of the more urgent requests elsewhere before the first request that is not covered.
    pub(super) ahead: f64,
    /// Units that are lacking for that request; none if all are covered.
    pub(super) lacking: Option<f64>,
}

impl Coverage {
    /// Whether requests wait that no grant covers yet.
    pub(super) fn is_contended(&self) -> bool {
        self.elsewhere > 0.0 || self.lacking.is_some()
    }

    /// Time after which the process asks again, if its requests still wait.
    pub(super) fn ask_again_in(&self, per_s: f64, live: f64) -> Duration {
        let Some(lacking) = self.lacking else {
            return Duration::ZERO;
        };
        let least = MIN_ASK_INTERVAL.max(ASK_INTERVAL_PER_PROCESS.mul_f64(live));
        let refill_s = (lacking / per_s.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        Duration::from_secs_f64(refill_s).clamp(least, MAX_ASK_INTERVAL.max(least))
    }
}

impl WaitingIndex {
    /// Records what waits at a process according to its message.
    pub(super) fn record(&mut self, process: &str, totals: &UsageTotals, now: Instant) {
        if totals.awaited <= 0.0 {
            self.processes.remove(process);
            return;
        }
        let entries = totals.waiting.map(|waiting| {
            waiting.map(|waiting| Entry {
                units: waiting.cost,
                urgency: waiting.urgency(now),
            })
        });
        let described: f64 = entries.iter().flatten().map(|e| e.units).sum();
        let entries = ProcessEntries {
            heard_at: now,
            entries,
            further: (totals.awaited - described).max(0.0),
        };
        self.processes.insert(process.to_owned(), entries);
    }

    /// Covers the waiting requests of a process from `free` units, in the order of their urgency and after
    /// the more urgent ones elsewhere. `level` is the level of the bucket, without what is outstanding.
    /// A request that the bucket cannot cover in its time no longer counts: its instance refuses it.
    pub(super) fn cover(
        &mut self,
        process: &str,
        allowance: Allowance,
        (free, level): (f64, f64),
        now: Instant,
    ) -> Coverage {
        let Allowance { per_s, burst, .. } = allowance;
        self.processes
            .retain(|_, p| now.saturating_duration_since(p.heard_at) < WAITING_MAX_AGE);
        let own = self.processes.get(process).copied();
        let entries = own.map(|own| own.entries).unwrap_or_default();
        let mut coverage = Coverage::default();
        let mut ahead = [0.0; DESCRIBED_REQUESTS];
        for (name, other) in &self.processes {
            if name == process {
                continue;
            }
            for entry in other.entries.iter().flatten() {
                if now >= entry.urgency.gives_up {
                    continue;
                }
                let units = entry.units.min(burst);
                coverage.elsewhere += units;
                let order = (entry.urgency.order(now), name.as_str());
                for (ahead, own) in ahead.iter_mut().zip(&entries) {
                    if own.is_some_and(|own| order < (own.urgency.order(now), process)) {
                        *ahead += units;
                    }
                }
            }
        }
        let Some(own) = self.processes.get_mut(process) else {
            return coverage;
        };
        for (entry, ahead) in own.entries.iter_mut().zip(ahead) {
            let Some(Entry { units, urgency }) = *entry else {
                continue;
            };
            let needed = coverage.units + units.min(burst) + ahead;
            if coverage.lacking.is_none() && needed <= free {
                coverage.units += units.min(burst);
                *entry = None;
                continue;
            }
            if coverage.lacking.is_none() {
                coverage.lacking = Some(needed - free);
                coverage.ahead = ahead;
            }
            let left = urgency.gives_up.saturating_duration_since(now);
            if level + per_s * left.as_secs_f64() < needed {
                *entry = None;
            }
        }
        let room = free - coverage.units - coverage.elsewhere;
        if coverage.lacking.is_none() && own.further <= room {
            coverage.units += own.further;
            own.further = 0.0;
        }
        coverage
    }
}
