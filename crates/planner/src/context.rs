//! What the tasks of a planner share.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::PlannerSettings;
use comfreyweir_external::{kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_placement::{holder::HolderIdentity, lease::LeaseTimes};
use comfreyweir_store::Follower;

use crate::{cell::CellState, instance_watch::Fleet, metrics::Metrics};

/// Client of the key-value service.
pub(crate) type PlannerKv = CountedKv<HttpKv>;

/// What the tasks of a planner share.
pub(crate) struct Cx {
    pub(crate) settings: PlannerSettings,
    pub(crate) identity: HolderIdentity,
    pub(crate) clock: SystemClock,
    pub(crate) kv: PlannerKv,
    pub(crate) http: awc::Client,
    pub(crate) follower: Follower,
    pub(crate) fleet: Fleet,
    pub(crate) metrics: Metrics,
    pub(crate) cells: RefCell<BTreeMap<String, Rc<CellState>>>,
}

impl Cx {
    pub(crate) fn lease_times(&self) -> LeaseTimes {
        LeaseTimes {
            lease: Duration::from_millis(self.settings.timing.lease_ms),
            margin: Duration::from_millis(self.settings.timing.margin_ms),
        }
    }

    pub(crate) fn report_every(&self) -> Duration {
        Duration::from_millis(self.settings.timing.report_ms)
    }

    pub(crate) fn keep_idle(&self) -> Duration {
        Duration::from_millis(self.settings.timing.keep_idle_ms)
    }

    pub(crate) fn cell(&self, name: &str) -> Option<Rc<CellState>> {
        self.cells.borrow().get(name).cloned()
    }
}
