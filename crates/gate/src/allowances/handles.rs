//! Handles of reservations and charges for the request path. Dropping one ends it in the ledger.

use std::rc::Rc;

use comfreyweir_allowance::ledger::{ChargeKey, ReservationKey};
use comfreyweir_clock::Clock;

use super::{
    Charge, Reservation, Shortage,
    shared::{AllowanceState, shortage},
};

/// Tokens held for a waiting request. Dropping it releases them.
pub struct SharedReservation<C>
where
    C: Clock,
{
    pub(super) state: Rc<AllowanceState<C>>,
    pub(super) reservation: Option<ReservationKey>,
}

impl<C> Reservation for SharedReservation<C>
where
    C: Clock,
{
    type Charge = SharedCharge<C>;

    fn charge(mut self) -> Result<SharedCharge<C>, Shortage> {
        // The key is taken only here and on drop, so it is always present.
        let reservation = self.reservation.take().ok_or(Shortage::UnknownWorkspace)?;
        let state = Rc::clone(&self.state);
        let charged = state.ledger.borrow_mut().charge(reservation, state.now());
        match charged {
            Ok(charge) => Ok(SharedCharge {
                state,
                charge: Some(charge),
            }),
            Err(error) => {
                state.metrics.count_lost_reservation();
                Err(shortage(error))
            }
        }
    }
}

impl<C> Drop for SharedReservation<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().release(reservation, now);
        }
    }
}

/// Tokens charged for a request that was sent upstream. Dropping it without settling keeps the
/// whole charge.
pub struct SharedCharge<C>
where
    C: Clock,
{
    state: Rc<AllowanceState<C>>,
    charge: Option<ChargeKey>,
}

impl<C> Charge for SharedCharge<C>
where
    C: Clock,
{
    fn progress(&mut self, used: u64) {
        if let Some(charge) = self.charge {
            let now = self.state.now();
            self.state
                .ledger
                .borrow_mut()
                .record_usage(charge, used, now);
        }
    }

    fn settle(mut self, used: u64) {
        if let Some(charge) = self.charge.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().settle(charge, used, now);
        }
    }
}

impl<C> Drop for SharedCharge<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().forfeit(charge, now);
        }
    }
}
