//! The holder's weighing of the evidence of all instances, and its trials.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use super::{
    BEGUN_PER_END, EvidenceReport, MANY_ENDS, MAX_LATE_TRIALS, MIN_ENDS, ObservedEnd, PartId,
    PartRecord, QuarantineView, TRIAL_TIMEOUT, TRIAL_WEIGHT, TrialAnswer, TrialId, TrialOutcome,
    WEIGHT_AFTER_FAILURE, trial_delay,
};
use crate::directory::UpstreamProcess;

/// Begun answers for each end with which a part is forgotten.
const FORGOTTEN_BEGUN_PER_END: u32 = 10;
/// Most parts with an end. Those with the fewest ends and trials yield first, the oldest first.
const MAX_PARTS: usize = 1_024;
/// Delay until the next trial of a part after one whose outcome is not known.
const UNKNOWN_OUTCOME_DELAY: Duration = Duration::from_secs(1);
/// Delay until the next trial of a part after one that may have failed because of another part.
const SHARED_BLAME_DELAY: Duration = Duration::from_secs(1);
/// Most ended upstreams that are remembered of a part.
const MAX_UPSTREAMS: usize = 64;
/// Share of a part's ends, as a divisor, that another part has too if it may be the reason of them. Parts
/// of single requests that ended beside, each with few ends, explain none.
const MIN_SHARED_DIVISOR: usize = 4;
/// Ends from which one late trial less is given: of the requests that were sent while not all instances
/// knew of the part, some were late as well.
const SPREAD_ENDS: u32 = 8;
/// Most parts that are weighed against each other. Those with the most ends come first.
const MAX_RIVALS: usize = 32;
/// Most outcomes of an earlier holder's trials that are remembered.
const MAX_EARLIER_OUTCOMES: usize = 1_024;
/// Most parts that instances are told of.
const MAX_RECORDS: usize = 256;

/// Evidence on the parts under which upstreams ended, and the trials of one tenure.
#[derive(Debug, Default)]
pub struct PartLedger {
    fence: u64,
    /// Begin of the tenure, until all instances have reported.
    tenure_began_at: Option<Instant>,
    parts: BTreeMap<PartId, Entry>,
    /// The records that instances are told of, and their version.
    records: Vec<(PartRecord, Option<Instant>)>,
    version: u64,
    last_trial: u64,
    /// Trials of earlier holders of which the outcome is known.
    earlier_outcomes: BTreeSet<TrialId>,
    events: Vec<LedgerEvent>,
}

/// A change of what the holder thinks of a part, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// A part became suspect.
    Suspect {
        /// The part.
        part: PartId,
        /// Ends that count against it.
        ends: u32,
        /// Begun answers that count for it.
        begun: u32,
    },
    /// Begun answers cleared a part.
    Cleared {
        /// The part.
        part: PartId,
        /// Ends that count against it.
        ends: u32,
        /// Begun answers that count for it.
        begun: u32,
    },
    /// A trial has ended that told nothing of a part: another one may have ended the upstream.
    Undecided {
        /// The part.
        part: PartId,
        /// How the trial ended.
        outcome: TrialOutcome,
    },
    /// A trial has ended.
    Tried {
        /// The part.
        part: PartId,
        /// How it ended.
        outcome: TrialOutcome,
        /// Trials without a begun answer so far.
        failed: u32,
    },
    /// An operator released a part.
    Released {
        /// The part.
        part: PartId,
    },
}

