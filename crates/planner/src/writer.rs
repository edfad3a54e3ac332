//! Writes the cell record: renewals, decisions and the release.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, RecordedValue, SwapOutcome, Version};
use comfreyweir_placement::record::CellRecord;
use spdlog::{info, warn};
use tokio::time::timeout;

use crate::{cell::CellState, context::PlannerContext, held_cell::HeldCell};

/// Pause before a write whose outcome is unknown is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time that a planned stop waits for pending writes of the cell record, and then again for
/// the write that releases the cell.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes the record whenever a write is due, one write at a time, until a successor is detected or
/// this planner stops.
pub(crate) async fn run(
    cx: Rc<PlannerContext>,
    cell: Rc<CellState>,
    held: Rc<HeldCell>,
    version: Rc<Cell<Version>>,
) {
    loop {
        let due = held.holder.borrow_mut().begin_write(cx.clock.now());
        let Some(record) = due else {
            if held.is_stopping.get() || held.holder.borrow().is_deposed() {
                return;
            }
            held.write_due.notified().await;
            continue;
        };
        let outcome = write_until_settled(&cx, &cell, version.get(), record).await;
        if let SwapOutcome::Written(written) = outcome {
            version.set(written);
        }
        held.holder.borrow_mut().end_write(outcome);
        held.wake_engine_tasks();
        held.placement_due.notify_one();
    }
}

/// Writes a record and retries until the outcome is known. Does not return while the service is
/// unreachable.
async fn write_until_settled(
    cx: &PlannerContext,
    cell: &CellState,
    expected: Version,
    body: CellRecord,
) -> SwapOutcome {
    let record = RecordedValue {
        write_id: comfreyweir_store::new_write_id(),
        body,
    };
    loop {
        match kv::swap_recorded(&cx.kv, &cell.key(), expected, &record).await {
            Ok(outcome) => return outcome,
            Err(e) => {
                warn!(
                    "cell record cannot be written",
                    kv: { cell = cell.name.as_str(), reason = e.to_string().as_str() }
                );
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Releases the cell, so that a successor does not have to wait until the lease ends.
pub(crate) async fn release(
    cx: &PlannerContext,
    cell: &CellState,
    held: &HeldCell,
    mut writer_task: JoinHandle<()>,
    version: &Cell<Version>,
) {
    // Wakes the writer task, which ends once no write is due and the planner is stopping.
    held.write_due.notify_one();
    if timeout(RELEASE_TIMEOUT, &mut writer_task).await.is_err() {
        writer_task.abort();
        warn!("cell is left to its lease", kv: { cell = cell.name.as_str() });
        return;
    }
    if !held.holder.borrow().is_active() {
        return;
    }
    let record = held.holder.borrow_mut().release();
    let release = write_until_settled(cx, cell, version.get(), record);
    let released = timeout(RELEASE_TIMEOUT, release).await;
    if matches!(released, Ok(SwapOutcome::Written(_))) {
        info!("cell is released", kv: { cell = cell.name.as_str() });
    } else {
        warn!("cell is left to its lease", kv: { cell = cell.name.as_str() });
    }
}
