//! A leaving upstream receives no new requests, and graceful shutdowns interrupt no request.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use awc::http::StatusCode;
use comfreyweir_external::instances::InstanceState;
use comfreyweir_standins::engine::RequestRecord;
use futures_util::future::join_all;
use support::{Caller, Cluster, ClusterSpec, gate_name, planner_name, start, until};

mod support;

const PROMPT: &str = "Which parts does forklift 17 need?";
const LIMIT: Duration = Duration::from_secs(10);
/// Time after which a leaving upstream receives no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn spec(gates: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::new(gates)
        .engines(2, 1_000)
        .model("assistant", 800, 2)
        .workspace("lodz", 1_000_000, 1_000_000);
    for engine in &mut spec.engines {
        engine.settings.slots = 2;
        engine.settings.times.token_us = 10_000;
    }
    spec
}

/// Callers that send requests back to back, each on connections of its own, until they are stopped.
struct LoadGenerator {
    is_running: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<usize>>,
}

impl LoadGenerator {
    /// Starts three callers per gate.
    fn start(cluster: &Cluster, gates: &[usize]) -> Self {
        let is_running = Rc::new(Cell::new(true));
        let tasks = gates.iter().map(|gate| {
            let caller = || cluster.caller(*gate, "lodz");
            let callers = [caller(), caller(), caller()];
            actix_rt::spawn(send_until_stopped(callers, Rc::clone(&is_running)))
        });
        Self {
            tasks: tasks.collect(),
            is_running,
        }
    }

    /// Stops the callers and returns the number of complete answers.
    async fn stop(self) -> usize {
        self.is_running.set(false);
        let answers = join_all(self.tasks).await;
        answers.into_iter().map(Result::unwrap).sum()
    }
}

async fn send_until_stopped(callers: [Caller; 3], is_running: Rc<Cell<bool>>) -> usize {
    let send_loop = async |caller: &Caller, stream: bool| {
        let mut answers = 0;
        while is_running.get() {
            if stream {
                let streamed = caller.stream("assistant", PROMPT, 16).await.unwrap();
                assert!(streamed.done, "{streamed:?}");
                assert_eq!(streamed.chunks, 16);
            } else {
                let answer = caller.chat("assistant", PROMPT, 16).await.unwrap();
                assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
            }
            answers += 1;
        }
        answers
    };
    let [a, b, c] = &callers;
    let (a, b, c) = tokio::join!(send_loop(a, true), send_loop(b, true), send_loop(c, false));
    a + b + c
}

async fn engine_requests(cluster: &Cluster, engine: &str) -> Vec<RequestRecord> {
    cluster.engine_record(engine).await.unwrap().requests
}

/// Sends bursts of requests until both engines have a replica.
async fn load_both_replicas(cluster: &Cluster) {
    let caller = cluster.caller(0, "lodz");
    let both_engines_used = async || {
        let burst = (0..40).map(|_| caller.chat("assistant", PROMPT, 16));
        join_all(burst).await;
        let records = cluster.engine_records().await.unwrap();
        records.iter().all(|r| !r.requests.is_empty())
    };
    until(LIMIT, "requests on both engines", both_engines_used)
        .await
        .unwrap();
}

fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_micros()).unwrap()
}

#[actix_rt::test]
async fn leaving_upstream_gets_no_new_work_though_the_list_lags() {
    let mut spec = spec(2);
    spec.list_lag_ms = 500;
    let cluster = start(spec).await;
    load_both_replicas(&cluster).await;
    let load = LoadGenerator::start(&cluster, &[0, 1]);
    let count_before = engine_requests(&cluster, "engine-1").await.len();
    let load_arrived = async || engine_requests(&cluster, "engine-1").await.len() > count_before;
    until(LIMIT, "load on the engine", load_arrived)
        .await
        .unwrap();
    cluster
        .set_state("engine-1", InstanceState::Leaving)
        .await
        .unwrap();
    let limit_us = now_us() + u64::try_from(LEAVING_LIMIT.as_micros()).unwrap();
    // The load continues for a second after the limit.
    let limit_passed = async || now_us() > limit_us + 1_000_000;
    until(LIMIT, "the end of the load", limit_passed)
        .await
        .unwrap();
    let answers = load.stop().await;
    let late = engine_requests(&cluster, "engine-1").await;
    let late = late.iter().filter(|r| r.at_us > limit_us).count();
    assert_eq!(late, 0, "new requests on a leaving engine");
    let other_engine = engine_requests(&cluster, "engine-0").await;
    assert!(other_engine.iter().any(|r| r.at_us > limit_us));
    assert!(answers > 0);
}

#[actix_rt::test]
async fn gates_and_planners_stop_one_after_another_without_cutting_a_request() {
    let mut cluster = start(spec(3)).await;
    load_both_replicas(&cluster).await;
    // Like a load balancer, the test stops sending to a gate once it is unready. The load on the
    // last gate continues throughout.
    let steady_load = LoadGenerator::start(&cluster, &[2]);
    for gate in 0..2 {
        let load = LoadGenerator::start(&cluster, &[gate]);
        let in_flight = async || {
            let metrics = cluster.metrics(gate).await.unwrap();
            metrics.sum("comfreyweir_gate_in_flight", &[]) >= 3.0
        };
        until(LIMIT, "load on the gate", in_flight).await.unwrap();
        let name = gate_name(gate);
        let admin = cluster.admin(gate);
        let process = cluster.process_mut(&name).unwrap();
        let stop_load_when_unready = async {
            let unready = async || {
                let ready = admin.get("/readyz").await;
                ready.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
            };
            until(LIMIT, "an unready gate", unready).await.unwrap();
            load.stop().await
        };
        let (status, answers) = tokio::join!(process.terminate(LIMIT), stop_load_when_unready);
        assert!(status.unwrap().success(), "{}", process.log_tail());
        assert!(answers > 0);
        let planner = planner_name(gate);
        let process = cluster.process_mut(&planner).unwrap();
        let status = process.terminate(LIMIT).await.unwrap();
        assert!(status.success(), "{}", process.log_tail());
    }
    assert!(steady_load.stop().await > 0);
}

#[actix_rt::test]
async fn idle_connections_end_and_long_streams_do_not_when_a_gate_stops() {
    let mut spec = spec(1);
    for engine in &mut spec.engines {
        engine.settings.output_tokens = 60;
        engine.settings.times.token_us = 30_000;
    }
    let mut cluster = start(spec).await;
    let idle_caller = cluster.caller(0, "lodz");
    let answer = idle_caller.chat("assistant", PROMPT, 2).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let streaming = cluster.caller(0, "lodz");
    let stream = actix_rt::spawn(async move { streaming.stream("assistant", PROMPT, 60).await });
    let running = async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_in_flight", &[]) >= 1.0
    };
    until(LIMIT, "a running stream", running).await.unwrap();
    let process = cluster.process_mut("gate-0").unwrap();
    let status = process.terminate(LIMIT).await.unwrap();
    assert!(status.success(), "{}", process.log_tail());
    let streamed = stream.await.unwrap().unwrap();
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.chunks, 60);
}
