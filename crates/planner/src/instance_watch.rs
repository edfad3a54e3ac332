//! Keeps the platform's list of instances up to date by reading it periodically.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_external::instances::{InstanceList, InstanceListClient};
use tokio::sync::watch;

/// Interval between reads of the list. The lag of the list itself adds to it, so it is kept well
/// below a second.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// The latest list of instances. Clones share it; the reading task is aborted when the last one is
/// dropped.
#[derive(Clone)]
pub(crate) struct InstanceWatch {
    latest: Rc<RefCell<Rc<InstanceList>>>,
    changes: watch::Sender<u64>,
    _reader_task: Rc<ReaderTask>,
}

struct ReaderTask(JoinHandle<()>);

impl Drop for ReaderTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl InstanceWatch {
    /// Starts the task that reads the list.
    pub(crate) fn spawn(instances: InstanceListClient) -> Self {
        let latest = Rc::new(RefCell::new(Rc::new(InstanceList::default())));
        let changes = watch::Sender::new(0);
        let reader_task = read_periodically(instances, Rc::clone(&latest), changes.clone());
        Self {
            latest,
            changes,
            _reader_task: Rc::new(ReaderTask(actix_rt::spawn(reader_task))),
        }
    }

    /// The latest list; empty until the first one has been read.
    pub(crate) fn latest(&self) -> Rc<InstanceList> {
        Rc::clone(&self.latest.borrow())
    }

    /// Subscribes to a counter that is incremented with every change of the list.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

async fn read_periodically(
    instances: InstanceListClient,
    latest: Rc<RefCell<Rc<InstanceList>>>,
    changes: watch::Sender<u64>,
) {
    loop {
        // If reading fails, the latest list stays in use.
        if let Ok(list) = instances.read().await
            && list != **latest.borrow()
        {
            *latest.borrow_mut() = Rc::new(list);
            changes.send_modify(|count| *count += 1);
        }
        actix_rt::time::sleep(READ_INTERVAL).await;
    }
}
