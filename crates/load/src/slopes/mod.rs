//! How processor time, memory and messages of each role grow with the size of the fleet.
//!
//! Each series varies one size and keeps the others. Every point is a fresh cluster of real
//! processes with the periods that daemons have by default.

mod sample;

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use comfreyweir_config::settings::{GateTiming, PlannerTiming, RequestLimits};
use comfreyweir_external::kv::Kv;
use comfreyweir_testbed::{Caller, Cluster, ClusterSpec, Programs, judge, until};
use futures_util::{FutureExt, StreamExt, future::join_all};
use serde::{Deserialize, Serialize};

pub use self::sample::{Values, holder, over};
use crate::{LoadError, error::UsageSnafu, fit::Line};

const SETTLE: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(6);
const LIMIT: Duration = Duration::from_secs(30);
pub(crate) const WORKSPACE: &str = "measured";
/// A rate that no series reaches, in tokens a second.
const AMPLE: u64 = 100_000_000;
const PROMPT: &str =
    "A prompt of eighty bytes, which is twenty tokens by the count of the stand-ins..";

/// One varied size with all that was measured.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Series {
    /// Name, as `--only` takes it.
    pub name: String,
    /// What the size counts.
    pub size: String,
    /// Lines by the name of the value.
    pub lines: BTreeMap<String, Line>,
}

/// All series.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Slopes {
    /// The series.
    pub series: Vec<Series>,
}

struct Plan {
    name: &'static str,
    size: &'static str,
    sizes: &'static [usize],
}

const PLANS: &[Plan] = &[
    Plan {
        name: "fleet",
        size: "entry instances, idle",
        sizes: &[2, 4, 8, 12, 16],
    },
    Plan {
        name: "engines",
        size: "engines, idle",
        sizes: &[4, 8, 16, 32, 64],
    },
    Plan {
        name: "catalog",
        size: "models and adapters, idle",
        sizes: &[500, 2_000, 4_000, 8_000, 13_600],
    },
    Plan {
        name: "requests",
        size: "requests a second of one token through one gate",
        sizes: &[50, 100, 200, 400],
    },
    Plan {
        name: "tokens",
        size: "streamed tokens a second through one gate",
        sizes: &[1_000, 2_000, 4_000, 8_000],
    },
    Plan {
        name: "streaming",
        size: "requests that stream through one gate",
        sizes: &[100, 200, 400, 800],
    },
    Plan {
        name: "waiting",
        size: "requests that wait at one gate",
        sizes: &[100, 200, 400, 800],
    },
    Plan {
        name: "wakes",
        size: "cold starts in ten seconds",
        sizes: &[5, 10, 20, 40],
    },
];

/// Measures all series, or the one that is named.
pub async fn measure(programs: &Programs, only: Option<&str>) -> Result<Slopes, LoadError> {
    let wanted = |plan: &&Plan| only.is_none_or(|name| name == plan.name);
    let mut slopes = Slopes::default();
    for plan in PLANS.iter().filter(wanted) {
        slopes.series.push(series(plan, programs).await?);
    }
    if slopes.series.is_empty() {
        let names: Vec<&str> = PLANS.iter().map(|plan| plan.name).collect();
        let what = format!("--only takes one of {}", names.join(", "));
        return UsageSnafu { what }.fail();
    }
    Ok(slopes)
}

async fn series(plan: &Plan, programs: &Programs) -> Result<Series, LoadError> {
    let mut points: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for size in plan.sizes {
        let values = point(plan.name, *size, programs).await?;
        eprintln!("{} at {size}: {values:?}", plan.name);
        for (name, value) in values {
            #[allow(clippy::cast_precision_loss)]
            let at = *size as f64;
            points.entry(name).or_default().push((at, value));
        }
    }
    let lines = points.into_iter();
    Ok(Series {
        name: plan.name.to_owned(),
        size: plan.size.to_owned(),
        lines: lines
            .map(|(name, points)| (name, Line::fit(&points)))
            .collect(),
    })
}

async fn point(series: &str, size: usize, programs: &Programs) -> Result<Values, LoadError> {
    match series {
        "fleet" => idle(spec(size, 4).proxied(), programs).await,
        "engines" => idle(spec(3, size).proxied(), programs).await,
        "catalog" => catalog(size, programs).await,
        "requests" => requests(size, programs).await,
        "tokens" => tokens(size, programs).await,
        "streaming" => streaming(size, programs).await,
        "waiting" => waiting(size, programs).await,
        _ => wakes(size, programs).await,
    }
}

