//! Quarantine of prompt parts that end each engine that begins to write on them.
//!
//! Instances observe ends of upstreams and begun answers ([`PartEvidence`]). The holder of the planning
//! duty weighs them over all instances, and gives trials to single requests ([`PartLedger`]).

mod evidence;
mod ledger;

use std::{fmt, num::ParseIntError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::{
    evidence::{PartCheck, PartEvidence},
    ledger::{LedgerEvent, PartLedger},
};
use crate::{directory::UpstreamProcess, request::PromptPart};

/// Time from the first byte of an answer until the engine is past its beginning. Engines that cannot
/// write an answer end within some steps.
pub const BEGINNING: Duration = Duration::from_millis(300);
/// Ends of different upstreams from which a part is suspect.
const MIN_ENDS: u32 = 2;
/// Begun answers for each end with which a part is not suspect.
const BEGUN_PER_END: u32 = 3;
/// Begun answers for which one counts that was begun in a trial.
const TRIAL_WEIGHT: u32 = 3;
/// The same after a trial without a begun answer.
const WEIGHT_AFTER_FAILURE: u32 = 2;
/// Ends after which only [`MAX_LATE_TRIALS`] are given.
const MANY_ENDS: u32 = 5;
/// Most trials of a part after [`MANY_ENDS`].
const MAX_LATE_TRIALS: u32 = 2;
/// Delays until the next trial after one, two, ... trials without a begun answer; the last one holds
/// for all further trials.
const TRIAL_DELAYS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_mins(1),
    Duration::from_mins(15),
    Duration::from_hours(1),
];
/// Time after which a trial without an outcome ends; others wait for it.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Parts of one prompt that are looked at.
const MAX_PARTS: usize = 64;

/// Highest count that is taken over from a record.
const MAX_RECORDED_COUNT: u32 = 1 << 20;
/// Longest time until the next trial that is taken over from a record.
const MAX_RECORDED_TIME: Duration = Duration::from_hours(24);

/// Identifier of a prompt part's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct PartId(u64);

impl From<u64> for PartId {
    fn from(id: u64) -> Self {
        Self(id)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The parts of a prompt that other requests may share: all but the last, each once.
pub fn shared_parts(prompt: &[PromptPart]) -> Vec<PartId> {
    let mut parts = Vec::new();
    if let Some((_, shared)) = prompt.split_last() {
        for part in shared.iter().take(MAX_PARTS) {
            let id = PartId(part.id);
            if !parts.contains(&id) {
                parts.push(id);
            }
        }
    }
    parts
}

/// What is known of a part under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PartRecord {
    /// The part.
    pub part: PartId,
    /// Upstreams that ended.
    pub ends: u32,
    /// Trials without a begun answer.
    pub failed_trials: u32,
    /// Trials that were given after five ends.
    pub late_trials: u32,
    /// Time until the next trial; none if there is none before an operator releases the part.
    pub trial_in: Option<Duration>,
    /// Whether requests with the part need a trial. If not, begun answers are still being counted.
    pub is_suspect: bool,
    /// Other parts that may be the reason of its ends. A request without one of them may still get a
    /// trial.
    #[serde(default)]
    pub rivals: Vec<PartId>,
}

impl PartRecord {
    /// The record with values that can be counted with, whatever the store or another instance has.
    fn bounded(self) -> Self {
        Self {
            ends: self.ends.min(MAX_RECORDED_COUNT),
            failed_trials: self.failed_trials.min(MAX_RECORDED_COUNT),
            late_trials: self.late_trials.min(MAX_RECORDED_COUNT),
            trial_in: self.trial_in.map(|time| time.min(MAX_RECORDED_TIME)),
            ..self
        }
    }
}

/// An end of an upstream, as one instance observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ObservedEnd {
    /// The process that ended.
    pub upstream: UpstreamProcess,
    /// Parts of the prompt that it had begun to write on, with the recent answers that the instance has
    /// seen begun on each.
    pub parts: Vec<(PartId, u32)>,
}

/// An instance's evidence, as reported to the holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EvidenceReport {
    /// Fencing token of the holder and version of the records that the instance knows.
    pub known: (u64, u64),
    /// Ends that the holder has not acknowledged.
    pub ends: Vec<ObservedEnd>,
    /// Begun answers on the parts of the records, where the holder does not know the number.
    pub begun: Vec<(PartId, u32)>,
    /// Records of an earlier holder or of the store, for a holder that has not acknowledged them.
    pub records: Vec<PartRecord>,
}

/// The holder's records of all parts under suspicion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct QuarantineView {
    /// Fencing token of the holder and version of the records.
    pub version: (u64, u64),
    /// The records.
    pub records: Vec<PartRecord>,
}

/// Identifies a trial: the fencing token of the holder that gave it, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct TrialId {
    /// Fencing token of the holder.
    pub fence: u64,
    /// Number of the trial in the tenure.
    pub number: u64,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum TrialOutcome {
    /// The upstream got past the beginning of its answer.
    Begun,
    /// The upstream ended.
    Ended,
    /// The request was sent, and neither was observed.
    Unknown,
    /// The request was not sent.
    Unused,
}

/// The holder's answer to a request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum TrialAnswer {
    /// The request may be sent once, as this trial.
    Granted(TrialId),
    /// No part of the request is under suspicion.
    NotNeeded,
    /// Another request is on trial.
    Busy,
    /// There is no trial of this part before this time has passed; none if before an operator releases
    /// it.
    Later(PartId, Option<Duration>),
}

fn trial_delay(failed_trials: u32) -> Duration {
    let index = usize::try_from(failed_trials).unwrap_or(usize::MAX);
    match index.checked_sub(1) {
        Some(index) => TRIAL_DELAYS[index.min(TRIAL_DELAYS.len() - 1)],
        None => Duration::ZERO,
    }
}
