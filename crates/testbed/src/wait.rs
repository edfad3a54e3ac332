//! Waiting for conditions with a time limit.

use std::time::Duration;

use actix_rt::time::sleep;
use tokio::time::Instant;

use crate::error::{TestbedError, TimeoutSnafu};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls a condition until it holds. Fails with a time-out that names `what` after `limit`.
pub async fn until<C>(limit: Duration, what: &str, mut condition: C) -> Result<(), TestbedError>
where
    C: AsyncFnMut() -> bool,
{
    let probe = async || condition().await.then_some(());
    until_some(limit, what, probe).await
}

/// Polls a probe until it returns a value. Fails with a time-out that names `what` after `limit`;
/// the probe runs at least once.
pub async fn until_some<P, T>(limit: Duration, what: &str, mut probe: P) -> Result<T, TestbedError>
where
    P: AsyncFnMut() -> Option<T>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return TimeoutSnafu { what, after: limit }.fail();
        }
        sleep(POLL_INTERVAL).await;
    }
}
