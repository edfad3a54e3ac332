//! Follows the platform's list of instances.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_external::instances::{InstanceList, Instances};
use tokio::sync::watch;

/// Period of reading the list. Its lag comes on top, so it is kept well below a second.
const READ_EVERY: Duration = Duration::from_millis(250);

/// The latest list of instances. Clones share it.
#[derive(Clone)]
pub(crate) struct Fleet {
    latest: Rc<RefCell<Rc<InstanceList>>>,
    changes: watch::Sender<u64>,
    _reader: Rc<Reader>,
}

struct Reader(JoinHandle<()>);

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Fleet {
    /// Starts to read the list.
    pub(crate) fn spawn(instances: Instances) -> Self {
        let latest = Rc::new(RefCell::new(Rc::new(InstanceList::default())));
        let changes = watch::Sender::new(0);
        let reader = read_all(instances, Rc::clone(&latest), changes.clone());
        Self {
            latest,
            changes,
            _reader: Rc::new(Reader(actix_rt::spawn(reader))),
        }
    }

    /// The latest list; empty until the first one was read.
    pub(crate) fn latest(&self) -> Rc<InstanceList> {
        Rc::clone(&self.latest.borrow())
    }

    /// Counts the changes of the list.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

async fn read_all(
    instances: Instances,
    latest: Rc<RefCell<Rc<InstanceList>>>,
    changes: watch::Sender<u64>,
) {
    loop {
        // A list that cannot be read leaves the latest one in force.
        if let Ok(list) = instances.read().await
            && list != **latest.borrow()
        {
            *latest.borrow_mut() = Rc::new(list);
            changes.send_modify(|count| *count += 1);
        }
        actix_rt::time::sleep(READ_EVERY).await;
    }
}
