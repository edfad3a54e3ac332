//! Waits bounded by conditions.

use std::time::Duration;

use actix_rt::time::sleep;
use tokio::time::Instant;

use crate::error::{TestbedError, TimeoutSnafu};

const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
pub async fn until<C>(limit: Duration, what: &str, mut condition: C) -> Result<(), TestbedError>
where
    C: AsyncFnMut() -> bool,
{
    let probe = async || condition().await.then_some(());
    until_some(limit, what, probe).await
}

/// Waits until a probe finds something.
pub async fn until_some<P, T>(limit: Duration, what: &str, mut probe: P) -> Result<T, TestbedError>
where
    P: AsyncFnMut() -> Option<T>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(found) = probe().await {
            return Ok(found);
        }
        if Instant::now() >= deadline {
            return TimeoutSnafu { what, after: limit }.fail();
        }
        sleep(LOOK_AGAIN).await;
    }
}
