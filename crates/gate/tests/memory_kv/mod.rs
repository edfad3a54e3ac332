//! An in-memory key-value service with scripted faults.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use comfreyweir_external::kv::{
    Kv, KvError, LeaseId, LeasedKv, SwapOutcome, Version, VersionedValue,
};

/// What happens to one call. A read fails under every fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call is answered.
    None,
    /// The call never arrives.
    RequestLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call takes effect only after the caller has received an error.
    AppliedLate,
}

/// The service. Clones share the same state.
#[derive(Clone, Default)]
pub struct MemoryKv {
    keys: Rc<RefCell<BTreeMap<String, VersionedValue>>>,
    faults: Rc<RefCell<VecDeque<Fault>>>,
    interleaving_state: Rc<Cell<u64>>,
}

impl MemoryKv {
    /// Creates the service. Each call takes the next fault; calls after the last one succeed.
    /// `seed` determines how concurrent calls interleave.
    pub fn new(faults: Vec<Fault>, seed: u64) -> Self {
        let kv = Self::default();
        kv.faults.borrow_mut().extend(faults);
        kv.interleaving_state.set(seed);
        kv
    }

    /// Drops the remaining faults.
    pub fn clear_faults(&self) {
        self.faults.borrow_mut().clear();
    }

    /// Yields to other tasks 0 to 7 times, by a pseudorandom sequence.
    async fn interleave(&self) {
        let next = self
            .interleaving_state
            .get()
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.interleaving_state.set(next);
        for _ in 0..(next >> 61) {
            tokio::task::yield_now().await;
        }
    }

    fn apply(&self, key: &str, expected: Version, value: Bytes) -> SwapOutcome {
        let mut keys = self.keys.borrow_mut();
        let current = keys.get(key).map_or(0, |found| found.version);
        if current != expected {
            return SwapOutcome::Conflict;
        }
        let version = current + 1;
        keys.insert(key.to_owned(), VersionedValue { version, value });
        SwapOutcome::Written(version)
    }

    fn unavailable(key: &str) -> KvError {
        KvError::Unavailable {
            key: key.to_owned(),
            reason: "fault".to_owned(),
        }
    }
}

impl Kv for MemoryKv {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KvError> {
        self.interleave().await;
        let fault = self.faults.borrow_mut().pop_front().unwrap_or(Fault::None);
        if fault != Fault::None {
            return Err(Self::unavailable(key));
        }
        Ok(self.keys.borrow().get(key).cloned())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<SwapOutcome, KvError> {
        self.interleave().await;
        let fault = self.faults.borrow_mut().pop_front().unwrap_or(Fault::None);
        match fault {
            Fault::None => return Ok(self.apply(key, expected, value)),
            Fault::RequestLost => {}
            Fault::AnswerLost => {
                self.apply(key, expected, value);
            }
            Fault::AppliedLate => {
                let (kv, key) = (self.clone(), key.to_owned());
                actix_rt::spawn(async move {
                    kv.interleave().await;
                    kv.interleave().await;
                    kv.apply(&key, expected, value);
                });
            }
        }
        Err(Self::unavailable(key))
    }

    async fn watch(
        &self,
        key: &str,
        _after: Version,
        _wait: Duration,
    ) -> Result<Option<VersionedValue>, KvError> {
        self.get(key).await
    }
}

impl LeasedKv for MemoryKv {
    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, KvError> {
        Ok(1)
    }

    async fn swap_leased(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        _lease: LeaseId,
    ) -> Result<SwapOutcome, KvError> {
        self.swap(key, expected, value).await
    }
}
