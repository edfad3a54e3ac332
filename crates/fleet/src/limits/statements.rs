//! Which limits upstreams have named, and which of two statements is the newer one.
//!
//! Answers overtake each other, so that the last one heard is not always the last one given. What an
//! answer says was said between the time at which its request was sent and the time at which it was
//! heard. A limit therefore ends with an answer without one only if the request was sent after the
//! limit was last heard; and an answer to a request that was sent before that one does not bring the
//! limit back. While nothing shows which of two is newer, what is known holds.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::cold::{Cold, ColdProcesses, ToldCold};
use crate::directory::UpstreamProcess;

/// Time for which the end of a limit is remembered. Instances that have not heard of it, and answers
/// that come late, must not bring the limit back.
const END_MEMORY: Duration = Duration::from_mins(1);
/// Time for which a limit is remembered that is not heard of any more. Its upstream is most likely
/// gone.
const LIMIT_MEMORY: Duration = Duration::from_mins(10);

/// What is known of the limit of one process of an upstream. Times are since boot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Statement {
    /// Requests a second that the upstream takes from all instances together; none if it has ended
    /// the limit.
    pub(super) limit: Option<f64>,
    /// When the request was sent whose answer said so.
    pub(super) sent_at: Duration,
    /// When an answer that said so was last heard.
    pub(super) heard_at: Duration,
}

impl Statement {
    /// Which of two statements holds.
    fn newer(self, other: Self) -> Self {
        let (limit, end) = match (self.limit, other.limit) {
            (Some(_), None) => (self, other),
            (None, Some(_)) => (other, self),
            _ => {
                let newer = if other.sent_at > self.sent_at {
                    other
                } else {
                    self
                };
                return Self {
                    heard_at: self.heard_at.max(other.heard_at),
                    ..newer
                };
            }
        };
        if limit.sent_at > end.sent_at {
            limit
        } else {
            end
        }
    }

    fn is_remembered(&self, now: Duration) -> bool {
        let memory = if self.limit.is_some() {
            LIMIT_MEMORY
        } else {
            END_MEMORY
        };
        now.saturating_sub(self.heard_at) < memory
    }
}

/// What one instance tells another of a process of an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ToldLimit {
    /// The process.
    pub process: UpstreamProcess,
    /// What it has said of its limit, if anything.
    pub named: Option<NamedLimit>,
    /// That it is cold, if so.
    pub cold: Option<ToldCold>,
}

/// What an upstream has said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NamedLimit {
    /// Requests a second that it takes from all instances together; none if it has ended the limit.
    pub limit: Option<f64>,
    /// Time since the request was sent whose answer said so.
    pub sent_before: Duration,
    /// Time since an answer that said so was last heard.
    pub heard_before: Duration,
}

impl NamedLimit {
    fn statement(self, now: Duration) -> Statement {
        Statement {
            limit: self.limit,
            sent_at: now.saturating_sub(self.sent_before),
            heard_at: now.saturating_sub(self.heard_before),
        }
    }
}

/// How the limit of an upstream has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It has named a limit, in requests a second.
    Begun(f64),
    /// It has named another one.
    Changed {
        /// Limit before, in requests a second.
        from: f64,
        /// Limit now, in requests a second.
        to: f64,
    },
    /// It has ended its limit.
    Ended,
}

impl LimitChange {
    pub(super) fn between(before: Option<f64>, after: Option<f64>) -> Option<Self> {
        match (before, after) {
            (None, Some(limit)) => Some(Self::Begun(limit)),
            (Some(from), Some(to)) if from.total_cmp(&to).is_ne() => {
                Some(Self::Changed { from, to })
            }
            (Some(_), None) => Some(Self::Ended),
            _ => None,
        }
    }
}

/// Statements by process.
#[derive(Debug, Default)]
pub(super) struct Statements {
    by_process: HashMap<UpstreamProcess, Statement>,
    cold: ColdProcesses,
}

impl Statements {
    pub(super) fn get(&self, process: &UpstreamProcess) -> Option<Statement> {
        self.by_process.get(process).copied()
    }

    /// The statement that holds, of those known here and in `other`.
    pub(super) fn newest(&self, other: &Self, process: &UpstreamProcess) -> Option<Statement> {
        match (self.get(process), other.get(process)) {
            (Some(own), Some(other)) => Some(own.newer(other)),
            (own, other) => own.or(other),
        }
    }

    pub(super) fn set(&mut self, process: &UpstreamProcess, statement: Statement) {
        self.by_process.insert(process.clone(), statement);
    }

    /// Whether a process has said that it is cold.
    pub(super) fn cold(&self, process: &UpstreamProcess, now: Duration) -> Option<Cold> {
        self.cold.get(process, now)
    }

    pub(super) fn record_cold(&mut self, process: &UpstreamProcess, cold: Cold, now: Duration) {
        self.cold.record(process, cold, now);
    }

    /// Takes over what another instance has told.
    pub(super) fn merge(&mut self, told: &[ToldLimit], now: Duration) {
        for told in told {
            if let Some(named) = told.named {
                let statement = named.statement(now);
                let known = self.get(&told.process);
                let newer = known.map_or(statement, |known| known.newer(statement));
                self.set(&told.process, newer);
            }
            if let Some(cold) = told.cold {
                self.record_cold(&told.process, cold.cold(now), now);
            }
        }
    }

    /// Removes what is too old to matter.
    pub(super) fn forget_old(&mut self, now: Duration) {
        self.by_process.retain(|_, s| s.is_remembered(now));
        self.cold.forget_old(now);
    }

    /// Processes that have named a limit.
    pub(super) fn limited(&self) -> impl Iterator<Item = &UpstreamProcess> {
        let limited = self.by_process.iter().filter(|(_, s)| s.limit.is_some());
        limited.map(|(process, _)| process)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_process.is_empty() && self.cold.is_empty()
    }

    /// Processes that have said something of a limit.
    pub(super) fn processes(&self) -> impl Iterator<Item = &UpstreamProcess> {
        self.by_process.keys()
    }

    /// All statements, as another instance is told of them.
    pub(super) fn told(&self, now: Duration) -> Vec<ToldLimit> {
        let named = self.by_process.iter().map(|(process, s)| ToldLimit {
            process: process.clone(),
            named: Some(NamedLimit {
                limit: s.limit,
                sent_before: now.saturating_sub(s.sent_at),
                heard_before: now.saturating_sub(s.heard_at),
            }),
            cold: None,
        });
        let cold = self.cold.iter(now).map(|(process, cold)| ToldLimit {
            process: process.clone(),
            named: None,
            cold: Some(cold.told(now)),
        });
        named.chain(cold).collect()
    }
}
