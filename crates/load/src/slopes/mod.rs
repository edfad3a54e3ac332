//! Measures how processor time, memory and message traffic of each role scale with fleet size.
//!
//! Each series varies one size and keeps the others fixed. Every point starts a new cluster of
//! real processes with the default intervals of the daemons.

mod sample;

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use comfreyweir_config::settings::{GateTiming, PlannerTiming, RequestLimits};
use comfreyweir_external::kv::Kv;
use comfreyweir_testbed::{Caller, Cluster, ClusterSpec, Programs, record_checks, until};
use futures_util::{FutureExt, StreamExt, future::join_all};
use serde::{Deserialize, Serialize};

pub use self::sample::{Measurements, find_holder, measure_over};
use crate::{LoadError, error::UsageSnafu, fit::Line};

const SETTLE_DELAY: Duration = Duration::from_secs(3);
const MEASURING_TIME: Duration = Duration::from_secs(6);
const KEY_REFUSAL_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const WORKSPACE: &str = "measured";
/// Rate in tokens per second, and burst in tokens, high enough that no series is rate-limited.
const UNREACHED_TOKEN_RATE: u64 = 100_000_000;
const PROMPT: &str =
    "A prompt of eighty bytes, which is twenty tokens by the count of the stand-ins..";

/// Fitted lines of one series, in which a single size varies.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Series {
    /// Name, as given to `--only`.
    pub name: String,
    /// What the varied size counts.
    pub size: String,
    /// Fitted lines by name of the measured value.
    pub lines: BTreeMap<String, Line>,
}

/// Results of all measured series.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Slopes {
    /// In the order in which they were measured.
    pub series: Vec<Series>,
}

struct SeriesSpec {
    name: &'static str,
    size: &'static str,
    sizes: &'static [usize],
}

const ALL_SERIES: &[SeriesSpec] = &[
    SeriesSpec {
        name: "fleet",
        size: "entry instances, idle",
        sizes: &[2, 4, 8, 12, 16],
    },
    SeriesSpec {
        name: "engines",
        size: "engines, idle",
        sizes: &[4, 8, 16, 32, 64],
    },
    SeriesSpec {
        name: "catalog",
        size: "models and adapters, idle",
        sizes: &[500, 2_000, 4_000, 8_000, 13_600],
    },
    SeriesSpec {
        name: "requests",
        size: "requests a second of one token through one gate",
        sizes: &[50, 100, 200, 400],
    },
    SeriesSpec {
        name: "tokens",
        size: "streamed tokens a second through one gate",
        sizes: &[1_000, 2_000, 4_000, 8_000],
    },
    SeriesSpec {
        name: "streaming",
        size: "requests that stream through one gate",
        sizes: &[100, 200, 400, 800],
    },
    SeriesSpec {
        name: "waiting",
        size: "requests that wait at one gate",
        sizes: &[100, 200, 400, 800],
    },
    SeriesSpec {
        name: "wakes",
        size: "cold starts in ten seconds",
        sizes: &[5, 10, 20, 40],
    },
];

/// Measures all series, or only the one named by `only`.
///
/// Fails with a usage error if no series has that name.
pub async fn measure(programs: &Programs, only: Option<&str>) -> Result<Slopes, LoadError> {
    let selected = |spec: &&SeriesSpec| only.is_none_or(|name| name == spec.name);
    let mut slopes = Slopes::default();
    for spec in ALL_SERIES.iter().filter(selected) {
        slopes.series.push(measure_series(spec, programs).await?);
    }
    if slopes.series.is_empty() {
        let names: Vec<&str> = ALL_SERIES.iter().map(|spec| spec.name).collect();
        let what = format!("--only takes one of {}", names.join(", "));
        return UsageSnafu { what }.fail();
    }
    Ok(slopes)
}

async fn measure_series(spec: &SeriesSpec, programs: &Programs) -> Result<Series, LoadError> {
    let mut points: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for size in spec.sizes {
        let values = measure_point(spec.name, *size, programs).await?;
        eprintln!("{} at {size}: {values:?}", spec.name);
        for (name, value) in values {
            #[allow(clippy::cast_precision_loss)]
            let x = *size as f64;
            points.entry(name).or_default().push((x, value));
        }
    }
    let lines = points.into_iter();
    Ok(Series {
        name: spec.name.to_owned(),
        size: spec.size.to_owned(),
        lines: lines
            .map(|(name, points)| (name, Line::fit(&points)))
            .collect(),
    })
}

