//! Fixed addresses of a cluster's processes within its loopback block.

use std::net::SocketAddr;

use crate::loopback_block::LoopbackBlock;

const PLATFORM_HOST: u8 = 2;
const FIRST_INSTANCE_HOST: usize = 10;
const FIRST_ENGINE_HOST: usize = 110;
const ENGINE_HOST_COUNT: usize = 80;
const FIRST_SERVICE_HOST: usize = 200;
/// Distance between the first ports of two engines on one host.
const PORTS_PER_UPSTREAM: u16 = 10;

/// A network path between two processes on which a fault proxy can run.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Link {
    /// From an instance's gate to the key-value service.
    GateKv(usize),
    /// From an instance's planner to the key-value service.
    PlannerKv(usize),
    /// From one instance to the gate of another.
    Gate {
        /// Index of the calling instance.
        from: usize,
        /// Index of the called instance.
        to: usize,
    },
    /// From one instance to the planner of another. Only calls to the address in the list of
    /// instances take this path.
    Planner {
        /// Index of the calling instance.
        from: usize,
        /// Index of the called instance.
        to: usize,
    },
    /// From all instances to the engine with this index.
    Engine(usize),
    /// From all instances to the plain service with this index.
    Service(usize),
}

/// Computes the addresses of a cluster's processes and stand-ins.
#[derive(Debug)]
pub struct Layout {
    block: LoopbackBlock,
}

impl Layout {
    /// A layout in a claimed block, which it keeps.
    pub fn new(block: LoopbackBlock) -> Self {
        Self { block }
    }

    fn instance(&self, index: usize, port: u16) -> SocketAddr {
        self.block
            .addr(host_octet(FIRST_INSTANCE_HOST + index), port)
    }

    /// Address of the key-value service.
    pub fn kv(&self) -> SocketAddr {
        self.block.addr(PLATFORM_HOST, 7000)
    }

    /// Address of the service from which one instance reads the list of instances.
    pub fn instance_list(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 7600)
    }

    /// Address on which a gate serves callers.
    pub fn gate(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8080)
    }

    /// Admin address of a gate.
    pub fn gate_admin(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8081)
    }

    /// Peer address of a gate, for the other processes of the system.
    pub fn gate_peer(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8082)
    }

    /// Admin address of a planner.
    pub fn planner_admin(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8083)
    }

    /// Peer address of a planner, for the other processes of the system.
    pub fn planner_peer(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8084)
    }

    /// Address of an engine.
    pub fn engine(&self, index: usize) -> SocketAddr {
        let port_group = u16::try_from(index / ENGINE_HOST_COUNT).unwrap_or(u16::MAX);
        let octet = host_octet(FIRST_ENGINE_HOST + index % ENGINE_HOST_COUNT);
        self.block
            .addr(octet, 9000 + PORTS_PER_UPSTREAM * port_group)
    }

    /// Address of a plain service.
    pub fn service(&self, index: usize) -> SocketAddr {
        self.block
            .addr(host_octet(FIRST_SERVICE_HOST + index), 9000)
    }

    /// Address of the fault proxy of a link.
    pub fn proxy(&self, link: &Link) -> SocketAddr {
        let peer_offset = |to: usize| u16::try_from(2 * to).unwrap_or(u16::MAX);
        match link {
            Link::GateKv(from) => self.instance(*from, 7100),
            Link::PlannerKv(from) => self.instance(*from, 7102),
            Link::Gate { from, to } => self.instance(*from, 7200 + peer_offset(*to)),
            Link::Planner { from, to } => self.instance(*from, 7400 + peer_offset(*to)),
            Link::Engine(index) => offset_port(self.engine(*index), 4),
            Link::Service(index) => offset_port(self.service(*index), 4),
        }
    }

    /// Address of the process that a link leads to, without a proxy.
    pub fn target(&self, link: &Link) -> SocketAddr {
        match link {
            Link::GateKv(_) | Link::PlannerKv(_) => self.kv(),
            Link::Gate { to, .. } => self.gate_peer(*to),
            Link::Planner { to, .. } => self.planner_peer(*to),
            Link::Engine(index) => self.engine(*index),
            Link::Service(index) => self.service(*index),
        }
    }

    /// Control address of the stand-in or proxy at `addr`, which is its next port.
    pub fn control(addr: SocketAddr) -> SocketAddr {
        offset_port(addr, 1)
    }
}

fn host_octet(index: usize) -> u8 {
    u8::try_from(index).expect("cluster has more hosts than its loopback block")
}

fn offset_port(addr: SocketAddr, offset: u16) -> SocketAddr {
    SocketAddr::new(addr.ip(), addr.port() + offset)
}
