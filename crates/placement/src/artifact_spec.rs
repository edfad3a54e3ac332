//! Models and adapters of the current catalog, with the resources that they need.

use std::collections::BTreeMap;

use comfreyweir_config::catalog::Catalog;
use comfreyweir_external::engine::Artifact;

/// An artifact in the version that the current catalog names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArtifactSpec {
    /// Name, version and, for an adapter, base model.
    pub artifact: Artifact,
    /// Memory of one replica, in MB.
    pub memory_mb: u64,
    /// Upper limit of replicas in the cell; an adapter has the limit of its model.
    pub max_replicas: usize,
}

impl ArtifactSpec {
    /// Whether this is an adapter, which is loaded on top of a base model.
    pub fn is_adapter(&self) -> bool {
        self.artifact.base.is_some()
    }
}

/// All artifacts of the current catalog, by served name (`NAME@VERSION`).
#[derive(Clone, Debug, Default)]
pub struct ArtifactSpecs {
    by_name: BTreeMap<String, ArtifactSpec>,
}

impl ArtifactSpecs {
    /// Reads the artifacts of a catalog. Skips adapters whose model is not in the catalog.
    pub fn from_catalog(catalog: &Catalog) -> Self {
        let mut by_name = BTreeMap::new();
        for (name, model) in &catalog.models {
            let artifact = Artifact {
                name: name.clone(),
                version: model.version.clone(),
                base: None,
            };
            let spec = ArtifactSpec {
                artifact,
                memory_mb: model.memory_mb,
                max_replicas: usize::try_from(model.replicas).unwrap_or(usize::MAX),
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
            let spec = ArtifactSpec {
                artifact,
                memory_mb: adapter.memory_mb,
                max_replicas: usize::try_from(model.replicas).unwrap_or(usize::MAX),
            };
            by_name.insert(spec.artifact.served_name(), spec);
        }
        Self { by_name }
    }

    /// Returns the artifact with this served name, or `None` if the catalog does not name this
    /// version.
    pub fn get(&self, served_name: &str) -> Option<&ArtifactSpec> {
        self.by_name.get(served_name)
    }

    /// Returns the current version of a model or adapter, by its name without a version.
    pub fn get_by_name(&self, name: &str) -> Option<&ArtifactSpec> {
        self.by_name.values().find(|s| s.artifact.name == name)
    }
}
