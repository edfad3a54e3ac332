//! Gives each instance a share of a core, as a quota: the process runs until the quota of a period is
//! used up, and then not at all for the rest of it.

use std::{rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use rustix::process::Signal;

use crate::{cluster::SoakCluster, faults::send_signal};

/// Period of the quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Keeps the instances to their share until dropped, which lets them run.
pub(crate) struct Throttle {
    cluster: Rc<SoakCluster>,
    tasks: Vec<JoinHandle<()>>,
}

/// Begins to keep each instance to a share of a core; none if that is a whole one.
pub(crate) fn throttle(cluster: &Rc<SoakCluster>, share: f64) -> Option<Throttle> {
    if share >= 1.0 {
        return None;
    }
    let tasks = (0..cluster.instances.len())
        .map(|index| actix_rt::spawn(keep_to_share(Rc::clone(cluster), index, share)));
    Some(Throttle {
        cluster: Rc::clone(cluster),
        tasks: tasks.collect(),
    })
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        for instance in &self.cluster.instances {
            send_signal(instance, Signal::CONT);
        }
    }
}

async fn keep_to_share(cluster: Rc<SoakCluster>, index: usize, share: f64) {
    let instance = &cluster.instances[index];
    let quota = PERIOD.mul_f64(share.clamp(0.0, 1.0));
    // The periods of the instances begin at different times.
    let offset = u32::try_from(index).unwrap_or_default() * 7;
    sleep(Duration::from_millis(u64::from(offset))).await;
    loop {
        if !instance.is_halted.get() {
            send_signal(instance, Signal::CONT);
        }
        sleep(quota).await;
        send_signal(instance, Signal::STOP);
        sleep(PERIOD.saturating_sub(quota)).await;
    }
}
