//! Drives a cluster of real daemons with open-loop arrivals.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use comfreyweir_standins::timeline;
use comfreyweir_testbed::{Caller, Cluster, ClusterSpec, Programs, Streamed};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

use crate::{
    LoadError,
    arrivals::{self, Arrival, Load},
    deployment::Deployment,
    report::{self, Allowance, Outcome, Report},
};

/// Runs a deployment's load against a cluster of its size.
pub async fn run(
    deployment: &Deployment,
    load: Load,
    programs: &Programs,
) -> Result<Report, LoadError> {
    let tokens_per_second = load.rate * arrivals::mean_cost();
    let spec = deployment.cluster(tokens_per_second, load.seed);
    let allowances = allowances(&spec);
    let cluster = Cluster::start(spec, programs).await?;
    let arrivals = arrivals::draw(deployment, load);
    let outcomes = send_all(&cluster, arrivals).await;
    let records = cluster.engine_records().await?;
    let mut report = report::judge(&outcomes, &records, &allowances, load.length);
    deployment.name.clone_into(&mut report.deployment);
    report.seed = load.seed;
    Ok(report)
}

fn allowances(spec: &ClusterSpec) -> BTreeMap<String, Allowance> {
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

/// Sends each arrival at its time, whatever became of the ones before it.
pub async fn send_all(cluster: &Cluster, arrivals: Vec<Arrival>) -> Vec<Outcome> {
    let mut callers: BTreeMap<(usize, String), Rc<Caller>> = BTreeMap::new();
    let start = Instant::now();
    let sent = arrivals.into_iter().map(|arrival| {
        let place = (arrival.gate, arrival.workspace.clone());
        let caller = callers
            .entry(place)
            .or_insert_with(|| Rc::new(cluster.caller(arrival.gate, &arrival.workspace)));
        let caller = Rc::clone(caller);
        actix_rt::spawn(async move {
            sleep_until(start + Duration::from_micros(arrival.at_us)).await;
            send(&caller, arrival).await
        })
    });
    let sent: Vec<_> = sent.collect();
    join_all(sent).await.into_iter().flatten().collect()
}

async fn send(caller: &Caller, arrival: Arrival) -> Outcome {
    let sent_us = timeline::now_us();
    let prompt = prompt(&arrival);
    let answer = caller.stream(&arrival.model, &prompt, arrival.max_tokens);
    match answer.await {
        Ok(streamed) => outcome(arrival, sent_us, &streamed),
        Err(_) => outcome(arrival, sent_us, &Streamed::default()),
    }
}

/// Prompts of one workspace and model begin alike, as those of one application do.
fn prompt(arrival: &Arrival) -> String {
    let head = format!("{} {} ", arrival.workspace, arrival.model);
    let filler = "history of machines, parts and visits; ".chars().cycle();
    let tail = format!(" {}", arrival.at_us);
    let room = arrival.prompt_bytes.saturating_sub(head.len() + tail.len());
    let filler: String = filler.take(room).collect();
    head + &filler + &tail
}

fn outcome(arrival: Arrival, sent_us: u64, streamed: &Streamed) -> Outcome {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let answered = streamed.first.is_some();
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
        first_us: streamed.first.map(micros),
        longest_gap_us: streamed
            .between
            .iter()
            .copied()
            .map(micros)
            .max()
            .unwrap_or(0),
    }
}
