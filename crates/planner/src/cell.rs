//! Standing by for a cell and taking it over.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, Recorded, Version};
use comfreyweir_placement::{lease::Standby, record::CellRecord};
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::{
    context::Cx,
    held_cell::{self, Hold},
};

/// Shortest pause between two reads of the record.
const SHORTEST_READ_PAUSE: Duration = Duration::from_millis(50);

/// A holder as this planner knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownHolder {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) term: u64,
}

/// What a planner knows of a cell.
pub(crate) struct CellState {
    pub(crate) name: String,
    pub(crate) known: RefCell<KnownHolder>,
    /// Present while this planner holds the cell or claims it.
    pub(crate) hold: RefCell<Option<Rc<Hold>>>,
}

impl CellState {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            known: RefCell::default(),
            hold: RefCell::default(),
        }
    }

    /// The hold, once it is confirmed.
    pub(crate) fn active_hold(&self) -> Option<Rc<Hold>> {
        let hold = self.hold.borrow().clone()?;
        let is_active = hold.holder.borrow().is_active();
        is_active.then_some(hold)
    }

    /// Key of the cell's record.
    pub(crate) fn key(&self) -> String {
        format!("cell/{}", self.name)
    }
}

/// Stands by for a cell, takes it over when it is free and holds it; until `stopping`.
pub(crate) async fn run(cx: Rc<Cx>, cell: Rc<CellState>, mut stopping: watch::Receiver<bool>) {
    let mut standby = Standby::default();
    while !*stopping.borrow() {
        match read(&cx, &cell).await {
            Ok((version, record)) => {
                note_holder(&cx, &cell, record.as_ref());
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
                warn!("cell record cannot be read", kv: { cell = cell.name.as_str(), reason = e.to_string().as_str() });
            }
        }
        let pause = cx.lease_times().renewal_interval().max(SHORTEST_READ_PAUSE);
        tokio::select! {
            () = actix_rt::time::sleep(pause) => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
    }
}

async fn read(cx: &Cx, cell: &CellState) -> Result<(Version, Option<CellRecord>), kv::KvError> {
    let found = kv::get_recorded::<_, CellRecord>(&cx.kv, &cell.key()).await?;
    Ok(match found {
        Some((version, Recorded { body, .. })) => (version, Some(body)),
        None => (0, None),
    })
}

fn note_holder(cx: &Cx, cell: &CellState, record: Option<&CellRecord>) {
    let Some(record) = record else {
        return;
    };
    let mut known = cell.known.borrow_mut();
    if record.term != known.term {
        info!("cell has a new holder", kv: { cell = cell.name.as_str(), term = record.term, holder = record.holder.as_str() });
    }
    *known = KnownHolder {
        address: record.address.filter(|_| !record.released),
        term: record.term,
    };
    cx.metrics.set_term(&cell.name, record.term);
}
