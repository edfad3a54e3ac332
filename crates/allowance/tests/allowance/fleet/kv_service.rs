//! The key-value service as the keeper sees it, with faults.

use std::collections::BTreeMap;

use comfreyweir_allowance::share_manager::{Call, Key, Outcome, Value, Version};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is answered.
    Answered,
    /// It never arrives.
    Lost,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It takes effect some time after its caller was told that it failed.
    Late,
    /// A read is answered with the value before the last write.
    Stale,
}

#[derive(Clone)]
struct Entry {
    version: Version,
    write_id: String,
    value: Value,
}

/// The service.
#[derive(Default)]
pub struct Service {
    keys: BTreeMap<Key, Vec<Entry>>,
    late: Vec<Call>,
}

impl Service {
    /// Makes a call.
    pub fn call(&mut self, call: &Call, fate: Fate) -> Outcome {
        match fate {
            Fate::Answered => self.apply(call, 0),
            Fate::Stale => self.apply(call, 1),
            Fate::Lost => Outcome::Unknown,
            Fate::AnswerLost => {
                self.apply(call, 0);
                Outcome::Unknown
            }
            Fate::Late => {
                self.late.push(call.clone());
                Outcome::Unknown
            }
        }
    }

    /// Lets all late writes take effect.
    pub fn apply_late(&mut self) {
        for call in std::mem::take(&mut self.late) {
            self.apply(&call, 0);
        }
    }

    /// The newest value of a key.
    pub fn value(&self, key: Key) -> Option<&Value> {
        let entries = self.keys.get(&key)?;
        entries.last().map(|entry| &entry.value)
    }

    fn apply(&mut self, call: &Call, age: usize) -> Outcome {
        match call {
            Call::Get(key) => Outcome::Found(self.read(*key, age)),
            Call::Watch { after, .. } => {
                let found = self.read(Key::Shares, age);
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

    fn read(&self, key: Key, age: usize) -> Option<(Version, Value)> {
        let entries = self.keys.get(&key)?;
        let newest = entries.len() - 1;
        let entry = &entries[newest.saturating_sub(age)];
        Some((entry.version, entry.value.clone()))
    }

    fn swap(&mut self, key: Key, expected: Version, write_id: &str, value: &Value) -> Outcome {
        let entries = self.keys.entry(key).or_default();
        let current = entries.last().map_or(0, |entry| entry.version);
        let own = entries.last().is_some_and(|last| last.write_id == write_id);
        if own {
            return Outcome::Written(current);
        }
        if current != expected {
            return Outcome::Conflict;
        }
        entries.push(Entry {
            version: current + 1,
            write_id: write_id.to_owned(),
            value: value.clone(),
        });
        Outcome::Written(current + 1)
    }
}
