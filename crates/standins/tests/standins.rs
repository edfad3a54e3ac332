//! Checks that the stand-ins answer as the platform's clients expect and inject the faults that are
//! set.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use awc::{Client, http::StatusCode};
use bytes::Bytes;
use comfreyweir_external::{
    engine::{Artifact, EngineControl, EngineError, LoadState, Order, OrderAction},
    kv::{Kv, KvError, RecordedValue, SwapOutcome, swap_recorded},
    kv_http::HttpKv,
};
use comfreyweir_standins::{
    engine::{self, Engine, ReplicaChangeKind, RequestOutcome, ViolationKind},
    kv, proxy,
    service::{self, FaultStage, RequestProgress},
    weights::{self, TransferKind, WeightStore},
};
use futures_util::StreamExt;
use tokio::time::{Instant, sleep, timeout};

const LOCALHOST_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(5);

fn run_kv() -> (kv::KvService, HttpKv) {
    let settings = kv::Settings {
        listen: LOCALHOST_ANY_PORT,
        control: None,
        faults: kv::Faults::default(),
    };
    let service = kv::spawn(settings).unwrap();
    let client = HttpKv::new(Client::default(), service.addr(), Duration::from_secs(1));
    (service, client)
}

fn run_engine(change: impl FnOnce(&mut engine::Settings)) -> Engine {
    let text = format!("name = \"e1\"\nlisten = \"{LOCALHOST_ANY_PORT}\"\nmemory_mb = 100\n");
    let mut settings = toml::from_str(&text).unwrap();
    change(&mut settings);
    engine::spawn(settings, WeightStore::open(weights::Settings::default())).unwrap()
}

fn run_service() -> service::PlainService {
    let settings = format!("name = \"orders\"\nlisten = \"{LOCALHOST_ANY_PORT}\"\n");
    service::spawn(toml::from_str(&settings).unwrap()).unwrap()
}

fn artifact(name: &str) -> Artifact {
    Artifact {
        name: name.to_owned(),
        version: "1".to_owned(),
        base: None,
    }
}

fn load(name: &str, memory_mb: u64, term: u64) -> Order {
    Order {
        term,
        action: OrderAction::Load {
            artifact: artifact(name),
            memory_mb,
        },
    }
}

fn control(engine: &Engine) -> EngineControl {
    EngineControl::new(Client::default(), engine.addr(), Duration::from_secs(1))
}

async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met in time");
        sleep(Duration::from_millis(2)).await;
    }
}

async fn load_and_wait(engine: &Engine, name: &str) {
    control(engine)
        .send_order(&load(name, 60, 1))
        .await
        .unwrap();
    wait_until(|| {
        let changes = engine.record().changes;
        changes.iter().any(|c| c.change == ReplicaChangeKind::Ready)
    })
    .await;
}

#[actix_rt::test]
async fn versions_increase_across_deletes() {
    let (service, client) = run_kv();
    let first = client.swap("a/b", 0, Bytes::from_static(b"1")).await;
    assert_eq!(first.unwrap(), SwapOutcome::Written(1));
    let url = format!("http://{}/v1/kv/a/b?expect=1", service.addr());
    let deleted = Client::default().delete(url).send().await.unwrap();
    assert_eq!(deleted.status(), StatusCode::OK);
    assert_eq!(client.get("a/b").await.unwrap(), None);
    let again = client.swap("a/b", 0, Bytes::from_static(b"2")).await;
    assert_eq!(again.unwrap(), SwapOutcome::Written(3));
    let stale = client.swap("a/b", 1, Bytes::from_static(b"3")).await;
    assert_eq!(stale.unwrap(), SwapOutcome::Conflict);
}

