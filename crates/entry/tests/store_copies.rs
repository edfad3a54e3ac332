//! The store comes back after an outage, of its own or of one instance's path to it, or from a copy that
//! is some seconds old.

mod support;

use std::time::Duration;

use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, send_request,
    start, start_with, upstream_entry, wait_until,
};
use tokio::time::Instant;

async fn status(instance: &TestInstance) -> serde_json::Value {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    serde_json::from_str(&status).unwrap()
}

async fn wait_until_orders(instance: &TestInstance) {
    wait_until("orders may be given", async || {
        status(instance).await["duty"]["may_order"] == true
    })
    .await;
}

/// The holder gives up a duty that the store has lost, and the next one waits as long as a holder
/// that does not know of it may give orders. Tokens rise, and the links keep their secret.
#[actix_rt::test]
async fn duty_is_taken_anew_after_the_store_has_lost_it() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let copy = shared.copy();
    let instance = start(&shared, "e1").await;
    wait_until_orders(&instance).await;
    let fence = status(&instance).await["duty"]["fence"].as_u64().unwrap();
    let secret = shared.item("own/secret").unwrap().value;
    shared.restore(copy);
    let restored_at = Instant::now();
    wait_until("the holder gives up the duty", async || {
        status(&instance).await["duty"]["fence"].as_u64() != Some(fence)
    })
    .await;
    assert!(restored_at.elapsed() < Duration::from_millis(300));
    wait_until_orders(&instance).await;
    // Three fifths of the lease of 2 s, and the order rest.
    assert!(restored_at.elapsed() >= Duration::from_millis(1_300));
    let fence_after = status(&instance).await["duty"]["fence"].as_u64().unwrap();
    assert!(fence_after > fence, "{fence_after} {fence}");
    wait_until("the secret is written again", async || {
        shared.item("own/secret").is_some()
    })
    .await;
    assert_eq!(shared.item("own/secret").unwrap().value, secret);
    wait_until("the instance is registered again", async || {
        shared.item("own/instances/e1").is_some()
    })
    .await;
}

/// Entries of upstreams that the copy lacks are kept until the upstreams can have written them again.
/// An older configuration in the copy is not put in force.
#[actix_rt::test]
async fn requests_are_served_while_the_store_lacks_what_it_has_lost() {
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let copy = shared.copy();
    let mut newer = config(2);
    newer.routes.clear();
    newer.routes.insert(
        "h".to_owned(),
        config(1).routes["h"]
            .iter()
            .filter(|r| r.prefix != "/book/")
            .cloned()
            .collect(),
    );
    shared.publish_config(newer);
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let instance = start(&shared, "e1").await;
    let addr = instance.entry.addr();
    assert_eq!(send_request(addr, "/read/", "r1", "").await.status, 200);
    shared.restore(copy);
    let restored_at = Instant::now();
    while restored_at.elapsed() < Duration::from_millis(1_800) {
        assert_eq!(send_request(addr, "/read/", "r2", "").await.status, 200);
        assert_eq!(send_request(addr, "/book/", "r3", "").await.status, 404);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("the upstream counts as gone", async || {
        status(&instance).await["upstreams"] == 0
    })
    .await;
}

/// Entries that lapse while the store is out of reach are kept until the upstreams can have written
/// them again.
#[actix_rt::test]
async fn requests_are_served_while_entries_that_lapsed_in_an_outage_are_missing() {
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let heartbeat_ms = 500;
    let instance = start_with(&shared, "e1", |settings| {
        settings.timing.upstream_heartbeat_ms = heartbeat_ms;
    })
    .await;
    let addr = instance.entry.addr();
    shared.store_is_down.set(true);
    actix_rt::time::sleep(Duration::from_millis(heartbeat_ms * 3)).await;
    shared.remove_upstream("u1");
    shared.store_is_down.set(false);
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_millis(1_900) {
        assert_eq!(send_request(addr, "/read/", "r1", "").await.status, 200);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("the upstream counts as gone", async || {
        status(&instance).await["upstreams"] == 0
    })
    .await;
}

/// Guards against an instance that goes on to renew a lease whose number the restored store has given
/// to the next holder's duty: after the loss of that holder, the duty would never lapse.
#[actix_rt::test]
async fn duty_lapses_though_another_instance_had_a_lease_of_its_number() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let first = start(&shared, "e1").await;
    wait_until_orders(&first).await;
    let copy = shared.copy();
    // A small instance lets the other take the duty.
    let second = start_with(&shared, "e2", |settings| settings.instance.cores = 0.1).await;
    wait_until("the second instance is registered", async || {
        shared.item("own/instances/e2").is_some()
    })
    .await;
    let fence = status(&first).await["duty"]["fence"].as_u64();
    // Right after a renewal, so that the next holder's duty has the number at the next one.
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    shared.restore_with_leases(copy);
    wait_until("the duty is taken anew", async || {
        let duty = status(&first).await["duty"].clone();
        duty["fence"].as_u64() > fence && duty["may_order"] == true
    })
    .await;
    wait_until("the second instance is registered again", async || {
        shared.item("own/instances/e2").is_some()
    })
    .await;
    drop(first);
    // The lease of the duty lasts 2 s.
    let ttl = Duration::from_secs(2);
    actix_rt::time::sleep(ttl + Duration::from_millis(500)).await;
    shared.lapse_unrenewed(ttl);
    wait_until("the second instance has the duty", async || {
        status(&second).await["duty"]["may_order"] == true
    })
    .await;
}

/// Guards against an instance that stays without an entry because its lease number is given out again.
#[actix_rt::test]
async fn instance_registers_at_once_after_the_store_has_lost_its_entry() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let copy = shared.copy();
    let instance = start(&shared, "e1").await;
    wait_until_orders(&instance).await;
    shared.restore(copy);
    let restored_at = Instant::now();
    wait_until("the instance is registered again", async || {
        shared.item("own/instances/e1").is_some()
    })
    .await;
    // Well below the period of renewals, 1.2 s.
    assert!(restored_at.elapsed() < Duration::from_millis(600));
}

