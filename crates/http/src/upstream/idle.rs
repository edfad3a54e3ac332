//! Idle connections whose last answer was read to its end.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::net::TcpStream;

/// Time after which an idle connection is not used again. It is below the usual keep-alive time
/// of servers, five seconds.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Idle connections kept for one upstream.
const MAX_IDLE: usize = 32;

/// Idle connections by upstream.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_addr: HashMap<SocketAddr, Vec<Idle>>,
}

struct Idle {
    io: TcpStream,
    since: Instant,
}

impl IdleConnections {
    /// Takes the connection that was used last, if it is still usable.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        let idle = self.by_addr.get_mut(&addr)?;
        idle.retain(|c| c.since.elapsed() < IDLE_TIME);
        while let Some(c) = idle.pop() {
            if is_quiet(&c.io) {
                return Some(c.io);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub(super) fn put(&mut self, addr: SocketAddr, io: TcpStream) {
        let idle = self.by_addr.entry(addr).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                io,
                since: Instant::now(),
            });
        }
    }
}

/// Whether the connection is open and has nothing to read.
fn is_quiet(io: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(io.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
