//! Watches the record of a cell and takes the cell over when its lease is free.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, RecordedValue, Version};
use comfreyweir_placement::{lease::Standby, record::CellRecord};
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::{
    context::PlannerContext,
    held_cell::{self, HeldCell},
};

/// Minimum interval between two reads of the cell record.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Holder of a cell according to the latest record that this planner has read or written.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownHolder {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) term: u64,
}

/// State of a cell in this planner, whether it holds the cell or not.
pub(crate) struct CellState {
    pub(crate) name: String,
    pub(crate) known_holder: RefCell<KnownHolder>,
    /// Set while this planner holds the cell or tries to claim it.
    pub(crate) held: RefCell<Option<Rc<HeldCell>>>,
}

impl CellState {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            known_holder: RefCell::default(),
            held: RefCell::default(),
        }
    }

    /// The held cell, once a write of the record has confirmed the claim.
    pub(crate) fn active_cell(&self) -> Option<Rc<HeldCell>> {
        let held = self.held.borrow().clone()?;
        let is_active = held.holder.borrow().is_active();
        is_active.then_some(held)
    }

    /// Key of the cell record in the key-value service.
    pub(crate) fn key(&self) -> String {
        format!("cell/{}", self.name)
    }
}

/// Reads the cell record periodically, and takes the cell over and holds it whenever its lease is
/// free. Returns after `stopping` becomes true.
pub(crate) async fn run(
    cx: Rc<PlannerContext>,
    cell: Rc<CellState>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut standby = Standby::default();
    while !*stopping.borrow() {
        match read_record(&cx, &cell).await {
            Ok((version, record)) => {
                update_known_holder(&cx, &cell, record.as_ref());
                let now = cx.clock.now();
                let times = cx.lease_times();
                let address = cx.identity.address;
                if standby.may_take_over(version, record.as_ref(), address, times, now) {
                    held_cell::run(&cx, &cell, version, record, &stopping).await;
                    cx.metrics.set_held(&cell.name, false);
                    standby = Standby::default();
                }
            }
            Err(e) => {
                warn!(
                    "cell record cannot be read",
                    kv: { cell = cell.name.as_str(), reason = e.to_string().as_str() }
                );
            }
        }
        let read_interval = cx.lease_times().renewal_interval().max(MIN_READ_INTERVAL);
        tokio::select! {
            () = actix_rt::time::sleep(read_interval) => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
    }
}

async fn read_record(
    cx: &PlannerContext,
    cell: &CellState,
) -> Result<(Version, Option<CellRecord>), kv::KvError> {
    let found = kv::get_recorded::<_, CellRecord>(&cx.kv, &cell.key()).await?;
    Ok(match found {
        Some((version, RecordedValue { body, .. })) => (version, Some(body)),
        None => (0, None),
    })
}

fn update_known_holder(cx: &PlannerContext, cell: &CellState, record: Option<&CellRecord>) {
    let Some(record) = record else {
        return;
    };
    let mut known = cell.known_holder.borrow_mut();
    if record.term != known.term {
        info!(
            "cell has a new holder",
            kv: { cell = cell.name.as_str(), term = record.term, holder = record.holder.as_str() }
        );
    }
    *known = KnownHolder {
        address: record.address.filter(|_| !record.released),
        term: record.term,
    };
    cx.metrics.set_term(&cell.name, record.term);
}
