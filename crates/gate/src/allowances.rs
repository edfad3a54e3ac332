//! Token allowances of the workspaces at this gate: the interface for the request path.
//!
//! A reservation holds tokens while a request waits. It becomes a charge when the request is sent
//! upstream, and the charge is settled with the token count that the engine reports.

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
    borrower::{Lenders, LoanRequest},
    handles::{SharedCharge, SharedReservation},
    share_task::ShareTasks,
    shared::{AllowanceTiming, SharedAllowances},
};

/// Why tokens cannot be reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The workspace is over its rate; tokens are expected to be available after this time.
    RetryAfter(Duration),
    /// The request costs more than the burst of the workspace.
    ExceedsBurst,
    /// The workspace is not configured.
    UnknownWorkspace,
}

/// Allowances of all workspaces at this gate.
pub trait Allowances: Clone + 'static {
    /// Tokens held for a waiting request. Dropping it releases them.
    type Reservation: Reservation;

    /// Reserves tokens, borrowing from other gates if needed. May wait for tokens; refuses once
    /// they are not expected in time for `deadline`.
    async fn reserve(
        &self,
        workspace: &str,
        cost: u64,
        deadline: Instant,
    ) -> Result<Self::Reservation, Shortage>;

    /// Whether the gate may report itself ready: it can grant tokens, or has waited long enough for
    /// its share.
    fn is_ready(&self) -> bool {
        true
    }
}

/// Tokens held for a waiting request.
pub trait Reservation: 'static {
    /// Tokens charged for a request that was sent upstream.
    type Charge: Charge;

    /// Charges the tokens. Must be called right before the first byte is sent upstream. Fails if
    /// the reservation is no longer valid, for example after the process was paused.
    fn charge(self) -> Result<Self::Charge, Shortage>;
}

/// Tokens charged for a request that was sent upstream. Dropping it without settling keeps the
/// whole charge.
pub trait Charge: 'static {
    /// Records how many tokens the upstream has used so far.
    fn progress(&mut self, used: u64);

    /// Settles the charge with the tokens that were used and releases the rest.
    fn settle(self, used: u64);
}
