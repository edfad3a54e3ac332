//! Choice of the server that loads an artifact.

use std::cmp::Reverse;

use comfreyweir_external::engine::CheckpointTier;

/// A server that has the memory for a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOption {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether the artifact is charged there already, so that a load costs no further memory.
    pub is_held: bool,
    /// Where the server has the checkpoint.
    pub tier: CheckpointTier,
    /// Replicas of the artifact in the zone of the server.
    pub replicas_in_zone: usize,
    /// Memory left free before the load, in MB.
    pub free_mb: u64,
}

/// Way of choosing among servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerChoice {
    /// The nearest checkpoint first, then spread over zones, then the most free memory.
    #[default]
    NearestCheckpoint,
    /// The most free memory, wherever the checkpoint is.
    MostFree,
}

impl ServerChoice {
    /// The best of the options.
    pub fn pick(self, options: Vec<ServerOption>) -> Option<ServerOption> {
        match self {
            Self::NearestCheckpoint => options.into_iter().min_by_key(|o| {
                (
                    !o.is_held,
                    o.tier,
                    o.replicas_in_zone,
                    Reverse(o.free_mb),
                    o.upstream.clone(),
                )
            }),
            Self::MostFree => options
                .into_iter()
                .min_by_key(|o| (!o.is_held, Reverse(o.free_mb), o.upstream.clone())),
        }
    }
}
