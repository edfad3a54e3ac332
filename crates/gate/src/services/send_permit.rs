//! Decides between sending a call that must run at most once and giving it up.
//!
//! The call runs in its own task, because its answer has to be recorded even when the caller has
//! disconnected. The request handler that waits for the task gives up at the deadline. Both run on
//! one thread and share the state of the call, so that exactly one of them decides: when the
//! handler reports "not run", the task can no longer send the call.

use std::{cell::Cell, rc::Rc};

/// Whether a call has been sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum SendState {
    /// Not sent yet, or only tried without sending a byte; may still be sent.
    #[default]
    Unsent,
    /// Sent, or partly sent.
    Sent,
    /// Not sent, and must not be sent any more.
    GivenUp,
}

#[derive(Debug, Default)]
struct Shared {
    state: Cell<SendState>,
    caller_handle_dropped: Cell<bool>,
}

/// Permit to send the call, held by the task that runs it.
pub struct SendPermit(Rc<Shared>);

/// Handle of the request handler that waits for the call. Dropping it gives the call up if it has
/// not been sent.
pub struct CallerHandle(Rc<Shared>);

/// Creates the permit and the handle for one call.
pub fn pair() -> (SendPermit, CallerHandle) {
    let shared = Rc::default();
    (SendPermit(Rc::clone(&shared)), CallerHandle(shared))
}

impl SendPermit {
    /// Acquires the permission to send. After `true` the call counts as sent until
    /// [`SendPermit::release`]; `false` means that it was given up.
    pub fn try_acquire(&self) -> bool {
        if self.0.state.get() == SendState::GivenUp {
            return false;
        }
        self.0.state.set(SendState::Sent);
        true
    }

    /// Returns the permission after an attempt that did not send a single byte. If the handler is
    /// gone, the call is given up.
    pub fn release(&self) {
        let caller_left = self.0.caller_handle_dropped.get();
        self.0.state.set(if caller_left {
            SendState::GivenUp
        } else {
            SendState::Unsent
        });
    }
}

impl CallerHandle {
    /// Gives the call up. Returns false if the call has been sent, even in part.
    pub fn give_up(&self) -> bool {
        if self.0.state.get() == SendState::Sent {
            return false;
        }
        self.0.state.set(SendState::GivenUp);
        true
    }
}

impl Drop for CallerHandle {
    fn drop(&mut self) {
        self.0.caller_handle_dropped.set(true);
        self.give_up();
    }
}
