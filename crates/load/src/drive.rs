//! Runs open-loop load against a cluster of real daemons.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use comfreyweir_standins::timeline;
use comfreyweir_testbed::{Caller, Cluster, ClusterSpec, Programs, StreamedAnswer};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

use crate::{
    LoadError,
    arrivals::{self, Arrival, LoadSpec},
    deployment::Deployment,
    report::{self, Allowance, Outcome, Report},
};

/// Starts a cluster of the deployment's size, sends it the load and reports the results.
pub async fn run(
    deployment: &Deployment,
    load: LoadSpec,
    programs: &Programs,
) -> Result<Report, LoadError> {
    let tokens_per_second = load.rate * arrivals::mean_request_tokens();
    let spec = deployment.cluster(tokens_per_second, load.seed);
    let allowances = workspace_allowances(&spec);
    let cluster = Cluster::start(spec, programs).await?;
    let arrivals = arrivals::draw_arrivals(deployment, load);
    let outcomes = send_all(&cluster, arrivals).await;
    let records = cluster.engine_records().await?;
    let mut report = report::build_report(&outcomes, &records, &allowances, load.length);
    deployment.name.clone_into(&mut report.deployment);
    report.seed = load.seed;
    Ok(report)
}

fn workspace_allowances(spec: &ClusterSpec) -> BTreeMap<String, Allowance> {
    let workspaces = spec.catalog.workspaces.iter();
    let allowances = workspaces.map(|(name, workspace)| {
        let allowance = Allowance {
            rate: workspace.rate,
            burst: workspace.burst,
        };
        (name.clone(), allowance)
    });
    allowances.collect()
}

/// Sends each request at its arrival time, without waiting for earlier ones to finish.
pub async fn send_all(cluster: &Cluster, arrivals: Vec<Arrival>) -> Vec<Outcome> {
    let mut callers: BTreeMap<(usize, String), Rc<Caller>> = BTreeMap::new();
    let start = Instant::now();
    let requests = arrivals.into_iter().map(|arrival| {
        let caller_key = (arrival.gate, arrival.workspace.clone());
        let caller = callers
            .entry(caller_key)
            .or_insert_with(|| Rc::new(cluster.caller(arrival.gate, &arrival.workspace)));
        let caller = Rc::clone(caller);
        actix_rt::spawn(async move {
            sleep_until(start + Duration::from_micros(arrival.at_us)).await;
            send_request(&caller, arrival).await
        })
    });
    let requests: Vec<_> = requests.collect();
    join_all(requests).await.into_iter().flatten().collect()
}

async fn send_request(caller: &Caller, arrival: Arrival) -> Outcome {
    let sent_us = timeline::now_us();
    let prompt = build_prompt(&arrival);
    let answer = caller.stream(&arrival.model, &prompt, arrival.max_tokens);
    match answer.await {
        Ok(streamed) => build_outcome(arrival, sent_us, &streamed),
        Err(_) => build_outcome(arrival, sent_us, &StreamedAnswer::default()),
    }
}

/// Builds a prompt of the arrival's size. Prompts of one workspace and model share a prefix, as
/// those of one application do, and end with the arrival time, which makes them differ.
fn build_prompt(arrival: &Arrival) -> String {
    let head = format!("{} {} ", arrival.workspace, arrival.model);
    let filler = "history of machines, parts and visits; ".chars().cycle();
    let tail = format!(" {}", arrival.at_us);
    let filler_len = arrival.prompt_bytes.saturating_sub(head.len() + tail.len());
    let filler: String = filler.take(filler_len).collect();
    head + &filler + &tail
}

fn build_outcome(arrival: Arrival, sent_us: u64, streamed: &StreamedAnswer) -> Outcome {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let answered = streamed.first_chunk_delay.is_some();
    let error = streamed.error.as_ref().map(|error| &error["error"]["code"]);
    let code = error.and_then(|code| code.as_str()).unwrap_or_default();
    Outcome {
        arrival,
        sent_us,
        status: if answered || !code.is_empty() {
            streamed.status.as_u16()
        } else {
            0
        },
        code: code.to_owned(),
        whole: streamed.done,
        first_us: streamed.first_chunk_delay.map(micros),
        longest_gap_us: streamed
            .chunk_intervals
            .iter()
            .copied()
            .map(micros)
            .max()
            .unwrap_or(0),
    }
}
