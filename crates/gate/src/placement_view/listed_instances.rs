//! Leaving upstreams and planner addresses, from the platform's list of instances.
//!
//! The holder of the cell reports leaving upstreams too, but a gate must also know them while no
//! holder is active.

use std::{collections::BTreeSet, net::SocketAddr};

use comfreyweir_external::instances::{InstanceList, InstanceState, Role};

/// The entries of the platform's instance list that a gate uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ListedInstances {
    /// Names of leaving upstreams.
    pub(super) leaving: BTreeSet<String>,
    /// Peer addresses of all planners.
    pub(super) planners: Vec<SocketAddr>,
}

impl ListedInstances {
    pub(super) fn from_list(list: &InstanceList) -> Self {
        let upstreams = list.instances.iter().filter(|i| i.role == Role::Upstream);
        let leaving = upstreams.filter(|i| i.state == InstanceState::Leaving);
        Self {
            leaving: leaving.map(|i| i.name.clone()).collect(),
            planners: list.instances.iter().filter_map(|i| i.planner).collect(),
        }
    }
}
