//! Resource usage and message rates of a running cluster over a time span.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::Command,
    time::{Duration, Instant},
};

use comfreyweir_standins::kv;
use comfreyweir_testbed::{Cluster, Link, Process, ProcessUsage, gate_name, planner_name};

use crate::LoadError;

/// Measured values by name, which states the unit unless the value is a count.
pub type Measurements = BTreeMap<String, f64>;

/// Counters and memory of a cluster at one moment.
pub struct CounterSample {
    taken_at: Instant,
    gates: Vec<ProcessUsage>,
    planners: Vec<ProcessUsage>,
    kv: kv::Counts,
    gate_kv_bytes: f64,
    gate_peer_bytes: f64,
    planner_kv_bytes: Vec<f64>,
    holder: Option<usize>,
    holder_bytes: f64,
    engine_bytes: f64,
}

impl CounterSample {
    /// Reads all counters. Link counters stay zero if the cluster runs without proxies.
    pub async fn take(cluster: &Cluster) -> Result<Self, LoadError> {
        let spec = cluster.spec();
        let usage = |name: String| cluster.process(&name).and_then(Process::usage);
        let gates = (0..spec.gates).map(|i| usage(gate_name(i)));
        let planners = (0..spec.planners).map(|i| usage(planner_name(i)));
        let holder = find_holder(cluster).await;
        let mut sample = Self {
            gates: gates.collect::<Result<_, _>>()?,
            planners: planners.collect::<Result<_, _>>()?,
            kv: cluster.kv_counts().await?,
            gate_kv_bytes: 0.0,
            gate_peer_bytes: 0.0,
            planner_kv_bytes: vec![0.0; spec.planners],
            holder,
            engine_bytes: 0.0,
            holder_bytes: holder.map_or(0.0, |i| socket_bytes(cluster.layout().planner_peer(i))),
            taken_at: Instant::now(),
        };
        if spec.proxied {
            sample.add_link_bytes(cluster).await?;
        }
        Ok(sample)
    }

    async fn add_link_bytes(&mut self, cluster: &Cluster) -> Result<(), LoadError> {
        for link in cluster.links() {
            let counts = cluster.link_counts(&link).await?;
            #[allow(clippy::cast_precision_loss)]
            let bytes = (counts.to_upstream_bytes + counts.to_caller_bytes) as f64;
            match link {
                Link::GateKv(_) => self.gate_kv_bytes += bytes,
                Link::Engine(_) => self.engine_bytes += bytes,
                Link::Gate { .. } => self.gate_peer_bytes += bytes,
                Link::PlannerKv(i) if i < self.planner_kv_bytes.len() => {
                    self.planner_kv_bytes[i] += bytes;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Rates per second since the earlier sample `before`, and current memory, for each role.
    #[allow(clippy::cast_precision_loss)]
    pub fn since(&self, before: &Self) -> Measurements {
        let seconds = (self.taken_at - before.taken_at).as_secs_f64();
        let rate = |now: f64, then: f64| (now - then) / seconds;
        let count_rate = |now: u64, then: u64| (now - then) as f64 / seconds;
        let gates = self.gates.len() as f64;
        let mut values = Measurements::new();
        let mut set = |name: &str, value: f64| {
            values.insert(name.to_owned(), value);
        };
        let gate_cpu: f64 = total_cpu(&self.gates) - total_cpu(&before.gates);
        set("gate cpu, % of a core", 100.0 * gate_cpu / seconds / gates);
        set("gate memory, MB", mean_mb(&self.gates));
        set(
            "gate to key-value service, B/s",
            rate(self.gate_kv_bytes, before.gate_kv_bytes) / gates,
        );
        // Each byte is sent by one gate and received by another.
        set(
            "gate to gates, B/s",
            2.0 * rate(self.gate_peer_bytes, before.gate_peer_bytes) / gates,
        );
        set(
            "gate to holder, B/s",
            rate(self.holder_bytes, before.holder_bytes) / gates,
        );
        // These links carry requests as well; in idle clusters they carry only reports.
        set(
            "holder to engines, B/s",
            rate(self.engine_bytes, before.engine_bytes),
        );
        for (index, (now, then)) in self.planners.iter().zip(&before.planners).enumerate() {
            let role = if Some(index) == self.holder {
                "holder"
            } else if Some(index) == first_standby(self.holder, self.planners.len()) {
                "standby"
            } else {
                continue;
            };
            let cpu = 100.0 * rate(now.cpu_seconds, then.cpu_seconds);
            set(&format!("{role} cpu, % of a core"), cpu);
            set(
                &format!("{role} memory, MB"),
                now.resident_kb as f64 / 1024.0,
            );
            let kv = rate(self.planner_kv_bytes[index], before.planner_kv_bytes[index]);
            set(&format!("{role} to key-value service, B/s"), kv);
        }
        let (now, then) = (&self.kv, &before.kv);
        set("key-value reads, /s", count_rate(now.reads, then.reads));
        set("key-value writes, /s", count_rate(now.writes, then.writes));
        set(
            "key-value watches started, /s",
            count_rate(now.watches, then.watches),
        );
        set(
            "key-value lease calls, /s",
            count_rate(now.leases, then.leases),
        );
        set("key-value watches waiting", now.waiting as f64);
        values
    }
}

/// Waits for `settle`, then measures the cluster for `length`.
pub async fn measure_over(
    cluster: &Cluster,
    settle: Duration,
    length: Duration,
) -> Result<Measurements, LoadError> {
    actix_rt::time::sleep(settle).await;
    let before = CounterSample::take(cluster).await?;
    actix_rt::time::sleep(length).await;
    Ok(CounterSample::take(cluster).await?.since(&before))
}

/// Index of the planner whose status page says that it holds the cell.
pub async fn find_holder(cluster: &Cluster) -> Option<usize> {
    for index in 0..cluster.spec().planners {
        let page = cluster.planner_admin(index).get("/status").await.ok()?;
        if page.json()["cells"][0]["held_here"] == true {
            return Some(index);
        }
    }
    None
}

/// Index of the first planner that is not the holder; it represents all standbys.
fn first_standby(holder: Option<usize>, planners: usize) -> Option<usize> {
    (0..planners).find(|index| Some(*index) != holder)
}

fn total_cpu(usages: &[ProcessUsage]) -> f64 {
    usages.iter().map(|usage| usage.cpu_seconds).sum()
}

#[allow(clippy::cast_precision_loss)]
fn mean_mb(usages: &[ProcessUsage]) -> f64 {
    let total: u64 = usages.iter().map(|usage| usage.resident_kb).sum();
    total as f64 / 1024.0 / usages.len().max(1) as f64
}

/// Bytes sent and received so far on the open connections of a listening address.
///
/// Gates call the holder directly, without a counting proxy, so the bytes come from the kernel's
/// counters as printed by `ss`. Returns zero if `ss` cannot be run.
fn socket_bytes(addr: SocketAddr) -> f64 {
    let args = ["-tinH", "state", "established", "src"];
    let Ok(output) = Command::new("ss").args(args).arg(addr.to_string()).output() else {
        return 0.0;
    };
    let text = String::from_utf8_lossy(&output.stdout);
    let fields = text.split_whitespace();
    let bytes = fields.filter_map(|field| {
        let (name, value) = field.split_once(':')?;
        matches!(name, "bytes_sent" | "bytes_received").then(|| value.parse::<f64>().ok())?
    });
    bytes.sum()
}
