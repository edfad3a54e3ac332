//! Claims of idempotency keys in the key-value service.
//!
//! A gate claims a key by compare-and-swap before it sends the call, so that a retry through
//! another gate finds the claim. These rules keep a call from running twice:
//!
//! - Only the gate whose swap wrote `Claimed` sends the call, and it sends the call once.
//! - Only the gate that holds a claim sets it back to `Free`, and only if no byte of the call has
//!   reached an upstream.
//! - A claim is never freed by a time-out, because a gate that was paused may still send the call.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_external::kv::{
    KvError, LeaseId, LeasedKv, RecordedValue, SwapOutcome, Version, get_recorded,
    swap_recorded_leased,
};
use comfreyweir_store::new_write_id;
use snafu::{ResultExt, Snafu};

use super::claim_record::{Claim, ClaimDecision, ClaimState, RecordedAnswer, decide_claim};

/// Minimum time for which a claim is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_hours(24);
/// Time for which a lease is shared by new claims before the next one is granted.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// Time for which recording the outcome of a call is retried while the key-value service is down.
const RECORDING_TIMEOUT: Duration = Duration::from_mins(10);
/// First pause between two tries to write a record.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two tries to write a record.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Why a call with an idempotency key is not sent.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClaimError {
    /// The key-value service failed, so the claim is not certain. The call was not sent.
    #[snafu(display("idempotency key cannot be claimed: {source}"))]
    Unavailable {
        /// Error of the key-value service.
        source: KvError,
    },
    /// Another request is running the call.
    #[snafu(display("a call with this idempotency key is under way"))]
    InProgress,
    /// The call may have run, and its answer is lost.
    #[snafu(display("a call with this idempotency key may have run, and its answer is lost"))]
    OutcomeUnknown,
    /// The key was used with a call of another digest.
    #[snafu(display("this idempotency key was used with another call"))]
    DifferentCall,
}

/// Result of a successful [`Claims::acquire`].
pub enum Claimed<K, C>
where
    K: LeasedKv,
    C: Clock,
{
    /// This gate holds the claim and may send the call once.
    Ours(HeldClaim<K, C>),
    /// The call ran before and got this answer.
    Replay(RecordedAnswer),
}

/// Claims idempotency keys for one gate. Clones share the lease.
#[derive(Clone)]
pub struct Claims<K, C> {
    kv: K,
    clock: C,
    gate: String,
    lease: Rc<RefCell<Option<(LeaseId, Instant)>>>,
}

impl<K, C> Claims<K, C>
where
    K: LeasedKv,
    C: Clock,
{
    /// `gate` is the instance name that is written into the claims.
    pub fn new(kv: K, clock: C, gate: String) -> Self {
        Self {
            kv,
            clock,
            gate,
            lease: Rc::default(),
        }
    }

    /// Claims `key` for a call, which this gate gives up after `time_limit`.
    pub async fn acquire(
        &self,
        key: &str,
        call_digest: &str,
        time_limit: Duration,
    ) -> Result<Claimed<K, C>, ClaimError> {
        let lease = self.lease_for_claims().await.context(UnavailableSnafu)?;
        loop {
            let found = get_recorded(&self.kv, key)
                .await
                .context(UnavailableSnafu)?;
            let current_version =
                match decide_claim(found.as_ref(), call_digest, self.unix_time_ms()) {
                    ClaimDecision::Claim(version) => version,
                    ClaimDecision::Replay(answer) => return Ok(Claimed::Replay(answer)),
                    ClaimDecision::InProgress => return InProgressSnafu.fail(),
                    ClaimDecision::OutcomeUnknown => return OutcomeUnknownSnafu.fail(),
                    ClaimDecision::DifferentCall => return DifferentCallSnafu.fail(),
                };
            let record = self.new_record(call_digest, time_limit);
            let claim = HeldClaim {
                claims: self.clone(),
                key: key.to_owned(),
                lease,
                expected_version: current_version,
                record,
            };
            match swap_recorded_leased(&self.kv, key, current_version, &claim.record, lease).await {
                Ok(SwapOutcome::Written(version)) => {
                    return Ok(Claimed::Ours(HeldClaim {
                        expected_version: version,
                        ..claim
                    }));
                }
                // Another gate wrote the record first: read it and decide again.
                Ok(SwapOutcome::Conflict) => {}
                Err(source) => {
                    // The service may no longer know the lease, so the next claim gets a new one.
                    *self.lease.borrow_mut() = None;
                    claim.withdraw();
                    return Err(ClaimError::Unavailable { source });
                }
            }
        }
    }

    /// The shared lease, or a new one if it was granted longer than [`LEASE_REUSE`] ago. A lease
    /// lasts long enough that the last claim under it is kept for [`CLAIM_RETENTION`] too.
    async fn lease_for_claims(&self) -> Result<LeaseId, KvError> {
        let now = self.clock.now();
        let current_lease = *self.lease.borrow();
        if let Some((lease, granted)) = current_lease
            && now < granted + LEASE_REUSE
        {
            return Ok(lease);
        }
        let lease = self.kv.grant_lease(CLAIM_RETENTION + LEASE_REUSE).await?;
        *self.lease.borrow_mut() = Some((lease, now));
        Ok(lease)
    }

    fn new_record(&self, call_digest: &str, time_limit: Duration) -> RecordedValue<Claim> {
        RecordedValue {
            write_id: new_write_id(),
            body: Claim {
                call: call_digest.to_owned(),
                gate: self.gate.clone(),
                given_up_at_ms: self.unix_time_ms().saturating_add(whole_millis(time_limit)),
                state: ClaimState::Claimed,
            },
        }
    }

    fn unix_time_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(std::time::UNIX_EPOCH);
        whole_millis(since_epoch.unwrap_or_default())
    }
}

