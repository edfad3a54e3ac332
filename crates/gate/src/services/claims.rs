//! Claims of idempotency keys in the key-value service.
//!
//! A key is claimed by compare-and-swap before its call is sent, so that a call that is sent
//! again through another gate finds the claim. The rules that keep a call from running twice:
//!
//! - Only the gate whose swap wrote `Claimed` sends the call, and it sends once.
//! - A claim becomes `Free` again only by the gate that holds it, and only when not one byte of
//!   the call has reached an upstream.
//! - Time never frees a claim: a gate that was paused may still send.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_external::kv::{
    KvError, LeaseId, LeasedKv, Recorded, Swap, Version, get_recorded, swap_recorded_leased,
};
use comfreyweir_store::new_write_id;
use snafu::{ResultExt, Snafu};

use super::claim::{Claim, ClaimState, RecordedAnswer, Step, next_step};

/// How long a claim is remembered at least.
pub const REMEMBERED: Duration = Duration::from_hours(24);
/// How long a lease is used for new claims.
const LEASE_USE: Duration = Duration::from_hours(1);
/// How long the outcome of a call is tried to be recorded during an outage.
const RECORDING_LIMIT: Duration = Duration::from_mins(10);
/// Shortest and longest pause between two tries.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Why a call with an idempotency key is not sent.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClaimError {
    /// Whether the key is claimed cannot be known now. Nothing was sent.
    #[snafu(display("idempotency key cannot be claimed: {source}"))]
    Unavailable {
        /// What failed.
        source: KvError,
    },
    /// Another gate runs the call.
    #[snafu(display("a call with this idempotency key is under way"))]
    InProgress,
    /// The call may have run, and its answer is lost.
    #[snafu(display("a call with this idempotency key may have run, and its answer is lost"))]
    OutcomeUnknown,
    /// The key was used with another call.
    #[snafu(display("this idempotency key was used with another call"))]
    DifferentCall,
}

/// What a gate may do after asking for a claim.
pub enum Claimed<K, C>
where
    K: LeasedKv,
    C: Clock,
{
    /// The call is this gate's to send, once.
    Ours(HeldClaim<K, C>),
    /// The call ran before; this was its answer.
    Replay(RecordedAnswer),
}

/// Claims of one gate.
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
    /// Creates the claims of the gate with this name.
    pub fn new(kv: K, clock: C, gate: String) -> Self {
        Self {
            kv,
            clock,
            gate,
            lease: Rc::default(),
        }
    }

    /// Claims a key for a call that this gate gives up after `limit`.
    pub async fn take(
        &self,
        key: &str,
        call: &str,
        limit: Duration,
    ) -> Result<Claimed<K, C>, ClaimError> {
        let lease = self.lease().await.context(UnavailableSnafu)?;
        loop {
            let found = get_recorded(&self.kv, key)
                .await
                .context(UnavailableSnafu)?;
            let at = match next_step(found.as_ref(), call, self.wall_ms()) {
                Step::Take(version) => version,
                Step::Replay(answer) => return Ok(Claimed::Replay(answer)),
                Step::InProgress => return InProgressSnafu.fail(),
                Step::OutcomeUnknown => return OutcomeUnknownSnafu.fail(),
                Step::DifferentCall => return DifferentCallSnafu.fail(),
            };
            let record = self.record(call, limit);
            let claim = HeldClaim {
                claims: self.clone(),
                key: key.to_owned(),
                lease,
                expected: at,
                record,
            };
            match swap_recorded_leased(&self.kv, key, at, &claim.record, lease).await {
                Ok(Swap::Written(version)) => {
                    return Ok(Claimed::Ours(HeldClaim {
                        expected: version,
                        ..claim
                    }));
                }
                // Another gate was faster; its record tells what to do.
                Ok(Swap::Conflict) => {}
                Err(source) => {
                    // The lease may be what the service no longer knows.
                    *self.lease.borrow_mut() = None;
                    claim.withdraw();
                    return Err(ClaimError::Unavailable { source });
                }
            }
        }
    }

    async fn lease(&self) -> Result<LeaseId, KvError> {
        let now = self.clock.now();
        let current = *self.lease.borrow();
        if let Some((lease, granted)) = current
            && now < granted + LEASE_USE
        {
            return Ok(lease);
        }
        let lease = self.kv.grant(REMEMBERED + LEASE_USE).await?;
        *self.lease.borrow_mut() = Some((lease, now));
        Ok(lease)
    }

    fn record(&self, call: &str, limit: Duration) -> Recorded<Claim> {
        Recorded {
            write_id: new_write_id(),
            body: Claim {
                call: call.to_owned(),
                gate: self.gate.clone(),
                given_up_at_ms: self.wall_ms().saturating_add(whole_millis(limit)),
                state: ClaimState::Claimed,
            },
        }
    }

    fn wall_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(std::time::UNIX_EPOCH);
        whole_millis(since_epoch.unwrap_or_default())
    }
}

