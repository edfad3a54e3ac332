//! The key-value service and the admin ports as the client reaches them.

use std::{net::SocketAddr, time::Duration};

use comfreyweir_external::kv_http::HttpKv;
use serde_json::Value;

/// Longest time of one call to the service. Longer than a daemon waits, because an operator
/// prefers a late answer to none.
const KV_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time of one call to an admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the service.
pub fn kv(addr: SocketAddr) -> HttpKv {
    let http = awc::Client::builder().timeout(KV_TIMEOUT).finish();
    HttpKv::new(http, addr, KV_TIMEOUT)
}

/// Status page of a daemon, or what went wrong.
pub async fn status_page(addr: SocketAddr) -> Result<Value, String> {
    let http = awc::Client::builder().timeout(ADMIN_TIMEOUT).finish();
    let url = format!("http://{addr}/status");
    let reading = async {
        let mut res = http.get(url).send().await.map_err(|e| e.to_string())?;
        if !res.status().is_success() {
            return Err(format!("status {}", res.status()));
        }
        res.json::<Value>().await.map_err(|e| e.to_string())
    };
    match tokio::time::timeout(ADMIN_TIMEOUT, reading).await {
        Ok(page) => page,
        Err(_) => Err("no answer in time".to_owned()),
    }
}

/// Revision in force according to a status page, of a gate or of a planner.
pub fn revision_of(page: &Value) -> Option<u64> {
    page["configuration"]["revision"]
        .as_u64()
        .or_else(|| page["revision"].as_u64())
}
