//! An instance's part in the quarantine of prompt parts: its evidence, and the trials of its requests.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::BTreeMap,
    time::Instant,
};

use comfreyweir_fleet::{
    directory::UpstreamProcess,
    quarantine::{
        EvidenceReport, PartEvidence, PartId, PartRecord, QuarantineView, TrialAnswer, TrialId,
        TrialOutcome,
    },
};
use tokio::sync::Notify;

use crate::exchange::message::{TrialRequest, Trials};

/// Most requests that wait for a trial.
const MAX_WAITING: usize = 64;

/// State of the quarantine at one instance.
#[derive(Default)]
pub(crate) struct QuarantineState {
    evidence: RefCell<PartEvidence>,
    /// Requests that wait for a trial.
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    last_waiting: Cell<u64>,
    /// Trials that have ended and that the holder does not know of.
    outcomes: RefCell<Vec<(TrialId, Vec<PartId>, TrialOutcome)>>,
    /// Parts that an operator has released and that the holder does not know of.
    released: RefCell<Vec<PartId>>,
    has_news: Notify,
    /// Notified when the holder has answered.
    pub(crate) answered: Notify,
}

struct Waiting {
    parts: Vec<PartId>,
    answer: Option<TrialAnswer>,
}

impl QuarantineState {
    /// The evidence of this instance.
    pub(crate) fn evidence(&self) -> Ref<'_, PartEvidence> {
        self.evidence.borrow()
    }

    /// Records that an upstream got past the beginning of an answer to a prompt with these parts.
    pub(crate) fn record_begun(&self, parts: &[PartId], now: Instant) {
        self.evidence.borrow_mut().record_begun(parts, now);
    }

    /// Records that an upstream ended when it had begun to write on these parts. Returns whether that
    /// speaks against any of them.
    pub(crate) fn record_end(
        &self,
        upstream: UpstreamProcess,
        parts: &[PartId],
        now: Instant,
    ) -> bool {
        let counts = self.evidence.borrow_mut().record_end(upstream, parts, now);
        if counts {
            self.has_news.notify_one();
        }
        counts
    }

    /// Takes over the holder's records.
    pub(crate) fn apply(&self, view: QuarantineView, now: Instant) {
        self.evidence.borrow_mut().apply(view, now);
    }

    /// Takes over the records in the store, until a holder tells its own.
    pub(crate) fn apply_stored(&self, records: Vec<PartRecord>, now: Instant) {
        self.evidence.borrow_mut().apply_stored(records, now);
    }

    /// Records that a holder has received a report.
    pub(crate) fn acknowledge_evidence(&self, report: &EvidenceReport, fence: u64) {
        self.evidence.borrow_mut().acknowledge(report, fence);
    }

    /// Tells the holder that an operator releases a part.
    pub(crate) fn release(&self, part: PartId) {
        self.released.borrow_mut().push(part);
        self.has_news.notify_one();
    }

    /// Begins to wait for a trial; none if too many requests wait.
    pub(crate) fn wait_for_trial(&self, parts: Vec<PartId>) -> Option<TrialWait<'_>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            return None;
        }
        let number = self.last_waiting.get() + 1;
        self.last_waiting.set(number);
        let answer = None;
        waiting.insert(number, Waiting { parts, answer });
        self.has_news.notify_one();
        Some(TrialWait {
            state: self,
            number,
        })
    }

    /// Records how a trial has ended.
    pub(crate) fn end_trial(&self, id: TrialId, parts: Vec<PartId>, outcome: TrialOutcome) {
        self.outcomes.borrow_mut().push((id, parts, outcome));
        self.has_news.notify_one();
    }

    /// Whether the holder has to be called.
    pub(crate) fn has_news(&self) -> bool {
        let waiting = self.waiting.borrow();
        self.evidence.borrow().has_unreported_ends()
            || waiting.values().any(|w| w.answer.is_none())
            || !self.outcomes.borrow().is_empty()
            || !self.released.borrow().is_empty()
    }

    /// Waits until there may be news.
    pub(crate) async fn news(&self) {
        self.has_news.notified().await;
    }

    /// What the holder is told and asked, without the name of the process.
    pub(crate) fn request(&self) -> TrialRequest {
        let waiting = self.waiting.borrow();
        let unanswered = waiting.iter().filter(|(_, w)| w.answer.is_none());
        let mut wanted: Vec<_> = unanswered.map(|(n, w)| (*n, w.parts.clone())).collect();
        // A request with one suspect part tells more than one with several.
        wanted.sort_by_key(|(number, parts)| (parts.len(), *number));
        TrialRequest {
            process: String::new(),
            evidence: self.evidence.borrow().report(),
            outcomes: self.outcomes.borrow().clone(),
            wanted,
            released: self.released.borrow().clone(),
        }
    }

    /// Takes over the holder's answer to a request.
    pub(crate) fn apply_trials(&self, request: &TrialRequest, trials: Trials, now: Instant) {
        self.acknowledge_evidence(&request.evidence, trials.fence);
        self.outcomes.borrow_mut().drain(..request.outcomes.len());
        self.released.borrow_mut().drain(..request.released.len());
        if let Some(view) = trials.quarantine {
            self.apply(view, now);
        }
        for (number, answer) in trials.answers {
            let mut all = self.waiting.borrow_mut();
            match (all.get_mut(&number), answer) {
                (_, TrialAnswer::Busy) => {}
                (Some(waiting), answer) => waiting.answer = Some(answer),
                (None, TrialAnswer::Granted(id)) => {
                    let parts = request.wanted.iter().find(|(n, _)| *n == number);
                    let parts = parts.map_or_else(Vec::new, |(_, parts)| parts.clone());
                    self.end_trial(id, parts, TrialOutcome::Unused);
                }
                (None, _) => {}
            }
        }
        self.answered.notify_waiters();
    }
}

/// A request that waits for a trial until dropped.
pub(crate) struct TrialWait<'a> {
    state: &'a QuarantineState,
    number: u64,
}

impl TrialWait<'_> {
    /// The holder's answer, once there is one, with the parts.
    pub(crate) fn take_answer(&self) -> Option<(TrialAnswer, Vec<PartId>)> {
        let mut waiting = self.state.waiting.borrow_mut();
        let answer = waiting.get(&self.number)?.answer?;
        let parts = waiting.remove(&self.number)?.parts;
        Some((answer, parts))
    }
}

impl Drop for TrialWait<'_> {
    fn drop(&mut self) {
        let left = self.state.waiting.borrow_mut().remove(&self.number);
        if let Some(Waiting { parts, answer }) = left
            && let Some(TrialAnswer::Granted(id)) = answer
        {
            self.state.end_trial(id, parts, TrialOutcome::Unused);
        }
    }
}
