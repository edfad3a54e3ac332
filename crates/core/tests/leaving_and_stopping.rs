//! A leaving upstream receives no new work, and planned stops cut no request.

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
/// Time after which a leaving upstream receives nothing new.
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

/// Callers that ask without pause, each time on a connection of its own, until they are told to
/// stop.
struct Load {
    goes_on: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<usize>>,
}

impl Load {
    /// Starts callers of the given gates.
    fn start(cluster: &Cluster, gates: &[usize]) -> Self {
        let goes_on = Rc::new(Cell::new(true));
        let tasks = gates.iter().map(|gate| {
            let caller = || cluster.caller(*gate, "lodz");
            let callers = [caller(), caller(), caller()];
            actix_rt::spawn(ask_on(callers, Rc::clone(&goes_on)))
        });
        Self {
            tasks: tasks.collect(),
            goes_on,
        }
    }

    /// Ends the callers and gives the number of whole answers.
    async fn end(self) -> usize {
        self.goes_on.set(false);
        let answers = join_all(self.tasks).await;
        answers.into_iter().map(Result::unwrap).sum()
    }
}

async fn ask_on(callers: [Caller; 3], goes_on: Rc<Cell<bool>>) -> usize {
    let one = async |caller: &Caller, stream: bool| {
        let mut answers = 0;
        while goes_on.get() {
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
    let (a, b, c) = tokio::join!(one(a, true), one(b, true), one(c, false));
    a + b + c
}

async fn requests(cluster: &Cluster, engine: &str) -> Vec<RequestRecord> {
    cluster.engine_record(engine).await.unwrap().requests
}

/// Puts a replica on both engines.
async fn warm(cluster: &Cluster) {
    let caller = cluster.caller(0, "lodz");
    let both = async || {
        let burst = (0..40).map(|_| caller.chat("assistant", PROMPT, 16));
        join_all(burst).await;
        let records = cluster.engine_records().await.unwrap();
        records.iter().all(|r| !r.requests.is_empty())
    };
    until(LIMIT, "requests on both engines", both)
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
    warm(&cluster).await;
    let load = Load::start(&cluster, &[0, 1]);
    let before = requests(&cluster, "engine-1").await.len();
    let asked = async || requests(&cluster, "engine-1").await.len() > before;
    until(LIMIT, "load on the engine", asked).await.unwrap();
    cluster
        .set_state("engine-1", InstanceState::Leaving)
        .await
        .unwrap();
    let limit = now_us() + u64::try_from(LEAVING_LIMIT.as_micros()).unwrap();
    // Load goes on well past the limit.
    let past = async || now_us() > limit + 1_000_000;
    until(LIMIT, "the time after the limit", past)
        .await
        .unwrap();
    let answers = load.end().await;
    let late = requests(&cluster, "engine-1").await;
    let late = late.iter().filter(|r| r.at_us > limit).count();
    assert_eq!(late, 0, "new work on a leaving engine");
    let on = requests(&cluster, "engine-0").await;
    assert!(on.iter().any(|r| r.at_us > limit));
    assert!(answers > 0);
}

#[actix_rt::test]
async fn gates_and_planners_stop_one_after_another_without_cutting_a_request() {
    let mut cluster = start(spec(3)).await;
    warm(&cluster).await;
    // A balancer sends new callers elsewhere once a gate is unready; load on the other gates goes
    // on throughout.
    let steady = Load::start(&cluster, &[2]);
    for gate in 0..2 {
        let load = Load::start(&cluster, &[gate]);
        let in_flight = async || {
            let metrics = cluster.metrics(gate).await.unwrap();
            metrics.sum("comfreyweir_gate_in_flight", &[]) >= 3.0
        };
        until(LIMIT, "load on the gate", in_flight).await.unwrap();
        let name = gate_name(gate);
        let admin = cluster.admin(gate);
        let process = cluster.process_mut(&name).unwrap();
        let balancer = async {
            let unready = async || {
                let ready = admin.get("/readyz").await;
                ready.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
            };
            until(LIMIT, "an unready gate", unready).await.unwrap();
            load.end().await
        };
        let (status, answers) = tokio::join!(process.terminate(LIMIT), balancer);
        assert!(status.unwrap().success(), "{}", process.log_tail());
        assert!(answers > 0);
        let planner = planner_name(gate);
        let process = cluster.process_mut(&planner).unwrap();
        let status = process.terminate(LIMIT).await.unwrap();
        assert!(status.success(), "{}", process.log_tail());
    }
    assert!(steady.end().await > 0);
}

#[actix_rt::test]
async fn idle_connections_end_and_long_streams_do_not_when_a_gate_stops() {
    let mut spec = spec(1);
    for engine in &mut spec.engines {
        engine.settings.output_tokens = 60;
        engine.settings.times.token_us = 30_000;
    }
    let mut cluster = start(spec).await;
    let idle = cluster.caller(0, "lodz");
    let answer = idle.chat("assistant", PROMPT, 2).await.unwrap();
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
