//! The view of a cell as gates see it, with its version.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreyweir_placement::view::View;
use tokio::{sync::watch, time::timeout};

/// The view of a cell with its version. The version rises when gates have to act, not with every
/// new load figure.
pub(crate) struct Board {
    latest: RefCell<Rc<View>>,
    version: watch::Sender<u64>,
}

impl Board {
    pub(crate) fn new() -> Self {
        Self {
            latest: RefCell::default(),
            version: watch::Sender::new(1),
        }
    }

    pub(crate) fn publish(&self, view: View) {
        let is_same = placement_of(&view) == placement_of(&self.latest.borrow());
        *self.latest.borrow_mut() = Rc::new(view);
        if !is_same {
            self.version.send_modify(|version| *version += 1);
        }
    }

    pub(crate) fn latest(&self) -> (u64, Rc<View>) {
        (*self.version.borrow(), Rc::clone(&self.latest.borrow()))
    }

    /// Waits up to `wait` for a version other than `known`.
    pub(crate) async fn changed(&self, known: u64, wait: Duration) {
        let mut versions = self.version.subscribe();
        let other = versions.wait_for(|version| *version != known);
        let _ = timeout(wait, other).await;
    }
}

/// The parts of a view on which gates act at once.
fn placement_of(view: &View) -> impl PartialEq + use<> {
    let replicas = view.replicas.iter();
    let replicas: Vec<_> = replicas
        .map(|r| (r.upstream.clone(), r.artifact.clone(), r.ready))
        .collect();
    let loads = view.loads.iter();
    let loads: Vec<_> = loads
        .map(|l| (l.upstream.clone(), l.leaving, l.reachable))
        .collect();
    let refusals = view.refusals.iter();
    let refusals: Vec<_> = refusals
        .map(|r| (r.artifact.clone(), r.ready_in.as_secs()))
        .collect();
    (replicas, loads, refusals)
}