#[derive(Debug, Default)]
struct Entry {
    /// Upstreams that ended.
    upstreams: BTreeSet<UpstreamProcess>,
    /// Ends that an earlier holder has counted.
    earlier_ends: u32,
    /// Whether a trial has ended its upstream that was one of other parts too.
    was_blamed_with_others: bool,
    /// Other parts that may be the reason of its ends.
    rivals: Vec<PartId>,
    /// Those of an earlier holder, for the ends that it has counted.
    earlier_rivals: Vec<PartId>,
    /// Ends that no part with fewer begun answers shares.
    unexplained: u32,
    /// When the next trial without a rival is possible, after one that ended its upstream.
    next_trial_apart: Option<Instant>,
    /// When the part had enough ends to be suspect.
    noted_at: Option<Instant>,
    first_end_at: Option<Instant>,
    /// Begun answers by process of an instance.
    begun: HashMap<String, u32>,
    begun_trials: u32,
    /// Begun answers that no longer count.
    discounted: u32,
    failed_trials: u32,
    late_trials: u32,
    next_trial: Option<Instant>,
    trial: Option<OpenTrial>,
    is_suspect: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenTrial {
    number: u64,
    until: Instant,
    is_late: bool,
    /// Whether other parts that its prompt does not have explain the ends.
    is_apart: bool,
    /// Whether it is the only one of its kind, since a part has had several ends.
    is_exclusive: bool,
}

impl PartLedger {
    /// Begins a tenure with the fencing token `fence`. There are no trials before all instances have
    /// reported.
    pub fn begin(fence: u64, now: Instant) -> Self {
        Self {
            fence,
            tenure_began_at: Some(now),
            ..Self::default()
        }
    }

    /// Takes over records of an earlier holder. Of two records of a part the worse one counts.
    pub fn merge(&mut self, records: &[PartRecord], now: Instant) {
        for record in records.iter().cloned().map(PartRecord::bounded) {
            let entry = self.parts.entry(record.part).or_default();
            let is_worse =
                (record.ends, record.failed_trials) > (entry.ends(), entry.failed_trials);
            entry.earlier_ends = entry.earlier_ends.max(record.ends);
            entry.failed_trials = entry.failed_trials.max(record.failed_trials);
            entry.unexplained = entry.ends();
            entry.late_trials = entry.late_trials.max(record.late_trials);
            for rival in &record.rivals {
                if !entry.earlier_rivals.contains(rival) && entry.earlier_rivals.len() < MAX_RIVALS
                {
                    entry.earlier_rivals.push(*rival);
                }
            }
            entry.first_end_at.get_or_insert(now);
            entry.noted_at.get_or_insert(now);
            entry.is_suspect |= record.is_suspect;
            if is_worse {
                entry.next_trial = Some(now + record.trial_in.unwrap_or_default());
            }
        }
        self.evict();
    }

    /// Records an instance's report. The records of an earlier holder are merged with it.
    pub fn record_report(&mut self, process: &str, report: &EvidenceReport, now: Instant) {
        if report.known.0 != self.fence {
            self.merge(&report.records, now);
        }
        for (part, begun) in &report.begun {
            if let Some(entry) = self.parts.get_mut(part) {
                entry.begun.insert(process.to_owned(), *begun);
            }
        }
        for end in &report.ends {
            self.record_end(process, end, now);
        }
    }

    fn record_end(&mut self, process: &str, end: &ObservedEnd, now: Instant) {
        for (part, begun) in &end.parts {
            let entry = self.parts.entry(*part).or_default();
            entry.begun.entry(process.to_owned()).or_insert(*begun);
            entry.first_end_at.get_or_insert(now);
            if entry.upstreams.len() < MAX_UPSTREAMS {
                entry.upstreams.insert(end.upstream.clone());
            }
            if entry.ends() >= MIN_ENDS {
                entry.noted_at.get_or_insert(now);
            }
            entry.unexplained = entry.ends();
        }
        self.evict();
    }