/// A claim that this gate holds. Dropping it leaves the record as it is.
pub struct HeldClaim<K, C> {
    claims: Claims<K, C>,
    key: String,
    lease: LeaseId,
    /// Version of the record that the next swap replaces.
    expected_version: Version,
    record: RecordedValue<Claim>,
}

impl<K, C> HeldClaim<K, C>
where
    K: LeasedKv,
    C: Clock,
{
    /// Frees the key for another claim. Must be called only if no byte of the call has reached an
    /// upstream.
    pub async fn release(self) {
        self.write_state(ClaimState::Free).await;
    }

    /// Records that the call may have run and its answer is lost.
    pub async fn record_lost_answer(self) {
        self.write_state(ClaimState::Unknown).await;
    }

    /// Records the answer of the call.
    pub async fn record_answer(self, answer: RecordedAnswer) {
        self.write_state(ClaimState::Done(answer)).await;
    }

    async fn write_state(self, state: ClaimState) {
        let body = Claim {
            state,
            ..self.record.body.clone()
        };
        let record = RecordedValue {
            write_id: new_write_id(),
            body,
        };
        let mut backoff = Backoff::new(self.claims.clock.now());
        loop {
            let swap = swap_recorded_leased(
                &self.claims.kv,
                &self.key,
                self.expected_version,
                &record,
                self.lease,
            );
            match swap.await {
                // Only the holder replaces its claim, so a conflict comes from an earlier try whose
                // answer was lost.
                Ok(SwapOutcome::Written(_) | SwapOutcome::Conflict) => return,
                Err(_) if backoff.wait(&self.claims.clock).await => {}
                Err(e) => {
                    spdlog::warn!("outcome of a call is not recorded: {}", e);
                    return;
                }
            }
        }
    }

    /// Frees the key in the background after a swap without an answer, which may have taken effect
    /// or may still do so.
    ///
    /// The call was not sent, so freeing the key is safe in each case. Writing a record at the same
    /// expected version makes a swap that is applied later fail.
    fn withdraw(self) {
        actix_rt::spawn(async move {
            let mut backoff = Backoff::new(self.claims.clock.now());
            while !self.try_withdraw().await.unwrap_or(false) {
                if !backoff.wait(&self.claims.clock).await {
                    spdlog::warn!("claim of an idempotency key is not withdrawn");
                    return;
                }
            }
        });
    }

    /// Returns false if the record changed between the read and the swap, so that it must be tried
    /// again.
    async fn try_withdraw(&self) -> Result<bool, KvError> {
        let found = get_recorded::<K, Claim>(&self.claims.kv, &self.key).await?;
        let current_version = match &found {
            None if self.expected_version == 0 => 0,
            Some((version, stored)) if stored.write_id == self.record.write_id => *version,
            Some((version, _)) if *version == self.expected_version => *version,
            // Another record has been written, so the pending swap can no longer take effect.
            _ => return Ok(true),
        };
        let body = Claim {
            state: ClaimState::Free,
            ..self.record.body.clone()
        };
        let record = RecordedValue {
            write_id: new_write_id(),
            body,
        };
        let swap = swap_recorded_leased(
            &self.claims.kv,
            &self.key,
            current_version,
            &record,
            self.lease,
        )
        .await?;
        Ok(matches!(swap, SwapOutcome::Written(_)))
    }
}

/// Exponential backoff with a limit on the total time.
struct Backoff {
    give_up_at: Instant,
    next_pause: Duration,
}

impl Backoff {
    fn new(now: Instant) -> Self {
        Self {
            give_up_at: now + RECORDING_TIMEOUT,
            next_pause: BACKOFF_MIN,
        }
    }

    /// Waits before the next try. Returns false without waiting once the total time is used up.
    async fn wait<C>(&mut self, clock: &C) -> bool
    where
        C: Clock,
    {
        if clock.now() >= self.give_up_at {
            return false;
        }
        actix_rt::time::sleep(self.next_pause).await;
        self.next_pause = (self.next_pause * 2).min(BACKOFF_MAX);
        true
    }
}
