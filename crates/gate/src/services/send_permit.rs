//! Who decides whether a call that must run at most once is still sent.
//!
//! The call runs in a task of its own, because its answer has to be recorded even when its caller
//! has left. The caller's handler gives up at the deadline. Both run on one thread and share a
//! permit, so that exactly one of them decides: a handler that says "not run" has taken the
//! permit from the task before.

use std::{cell::Cell, rc::Rc};

/// State of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// Not sent, and may still be sent.
    #[default]
    Open,
    /// Sent, at least in part.
    Sent,
    /// Not sent, and never will be.
    GivenUp,
}

#[derive(Debug, Default)]
struct Shared {
    state: Cell<State>,
    handler_left: Cell<bool>,
}

/// The task's side.
pub struct Permit(Rc<Shared>);

/// The handler's side. Dropping it gives the call up if it was not sent.
pub struct Handler(Rc<Shared>);

/// Creates both sides for one call.
pub fn pair() -> (Permit, Handler) {
    let shared = Rc::default();
    (Permit(Rc::clone(&shared)), Handler(shared))
}

impl Permit {
    /// Asks to send. The answer `true` binds: from now on the call counts as sent.
    pub fn take(&self) -> bool {
        if self.0.state.get() == State::GivenUp {
            return false;
        }
        self.0.state.set(State::Sent);
        true
    }

    /// Gives the permit back: not one byte has been sent. Without a handler the call is given up.
    pub fn put_back(&self) {
        let left = self.0.handler_left.get();
        self.0
            .state
            .set(if left { State::GivenUp } else { State::Open });
    }
}

impl Handler {
    /// Gives the call up. False when it was sent, in part at least.
    pub fn give_up(&self) -> bool {
        if self.0.state.get() == State::Sent {
            return false;
        }
        self.0.state.set(State::GivenUp);
        true
    }
}

impl Drop for Handler {
    fn drop(&mut self) {
        self.0.handler_left.set(true);
        self.give_up();
    }
}
