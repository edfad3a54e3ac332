//! The planning duty, which one instance at a time holds by a lease. The holder decides which
//! models and adapters engines load, and sends them orders to load and unload.

mod actions;
mod config_sources;
mod coordinator;
mod election;
mod origins;
mod quarantine_log;
mod records;
mod software;

pub(crate) use self::{
    coordinator::Coordinator,
    election::{release, run},
    origins::keep_origins,
    records::keep_records,
    software::keep_software,
};
