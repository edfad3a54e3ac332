//! Finding the holder of a cell.

use std::{net::SocketAddr, time::Duration};

use comfreyweir_peer::{LinkError, PeerLink, PeerSecret, peer_capnp::planner};

/// Timeout of a call in which the planner does not wait for a change.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks planners, one after another, for the holder of the cell, and returns the first answer. The
/// first planner is the one of the same instance; the others are asked only if it does not know.
pub(super) async fn find(
    planners: &[SocketAddr],
    secret: &PeerSecret,
    cell: &str,
) -> Option<SocketAddr> {
    for addr in planners {
        if let Ok(Some(holder)) = query_planner(*addr, secret, cell).await {
            return Some(holder);
        }
    }
    None
}

async fn query_planner(
    addr: SocketAddr,
    secret: &PeerSecret,
    cell: &str,
) -> Result<Option<SocketAddr>, LinkError> {
    let link: PeerLink<planner::Client> = comfreyweir_peer::open(addr, secret).await?;
    let mut req = link.client().holder_request();
    req.get().set_cell(cell);
    let reply = async {
        let answer = req.send().promise.await?;
        let address = answer.get()?.get_address()?.to_string()?;
        Ok(address.parse().ok())
    };
    link.call(CALL_TIMEOUT, reply).await
}
