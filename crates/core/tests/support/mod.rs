//! Starts test clusters from the programs of this build.

use std::path::PathBuf;

pub use comfreyweir_testbed::*;

/// Paths of the programs that Cargo built for these tests.
pub fn programs() -> Programs {
    Programs {
        gate: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-gate")),
        planner: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-planner")),
        standins: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-standins")),
    }
}

/// Starts a cluster of this build's programs; panics if it does not start.
pub async fn start(spec: ClusterSpec) -> Cluster {
    match Cluster::start(spec, &programs()).await {
        Ok(cluster) => cluster,
        Err(e) => panic!("{e}"),
    }
}
