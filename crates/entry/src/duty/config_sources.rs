//! Which instances others may ask for the configuration.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::RngExt;

use crate::exchange::message::InstanceReport;

/// Number of instances that are named, over all views.
const MAX_SOURCES: usize = 12;
/// Number of instances that one view names.
const MAX_NAMED: usize = 3;

/// The instances with the widest links; of those with links alike, the ones with the newest configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigSources {
    addrs: Vec<SocketAddr>,
}

impl ConfigSources {
    /// Chooses instances by their reports. `addrs` are peer addresses by instance name.
    pub(super) fn of<'a, I>(reports: I, addrs: &BTreeMap<String, SocketAddr>) -> Self
    where
        I: Iterator<Item = &'a InstanceReport>,
    {
        let mut known: Vec<_> = reports
            .filter_map(|report| {
                let name = report.process.split('/').next().unwrap_or_default();
                Some((report.config.version, report.link_mbps, *addrs.get(name)?))
            })
            .collect();
        // Instances with wide links read the store themselves, and have soon what they lack yet.
        known.sort_by(|(version, mbps, _), (other_version, other_mbps, _)| {
            let by_link = other_mbps.total_cmp(mbps);
            by_link.then(other_version.cmp(version))
        });
        let addrs = known.into_iter().map(|(_, _, addr)| addr);
        Self {
            addrs: addrs.take(MAX_SOURCES).collect(),
        }
    }

    /// Some of the instances, beginning with any.
    pub(super) fn draw(&self) -> Vec<SocketAddr> {
        let count = self.addrs.len();
        let begin = rand::rng().random_range(0..count.max(1));
        let addrs = self.addrs.iter().cycle().skip(begin);
        addrs.take(count.min(MAX_NAMED)).copied().collect()
    }
}
