//! Listening sockets, opened the same way by every program.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address.
///
/// The address of a process that has ended can be used again at once, even while connections of
/// it are still closing. It fails while another process listens there, which other parts of the
/// system take as evidence.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
