//! Following the platform's store: the operator's configuration, the upstreams and the instances
//! of the system.

pub(crate) mod config;
pub(crate) mod directory;
pub(crate) mod members;
mod outage;

use std::time::Duration;

/// Pause after a call to the store failed. Short against the bounds of the platform, and long
/// enough that an overloaded store is not loaded further.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
