//! What one instance observes of prompt parts, and what it knows of them from the holder.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{
    BEGUN_PER_END, EvidenceReport, MIN_ENDS, ObservedEnd, PartId, PartRecord, QuarantineView,
};
use crate::directory::UpstreamProcess;

/// Shortest time for which a begun answer counts; the longest is twice that.
const BEGUN_MEMORY: Duration = Duration::from_secs(10);
/// Most parts of recent begun answers.
const MAX_BEGUN_PARTS: usize = 2_048;
/// Recent begun answers at this instance alone from which an end says nothing against a part.
const PROVEN: u32 = 12;
/// Most ends that wait for the holder.
const MAX_ENDS: usize = 64;
/// Time after which a holder that has not acknowledged an end is taken to be out of reach.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Longest time until a trial for which a request is kept.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(500);

/// Evidence of one instance.
#[derive(Debug, Default)]
pub struct PartEvidence {
    /// Begun answers by part, in the current and in the previous period of [`BEGUN_MEMORY`].
    recent: [HashMap<PartId, u32>; 2],
    rotated_at: Option<Instant>,
    /// Records of the holder or of the store.
    known: HashMap<PartId, Known>,
    /// Fencing token of the holder and version of the records; zeros for those of the store.
    version: (u64, u64),
    /// Ends that no holder has acknowledged.
    ends: VecDeque<(Instant, ObservedEnd)>,
}

#[derive(Debug)]
struct Known {
    record: PartRecord,
    trial_at: Option<Instant>,
    /// Begun answers: the recent ones when the part became known, and all since.
    begun: u32,
    /// Number that a holder, by its fencing token, has acknowledged.
    acknowledged: Option<(u64, u32)>,
}

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartCheck {
    /// No part of its prompt is suspect.
    Free,
    /// It needs a trial.
    NeedsTrial,
    /// There is no trial before this time has passed; none if before an operator releases a part.
    Blocked(PartId, Option<Duration>),
}

impl PartEvidence {
    /// Records that an engine got past the beginning of an answer to a prompt with these parts.
    pub fn record_begun(&mut self, parts: &[PartId], now: Instant) {
        self.rotate(now);
        for part in parts {
            *self.recent[0].entry(*part).or_default() += 1;
            if let Some(known) = self.known.get_mut(part) {
                known.begun += 1;
            }
        }
    }

    /// Records that an upstream ended when it had begun to write on these parts. Returns whether that
    /// speaks against any of them.
    pub fn record_end(
        &mut self,
        upstream: UpstreamProcess,
        parts: &[PartId],
        now: Instant,
    ) -> bool {
        self.rotate(now);
        let counted = parts.iter().map(|part| (*part, self.recent_begun(*part)));
        let parts: Vec<_> = counted.filter(|(_, begun)| *begun < PROVEN).collect();
        if parts.is_empty() {
            return false;
        }
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((now, ObservedEnd { upstream, parts }));
        true
    }

    /// Whether a request with these parts may be sent. An upstream may have ended under it already
    /// (`has_ended_upstream`); then it needs a trial for all parts that are not proven here.
    pub fn check(&self, parts: &[PartId], has_ended_upstream: bool, now: Instant) -> PartCheck {
        if self.known.is_empty() && self.ends.is_empty() && !has_ended_upstream {
            return PartCheck::Free;
        }
        let mut needs_trial = false;
        for part in parts {
            let known = self.known.get(part).filter(|k| k.record.is_suspect);
            if let Some(known) = known {
                let trial_in = known.trial_at.map(|at| at.saturating_duration_since(now));
                let is_late = trial_in.is_none_or(|time| time > MAX_TRIAL_WAIT);
                // The holder decides whether the others explain the ends.
                let rivals = &known.record.rivals;
                if is_late && rivals.iter().all(|rival| parts.contains(rival)) {
                    return PartCheck::Blocked(*part, trial_in);
                }
                needs_trial = true;
            } else {
                needs_trial |= self.is_suspect_here(*part, now)
                    || has_ended_upstream && self.recent_begun(*part) < BEGUN_PER_END;
            }
        }
        if needs_trial {
            PartCheck::NeedsTrial
        } else {
            PartCheck::Free
        }
    }

