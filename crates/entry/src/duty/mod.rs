//! The planning duty: a leader role that one instance at a time holds. The holder decides which
//! models and adapters engines load, and sends them orders to load and unload.

mod actions;
mod coordinator;
mod election;

pub(crate) use self::{
    coordinator::Coordinator,
    election::{release, run},
};
