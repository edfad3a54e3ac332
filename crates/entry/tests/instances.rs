//! Several instances: one holds the planning duty, and the others follow its plan.

mod support;

use std::time::Duration;

use support::{SharedState, TestInstance, get, platform::config, start, wait_until};

async fn holder(instance: &TestInstance) -> Option<String> {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    let process = status["holder"]["process"].as_str()?;
    Some(process.split('/').next()?.to_owned())
}

async fn is_fresh(instance: &TestInstance) -> bool {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    status.contains("\"placement_is_fresh\": true")
}

#[actix_rt::test]
async fn one_instance_takes_the_duty_and_another_follows_it() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let first = start(&shared, "e1").await;
    let second = start(&shared, "e2").await;
    let third = start(&shared, "e3").await;
    for instance in [&first, &second, &third] {
        wait_until("the placement is fresh", async || is_fresh(instance).await).await;
    }
    let holder_name = holder(&first).await.unwrap();
    let (holding, others): (Vec<_>, Vec<_>) = [("e1", first), ("e2", second), ("e3", third)]
        .into_iter()
        .partition(|(name, _)| *name == holder_name);
    for (_, instance) in holding {
        instance.entry.stop().await;
    }
    for (_, instance) in &others {
        wait_until("another instance holds the duty", async || {
            holder(instance).await.is_some_and(|h| h != holder_name) && is_fresh(instance).await
        })
        .await;
    }
}

/// Instances that do not hold the planning duty must learn new configurations from the holder: the
/// store may refuse their calls.
#[actix_rt::test]
async fn followers_learn_a_new_configuration_from_the_holder() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let first = start(&shared, "e1").await;
    let second = start(&shared, "e2").await;
    for instance in [&first, &second] {
        wait_until("the placement is fresh", async || is_fresh(instance).await).await;
    }
    shared.publish_config(config(9));
    let since = tokio::time::Instant::now();
    for instance in [&first, &second] {
        wait_until("the new configuration is in force", async || {
            let status = get(instance.entry.admin_addr(), "/status").await.body;
            status.contains("\"configuration\": 9")
        })
        .await;
    }
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "{:?}",
        since.elapsed()
    );
}

/// Guards against a planning gap after the holder, or every process, is killed and restarted at
/// once.
///
/// The key that records the holder outlives the process. An instance that finds itself recorded as
/// holder waits neither for its old lease to end nor for the order-free time after its last orders.
#[actix_rt::test]
async fn holder_that_was_killed_takes_its_duty_back_at_once() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let peer = support::free_addr();
    let with_long_order_rest = |s: &mut comfreyweir_config::entry_settings::EntrySettings| {
        s.timing.order_rest_ms = 60_000;
        s.listen.peer = peer;
    };
    let first = support::start_with(&shared, "e1", with_long_order_rest).await;
    wait_until("the placement is fresh", async || is_fresh(&first).await).await;
    let previous_token = fencing_token(&first).await;
    drop(first);
    let restarted = support::start_with(&shared, "e1", with_long_order_rest).await;
    wait_until("the duty is taken back", async || {
        is_fresh(&restarted).await
    })
    .await;
    assert_eq!(holder(&restarted).await.as_deref(), Some("e1"));
    assert!(self::fencing_token(&restarted).await > previous_token);
    wait_until("orders may be given", async || {
        let status = get(restarted.entry.admin_addr(), "/status").await.body;
        status.contains("\"may_order\": true")
    })
    .await;
}

async fn fencing_token(instance: &TestInstance) -> u64 {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    status["duty"]["fence"].as_u64().unwrap_or_default()
}
