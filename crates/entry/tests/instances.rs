//! Several instances: one has the planning duty, and all learn from it.

mod support;

use std::time::Duration;

use support::{Bench, Shared, get, platform::config, start, until};

async fn holder(bench: &Bench) -> Option<String> {
    let status = get(bench.entry.admin_addr(), "/status").await.body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    let process = status["holder"]["process"].as_str()?;
    Some(process.split('/').next()?.to_owned())
}

async fn is_fresh(bench: &Bench) -> bool {
    let status = get(bench.entry.admin_addr(), "/status").await.body;
    status.contains("\"placement_is_fresh\": true")
}

#[actix_rt::test]
async fn one_instance_takes_the_duty_and_another_follows_it() {
    let shared = Shared::new();
    shared.configure(config(1));
    let first = start(&shared, "e1").await;
    let second = start(&shared, "e2").await;
    let third = start(&shared, "e3").await;
    for bench in [&first, &second, &third] {
        until("the holder is heard", async || is_fresh(bench).await).await;
    }
    let name = holder(&first).await.unwrap();
    let (holding, others): (Vec<_>, Vec<_>) = [("e1", first), ("e2", second), ("e3", third)]
        .into_iter()
        .partition(|(n, _)| *n == name);
    for (_, bench) in holding {
        bench.entry.stop().await;
    }
    for (_, bench) in &others {
        until("another has the duty", async || {
            holder(bench).await.is_some_and(|h| h != name) && is_fresh(bench).await
        })
        .await;
    }
}

/// Pattern: the store turns the calls of the followers away; they live on what the holder tells.
#[actix_rt::test]
async fn followers_learn_a_new_configuration_from_the_holder() {
    let shared = Shared::new();
    shared.configure(config(1));
    let first = start(&shared, "e1").await;
    let second = start(&shared, "e2").await;
    for bench in [&first, &second] {
        until("the holder is heard", async || is_fresh(bench).await).await;
    }
    shared.configure(config(9));
    let since = tokio::time::Instant::now();
    for bench in [&first, &second] {
        until("the new version is in force", async || {
            let status = get(bench.entry.admin_addr(), "/status").await.body;
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

/// Pattern: all processes are killed, or the holder's is, and the machines start again at once.
///
/// The duty's key outlives its holder. The same instance is the same holder, and needs not wait for
/// the end of its own lease, nor for its own last orders.
#[actix_rt::test]
async fn holder_that_was_killed_takes_its_duty_back_at_once() {
    let shared = Shared::new();
    shared.configure(config(1));
    let peer = support::free_addr();
    let patient = |s: &mut comfreyweir_config::entry_settings::EntrySettings| {
        s.timing.order_rest_ms = 60_000;
        s.listen.peer = peer;
    };
    let first = support::start_with(&shared, "e1", patient).await;
    until("the holder is heard", async || is_fresh(&first).await).await;
    let fence = fence(&first).await;
    drop(first);
    let again = support::start_with(&shared, "e1", patient).await;
    until("the duty is taken back", async || is_fresh(&again).await).await;
    assert_eq!(holder(&again).await.as_deref(), Some("e1"));
    assert!(self::fence(&again).await > fence);
    until("orders may be given", async || {
        let status = get(again.entry.admin_addr(), "/status").await.body;
        status.contains("\"may_order\": true")
    })
    .await;
}

async fn fence(bench: &Bench) -> u64 {
    let status = get(bench.entry.admin_addr(), "/status").await.body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    status["duty"]["fence"].as_u64().unwrap_or_default()
}