/// A claim that this gate holds.
pub struct HeldClaim<K, C> {
    claims: Claims<K, C>,
    key: String,
    lease: LeaseId,
    /// Version at which the record is to be replaced.
    expected: Version,
    record: Recorded<Claim>,
}

impl<K, C> HeldClaim<K, C>
where
    K: LeasedKv,
    C: Clock,
{
    /// Frees the key. To be called only when not one byte has reached an upstream.
    pub async fn release(self) {
        self.finish(ClaimState::Free).await;
    }

    /// Records that the call may have run and that its answer is lost.
    pub async fn lose(self) {
        self.finish(ClaimState::Unknown).await;
    }

    /// Records the answer of the call.
    pub async fn done(self, answer: RecordedAnswer) {
        self.finish(ClaimState::Done(answer)).await;
    }

    async fn finish(self, state: ClaimState) {
        let body = Claim {
            state,
            ..self.record.body.clone()
        };
        let record = Recorded {
            write_id: new_write_id(),
            body,
        };
        let mut retry = Retry::new(self.claims.clock.now());
        loop {
            let swap = swap_recorded_leased(
                &self.claims.kv,
                &self.key,
                self.expected,
                &record,
                self.lease,
            );
            match swap.await {
                // A conflict cannot be another gate's: nobody replaces a claim but its holder.
                Ok(Swap::Written(_) | Swap::Conflict) => return,
                Err(_) if retry.pause(&self.claims.clock).await => {}
                Err(e) => {
                    spdlog::warn!("outcome of a call is not recorded: {}", e);
                    return;
                }
            }
        }
    }

    /// Takes back a claim whose swap may or may not have taken effect, or may still do so.
    ///
    /// Nothing was sent, so freeing the key is right in each case; a record written at the same
    /// expected version makes a late swap fail.
    fn withdraw(self) {
        actix_rt::spawn(async move {
            let mut retry = Retry::new(self.claims.clock.now());
            while !self.try_withdraw().await.unwrap_or(false) {
                if !retry.pause(&self.claims.clock).await {
                    spdlog::warn!("claim of an idempotency key is not withdrawn");
                    return;
                }
            }
        });
    }

    async fn try_withdraw(&self) -> Result<bool, KvError> {
        let found = get_recorded::<K, Claim>(&self.claims.kv, &self.key).await?;
        let at = match &found {
            None if self.expected == 0 => 0,
            Some((version, stored)) if stored.write_id == self.record.write_id => *version,
            Some((version, _)) if *version == self.expected => *version,
            // Someone else's record stands there, so the swap cannot take effect any more.
            _ => return Ok(true),
        };
        let body = Claim {
            state: ClaimState::Free,
            ..self.record.body.clone()
        };
        let record = Recorded {
            write_id: new_write_id(),
            body,
        };
        let swap =
            swap_recorded_leased(&self.claims.kv, &self.key, at, &record, self.lease).await?;
        Ok(matches!(swap, Swap::Written(_)))
    }
}

/// Pauses between tries, growing, with a limit in all.
struct Retry {
    until: Instant,
    pause: Duration,
}

impl Retry {
    fn new(now: Instant) -> Self {
        Self {
            until: now + RECORDING_LIMIT,
            pause: RETRY_MIN,
        }
    }

    /// Waits before the next try; false when there is none.
    async fn pause<C>(&mut self, clock: &C) -> bool
    where
        C: Clock,
    {
        if clock.now() >= self.until {
            return false;
        }
        actix_rt::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_MAX);
        true
    }
}