/// Guards against a list whose pages are of two eras: entries of the copy would count as written after
/// the store came back, and be dropped when their leases lapse.
#[actix_rt::test]
async fn entries_of_a_list_that_was_read_over_two_eras_are_kept_when_they_lapse() {
    let upstreams = [
        FakeUpstream::start("u1", &[]).await,
        FakeUpstream::start("u2", &[]).await,
        FakeUpstream::start("u3", &[]).await,
    ];
    let shared = SharedState::new();
    shared.publish_config(config(1));
    for upstream in &upstreams {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    let instance = start(&shared, "e1").await;
    wait_until_orders(&instance).await;
    let copy = shared.copy();
    shared.paging.set(Some((1, Duration::from_millis(100))));
    wait_until("the second page is read", async || {
        shared.upstream_pages.get() % upstreams.len() == 2
    })
    .await;
    shared.restore(copy);
    let restored_at = Instant::now();
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    shared.paging.set(None);
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    for id in ["u1", "u2", "u3"] {
        shared.lapse(&format!("servers/{id}"));
    }
    while restored_at.elapsed() < Duration::from_millis(1_800) {
        assert_eq!(status(&instance).await["upstreams"], 3);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    wait_until("the upstreams count as gone", async || {
        status(&instance).await["upstreams"] == 0
    })
    .await;
}

/// Guards against an instance that was cut off from the store, takes the duty, and passes on entries that
/// it keeps though they are gone.
#[actix_rt::test]
async fn upstream_that_left_is_not_passed_on_by_an_instance_that_was_cut_off() {
    // Renewals of leases, each 1.2 s, show that the store answers within two heartbeats.
    let heartbeat_ms = 800;
    let upstreams = [
        FakeUpstream::start("u1", &[]).await,
        FakeUpstream::start("u2", &[]).await,
    ];
    let shared = SharedState::new();
    shared.publish_config(config(1));
    for upstream in &upstreams {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    let with_heartbeat = |cores| {
        move |settings: &mut comfreyweir_config::entry_settings::EntrySettings| {
            settings.timing.upstream_heartbeat_ms = heartbeat_ms;
            settings.instance.cores = cores;
        }
    };
    let holder = start_with(&shared, "e1", with_heartbeat(1.0)).await;
    wait_until_orders(&holder).await;
    let cut_off = start_with(&shared, "e2", with_heartbeat(1.0)).await;
    // A small instance lets the other take the duty.
    let third = start_with(&shared, "e3", with_heartbeat(0.1)).await;
    for instance in [&cut_off, &third] {
        wait_until("the holder's list is known", async || {
            status(instance).await["upstreams"] == 2
        })
        .await;
    }
    shared.rejected.borrow_mut().insert("e2".to_owned());
    drop(holder);
    shared.remove_upstream("u1");
    wait_until("the removal is known to the third instance", async || {
        status(&third).await["upstreams"] == 1
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(heartbeat_ms * 2)).await;
    shared.rejected.borrow_mut().clear();
    wait_until("the instance has read the list", async || {
        status(&cut_off).await["upstreams_age_ms"].as_u64() < Some(200)
    })
    .await;
    // It follows the holder again after the pause that follows a failed call, 250 ms.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    shared.lapse("own/duty");
    wait_until("the instance has the duty", async || {
        assert_eq!(status(&third).await["upstreams"], 1);
        status(&cut_off).await["duty"]["fence"].is_u64()
    })
    .await;
    let taken_at = Instant::now();
    while taken_at.elapsed() < Duration::from_secs(3) {
        assert_eq!(status(&third).await["upstreams"], 1);
        let is_told = taken_at.elapsed() > Duration::from_millis(800);
        assert!(!is_told || status(&cut_off).await["upstreams"] == 1);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