    /// Whether the ends that the holder does not know yet make a part suspect by themselves. While the
    /// holder does not answer, one is enough.
    fn is_suspect_here(&self, part: PartId, now: Instant) -> bool {
        let with_part = |end: &ObservedEnd| end.parts.iter().any(|(p, _)| *p == part);
        let ends: Vec<_> = self.ends.iter().filter(|(_, end)| with_part(end)).collect();
        let upstreams: BTreeSet<_> = ends.iter().map(|(_, end)| &end.upstream).collect();
        let count = u32::try_from(upstreams.len()).unwrap_or(u32::MAX);
        let is_unheard = ends
            .first()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= MAX_ANSWER_TIME);
        let is_enough = count >= MIN_ENDS || is_unheard;
        is_enough && self.recent_begun(part) < count * BEGUN_PER_END
    }

    /// Whether there are ends that no holder has acknowledged.
    pub fn has_unreported_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Builds the report to the holder.
    pub fn report(&self) -> EvidenceReport {
        let (fence, _) = self.version;
        let begun = self.known.iter().filter_map(|(part, known)| {
            let is_news = known.begun > 0 && known.acknowledged != Some((fence, known.begun));
            is_news.then_some((*part, known.begun))
        });
        EvidenceReport {
            known: self.version,
            ends: self.ends.iter().map(|(_, end)| end.clone()).collect(),
            begun: begun.collect(),
            // The holder ignores its own.
            records: self.records(),
        }
    }

    /// Records that the holder with the fencing token `fence` has received a report.
    pub fn acknowledge(&mut self, report: &EvidenceReport, fence: u64) {
        self.ends.retain(|(_, end)| !report.ends.contains(end));
        for (part, begun) in &report.begun {
            if let Some(known) = self.known.get_mut(part) {
                known.acknowledged = Some((fence, *begun));
            }
        }
    }

    /// Takes over the holder's records.
    pub fn apply(&mut self, view: QuarantineView, now: Instant) {
        self.version = view.version;
        let mut before = std::mem::take(&mut self.known);
        for record in view.records {
            let known = self.known_of(&mut before, record, now);
            self.known.insert(known.record.part, known);
        }
    }

    /// Adds records that the store has, unless a holder has told its own.
    pub fn apply_stored(&mut self, records: Vec<PartRecord>, now: Instant) {
        if self.version != (0, 0) {
            return;
        }
        let mut before = std::mem::take(&mut self.known);
        for record in records {
            let known = self.known_of(&mut before, record, now);
            self.known.insert(known.record.part, known);
        }
    }

    fn known_of(
        &self,
        before: &mut HashMap<PartId, Known>,
        record: PartRecord,
        now: Instant,
    ) -> Known {
        let record = record.bounded();
        let part = record.part;
        let trial_at = record.trial_in.map(|time| now + time);
        match before.remove(&part) {
            Some(known) => Known {
                record,
                trial_at,
                ..known
            },
            None => Known {
                record,
                trial_at,
                begun: self.recent_begun(part),
                acknowledged: None,
            },
        }
    }

    /// The records as known here.
    pub fn records(&self) -> Vec<PartRecord> {
        let mut records: Vec<_> = self.known.values().map(|k| k.record.clone()).collect();
        records.sort_by_key(|record| record.part);
        records
    }

    fn recent_begun(&self, part: PartId) -> u32 {
        let recent = self.recent.iter().filter_map(|period| period.get(&part));
        recent.sum()
    }

    fn rotate(&mut self, now: Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        let is_full = self.recent[0].len() >= MAX_BEGUN_PARTS;
        if is_full || now.saturating_duration_since(rotated_at) >= BEGUN_MEMORY {
            self.recent.swap(0, 1);
            self.recent[0].clear();
            self.rotated_at = Some(now);
        }
    }
}
