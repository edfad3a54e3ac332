//! Addresses, files and settings of the run.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use comfreyweir_config::{
    keys,
    settings::{GateSettings, GateTiming, Instance, Limits, PlannerSettings, PlannerTiming},
};
use comfreyweir_external::instances::{InstanceInfo, InstanceState, Role};
use snafu::ResultExt;
use tempfile::TempDir;

use super::{DevError, FolderSnafu, GATES, PortSnafu, ZONES, catalog::Upstreams};

/// Time between turning unready and closing connections at a stop, in ms. No balancer has to
/// notice here.
const STOP_NOTICE_MS: u64 = 50;

/// Addresses and files of the run.
pub(super) struct Layout {
    listen: SocketAddr,
    pub(super) kv: SocketAddr,
    pub(super) instances: SocketAddr,
    pub(super) upstreams: Upstreams,
    gate_peers: [SocketAddr; GATES],
    planner: SocketAddr,
    secret: PathBuf,
    _folder: TempDir,
}

impl Layout {
    pub(super) fn choose(listen: SocketAddr) -> Result<Self, DevError> {
        let folder = tempfile::tempdir().context(FolderSnafu)?;
        let secret = folder.path().join("peer.secret");
        write_secret(&secret).context(FolderSnafu)?;
        let mut ports = FreePorts::default();
        Ok(Self {
            listen,
            kv: ports.next()?,
            instances: ports.next()?,
            upstreams: Upstreams {
                engines: [ports.next()?, ports.next()?],
                service: ports.next()?,
            },
            gate_peers: [ports.next()?, ports.next()?],
            planner: ports.next()?,
            secret,
            _folder: folder,
        })
    }

    pub(super) fn instance(&self, index: usize) -> Instance {
        Instance {
            name: format!("entry-{index}"),
            zone: ZONES[index].to_owned(),
            kv: self.kv,
            instances: self.instances,
            peer_secret_file: self.secret.clone(),
        }
    }

    pub(super) fn gate_settings(&self, index: usize) -> GateSettings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        GateSettings {
            instance: self.instance(index),
            listen: if index == 0 { self.listen } else { any },
            admin: any,
            peer: self.gate_peers[index],
            planner: self.planner,
            limits: Limits::default(),
            timing: GateTiming {
                stop_notice_ms: STOP_NOTICE_MS,
                ..GateTiming::default()
            },
        }
    }

    pub(super) fn planner_settings(&self) -> PlannerSettings {
        PlannerSettings {
            instance: self.instance(0),
            admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peer: self.planner,
            timing: PlannerTiming::default(),
        }
    }

    pub(super) fn list(&self) -> Vec<InstanceInfo> {
        let entry = |index: usize| InstanceInfo {
            name: format!("entry-{index}"),
            role: Role::Entry,
            zone: ZONES[index].to_owned(),
            state: InstanceState::Live,
            gate: Some(self.gate_peers[index]),
            planner: (index == 0).then_some(self.planner),
        };
        (0..GATES).map(entry).collect()
    }
}

fn write_secret(path: &Path) -> io::Result<()> {
    fs::write(path, keys::generate())
}

/// Ports of the loopback address that were free a moment ago. They are held until all are chosen,
/// so that none is chosen twice.
#[derive(Default)]
pub(super) struct FreePorts(Vec<TcpListener>);

impl FreePorts {
    pub(super) fn next(&mut self) -> Result<SocketAddr, DevError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(PortSnafu)?;
        let addr = listener.local_addr().context(PortSnafu)?;
        self.0.push(listener);
        Ok(addr)
    }
}
