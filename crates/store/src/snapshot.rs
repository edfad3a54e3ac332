//! A catalog at one revision.

use comfreyweir_config::catalog::Catalog;

/// A catalog at one revision, with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision; zero stands for no configuration at all.
    pub revision: u64,
    /// What the operators declared.
    pub catalog: Catalog,
}
