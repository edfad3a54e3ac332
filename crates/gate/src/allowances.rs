//! The allowance of each workspace at this gate, as the request path sees it.
//!
//! A reservation holds tokens while a request waits. It becomes a charge when the request is
//! sent upstream, and the charge is settled with what the engine says was used.

mod borrower;
mod handles;
mod metrics;
mod share_calls;
mod share_task;
mod shared;
mod status;
mod waiting;

use std::time::{Duration, Instant};

pub use self::{
    borrower::{Ask, Lenders},
    handles::{SharedCharge, SharedReservation},
    share_task::ShareKeeper,
    shared::{AllowanceTiming, SharedAllowances},
};

/// Why tokens cannot be reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The workspace is over its rate; tokens will be there after this time.
    RetryAfter(Duration),
    /// The request costs more than the burst of the workspace.
    ExceedsBurst,
    /// The workspace is not configured.
    UnknownWorkspace,
}

/// Allowances of all workspaces at this gate.
pub trait Allowances: Clone + 'static {
    /// Tokens held for a request that waits. Dropping it gives them back.
    type Reservation: Reservation;

    /// Reserves tokens, borrowing from other gates if need be.
    async fn reserve(
        &self,
        workspace: &str,
        cost: u64,
        deadline: Instant,
    ) -> Result<Self::Reservation, Shortage>;

    /// Whether there are tokens to be had from the start, or no use in waiting for them.
    fn is_ready(&self) -> bool {
        true
    }
}

/// Tokens held for a request that waits.
pub trait Reservation: 'static {
    /// Tokens charged for a request that was sent upstream.
    type Charge: Charge;

    /// Charges the tokens. To be called right before the first byte is sent upstream; fails when
    /// the tokens are no longer valid, for example after the process was paused.
    fn charge(self) -> Result<Self::Charge, Shortage>;
}

/// Tokens charged for a request that was sent upstream. Dropping it without settling keeps the
/// whole charge.
pub trait Charge: 'static {
    /// Notes how many tokens the upstream has used so far.
    fn progress(&mut self, used: u64);

    /// Ends the charge with the tokens that were used, and returns the rest.
    fn settle(self, used: u64);
}
