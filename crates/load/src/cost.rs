//! What a gate adds to a call: the same call straight to the engine and through the gate, in
//! turn, while other callers load the gate.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use comfreyweir_testbed::{Caller, Cluster, ClusterSpec, Programs};
use serde::{Deserialize, Serialize};

use crate::{
    LoadError,
    report::{Percentiles, percentiles},
    slopes::{WORKSPACE, one_gate, warm},
};

/// Requests a second of other callers.
const RATES: [u32; 4] = [0, 200, 400, 800];
/// Pairs of calls at each rate.
const PAIRS: usize = 1_500;
const SETTLE: Duration = Duration::from_secs(1);
const PROMPT: &str = "A short question of a technician in the van.";

/// Times of the same calls at one load.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Requests a second of other callers.
    pub rate: u32,
    /// Processor time of the gate meanwhile, in % of a core.
    pub gate_cpu: f64,
    /// Calls straight to the engine.
    pub direct: Percentiles,
    /// Calls through the gate.
    pub through: Percentiles,
}

/// Times at all loads.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Cost {
    /// One row a load.
    pub rows: Vec<Row>,
}

/// Measures at all loads, each with a fresh cluster.
pub async fn measure(programs: &Programs) -> Result<Cost, LoadError> {
    let mut rows = Vec::new();
    for rate in RATES {
        rows.push(row(rate, programs).await?);
    }
    Ok(Cost { rows })
}

async fn row(rate: u32, programs: &Programs) -> Result<Row, LoadError> {
    let cluster = Cluster::start(one_gate(), programs).await?;
    warm(&cluster).await?;
    let others = Others::start(cluster.layout().gate(0), rate);
    actix_rt::time::sleep(SETTLE).await;
    let through = cluster.caller(0, WORKSPACE);
    let direct = Caller::new(serving_engine(&cluster).await?, None);
    let before = cluster.process("gate-0")?.usage()?;
    let start = Instant::now();
    let (mut direct_us, mut through_us) = (Vec::new(), Vec::new());
    for _ in 0..PAIRS {
        direct_us.push(call(&direct, "served@1").await?);
        through_us.push(call(&through, "served").await?);
    }
    let used = cluster.process("gate-0")?.usage()?.cpu_seconds - before.cpu_seconds;
    others.stop();
    Ok(Row {
        rate,
        gate_cpu: 100.0 * used / start.elapsed().as_secs_f64(),
        direct: percentiles(&direct_us),
        through: percentiles(&through_us),
    })
}

/// The engine that holds the model.
async fn serving_engine(cluster: &Cluster) -> Result<SocketAddr, LoadError> {
    let records = cluster.engine_records().await?;
    let serving = records.iter().position(|record| !record.changes.is_empty());
    Ok(cluster.layout().engine(serving.unwrap_or(0)))
}

async fn call(caller: &Caller, model: &str) -> Result<u64, LoadError> {
    let answer = caller.chat(model, PROMPT, 1).await?;
    Ok(u64::try_from(answer.took.as_micros()).unwrap_or(u64::MAX))
}

/// Other callers, on a thread of their own so that they do not delay the measured calls.
struct Others {
    ended: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Others {
    fn start(gate: SocketAddr, rate: u32) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&ended);
        let thread = thread::spawn(move || {
            if rate > 0 {
                actix_rt::System::new().block_on(send(gate, rate, &seen));
            }
        });
        Self { ended, thread }
    }

    fn stop(self) {
        self.ended.store(true, Ordering::Relaxed);
        // A panic there shows as a lower processor time of the gate.
        let _ = self.thread.join();
    }
}

async fn send(gate: SocketAddr, rate: u32, ended: &AtomicBool) {
    let caller = Caller::new(gate, Some(&ClusterSpec::key_of(WORKSPACE)));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    while !ended.load(Ordering::Relaxed) {
        ticks.tick().await;
        let caller = caller.clone();
        actix_rt::spawn(async move { caller.chat("served", PROMPT, 1).await });
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>8} {:>10} {:>10} {:>10} {:>11} {:>11} {:>10} {:>10}",
            "others/s",
            "gate cpu %",
            "direct p50",
            "direct p99",
            "through p50",
            "through p99",
            "added p50",
            "added p99"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>8} {:>10.1} {:>10.3} {:>10.3} {:>11.3} {:>11.3} {:>10.3} {:>10.3}",
                row.rate,
                row.gate_cpu,
                row.direct.p50,
                row.direct.p99,
                row.through.p50,
                row.through.p99,
                row.through.p50 - row.direct.p50,
                row.through.p99 - row.direct.p99,
            )?;
        }
        Ok(())
    }
}
