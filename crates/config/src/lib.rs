//! Operator configuration (the catalog) and daemon settings.
//!
//! The catalog is what operators declare: models, adapters, workspaces, keys, upstreams and
//! routes. It is the same on every instance. Settings belong to one process on one instance.

mod build;
pub mod catalog;
mod check;
pub mod entry_settings;
mod fields;
mod findings;
pub mod folder;
pub mod keys;
pub mod location;
mod merge;
pub mod settings;
pub mod settings_file;
mod source_file;

pub use crate::findings::Mistake;
