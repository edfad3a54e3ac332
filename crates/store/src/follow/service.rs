//! Following by calls to the service.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{Kv, KvError, Version, Versioned};
use tokio::{task::JoinSet, time::timeout};

use super::{Follow, adopt::decode_root, state::Fault};
use crate::{chunk::ROOT_KEY, error::ReadError, peers::Peers};

/// Pauses between failed calls to the service that fit into the cut-off time.
const PAUSES_PER_CUT_OFF: u32 = 20;
/// Age up to which a late answer of the service is waited for. The client that a follower is given
/// must not give up before.
pub const SLOWEST_ANSWER: Duration = Duration::from_secs(10);

/// A call to the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Call {
    began: Instant,
    /// Version to watch from; `None` for a read.
    after: Option<Version>,
}

impl<K, C, P> Follow<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    /// Keeps one call to the service under way.
    ///
    /// A call that is not answered within its limit counts as failed and another one is tried,
    /// but the late answer is still taken: a slow service must not hide a new revision.
    pub(super) async fn follow_service(self: Rc<Self>) {
        let mut calls = JoinSet::new();
        // A read starts the watch over after every failure, because the version of the last
        // answer may be above that of a service that was restored.
        let mut after = None;
        loop {
            let began = self.clock.now();
            let call = Call { began, after };
            calls.spawn_local(Rc::clone(&self).call(call));
            let answer = timeout(self.limit(after), answer_of(&mut calls, call)).await;
            if answer.is_err() {
                self.state.contacts.borrow_mut().note_failure(began);
            }
            let next = answer.ok().flatten();
            // A peer may have brought a revision that the service does not show yet.
            let behind = self.state.offered.get() < self.state.revision();
            if next.is_none() || behind {
                actix_rt::time::sleep(self.timing.cut_off / PAUSES_PER_CUT_OFF).await;
            }
            after = next.filter(|_| !behind);
        }
    }

    /// Makes a call and takes its answer; returns the version to watch from.
    async fn call(self: Rc<Self>, call: Call) -> (Call, Option<Version>) {
        let read = async {
            match call.after {
                None => self.kv.get(ROOT_KEY).await,
                Some(after) => self.kv.watch(ROOT_KEY, after, self.watch_wait()).await,
            }
        };
        let Ok(answer) = timeout(SLOWEST_ANSWER, read).await else {
            return (call, None);
        };
        // Answers that overtook each other are not stale reads.
        if self.state.answered.get() > Some(call.began) {
            return (call, None);
        }
        (call, self.note_answer(call, answer).await)
    }

    async fn note_answer(
        &self,
        call: Call,
        answer: Result<Option<Versioned>, KvError>,
    ) -> Option<Version> {
        let taken = match answer {
            Ok(found) => self.take(call.after, found).await,
            // The service runs, so this is no failure to reach it.
            Err(KvError::RateLimited { .. }) => return None,
            Err(e) => {
                self.state.contacts.borrow_mut().note_failure(call.began);
                if self.state.is_news(Some(Fault::Failed)) {
                    spdlog::warn!("configuration: {e}");
                }
                return None;
            }
        };
        let version = match taken {
            Ok(version) => version,
            // Logged where it was found.
            Err(ReadError::Stale { .. }) => return None,
            Err(e) => {
                if self.state.is_news(Some(Fault::Unreadable)) {
                    spdlog::warn!("configuration: {e}");
                }
                return None;
            }
        };
        self.state.is_news(None);
        self.state.answered.set(Some(call.began));
        if self.state.is_latest() {
            self.state.contacts.borrow_mut().note_service(call.began);
        }
        Some(version)
    }

    /// Takes the answer of a read or of a watch after `version`; returns the version of the key.
    async fn take(
        &self,
        version: Option<Version>,
        found: Option<Versioned>,
    ) -> Result<Version, ReadError> {
        let Some(found) = found else {
            if version.is_none() {
                self.state.offer(0)?;
            }
            return Ok(version.unwrap_or_default());
        };
        let record = decode_root(&found.value)?;
        self.state.offer(record.revision)?;
        self.adopt(record, found.value, None).await?;
        Ok(found.version)
    }

    /// Longest wait of one watch. Evidence is dated by the start of a call, so two waits have to
    /// fit into the contact period.
    fn watch_wait(&self) -> Duration {
        self.timing.cut_off / 5
    }

    /// Time after which a call that was not answered counts as failed.
    fn limit(&self, after: Option<Version>) -> Duration {
        let answer = self.timing.cut_off / 6;
        match after {
            None => answer,
            Some(_) => self.watch_wait() + answer,
        }
    }
}

/// Waits for the answer of one of the calls.
async fn answer_of(calls: &mut JoinSet<(Call, Option<Version>)>, call: Call) -> Option<Version> {
    while let Some(done) = calls.join_next().await {
        match done {
            Ok((answered, version)) if answered == call => return version,
            Ok(_) | Err(_) => {}
        }
    }
    None
}
