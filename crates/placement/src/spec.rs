//! What the catalog says of the artifacts that can be placed.

use std::collections::BTreeMap;

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::engine::Artifact;

/// An artifact as the catalog has it in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// What is to be loaded.
    pub artifact: Artifact,
    /// Memory of one replica, in MB.
    pub memory_mb: u64,
    /// Largest number of replicas.
    pub replicas: usize,
}

impl Spec {
    /// Whether it is an adapter.
    pub fn is_adapter(&self) -> bool {
        self.artifact.base.is_some()
    }
}

/// All artifacts in force, by served name.
#[derive(Clone, Debug, Default)]
pub struct Specs {
    by_name: BTreeMap<String, Spec>,
}

impl Specs {
    /// Reads the artifacts of a catalog. An adapter without its model is left out.
    pub fn from_catalog(catalog: &Catalog) -> Self {
        let mut by_name = BTreeMap::new();
        for (name, model) in &catalog.models {
            let artifact = Artifact {
                name: name.clone(),
                version: model.version.clone(),
                base: None,
            };
            let spec = Spec {
                artifact,
                memory_mb: model.memory_mb,
                replicas: usize::try_from(model.replicas).unwrap_or(usize::MAX),
            };
            by_name.insert(spec.artifact.served_name(), spec);
        }
        for (name, adapter) in &catalog.adapters {
            let Some(model) = catalog.models.get(&adapter.model) else {
                continue;
            };
            let artifact = Artifact {
                name: name.clone(),
                version: adapter.version.clone(),
                base: Some(format!("{}@{}", adapter.model, model.version)),
            };
            let spec = Spec {
                artifact,
                memory_mb: adapter.memory_mb,
                replicas: usize::try_from(model.replicas).unwrap_or(usize::MAX),
            };
            by_name.insert(spec.artifact.served_name(), spec);
        }
        Self { by_name }
    }

    /// The artifact of a served name, if it is in force.
    pub fn get(&self, served_name: &str) -> Option<&Spec> {
        self.by_name.get(served_name)
    }

    /// The artifact in force under the name of a model or adapter.
    pub fn named(&self, name: &str) -> Option<&Spec> {
        self.by_name.values().find(|s| s.artifact.name == name)
    }
}
