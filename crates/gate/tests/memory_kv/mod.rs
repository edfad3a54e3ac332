//! A key-value service in memory whose answers get lost by a script.

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

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call is answered.
    None,
    /// The call never arrives.
    Lost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call takes effect only after its caller was told that it failed.
    Late,
}

/// The service. Clones share the same state.
#[derive(Clone, Default)]
pub struct MemoryKv {
    keys: Rc<RefCell<BTreeMap<String, VersionedValue>>>,
    faults: Rc<RefCell<VecDeque<Fault>>>,
    yields: Rc<Cell<u64>>,
}

impl MemoryKv {
    /// Creates the service; each call takes the next fault until there are none left. `seed`
    /// drives the interleaving of concurrent calls.
    pub fn new(faults: Vec<Fault>, seed: u64) -> Self {
        let kv = Self::default();
        kv.faults.borrow_mut().extend(faults);
        kv.yields.set(seed);
        kv
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.faults.borrow_mut().clear();
    }

    /// Lets other tasks run a number of times that varies from call to call.
    async fn interleave(&self) {
        let next = self
            .yields
            .get()
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.yields.set(next);
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
            Fault::Lost => {}
            Fault::AnswerLost => {
                self.apply(key, expected, value);
            }
            Fault::Late => {
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
