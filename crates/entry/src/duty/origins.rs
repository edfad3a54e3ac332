//! Keeps in the store which software versions began streams, for the case that the instances that know
//! of them are killed.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{
    duty::LeaseId,
    stream_origins::{ORIGIN_MEMORY, ReportedOrigins},
};

use super::Coordinator;
use crate::{
    follow::{members::DUTY_KEY, origins},
    platform::{CommitOutcome, Platform, PlatformError, Transaction},
    state::EntryContext,
};

/// Shortest pause between two writes. What is reported meanwhile is written together.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// Time for which batches are written under one lease. Its end removes them.
const LEASE_USE: Duration = ORIGIN_MEMORY;
/// Lifetime of such a lease, which is not renewed: a batch stays as long as streams are remembered.
const LEASE_TTL: Duration = ORIGIN_MEMORY.saturating_mul(2);

/// Reads the batches of earlier tenures and writes what instances report, while this instance has the
/// planning duty. Does not return.
pub(crate) async fn keep_origins<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut writer = BatchWriter::default();
    loop {
        coordinator.origins_changed().await;
        while coordinator.has_duty() {
            if let Err(e) = writer.step(&cx, &coordinator).await {
                let reason = e.to_string();
                spdlog::warn!("origins of streams could not be read or written", kv: {
                    reason = reason.as_str()
                });
            }
            sleep(WRITE_PAUSE).await;
            if coordinator.has_stored_origins() && !coordinator.has_pending_origins() {
                break;
            }
        }
    }
}

#[derive(Default)]
struct BatchWriter {
    /// Lease of the next batches, and when it was granted.
    lease: Option<(LeaseId, Instant)>,
    /// Number of the last batch.
    last_batch: u64,
}

impl BatchWriter {
    /// Reads the batches that the store has, if that has not been done yet, and writes the next one.
    async fn step<P>(
        &mut self,
        cx: &Rc<EntryContext<P>>,
        coordinator: &Coordinator<P>,
    ) -> Result<(), PlatformError>
    where
        P: Platform,
    {
        if !coordinator.has_stored_origins()
            && let Some(tenure) = coordinator.tenure()
        {
            let begun_at = cx.now();
            let batches = origins::read(cx).await?;
            coordinator.record_stored_origins(tenure.fence, &batches);
            let time = cx.now().saturating_duration_since(begun_at);
            spdlog::info!("origins of streams read", kv: {
                fence = tenure.fence, batches = batches.len(),
                streams = batches.iter().flat_map(|b| b.values()).map(Vec::len).sum::<usize>(),
                ms = whole_millis(time)
            });
        }
        let (fence, batch) = coordinator.take_origins();
        if batch.is_empty() {
            return Ok(());
        }
        match self.write(cx, fence, &batch).await {
            Ok(true) => Ok(()),
            result => {
                coordinator.put_back_origins(fence, batch);
                result.map(|_| ())
            }
        }
    }

    /// Writes a batch. The duty's key must be as this instance has written it. False if nothing was
    /// written.
    async fn write<P>(
        &mut self,
        cx: &EntryContext<P>,
        fence: u64,
        batch: &ReportedOrigins,
    ) -> Result<bool, PlatformError>
    where
        P: Platform,
    {
        let keys = cx.platform.keys();
        let limit = cx.settings().timing.store_call_timeout();
        let lease = match self.lease {
            Some((lease, granted_at))
                if cx.now().saturating_duration_since(granted_at) < LEASE_USE =>
            {
                lease
            }
            _ => {
                let called_at = cx.now();
                let lease = cx.platform.grant_lease(LEASE_TTL, limit).await?.id;
                self.lease = Some((lease, called_at));
                lease
            }
        };
        self.last_batch += 1;
        let key = format!("{}{fence}-{}", keys.origins_prefix, self.last_batch);
        let value = postcard::to_allocvec(batch).unwrap_or_default();
        let tx = Transaction {
            expected: vec![(format!("{}{DUTY_KEY}", keys.own_prefix), fence)],
            puts: vec![(key, Bytes::from(value), Some(lease))],
            ..Transaction::default()
        };
        match cx.platform.commit(&tx, limit).await? {
            CommitOutcome::Done(_) => Ok(true),
            CommitOutcome::Conflict(_) => Ok(false),
            CommitOutcome::LeaseGone => {
                self.lease = None;
                Ok(false)
            }
        }
    }
}
