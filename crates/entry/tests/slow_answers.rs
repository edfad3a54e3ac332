//! Requests whose upstream takes long to answer, though it is sound.

mod support;

use std::{rc::Rc, time::Duration};

use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance, platform, send_request, start,
    start_with, upstream_entry,
};

/// Time that the slow upstream takes: longer than that after which a request is sent elsewhere.
const SLOW: Duration = Duration::from_millis(1_500);

fn slow_answer() -> ScriptStep {
    ScriptStep::After(SLOW, Box::new(ScriptStep::Answer(200, "slow")))
}

fn shared_with_upstreams(upstreams: &[&FakeUpstream]) -> Rc<SharedState> {
    let shared = SharedState::new();
    shared.publish_config(platform::config(1));
    for upstream in upstreams {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    shared
}

async fn read(instance: &TestInstance, id: &str) -> Response {
    send_request(instance.entry.addr(), "/read/", id, "").await
}

/// Guards against giving up an upstream that works on a request where no other one could take it.
#[actix_rt::test]
async fn slow_answer_is_awaited_where_no_other_upstream_could_give_it() {
    let slow = FakeUpstream::start("u1", &[slow_answer()]).await;
    let instance = start(&shared_with_upstreams(&[&slow]), "i1").await;
    let res = read(&instance, "alone").await;
    assert_eq!((res.status, res.body.as_str()), (200, "slow"), "{res:?}");
    assert_eq!(slow.arrivals(), 1);
}

/// Guards against giving up an upstream that works on a request which must not be sent again.
#[actix_rt::test]
async fn slow_answer_is_awaited_where_no_retry_is_left() {
    let upstreams = [
        FakeUpstream::start("u1", &[slow_answer()]).await,
        FakeUpstream::start("u2", &[slow_answer()]).await,
    ];
    let shared = shared_with_upstreams(&[&upstreams[0], &upstreams[1]]);
    let instance = start_with(&shared, "i1", |settings| {
        settings.repeats.ratio = 0.0;
        settings.repeats.extra = 0.0;
    })
    .await;
    let res = read(&instance, "no-retry").await;
    assert_eq!((res.status, res.body.as_str()), (200, "slow"), "{res:?}");
    assert_eq!(upstreams[0].arrivals() + upstreams[1].arrivals(), 1);
}

/// A request whose upstream stays silent is still sent to another one that can take it.
#[actix_rt::test]
async fn request_goes_on_at_another_upstream_that_can_take_it() {
    let silent = FakeUpstream::start("u1", &[ScriptStep::Silent]).await;
    let quick = FakeUpstream::start("u2", &[ScriptStep::Answer(200, "quick")]).await;
    let instance = start(&shared_with_upstreams(&[&silent, &quick]), "i1").await;
    for n in 0.. {
        let res = read(&instance, &format!("silent{n}")).await;
        assert_eq!((res.status, res.body.as_str()), (200, "quick"), "{res:?}");
        if silent.arrivals() > 0 {
            return;
        }
    }
}
