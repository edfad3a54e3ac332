//! Short soak of the entry daemon with fixed seeds; every seed that has failed is added here.

use std::{path::PathBuf, time::Duration};

use comfreyweir_soak::{SoakSettings, run};

async fn run_soak(seed: u64) {
    let settings = SoakSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_comfreyweir-entry")),
        seed,
        instances: 3,
        callers: 24,
        fault_duration: Duration::from_secs(6),
    };
    let verdict = run(&settings).await.unwrap();
    assert!(
        verdict.broken_promises.is_empty(),
        "seed {seed}: {verdict:#?}"
    );
    assert!(verdict.served > 0, "seed {seed}: {verdict:#?}");
}

#[actix_rt::test]
async fn overlapping_faults_break_no_promise() {
    for seed in [1, 2] {
        run_soak(seed).await;
    }
}