#[actix_rt::test]
async fn a_write_with_a_lost_answer_takes_effect() {
    let (service, client) = run_kv();
    service.set_faults(kv::Faults {
        lose_answers: 1,
        ..kv::Faults::default()
    });
    let lost = client.swap("k", 0, Bytes::from_static(b"1")).await;
    assert!(matches!(lost, Err(KvError::Unavailable { .. })));
    assert_eq!(client.get("k").await.unwrap().unwrap().version, 1);
    service.set_faults(kv::Faults {
        lose_answers: 1,
        ..kv::Faults::default()
    });
    let record = RecordedValue {
        write_id: "w".to_owned(),
        body: 2,
    };
    let outcome = swap_recorded(&client, "k", 1, &record).await.unwrap();
    assert_eq!(outcome, SwapOutcome::Written(2));
}

#[actix_rt::test]
async fn a_watch_returns_on_change_and_is_counted_once() {
    let (service, client) = run_kv();
    let watcher = client.clone();
    let watch = actix_rt::spawn(async move { watcher.watch("k", 0, TIMEOUT).await });
    wait_until(|| service.counts().waiting == 1).await;
    client.swap("k", 0, Bytes::from_static(b"1")).await.unwrap();
    let seen = timeout(TIMEOUT, watch).await.unwrap().unwrap().unwrap();
    assert_eq!(seen.unwrap().version, 1);
    assert_eq!(service.counts().watches, 1);
    let unchanged = client.watch("k", 1, Duration::from_millis(20)).await;
    assert_eq!(unchanged.unwrap(), None);
}

#[actix_rt::test]
async fn outages_rate_limits_and_stale_reads_are_injected() {
    let (service, client) = run_kv();
    for version in 0..3 {
        let value = Bytes::from(version.to_string());
        client.swap("k", version, value).await.unwrap();
    }
    let set = |text: &str| service.set_faults(toml::from_str(text).unwrap());
    set("stale = { prefix = \"k\", versions = 2 }");
    assert_eq!(client.get("k").await.unwrap().unwrap().version, 1);
    set("outage = \"unavailable\"");
    let down = client.get("k").await;
    assert!(matches!(down, Err(KvError::Unavailable { .. })));
    set("reads_per_second = 1.0");
    client.get("k").await.unwrap();
    let limited = client.get("k").await;
    assert!(matches!(limited, Err(KvError::RateLimited { .. })));
}

#[actix_rt::test]
async fn keys_are_removed_when_their_lease_expires() {
    let (service, client) = run_kv();
    let http = Client::default();
    let base = format!("http://{}/v1", service.addr());
    let mut granted = http
        .post(format!("{base}/lease?ttl_ms=100"))
        .send()
        .await
        .unwrap();
    let id = String::from_utf8(granted.body().await.unwrap().to_vec()).unwrap();
    let bound = http.put(format!("{base}/kv/k?expect=0&lease={id}"));
    assert_eq!(bound.send_body("1").await.unwrap().status(), StatusCode::OK);
    let renewed = http.post(format!("{base}/lease/{id}/renew")).send().await;
    assert_eq!(renewed.unwrap().status(), StatusCode::OK);
    let deadline = Instant::now() + TIMEOUT;
    while client.get("k").await.unwrap().is_some() {
        assert!(Instant::now() < deadline, "the lease did not expire");
        sleep(Duration::from_millis(10)).await;
    }
    let renewed = http.post(format!("{base}/lease/{id}/renew")).send().await;
    assert_eq!(renewed.unwrap().status(), StatusCode::NOT_FOUND);
}

#[actix_rt::test]
async fn memory_and_fencing_violations_are_refused_and_recorded() {
    let engine = run_engine(|_| {});
    let control = control(&engine);
    control.send_order(&load("a", 60, 2)).await.unwrap();
    let over_memory = control.send_order(&load("b", 60, 2)).await;
    assert!(matches!(over_memory, Err(EngineError::Refused { .. })));
    let old_term = control.send_order(&load("c", 1, 1)).await;
    assert!(matches!(old_term, Err(EngineError::Fenced { term: 2, .. })));
    let report = control.request_report().await.unwrap();
    assert_eq!(report.loaded.len(), 1);
    assert_eq!(report.loaded[0].state, LoadState::Loading);
    let record = engine.record();
    assert_eq!(record.most_used_mb, 60);
    assert_eq!(record.breaks.len(), 1);
    assert_eq!(record.breaks[0].kind, ViolationKind::MemoryOverLimit);
}

