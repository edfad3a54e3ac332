//! Follows the configuration by reading and watching the root record in the service.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{Kv, KvError, Version, VersionedValue};
use tokio::{task::JoinSet, time::timeout};

use super::{FollowLoop, adopt::decode_root, state::ServiceFault};
use crate::{chunk::ROOT_KEY, error::ReadError, peers::Peers};

/// Number of pauses after failed calls to the service that fit into the cut-off time.
const RETRIES_PER_CUT_OFF: u32 = 20;
/// Maximum time to wait for a late answer of the service. The key-value client that is passed to a
/// follower must not time out earlier.
pub const MAX_ANSWER_WAIT: Duration = Duration::from_secs(10);

/// A read or watch of the root record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ServiceCall {
    began: Instant,
    /// Version to watch from; `None` for a read.
    watch_from: Option<Version>,
}

impl<K, C, P> FollowLoop<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    /// Calls the service in a loop.
    ///
    /// A call that is not answered within its timeout counts as failed and another one is started,
    /// but a late answer is still used: a slow service must not hide a new revision.
    pub(super) async fn follow_service(self: Rc<Self>) {
        let mut calls = JoinSet::new();
        // After every failure the watch starts over with a read, because the version of the last
        // answer may be higher than that of a service that was restored from a backup.
        let mut watch_from = None;
        loop {
            let began = self.clock.now();
            let call = ServiceCall { began, watch_from };
            calls.spawn_local(Rc::clone(&self).run_call(call));
            let answer = timeout(
                self.call_timeout(watch_from),
                wait_for_answer(&mut calls, call),
            )
            .await;
            if answer.is_err() {
                self.state
                    .contacts
                    .borrow_mut()
                    .record_service_failure(began);
            }
            let next_version = answer.ok().flatten();
            // A revision that was adopted from a peer may not be visible in the service yet.
            let behind = self.state.last_service_revision.get() < self.state.revision();
            if next_version.is_none() || behind {
                actix_rt::time::sleep(self.timing.cut_off / RETRIES_PER_CUT_OFF).await;
            }
            watch_from = next_version.filter(|_| !behind);
        }
    }

    /// Makes a call and processes its answer. Returns the version to watch from, or `None` if the
    /// call failed or its answer was not used.
    async fn run_call(self: Rc<Self>, call: ServiceCall) -> (ServiceCall, Option<Version>) {
        let read = async {
            match call.watch_from {
                None => self.kv.get(ROOT_KEY).await,
                Some(version) => {
                    self.kv
                        .watch(ROOT_KEY, version, self.max_watch_wait())
                        .await
                }
            }
        };
        let Ok(answer) = timeout(MAX_ANSWER_WAIT, read).await else {
            return (call, None);
        };
        // A later call was answered first: this answer is outdated, but not a stale read.
        if self.state.latest_answered_call.get() > Some(call.began) {
            return (call, None);
        }
        (call, self.handle_answer(call, answer).await)
    }

    /// Adopts the revision in an answer and records contact or failure.
    async fn handle_answer(
        &self,
        call: ServiceCall,
        answer: Result<Option<VersionedValue>, KvError>,
    ) -> Option<Version> {
        let applied = match answer {
            Ok(found) => self.apply_answer(call.watch_from, found).await,
            // The service is running, so this is no failure to reach it.
            Err(KvError::RateLimited { .. }) => return None,
            Err(e) => {
                self.state
                    .contacts
                    .borrow_mut()
                    .record_service_failure(call.began);
                if self.state.record_fault(Some(ServiceFault::Failed)) {
                    spdlog::warn!("configuration: {e}");
                }
                return None;
            }
        };
        let version = match applied {
            Ok(version) => version,
            // Already logged by `record_service_revision`.
            Err(ReadError::Stale { .. }) => return None,
            Err(e) => {
                if self.state.record_fault(Some(ServiceFault::Unreadable)) {
                    spdlog::warn!("configuration: {e}");
                }
                return None;
            }
        };
        self.state.record_fault(None);
        self.state.latest_answered_call.set(Some(call.began));
        if self.state.is_latest() {
            self.state
                .contacts
                .borrow_mut()
                .record_service_success(call.began);
        }
        Some(version)
    }

    /// Adopts the revision in the answer of a read, or of a watch after `version`. Returns the
    /// version of the key.
    async fn apply_answer(
        &self,
        version: Option<Version>,
        found: Option<VersionedValue>,
    ) -> Result<Version, ReadError> {
        let Some(found) = found else {
            if version.is_none() {
                self.state.record_service_revision(0)?;
            }
            return Ok(version.unwrap_or_default());
        };
        let record = decode_root(&found.value)?;
        self.state.record_service_revision(record.revision)?;
        self.adopt(record, found.value, None).await?;
        Ok(found.version)
    }

    /// Maximum wait of one watch. Evidence is dated by the start of a call, so two waits have to
    /// fit into the contact period.
    fn max_watch_wait(&self) -> Duration {
        self.timing.cut_off / 5
    }

    /// Time after which a call without an answer counts as failed.
    fn call_timeout(&self, watch_from: Option<Version>) -> Duration {
        let answer_timeout = self.timing.cut_off / 6;
        match watch_from {
            None => answer_timeout,
            Some(_) => self.max_watch_wait() + answer_timeout,
        }
    }
}

/// Waits until `call` has ended and returns its result. Earlier calls that end meanwhile are
/// removed from the set.
async fn wait_for_answer(
    calls: &mut JoinSet<(ServiceCall, Option<Version>)>,
    call: ServiceCall,
) -> Option<Version> {
    while let Some(done) = calls.join_next().await {
        match done {
            Ok((answered, version)) if answered == call => return version,
            Ok(_) | Err(_) => {}
        }
    }
    None
}
