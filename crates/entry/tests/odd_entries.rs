//! Entries in the store that cannot be used.

mod support;

use bytes::Bytes;
use support::{
    SharedState, TestInstance, free_addr, get, platform::config, start_with, wait_until,
};
use tokio::net::TcpStream;

async fn status(instance: &TestInstance) -> serde_json::Value {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    serde_json::from_str(&status).unwrap()
}

/// Guards against a peer port that any process can use: a value that cannot be read counts as empty.
#[actix_rt::test]
async fn peer_port_stays_closed_while_the_secret_is_empty() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.write("own/secret", Bytes::new(), 0);
    let peer = free_addr();
    let instance = start_with(&shared, "e1", |settings| settings.listen.peer = peer).await;
    wait_until("the instance holds the duty", async || {
        status(&instance).await["holder"]["process"].is_string()
    })
    .await;
    assert!(TcpStream::connect(peer).await.is_err());
    shared.write("own/secret", Bytes::from_static(&[7; 32]), 0);
    wait_until("the peer port is open", async || {
        TcpStream::connect(peer).await.is_ok()
    })
    .await;
}
