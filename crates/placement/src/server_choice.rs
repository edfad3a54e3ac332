//! Selects the server on which an artifact is loaded.

use std::cmp::Reverse;

use comfreyweir_external::engine::CheckpointTier;

/// A server that may load the artifact.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOption {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether an existing reservation on the server already covers the artifact, so that the load
    /// needs no further memory.
    pub is_reserved: bool,
    /// Storage tier from which the server would load the checkpoint.
    pub tier: CheckpointTier,
    /// Replicas of the artifact in the availability zone of the server.
    pub replicas_in_zone: usize,
    /// Memory left free before the load, in MB.
    pub free_mb: u64,
}

/// Policy for selecting a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerChoice {
    /// Prefers the nearest checkpoint tier, then the zone with the fewest replicas, then the most
    /// free memory.
    #[default]
    NearestCheckpoint,
    /// Prefers the most free memory and ignores the checkpoint tier.
    MostFreeMemory,
}

impl ServerChoice {
    /// Returns the best option, or `None` if there are none. Servers with an existing reservation
    /// come first under every policy; ties are broken by upstream name.
    pub fn pick(self, options: Vec<ServerOption>) -> Option<ServerOption> {
        match self {
            Self::NearestCheckpoint => options.into_iter().min_by_key(|option| {
                (
                    !option.is_reserved,
                    option.tier,
                    option.replicas_in_zone,
                    Reverse(option.free_mb),
                    option.upstream.clone(),
                )
            }),
            Self::MostFreeMemory => options.into_iter().min_by_key(|option| {
                (
                    !option.is_reserved,
                    Reverse(option.free_mb),
                    option.upstream.clone(),
                )
            }),
        }
    }
}
