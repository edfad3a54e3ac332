//! Operator configuration (the catalog) and daemon settings.
//!
//! The catalog is what operators declare: models, adapters, workspaces, keys, upstreams and
//! routes. It is the same on every instance. Settings belong to one process on one instance.

mod build;
pub mod catalog;
mod check;
pub mod entry_settings;
mod fields;
pub mod folder;
pub mod keys;
mod merge;
mod mistakes;
pub mod place;
pub mod settings;
pub mod settings_file;
mod source;

pub use crate::mistakes::Mistake;
