//! The holder's side of limits: gives permits from a bucket for each limited upstream.

use std::{collections::HashMap, time::Duration};

use super::{
    Cold, PermitAnswer, PermitAsk, ToldLimit,
    cold::{ColdProcesses, EffectiveLimit},
    statements::{LimitChange, Statements},
};
use crate::directory::UpstreamProcess;

/// Requests whose time each ask in vain adds to the time after which the next one in vain is repeated.
/// Less than one, since not all instances that were turned away still need a permit then.
const ASK_WEIGHT: f64 = 0.5;
/// Longest time after which an instance asks again.
const MAX_ROOM_TIME: Duration = Duration::from_secs(10);

/// Limits as all instances have heard them, and the permits given. Times are since boot.
#[derive(Debug, Default)]
pub struct PermitLedger {
    statements: Statements,
    /// Processes that are cold as the instances that asked for permits know, and this one.
    cold: ColdProcesses,
    buckets: HashMap<UpstreamProcess, PermitBucket>,
}

#[derive(Clone, Copy, Debug)]
struct PermitBucket {
    /// Requests that may be sent now; negative after permits that are valid later.
    level: f64,
    /// Asks in vain that are expected again, in requests.
    turned_away: f64,
    updated_at: Duration,
}

impl PermitBucket {
    /// The bucket begins empty: permits of the holder before may still be in use, and the upstream
    /// has got what it got before its limit was heard.
    fn new(now: Duration) -> Self {
        Self {
            level: 0.0,
            turned_away: 0.0,
            updated_at: now,
        }
    }

    fn refill(&mut self, rate: f64, capacity: f64, now: Duration) {
        let gained = rate * now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + gained).min(capacity);
        self.turned_away = (self.turned_away - gained).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Time until the bucket has room for a request.
    fn time_to_room(&self, rate: f64) -> Duration {
        seconds((1.0 - self.level) / rate)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(MAX_ROOM_TIME, |t| t.min(MAX_ROOM_TIME))
}

impl PermitLedger {
    /// Begins a tenure with what the holder's own instance knows.
    pub fn begin(known: &[ToldLimit], now: Duration) -> Self {
        let mut ledger = Self::default();
        ledger.hear(known, now);
        ledger
    }

    /// Takes over what an instance has heard. Returns what changed.
    pub fn hear(
        &mut self,
        told: &[ToldLimit],
        now: Duration,
    ) -> Vec<(UpstreamProcess, LimitChange)> {
        if told.is_empty() {
            return Vec::new();
        }
        let before: Vec<_> = told.iter().map(|t| self.limit(&t.process)).collect();
        let told_cold = told.iter().filter(|t| t.cold.is_some());
        let newly_cold: Vec<_> = told_cold
            .filter(|t| !self.is_cold(&t.process, now))
            .collect();
        self.statements.merge(told, now);
        for told in newly_cold {
            self.empty_bucket(&told.process);
        }
        self.statements.forget_old(now);
        let changes = told.iter().zip(before).filter_map(|(told, before)| {
            let after = self.limit(&told.process);
            let change = LimitChange::between(before, after)?;
            Some((told.process.clone(), change))
        });
        let changes = changes.collect();
        for process in self.statements.limited() {
            let bucket = self.buckets.entry(process.clone());
            bucket.or_insert_with(|| PermitBucket::new(now));
        }
        self.forget_unlimited(now);
        changes
    }

    /// Records that a process is cold, as an instance knows from the list of upstreams. Others know it
    /// from there too, and are not told.
    pub fn record_cold(&mut self, process: &UpstreamProcess, cold: Cold, now: Duration) {
        let was_cold = self.is_cold(process, now);
        self.cold.record(process, cold, now);
        if !was_cold {
            self.forget_unlimited(now);
            self.empty_bucket(process);
        }
    }

    /// Discards what another limit has left of a process that becomes cold: it would come on top of
    /// what the process tolerates.
    fn empty_bucket(&mut self, process: &UpstreamProcess) {
        if let Some(bucket) = self.buckets.get_mut(process) {
            bucket.level = bucket.level.min(0.0);
        }
    }