#[actix_rt::test]
async fn an_engine_without_fencing_obeys_old_terms_and_records_them() {
    let engine = run_engine(|settings| settings.checks_fencing = false);
    let control = control(&engine);
    control.send_order(&load("a", 60, 2)).await.unwrap();
    control.send_order(&load("b", 10, 1)).await.unwrap();
    assert_eq!(engine.record().breaks[0].kind, ViolationKind::OldTermObeyed);
}

async fn complete(engine: &Engine, body: &str, headers: &[(&str, &str)]) -> (StatusCode, String) {
    let url = format!("http://{}/v1/completions", engine.addr());
    let mut req = Client::default().post(url).timeout(TIMEOUT);
    for header in headers {
        req = req.insert_header(*header);
    }
    let mut res = req.send_body(body.to_owned()).await.unwrap();
    let text = res.body().await.unwrap();
    (res.status(), String::from_utf8(text.to_vec()).unwrap())
}

fn streamed_text(stream: &str) -> String {
    let data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    chunks
        .filter_map(|chunk| Some(chunk["choices"][0]["text"].as_str()?.to_owned()))
        .collect()
}

#[actix_rt::test]
async fn streams_resume_after_the_given_token() {
    let engine = run_engine(|_| {});
    let body = r#"{"model":"a@1","prompt":"hello","stream":true,"max_tokens":8}"#;
    let (not_loaded, _) = complete(&engine, body, &[]).await;
    assert_eq!(not_loaded, StatusCode::SERVICE_UNAVAILABLE);
    load_and_wait(&engine, "a").await;
    let (status, full_text) = complete(&engine, body, &[("x-workspace", "w")]).await;
    assert_eq!(status, StatusCode::OK);
    assert!(full_text.ends_with("data: [DONE]\n\n"));
    let (_, resumed_text) = complete(&engine, body, &[("x-resume-from", "5")]).await;
    let (full_text, resumed_text) = (streamed_text(&full_text), streamed_text(&resumed_text));
    assert_eq!(full_text.split_whitespace().count(), 8);
    assert_eq!(resumed_text.split_whitespace().count(), 3);
    assert!(full_text.ends_with(&resumed_text));
    // A prompt of 5 bytes counts as 2 tokens; with 8 output tokens, that makes 10.
    assert_eq!(engine.record().tokens["w"], 10);
}