/// A cluster with the default periods and nothing loaded.
fn spec(instances: usize, engines: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::new(instances).engines(engines, 100_000);
    spec.gate_timing = GateTiming::default();
    spec.planner_timing = PlannerTiming::default();
    spec.limits = RequestLimits::default();
    spec.weights.loads_per_second = 1_000.0;
    for engine in &mut spec.engines {
        engine.settings.record = false;
    }
    spec.model("served", 100, 1)
        .workspace(WORKSPACE, AMPLE, AMPLE)
}

/// One gate and two planners before engines with ample slots.
pub(crate) fn one_gate() -> ClusterSpec {
    let mut spec = spec(1, 4);
    spec.planners = 2;
    spec.limits.waiting = 10_000;
    for engine in &mut spec.engines {
        engine.settings.slots = 10_000;
        engine.settings.queue = 10_000;
        engine.settings.output_tokens = u32::MAX;
        engine.settings.times.first_token_us = 1_000;
    }
    if let Some(model) = spec.catalog.models.get_mut("served") {
        model.max_output_tokens = 1_000_000;
    }
    spec
}

async fn idle(spec: ClusterSpec, programs: &Programs) -> Result<Values, LoadError> {
    let cluster = Cluster::start(spec, programs).await?;
    over(&cluster, SETTLE, LENGTH).await
}

async fn catalog(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    let mut spec = spec(2, 4).proxied();
    for index in 0..size * 2 / 17 {
        spec = spec.model(&format!("model-{index}"), 100, 1);
    }
    for index in 0..size - size * 2 / 17 {
        spec = spec.adapter(&format!("adapter-{index}"), "served", 1);
    }
    let mut cluster = Cluster::start(spec, programs).await?;
    let mut values = over(&cluster, SETTLE, LENGTH).await?;
    let written_before = cluster.kv_counts().await?.written_bytes;
    let mut changed = cluster.full_catalog();
    if let Some(key) = changed.keys.values_mut().next() {
        key.withdrawn = true;
    }
    let start = Instant::now();
    cluster.publish(&changed).await?;
    let published = start.elapsed();
    let refused = async || {
        refuses(&cluster.caller(0, WORKSPACE)).await && refuses(&cluster.caller(1, WORKSPACE)).await
    };
    until(LIMIT, "the withdrawn key is refused", refused).await?;
    #[allow(clippy::cast_precision_loss)]
    let written = (cluster.kv_counts().await?.written_bytes - written_before) as f64;
    values.insert("published, s".to_owned(), published.as_secs_f64());
    values.insert(
        "in force at both gates, s".to_owned(),
        start.elapsed().as_secs_f64(),
    );
    values.insert("written for one change, kB".to_owned(), written / 1_000.0);
    Ok(values)
}

async fn refuses(caller: &Caller) -> bool {
    let answer = caller.get("/v1/models").await;
    answer.is_ok_and(|answer| answer.status.as_u16() == 401)
}

pub(crate) async fn warm(cluster: &Cluster) -> Result<(), LoadError> {
    cluster
        .caller(0, WORKSPACE)
        .chat("served", PROMPT, 1)
        .await?;
    Ok(())
}

/// Open-loop requests of some tokens while the cluster is measured.
async fn load(cluster: &Cluster, per_second: f64, tokens: u32) -> Result<Values, LoadError> {
    warm(cluster).await?;
    let caller = cluster.caller(0, WORKSPACE);
    let sending = actix_rt::spawn(async move {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
        loop {
            ticks.tick().await;
            let caller = caller.clone();
            actix_rt::spawn(async move { caller.stream("served", PROMPT, tokens).await });
        }
    });
    let before = delivered(cluster).await?;
    let start = Instant::now();
    let mut values = over(cluster, SETTLE, LENGTH).await?;
    let tokens = delivered(cluster).await? - before;
    let rate = tokens / start.elapsed().as_secs_f64();
    values.insert("delivered tokens with prompts, /s".to_owned(), rate);
    sending.abort();
    Ok(values)
}

/// Tokens that the engines have given to the workspace so far.
#[allow(clippy::cast_precision_loss)]
async fn delivered(cluster: &Cluster) -> Result<f64, LoadError> {
    let records = cluster.engine_records().await?;
    Ok(judge::tokens(&records, WORKSPACE) as f64)
}

async fn requests(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    let cluster = Cluster::start(one_gate(), programs).await?;
    #[allow(clippy::cast_precision_loss)]
    load(&cluster, size as f64, 1).await
}

async fn tokens(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    const TOKENS: u32 = 100;
    let mut spec = one_gate();
    for engine in &mut spec.engines {
        engine.settings.times.token_us = 10_000;
    }
    let cluster = Cluster::start(spec, programs).await?;
    #[allow(clippy::cast_precision_loss)]
    load(&cluster, size as f64 / f64::from(TOKENS), TOKENS).await
}