    fn is_cold(&self, process: &UpstreamProcess, now: Duration) -> bool {
        self.cold(process, now).is_some()
    }

    fn cold(&self, process: &UpstreamProcess, now: Duration) -> Option<Cold> {
        let told = self.statements.cold(process, now);
        Cold::combine_any(told, self.cold.get(process, now))
    }

    /// Removes the buckets of processes that nothing limits any more.
    fn forget_unlimited(&mut self, now: Duration) {
        self.cold.forget_old(now);
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|process, _| self.limit(process).is_some() || self.is_cold(process, now));
        self.buckets = buckets;
    }

    /// What is known of limits, to tell an instance.
    pub fn told(&self, now: Duration) -> Vec<ToldLimit> {
        self.statements.told(now)
    }

    /// Requests a second that an upstream takes from all instances together, if it has said so.
    pub fn limit(&self, process: &UpstreamProcess) -> Option<f64> {
        self.statements.get(process)?.limit
    }

    /// Gives permits, as far as there is room. `silent_ratio` is the number of instances that do not
    /// report, and may send their equal shares, for each that does. No answer for an upstream without
    /// a limit that is not cold.
    pub fn ask(
        &mut self,
        ask: &PermitAsk,
        silent_ratio: f64,
        now: Duration,
    ) -> Option<PermitAnswer> {
        if let Some(cold) = ask.cold {
            self.record_cold(&ask.process, cold.cold(now), now);
        }
        let (bucket, limit, rate) = self.bucket(&ask.process, silent_ratio, now)?;
        let mut valid_in = Vec::new();
        let mut room_in = None;
        if ask.waiting == 0 {
            if bucket.level >= limit.spare_level() {
                bucket.level -= 1.0;
                valid_in.push(Duration::ZERO);
            } else {
                room_in = Some(seconds((limit.spare_level() - bucket.level) / rate));
            }
        }
        for _ in 0..ask.waiting {
            let wait = bucket.time_to_room(rate);
            if wait > limit.max_advance() {
                room_in = Some(wait);
                break;
            }
            bucket.level -= 1.0;
            valid_in.push(wait);
        }
        // Those that were turned away must not all ask again at the same moment.
        let room_in = room_in.map(|wait| {
            let turn = seconds(bucket.turned_away / rate);
            bucket.turned_away += ASK_WEIGHT;
            wait + turn
        });
        Some(PermitAnswer {
            process: ask.process.clone(),
            valid_in,
            room_in,
        })
    }

    /// Takes a permit for a call of the holder. False if there is no room.
    pub fn take(&mut self, process: &UpstreamProcess, silent_ratio: f64, now: Duration) -> bool {
        let Some((bucket, ..)) = self.bucket(process, silent_ratio, now) else {
            return true;
        };
        let has_room = bucket.level >= 1.0;
        if has_room {
            bucket.level -= 1.0;
        }
        has_room
    }

    /// Time until there is room for a call of the holder; zero if there is, or no limit.
    pub fn time_to_room(
        &mut self,
        process: &UpstreamProcess,
        silent_ratio: f64,
        now: Duration,
    ) -> Duration {
        let bucket = self.bucket(process, silent_ratio, now);
        bucket.map_or(Duration::ZERO, |(bucket, _, rate)| {
            bucket.time_to_room(rate)
        })
    }

    /// The bucket of a limited upstream, its limit, and the rate at which it is refilled, in requests
    /// a second.
    fn bucket(
        &mut self,
        process: &UpstreamProcess,
        silent_ratio: f64,
        now: Duration,
    ) -> Option<(&mut PermitBucket, EffectiveLimit, f64)> {
        let limit = EffectiveLimit::of(self.limit(process), self.cold(process, now))?;
        let rate = limit.rate() / (1.0 + silent_ratio);
        let bucket = self.buckets.entry(process.clone());
        let bucket = bucket.or_insert_with(|| PermitBucket::new(now));
        bucket.refill(rate, limit.capacity(), now);
        Some((bucket, limit, rate))
    }
}