async fn measure_point(
    series: &str,
    size: usize,
    programs: &Programs,
) -> Result<Measurements, LoadError> {
    match series {
        "fleet" => measure_idle(base_spec(size, 4).proxied(), programs).await,
        "engines" => measure_idle(base_spec(3, size).proxied(), programs).await,
        "catalog" => measure_catalog(size, programs).await,
        "requests" => measure_requests(size, programs).await,
        "tokens" => measure_tokens(size, programs).await,
        "streaming" => measure_streaming(size, programs).await,
        "waiting" => measure_waiting(size, programs).await,
        _ => measure_cold_starts(size, programs).await,
    }
}

/// A cluster with the default intervals in which no model is loaded yet.
fn base_spec(instances: usize, engines: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::new(instances).engines(engines, 100_000);
    spec.gate_timing = GateTiming::default();
    spec.planner_timing = PlannerTiming::default();
    spec.limits = RequestLimits::default();
    spec.weights.loads_per_second = 1_000.0;
    for engine in &mut spec.engines {
        engine.settings.record = false;
    }
    spec.model("served", 100, 1)
        .workspace(WORKSPACE, UNREACHED_TOKEN_RATE, UNREACHED_TOKEN_RATE)
}

/// One gate and two planners, with engines whose slots and queues never fill up.
pub(crate) fn one_gate_spec() -> ClusterSpec {
    let mut spec = base_spec(1, 4);
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

async fn measure_idle(spec: ClusterSpec, programs: &Programs) -> Result<Measurements, LoadError> {
    let cluster = Cluster::start(spec, programs).await?;
    measure_over(&cluster, SETTLE_DELAY, MEASURING_TIME).await
}

async fn measure_catalog(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    let mut spec = base_spec(2, 4).proxied();
    // Two in 17 artifacts are models, the others adapters.
    for index in 0..size * 2 / 17 {
        spec = spec.model(&format!("model-{index}"), 100, 1);
    }
    for index in 0..size - size * 2 / 17 {
        spec = spec.adapter(&format!("adapter-{index}"), "served", 1);
    }
    let mut cluster = Cluster::start(spec, programs).await?;
    let mut values = measure_over(&cluster, SETTLE_DELAY, MEASURING_TIME).await?;
    let written_before = cluster.kv_counts().await?.written_bytes;
    let mut changed = cluster.full_catalog();
    if let Some(key) = changed.keys.values_mut().next() {
        key.withdrawn = true;
    }
    let start = Instant::now();
    cluster.publish(&changed).await?;
    let published = start.elapsed();
    let refused_by_both = async || {
        refuses_key(&cluster.caller(0, WORKSPACE)).await
            && refuses_key(&cluster.caller(1, WORKSPACE)).await
    };
    until(
        KEY_REFUSAL_TIMEOUT,
        "the withdrawn key is refused",
        refused_by_both,
    )
    .await?;
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

async fn refuses_key(caller: &Caller) -> bool {
    let answer = caller.get("/v1/models").await;
    answer.is_ok_and(|answer| answer.status.as_u16() == 401)
}

pub(crate) async fn warm_up(cluster: &Cluster) -> Result<(), LoadError> {
    cluster
        .caller(0, WORKSPACE)
        .chat("served", PROMPT, 1)
        .await?;
    Ok(())
}

/// Measures the cluster under open-loop requests of `tokens` output tokens each.
async fn measure_under_load(
    cluster: &Cluster,
    per_second: f64,
    tokens: u32,
) -> Result<Measurements, LoadError> {
    warm_up(cluster).await?;
    let caller = cluster.caller(0, WORKSPACE);
    let sender = actix_rt::spawn(async move {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
        loop {
            ticks.tick().await;
            let caller = caller.clone();
            actix_rt::spawn(async move { caller.stream("served", PROMPT, tokens).await });
        }
    });
    let before = delivered_tokens(cluster).await?;
    let start = Instant::now();
    let mut values = measure_over(cluster, SETTLE_DELAY, MEASURING_TIME).await?;
    let tokens = delivered_tokens(cluster).await? - before;
    let rate = tokens / start.elapsed().as_secs_f64();
    values.insert("delivered tokens with prompts, /s".to_owned(), rate);
    sender.abort();
    Ok(values)
}

/// Tokens that the engines have served to the workspace so far, prompts included.
#[allow(clippy::cast_precision_loss)]
async fn delivered_tokens(cluster: &Cluster) -> Result<f64, LoadError> {
    let records = cluster.engine_records().await?;
    Ok(record_checks::tokens(&records, WORKSPACE) as f64)
}

async fn measure_requests(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    let cluster = Cluster::start(one_gate_spec(), programs).await?;
    #[allow(clippy::cast_precision_loss)]
    measure_under_load(&cluster, size as f64, 1).await
}

async fn measure_tokens(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    const TOKENS: u32 = 100;
    let mut spec = one_gate_spec();
    for engine in &mut spec.engines {
        engine.settings.times.token_us = 10_000;
    }
    let cluster = Cluster::start(spec, programs).await?;
    #[allow(clippy::cast_precision_loss)]
    measure_under_load(&cluster, size as f64 / f64::from(TOKENS), TOKENS).await
}

async fn measure_streaming(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    let mut spec = one_gate_spec();
    for engine in &mut spec.engines {
        engine.settings.times.token_us = 1_000_000;
    }
    let cluster = Cluster::start(spec, programs).await?;
    warm_up(&cluster).await?;
    let caller = cluster.caller(0, WORKSPACE);
    let opened = (0..size).map(|_| open_stream(&caller));
    let streams = join_all(opened).await;
    let open: Vec<_> = streams.into_iter().flatten().collect();
    let mut values = measure_over(&cluster, SETTLE_DELAY, MEASURING_TIME).await?;
    #[allow(clippy::cast_precision_loss)]
    values.insert("open streams".to_owned(), open.len() as f64);
    Ok(values)
}

/// Opens a stream and reads its first chunk. Returns `None` if the call fails or the stream ends
/// before a chunk.
async fn open_stream(caller: &Caller) -> Option<impl Sized + use<>> {
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

async fn measure_waiting(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    let mut spec = one_gate_spec();
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
    let mut values = measure_over(&cluster, SETTLE_DELAY, MEASURING_TIME).await?;
    let still_waiting = waiting
        .iter_mut()
        .filter_map(|task| task.now_or_never().is_none().then_some(()));
    #[allow(clippy::cast_precision_loss)]
    let still_waiting = still_waiting.count() as f64;
    values.insert("still waiting".to_owned(), still_waiting);
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(values)
}

/// Measures while each request names a model that nothing has requested yet, at four gates in turn.
async fn measure_cold_starts(size: usize, programs: &Programs) -> Result<Measurements, LoadError> {
    const GATES: usize = 4;
    const MEASURING_SECONDS: f64 = 10.0;
    let mut spec = base_spec(GATES, 16).proxied();
    for index in 0..size * 2 {
        spec = spec.model(&format!("model-{index}"), 100, 1);
    }
    let cluster = Cluster::start(spec, programs).await?;
    let callers: Vec<_> = (0..GATES).map(|i| cluster.caller(i, WORKSPACE)).collect();
    #[allow(clippy::cast_precision_loss)]
    let period = Duration::from_secs_f64(MEASURING_SECONDS / size as f64);
    let sender = actix_rt::spawn(async move {
        let mut ticks = tokio::time::interval(period);
        for index in 0.. {
            ticks.tick().await;
            let caller = callers[index % GATES].clone();
            let model = format!("model-{index}");
            actix_rt::spawn(async move { caller.chat(&model, PROMPT, 1).await });
        }
    });
    let mut values = measure_over(
        &cluster,
        SETTLE_DELAY,
        Duration::from_secs_f64(MEASURING_SECONDS),
    )
    .await?;
    sender.abort();
    add_cell_record(&cluster, &mut values).await;
    Ok(values)
}

/// Adds the size of the cell record and the number of its reservations, if it can be read.
#[allow(clippy::cast_precision_loss)]
async fn add_cell_record(cluster: &Cluster, values: &mut Measurements) {
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
