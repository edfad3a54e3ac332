//! Waiting until a revision is in force.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use super::{error::ClientError, remote};

/// Pause between two rounds of asking.
const PERIOD: Duration = Duration::from_millis(200);

/// Revision in force on each instance that answered.
pub type InForce = BTreeMap<SocketAddr, u64>;

/// Waits until all instances have the revision, or a later one, in force.
pub async fn until_in_force(
    revision: u64,
    admin: &[SocketAddr],
    limit: Duration,
) -> Result<InForce, ClientError> {
    let until = Instant::now() + limit;
    loop {
        let in_force = ask(admin).await;
        let is_behind = |addr: &&SocketAddr| in_force.get(addr).is_none_or(|r| *r < revision);
        let behind: Vec<SocketAddr> = admin.iter().filter(is_behind).copied().collect();
        if behind.is_empty() {
            return Ok(in_force);
        }
        if Instant::now() >= until {
            return Err(ClientError::NotInForce {
                revision,
                waited: limit,
                behind,
            });
        }
        actix_rt::time::sleep(PERIOD).await;
    }
}

async fn ask(admin: &[SocketAddr]) -> InForce {
    let pages = join_all(admin.iter().map(|addr| remote::status_page(*addr))).await;
    let revision = |(addr, page): (&SocketAddr, Result<_, _>)| {
        let page: serde_json::Value = page.ok()?;
        Some((*addr, remote::revision_of(&page)?))
    };
    admin.iter().zip(pages).filter_map(revision).collect()
}
