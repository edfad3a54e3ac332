//! Waits until a revision is in force on all given instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use super::{error::ClientError, remote};

/// Pause between two rounds of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Revision in force on each instance that answered, by admin address.
pub type RevisionsInForce = BTreeMap<SocketAddr, u64>;

/// Waits until all instances have the revision, or a later one, in force. Fails with
/// [`ClientError::NotInForce`] if some do not have it in force, or do not answer, within `timeout`.
pub async fn until_in_force(
    revision: u64,
    admin_addrs: &[SocketAddr],
    timeout: Duration,
) -> Result<RevisionsInForce, ClientError> {
    let deadline = Instant::now() + timeout;
    loop {
        let in_force = poll_revisions(admin_addrs).await;
        let is_behind = |addr: &&SocketAddr| in_force.get(addr).is_none_or(|r| *r < revision);
        let behind: Vec<SocketAddr> = admin_addrs.iter().filter(is_behind).copied().collect();
        if behind.is_empty() {
            return Ok(in_force);
        }
        if Instant::now() >= deadline {
            return Err(ClientError::NotInForce {
                revision,
                waited: timeout,
                behind,
            });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_revisions(admin_addrs: &[SocketAddr]) -> RevisionsInForce {
    let pages = join_all(admin_addrs.iter().map(|addr| remote::fetch_status(*addr))).await;
    let revision = |(addr, page): (&SocketAddr, Result<_, _>)| {
        let page: serde_json::Value = page.ok()?;
        Some((*addr, remote::revision_in_force(&page)?))
    };
    admin_addrs.iter().zip(pages).filter_map(revision).collect()
}
