//! Figures of a running cluster over a time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::Command,
    time::{Duration, Instant},
};

use comfreyweir_standins::kv;
use comfreyweir_testbed::{Cluster, Link, Process, Usage, gate_name, planner_name};

use crate::LoadError;

/// Values by name.
pub type Values = BTreeMap<String, f64>;

/// Counters of a cluster at one moment.
pub struct Sample {
    at: Instant,
    gates: Vec<Usage>,
    planners: Vec<Usage>,
    kv: kv::Counts,
    gate_kv_bytes: f64,
    gate_peer_bytes: f64,
    planner_kv_bytes: Vec<f64>,
    holder: Option<usize>,
    holder_bytes: f64,
    engine_bytes: f64,
}

impl Sample {
    /// Reads all counters.
    pub async fn take(cluster: &Cluster) -> Result<Self, LoadError> {
        let spec = cluster.spec();
        let usage = |name: String| cluster.process(&name).and_then(Process::usage);
        let gates = (0..spec.gates).map(|i| usage(gate_name(i)));
        let planners = (0..spec.planners).map(|i| usage(planner_name(i)));
        let holder = holder(cluster).await;
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
            at: Instant::now(),
        };
        if spec.proxied {
            sample.take_links(cluster).await?;
        }
        Ok(sample)
    }

    async fn take_links(&mut self, cluster: &Cluster) -> Result<(), LoadError> {
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

    /// Rates a second since an earlier sample, and memory now, for each role.
    #[allow(clippy::cast_precision_loss)]
    pub fn since(&self, before: &Self) -> Values {
        let seconds = (self.at - before.at).as_secs_f64();
        let rate = |now: f64, then: f64| (now - then) / seconds;
        let count = |now: u64, then: u64| (now - then) as f64 / seconds;
        let gates = self.gates.len() as f64;
        let mut values = Values::new();
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
        // Each byte passes two gates.
        set(
            "gate to gates, B/s",
            2.0 * rate(self.gate_peer_bytes, before.gate_peer_bytes) / gates,
        );
        set(
            "gate to holder, B/s",
            rate(self.holder_bytes, before.holder_bytes) / gates,
        );
        // Requests pass these links as well; in idle clusters they carry reports only.
        set(
            "holder to engines, B/s",
            rate(self.engine_bytes, before.engine_bytes),
        );
        for (index, (now, then)) in self.planners.iter().zip(&before.planners).enumerate() {
            let role = if Some(index) == self.holder {
                "holder"
            } else if Some(index) == standby(self.holder, self.planners.len()) {
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
        set("key-value reads, /s", count(now.reads, then.reads));
        set("key-value writes, /s", count(now.writes, then.writes));
        set(
            "key-value watches started, /s",
            count(now.watches, then.watches),
        );
        set("key-value lease calls, /s", count(now.leases, then.leases));
        set("key-value watches waiting", now.waiting as f64);
        values
    }
}

/// Lets a cluster run for a while and returns its figures over that time.
pub async fn over(
    cluster: &Cluster,
    settle: Duration,
    length: Duration,
) -> Result<Values, LoadError> {
    actix_rt::time::sleep(settle).await;
    let before = Sample::take(cluster).await?;
    actix_rt::time::sleep(length).await;
    Ok(Sample::take(cluster).await?.since(&before))
}

/// The planner that holds the cell, by its own page.
pub async fn holder(cluster: &Cluster) -> Option<usize> {
    for index in 0..cluster.spec().planners {
        let page = cluster.planner_admin(index).get("/status").await.ok()?;
        if page.json()["cells"][0]["held_here"] == true {
            return Some(index);
        }
    }
    None
}

/// The planner that stands for those that hold nothing.
fn standby(holder: Option<usize>, planners: usize) -> Option<usize> {
    (0..planners).find(|index| Some(*index) != holder)
}

fn total_cpu(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.cpu_seconds).sum()
}

#[allow(clippy::cast_precision_loss)]
fn mean_mb(usages: &[Usage]) -> f64 {
    let total: u64 = usages.iter().map(|usage| usage.resident_kb).sum();
    total as f64 / 1024.0 / usages.len().max(1) as f64
}

/// Bytes that the open connections of a listening address have carried, in both directions.
///
/// Gates call the holder at its own address, which no proxy stands before. `ss` reads the
/// kernel's counters; without it the figure is zero.
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
