//! Versions of the placement: what has changed since the version that an instance knows, and whether
//! that matters to its waiting requests.
//!
//! In a large fleet some engine loads or unloads something at nearly any moment. If each change were
//! sent to all instances that wait for an artifact, the holder of the planning duty would do little
//! else, and be late for what they wait for.

use std::collections::HashMap;

use crate::{planner::Placement, request::Artifact};

/// The placement, with the versions at which its parts last changed.
#[derive(Debug, Default)]
pub struct PlacementLog {
    placement: Placement,
    version: u64,
    /// Version at which each engine's entry last changed. Engines that were removed stay.
    engine_versions: HashMap<String, u64>,
    /// Version at which an engine last began to hold an artifact, by the artifact's key.
    gained_at: HashMap<String, u64>,
}

impl PlacementLog {
    /// Number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the placement. Returns whether it has changed.
    pub fn update(&mut self, placement: Placement) -> bool {
        if placement == self.placement {
            return false;
        }
        self.version += 1;
        let before = std::mem::replace(&mut self.placement, placement);
        // Removed engines get a new version too, and are sent to instances as engines without
        // models.
        let removed = before.keys().filter(|id| !self.placement.contains_key(*id));
        for id in removed {
            self.engine_versions.insert(id.clone(), self.version);
        }
        for (id, models) in &self.placement {
            let models_before = before.get(id);
            if models_before == Some(models) {
                continue;
            }
            self.engine_versions.insert(id.clone(), self.version);
            for (model, adapters) in models {
                let adapters_before = models_before.and_then(|models| models.get(model));
                if adapters_before.is_none() {
                    self.gained_at.insert(model.clone(), self.version);
                }
                let has_before = |adapter| adapters_before.is_some_and(|a| a.contains(adapter));
                for adapter in adapters.iter().filter(|adapter| !has_before(adapter)) {
                    let artifact = Artifact {
                        model: model.clone(),
                        adapter: Some(adapter.clone()),
                    };
                    self.gained_at.insert(artifact.key(), self.version);
                }
            }
        }
        true
    }

    /// Whether any engine has begun to hold one of `artifacts` after a version.
    pub fn has_gained<'a, I>(&self, artifacts: I, known: u64) -> bool
    where
        I: IntoIterator<Item = &'a Artifact>,
    {
        let mut artifacts = artifacts.into_iter();
        artifacts.any(|a| self.gained_at.get(&a.key()).is_some_and(|at| *at > known))
    }

    /// Engines that changed after a version.
    pub fn changes_since(&self, known: u64) -> Placement {
        let changed = self.engine_versions.iter().filter(|(_, at)| **at > known);
        let entry = |id: &String| self.placement.get(id).cloned().unwrap_or_default();
        changed.map(|(id, _)| (id.clone(), entry(id))).collect()
    }
}