#[actix_rt::test]
async fn a_disconnecting_caller_cancels_its_request() {
    let engine = run_engine(|settings| {
        settings.output_tokens = 10_000;
        settings.times.token_us = 5_000;
    });
    load_and_wait(&engine, "a").await;
    let url = format!("http://{}/v1/completions", engine.addr());
    for stream in [true, false] {
        let body = format!(r#"{{"model":"a@1","prompt":"p","stream":{stream}}}"#);
        let req = Client::default().post(url.clone()).send_body(body);
        let mut call = Box::pin(req);
        if stream {
            let mut res = timeout(TIMEOUT, call).await.unwrap().unwrap();
            res.next().await.unwrap().unwrap();
            drop(res);
        } else {
            let _ = timeout(Duration::from_millis(50), &mut call).await;
            drop(call);
        }
        wait_until(|| {
            engine.record().requests.last().unwrap().outcome == RequestOutcome::Cancelled
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_full_queue_refuses_with_the_not_run_header() {
    let engine = run_engine(|settings| {
        settings.slots = 1;
        settings.queue = 0;
        settings.output_tokens = 1_000;
    });
    load_and_wait(&engine, "a").await;
    let url = format!("http://{}/v1/completions", engine.addr());
    let body = r#"{"model":"a@1","prompt":"p","stream":true}"#;
    let first = Client::default().post(url.clone()).send_body(body).await;
    let _first = first.unwrap();
    let second = Client::default().post(url).send_body(body).await.unwrap();
    assert_eq!(second.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(second.headers().get(engine::NOT_RUN_HEADER).unwrap(), "1");
}

#[actix_rt::test]
async fn a_crash_unloads_all_models() {
    let engine = run_engine(|_| {});
    load_and_wait(&engine, "a").await;
    let before = control(&engine).request_report().await.unwrap();
    engine.crash();
    assert!(control(&engine).request_report().await.is_err());
    let deadline = Instant::now() + TIMEOUT;
    while engine.start().is_err() {
        assert!(Instant::now() < deadline, "the engine did not start");
        sleep(Duration::from_millis(5)).await;
    }
    let after = control(&engine).request_report().await.unwrap();
    assert!(after.loaded.is_empty());
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!(
        engine.record().changes.last().unwrap().change,
        ReplicaChangeKind::Crashed
    );
}

#[actix_rt::test]
async fn the_weight_store_slows_transfers_beyond_its_full_speed_limit() {
    let store = WeightStore::open(weights::Settings {
        loads_per_second: 1_000.0,
        full_speed_models: 2,
        ..weights::Settings::default()
    });
    let full_speed_time = Duration::from_millis(100);
    let start = Instant::now();
    let loads = (0..4).map(|_| store.transfer(TransferKind::Model, full_speed_time));
    futures_util::future::join_all(loads).await;
    assert!(start.elapsed() >= Duration::from_millis(190));
    assert_eq!(store.most_models(), 4);
}

#[actix_rt::test]
async fn a_plain_service_fails_at_every_stage() {
    let service = run_service();
    let url = format!("http://{}/orders", service.addr());
    let stages = [
        ("after_head", Some(RequestProgress::Head)),
        ("before_answer", Some(RequestProgress::Run)),
        ("mid_answer", Some(RequestProgress::Run)),
        ("mid_body", Some(RequestProgress::PartOfBody)),
    ];
    for (stage, reached) in stages {
        let req = Client::default().post(url.clone());
        let req = req.insert_header((service::FAULT_HEADER, stage));
        let failed = match req.send_body("part").await {
            Ok(mut res) => res.body().await.is_err(),
            Err(_) => true,
        };
        assert!(failed, "{stage}");
        let last = service.record().calls.last().map(|call| call.reached);
        assert_eq!(last, reached, "{stage}");
    }
    let calls = service.record().calls.len();
    service.set_faults(service::Faults {
        stage: Some(FaultStage::BeforeRead),
        calls: 1,
        ..service::Faults::default()
    });
    assert!(Client::default().post(url.clone()).send().await.is_err());
    assert_eq!(service.record().calls.len(), calls);
    assert!(Client::default().post(url).send().await.is_ok());
}

#[actix_rt::test]
async fn a_proxy_injects_its_faults() {
    let service = run_service();
    let settings = proxy::Settings {
        listen: LOCALHOST_ANY_PORT,
        upstream: service.addr(),
        control: None,
        faults: proxy::Faults::default(),
    };
    let proxy = proxy::spawn(&settings).unwrap();
    let url = format!("http://{}/a", proxy.addr());
    let get = || {
        Client::default()
            .get(url.clone())
            .timeout(Duration::from_millis(200))
    };
    let set = |text: &str| proxy.set_faults(toml::from_str(text).unwrap());
    assert!(get().send().await.is_ok());
    for fault in ["cut", "freeze", "drop_to_upstream"] {
        let calls = service.record().calls.len();
        set(&format!("mode = \"{fault}\""));
        assert!(get().send().await.is_err(), "{fault}");
        assert_eq!(service.record().calls.len(), calls, "{fault}");
    }
    let calls = service.record().calls.len();
    set("mode = \"drop_to_caller\"");
    assert!(get().send().await.is_err());
    wait_until(|| service.record().calls.len() > calls).await;
    set("cut_to_caller_after = 20");
    assert!(get().send().await.is_err());
    set("delay_ms = 50");
    let start = Instant::now();
    assert!(get().send().await.is_ok());
    assert!(start.elapsed() >= Duration::from_millis(100));
}