async fn streaming(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    let mut spec = one_gate();
    for engine in &mut spec.engines {
        engine.settings.times.token_us = 1_000_000;
    }
    let cluster = Cluster::start(spec, programs).await?;
    warm(&cluster).await?;
    let caller = cluster.caller(0, WORKSPACE);
    let opened = (0..size).map(|_| open(&caller));
    let streams = join_all(opened).await;
    let open: Vec<_> = streams.into_iter().flatten().collect();
    let mut values = over(&cluster, SETTLE, LENGTH).await?;
    #[allow(clippy::cast_precision_loss)]
    values.insert("open streams".to_owned(), open.len() as f64);
    Ok(values)
}

/// Opens a stream and reads its first chunk; `None` when it is refused.
async fn open(caller: &Caller) -> Option<impl Sized + use<>> {
    let body = serde_json::json!({
        "model": "served",
        "messages": [{ "role": "user", "content": PROMPT }],
        "max_tokens": 1_000,
        "stream": true,
    });
    let req = caller.request(awc::http::Method::POST, "/v1/chat/completions");
    let mut res = req.send_json(&body).await.ok()?;
    res.next().await?.ok()?;
    Some(res)
}

async fn waiting(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    let mut spec = one_gate();
    for engine in &mut spec.engines {
        engine.settings.times.load_remote_ms = 45_000;
    }
    let cluster = Cluster::start(spec, programs).await?;
    let caller = cluster.caller(0, WORKSPACE);
    let waiting = (0..size).map(|_| {
        let caller = caller.clone();
        actix_rt::spawn(async move { caller.stream("served", PROMPT, 1).await })
    });
    let mut waiting: Vec<_> = waiting.collect();
    let mut values = over(&cluster, SETTLE, LENGTH).await?;
    let still = waiting
        .iter_mut()
        .filter_map(|task| task.now_or_never().is_none().then_some(()));
    #[allow(clippy::cast_precision_loss)]
    let still = still.count() as f64;
    values.insert("still waiting".to_owned(), still);
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(values)
}

/// First requests of ever new models, at four gates in turn.
async fn wakes(size: usize, programs: &Programs) -> Result<Values, LoadError> {
    const GATES: usize = 4;
    const SECONDS: f64 = 10.0;
    let mut spec = spec(GATES, 16).proxied();
    for index in 0..size * 2 {
        spec = spec.model(&format!("model-{index}"), 100, 1);
    }
    let cluster = Cluster::start(spec, programs).await?;
    let callers: Vec<_> = (0..GATES).map(|i| cluster.caller(i, WORKSPACE)).collect();
    #[allow(clippy::cast_precision_loss)]
    let period = Duration::from_secs_f64(SECONDS / size as f64);
    let sending = actix_rt::spawn(async move {
        let mut ticks = tokio::time::interval(period);
        for index in 0.. {
            ticks.tick().await;
            let caller = callers[index % GATES].clone();
            let model = format!("model-{index}");
            actix_rt::spawn(async move { caller.chat(&model, PROMPT, 1).await });
        }
    });
    let mut values = over(&cluster, SETTLE, Duration::from_secs_f64(SECONDS)).await?;
    sending.abort();
    add_record(&cluster, &mut values).await;
    Ok(values)
}

/// Size of the cell record and the number of its reservations.
#[allow(clippy::cast_precision_loss)]
async fn add_record(cluster: &Cluster, values: &mut Values) {
    let Ok(Some(record)) = cluster.kv().get("cell/main").await else {
        return;
    };
    let json: serde_json::Value = serde_json::from_slice(&record.value).unwrap_or_default();
    let reservations = json["body"]["plan"]["reservations"].as_array();
    let reservations = reservations.map_or(0, Vec::len);
    values.insert("reservations".to_owned(), reservations as f64);
    values.insert("cell record, B".to_owned(), record.value.len() as f64);
}

impl fmt::Display for Slopes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for series in &self.series {
            writeln!(f, "{}: {}", series.name, series.size)?;
            writeln!(
                f,
                "  {:<36} {:>12} {:>14} {:>6}  points",
                "value", "at zero", "each", "R2"
            )?;
            for (name, line) in &series.lines {
                let points: Vec<String> = line
                    .points
                    .iter()
                    .map(|(size, value)| format!("{size}: {value:.3}"))
                    .collect();
                writeln!(
                    f,
                    "  {name:<36} {:>12.4} {:>14.6} {:>6.3}  {}",
                    line.intercept,
                    line.slope,
                    line.r2,
                    points.join(", ")
                )?;
            }
        }
        Ok(())
    }
}
