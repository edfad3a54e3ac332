//! Opens listening TCP sockets with the same options in every program.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address.
///
/// `SO_REUSEADDR` makes the address of a process that has ended available at once, even while its
/// connections are still closing. The call fails while another process listens on the address.
/// Leases and allowance shares depend on that: success proves that an earlier process with this
/// address has ended.
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
