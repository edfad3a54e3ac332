//! Addresses, files and daemon settings of one run of `comfreyweir dev`.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use comfreyweir_config::{
    keys,
    settings::{
        GateSettings, GateTiming, InstanceSettings, PlannerSettings, PlannerTiming, RequestLimits,
    },
};
use comfreyweir_external::instances::{InstanceInfo, InstanceState, Role};
use snafu::ResultExt;
use tempfile::TempDir;

use super::{DevError, GATE_COUNT, PortSnafu, TempDirSnafu, ZONES, catalog::UpstreamAddrs};

/// Time between becoming unready and closing connections at a stop, in ms. Short, because no load
/// balancer has to notice here.
const STOP_NOTICE_MS: u64 = 50;

/// Addresses and files of one run. The files are removed when it is dropped.
pub(super) struct Layout {
    listen: SocketAddr,
    pub(super) kv: SocketAddr,
    pub(super) instances: SocketAddr,
    pub(super) upstreams: UpstreamAddrs,
    gate_peers: [SocketAddr; GATE_COUNT],
    planner: SocketAddr,
    secret_path: PathBuf,
    _temp_dir: TempDir,
}

impl Layout {
    pub(super) fn allocate(listen: SocketAddr) -> Result<Self, DevError> {
        let temp_dir = tempfile::tempdir().context(TempDirSnafu)?;
        let secret_path = temp_dir.path().join("peer.secret");
        write_secret(&secret_path).context(TempDirSnafu)?;
        let mut ports = FreePorts::default();
        Ok(Self {
            listen,
            kv: ports.reserve()?,
            instances: ports.reserve()?,
            upstreams: UpstreamAddrs {
                engines: [ports.reserve()?, ports.reserve()?],
                service: ports.reserve()?,
            },
            gate_peers: [ports.reserve()?, ports.reserve()?],
            planner: ports.reserve()?,
            secret_path,
            _temp_dir: temp_dir,
        })
    }

    pub(super) fn instance_settings(&self, index: usize) -> InstanceSettings {
        InstanceSettings {
            name: format!("entry-{index}"),
            zone: ZONES[index].to_owned(),
            kv: self.kv,
            instances: self.instances,
            peer_secret_file: self.secret_path.clone(),
        }
    }

    pub(super) fn gate_settings(&self, index: usize) -> GateSettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        GateSettings {
            instance: self.instance_settings(index),
            listen: if index == 0 { self.listen } else { any_port },
            admin: any_port,
            peer: self.gate_peers[index],
            planner: self.planner,
            limits: RequestLimits::default(),
            timing: GateTiming {
                stop_notice_ms: STOP_NOTICE_MS,
                ..GateTiming::default()
            },
        }
    }

    pub(super) fn planner_settings(&self) -> PlannerSettings {
        PlannerSettings {
            instance: self.instance_settings(0),
            admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peer: self.planner,
            timing: PlannerTiming::default(),
        }
    }

    pub(super) fn instance_list(&self) -> Vec<InstanceInfo> {
        let entry = |index: usize| InstanceInfo {
            name: format!("entry-{index}"),
            role: Role::Entry,
            zone: ZONES[index].to_owned(),
            state: InstanceState::Live,
            gate: Some(self.gate_peers[index]),
            planner: (index == 0).then_some(self.planner),
        };
        (0..GATE_COUNT).map(entry).collect()
    }
}

fn write_secret(path: &Path) -> io::Result<()> {
    fs::write(path, keys::generate())
}

/// Reserves free ports of the loopback address. Holds them open so that none is handed out twice;
/// once this is dropped, other processes may take them.
#[derive(Default)]
pub(super) struct FreePorts(Vec<TcpListener>);

impl FreePorts {
    pub(super) fn reserve(&mut self) -> Result<SocketAddr, DevError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(PortSnafu)?;
        let addr = listener.local_addr().context(PortSnafu)?;
        self.0.push(listener);
        Ok(addr)
    }
}
