//! A simulated key-value service as the share manager sees it, with faults.

use std::collections::BTreeMap;

use comfreyweir_allowance::share_manager::{Call, Key, Outcome, Value, Version};

/// How a call and its answer are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallDelivery {
    /// The call takes effect and is answered.
    Answered,
    /// The call never arrives.
    RequestLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The caller gets an unknown outcome, and the call takes effect later.
    Late,
    /// A read returns the value before the last write.
    StaleRead,
}

#[derive(Clone)]
struct VersionedEntry {
    version: Version,
    write_id: String,
    value: Value,
}

#[derive(Default)]
pub struct KvService {
    keys: BTreeMap<Key, Vec<VersionedEntry>>,
    late_calls: Vec<Call>,
}

impl KvService {
    /// Handles a call and returns the outcome that its caller sees.
    pub fn call(&mut self, call: &Call, delivery: CallDelivery) -> Outcome {
        match delivery {
            CallDelivery::Answered => self.apply(call, 0),
            CallDelivery::StaleRead => self.apply(call, 1),
            CallDelivery::RequestLost => Outcome::Unknown,
            CallDelivery::AnswerLost => {
                self.apply(call, 0);
                Outcome::Unknown
            }
            CallDelivery::Late => {
                self.late_calls.push(call.clone());
                Outcome::Unknown
            }
        }
    }

    /// Applies all calls that were delivered late.
    pub fn apply_late_writes(&mut self) {
        for call in std::mem::take(&mut self.late_calls) {
            self.apply(&call, 0);
        }
    }

    /// The newest value of a key.
    pub fn value(&self, key: Key) -> Option<&Value> {
        let entries = self.keys.get(&key)?;
        entries.last().map(|entry| &entry.value)
    }

    fn apply(&mut self, call: &Call, versions_back: usize) -> Outcome {
        match call {
            Call::Get(key) => Outcome::Found(self.read(*key, versions_back)),
            Call::Watch { after, .. } => {
                let found = self.read(Key::Shares, versions_back);
                Outcome::Found(found.filter(|(version, _)| version > after))
            }
            Call::Swap {
                key,
                expected,
                write_id,
                value,
            } => self.swap(*key, *expected, write_id, value),
            Call::Done => Outcome::Unknown,
        }
    }

    fn read(&self, key: Key, versions_back: usize) -> Option<(Version, Value)> {
        let entries = self.keys.get(&key)?;
        let newest = entries.len() - 1;
        let entry = &entries[newest.saturating_sub(versions_back)];
        Some((entry.version, entry.value.clone()))
    }

    fn swap(&mut self, key: Key, expected: Version, write_id: &str, value: &Value) -> Outcome {
        let entries = self.keys.entry(key).or_default();
        let current = entries.last().map_or(0, |entry| entry.version);
        let already_written = entries.last().is_some_and(|last| last.write_id == write_id);
        if already_written {
            return Outcome::Written(current);
        }
        if current != expected {
            return Outcome::Conflict;
        }
        entries.push(VersionedEntry {
            version: current + 1,
            write_id: write_id.to_owned(),
            value: value.clone(),
        });
        Outcome::Written(current + 1)
    }
}
