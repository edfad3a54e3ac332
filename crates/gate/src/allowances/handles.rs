//! Reservations and charges, as the request path holds them.

use std::rc::Rc;

use comfreyweir_allowance::ledger::{ChargeKey, ReservationKey};
use comfreyweir_clock::Clock;

use super::{
    Charge, Reservation, Shortage,
    shared::{State, shortage},
};

/// Tokens held for a request that waits. Dropping it gives them back.
pub struct SharedReservation<C>
where
    C: Clock,
{
    pub(super) state: Rc<State<C>>,
    pub(super) hold: Option<ReservationKey>,
}

impl<C> Reservation for SharedReservation<C>
where
    C: Clock,
{
    type Charge = SharedCharge<C>;

    fn charge(mut self) -> Result<SharedCharge<C>, Shortage> {
        let hold = self.hold.take().ok_or(Shortage::UnknownWorkspace)?;
        let state = Rc::clone(&self.state);
        let charged = state.ledger.borrow_mut().charge(hold, state.now());
        match charged {
            Ok(charge) => Ok(SharedCharge {
                state,
                charge: Some(charge),
            }),
            Err(lack) => {
                state.metrics.lost();
                Err(shortage(lack))
            }
        }
    }
}

impl<C> Drop for SharedReservation<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let now = self.state.now();
            self.state.ledger.borrow_mut().release(hold, now);
        }
    }
}

/// Tokens charged for a request that was sent.
pub struct SharedCharge<C>
where
    C: Clock,
{
    state: Rc<State<C>>,
    charge: Option<ChargeKey>,
}

impl<C> Charge for SharedCharge<C>
where
    C: Clock,
{
    fn progress(&mut self, used: u64) {
        if let Some(charge) = self.charge {
            let now = self.state.now();
            self.state.ledger.borrow_mut().progress(charge, used, now);
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
