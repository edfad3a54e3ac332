//! Addresses of a cluster within its block.

use std::net::SocketAddr;

use crate::loopback_block::Block;

const PLATFORM_HOST: u8 = 2;
const FIRST_INSTANCE_HOST: usize = 10;
const FIRST_ENGINE_HOST: usize = 110;
const ENGINE_HOSTS: usize = 80;
const FIRST_SERVICE_HOST: usize = 200;
/// Ports that one upstream takes on its host.
const UPSTREAM_PORTS: u16 = 10;

/// A link between two processes, in which a fault proxy can stand.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Link {
    /// From an instance's gate to the key-value service.
    GateKv(usize),
    /// From an instance's planner to the key-value service.
    PlannerKv(usize),
    /// From one instance to the gate of another.
    Gate {
        /// Instance that calls.
        from: usize,
        /// Instance that is called.
        to: usize,
    },
    /// From one instance to the planner of another, as far as its address is taken from the list
    /// of instances.
    Planner {
        /// Instance that calls.
        from: usize,
        /// Instance that is called.
        to: usize,
    },
    /// From all instances to the engine of this number.
    Engine(usize),
    /// From all instances to the plain service of this number.
    Service(usize),
}

/// Addresses of a cluster.
#[derive(Debug)]
pub struct Layout {
    block: Block,
}

impl Layout {
    /// Lays a cluster out in a block.
    pub fn new(block: Block) -> Self {
        Self { block }
    }

    fn instance(&self, index: usize, port: u16) -> SocketAddr {
        self.block.addr(host(FIRST_INSTANCE_HOST + index), port)
    }

    /// Address of the key-value service.
    pub fn kv(&self) -> SocketAddr {
        self.block.addr(PLATFORM_HOST, 7000)
    }

    /// Address of the list of instances as one instance reads it.
    pub fn list(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 7600)
    }

    /// Address of a gate for callers.
    pub fn gate(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8080)
    }

    /// Address of a gate for operators.
    pub fn gate_admin(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8081)
    }

    /// Address of a gate for other processes of the system.
    pub fn gate_peer(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8082)
    }

    /// Address of a planner for operators.
    pub fn planner_admin(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8083)
    }

    /// Address of a planner for other processes of the system.
    pub fn planner_peer(&self, instance: usize) -> SocketAddr {
        self.instance(instance, 8084)
    }

    /// Address of an engine.
    pub fn engine(&self, index: usize) -> SocketAddr {
        let turn = u16::try_from(index / ENGINE_HOSTS).unwrap_or(u16::MAX);
        let host = host(FIRST_ENGINE_HOST + index % ENGINE_HOSTS);
        self.block.addr(host, 9000 + UPSTREAM_PORTS * turn)
    }

    /// Address of a plain service.
    pub fn service(&self, index: usize) -> SocketAddr {
        self.block.addr(host(FIRST_SERVICE_HOST + index), 9000)
    }

    /// Address of the proxy in a link.
    pub fn proxy(&self, link: &Link) -> SocketAddr {
        let offset = |to: usize| u16::try_from(2 * to).unwrap_or(u16::MAX);
        match link {
            Link::GateKv(from) => self.instance(*from, 7100),
            Link::PlannerKv(from) => self.instance(*from, 7102),
            Link::Gate { from, to } => self.instance(*from, 7200 + offset(*to)),
            Link::Planner { from, to } => self.instance(*from, 7400 + offset(*to)),
            Link::Engine(index) => after(self.engine(*index), 4),
            Link::Service(index) => after(self.service(*index), 4),
        }
    }

    /// Address that a link leads to.
    pub fn target(&self, link: &Link) -> SocketAddr {
        match link {
            Link::GateKv(_) | Link::PlannerKv(_) => self.kv(),
            Link::Gate { to, .. } => self.gate_peer(*to),
            Link::Planner { to, .. } => self.planner_peer(*to),
            Link::Engine(index) => self.engine(*index),
            Link::Service(index) => self.service(*index),
        }
    }

    /// Control address of the stand-in at `addr`.
    pub fn control(addr: SocketAddr) -> SocketAddr {
        after(addr, 1)
    }
}

fn host(index: usize) -> u8 {
    u8::try_from(index).expect("a cluster fits into its block")
}

fn after(addr: SocketAddr, ports: u16) -> SocketAddr {
    SocketAddr::new(addr.ip(), addr.port() + ports)
}
