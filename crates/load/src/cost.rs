//! Measures the latency that a gate adds: the same call is sent alternately to the engine directly
//! and through the gate, while background requests load the gate.

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
    slopes::{WORKSPACE, one_gate_spec, warm_up},
};

/// Background requests per second.
const BACKGROUND_RATES: [u32; 4] = [0, 200, 400, 800];
/// Pairs of a direct call and a call through the gate, at each rate.
const CALL_PAIRS: usize = 1_500;
const SETTLE_DELAY: Duration = Duration::from_secs(1);
const PROMPT: &str = "A short question of a technician in the van.";

/// Latency with and without the gate, at one background rate.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GateCostRow {
    /// Background requests per second.
    pub rate: u32,
    /// Processor time of the gate during the calls, in % of a core.
    pub gate_cpu: f64,
    /// Latency of calls to the engine directly.
    pub direct: Percentiles,
    /// Latency of calls through the gate.
    pub through: Percentiles,
}

/// Latency with and without the gate, at all background rates.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GateCost {
    /// One row per background rate.
    pub rows: Vec<GateCostRow>,
}

/// Measures at all background rates, with a new cluster for each.
pub async fn measure(programs: &Programs) -> Result<GateCost, LoadError> {
    let mut rows = Vec::new();
    for rate in BACKGROUND_RATES {
        rows.push(measure_at_rate(rate, programs).await?);
    }
    Ok(GateCost { rows })
}

async fn measure_at_rate(rate: u32, programs: &Programs) -> Result<GateCostRow, LoadError> {
    let cluster = Cluster::start(one_gate_spec(), programs).await?;
    warm_up(&cluster).await?;
    let background = BackgroundLoad::start(cluster.layout().gate(0), rate);
    actix_rt::time::sleep(SETTLE_DELAY).await;
    let through = cluster.caller(0, WORKSPACE);
    let direct = Caller::new(serving_engine(&cluster).await?, None);
    let before = cluster.process("gate-0")?.usage()?;
    let start = Instant::now();
    let (mut direct_us, mut through_us) = (Vec::new(), Vec::new());
    for _ in 0..CALL_PAIRS {
        direct_us.push(timed_call_us(&direct, "served@1").await?);
        through_us.push(timed_call_us(&through, "served").await?);
    }
    let used = cluster.process("gate-0")?.usage()?.cpu_seconds - before.cpu_seconds;
    background.stop();
    Ok(GateCostRow {
        rate,
        gate_cpu: 100.0 * used / start.elapsed().as_secs_f64(),
        direct: percentiles(&direct_us),
        through: percentiles(&through_us),
    })
}

/// Address of the first engine that has changed the state of an artifact, which is the one that
/// loaded the served model.
async fn serving_engine(cluster: &Cluster) -> Result<SocketAddr, LoadError> {
    let records = cluster.engine_records().await?;
    let serving = records.iter().position(|record| !record.changes.is_empty());
    Ok(cluster.layout().engine(serving.unwrap_or(0)))
}

async fn timed_call_us(caller: &Caller, model: &str) -> Result<u64, LoadError> {
    let answer = caller.chat(model, PROMPT, 1).await?;
    Ok(u64::try_from(answer.took.as_micros()).unwrap_or(u64::MAX))
}

/// Background requests, sent from their own thread so that they do not delay the measured calls.
struct BackgroundLoad {
    stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl BackgroundLoad {
    fn start(gate: SocketAddr, rate: u32) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            if rate > 0 {
                actix_rt::System::new().block_on(send_requests(gate, rate, &stop_flag));
            }
        });
        Self { stopped, thread }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A panic of the thread is ignored; it shows as a lower processor time of the gate.
        let _ = self.thread.join();
    }
}

async fn send_requests(gate: SocketAddr, rate: u32, stopped: &AtomicBool) {
    let caller = Caller::new(gate, Some(&ClusterSpec::key_of(WORKSPACE)));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    while !stopped.load(Ordering::Relaxed) {
        ticks.tick().await;
        let caller = caller.clone();
        actix_rt::spawn(async move { caller.chat("served", PROMPT, 1).await });
    }
}

impl fmt::Display for GateCost {
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
