//! Finding the holder of a cell.

use std::{net::SocketAddr, time::Duration};

use comfreyweir_peer::{Link, LinkError, Secret, peer_capnp::planner};

/// Longest time of a call that does not wait.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks planners, one after another, who holds the cell, and returns the answer with the highest
/// term. The first planner is the one of the same instance; the others are asked only when it
/// does not know.
pub(super) async fn find(
    planners: &[SocketAddr],
    secret: &Secret,
    cell: &str,
) -> Option<SocketAddr> {
    for addr in planners {
        if let Ok(Some(holder)) = ask(*addr, secret, cell).await {
            return Some(holder);
        }
    }
    None
}

async fn ask(
    addr: SocketAddr,
    secret: &Secret,
    cell: &str,
) -> Result<Option<SocketAddr>, LinkError> {
    let link: Link<planner::Client> = comfreyweir_peer::open(addr, secret).await?;
    let mut req = link.client().holder_request();
    req.get().set_cell(cell);
    let asking = async {
        let answer = req.send().promise.await?;
        let address = answer.get()?.get_address()?.to_string()?;
        Ok(address.parse().ok())
    };
    link.call(CALL_TIMEOUT, asking).await
}
