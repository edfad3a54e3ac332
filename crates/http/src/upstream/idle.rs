//! Pool of idle connections to upstreams. A connection enters it once its last answer was read
//! completely.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::net::TcpStream;

/// Longest idle time after which a connection is reused. It is below the usual keep-alive timeout
/// of servers, 5 s, so that the server does not close the connection just as a call starts on it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Most idle connections that are kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 32;

/// Idle connections by the address of the upstream.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_addr: HashMap<SocketAddr, Vec<IdleConnection>>,
}

struct IdleConnection {
    io: TcpStream,
    since: Instant,
}

impl IdleConnections {
    /// Takes the usable connection that was used last, and discards those that are unusable.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        let idle = self.by_addr.get_mut(&addr)?;
        idle.retain(|c| c.since.elapsed() < MAX_IDLE_TIME);
        while let Some(c) = idle.pop() {
            if is_usable(&c.io) {
                return Some(c.io);
            }
        }
        None
    }

    /// Adds a connection, or closes it if the upstream has enough idle ones.
    pub(super) fn put(&mut self, addr: SocketAddr, io: TcpStream) {
        let idle = self.by_addr.entry(addr).or_default();
        if idle.len() < MAX_IDLE_PER_UPSTREAM {
            idle.push(IdleConnection {
                io,
                since: Instant::now(),
            });
        }
    }
}

/// Whether the connection is open and has no unread bytes, which would belong to no call.
fn is_usable(io: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(io.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
