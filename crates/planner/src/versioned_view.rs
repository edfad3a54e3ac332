//! The placement view of a cell that gates receive, with a version.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreyweir_placement::view::View;
use tokio::{sync::watch, time::timeout};

/// The latest view of a cell and its version. The version increases only if the view has changed in
/// a way on which gates must act at once, and not with every new load figure.
pub(crate) struct VersionedView {
    latest: RefCell<Rc<View>>,
    version: watch::Sender<u64>,
}

impl VersionedView {
    pub(crate) fn new() -> Self {
        Self {
            latest: RefCell::default(),
            version: watch::Sender::new(1),
        }
    }

    pub(crate) fn publish(&self, view: View) {
        let is_unchanged = urgent_parts(&view) == urgent_parts(&self.latest.borrow());
        *self.latest.borrow_mut() = Rc::new(view);
        if !is_unchanged {
            self.version.send_modify(|version| *version += 1);
        }
    }

    pub(crate) fn latest(&self) -> (u64, Rc<View>) {
        (*self.version.borrow(), Rc::clone(&self.latest.borrow()))
    }

    /// Waits until the version differs from `known`, for `max_wait` at most.
    pub(crate) async fn wait_for_change(&self, known: u64, max_wait: Duration) {
        let mut versions = self.version.subscribe();
        let change = versions.wait_for(|version| *version != known);
        let _ = timeout(max_wait, change).await;
    }
}

/// Parts of a view on which gates must act at once. Ready times of refusals are compared in
/// whole seconds.
fn urgent_parts(view: &View) -> impl PartialEq + use<> {
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
