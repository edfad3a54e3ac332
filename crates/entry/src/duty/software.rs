//! Keeps the software versions of the services in the store, for instances that start.
//!
//! Without the record, instances that have all been started anew would take the versions that are
//! listed for the only ones, and join streams of one that has just left with those of the next.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_fleet::stream_origins::SoftwareRecord;

use super::Coordinator;
use crate::{
    follow::members::{DUTY_KEY, SOFTWARE_KEY},
    platform::{CommitOutcome, Platform, PlatformError, Transaction},
    state::EntryContext,
};

/// Pause between checks of whether the record is up to date. Far shorter than the time for which a new
/// version gets no streams.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between checks of whether this instance has the planning duty.
const IDLE_PAUSE: Duration = Duration::from_millis(400);

/// Writes the record whenever the one in the store differs, while this instance has the planning
/// duty. Does not return.
pub(crate) async fn keep_software<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    loop {
        if !coordinator.has_duty() {
            sleep(IDLE_PAUSE).await;
            continue;
        }
        sleep(CHECK_PAUSE).await;
        let record = cx.software.borrow().record(cx.now());
        if record.is_empty() || record == cx.members.borrow().software.0 {
            continue;
        }
        if let Err(e) = write(&cx, record).await {
            let reason = e.to_string();
            spdlog::warn!("software versions could not be recorded", kv: {
                reason = reason.as_str()
            });
        }
    }
}

/// Writes the record. The duty's key must be as this instance has written it, and the record as it has
/// read it: what another instance has recorded must be known before it is replaced.
async fn write<P>(cx: &EntryContext<P>, record: SoftwareRecord) -> Result<(), PlatformError>
where
    P: Platform,
{
    let own_prefix = cx.platform.keys().own_prefix;
    let limit = cx.settings().timing.store_call_timeout();
    let key = format!("{own_prefix}{SOFTWARE_KEY}");
    let (duty_revision, known_revision) = {
        let members = cx.members.borrow();
        (members.duty_revision, members.software.1)
    };
    let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
    let tx = Transaction {
        expected: vec![
            (format!("{own_prefix}{DUTY_KEY}"), duty_revision),
            (key.clone(), known_revision),
        ],
        puts: vec![(key, value, 0)],
        ..Transaction::default()
    };
    if let CommitOutcome::Done(revision) = cx.platform.commit(&tx, limit).await? {
        let text = serde_json::to_string(&record).unwrap_or_default();
        spdlog::info!("software versions recorded", kv: { revision, record = text.as_str() });
        cx.software.borrow_mut().remember(&record, cx.now());
        cx.members.borrow_mut().software = (record, revision);
        cx.state_changed.notify_waiters();
    }
    Ok(())
}
