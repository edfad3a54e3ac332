//! Operator configuration (the catalog) and daemon settings.
//!
//! The catalog is what operators declare: models, adapters, workspaces, keys, upstreams and
//! routes. It is the same on every instance. Settings belong to one process on one instance.

pub mod catalog;
pub mod keys;
pub mod place;
pub mod settings;
pub mod settings_file;
