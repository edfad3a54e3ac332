//! What the integration tests share: the programs of this build in a test cluster.

use std::path::PathBuf;

pub use comfreyweir_testbed::*;

/// The programs of this build.
pub fn programs() -> Programs {
    Programs {
        gate: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-gate")),
        planner: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-planner")),
        standins: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-standins")),
    }
}

/// Starts a cluster of this build's programs.
pub async fn start(spec: ClusterSpec) -> Cluster {
    match Cluster::start(spec, &programs()).await {
        Ok(cluster) => cluster,
        Err(e) => panic!("{e}"),
    }
}
