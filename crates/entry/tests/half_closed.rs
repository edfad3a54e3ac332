//! Callers that close only their sending direction, and callers that leave.

mod support;

use std::time::Duration;

use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, platform::config, read_response,
    request_text, start, upstream_entry, wait_until,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time that a request runs at the upstream.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Time after which a caller closes its side, in the middle of the run.
const CLOSES_AFTER: Duration = Duration::from_millis(150);
/// Time within which the request of a caller that has left is cancelled at the upstream.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Answers "served" after [`RUN_TIME`].
const SLOW_ANSWER: ScriptStep = ScriptStep::AnswerThenExtra {
    takes: RUN_TIME,
    extra: "",
    after: Duration::ZERO,
};

async fn start_with(step: ScriptStep, service: &str) -> (FakeUpstream, TestInstance) {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let upstream = FakeUpstream::start("u1", &[step]).await;
    let models: &[&str] = if service == "llm" { &["m1"] } else { &[] };
    shared.add_upstream(upstream_entry(&upstream, service, models));
    let instance = start(&shared, "e1").await;
    (upstream, instance)
}

/// Sends `text`, closes the sending direction after `after`, and returns the connection.
async fn send_and_half_close(instance: &TestInstance, text: &str, after: Duration) -> TcpStream {
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    io.write_all(text.as_bytes()).await.unwrap();
    sleep(after).await;
    io.shutdown().await.unwrap();
    io
}

/// Guards against an order that is answered as not run while it runs, because its caller has closed
/// its sending direction.
#[actix_rt::test]
async fn order_of_a_half_closed_caller_is_answered() {
    let (upstream, instance) = start_with(SLOW_ANSWER, "plain").await;
    for (n, after) in [CLOSES_AFTER, Duration::ZERO].into_iter().enumerate() {
        let text = request_text("/book/", &format!("r{n}"), "");
        let mut io = send_and_half_close(&instance, &text, after).await;
        let response = read_response(&mut io).await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "served"),
            "{after:?}"
        );
        assert!(response.complete);
        assert_eq!(upstream.arrivals(), n + 1);
    }
}

/// The end of input comes before the earlier requests of a connection are answered.
#[actix_rt::test]
async fn pipelined_orders_of_a_half_closed_caller_are_answered() {
    let (upstream, instance) = start_with(SLOW_ANSWER, "plain").await;
    let text = request_text("/book/", "r1", "") + &request_text("/book/", "r2", "");
    let mut io = send_and_half_close(&instance, &text, CLOSES_AFTER).await;
    let mut all = Vec::new();
    let read = tokio::io::AsyncReadExt::read_to_end(&mut io, &mut all);
    timeout(RUN_TIME * 10, read).await.unwrap().unwrap();
    let all = String::from_utf8(all).unwrap();
    assert_eq!(all.matches("HTTP/1.1 200 OK").count(), 2, "{all}");
    assert_eq!(upstream.arrivals(), 2);
}

/// Callers of HTTP/1.0 commonly close their sending direction after the request.
#[actix_rt::test]
async fn order_of_a_half_closed_http_1_0_caller_is_answered() {
    let (_upstream, instance) = start_with(SLOW_ANSWER, "plain").await;
    let text = request_text("/book/", "r1", "").replace("HTTP/1.1", "HTTP/1.0");
    let mut io = send_and_half_close(&instance, &text, CLOSES_AFTER).await;
    let response = read_response(&mut io).await;
    assert_eq!((response.status, response.body.as_str()), (200, "served"));
}

/// A body that ends too early is no request: it must not run.
#[actix_rt::test]
async fn order_whose_body_ends_early_does_not_run() {
    let (upstream, instance) = start_with(SLOW_ANSWER, "plain").await;
    let texts = [
        request_text("/book/", "r1", "").replace("content-length: 4", "content-length: 5"),
        request_text("/book/", "r2", "")
            .replace("content-length: 4", "transfer-encoding: chunked")
            .replace("body", "4\r\nbody\r\n"),
    ];
    for text in texts {
        let mut io = send_and_half_close(&instance, &text, CLOSES_AFTER).await;
        let response = read_response(&mut io).await;
        assert!([0, 400].contains(&response.status), "{response:?}");
    }
    assert_eq!(upstream.arrivals(), 0);
}

/// Waits until the upstream has the request, lets the caller leave, and checks that the request is
/// cancelled.
async fn check_cancelled<F>(upstream: &FakeUpstream, io: TcpStream, leave: F) -> Option<TcpStream>
where
    F: AsyncFnOnce(TcpStream) -> Option<TcpStream>,
{
    wait_until("arrival", async || upstream.arrivals() == 1).await;
    let left_at = Instant::now();
    let io = leave(io).await;
    wait_until("cancelled", async || {
        upstream.observed.borrow().closed_connections == 1
    })
    .await;
    assert!(left_at.elapsed() < CANCEL_LIMIT, "{:?}", left_at.elapsed());
    io
}

/// A reset shows that the caller is gone, also if it has closed its sending direction before.
#[actix_rt::test]
async fn order_of_a_caller_that_resets_its_connection_is_cancelled() {
    for half_closes in [false, true] {
        let (upstream, instance) = start_with(ScriptStep::Silent, "plain").await;
        let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
        let text = request_text("/book/", "r1", "");
        io.write_all(text.as_bytes()).await.unwrap();
        if half_closes {
            io.shutdown().await.unwrap();
            sleep(CLOSES_AFTER).await;
        }
        check_cancelled(&upstream, io, async |io| {
            #[allow(deprecated)]
            io.set_linger(Some(Duration::ZERO)).unwrap();
            drop(io);
            None
        })
        .await;
    }
}

/// A request that costs an upstream work for a caller that may be gone is cancelled, and nothing says
/// that it has not run. That the caller still reads is not known before something is written.
#[actix_rt::test]
async fn repeatable_request_of_a_half_closed_caller_ends_without_a_status() {
    for (path, service, extra) in [
        ("/read/", "plain", ""),
        ("/tell/", "llm", "x-model: m1\r\n"),
    ] {
        let (upstream, instance) = start_with(ScriptStep::Silent, service).await;
        let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
        let text = request_text(path, "r1", extra);
        io.write_all(text.as_bytes()).await.unwrap();
        let io = check_cancelled(&upstream, io, async |mut io| {
            io.shutdown().await.unwrap();
            Some(io)
        })
        .await;
        let response = read_response(&mut io.unwrap()).await;
        assert_eq!(response.status, 0, "{path}: {response:?}");
    }
}

/// Guards against orders that reach an upstream long after their callers have left: one that cannot be
/// sent soon after the end of its caller's input is refused, and does not run.
#[actix_rt::test]
async fn order_that_cannot_be_sent_soon_after_the_end_of_input_is_refused() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let instance = start(&shared, "e1").await;
    let text = request_text("/book/", "r1", "");
    let mut io = send_and_half_close(&instance, &text, CLOSES_AFTER).await;
    sleep(CANCEL_LIMIT).await;
    let upstream = FakeUpstream::start("u1", &[SLOW_ANSWER]).await;
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let response = read_response(&mut io).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    wait_until("the upstream is known", async || {
        let status = support::get(instance.entry.admin_addr(), "/status")
            .await
            .body;
        status.contains("\"upstreams\": 1")
    })
    .await;
    sleep(CANCEL_LIMIT).await;
    assert_eq!(upstream.arrivals(), 0);
}
