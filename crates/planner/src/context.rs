//! Context that the tasks of a planner share.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::PlannerSettings;
use comfreyweir_external::{kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_placement::{holder::HolderIdentity, lease::LeaseTimes};
use comfreyweir_store::Follower;

use crate::{cell::CellState, instance_watch::InstanceWatch, metrics::Metrics};

/// Client of the key-value service that counts its calls.
pub(crate) type PlannerKv = CountedKv<HttpKv>;

/// Settings, clients and state that the tasks of a planner share.
pub(crate) struct PlannerContext {
    pub(crate) settings: PlannerSettings,
    pub(crate) identity: HolderIdentity,
    pub(crate) clock: SystemClock,
    pub(crate) kv: PlannerKv,
    pub(crate) http: awc::Client,
    pub(crate) follower: Follower,
    pub(crate) instances: InstanceWatch,
    pub(crate) metrics: Metrics,
    pub(crate) cells: RefCell<BTreeMap<String, Rc<CellState>>>,
}

impl PlannerContext {
    pub(crate) fn lease_times(&self) -> LeaseTimes {
        LeaseTimes {
            lease: Duration::from_millis(self.settings.timing.lease_ms),
            margin: Duration::from_millis(self.settings.timing.margin_ms),
        }
    }

    pub(crate) fn report_interval(&self) -> Duration {
        Duration::from_millis(self.settings.timing.report_ms)
    }

    pub(crate) fn max_idle(&self) -> Duration {
        Duration::from_millis(self.settings.timing.keep_idle_ms)
    }

    pub(crate) fn cell(&self, name: &str) -> Option<Rc<CellState>> {
        self.cells.borrow().get(name).cloned()
    }
}