    /// Weighs the parts of the same ends against each other. An upstream ends under one part of a prompt,
    /// so that an end does not count against a part if another one shares it that fewer answers have
    /// begun on. All of it follows from the evidence so far, in whichever order that came.
    fn weigh(&mut self) {
        let mut suspects: Vec<_> = self.parts.iter().filter(|(_, e)| e.is_rival()).collect();
        suspects.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.ends()));
        suspects.truncate(MAX_RIVALS);
        let weighed = self.parts.iter().map(|(part, entry)| {
            let others = suspects.iter().filter(|(other, _)| *other != part);
            let rivals = others.filter(|(other, e)| entry.has_rival(**other, e));
            let rivals: Vec<_> = rivals.map(|(other, e)| (**other, *e)).collect();
            let lesser = rivals.iter().filter(|(_, e)| e.begun() < entry.begun());
            let unexplained = entry.unexplained_by(&lesser.copied().collect::<Vec<_>>());
            let is_mostly_explained = unexplained * 2 <= entry.ends();
            let unexplained = if is_mostly_explained {
                unexplained
            } else {
                entry.ends()
            };
            let rivals: Vec<_> = rivals.iter().map(|(rival, _)| *rival).collect();
            (*part, rivals, unexplained)
        });
        for (part, rivals, unexplained) in weighed.collect::<Vec<_>>() {
            if let Some(entry) = self.parts.get_mut(&part) {
                entry.rivals = rivals;
                entry.unexplained = unexplained;
            }
        }
    }

    /// Whether a trial of a prompt with these parts tells a part from its rivals: those that the prompt
    /// does not have explain its ends.
    fn is_apart(&self, entry: &Entry, parts: &[PartId]) -> bool {
        let others = entry.rivals.iter().filter(|rival| !parts.contains(rival));
        let others = others.filter_map(|rival| Some((*rival, self.parts.get(rival)?)));
        let others: Vec<_> = others.collect();
        let unexplained = entry.unexplained_by(&others);
        unexplained * 2 <= entry.ends() && unexplained < MIN_ENDS + entry.begun() / BEGUN_PER_END
    }

    fn evict(&mut self) {
        while self.parts.len() > MAX_PARTS {
            let rank = |e: &Entry| (e.is_suspect, e.failed_trials, e.ends(), e.first_end_at);
            let least = self.parts.iter().min_by_key(|(_, entry)| rank(entry));
            let Some(part) = least.map(|(part, _)| *part) else {
                return;
            };
            self.parts.remove(&part);
        }
    }

    /// Decides which parts are suspect. Without many ends, a part is not before `round` has passed since
    /// it had enough, in which all instances learn of it and report the answers begun on it.
    pub fn update(&mut self, round: Duration, now: Instant) {
        self.tenure_began_at
            .take_if(|at| now.saturating_duration_since(*at) >= round);
        self.weigh();
        let mut forgotten = Vec::new();
        for (part, entry) in &mut self.parts {
            if let Some(trial) = entry.trial.take_if(|trial| trial.until <= now) {
                let next = Some(now + UNKNOWN_OUTCOME_DELAY);
                if trial.is_apart {
                    entry.next_trial_apart = next;
                } else {
                    entry.next_trial = entry.next_trial.max(next);
                }
            }
            let (part, ends, begun) = (*part, entry.ends(), entry.begun());
            if entry.is_cleared() {
                if begun >= ends * FORGOTTEN_BEGUN_PER_END {
                    forgotten.push(part);
                }
                if std::mem::take(&mut entry.is_suspect) {
                    self.events.push(LedgerEvent::Cleared { part, ends, begun });
                }
                continue;
            }
            let is_clear = entry.unexplained >= MANY_ENDS && begun < entry.unexplained;
            let is_known = |at| is_clear || now.saturating_duration_since(at) >= round;
            let is_suspect = entry.is_suspect || entry.noted_at.is_some_and(is_known);
            if is_suspect && !entry.is_suspect {
                entry.is_suspect = true;
                if entry.failed_trials > 0 && entry.rivals.is_empty() {
                    // It was cleared by luck: what has begun before says no more.
                    entry.discounted = entry.all_begun();
                }
                self.events.push(LedgerEvent::Suspect { part, ends, begun });
            }
        }
        for part in forgotten {
            self.parts.remove(&part);
        }
        self.update_records(now);
    }

    fn update_records(&mut self, now: Instant) {
        let noted = self.parts.iter().filter(|(_, e)| e.is_published());
        let mut noted: Vec<_> = noted.collect();
        if noted.len() > MAX_RECORDS {
            noted
                .sort_by_key(|(_, e)| std::cmp::Reverse((e.is_suspect, e.failed_trials, e.ends())));
            noted.truncate(MAX_RECORDS);
        }
        let records = noted.into_iter().map(|(part, entry)| {
            let trial_at = entry.next_trial_at(now);
            (entry.record(*part, trial_at, now), trial_at)
        });
        let records: Vec<_> = records.collect();
        let is_same = |a: &(PartRecord, Option<Instant>), b: &(PartRecord, Option<Instant>)| {
            let trials = |r: &PartRecord| (r.failed_trials, r.late_trials);
            (a.0.part, a.0.ends, a.0.is_suspect) == (b.0.part, b.0.ends, b.0.is_suspect)
                && a.0.rivals == b.0.rivals
                && trials(&a.0) == trials(&b.0)
                && a.1 == b.1
        };
        let is_unchanged = records.len() == self.records.len()
            && records
                .iter()
                .zip(&self.records)
                .all(|(a, b)| is_same(a, b));
        if !is_unchanged {
            self.records = records;
            self.version += 1;
        }
    }

    /// The records, for an instance that knows a version of them; none if it is the current one.
    pub fn view(&self, known: (u64, u64), now: Instant) -> Option<QuarantineView> {
        let version = (self.fence, self.version);
        (known != version).then(|| QuarantineView {
            version,
            records: self.records(now),
        })
    }

    /// Version of the records.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The current records.
    pub fn records(&self, now: Instant) -> Vec<PartRecord> {
        let records = self.records.iter().map(|(record, trial_at)| PartRecord {
            trial_in: trial_at.map(|at| at.saturating_duration_since(now)),
            ..record.clone()
        });
        records.collect()
    }

    /// Answers a request for a trial of a prompt with these parts.
    pub fn request_trial(&mut self, parts: &[PartId], now: Instant) -> TrialAnswer {
        let (mut is_needed, mut is_exclusive) = (false, false);
        for part in parts {
            let Some(entry) = self.parts.get(part).filter(|e| !e.is_cleared()) else {
                continue;
            };
            is_needed = true;
            is_exclusive |= entry.ends() >= MIN_ENDS;
            if entry.trial.is_some() {
                return TrialAnswer::Busy;
            }
            let next = if self.is_apart(entry, parts) {
                Some(entry.next_trial_apart.unwrap_or(now))
            } else {
                entry.next_trial_at(now)
            };
            let trial_in = next.map(|at| at.saturating_duration_since(now));
            if trial_in != Some(Duration::ZERO) {
                return TrialAnswer::Later(*part, trial_in);
            }
        }
        if !is_needed {
            return TrialAnswer::NotNeeded;
        }
        // Two trials at one upstream could not be told apart. After a single end the request under which
        // it came is mostly sound, and many may have one at once.
        let open = self.parts.values().filter_map(|e| e.trial);
        let is_taken = is_exclusive && open.into_iter().any(|trial| trial.is_exclusive);
        if is_taken || self.tenure_began_at.is_some() {
            return TrialAnswer::Busy;
        }
        self.last_trial += 1;
        let number = self.last_trial;
        let entries = parts
            .iter()
            .filter_map(|part| Some((*part, self.parts.get(part)?)));
        let tried = entries.filter(|(_, entry)| !entry.is_cleared());
        let tried = tried.map(|(part, entry)| (part, self.is_apart(entry, parts)));
        for (part, is_apart) in tried.collect::<Vec<_>>() {
            if let Some(entry) = self.parts.get_mut(&part) {
                let is_late = !is_apart && entry.ends() >= MANY_ENDS;
                entry.late_trials += u32::from(is_late);
                entry.trial = Some(OpenTrial {
                    number,
                    until: now + TRIAL_TIMEOUT,
                    is_late,
                    is_apart,
                    is_exclusive,
                });
            }
        }
        TrialAnswer::Granted(TrialId {
            fence: self.fence,
            number,
        })
    }

    /// Records how a trial of a prompt with these parts ended. The outcome of a trial that an earlier
    /// holder gave counts as well.
    pub fn record_outcome(
        &mut self,
        id: TrialId,
        parts: &[PartId],
        outcome: TrialOutcome,
        now: Instant,
    ) {
        let fence = self.fence;
        let is_own = id.fence == fence;
        if !is_own {
            if !self.earlier_outcomes.insert(id) {
                return;
            }
            if self.earlier_outcomes.len() > MAX_EARLIER_OUTCOMES {
                self.earlier_outcomes.pop_first();
            }
        }
        let on_trial = |entry: &Entry| match entry.trial {
            Some(trial) => is_own && trial.number == id.number,
            None => !is_own,
        };
        self.weigh();
        let entries = parts
            .iter()
            .filter_map(|part| Some((*part, self.parts.get(part)?)));
        // Of several suspect parts, those that answers have begun on are not blamed.
        let tried = entries.clone().filter(|(_, e)| on_trial(e));
        let rivals = tried.flat_map(|(_, entry)| &entry.rivals);
        let rivals: Vec<_> = rivals.collect();
        let suspects = entries.clone();
        let suspects = suspects.filter(|(part, e)| on_trial(e) || rivals.contains(&part));
        let least_begun = suspects.clone().map(|(_, e)| e.begun()).min();
        let blamed = suspects.filter(|(_, e)| Some(e.begun()) == least_begun);
        let blamed = blamed.count();
        // What explains the ends may have become known since the trial was given.
        let apart = entries.filter(|(_, entry)| self.is_apart(entry, parts));
        let apart: Vec<_> = apart.map(|(part, _)| part).collect();
        for part in parts {
            let Some(entry) = self.parts.get_mut(part).filter(|e| on_trial(e)) else {
                continue;
            };
            let is_exclusive = entry.trial.is_some_and(|trial| trial.is_exclusive);
            let is_beside_others = is_own && !is_exclusive;
            let is_apart = apart.contains(part) || entry.trial.is_some_and(|trial| trial.is_apart);
            if is_apart && outcome != TrialOutcome::Begun {
                // Another request may have ended the upstream. If not, it is an end that no rival shares.
                let part = *part;
                self.events.push(LedgerEvent::Undecided { part, outcome });
                entry.trial = None;
                entry.next_trial_apart =
                    (outcome != TrialOutcome::Unused).then_some(now + SHARED_BLAME_DELAY);
                continue;
            }
            if outcome == TrialOutcome::Ended && is_beside_others {
                // It is one more end, and the next trial excludes others.
                entry.trial = None;
                continue;
            }
            if outcome == TrialOutcome::Unknown && entry.ends() < MANY_ENDS {
                entry.trial = None;
                entry.next_trial = (!is_beside_others).then_some(now + UNKNOWN_OUTCOME_DELAY);
                continue;
            }
            let is_blamed = Some(entry.begun()) == least_begun;
            let outcome = match outcome {
                TrialOutcome::Ended if !is_blamed => TrialOutcome::Unused,
                TrialOutcome::Ended if blamed > 1 && !entry.was_blamed_with_others => {
                    let part = *part;
                    self.events.push(LedgerEvent::Undecided { part, outcome });
                    entry.was_blamed_with_others = true;
                    entry.trial = None;
                    entry.next_trial = Some(now + SHARED_BLAME_DELAY);
                    continue;
                }
                outcome => outcome,
            };
            let event = entry.end_trial(*part, outcome, now);
            self.events.push(event);
        }
    }

    /// Forgets a part, as an operator wants.
    pub fn release(&mut self, part: PartId) {
        if self.parts.remove(&part).is_some() {
            self.events.push(LedgerEvent::Released { part });
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LedgerEvent> {
        std::mem::take(&mut self.events)
    }
}

impl Entry {
    fn ends(&self) -> u32 {
        let upstreams = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
        self.earlier_ends.saturating_add(upstreams)
    }

    fn begun(&self) -> u32 {
        self.all_begun().saturating_sub(self.discounted)
    }

    fn all_begun(&self) -> u32 {
        let begun: u32 = self.begun.values().sum();
        // A part under which an upstream has ended in a trial may end others only at times.
        let weight = if self.failed_trials > 0 {
            WEIGHT_AFTER_FAILURE
        } else {
            TRIAL_WEIGHT
        };
        begun + self.begun_trials * weight
    }

    fn is_cleared(&self) -> bool {
        self.begun() >= self.unexplained.max(1) * BEGUN_PER_END
    }

    /// Whether it may be the reason of ends that other parts share.
    fn is_rival(&self) -> bool {
        self.ends() >= MIN_ENDS && self.begun() < self.ends() * BEGUN_PER_END
    }

    /// Whether another part may be the reason of its ends.
    fn has_rival(&self, part: PartId, other: &Entry) -> bool {
        let shared = self.upstreams.intersection(&other.upstreams).count();
        let is_shared = shared > 0 && shared * MIN_SHARED_DIVISOR >= self.upstreams.len()
            || self.earlier_rivals.contains(&part);
        let is_tried_less = other.failed_trials < self.failed_trials;
        is_shared && !is_tried_less && other.begun() <= self.begun()
    }

    /// Its ends that none of some other parts share.
    fn unexplained_by(&self, others: &[(PartId, &Entry)]) -> u32 {
        let is_earlier = |(part, _): &(PartId, &Entry)| self.earlier_rivals.contains(part);
        let earlier = if others.iter().any(is_earlier) {
            0
        } else {
            self.earlier_ends
        };
        let is_shared = |u: &&UpstreamProcess| others.iter().any(|(_, e)| e.upstreams.contains(*u));
        let own = self.upstreams.iter().filter(|u| !is_shared(u)).count();
        earlier.saturating_add(u32::try_from(own).unwrap_or(u32::MAX))
    }

    /// Whether instances are told of the part, so that they report the answers begun on it.
    fn is_published(&self) -> bool {
        self.is_suspect || self.noted_at.is_some() || self.failed_trials > 0
    }

    /// When the next trial is possible; none if there is none before an operator releases the part.
    fn next_trial_at(&self, now: Instant) -> Option<Instant> {
        let spent = u32::from(self.ends() >= SPREAD_ENDS);
        let has_left = self.ends() < MANY_ENDS || self.late_trials + spent < MAX_LATE_TRIALS;
        let is_open = self.trial.is_some();
        let first = self.next_trial.or(self.noted_at);
        (has_left || is_open).then(|| first.unwrap_or(now))
    }

    fn record(&self, part: PartId, trial_at: Option<Instant>, now: Instant) -> PartRecord {
        PartRecord {
            part,
            ends: self.ends(),
            failed_trials: self.failed_trials,
            late_trials: self.late_trials,
            trial_in: trial_at.map(|at| at.saturating_duration_since(now)),
            is_suspect: self.is_suspect,
            rivals: self.rivals.clone(),
        }
    }

    fn end_trial(&mut self, part: PartId, outcome: TrialOutcome, now: Instant) -> LedgerEvent {
        let was_late = self.trial.take().is_some_and(|trial| trial.is_late);
        match outcome {
            TrialOutcome::Begun => {
                self.begun_trials += 1;
                // A part that ends upstreams only at times must not get trials without end.
                self.late_trials -= u32::from(was_late && self.failed_trials == 0);
                self.next_trial = Some(now + trial_delay(self.failed_trials));
            }
            TrialOutcome::Ended | TrialOutcome::Unknown => {
                self.failed_trials += 1;
                self.next_trial = Some(now + trial_delay(self.failed_trials));
                self.is_suspect |= outcome == TrialOutcome::Ended;
            }
            TrialOutcome::Unused => self.late_trials -= u32::from(was_late),
        }
        LedgerEvent::Tried {
            part,
            outcome,
            failed: self.failed_trials,
        }
    }
}
