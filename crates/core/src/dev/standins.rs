//! Stand-ins that `comfreyweir dev` runs.

use std::net::SocketAddr;

use comfreyweir_standins::{
    engine, instances, kv, service,
    weights::{self, WeightStore},
};
use snafu::ResultExt;

use super::{DevError, ENGINE_MEMORY_MB, StandinSnafu, catalog, layout::Layout};

/// Handles of the running stand-ins, which stop when it is dropped.
pub(super) struct Standins {
    _kv: kv::KvService,
    _instances: instances::InstanceListService,
    _engines: Vec<engine::Engine>,
    _service: service::PlainService,
}

impl Standins {
    pub(super) fn spawn(layout: &Layout) -> Result<Self, DevError> {
        let kv = kv::Settings {
            listen: layout.kv,
            control: None,
            faults: kv::Faults::default(),
        };
        let instances = instances::Settings {
            listen: layout.instances,
            control: None,
            lag_ms: 0,
            instances: layout.instance_list(),
        };
        let store = WeightStore::open(weights::Settings::default());
        let engines = layout.upstreams.engines.iter().enumerate();
        let engines = engines.map(|(index, addr)| {
            engine::spawn(engine_settings(index, *addr), store.clone()).context(StandinSnafu)
        });
        let service = service::Settings {
            name: catalog::SERVICE_NAME.to_owned(),
            listen: layout.upstreams.service,
            control: None,
            faults: service::Faults::default(),
        };
        Ok(Self {
            _kv: kv::spawn(kv).context(StandinSnafu)?,
            _instances: instances::spawn(instances).context(StandinSnafu)?,
            _engines: engines.collect::<Result<_, _>>()?,
            _service: service::spawn(service).context(StandinSnafu)?,
        })
    }
}

fn engine_settings(index: usize, listen: SocketAddr) -> engine::Settings {
    engine::Settings {
        // Nothing reads the records here, and they would grow for the whole run.
        record: false,
        ..engine::Settings::new(&catalog::engine_name(index), listen, ENGINE_MEMORY_MB)
    }
}
