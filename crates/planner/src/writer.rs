//! Writes the cell record: renewals, decisions and the release.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, Recorded, Swap, Version};
use comfreyweir_placement::record::CellRecord;
use spdlog::{info, warn};
use tokio::time::timeout;

use crate::{cell::CellState, context::Cx, held_cell::Hold};

/// Pause before a write whose outcome is not known is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a planned stop waits for the key-value service.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes whatever is due, one write at a time, until a successor is seen.
pub(crate) async fn run(
    cx: Rc<Cx>,
    cell: Rc<CellState>,
    hold: Rc<Hold>,
    version: Rc<Cell<Version>>,
) {
    loop {
        let due = hold.holder.borrow_mut().begin_write(cx.clock.now());
        let Some(record) = due else {
            if hold.ending.get() || hold.holder.borrow().is_deposed() {
                return;
            }
            hold.write.notified().await;
            continue;
        };
        let outcome = settle(&cx, &cell, version.get(), record).await;
        if let Swap::Written(written) = outcome {
            version.set(written);
        }
        hold.holder.borrow_mut().end_write(outcome);
        hold.wake_orders();
        hold.decide.notify_one();
    }
}

/// Writes a record and tries again until its outcome is known.
async fn settle(cx: &Cx, cell: &CellState, expected: Version, body: CellRecord) -> Swap {
    let record = Recorded {
        write_id: comfreyweir_store::new_write_id(),
        body,
    };
    loop {
        match kv::swap_recorded(&cx.kv, &cell.key(), expected, &record).await {
            Ok(outcome) => return outcome,
            Err(e) => {
                warn!("cell record cannot be written", kv: { cell = cell.name.as_str(), reason = e.to_string().as_str() });
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Gives the cell up, so that a successor need not wait for the lease.
pub(crate) async fn release(
    cx: &Cx,
    cell: &CellState,
    hold: &Hold,
    mut writing: JoinHandle<()>,
    version: &Cell<Version>,
) {
    hold.write.notify_one();
    if timeout(RELEASE_TIMEOUT, &mut writing).await.is_err() {
        writing.abort();
        warn!("cell is left to its lease", kv: { cell = cell.name.as_str() });
        return;
    }
    if !hold.holder.borrow().is_active() {
        return;
    }
    let record = hold.holder.borrow_mut().release();
    let release = settle(cx, cell, version.get(), record);
    let released = timeout(RELEASE_TIMEOUT, release).await;
    if matches!(released, Ok(Swap::Written(_))) {
        info!("cell is released", kv: { cell = cell.name.as_str() });
    } else {
        warn!("cell is left to its lease", kv: { cell = cell.name.as_str() });
    }
}
